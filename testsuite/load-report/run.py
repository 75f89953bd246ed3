"""wigeonsill-load sends through two entries, checks answers and writes reports, also on SIGINT."""

import json
import signal
import subprocess

from harness import BIN, ROOT, Cluster, check, wait_until

TOKENS = {"minimum": 1, "maximum": 8}


def scenario(milliseconds):
    request_type = {"name": "q", "service": "answer-leader", "token": "token-ganga", "tier": "high",
            "promptTokens": TOKENS, "outputTokens": TOKENS}
    phases = [{"name": "steady", "milliseconds": milliseconds, "rate": 50}]
    return {"seed": 3, "settleMs": 60000, "phases": phases, "requests": [request_type]}


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=1)
    cluster.agent("agent", engine, "camp-language")
    entries = [cluster.entry("entry-1"), cluster.entry("entry-2")]
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(*entries)

    def start(name, content):
        path = cluster.folder / (name + ".json")
        path.write_text(json.dumps(content))
        return subprocess.Popen(
            [str(BIN / "wigeonsill-load"), "--scenario=" + str(path),
             "--entries=" + ",".join(entry.address() for entry in entries),
             "--json=" + str(cluster.folder / (name + ".out")),
             "--svg=" + str(cluster.folder / (name + ".svg"))],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    run = start("whole", scenario(1000))
    output, _ = run.communicate(timeout=120)
    check(run.returncode == 0, "the run exits with status 0")
    high_tier = json.loads((cluster.folder / "whole.out").read_text())["tiers"]["high"]
    check(high_tier["arrived"] > 0, "requests were sent")
    check(
        high_tier["inTime"] + high_tier["late"] == high_tier["arrived"],
        "each request gets its own complete answer")
    check("high" in output, "the printed table names the tier")
    check("<polyline" in (cluster.folder / "whole.svg").read_text(), "the plot is written")

    run = start("cut", scenario(3600000))
    wait_until(lambda: engine.state()["requests"] > high_tier["arrived"], "the second run sends requests")
    run.send_signal(signal.SIGINT)
    run.communicate(timeout=120)
    check(run.returncode == 0, "an interrupted run exits with status 0")
    check((cluster.folder / "cut.out").exists(), "an interrupted run writes its report")

    run = start("faulty", dict(scenario(1000), phases=[]))
    _, errors = run.communicate(timeout=120)
    check(run.returncode == 2 and "phases" in errors, "an invalid scenario is refused with the name of its key")
print("ok")

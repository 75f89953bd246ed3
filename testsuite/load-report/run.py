"""wigeonsill-load sends through two entries, checks the answers, and reports when interrupted."""

import json
import signal
import subprocess

from harness import BIN, ROOT, Cluster, check, wait_until

TOKENS = {"minimum": 1, "maximum": 8}


def scenario(milliseconds):
    kind = {"name": "q", "service": "answer-leader", "token": "token-ganga", "tier": "high",
            "promptTokens": TOKENS, "outputTokens": TOKENS}
    phases = [{"name": "steady", "milliseconds": milliseconds, "rate": 50}]
    return {"seed": 3, "settleMs": 60000, "phases": phases, "requests": [kind]}


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
    out, _ = run.communicate(timeout=120)
    check(run.returncode == 0, "the run ends well")
    high = json.loads((cluster.folder / "whole.out").read_text())["tiers"]["high"]
    check(high["arrived"] > 0, "requests were sent")
    check(high["inTime"] + high["late"] == high["arrived"], "each answer is whole and its own")
    check("high" in out, "a table is printed")
    check("<polyline" in (cluster.folder / "whole.svg").read_text(), "a plot is written")

    run = start("cut", scenario(3600000))
    wait_until(lambda: engine.state()["requests"] > high["arrived"], "the second run has begun")
    run.send_signal(signal.SIGINT)
    run.communicate(timeout=120)
    check(run.returncode == 0, "an interrupted run reports")
    check((cluster.folder / "cut.out").exists(), "and writes its figures")

    run = start("faulty", dict(scenario(1000), phases=[]))
    _, errors = run.communicate(timeout=120)
    check(run.returncode == 2 and "phases" in errors, "a faulty scenario is refused by key")
print("ok")

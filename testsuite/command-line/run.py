"""Settings files that are wrong, --help and --version of each program, and the signals."""

import json
import re
import signal
import subprocess
import tempfile
import threading

from harness import BIN, ROOT, Cluster, ask, check, wait_until

PROGRAMS = ["wigeonsill-entry", "wigeonsill-agent", "wigeonsill-standin", "wigeonsillctl"]
PLACE = {"instance": "i", "region": "r", "failureDomain": "a"}
GOOD = {
    "wigeonsill-entry": {**PLACE, "store": "127.0.0.1:1", "instanceList": "127.0.0.1:1"},
    "wigeonsill-agent": {**PLACE, "target": "127.0.0.1:1", "pools": ["p"]},
    "wigeonsill-standin": {"role": "engine"},
}
# Changed member, its value (None removes it), code, and what the message must say.
FAULTS = {
    "wigeonsill-entry": [
        ("extra", 1, 5003, "expected no such key"),
        ("instance", 7, 5005, "expected a text"),
        ("store", "nowhere", 5005, "expected IP-NUMBER:PORT"),
        ("store", None, 5004, "expected this key"),
        ("limits", {"candidates": 0}, 5006, "from 1 to 64"),
        ("limits", {"bodyTimeMs": "1"}, 5005, "whole number"),
        ("limits", {"no": 1}, 5003, "expected no such key"),
        ("log", {"level": "loud"}, 5006, "debug"),
    ],
    "wigeonsill-agent": [
        ("extra", 1, 5003, "expected no such key"),
        ("pools", "p", 5005, "expected a list of texts"),
        ("pools", None, 5004, "expected this key"),
        ("target", "1.2.3:x", 5005, "expected IP-NUMBER:PORT"),
        ("targetSilenceMs", 1, 5006, "from 100 to 3600000"),
        ("limits", {"tokenLimit": -1}, 5006, "from 1 to"),
    ],
    "wigeonsill-standin": [
        ("extra", 1, 5003, "expected no such key"),
        ("role", "teapot", 5006, "engine"),
        ("role", None, 5004, "expected this key"),
        ("engine", {"stepMs": "x"}, 5005, "a number"),
    ],
}


def run(program, *arguments):
    return subprocess.run(
        [str(BIN / program), *arguments], capture_output=True, text=True, timeout=60
    )


def check_pages():
    for program in PROGRAMS:
        shown = run(program, "--version")
        check(shown.returncode == 0, program + " --version")
        check(re.fullmatch(program + r" \d+\.\d+\.\d+\n", shown.stdout), shown.stdout)
        shown = run(program, "--help")
        check(shown.returncode == 0 and "Usage:" in shown.stdout, program + " --help")
        wrong = run(program, "--no-such-option")
        check(wrong.returncode == 2 and "--no-such-option" in wrong.stderr, program + " bad option")
    for program in GOOD:
        check(run(program).returncode == 2, program + " needs settings")
        check("--settings" in run(program, "--help").stdout, program + " names its options")


def check_settings(folder):
    for program, good in GOOD.items():
        file = folder + "/settings.json"

        def attempt(text):
            with open(file, "w") as out:
                out.write(text)
            return run(program, "--check", "--settings=" + file)

        check(attempt(json.dumps(good)).returncode == 0, program + " takes good settings")
        for key, value, code, expected in FAULTS[program]:
            full = {name: member for name, member in {**good, key: value}.items() if member is not None}
            done = attempt("// comment\n" + json.dumps(full, indent=1))
            where = "%s %s=%r: %s" % (program, key, value, done.stderr)
            check(done.returncode == 2, where)
            path = key + "." + list(value)[0] if isinstance(value, dict) else key
            check("%s: E%d " % (path, code) in done.stderr and expected in done.stderr, where)
            if value is not None:
                lines = ("// comment\n" + json.dumps(full, indent=1)).split("\n")
                line = 1 + max(i for i, text in enumerate(lines) if '"%s"' % path.split(".")[-1] in text)
                check(done.stderr.startswith("%s:%d: " % (file, line)), where)
        broken = attempt('{\n"role": "engine",\n"region" "x"\n}')
        check(broken.returncode == 2 and "E5002" in broken.stderr, program + ": " + broken.stderr)
        check(file + ":3" in broken.stderr, program + " names the line: " + broken.stderr)
        missing = run(program, "--settings=" + folder + "/none.json")
        check(missing.returncode == 2 and "E5001" in missing.stderr, program + ": " + missing.stderr)


def ask_in_background(entry, answers, prompt, tokens):
    thread = threading.Thread(
        target=lambda: answers.append(
            ask(entry, "summarise-manifest", prompt, max_tokens=tokens, stream=True)
        )
    )
    thread.start()
    return thread


def check_signals():
    with Cluster() as cluster:
        engine = cluster.standin("engine", role="engine", stepMs=5)
        agent = cluster.agent("agent-1", engine, "camp-language")
        entries = [cluster.entry("entry-1"), cluster.entry("entry-2")]
        cluster.apply(ROOT / "examples/consortium")
        cluster.wait_ready(*entries)
        answers = []
        thread = ask_in_background(entries[0], answers, "x", 200)
        wait_until(lambda: entries[0].state()["requests"], "a request is in progress")
        check(entries[0].stop(60) == 0, "an entry drains")
        thread.join()
        check(answers[0].complete and b"[DONE]" in answers[0].body, "its request was finished")

        thread = ask_in_background(entries[1], answers, "y", 100_000)
        wait_until(lambda: agent.state()["running"], "a long request is running")
        for process in (entries[1], agent):
            process.signal(signal.SIGTERM)
            wait_until(lambda: "Draining." in process.log.read_text(), process.name + " drains")
            check(process.popen.poll() is None, process.name + " waits for its request")
            process.signal(signal.SIGTERM)
            check(process.popen.wait(60) == 3, process.name + " ends at the second signal")
        thread.join()
        check(not answers[1].complete, "an answer cut off by force is not taken for whole")


check_pages()
with tempfile.TemporaryDirectory() as temporary:
    check_settings(temporary)
check_signals()
print("ok")

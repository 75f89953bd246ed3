"""Invalid settings files, --help and --version of each program, and SIGTERM once and twice."""

import http.client
import json
import re
import signal
import subprocess
import tempfile
import threading

from harness import BIN, ROOT, Cluster, send_completion, check, wait_until

PROGRAMS = ["wigeonsill-entry", "wigeonsill-agent", "wigeonsill-standin", "wigeonsillctl"]
IDENTITY = {"instance": "i", "region": "r", "failureDomain": "a"}
VALID_SETTINGS = {
    "wigeonsill-entry": {**IDENTITY, "store": "127.0.0.1:1", "instanceList": "127.0.0.1:1"},
    "wigeonsill-agent": {**IDENTITY, "target": "127.0.0.1:1", "pools": ["p"]},
    "wigeonsill-standin": {"role": "engine"},
}
# Key to change, its value (None removes it), result code, and text that the message must contain.
INVALID_MEMBERS = {
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


def check_help_and_version():
    for program in PROGRAMS:
        result = run(program, "--version")
        check(result.returncode == 0, program + " --version")
        check(re.fullmatch(program + r" \d+\.\d+\.\d+\n", result.stdout), result.stdout)
        result = run(program, "--help")
        check(result.returncode == 0 and "Usage:" in result.stdout, program + " --help")
        refused = run(program, "--no-such-option")
        check(
            refused.returncode == 2 and "--no-such-option" in refused.stderr,
            program + " refuses an unknown option")
    for program in VALID_SETTINGS:
        check(run(program).returncode == 2, program + " requires --settings")
        check("--settings" in run(program, "--help").stdout, program + " lists its options")


def check_settings(folder):
    for program, valid in VALID_SETTINGS.items():
        file = folder + "/settings.json"

        def check_file(text):
            with open(file, "w") as out:
                out.write(text)
            return run(program, "--check", "--settings=" + file)

        check(check_file(json.dumps(valid)).returncode == 0, program + " accepts valid settings")
        for key, value, code, expected in INVALID_MEMBERS[program]:
            members = {name: member for name, member in {**valid, key: value}.items() if member is not None}
            checked = check_file("// comment\n" + json.dumps(members, indent=1))
            where = "%s %s=%r: %s" % (program, key, value, checked.stderr)
            check(checked.returncode == 2, where)
            path = key + "." + list(value)[0] if isinstance(value, dict) else key
            check("%s: E%d " % (path, code) in checked.stderr and expected in checked.stderr, where)
            if value is not None:
                lines = ("// comment\n" + json.dumps(members, indent=1)).split("\n")
                line = 1 + max(i for i, text in enumerate(lines) if '"%s"' % path.split(".")[-1] in text)
                check(checked.stderr.startswith("%s:%d: " % (file, line)), where)
        broken = check_file('{\n"role": "engine",\n"region" "x"\n}')
        check(broken.returncode == 2 and "E5002" in broken.stderr, program + ": " + broken.stderr)
        check(file + ":3" in broken.stderr, program + " reports the line: " + broken.stderr)
        missing = run(program, "--settings=" + folder + "/none.json")
        check(missing.returncode == 2 and "E5001" in missing.stderr, program + ": " + missing.stderr)


def send_in_background(entry, answers, prompt, tokens):
    """Appends the answer, or None when the connection ended before one began."""
    def send():
        try:
            answers.append(send_completion(entry, "summarise-manifest", prompt, max_tokens=tokens, stream=True))
        except http.client.RemoteDisconnected:
            answers.append(None)

    thread = threading.Thread(target=send)
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
        thread = send_in_background(entries[0], answers, "x", 200)
        wait_until(lambda: entries[0].state()["requests"], "a request is in progress")
        check(entries[0].stop(60) == 0, "an entry drains and exits with status 0")
        thread.join()
        check(answers[0].complete and b"[DONE]" in answers[0].body, "the request in progress is completed")

        thread = send_in_background(entries[1], answers, "y", 100_000)
        wait_until(lambda: agent.state()["running"], "a long request is running")
        for process in (entries[1], agent):
            process.signal(signal.SIGTERM)
            wait_until(lambda: "Draining." in process.log.read_text(), process.name + " drains")
            check(process.popen.poll() is None, process.name + " waits for its request in progress")
            process.signal(signal.SIGTERM)
            check(process.popen.wait(60) == 3, process.name + " exits at the second SIGTERM")
        thread.join()
        truncated = answers[1] is None or not answers[1].complete
        check(truncated, "an answer truncated by the second SIGTERM is not taken for a complete one")


check_help_and_version()
with tempfile.TemporaryDirectory() as temporary:
    check_settings(temporary)
check_signals()
print("ok")

"""What the scripts of the third review share: a small deployment on loopback, and the record of a case.

The deployment is that of testsuite/platformdeployment.py: a store, six model engines with an agent each,
two plain services and one entry. Its settings are those that deploy/entry.json.in and deploy/agent.json.in
give with the figures of sites/tendopoli-nord.toml. Engines and services write their records at each
heartbeat, as PROTOCOL.md says (Service discovery).
"""

import os
import pathlib
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
os.environ["WIGEONSILL_BIN"] = str(ROOT / "target/bin")
sys.path.insert(0, str(ROOT / "testsuite"))

import platformdeployment  # noqa: E402
from platformdeployment import Deployment, Node  # noqa: E402

HEARTBEAT_S = 1.2
ENTRY_SETTINGS = {
    "heartbeatMs": 1200, "strictRevocation": True, "revocationMs": 5000, "graceMs": 8000, "drainMs": 2500,
    "quotaWindowMs": 8000, "quotaSlack": 140000, "quotaExcess": 0.1, "retryWindowMs": 10000, "retryRatio": 0.2,
    "retrySlack": 54, "wait": {"objectiveShare": 0.6, "limitShare": 0},
}
AGENT_SETTINGS = {"prefillBacklogMs": 250, "queueAhead": 1, "quotaWindowMs": 8000}
STREAM_TIMEOUT_MS = 12000
CALL_TIMEOUT_MS = 1500
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


def configuration_of(slots, limits=None):
    """Returns a function that makes configurations with the time limits and limits of the site."""
    original = platformdeployment.configuration

    def make(*arguments, **options):
        result = original(*arguments, **options)
        for route in result["routes"]:
            is_stream = route["routeType"] == "streaming"
            route["timeoutMs"] = STREAM_TIMEOUT_MS if is_stream else CALL_TIMEOUT_MS
        result["services"][0]["engine"]["slots"] = slots
        result["limits"] = dict(
            {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            **(limits or {}))
        return result
    return make


class SmallDeployment(Deployment):
    """See the module."""

    def __init__(self, folder, slots=4):
        self.slots = slots
        self.stopped = threading.Event()
        platformdeployment.configuration = configuration_of(slots)
        super().__init__(folder, ENTRY_SETTINGS)
        self.sequence = 1
        for engine in self.engines + self.plain_services:
            engine.slots = slots
            engine.born = int(time.time() * 1000) - 60000
            self.write_record(engine)
        threading.Thread(target=self.beat, daemon=True).start()

    def start_agent(self, number):
        address = self.engines[number].address
        agent = Node(self.folder, "agent-%d" % number, dict(AGENT_SETTINGS, **{
            "role": "agent", "grant": "%s:%d" % (address.split(":")[0], self.grant_port), "target": address}))
        self.nodes.append(agent)
        return agent

    def write_record(self, engine):
        self.sequence += 1
        service = "plain" if engine in self.plain_services else "engines"
        record = dict(engine.instance_record(service), born=engine.born, seq=self.sequence)
        self.store.put("servers/" + engine.instance, record)

    def beat(self):
        while not self.stopped.wait(HEARTBEAT_S):
            for engine in self.engines + self.plain_services:
                if getattr(engine, "is_up", True):
                    self.write_record(engine)

    def __exit__(self, *arguments):
        self.stopped.set()
        super().__exit__(*arguments)


class Record:
    """record.txt of a case."""

    def __init__(self, case):
        self.file = (ROOT / "review" / case / "record.txt").open("w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text, *values):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.begin, text % values if values else text))
            self.file.flush()


def run(case, play):
    """Plays a case and exits as the review asks: 1 broken, 0 held, 2 could not run."""
    record = Record(case)
    record.line("disruption: %s", "yes" if TROUBLE else "no")
    try:
        with tempfile.TemporaryDirectory() as folder:
            is_broken = play(pathlib.Path(folder), record)
    except Exception as failure:  # noqa: BLE001
        record.line("could not run: %r", failure)
        print("could not run:", repr(failure))
        sys.exit(NOT_RUN)
    record.line("the rule was %s", "broken" if is_broken else "held")
    print("the rule was", "broken" if is_broken else "held")
    sys.stdout.flush()
    os._exit(BROKEN if is_broken else HELD)  # Threads of stand-ins may still wait.

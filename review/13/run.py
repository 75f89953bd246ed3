"""Callers send bodies of the largest size that the configuration allows, and the entries outgrow their memory."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "rig-3"))
import rig  # noqa: E402
from platformdeployment import Client  # noqa: E402

MEMORY_MB = 110  # Of an edge machine of sciabica-neve.
LARGEST_BODY = 4194304  # maxBodyBytes.
CALLERS = 18  # At each entry; the site has 39 clients, each with several connections.
BURSTS = 3
ENDS_ALLOWED = 2  # Of one machine; two machines may not end three times each.


class Platform:
    """Kills a process whose memory exceeds that of its machine, and starts it again after a second."""

    def __init__(self, deployment, name, address, record):
        self.deployment, self.name, self.address, self.record = deployment, name, address, record
        self.ends = 0
        self.highest = 0
        self.entry = deployment.start_entry(name, address)
        self.stopped = threading.Event()
        threading.Thread(target=self.watch, daemon=True).start()

    def memory_mb(self):
        with open("/proc/%d/status" % self.entry.popen.pid) as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmRSS"))

    def watch(self):
        while not self.stopped.wait(0.005):
            try:
                used = self.memory_mb()
            except (OSError, StopIteration):
                continue
            self.highest = max(self.highest, used)
            if used > MEMORY_MB:
                self.ends += 1
                self.record.line("%s uses %d MB of %d and is killed", self.name, used, MEMORY_MB)
                self.entry.popen.send_signal(signal.SIGKILL)
                self.entry.popen.wait()
                time.sleep(1)
                self.entry = self.deployment.start_entry("%s-%d" % (self.name, self.ends), self.address)
                self.record.line("%s is ready again", self.name)


def send(entry, body, record):
    client = Client(entry)
    try:
        client.send("/book/plain", tokens=None, body=body, extra={"Deadline-Ms": "3000"})
        reply = client.read()
        record.line("a request of %d bytes at %s is answered %d", len(body), entry.ports["listen"], reply.status)
    except Exception as failure:  # noqa: BLE001
        record.line("a request of %d bytes at %s ends with %s", len(body), entry.ports["listen"],
                    type(failure).__name__)


def play(folder, record):
    body = b"x" * (LARGEST_BODY if rig.TROUBLE else 600)
    with rig.SmallDeployment(folder) as deployment:
        machines = [Platform(deployment, "edge-%d" % number, "127.0.2.%d" % number, record) for number in (1, 2)]
        for burst in range(BURSTS):
            record.line("burst %d", burst + 1)
            callers = [
                threading.Thread(target=send, args=(machine.entry, body, record), daemon=True)
                for machine in machines for _ in range(CALLERS)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join(timeout=10)
            time.sleep(4)
        for machine in machines:
            machine.stopped.set()
            record.line("%s: %d ends by its memory, at most %d MB", machine.name, machine.ends, machine.highest)
        print("ends by memory:", [machine.ends for machine in machines])
        return all(machine.ends > ENDS_ALLOWED for machine in machines)


rig.run("13", play)

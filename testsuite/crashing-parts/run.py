"""Prompt parts that crash each engine that begins to answer on them: they are held back, and sound requests go on."""

import pathlib
import random
import subprocess
import tempfile
import threading
import time

from harness import BIN, check, wait_until
from platformdeployment import Client, Deployment
from platformstandin import Crashes, shared_parts

CONTACT_S = 3.0  # after the fifth end of an engine: what all machines know by then
ALLOWED = 3  # requests with such a part that may reach engines later
DOWN_S = 1.5  # until an engine is back
SOUND_CALLERS = 12
CRASHING_PER_S = 5
SUBJECTS = ["5%d" % number for number in range(6)]
FIRST = "f0"


class Callers:
    """Sound callers and one that sends requests with crashing parts, over all entries."""

    def __init__(self, deployment, entries):
        self.deployment, self.entries = deployment, entries
        self.sound = []  # (sent at, whether it was answered whole)
        self.crashing = []  # (sent at, request id, shared parts, reply)
        self.running = True
        self.threads = []
        self.last_parts = iter(range(1, 1_000_000))
        self.bodies = iter(range(1, 1_000_000))  # no two requests with a crashing part are alike
        for number in range(SOUND_CALLERS):
            self.start(self.send_sound, number)

    def start(self, task, *arguments):
        self.threads.append(threading.Thread(target=task, args=arguments, daemon=True))
        self.threads[-1].start()

    def prefix(self, *parts):
        return {"Prompt-Prefix": ",".join("%s:20" % part for part in parts + ("a%x" % next(self.last_parts),))}

    def send_sound(self, number):
        rng = random.Random(number)
        while self.running:
            at = time.monotonic()
            client = Client(self.entries[number % len(self.entries)])
            reply = client.exchange("/ask/sound", extra=self.prefix(FIRST, rng.choice(SUBJECTS)))
            self.sound.append((at, reply.status == 200 and reply.complete))
            client.connection.close()
            time.sleep(rng.uniform(0.02, 0.1))

    def send_crashing(self, choose_parts, seconds):
        """Sends requests with a crashing part, each from a thread of its own, for so long."""
        rng = random.Random(7)
        end = time.monotonic() + seconds
        for number in range(10_000):
            if time.monotonic() > end:
                return
            self.start(self.send_one_crashing, self.entries[number % len(self.entries)], choose_parts(rng, number))
            time.sleep(rng.expovariate(CRASHING_PER_S))

    def send_one_crashing(self, entry, parts):
        at = time.monotonic()
        client = Client(entry)
        body = b"prompt %d" % next(self.bodies)
        reply = client.exchange("/ask/crashing", body=body, extra=self.prefix(*parts))
        self.crashing.append((at, client.last_request, parts, reply))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def served_share(self, begin, end=float("inf")):
        served = [whole for at, whole in self.sound if begin <= at < end]
        return sum(served) / max(1, len(served))


class Case:
    """A deployment whose engines crash and start again, with two entries."""

    def __init__(self, folder, crashing_parts, refuses=True, lingers_s=0):
        self.deployment = Deployment(folder)
        self.entries = [self.deployment.entry, self.deployment.start_entry("entry-2", "127.0.0.2")]
        for engine in self.deployment.engines:
            engine.crashes = Crashes(engine, self.deployment.store, "engines", DOWN_S)
            engine.crashes.parts = set(crashing_parts)
            engine.crashes.refuses, engine.crashes.lingers_s = refuses, lingers_s

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.deployment.__exit__()

    def ends(self, part=None):
        """Returns when incarnations of engines ended, all or those under requests with a part."""
        return sorted(at for engine in self.deployment.engines for at, parts in engine.crashes.ends
                      if part is None or part in parts)

    def runs(self, part):
        """Returns when requests with the part began to run at engines, with their ids."""
        return [(run["at"], run["headers"]["Attempt-Id"])
                for engine in self.deployment.engines for run in list(engine.runs)
                if part in shared_parts(run["headers"])]


def check_held_back(case, callers, part, undisturbed):
    ends = case.ends(part)
    check(len(ends) >= 3, "the part crashes engines: %d ended" % len(ends))
    bound = ends[4] + CONTACT_S if len(ends) > 4 else float("inf")
    late = {request for at, request in case.runs(part) if at > bound}
    print("%s: %d engines ended; %d requests reached engines %g s after the fifth" % (
        part, len(ends), len(late), CONTACT_S))
    check(len(late) <= ALLOWED, "at most %d requests with the part reach engines later: %d" % (ALLOWED, len(late)))
    known = ends[min(4, len(ends) - 1)] + CONTACT_S
    share = callers.served_share(known + CONTACT_S)
    print("sound requests served at the first attempt: %.2f, before %.2f" % (share, undisturbed))
    check(share >= undisturbed / 2, "sound requests with the same first part and key are served")
    ran = {request for _, request in case.runs(part)}
    answers = [(request, reply) for at, request, parts, reply in callers.crashing
               if at > known and part in parts and request not in ran]
    check(answers, "requests with the part still come")
    for request, reply in answers:
        check(reply.status == 503, "a request that is held back is refused: %d" % reply.status)
        check(float(reply.headers["Retry-After"]) > 0, "it is told when to come back")


def play(folder, crashing_parts, choose_parts, seconds=14, **way_to_end):
    with Case(folder, crashing_parts, **way_to_end) as case:
        callers = Callers(case.deployment, case.entries)
        time.sleep(2)
        undisturbed = callers.served_share(0)
        check(undisturbed > 0.9, "sound requests are served: %.2f" % undisturbed)
        callers.send_crashing(choose_parts, seconds)
        callers.stop()
        for part in crashing_parts:
            check_held_back(case, callers, part, undisturbed)


def part_in_the_middle(folder):
    play(folder, ["bad"], lambda rng, number: (FIRST, "bad", rng.choice(SUBJECTS)))


def part_first(folder):
    play(folder, ["bad"], lambda rng, number: ("bad", rng.choice(SUBJECTS)))


def engines_that_close_connections_instead_of_refusing(folder):
    """No connection tells that an engine has ended; it is back as the same instance with a later start.

    Its agent still gets a report just after the connection of the request has ended.
    """
    play(folder, ["bad"], lambda rng, number: ("bad", rng.choice(SUBJECTS)), refuses=False, lingers_s=0.4)


def two_parts_at_once(folder):
    choices = [("bad", "e0"), (FIRST, "bad"), (FIRST, "e0"), (FIRST, "bad", "e0")]
    play(folder, ["bad", "e0"], lambda rng, number: choices[number % len(choices)], seconds=16)


def operator_releases_a_hold(folder):
    """What is held shows in the state of each entry, also of one that starts later, and can be let go."""
    with Case(folder, ["bad"]) as case:
        callers = Callers(case.deployment, case.entries)
        callers.send_crashing(lambda rng, number: (FIRST, "bad", rng.choice(SUBJECTS)), 6)
        late = case.deployment.start_entry("entry-3", "127.0.0.3")
        case.entries.append(late)
        wait_until(lambda: late.state()["partHolds"], "an entry that starts later knows the hold")
        hold = late.state()["partHolds"][0]
        check(hold["parts"] == "bad" and hold["targets"] >= 3, "its part and evidence are shown: %s" % hold)
        for engine in case.deployment.engines:
            engine.crashes.parts = set()
        ctl = subprocess.run([
            str(BIN / "wigeonsillctl"), "release-hold", hold["hold"],
            "--admin=127.0.0.1:%d" % late.ports["admin"]], capture_output=True, text=True)
        check(ctl.returncode == 0, "wigeonsillctl releases it: " + ctl.stdout + ctl.stderr)
        wait_until(lambda: not any(entry.state()["partHolds"] for entry in case.entries), "all entries release it")
        for entry in case.entries:
            reply = Client(entry).exchange("/ask/crashing", extra=callers.prefix(FIRST, "bad"))
            check(reply.status == 200 and reply.complete, "such a request is served again: %d" % reply.status)
        callers.stop()


def other_ends_hold_nothing_back(folder):
    """Engines crash at the same pace while no part does it."""
    with Case(folder, []) as case:
        callers = Callers(case.deployment, case.entries)
        time.sleep(1)
        begin, rng = time.monotonic(), random.Random(3)
        while time.monotonic() < begin + 10:
            rng.choice(case.deployment.engines).crashes.crash()
            time.sleep(rng.expovariate(4))
        callers.stop()
        held = [line for entry in case.entries for line in entry.lines if '"part-held"' in line]
        check(not held, "nothing is held back: %s" % held[:3])
        check(len(case.ends()) >= 10, "engines end: %d" % len(case.ends()))


def main():
    for part in (part_in_the_middle, part_first, engines_that_close_connections_instead_of_refusing, two_parts_at_once, operator_releases_a_hold, other_ends_hold_nothing_back):
        with tempfile.TemporaryDirectory() as folder:
            print(part.__name__, flush=True)
            part(pathlib.Path(folder))
    print("passed")


main()

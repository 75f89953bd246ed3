"""Prompt parts that crash each engine that begins to answer on them: they are held back, and sound requests go on."""

import pathlib
import random
import tempfile
import threading
import time

from harness import check
from platformdeployment import Client, Deployment
from platformstandin import Crashes

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
        self.crashing = []  # (sent at, request id, reply)
        self.running = True
        self.threads = []
        self.last_parts = iter(range(1, 1_000_000))
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
        reply = client.exchange("/ask/crashing", extra=self.prefix(*parts))
        self.crashing.append((at, client.last_request, reply))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def served_share(self, begin, end=float("inf")):
        served = [whole for at, whole in self.sound if begin <= at < end]
        return sum(served) / max(1, len(served))


class Case:
    """A deployment whose engines crash and start again, with two entries."""

    def __init__(self, folder, crashing_parts):
        self.deployment = Deployment(folder)
        self.entries = [self.deployment.entry, self.deployment.start_entry("entry-2", "127.0.0.2")]
        for engine in self.deployment.engines:
            engine.crashes = Crashes(engine, self.deployment.store, "engines", DOWN_S)
            engine.crashes.parts = set(crashing_parts)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.deployment.__exit__()

    def ends(self):
        return sorted(end for engine in self.deployment.engines for end in engine.crashes.ends)

    def arrivals(self, marker):
        """Returns when requests whose target has the marker began to run at engines, with their ids."""
        return [(run["at"], run["headers"]["Attempt-Id"])
                for engine in self.deployment.engines for run in list(engine.runs) if marker in run["target"]]


def check_held_back(case, callers, undisturbed):
    ends = case.ends()
    check(len(ends) >= 5, "the parts crash engines: %d ended" % len(ends))
    bound = ends[4] + CONTACT_S
    late = {request for at, request in case.arrivals("/ask/crashing") if at > bound}
    print("%d engines ended; %d requests with such a part reached engines %g s after the fifth" % (
        len(ends), len(late), CONTACT_S))
    check(len(late) <= ALLOWED, "at most %d requests with a crashing part reach engines later: %d" % (ALLOWED, len(late)))
    share = callers.served_share(ends[4] + 2 * CONTACT_S)
    print("sound requests served at the first attempt: %.2f, before %.2f" % (share, undisturbed))
    check(share >= undisturbed / 2, "sound requests with the same first part and key are served")
    late_answers = [(request, reply) for at, request, reply in callers.crashing if at > bound and request not in late]
    check(late_answers, "requests with such a part still come")
    ran = {request for _, request in case.arrivals("/ask/crashing")}
    for request, reply in late_answers:
        check(reply.status == 503 and request not in ran, "a held request is refused and has not run: %d" % reply.status)
        check(float(reply.headers["Retry-After"]) > 0, "it is told when to come back")


def play(folder, crashing_parts, choose_parts, seconds=14):
    with Case(folder, crashing_parts) as case:
        callers = Callers(case.deployment, case.entries)
        time.sleep(2)
        undisturbed = callers.served_share(0)
        check(undisturbed > 0.9, "sound requests are served: %.2f" % undisturbed)
        callers.send_crashing(choose_parts, seconds)
        callers.stop()
        check_held_back(case, callers, undisturbed)


def part_in_the_middle(folder):
    play(folder, ["bad"], lambda rng, number: (FIRST, "bad", rng.choice(SUBJECTS)))


def part_first(folder):
    play(folder, ["bad"], lambda rng, number: ("bad", rng.choice(SUBJECTS)))


def two_parts_at_once(folder):
    choices = [("bad", "e0"), (FIRST, "bad"), (FIRST, "e0"), (FIRST, "bad", "e0")]
    play(folder, ["bad", "e0"], lambda rng, number: choices[number % len(choices)], seconds=16)


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
    for part in (part_in_the_middle, part_first, two_parts_at_once, other_ends_hold_nothing_back):
        with tempfile.TemporaryDirectory() as folder:
            print(part.__name__, flush=True)
            part(pathlib.Path(folder))
    print("passed")


main()

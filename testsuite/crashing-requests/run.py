"""One request that crashes each server that begins to run it, and comes again: it is held back, and others go on."""

import pathlib
import random
import signal
import tempfile
import threading
import time

from harness import check, wait_until
from platformdeployment import Client, Deployment
from platformstandin import Crashes

CONTACT_S = 3.0  # after the third end of a server: what all machines know by then
ALLOWED = 3  # sends of the request that may reach servers later
DOWN_S = 1.5  # until a server is back
SOUND_CALLERS = 8
CRASHING_BODY = b"the request that crashes servers"
KEYS = {"key-1": "ganga", "key-of-yamuna": "yamuna"}


class Case:
    """A deployment with two entries whose servers crash under one request and start again."""

    def __init__(self, folder, path, method="POST", key="key-1", body=CRASHING_BODY, extra=None):
        self.deployment = Deployment(folder)
        self.entries = [self.deployment.entry, self.deployment.start_entry("entry-2", "127.0.0.2")]
        self.path, self.method, self.key, self.body, self.extra = path, method, key, body, extra
        plain = path.split("/")[1] in ("look", "book")
        self.servers = self.deployment.plain_services if plain else self.deployment.engines
        for server in self.servers:
            server.crashes = Crashes(server, self.deployment.store, "plain" if plain else "engines", DOWN_S)
            server.crashes.before_head = plain
        self.sound = []  # (sent at, whether it was answered whole, reply)
        self.crashing = []  # (sent at, request id, reply)
        self.running = True
        self.threads = []
        self.bodies = iter(range(1_000_000))
        for number in range(SOUND_CALLERS):
            self.start(self.send_sound, number)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.deployment.__exit__()

    def let_crash(self):
        for server in self.servers:
            server.crashes.requests.add((self.method, self.path, KEYS[self.key], self.body))

    def start(self, task, *arguments):
        self.threads.append(threading.Thread(target=task, args=arguments, daemon=True))
        self.threads[-1].start()

    def exchange(self, entry, body, key=None):
        client = Client(entry)
        try:
            reply = client.exchange(self.path, body=body, key=key or self.key, method=self.method, extra=self.extra)
        except OSError:
            return client.last_request, None  # its entry was stopped or killed
        finally:
            client.connection.close()
        return client.last_request, reply

    def sound_body(self, rng):
        return b"sound request %d" % next(self.bodies)

    def send_sound(self, number):
        rng = random.Random(number)
        while self.running:
            at = time.monotonic()
            _, reply = self.exchange(rng.choice(self.entries), self.sound_body(rng))
            self.sound.append((at, reply is not None and reply.status == 200 and reply.complete, reply))
            time.sleep(rng.uniform(0.02, 0.1))

    def send_crashing(self, per_s, seconds):
        rng = random.Random(7)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.start(self.send_one_crashing, rng.choice(self.entries))
            time.sleep(rng.expovariate(per_s))

    def send_one_crashing(self, entry):
        at = time.monotonic()
        request, reply = self.exchange(entry, self.body)
        self.crashing.append((at, request, reply))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def served_share(self, begin, end=float("inf")):
        served = [whole for at, whole, _ in self.sound if begin <= at < end]
        return sum(served) / max(1, len(served))

    def ends(self):
        return sorted(at for server in self.servers for at, _ in server.crashes.ends)

    def runs(self):
        return [(run["at"], run["headers"]["Attempt-Id"]) for server in self.servers for run in list(server.runs)
                if run["body"] == self.body and run["headers"].get("Tenant") == KEYS[self.key]]

    def held_lines(self):
        return [line for entry in self.entries for line in entry.lines if '-held"' in line]

    def check(self, undisturbed):
        ends = self.ends()
        check(len(ends) >= 3, "the request crashes servers: %d ended" % len(ends))
        bound = ends[2] + CONTACT_S
        late = [request for at, request in self.runs() if at > bound]
        print("%d servers ended; the request reached servers %d times %g s after the third" % (
            len(ends), len(late), CONTACT_S))
        check(len(late) <= ALLOWED, "at most %d sends reach servers later: %d" % (ALLOWED, len(late)))
        share = self.served_share(bound + CONTACT_S)
        print("sound requests served at the first attempt: %.2f, before %.2f" % (share, undisturbed))
        check(share >= undisturbed / 2, "sound requests of the same path and caller are served")
        ran = {request for _, request in self.runs()}
        told = [(request, reply) for at, request, reply in self.crashing if reply and at > bound and request not in ran]
        check(told, "the request still comes")
        for request, reply in told:
            check(reply.status == 503, "it is refused: %d" % reply.status)
            check(float(reply.headers["Retry-After"]) > 0, "its caller is told when to come back")
        for _, request, reply in self.crashing:
            check(not (reply and reply.status == 503 and request in ran), "what ran is not called not run")


def play(folder, path, per_s, seconds=15, during=None, **options):
    with Case(folder, path, **options) as case:
        time.sleep(4)  # longer than an entry takes to learn what is answered
        undisturbed = case.served_share(0)
        check(undisturbed > 0.9, "sound requests are served: %.2f" % undisturbed)
        case.let_crash()
        if during:
            case.start(during, case)
        case.send_crashing(per_s, seconds)
        case.stop()
        case.check(undisturbed)


def idempotent(folder):
    play(folder, "/look/plain", 2)


def non_idempotent(folder):
    play(folder, "/book/plain", 2)


def without_body(folder):
    play(folder, "/look/plain?seat=7", 2, method="GET", body=b"")


def large_body(folder):
    play(folder, "/look/plain", 2, body=90_000 * b"a")


def resumable_stream(folder):
    play(folder, "/ask/x", 3)


def resumable_stream_with_parts(folder):
    play(folder, "/ask/x", 3, extra={"Prompt-Prefix": "f0:20,51:20,e1:20"})


def stream(folder):
    play(folder, "/draft/x", 0.7, seconds=20)


def entries_restarted_and_frozen(folder):
    """One entry is killed and started again, the other one is frozen while it goes on."""
    def disturb(case):
        time.sleep(5)
        first, second = case.entries
        second.popen.send_signal(signal.SIGSTOP)
        case.entries[:] = [first]
        time.sleep(2)
        second.popen.send_signal(signal.SIGCONT)
        case.entries[:] = [second]
        first.popen.kill()
        case.entries[:] = [second, case.deployment.start_entry("entry-3", "127.0.0.3")]
    play(folder, "/look/plain", 2, during=disturb)


def others_are_not_held(folder):
    """The same body of another organisation, and one byte changed: sound, and served while the other is held."""
    with Case(folder, "/look/plain") as case:
        time.sleep(4)
        case.let_crash()
        case.start(case.send_crashing, 2, 12)
        wait_until(lambda: len(case.ends()) >= 3, "three servers end")
        time.sleep(CONTACT_S)
        for body, key in ((CRASHING_BODY, "key-of-yamuna"), (CRASHING_BODY[:-1] + b"S", "key-1")):
            for number in range(40):
                _, reply = case.exchange(case.entries[number % 2], body, key)
                check(b"Held" not in reply.body, "a request that is another one is not held: %s" % reply.body)
                time.sleep(0.05)
        case.stop()
        check(case.held_lines(), "the one that crashes servers is held")


def other_ends_hold_nothing_back(folder):
    """Servers crash at the same pace by themselves while all callers send one body, and some a few others."""
    with Case(folder, "/look/plain") as case:
        case.sound_body = lambda rng: b"popular" if rng.random() < 0.7 else b"seldom %d" % rng.randrange(30)
        time.sleep(4)
        begin, rng = time.monotonic(), random.Random(3)
        while time.monotonic() < begin + 15:
            rng.choice(case.servers).crashes.crash()
            time.sleep(rng.expovariate(2))
        case.stop()
        check(len(case.ends()) >= 8, "servers end: %d" % len(case.ends()))
        check(not case.held_lines(), "nothing is held back: %s" % case.held_lines()[:3])


def main():
    for case in (
            idempotent, non_idempotent, without_body, large_body, resumable_stream, resumable_stream_with_parts, stream,
            entries_restarted_and_frozen, others_are_not_held, other_ends_hold_nothing_back):
        with tempfile.TemporaryDirectory() as folder:
            print(case.__name__, flush=True)
            case(pathlib.Path(folder))
    print("passed")


main()

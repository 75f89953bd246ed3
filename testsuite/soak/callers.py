"""Callers that keep their connections open, retry as the platform's clients do, and record what they see."""

import http.client
import itertools
import random
import select
import socket
import threading
import time

from deployment import HOST

DEADLINE_S = 4.0
CONNECT_TIMEOUT_S = 1.0
ATTEMPTS = 3
PROMISES = (408, 421, 429, 503)  # statuses that say that the request has not run and never will
KINDS = {"ask": 4, "draft": 3, "book": 4, "look": 3}
PROBE_PAUSE_S = 0.15
METERED_FACTOR = 3
VERSION_1_0_SHARE = 0.06  # of the requests
UPLOAD_SHARE = 0.1  # of the requests with a body, whose body is UPLOAD_SIZE
UPLOAD_SIZE = 1_500_000  # more than links and systems hold of an upload that is not read
LEAVING_SHARE = 0.04  # of the requests, whose callers leave within LEAVING_S
LEAVING_S = 0.4
FIRST_PART = "f0"  # that all prompts share
SUBJECTS = ("a1", "a2", "a3", "a4", "a5")
CRASHING_PER_S = 5
REPEATS_PER_S = 3
LONG_STREAMS, LONG_STREAM_EVENTS = 6, 100


class KeptStream:
    """The reader of a connection for http.client, which would close its own after each answer."""

    def __init__(self, connection):
        self.file = connection.makefile("rb")

    def makefile(self, *_):
        return self

    def __getattr__(self, name):
        return getattr(self.file, name)

    def close(self):
        pass


class Attempt:
    """One request of a caller and all that it saw of the answer."""

    def __init__(self, kind, target, key, tokens):
        self.id = None
        self.kind, self.target, self.key, self.tokens = kind, target, key, tokens
        self.is_retry = False
        self.parts = ()  # of its prompt, but its own last one
        self.fixed_body = b""  # of a request that comes again; otherwise each attempt has its own
        self.first_event = 1
        self.origin = None  # the request that brought the first event of a stream that this one takes up
        self.version_1_0 = False
        self.gives_up_s = None  # after which its caller leaves, in the middle of a stream
        self.entry = None
        self.incarnation = None  # of the entry's process that has the connection
        self.sent_at = self.answered_at = self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.trouble = ""

    def served(self):
        return self.complete and self.status == 200


class Caller:
    """Sends requests one after another until the soak stops."""

    ids = itertools.count(1)
    longest_silence_s = float("inf")  # after which a caller leaves
    deadline_s = DEADLINE_S
    away_s = 0.0  # until a caller takes up a stream that broke off

    def __init__(self, deployment, name, key, pause_s, attempts):
        self.deployment, self.key, self.pause_s = deployment, key, pause_s
        self.attempts = attempts
        self.rng = random.Random("%s-%d" % (name, deployment.seed))
        self.upload_rng = random.Random("uploads of %s-%d" % (name, deployment.seed))
        self.connection = None
        self.entry = None

    def run(self):
        try:
            while not self.deployment.stopping.wait(self.rng.expovariate(1 / self.pause_s)):
                self.request()
        except Exception as error:  # reported as a failure of the soak itself
            self.deployment.broken.append(("SOAK", "-", "a caller ended: %r" % error))
        self.disconnect()

    def choose_request(self):
        kind = self.rng.choices(list(KINDS), KINDS.values())[0]
        key = self.key
        if key == "key-stable":
            chance = self.rng.random()
            operator = self.deployment.operator
            if chance < 0.3:
                key = operator.keys[-1]
            elif chance < 0.45 and operator.revoked:
                key = list(operator.revoked)[-1]
            elif chance < 0.47:
                key = "never-issued"
        target = "/%s/%d?n=%d" % (kind, self.rng.randrange(1000), self.rng.randint(1, 25))
        tokens = (self.rng.randint(50, 400), self.rng.randint(10, 100))
        if key == "key-metered":
            tokens = tuple(METERED_FACTOR * count for count in tokens)  # so that the quota binds
        attempt = Attempt(kind, target, key, tokens)
        if kind in ("ask", "draft"):
            attempt.parts = (FIRST_PART, SUBJECTS[int(target.split("/")[2].split("?")[0]) % len(SUBJECTS)])
        return attempt

    def request(self):
        deadline = time.monotonic() + self.deadline_s
        attempt = self.choose_request()
        for _ in range(ATTEMPTS):
            self.send_and_record(attempt, deadline)
            if attempt.served() or not self.may_retry(attempt):
                return
            left_s = deadline - time.monotonic()
            try:
                pause_s = float(attempt.headers.get("Retry-After", "0.05"))
            except ValueError:
                pause_s = 0.05
            away_s = self.away_s if attempt.body else 0.0
            if pause_s > left_s / 3 or self.deployment.stopping.wait(pause_s + away_s):
                return
            self.disconnect()  # each retry takes a new connection
            previous = attempt
            attempt = Attempt(previous.kind, previous.target, previous.key, previous.tokens)
            attempt.parts = previous.parts
            attempt.is_retry = True
            if previous.kind == "ask" and previous.body:
                # Goes on after the whole events that it has.
                attempt.first_event = previous.first_event + previous.body.count(b"\n\n")
                if attempt.first_event > 1:
                    attempt.origin = previous.origin or previous.id
                if attempt.first_event > int(previous.target.split("n=")[1]):
                    return

    def may_retry(self, attempt):
        if attempt.gives_up_s or attempt.status in (400, 401, 404, 413, 431):
            return False
        return attempt.status in PROMISES or attempt.kind in ("ask", "look")

    def choose_entry(self):
        return self.rng.choice(sorted(self.deployment.rotation) or self.deployment.entries)

    def connect(self):
        self.entry = self.choose_entry()
        host, port = self.deployment.links[self.entry].address.split(":")
        self.connection = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        self.stream = KeptStream(self.connection)

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
            self.stream.file.close()
            self.connection = None

    def send_and_record(self, attempt, deadline):
        attempt.id = "a-%d" % next(self.ids)
        self.attempts.append(attempt)
        attempt.version_1_0 = self.rng.random() < VERSION_1_0_SHARE
        if self.rng.random() < LEAVING_SHARE:
            attempt.gives_up_s = self.rng.uniform(0, LEAVING_S)
        try:
            if self.connection is not None and self.unasked_bytes(attempt):
                self.disconnect()
            if self.connection is None:
                self.connect()
            attempt.entry = self.entry
            self.exchange(attempt, deadline)
        except (OSError, http.client.HTTPException) as error:
            attempt.trouble = repr(error)
            attempt.body += getattr(error, "partial", b"") or b""
            self.disconnect()
        finally:
            attempt.ended_at = time.monotonic()

    def unasked_bytes(self, attempt):
        """Returns whether the idle connection has ended; bytes on it belong to no request."""
        self.connection.settimeout(0)  # peek() then returns what is there, and nothing at the end
        try:
            data = self.stream.file.peek(1)
        except OSError:
            return True
        if data:
            self.deployment.broken.append((
                "MIXED", attempt.id, "bytes on an idle connection to %s: %r" % (self.entry, data[:100])))
        poll = select.poll()
        poll.register(self.connection, select.POLLIN)
        return bool(data) or bool(poll.poll(0))

    def exchange(self, attempt, deadline):
        method, body = "POST", attempt.fixed_body or b"prompt of " + attempt.id.encode()
        if attempt.kind in ("look", "probe"):
            method, body = "GET", b""
        elif not attempt.fixed_body and self.upload_rng.random() < UPLOAD_SHARE:
            body += UPLOAD_SIZE * b"."
        lines = [
            "%s %s HTTP/1.%d" % (method, attempt.target, 0 if attempt.version_1_0 else 1), "Host: " + HOST,
            "Attempt-Id: " + attempt.id, "Deadline-Ms: %d" % max(1, 1000 * (deadline - time.monotonic())),
            "Content-Length: %d" % len(body)]
        if attempt.key:
            lines += ["Authorization: Bearer " + attempt.key, "Token-Count: %d,%d" % attempt.tokens]
        if attempt.parts:
            lines.append("Prompt-Prefix: " + ",".join("%s:20" % part for part in (*attempt.parts, "e" + attempt.id[2:])))
        if attempt.first_event > 1:
            lines += ["Last-Event-Id: %d" % (attempt.first_event - 1), "Resumes: " + attempt.origin]
        attempt.request = (method, attempt.target, body)
        attempt.sent_at = time.monotonic()
        self.connection.settimeout(min(self.longest_silence_s, max(0.1, deadline - attempt.sent_at) + 0.5))
        self.connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        owners = self.deployment.links[self.entry].owners
        response = http.client.HTTPResponse(self.stream, method=method)
        try:
            response.begin()
            attempt.answered_at = time.monotonic()
            attempt.status, attempt.headers = response.status, dict(response.getheaders())
            if response.length is not None:
                attempt.body = response.read()
            else:
                while piece := response.read1(65536):
                    attempt.body += piece
                    if attempt.gives_up_s and time.monotonic() > attempt.sent_at + attempt.gives_up_s:
                        raise ConnectionAbortedError("the caller leaves")
            attempt.complete = True
        finally:
            attempt.incarnation = owners.get(self.connection.getsockname()[1])
        if response.will_close:
            self.disconnect()


class CrashingCaller(Caller):
    """Sends requests with a crashing part, no two alike, and repeats none of them."""

    def send(self, part, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.deployment.stopping.wait(self.rng.expovariate(CRASHING_PER_S)):
            attempt = Attempt("ask", "/ask/%d?n=5" % self.rng.randrange(1000), "key-stable", (100, 20))
            attempt.parts = self.rng.choice([(FIRST_PART, part, "a1"), (part, "a2"), (FIRST_PART, "a3", part)])
            self.send_and_record(attempt, time.monotonic() + DEADLINE_S)
            self.disconnect()


class RepeatingCaller(Caller):
    """Sends one request again and again, to any entry."""

    def send(self, kind, target, body, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.deployment.stopping.wait(self.rng.expovariate(REPEATS_PER_S)):
            attempt = Attempt(kind, target, "key-stable", (100, 20))
            attempt.fixed_body = body
            self.send_and_record(attempt, time.monotonic() + DEADLINE_S)
            self.disconnect()


class StreamCaller(Caller):
    """Reads a long stream at one entry. If nothing comes for a time, it takes the stream up at another one."""

    longest_silence_s = 2.0

    def __init__(self, deployment, entry, attempts, away_s):
        super().__init__(deployment, "streams of " + entry, "key-stable", 0, attempts)
        self.first_entry = entry
        self.away_s = away_s
        self.deadline_s = 8.0 + away_s

    def choose_request(self):
        return Attempt("ask", "/ask/%d?n=%d" % (self.rng.randrange(1000), LONG_STREAM_EVENTS), self.key, (100, 20))

    def choose_entry(self):
        if self.entry is None:
            return self.first_entry
        others = self.deployment.rotation - {self.first_entry}
        return self.rng.choice(sorted(others)) if others else super().choose_entry()

    def send(self):
        self.request()
        self.disconnect()


class Prober(Caller):
    """Asks one entry for the routes of the newest configurations."""

    def __init__(self, deployment, entry, attempts):
        super().__init__(deployment, "prober of " + entry, None, PROBE_PAUSE_S, attempts)
        self.probed = entry

    def choose_entry(self):
        return self.probed

    def request(self):
        sent = sorted(self.deployment.operator.sent)[-3:]
        attempt = Attempt("probe", "/v%d/x" % self.rng.choice(sent), None, None)
        self.send_and_record(attempt, time.monotonic() + DEADLINE_S)


def start_callers(deployment, counts, attempts):
    """Starts the callers and probers and returns their threads."""
    callers = [
        Caller(deployment, "caller-%d" % number, "key-metered" if number % 5 == 4 else "key-stable",
               counts["pause_s"], attempts)
        for number in range(counts["caller"])]
    callers += [Prober(deployment, entry, attempts) for entry in deployment.entries]

    def send_crashing(part, seconds):
        CrashingCaller(deployment, "crashing " + part, "key-stable", 0, attempts).send(part, seconds)
    def send_crashing_request(kind, target, body, seconds):
        name = "repeating " + target
        RepeatingCaller(deployment, name, "key-stable", 0, attempts).send(kind, target, body, seconds)
    def read_streams(entry, away_s=0.0):
        for _ in range(LONG_STREAMS):
            deployment.start_thread(StreamCaller(deployment, entry, attempts, away_s).send)
    deployment.read_streams = read_streams
    deployment.send_crashing = send_crashing
    deployment.send_crashing_request = send_crashing_request
    threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
    for thread in threads:
        thread.start()
    return threads

"""The stand-ins of the store and of engines, with the faults of a soak."""

import collections
import random
import socket
import struct
import threading
import time

from platformstandin import Engine, Store, format_answer, shared_parts
from standinserver import body_length, read_head, read_request

COPY_KEEP_S = 10.0  # how far the store can go back
SLOW_S = 1.2
PAUSE_S = 3.0  # the longest pause within an answer
WORK_S, LONG_WORK_S, LONG_WORK_SHARE = (0.005, 0.06), (0.2, 0.6), 0.1  # of plain services
FIRST_TOKEN_S = (0.005, 0.1)
ENDLESS_S = 6.0  # bounds an endless answer whose reader never closes
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close() resets the connection
# Changes of a sound head that make it unsound: what is replaced, and by what.
HEAD_FAULTS = (
    (b" 200 ", b" 000 "), (b" 200 ", b" 099 "), (b"Server-Stamp:", b"Retry After: 1\r\nServer-Stamp:"),
    (b"Server-Stamp:", b"Retry\x02After: 1\r\nServer-Stamp:"), (b"Server-Stamp:", b" Retry-After: 1\r\nServer-Stamp:"),
    (b"Server-Stamp:", b"Transfer-Encoding: gzip\r\nServer-Stamp:"), (b"Server-Stamp", b"Server-Stamp "),
)
LAST_BYTES = 150  # of a body, within which half of the cuts lie that have another answer behind them
ODD_PAUSE_S = 0.4  # longer than an entry waits for anything
JOIN_PAUSES_S = (0, 0.001, 0.004, 0.05)  # between the pieces of that answer
FIRST_EVENT_SHARE = 0.4  # of the streams that break off or pause, that do so within their first event


class SoakStore(Store):
    """Adds the modes "slow" and "lossy" (carries out calls, loses answers) and a loss of history."""

    def __init__(self):
        self.forgotten_revision = 0
        super().__init__()

    def keep_copy(self):
        super().keep_copy()
        # go_back() needs one copy from before the moment that it goes back to.
        while len(self.copies) > 2 and self.copies[1][0] < time.monotonic() - COPY_KEEP_S:
            self.copies.pop(0)

    def forget(self):
        self.forgotten_revision = self.revision

    def reply(self, method, target, body):
        if self.mode == "slow":
            time.sleep(SLOW_S)
        if "/kv-watch" in target:
            after = int(target.split("after=")[1].split("&")[0])
            if after < self.forgotten_revision and after < self.revision:
                return 410, {}
        reply = super().reply(method, target, body)
        if self.mode == "lossy":
            raise ConnectionResetError("the answer is lost")
        return reply


# A request's arrival at an engine, and the status with which it was turned away (200: it ran).
# retry_after_s is the time for which the engine then asked to get nothing from the sender.
Arrival = collections.namedtuple("Arrival", "at service attempt instance outcome retry_after_s")


class Run:
    """One run of a request at an engine, with all that the engine sent of its answer."""

    def __init__(self, engine, version, headers, method, target, body):
        self.at = time.monotonic()
        self.engine = engine
        self.stamp = ""
        self.version = version
        self.headers = headers
        self.attempt = headers.get("Attempt-Id", "")
        self.request = (method, target, body)  # without a body that was not read: None
        self.status = None
        self.body = b""
        self.whole = False
        self.leaving = False  # whether the answer says that the engine leaves


class Load:
    """Requests at one incarnation of an engine."""

    def __init__(self, slots):
        self.present = 0
        self.slots = threading.Semaphore(slots)


class SoakEngine(Engine):
    """An engine ("stream" requests) or plain service whose faults strike a part of its requests.

    Each answer is unique to engine, run and request. journal receives runs and arrivals.
    """

    slots_of_plain = 4
    queue = 3

    def __init__(self, name, service, journal, seed):
        self.name = name
        self.service = service
        self.journal = journal
        self.rng = random.Random("%s-%d" % (name, seed))
        self.incarnation = 0
        self.fault = None
        self.fault_share = 1.0
        self.dark = False
        self.limit = None  # the requests a second that it names in its answers
        self.retry_after_s = 0.0  # sent with the refusals of the fault "refuse"
        self.state = self.listed_state = "ready"  # what its answers and the store's list say of it
        self.sequence = 0
        self.crash = None  # called with the engine when a prompt part or a request ends it
        super().__init__(name, slots=2 if service == "engines" else self.slots_of_plain)
        self.next_version = self.version
        self.begin_incarnation()

    def begin_incarnation(self):
        self.incarnation += 1
        self.instance = "%s.%d" % (self.name, self.incarnation)
        self.version = self.next_version  # after the instance, see handle_request()
        if self.service == "engines":
            self.journal.versions.append((time.monotonic(), self.name, self.version))
        self.load = Load(self.slots)
        self.state = self.listed_state = "ready"
        self.dark = False
        self.set_limit(self.limit)

    def set_limit(self, limit):
        """Begins to name a limit, as the incarnation that is there, or ends it."""
        now = time.monotonic()
        for span in self.journal.limits:
            if span[0].rsplit(".", 1)[0] == self.name and span[3] == float("inf"):
                span[3] = now
        self.limit = limit
        if limit is not None:
            self.journal.limits.append([self.instance, limit, now, float("inf")])

    def own_state_headers(self):
        if self.dark:
            raise ConnectionResetError("the engine is gone")
        return super().own_state_headers()

    def record(self):
        self.sequence += 1
        return dict(self.instance_record(self.service, state=self.listed_state), seq=self.sequence)

    def read_request(self, connection, data):
        if self.fault != "early-reset":
            return read_request(connection, data)
        head = read_head(connection, data)
        if head is None:
            return None
        method, target, headers, rest = head
        length = body_length(headers)
        if length <= len(rest) or self.dark or dict(headers).get("Expect-Instance", self.instance) != self.instance:
            lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % (name, value) for name, value in headers]
            return read_request(connection, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + rest)
        self.answer_and_reset(connection, Run(self, self.version, dict(headers), method, target, None))
        raise ConnectionResetError("the connection was reset behind an unread upload")

    def answer_and_reset(self, connection, run):
        """Sends a part of an answer without length that ends like a whole one, and resets the connection."""
        self.journal.arrivals.append(Arrival(run.at, self.service, run.attempt, self.instance, 200, 0.0))
        run.stamp = "%s.%d" % (self.instance, self.journal.add_run(run))
        run.status = 200
        lines = ["HTTP/1.1 200 X", "Attempt-Id: " + run.attempt, "Server-Stamp: " + run.stamp]
        if self.service == "engines":
            lines.append("Content-Type: text/event-stream")
            first = int(run.headers.get("Last-Event-Id", "0")) + 1
            run.body = ("id: %d\ndata: %s/%d/%s\n\n" % (first, run.attempt, first, run.stamp)).encode()
        else:
            run.body = ("answer to %s by %s\n" % (run.attempt, run.stamp)).encode()
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + run.body)
        time.sleep(self.rng.choice([0, 0.02]))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()

    def handle_request(self, connection, method, target, headers, body):
        now = time.monotonic()
        version = self.version  # never newer than the instance
        instance, load = self.instance, self.load
        self.running = load.present
        if self.dark:
            raise ConnectionResetError("the engine is gone")
        echo = [("Attempt-Id", headers.get("Attempt-Id", ""))]
        if self.state == "draining":
            echo += [("Server-Leaving", "1"), ("Connection", "close")]
        if self.limit is not None:
            echo.append(("Server-Limit", str(self.limit)))

        def note_arrival(outcome, retry_after_s=0.0):
            self.journal.arrivals.append(
                Arrival(now, self.service, echo[0][1], instance, outcome, retry_after_s))
        if headers.get("Expect-Instance", instance) != instance:
            note_arrival(421)
            connection.sendall(format_answer(421, echo + [("Not-Executed", "1")], b""))
            return self.state != "draining"
        fault = self.fault if self.rng.random() < self.fault_share else None
        if fault == "refuse" or load.present >= self.slots + self.queue:
            retry_after_s = self.retry_after_s if fault == "refuse" else 0.0
            note_arrival(503, retry_after_s)
            wish = [("Retry-After", "%.1f" % retry_after_s)] if retry_after_s else []
            connection.sendall(format_answer(503, echo + [("Not-Executed", "1")] + wish, b""))
            return self.state != "draining"
        note_arrival(200)
        load.present += 1
        try:
            with load.slots:
                return self.run(connection, fault, Run(self, version, headers, method, target, body), echo)
        finally:
            load.present -= 1

    def run(self, connection, fault, run, echo):
        run.stamp = "%s.%d" % (self.instance, self.journal.add_run(run))
        run.leaving = ("Server-Leaving", "1") in echo
        if run.request in self.journal.crashing_requests and not self.dark:
            self.journal.request_ends.append((time.monotonic(), run.request, self.instance))
            self.crash(self)
            return False
        headers = echo + [("Server-Stamp", run.stamp)]
        if fault == "half-head":
            head = format_answer(200, headers, b"")
            connection.sendall(head[:self.rng.randrange(1, len(head) - 1)])
            return False
        if fault == "unsound-head":
            replaced, replacement = self.rng.choice(HEAD_FAULTS)
            connection.sendall(format_answer(200, headers, b"of an unsound head\n").replace(replaced, replacement, 1))
            return False
        if fault == "garbage":
            connection.sendall(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        if fault == "endless":
            connection.sendall(self.rng.choice([b"HTTP/1.1 200 X\r\nX: ", b"", b"HTTP/1.1 "]))
            end = run.at + ENDLESS_S
            while time.monotonic() < end:
                connection.sendall(1000 * b"x")
                time.sleep(0.005)
            return False
        if self.service == "engines" and fault != "error":
            return self.stream_events(connection, fault, run, headers)
        time.sleep(self.rng.uniform(*(LONG_WORK_S if self.rng.random() < LONG_WORK_SHARE else WORK_S)))
        run.status = 500 if fault == "error" else 200
        text = "answer to %s by %s\n" % (run.attempt, run.stamp)
        run.body = (text * self.rng.randint(1, 40)).encode()
        if fault == "quote":
            run.body = self.quote_head(run.body)
        answer = format_answer(run.status, headers, run.body)
        if fault == "joined":
            self.send_joined(connection, answer, run.body)
            return True
        if fault == "joined-odd":
            self.send_joined_odd(connection, answer, run.body)
            return True
        if fault == "quote":
            self.send_in_pieces(connection, answer)
            run.whole = True
            return self.state != "draining"
        if fault == "unframed":
            answer = b"\r\n".join(line for line in answer.split(b"\r\n") if not line.startswith(b"Content-Length"))
        if fault in ("torn", "pause"):
            cut = self.rng.randrange(1, len(answer))
            connection.sendall(answer[:cut])
            time.sleep(self.rng.uniform(0.05, PAUSE_S))
            if fault == "torn":
                return False
            answer = answer[cut:]
        connection.sendall(answer)
        run.whole = True
        if fault == "twice":
            time.sleep(self.rng.choice([0, 0.1]))
            connection.sendall(answer)
        return fault != "unframed" and self.state != "draining"

    def late_answer(self, size):
        """Returns an answer to a request that another caller has sent."""
        number = self.rng.randrange(10 ** 8, 10 ** 9)
        stamp = [("Attempt-Id", "late-%d" % number), ("Server-Stamp", "%s.late-%d" % (self.instance, number))]
        return format_answer(200, stamp, size * b"L")

    def send_in_pieces(self, connection, answer):
        size, pause_s = self.rng.choice([1, 7, 40, len(answer)]), self.rng.choice(JOIN_PAUSES_S[:3])
        size = max(size, len(answer) // 200)
        for at in range(0, len(answer), size):
            connection.sendall(answer[at:at + size])
            time.sleep(pause_s)

    def send_joined(self, connection, answer, body):
        """Breaks off within a body, and sends a late answer in pieces, behind the body or as long as its rest."""
        late = self.late_answer(self.rng.randrange(800))
        missing = self.rng.randint(1, min(LAST_BYTES, len(body)) if self.rng.random() < 0.5 else len(body))
        if self.rng.random() < 0.3 and len(late) <= len(body):
            missing = len(late)
        connection.sendall(answer[:len(answer) - missing])
        time.sleep(self.rng.choice(JOIN_PAUSES_S))
        self.send_in_pieces(connection, late)

    def send_joined_odd(self, connection, answer, body):
        """Breaks off within a body, and sends an answer with an odd head, late, which runs past the body."""
        head, late_body = self.late_answer(len(body)).split(b"\r\n\r\n", 1)
        lines = head.split(b"\r\n")
        form = self.rng.choice(["feeds", "no-reason", "no-id", "usual"])
        if form == "no-reason":
            lines[0] = b"HTTP/1.1 200"
        if form == "no-id":
            lines = [line for line in lines if not line.startswith(b"Attempt-Id")]
        end = b"\n" if form == "feeds" else b"\r\n"
        late = end.join(lines + [b"", late_body])
        missing = self.rng.randint(1, len(body))
        connection.sendall(answer[:len(answer) - missing])
        at = self.rng.choice([missing, self.rng.randrange(len(late))])
        connection.sendall(late[:at])
        time.sleep(ODD_PAUSE_S)
        connection.sendall(late[at:])

    def quote_head(self, body):
        """Returns a body within which a head is quoted, whose own body would be longer than the rest."""
        head = self.late_answer(len(body) + 1)
        at = self.rng.randrange(len(body))
        return body[:at] + head[:head.index(b"\r\n\r\n") + 4] + body[at:]

    def stream_events(self, connection, fault, run, headers):
        time.sleep(self.rng.uniform(*FIRST_TOKEN_S))
        run.status = 200
        chunked = fault not in ("unframed", "half-unframed")
        headers = headers + [("Content-Type", "text/event-stream")]
        if chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        lines = ["HTTP/1.1 200 X"] + ["%s: %s" % header for header in headers]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        crashing = self.journal.crashing_parts.intersection(shared_parts(run.headers))
        if crashing and not self.dark:
            self.journal.part_ends.append((time.monotonic(), frozenset(crashing), self.instance))
            self.crash(self)
            return False
        last = event_count(run.request[1])
        first = int(run.headers.get("Last-Event-Id", "0")) + 1
        strike = first if self.rng.random() < FIRST_EVENT_SHARE else self.rng.randint(first, max(first, last))
        for number in range(first, last + 1):
            time.sleep(self.rng.uniform(0.005, 0.03))
            event = ("id: %d\ndata: %s/%d/%s\n\n" % (number, run.attempt, number, run.stamp)).encode()
            cuts = [event]
            if fault in ("torn", "pause", "half-event", "half-unframed") and number == strike or self.rng.random() < 0.05:
                cut = self.rng.randrange(1, len(event))
                cuts = [event[:cut], event[cut:]]
            for index, piece in enumerate(cuts):
                if index == 1:
                    time.sleep(self.rng.uniform(0.3, PAUSE_S) if fault == "pause" else 0.01)
                    if fault == "torn" and number == strike:
                        return False
                connection.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
                if fault in ("half-event", "half-unframed") and number == strike:
                    if chunked:  # ends its answer properly, but within an event
                        connection.sendall(b"0\r\n\r\n")
                    return False
            run.body += event
        if chunked:
            connection.sendall(b"0\r\n\r\n")
        run.whole = True
        return chunked and self.state != "draining"


def event_count(target):
    """Returns the number of events that a stream's target asks for."""
    return int(target.split("n=")[1].split("&")[0])


class Journal:
    """What engines saw. Lists are only appended to, so readers need no lock."""

    def __init__(self):
        self.runs = []
        self.arrivals = []
        self.crashing_parts = set()  # each ends the engine that begins to answer on it
        self.crashing_requests = set()  # (method, target, body); each ends the server that begins to run it
        self.request_ends = []  # (when a server ended, the request, its instance)
        self.part_ends = []  # (when an engine ended, the parts, its instance)
        self.limits = []  # [instance, requests a second, from, until]
        self.versions = []  # (when an engine began to serve, its name, its software version)
        self.drains = []  # (acknowledged at, engine's name, its instance)
        self.lock = threading.Lock()

    def add_run(self, run):
        with self.lock:
            self.runs.append(run)
            return len(self.runs)

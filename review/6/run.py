"""Answers that a server breaks off, behind which a second answer arrives in pieces on the same connection."""

import http.client
import itertools
import pathlib
import random
import sys
import threading
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "rig-2"))

from rig import BROKEN, HELD, HOST, KEYS, TROUBLE, run_case  # noqa: E402

SERVERS = 3
SPOILING = 2  # Of the servers: a share of 0.66.
SHARE = 0.02  # Of a spoiling server's answers: the x of garble on the sheets and in the site file.
SIZE = 800  # Of an answer's body, as on the sheet.
CALLERS = 12
LASTS_S = 30.0
THINK_S = 0.08
PIECE_PAUSE_S = 0.004  # Between the pieces in which a server writes.


def body_of(attempt, server):
    """The whole body of a server's answer to an attempt."""
    text = "%s of %s;" % (attempt, server)
    return (text * (SIZE // len(text) + 1))[:SIZE].encode()


class Spoiler:
    """How a server answers: whole, or now and then broken off, with the answer to an earlier request behind it."""

    def __init__(self, seed, spoils):
        self.random, self.spoils = random.Random(seed), spoils
        self.earlier = "an-earlier-attempt"
        self.spoilt = []

    @staticmethod
    def head_lines(attempt, server):
        return ["HTTP/1.1 200 OK\r\n", "Attempt-Id: %s\r\n" % attempt, "Server-Stamp: stamp-%s\r\n" % server,
                "Content-Type: application/octet-stream\r\n", "Content-Length: %d\r\n" % SIZE, "\r\n"]

    def __call__(self, engine, connection, method, target, headers, body):
        attempt = headers["Attempt-Id"]
        answer = body_of(attempt, engine.instance)
        head = "".join(self.head_lines(attempt, engine.instance)).encode()
        earlier, self.earlier = self.earlier, attempt
        if not self.spoils or self.random.random() >= SHARE:
            connection.sendall(head + answer)
            return True
        cut = self.random.randrange(SIZE)  # Anywhere in the body.
        self.spoilt.append(attempt)
        engine.platform.record.line("spoilt", attempt=attempt, server=engine.instance, sent=cut, of=SIZE)
        connection.sendall(head + answer[:cut])
        # The extra answer, late, as a server writes it that flushes each line.
        for piece in self.head_lines(earlier, engine.instance):
            time.sleep(PIECE_PAUSE_S)
            connection.sendall(piece.encode())
        time.sleep(PIECE_PAUSE_S)
        connection.sendall(body_of(earlier, engine.instance))
        return True


class Caller(threading.Thread):
    numbers = itertools.count(1)

    def __init__(self, platform, entry, until, results):
        super().__init__(daemon=True)
        self.platform, self.entry, self.until, self.results = platform, entry, until, results

    def run(self):
        connection = None
        while time.monotonic() < self.until:
            attempt = "a%06d" % next(self.numbers)
            path = "/stock-lookup/%d" % (int(attempt[1:]) % 50)
            if connection is None:
                connection = http.client.HTTPConnection(*self.entry.front.split(":"), timeout=3)
            headers = {
                "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000", "Authorization": "Bearer " + KEYS[0]}
            self.platform.record.line("send", attempt=attempt, path=path)
            try:
                connection.request("GET", path, None, headers)
                response = connection.getresponse()
                body = response.read()
            except (OSError, http.client.HTTPException) as error:
                self.platform.record.line("answer", attempt=attempt, error=type(error).__name__)
                self.results.append((attempt, None, None, None))
                connection = None
                continue
            stamp = response.getheader("Server-Stamp", "-")
            self.platform.record.line("answer", attempt=attempt, status=response.status, stamp=stamp, bytes=len(body))
            self.results.append((attempt, response.status, stamp, body))
            if response.getheader("Connection") == "close":
                connection = None
            time.sleep(THINK_S)


def case(platform):
    platform.configure(1)
    spoilers = []
    for number in range(SERVERS):
        server = platform.add_plain("p-%d" % number, ["nicolosi", "linguaglossa", "piano-battaglia"][number])
        server.answer = Spoiler(number, TROUBLE and number < SPOILING)
        spoilers.append(server.answer)
    entry = platform.add_entry("edge-nicolosi-1")
    time.sleep(2)
    results = []
    callers = [Caller(platform, entry, time.monotonic() + LASTS_S, results) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    mixed = [
        (attempt, body) for attempt, status, stamp, body in results
        if status == 200 and body != body_of(attempt, stamp.removeprefix("stamp-"))]
    for attempt, body in mixed:
        platform.record.line("not-the-whole-body", attempt=attempt, ends_with=repr(body[-60:]))
    succeeded = sum(status == 200 for _, status, _, _ in results)
    verdict = "%d requests, %d successes, %d spoilt answers; %d successes with a body that is not the server's" % (
        len(results), succeeded, sum(len(spoiler.spoilt) for spoiler in spoilers), len(mixed))
    if not results or succeeded < len(results) / 2:
        raise RuntimeError("too few successes: " + verdict)
    return (BROKEN if mixed else HELD), verdict


run_case(case, __file__)

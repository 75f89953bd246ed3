"""Stand-ins of the users' platform for tests: its store, its model engines and plain services.

They write HTTP to raw sockets, so that they can also send malformed and misplaced answers.
"""

import base64
import json
import socket
import struct
import threading
import time
import urllib.parse


def listen():
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(("127.0.0.1", 0))
    server.listen(64)
    return server


def read_request(connection, data):
    """Returns (method, target, headers, body, unread data), or None when the connection ends."""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = [line.split(": ", 1) for line in lines[1:]]
    length = int(next((v for k, v in headers if k.lower() == "content-length"), "0"))
    while len(data) < length:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    return method, target, headers, data[:length], data[length:]


def format_answer(status, headers, body):
    """Returns the bytes of an HTTP answer."""
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % header for header in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections and runs serve() for each of them in a thread of its own."""

    def __init__(self):
        self.server = listen()
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve_and_close, args=(connection,), daemon=True).start()

    def serve_and_close(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass  # The peer disconnected, which some cases do on purpose.
        connection.close()

    def close(self):
        self.server.close()
        for connection in self.connections:
            connection.close()


class Store(Server):
    """Stores keys with revisions and serves reads, ranges and watches.

    mode is "ok", "busy" (answers 503 to everything) or "silent" (holds back every answer).
    go_back() sets it to an older copy of itself; the era in all its answers then rises by one.
    """

    def __init__(self):
        self.items = {}
        self.removed = {}
        self.revision = 1
        self.era = 1
        self.copies = []
        self.changed = threading.Condition()
        self.mode = "ok"
        self.page_size = 500
        super().__init__()

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            text = value if isinstance(value, str) else json.dumps(value)
            self.items[key] = (base64.b64encode(text.encode()).decode(), self.revision)
            self.removed.pop(key, None)
            self.keep_copy()
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            if self.items.pop(key, None) is not None:
                self.removed[key] = self.revision
            self.keep_copy()
            self.changed.notify_all()

    def keep_copy(self):
        self.copies.append((time.monotonic(), dict(self.items), dict(self.removed), self.revision))

    def go_back(self, seconds):
        """Forgets what was written in the last seconds: values, removals and revisions."""
        with self.changed:
            moment = time.monotonic() - seconds
            _, items, removed, self.revision = [copy for copy in self.copies if copy[0] <= moment][-1]
            self.items, self.removed = dict(items), dict(removed)
            self.copies = [copy for copy in self.copies if copy[0] <= moment]
            self.era += 1
            self.changed.notify_all()

    def records(self, prefix, after=0):
        return [
            {"key": key, "value": value, "rev": revision, "createdRev": revision, "lease": 0}
            for key, (value, revision) in sorted(self.items.items())
            if key.startswith(prefix) and revision > after
        ]

    def changes_after(self, prefix, after):
        return self.records(prefix, after) + [
            {"key": key, "rev": revision, "removed": True}
            for key, revision in sorted(self.removed.items())
            if key.startswith(prefix) and revision > after
        ]

    def reply(self, target):
        url = urllib.parse.urlparse(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            if url.path == "/kv-key":
                records = self.records(query["key"])
                if not records:
                    return 404, {}
                return 200, dict(records[0], currentRev=self.revision)
            if url.path == "/kv-range":
                records = [record for record in self.records(query["prefix"]) if record["key"] > query.get("after", "")]
                return 200, {
                    "entries": records[:self.page_size], "hasMore": len(records) > self.page_size,
                    "currentRev": self.revision}
            if int(query["after"]) > self.revision:
                return 410, {}
            deadline = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                records = self.changes_after(query["prefix"], int(query["after"]))
                remaining_s = deadline - time.monotonic()
                if records or remaining_s <= 0:
                    return 200, {"events": records, "currentRev": self.revision}
                self.changed.wait(remaining_s)

    def serve(self, connection):
        data = b""
        while True:
            request = read_request(connection, data)
            if request is None:
                return
            data = request[4]
            status, body = self.reply(request[1])
            while self.mode == "silent":
                time.sleep(0.05)
            if self.mode == "busy":
                status, body = 503, {}
            headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
            connection.sendall(format_answer(status, headers, json.dumps(body).encode()))


def events(first, last, text="tok"):
    """Returns the server-sent events with ids from first to last."""
    return [("id: %d\ndata: %s%d\n\n" % (i, text, i)).encode() for i in range(first, last + 1)]


def shared_parts(headers):
    """Returns the ids of a request's prompt parts but the last, which belongs to the request itself."""
    return [part.split(":")[0] for part in headers.get("Prompt-Prefix", "").split(",")][:-1]


class Crashes:
    """What is needed to crash a server that accepts connections, and to start it again at its address."""

    def __init__(self, engine, store, service, down_s):
        self.engine, self.store, self.service, self.down_s = engine, store, service, down_s
        self.parts = set()  # ends the engine as it begins to write an answer on one of them
        self.requests = set()  # ends the engine as it begins to run one: (method, target, organisation, body)
        self.refuses = True  # connections while it is down; otherwise closes each at once, and is back as the same instance
        self.lingers_s = 0  # for so long it still answers its agent after the connection of the request has ended
        self.before_head = True  # ends it before the answer's head when a request does it
        self.ends = []  # (when an incarnation ended, the parts or the request that ended it)
        self.lock = threading.Lock()
        self.up = True
        self.ending = False

    def crash(self, parts=()):
        with self.lock:
            if not self.up or self.ending:
                return
            self.ending = True
        self.ends.append((time.monotonic(), set(parts)))
        if self.lingers_s:
            threading.Timer(self.lingers_s, self.end).start()
        else:
            self.end()

    def end(self):
        self.up = self.ending = False
        engine = self.engine
        if self.refuses:
            engine.server.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
            engine.server.close()
        for connection in engine.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It has ended already.
        engine.connections = []
        threading.Timer(self.down_s, self.restart).start()

    def restart(self):
        engine = self.engine
        engine.born = int(time.time() * 1000)
        if not self.refuses:
            self.up = True
            self.store.put("servers/" + engine.instance, dict(engine.instance_record(self.service), born=engine.born))
            return
        host, port = engine.address.split(":")
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((host, int(port)))
        server.listen(64)
        former = engine.instance
        engine.instance = "%s.%d" % (former.split(".")[0], len(self.ends) + 1)
        engine.server = server
        self.up = True
        threading.Thread(target=engine.accept_connections, daemon=True).start()
        self.store.put("servers/" + engine.instance, dict(engine.instance_record(self.service), born=engine.born))
        self.store.remove("servers/" + former)


class Engine(Server):
    """A model engine or a plain service. The last segment of the request path selects its behaviour."""

    def __init__(self, instance, slots=4, event_delay_s=0.01, event_count=5):
        self.instance = instance
        self.slots = slots
        self.event_delay_s = event_delay_s
        self.event_count = event_count
        self.runs = []
        self.disconnected = []
        self.born = 0  # Unix time of its start in milliseconds.
        self.quiet_s = None  # Turns requests away and says for how long it wants none.
        self.quiet_reports = False  # Turns requests for its report away likewise.
        self.leaving = False  # Says in all answers that it leaves, and still runs requests.
        self.limit = None  # Names in its answers the requests a second that it takes from all.
        self.names_limit_in_reports = False
        self.request_connections = set()  # All but those on which only reports were asked for.
        self.arrivals = []  # Times at which requests to it arrived, also refused ones.
        self.running = 0
        self.crashes = None  # Crashes, for an engine that crashes and starts again
        self.lock = threading.Lock()
        super().__init__()

    def instance_record(self, service, domain="a", state="ready"):
        """Returns this instance's record in the instance list."""
        return {
            "backend": service, "address": self.address, "zone": domain, "version": "v1",
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": 1,
        }

    def serve(self, connection):
        data = b""
        if self.crashes and not self.crashes.up:
            return
        while True:
            request = read_request(connection, data)
            if request is None:
                return
            method, target, headers, body, data = request
            if target == "/report" and self.quiet_reports:
                connection.sendall(format_answer(503, self.quiet_headers(), b""))
                continue
            if target == "/report":
                report = {"running": self.running, "waiting": 0, "born": self.born}
                fields = self.own_state_headers() if self.names_limit_in_reports else self.leaving_headers()
                connection.sendall(format_answer(200, fields, json.dumps(report).encode()))
                continue
            if not self.handle_request(connection, method, target, dict(headers), body):
                return

    def own_state_headers(self):
        """Returns the fields with which all its answers to requests tell its own state."""
        return self.leaving_headers() + ([("Server-Limit", str(self.limit))] if self.limit is not None else [])

    def leaving_headers(self):
        return [("Server-Leaving", "1")] if self.leaving else []

    def quiet_headers(self):
        return [("Not-Executed", "1"), ("Retry-After", str(self.quiet_s))]

    def handle_request(self, connection, method, target, headers, body):
        """Answers one request and returns whether the connection stays open."""
        behaviour = target.split("?")[0].rstrip("/").split("/")[-1]
        id_headers = [("Attempt-Id", headers.get("Attempt-Id", ""))] + self.own_state_headers()
        common_headers = id_headers + [("Server-Stamp", "stamp-" + self.instance)]
        if headers.get("Expect-Instance") != self.instance:
            connection.sendall(format_answer(421, id_headers, b""))
            return True
        with self.lock:
            self.request_connections.add(connection)
            self.arrivals.append(time.monotonic())
        if self.quiet_s is not None:
            connection.sendall(format_answer(503, id_headers + self.quiet_headers(), b""))
            return True
        if behaviour == "refuse" or behaviour == "refuse-" + self.instance:
            connection.sendall(format_answer(503, id_headers + [("Not-Executed", "1")], b""))
            return True
        with self.lock:
            self.runs.append({
                "at": time.monotonic(), "method": method, "target": target, "headers": headers, "body": body})
            self.running += 1
        try:
            request = (method, target, headers.get("Tenant"), body)
            if self.crashes and request in self.crashes.requests:
                if not self.crashes.before_head:
                    self.send_stream_head(connection, common_headers)
                self.crashes.crash([request])
                return False
            return self.respond(connection, behaviour, headers, common_headers)
        except OSError:
            self.disconnected.append(headers.get("Attempt-Id"))
            raise
        finally:
            with self.lock:
                self.running -= 1

    def respond(self, connection, behaviour, headers, common_headers):
        """Sends the answer that the behaviour names; any other behaviour is a stream of events."""
        if behaviour == "vanish":
            return False
        if behaviour == "plain":
            connection.sendall(format_answer(200, common_headers, b"whole answer"))
            return True
        if behaviour == "error":
            connection.sendall(format_answer(500, common_headers, b"failed"))
            return True
        if behaviour in ("extra", "late"):
            foreign_headers = [("Attempt-Id", "another-request"), ("Server-Stamp", "stamp-other")]
            connection.sendall(format_answer(200, common_headers, b"whole answer"))
            # The entry may reuse the connection at once and read these bytes as its next answer.
            time.sleep(0 if behaviour == "extra" else 0.1)
            connection.sendall(format_answer(200, foreign_headers, b"of another request"))
            return True
        if behaviour == "foreign-first":
            foreign_headers = [("Attempt-Id", "another-request"), ("Server-Stamp", "stamp-other")]
            connection.sendall(
                format_answer(200, foreign_headers, b"of another request")
                + format_answer(200, common_headers, b"whole answer"))
            return True
        if behaviour == "unframed":
            head = "HTTP/1.1 200 X\r\n" + "".join("%s: %s\r\n" % header for header in common_headers) + "\r\n"
            connection.sendall(head.encode() + b"whole answer")
            return False
        if behaviour.startswith("endless-"):
            return self.send_without_end(connection, behaviour.removeprefix("endless-"), common_headers)
        if behaviour == "garbage":
            connection.sendall(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        return self.stream(connection, behaviour, headers, common_headers)

    def send_without_end(self, connection, kind, common_headers):
        """Sends bytes of one kind until the peer closes the connection."""
        def head(fields):
            return "HTTP/1.1 200 X\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n"
        chunked = [("Transfer-Encoding", "chunked")]
        foreign = [("Attempt-Id", "another-request")]
        begin, piece = {
            "head": ("HTTP/1.1 200 X\r\n", "Filler: 0123456789\r\n"),
            "garbage": ("", "\x00\x01 this is no answer"),
            "chunk-header": (head(common_headers + chunked) + "5\r\nwhole\r\n5", "0"),
            "event": (head(common_headers + chunked), "1000\r\n" + 4096 * "a" + "\r\n"),
            "body": (head(common_headers + chunked), "1000\r\n" + 4096 * "a" + "\r\n"),
            "after": (head(common_headers + [("Content-Length", "12")]) + "whole answer", "more"),
            "foreign": (head(foreign + chunked), "1000\r\n" + 4096 * "a" + "\r\n"),
        }[kind]
        connection.sendall(begin.encode())
        block = (piece * (65536 // len(piece))).encode()
        while True:
            connection.sendall(block)

    def send_stream_head(self, connection, common_headers):
        response_headers = common_headers + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "HTTP/1.1 200 X\r\n" + "".join("%s: %s\r\n" % header for header in response_headers) + "\r\n"
        connection.sendall(head.encode())

    def stream(self, connection, behaviour, headers, common_headers):
        """Streams the events after Last-Event-Id; the "torn" behaviours truncate the stream."""
        self.send_stream_head(connection, common_headers)
        crashing = self.crashes.parts.intersection(shared_parts(headers)) if self.crashes else None
        if crashing:
            self.crashes.crash(crashing)
            return False
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number, event in enumerate(events(first, self.event_count), first):
            time.sleep(self.event_delay_s if behaviour != "slow" else 0.2)
            if behaviour == "torn-late" and number == 3:
                time.sleep(0.8)
                return False
            truncated = behaviour == "torn" or (behaviour == "torn-once" and first == 1)
            if truncated and number == 3:
                connection.sendall(b"%x\r\n%s\r\n" % (9, event[:9]))
                return False
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True

"""Stand-ins of the users' platform for tests: its store, its model engines and plain services.

They speak raw HTTP over sockets, so that they can also send what no well-behaved server sends.
"""

import base64
import json
import socket
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
    """Returns (method, target, headers, body, rest) or None at the end of the connection."""
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


def answer(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % row for row in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections and runs serve() for each in a thread."""

    def __init__(self):
        self.server = listen()
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass  # The other side went away, which is what some cases are about.
        connection.close()

    def close(self):
        self.server.close()
        for connection in self.connections:
            connection.close()


class Store(Server):
    """Keys with revisions, ranges and watches. mode: ok, busy or silent."""

    def __init__(self):
        self.items = {}
        self.removed = {}
        self.revision = 1
        self.changed = threading.Condition()
        self.mode = "ok"
        super().__init__()

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            text = value if isinstance(value, str) else json.dumps(value)
            self.items[key] = (base64.b64encode(text.encode()).decode(), self.revision)
            self.removed.pop(key, None)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            if self.items.pop(key, None) is not None:
                self.removed[key] = self.revision
            self.changed.notify_all()

    def rows(self, prefix, after=0):
        return [
            {"key": key, "value": value, "rev": revision, "createdRev": revision, "lease": 0}
            for key, (value, revision) in sorted(self.items.items())
            if key.startswith(prefix) and revision > after
        ]

    def changes(self, prefix, after):
        return self.rows(prefix, after) + [
            {"key": key, "rev": revision, "removed": True}
            for key, revision in sorted(self.removed.items())
            if key.startswith(prefix) and revision > after
        ]

    def reply(self, target):
        url = urllib.parse.urlparse(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            if url.path == "/kv-key":
                rows = self.rows(query["key"])
                if not rows:
                    return 404, {}
                return 200, dict(rows[0], currentRev=self.revision)
            if url.path == "/kv-range":
                rows = self.rows(query["prefix"])
                return 200, {"entries": rows, "hasMore": False, "currentRev": self.revision}
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                rows = self.changes(query["prefix"], int(query["after"]))
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, {"events": rows, "currentRev": self.revision}
                self.changed.wait(left)

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
            connection.sendall(answer(status, [("Content-Type", "application/json")], json.dumps(body).encode()))


def events(first, last, text="tok"):
    return [("id: %d\ndata: %s%d\n\n" % (i, text, i)).encode() for i in range(first, last + 1)]


class Engine(Server):
    """A model engine, or a plain service. behave is taken from the last part of the path."""

    def __init__(self, instance, slots=4, pause_s=0.01, count=5):
        self.instance = instance
        self.slots = slots
        self.pause_s = pause_s
        self.count = count
        self.runs = []
        self.cut = []
        self.running = 0
        self.lock = threading.Lock()
        super().__init__()

    def entry(self, service, domain="a", state="ready"):
        return {
            "backend": service, "address": self.address, "zone": domain, "version": "v1",
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": 1,
        }

    def serve(self, connection):
        data = b""
        while True:
            request = read_request(connection, data)
            if request is None:
                return
            method, target, headers, body, data = request
            if target == "/report":
                report = {"running": self.running, "waiting": 0}
                connection.sendall(answer(200, [], json.dumps(report).encode()))
                continue
            if not self.one(connection, method, target, dict(headers), body):
                return

    def one(self, connection, method, target, headers, body):
        behaviour = target.split("?")[0].rstrip("/").split("/")[-1]
        common = [("Attempt-Id", headers.get("Attempt-Id", "")), ("Server-Stamp", "stamp-" + self.instance)]
        if headers.get("Expect-Instance") != self.instance:
            connection.sendall(answer(421, common[:1], b""))
            return True
        if behaviour == "refuse" or behaviour == "refuse-" + self.instance:
            connection.sendall(answer(503, common[:1] + [("Not-Executed", "1")], b""))
            return True
        with self.lock:
            self.runs.append({"method": method, "target": target, "headers": headers, "body": body})
            self.running += 1
        try:
            return self.behave(connection, behaviour, headers, common)
        except OSError:
            self.cut.append(headers.get("Attempt-Id"))
            raise
        finally:
            with self.lock:
                self.running -= 1

    def behave(self, connection, behaviour, headers, common):
        if behaviour == "vanish":
            return False
        if behaviour == "plain":
            connection.sendall(answer(200, common, b"whole answer"))
            return True
        if behaviour == "error":
            connection.sendall(answer(500, common, b"failed"))
            return True
        if behaviour in ("extra", "late"):
            other = [("Attempt-Id", "another-request"), ("Server-Stamp", "stamp-other")]
            connection.sendall(answer(200, common, b"whole answer"))
            # An entry may take the connection again at once and read this as its next answer.
            time.sleep(0 if behaviour == "extra" else 0.1)
            connection.sendall(answer(200, other, b"of another request"))
            return True
        if behaviour == "foreign-first":
            other = [("Attempt-Id", "another-request"), ("Server-Stamp", "stamp-other")]
            connection.sendall(answer(200, other, b"of another request") + answer(200, common, b"whole answer"))
            return True
        if behaviour == "unframed":
            head = "HTTP/1.1 200 X\r\n" + "".join("%s: %s\r\n" % row for row in common) + "\r\n"
            connection.sendall(head.encode() + b"whole answer")
            return False
        if behaviour == "garbage":
            connection.sendall(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        return self.stream(connection, behaviour, headers, common)

    def stream(self, connection, behaviour, headers, common):
        rows = common + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "HTTP/1.1 200 X\r\n" + "".join("%s: %s\r\n" % row for row in rows) + "\r\n"
        connection.sendall(head.encode())
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number, event in enumerate(events(first, self.count), first):
            time.sleep(self.pause_s if behaviour != "slow" else 0.2)
            if behaviour == "torn-late" and number == 3:
                time.sleep(0.8)
                return False
            torn = behaviour == "torn" or (behaviour == "torn-once" and first == 1)
            if torn and number == 3:
                connection.sendall(b"%x\r\n%s\r\n" % (9, event[:9]))
                return False
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True

"""Stand-ins of the users' platform for tests: its model engines and plain services, and its store from storestandin."""

import json
import socket
import struct
import threading
import time

from standinserver import Server, format_answer, read_request
from storestandin import Store


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
        self.version = "v1"  # Of its software.
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
            "backend": service, "address": self.address, "zone": domain, "version": self.version,
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": 1,
        }

    def read_request(self, connection, data):
        """As standinserver.read_request(); a stand-in may answer before it has read the whole request."""
        return read_request(connection, data)

    def serve(self, connection):
        data = b""
        if self.crashes and not self.crashes.up:
            return
        while True:
            request = self.read_request(connection, data)
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
        if behaviour in ("status-000", "odd-field", "odd-coding"):
            replaced, replacement = {
                "status-000": (b" 200 ", b" 000 "),
                "odd-field": (b"Server-Stamp:", b" Retry-After: 1\r\nServer-Stamp:"),
                "odd-coding": (b"Content-Length:", b"Transfer-Encoding: gzip\r\nLength:"),
            }[behaviour]
            connection.sendall(format_answer(200, common_headers, b"whole answer").replace(replaced, replacement, 1))
            return False
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

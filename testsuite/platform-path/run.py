"""The path on the users' platform: real entries and agents against stand-ins of store and engines."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time

from harness import BIN, check, wait_until
from platformstandin import Engine, Store, events

HOST = "camp.example"


def route(name, kind, service, attempts=1, resumable=False, timeout_ms=4000, anonymous=False):
    return {
        "name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": kind, "backend": service,
        "timeoutMs": timeout_ms, "targetLatencyMs": 600, "priority": 0, "maxAttempts": attempts,
        "anonymous": anonymous, "sticky": False, "resumable": resumable, "gapAimMs": 300,
    }


def configuration(version, keys, rate=0):
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "engines"),
            route("ask", "streaming", "engines", attempts=2, resumable=True),
            route("book", "non_idempotent", "plain"),
            route("look", "idempotent", "plain", attempts=2),
            route("brief", "idempotent", "plain", timeout_ms=500),
            route("open", "idempotent", "plain", anonymous=True),
        ],
        "services": [
            {"name": "engines", "healthPath": "/health", "maxConnections": 100, "engine": {"slots": 2, "stride": 7}},
            {"name": "plain", "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
        "tenants": [
            {"name": "ganga", "apiKeys": keys, "unit": "token_count", "plainTokens": 200, "ratePerS": rate, "burst": rate}
        ],
    }


class Node:
    """One wigeonsill-node. The log is read in a thread, as the platform does."""

    def __init__(self, folder, name, settings):
        file = folder / (name + ".json")
        file.write_text(json.dumps(dict(settings, instance=name, admin="127.0.0.1:0")))
        self.lines = []
        self.popen = subprocess.Popen(
            [str(BIN / "wigeonsill-node")], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            env=dict(os.environ, WIGEONSILL_CONFIG=str(file)),
        )
        self.ports = json.loads(self.popen.stdout.readline())["ports"]
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.popen.stdout:
            self.lines.append(line)

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=5)
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode()

    def state(self):
        return json.loads(self.get("admin", "/state")[1])


class Path:
    """Store, engines, a plain service, agents and one entry. Agents share the entry's grant port, so
    each engine and its agent has an address of its own on the loopback network."""

    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.nodes = []
        self.engines = [Engine("i-%d" % i, slots=2) for i in range(1, 7)]
        self.plain = [Engine("p-%d" % i) for i in (1, 2)]
        self.store.put("op/config", configuration(1, ["key-1", "key-2"]))
        # Engines are registered behind forwarders at 127.0.0.x, where their agents listen.
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        self.grant_port = probe.getsockname()[1]
        probe.close()
        self.agents = []
        for number, engine in enumerate(self.engines):
            own = "127.0.1.%d" % (number + 1)
            engine.server.close()
            engine.server = socket.socket()
            engine.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            engine.server.bind((own, 0))
            engine.server.listen(64)
            engine.address = "%s:%d" % engine.server.getsockname()
            threading.Thread(target=engine.accept, daemon=True).start()
            agent = Node(folder, "agent-%d" % number, {
                "role": "agent", "grant": "%s:%d" % (own, self.grant_port), "target": engine.address})
            self.agents.append(agent)
            self.nodes.append(agent)
        for engine in self.engines:
            self.store.put("servers/" + engine.instance, engine.entry("engines"))
        for engine in self.plain:
            self.store.put("servers/" + engine.instance, engine.entry("plain"))
        self.store.put("servers/odd-1", "{ not json")
        self.store.put("servers/odd-2", {"backend": "engines", "address": 7})
        self.entry = self.start_entry("entry")

    def start_entry(self, name):
        entry = Node(self.folder, name, {
            "role": "entry", "grant": "127.0.0.1:%d" % self.grant_port, "failureDomain": "a", "region": "r",
            "regions": {"a": "r"}, "listen": "127.0.0.1:0", "readiness": "127.0.0.1:0",
            "store": self.store.address, "strictRevocation": True, "revocationMs": 3000, "graceMs": 6000,
            "drainMs": 1000, "retrySlack": 3000})
        self.nodes.append(entry)
        wait_until(lambda: entry.get("readiness", "/readiness")[0] == 200, "the entry is ready")
        return entry

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            node.popen.kill()
            node.popen.wait()
        for server in self.engines + self.plain + [self.store]:
            server.close()


class Reply:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Client:
    """A caller on one kept connection."""

    numbers = iter(range(1, 1_000_000))

    def __init__(self, entry):
        self.connection = http.client.HTTPConnection("127.0.0.1", entry.ports["listen"], timeout=15)

    def send(self, path, key="key-1", tokens="100,35", body=b"prompt", method="POST", extra=None):
        headers = {
            "Host": HOST, "Attempt-Id": "r-%d" % next(self.numbers), "Deadline-Ms": "4000",
            "Authorization": "Bearer " + key, "Hold": "forged", "Tenant": "forged", "Expect-Instance": "forged",
        }
        if tokens:
            headers["Token-Count"] = tokens
        self.connection.request(method, path, body, dict(headers, **(extra or {})))
        return headers["Attempt-Id"]

    def read(self):
        response = self.connection.getresponse()
        try:
            return Reply(response.status, dict(response.getheaders()), response.read(), True)
        except http.client.IncompleteRead as partial:
            return Reply(response.status, dict(response.getheaders()), partial.partial, False)

    def ask(self, path, **words):
        self.last = self.send(path, **words)
        return self.read()


def run_of(path, request):
    return next(
        run for engine in path.engines + path.plain for run in engine.runs if run["headers"]["Attempt-Id"] == request)


def runs_of(path, request):
    return sum(
        run["headers"]["Attempt-Id"] == request for engine in path.engines + path.plain for run in engine.runs)


def calm(path):
    client = Client(path.entry)
    reply = client.ask("/draft/x?y=%20z")
    check(reply.status == 200 and reply.complete, "a stream is served")
    check(reply.body == b"".join(events(1, 5)), "its bytes are the engine's")
    check(reply.headers["Server-Stamp"].startswith("stamp-i-"), "with the engine's stamp")
    run = run_of(path, client.last)
    check(run["method"] == "POST" and run["target"] == "/draft/x?y=%20z" and run["body"] == b"prompt", "sent unchanged")
    check(run["headers"]["Tenant"] == "ganga", "the organisation is the key's")
    check("Authorization" not in run["headers"] and "Hold" not in run["headers"], "key and forged fields stay out")
    check(0 < int(run["headers"]["Deadline-Ms"]) <= 4000, "with the time that is left")
    reply = client.ask("/look/plain", method="GET", body=None, tokens=None)
    check(reply.body == b"whole answer", "a plain call on the same connection")
    check(client.ask("/open/plain", key="none", method="GET", body=None).status == 200, "an anonymous route needs no key")
    check(client.ask("/look/plain", key="none").status == 401, "an unknown key")
    check(client.ask("/nowhere/plain").status == 404, "an unknown route")


def raw(entry, text):
    with socket.create_connection(("127.0.0.1", entry.ports["listen"]), timeout=10) as connection:
        connection.sendall(text.encode())
        data = b""
        while piece := connection.recv(65536):
            data += piece
        return data.decode()


def smuggling(path):
    good = "POST /book/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: smuggler\r\nAuthorization: Bearer key-1\r\n" % HOST
    for what, fields in [
        ("a folded line", "X: a\r\n b\r\nContent-Length: 0\r\n"),
        ("length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        ("two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"),
        ("a bare line feed", "X: a\nContent-Length: 0\r\n"),
    ]:
        reply = raw(path.entry, good + fields + "\r\n0\r\n\r\nGET /look/plain HTTP/1.1\r\n\r\n")
        check(reply.startswith("HTTP/1.1 400 "), what + " is refused: " + reply[:40])
    check(raw(path.entry, good + "X: %s\r\n\r\n" % ("x" * 9000)).startswith("HTTP/1.1 431 "), "a large head")
    check(raw(path.entry, good + "Content-Length: 200000\r\n\r\n").startswith("HTTP/1.1 413 "), "a large body")
    check(runs_of(path, "smuggler") == 0, "nothing of it ran")


def odd_answers(path):
    client = Client(path.entry)
    for behaviour in ("extra", "late", "foreign-first", "unframed"):
        for _ in range(3):
            reply = client.ask("/book/" + behaviour)
            check(reply.status == 200 and reply.body == b"whole answer", behaviour + ": the own answer")
            check(client.ask("/book/plain").body == b"whole answer", behaviour + ": and the next one")
    reply = client.ask("/book/garbage")
    check(reply.status == 502 and runs_of(path, client.last) == 1, "garbage is a 502 and is not sent again")
    reply = client.ask("/book/vanish")
    check(reply.status == 502 and runs_of(path, client.last) == 1, "a lost answer is a 502 and is not sent again")
    client = Client(path.entry)
    reply = client.ask("/look/error", method="GET", body=None)
    check(reply.status == 500 and runs_of(path, client.last) == 2, "an idempotent call is sent twice at most")
    check(reply.headers["Server-Stamp"].startswith("stamp-p-"), "and the engine's own failure is passed on")


def refusals(path):
    client = Client(path.entry)
    reply = client.ask("/draft/refuse")
    check(reply.status == 503 and float(reply.headers["Retry-After"]) > 0, "one target at most: refused, with a time")
    reply = client.ask("/look/refuse-p-1", method="GET", body=None)
    check(reply.status == 200, "a call that one target refuses is served by the other")
    check(runs_of(path, client.last) == 1, "and runs once")


def reborn(path):
    """A target is replaced at its address and the list does not show it yet."""
    engine = path.plain[0]

    def served():
        client = Client(path.entry)
        client.ask("/book/plain")
        return any(run["headers"]["Attempt-Id"] == client.last for run in engine.runs)
    wait_until(served, "it is in use")
    before = engine.instance
    engine.instance = "p-reborn"
    for _ in range(8):
        client = Client(path.entry)
        reply = client.ask("/book/plain")
        check(reply.status == 200 and runs_of(path, client.last) == 1, "one target at most gets it, the other one")
    path.store.remove("servers/" + before)
    path.store.put("servers/" + engine.instance, engine.entry("plain"))
    wait_until(served, "the new one is used")


def torn_streams(path):
    client = Client(path.entry)
    reply = client.ask("/draft/torn")
    check(not reply.complete and reply.body == b"".join(events(1, 2)), "a torn stream does not look whole")
    for _ in range(6):
        reply = Client(path.entry).ask("/ask/torn-once")
        check(reply.complete and reply.body == b"".join(events(1, 5)), "a resumable stream goes on elsewhere")


def resume_without_room(path):
    """A stream breaks while every other target is full: it must not get a second head."""
    for engine in path.engines:
        engine.count = 12
    client = Client(path.entry)
    client.send("/ask/torn-late")
    time.sleep(0.2)
    others = [threading.Thread(target=lambda: Client(path.entry).ask("/draft/slow")) for _ in range(16)]
    for other in others:
        other.start()
    reply = client.read()
    check(reply.status == 200 and not reply.complete, "the stream is broken off")
    check(reply.body == b"".join(events(1, 2)), "and holds nothing but events: %r" % reply.body)
    for other in others:
        other.join()
    for engine in path.engines:
        engine.count = 5


def caller_leaves(path):
    client = Client(path.entry)
    request = client.send("/draft/slow")
    time.sleep(0.5)
    client.connection.sock.close()
    wait_until(lambda: any(request in engine.cut for engine in path.engines), "the engine's connection is closed")


def given_back(path):
    """More requests than slots: every reservation elsewhere and every late grant must be given back."""
    replies = []
    threads = [
        threading.Thread(target=lambda: replies.append(Client(path.entry).ask("/draft/x").status)) for _ in range(24)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(set(replies) <= {200, 503} and replies.count(200) >= 6, "served or refused: %s" % replies)
    time.sleep(0.25)
    states = [agent.state() for agent in path.agents]
    check(all(state["granted"] == 0 and state["waiting"] == 0 for state in states), "no room is held: %s" % states)


def quota(path):
    path.store.put("op/config", configuration(2, ["key-1", "key-2"], rate=100))
    client = Client(path.entry)
    wait_until(lambda: client.ask("/draft/x", tokens="2000,0").status == 429, "the quota is used up")
    path.store.put("op/config", configuration(3, ["key-1", "key-2"]))
    wait_until(lambda: client.ask("/draft/x", tokens="2000,0").status == 200, "and is lifted")


def timeout(path):
    client = Client(path.entry)
    path.plain[0].pause_s = path.plain[1].pause_s = 2
    began = time.monotonic()
    reply = client.ask("/brief/x", method="GET", body=None)
    check(reply.status == 504 and time.monotonic() - began < 1.5, "a 504 at the route's time limit")
    path.plain[0].pause_s = path.plain[1].pause_s = 0.01


def agents_killed(path):
    for agent in path.agents:
        agent.popen.kill()
    for _ in range(4):
        check(Client(path.entry).ask("/draft/x").status == 200, "served though the agents are gone")


def revocation(path):
    check(Client(path.entry).ask("/look/plain", key="key-2").status == 200, "the second key works")
    path.store.put("op/config", configuration(4, ["key-1"]))
    wait_until(lambda: Client(path.entry).ask("/look/plain", key="key-2").status == 401, "until it is taken away")
    path.store.mode = "silent"
    wait_until(lambda: Client(path.entry).ask("/look/plain").status == 503, "without the store no key is honoured")
    check(Client(path.entry).ask("/open/plain", method="GET", body=None).status == 200, "anonymous routes go on")
    check(path.entry.get("readiness", "/readiness")[0] == 200, "and the entry stays ready")
    path.store.mode = "ok"
    wait_until(lambda: Client(path.entry).ask("/look/plain").status == 200, "and again with it")


def stop(path):
    client = Client(path.entry)
    for engine in path.engines:
        engine.count = 12
    request = client.send("/ask/slow")
    time.sleep(0.3)
    path.entry.popen.send_signal(signal.SIGHUP)
    path.entry.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: path.entry.get("readiness", "/readiness")[0] == 503, "not ready any more")
    reply = Client(path.entry).ask("/look/plain")
    check(reply.status == 200 and reply.headers.get("Connection") == "close", "still serves, and closes")
    reply = client.read()
    check(reply.complete and reply.body == b"".join(events(1, 12)), "the stream in progress is finished")
    # 2.7 s after SIGTERM the route's 4 s may outlast the process's 6 s; half a second does not.
    wait_until(lambda: Client(path.entry).ask("/draft/x").status == 503, "long requests are refused")
    check(Client(path.entry).ask("/brief/plain", method="GET", body=None).status == 200, "short ones are served")
    check(path.entry.popen.wait(10) == 0, "it ends by itself")
    kinds = {json.loads(line)["event"] for line in path.entry.lines if line.startswith("{")}
    check({"started", "configuration", "sent", "finished", "stopping", "settings-read"} <= kinds, "the log: %s" % kinds)
    sent = [json.loads(line) for line in path.entry.lines if '"event":"finished"' in line]
    check(any(line["request"] == request and line["outcome"] == "answered" for line in sent), "by the request's id")


with tempfile.TemporaryDirectory() as name:
    with Path(pathlib.Path(name)) as running:
        for case in (
            calm, smuggling, odd_answers, refusals, reborn, torn_streams, resume_without_room,
            caller_leaves, given_back, quota, timeout,
            agents_killed, revocation, stop,
        ):
            print(case.__name__, flush=True)
            case(running)
print("1 passed, 0 failed")

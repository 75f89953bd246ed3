"""A small deployment for the scripts of this review: the deploy file's programs as separate processes on loopback,
with stand-ins of the platform's store and of the engines, and callers."""

import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "testsuite"))

from standinserver import format_answer, read_request  # noqa: E402
from storestandin import Store  # noqa: E402

HOST = "counter.example"
KEYS = ("key-of-etna", "key-of-madonie")
ZONES = {"nicolosi": "etna", "linguaglossa": "etna", "piano-battaglia": "madonie"}
HEARTBEAT_MS = 1200
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The bounds of sites/sciabica-neve.toml, as its sheet states them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2500, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2500, "downgradeMs": 250, "maxStretchMs": 5000, "strictRevoke": True,
    "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "quotaWindowS": 8, "quotaExcess": 0.1,
    "quotaSlack": 140000, "recoveryS": 12, "passMs": 200, "againS": 9,
}


def render(text, fields):
    """Fills in a settings template as the platform does."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(part, scopes):
        section = re.search(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", part, re.S)
        if section:
            value = look_up(section.group(1), scopes)
            inner = fill(section.group(2), scopes) if value not in (None, False) else ""
            return fill(part[:section.start()], scopes) + inner + fill(part[section.end():], scopes)

        def replace(match):
            value = look_up(match.group(1), scopes)
            if match.group(2) or isinstance(value, (dict, bool)):
                return json.dumps(value)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, part)

    return fill(text, [fields])


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for probe in sockets:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def line(self, event, **facts):
        text = " ".join("%s=%s" % fact for fact in facts.items())
        with self.lock:
            self.file.write("%8.3f %s %s\n" % (time.monotonic() - self.began, event, text))
            self.file.flush()


class Node:
    """One process of the deploy file on its own machine, which is a loopback address."""

    def __init__(self, platform, role, name, ip, fields):
        self.platform, self.role, self.name, self.ip = platform, role, name, ip
        template = (ROOT / "deploy" / (role + ".json.in")).read_text()
        self.settings = platform.folder / (name + ".json")
        self.settings.write_text(render(template, dict(fields, nodeName=name, ip=ip)))
        self.log = platform.folder / (name + ".log")
        self.popen = None
        self.front, self.ready = fields["listenAddrs"]["front"], fields["listenAddrs"]["ready"]

    def start(self, wait=True):
        self.platform.record.line("start", process=self.name)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "a", encoding="utf-8") as log:
            self.popen = subprocess.Popen(
                [str(ROOT / "target/bin/wigeonsill-node")], cwd=ROOT, stdout=log, stderr=log,
                env=dict(environment, WIGEONSILL_CONFIG=str(self.settings)))
        if wait:
            self.wait_ready()
        return self

    def wait_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > deadline or self.popen.poll() is not None:
                raise RuntimeError(self.name + " did not become ready")
            time.sleep(0.01)

    def is_ready(self):
        address, path = (self.ready, "/readiness") if self.role == "entry" else (self.ip + ":9464", "/healthz")
        try:
            connection = http.client.HTTPConnection(*address.split(":"), timeout=1)
            connection.request("GET", path)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, number):
        self.platform.record.line("signal", process=self.name, signal=signal.Signals(number).name)
        self.popen.send_signal(number)

    def stop_and_start(self):
        """What a rolling restart does: SIGTERM, and a new start once the process has ended."""
        self.signal(signal.SIGTERM)
        self.popen.wait(BOUNDS["graceS"] + 1)
        return self.start()

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.signal(signal.SIGKILL)
            self.popen.wait()


def events(first, last):
    return [("id: %d\ndata: tok%d\n\n" % (i, i)).encode() for i in range(first, last + 1)]


class Engine:
    """A sound model engine, or a plain server, with its heartbeat in the store."""

    def __init__(self, platform, instance, service, ip, zone, version="v1", slots=8, pause_s=0.1):
        self.platform, self.instance, self.service, self.zone = platform, instance, service, zone
        self.version, self.slots, self.pause_s = version, slots, pause_s
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.runs = []  # (when, Attempt-Id, Last-Event-Id, version of its software)
        self.running = 0
        self.connections = set()
        self.lock = threading.Lock()
        self.alive = True
        self.server = self.listen(ip, 0)
        self.address = "%s:%d" % self.server.getsockname()
        self.answer = None  # answer(engine, connection, method, target, headers, body): in place of respond()
        self.heartbeat_thread = threading.Thread(target=self.beat, daemon=True)
        self.heartbeat_thread.start()

    @staticmethod
    def listen(ip, port):
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((ip, port))
        server.listen(128)
        return server

    def serve(self):
        threading.Thread(target=self.accept, args=(self.server,), daemon=True).start()
        self.write_record()
        return self

    def write_record(self):
        self.sequence += 1
        self.platform.store.put("servers/" + self.instance, {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence, "born": self.born})

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_MS / 1000)
            if self.alive and self.sequence:
                self.write_record()

    def leave(self):
        self.alive = False
        self.platform.store.remove("servers/" + self.instance)

    def end_connections(self):
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self, server):
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve_connection, args=(connection,), daemon=True).start()

    def serve_connection(self, connection):
        data = b""
        try:
            while True:
                request = read_request(connection, data)
                if request is None:
                    break
                method, target, fields, body, data = request
                if not self.handle(connection, method, target, dict(fields), body):
                    break
        except OSError:
            pass
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def handle(self, connection, method, target, headers, body):
        if target == "/report":
            report = {
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                "waiting": max(self.running - self.slots, 0), "running": min(self.running, self.slots),
                "kvUsed": 0, "kvTotal": 400000, "handles": 0, "born": self.born}
            connection.sendall(format_answer(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return True
        attempt = headers.get("Attempt-Id", "")
        if headers.get("Expect-Instance", self.instance) != self.instance:
            connection.sendall(format_answer(
                421, [("Attempt-Id", attempt), ("Instance-Id", self.instance), ("Not-Executed", "1")], b""))
            return True
        with self.lock:
            self.running += 1
            self.runs.append((time.monotonic(), attempt, headers.get("Last-Event-Id"), self.version))
        self.platform.record.line(
            "run", engine=self.instance, version=self.version, attempt=attempt, after=headers.get("Last-Event-Id", "-"))
        try:
            if self.answer:
                return self.answer(self, connection, method, target, headers, body)
            return self.respond(connection, headers)
        finally:
            with self.lock:
                self.running -= 1

    def common_fields(self, headers):
        return [("Attempt-Id", headers.get("Attempt-Id", "")), ("Server-Stamp", "stamp-" + self.instance)]

    def respond(self, connection, headers):
        if "Token-Count" not in headers:
            connection.sendall(format_answer(200, self.common_fields(headers), b"x" * 800))
            return True
        last = int(headers["Token-Count"].split(",")[1])
        fields = self.common_fields(headers) + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % f for f in fields) + "\r\n").encode())
        for event in events(int(headers.get("Last-Event-Id", "0")) + 1, last):
            time.sleep(self.pause_s)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True


class Platform:
    """Store, engines, agents and entries. Ends all that it started when it is left."""

    numbers = itertools.count(1)

    def __init__(self, case_folder):
        self.case_folder = pathlib.Path(case_folder)
        self.record = Record(self.case_folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.base = "127.%d.%d" % (os.getpid() % 200 + 20, os.getpid() // 200 % 250)
        self.grant_port, self.front_port, self.ready_port = free_ports(3)
        self.nodes, self.engines, self.agents, self.entries = [], [], [], []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            if node.popen and node.popen.poll() is None:
                node.popen.kill()
                node.popen.wait()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / log.name).write_text(log.read_text())
        self.temporary.cleanup()

    def ip(self):
        return "%s.%d" % (self.base, next(self.numbers))

    def fields(self, ip, zone):
        return {
            "zone": zone, "region": ZONES[zone], "zones": ZONES, "heartbeatMs": HEARTBEAT_MS, "contractParams": {
                name: value for name, value in BOUNDS.items()},
            "internalPorts": [self.grant_port, self.grant_port],
            "listenAddrs": {"front": "%s:%d" % (ip, self.front_port), "ready": "%s:%d" % (ip, self.ready_port)},
            "provider": {"address": self.store.address, "ttlMinMs": 1000},
        }

    def add_engine(self, instance, zone="nicolosi", **options):
        """Adds a model engine and the agent beside it."""
        ip = self.ip()
        engine = Engine(self, instance, "sarta", ip, zone, **options)
        self.engines.append(engine)
        agent = Node(self, "agent", "side-" + instance, ip, dict(self.fields(ip, zone), app=engine.address))
        self.agents.append(agent)
        self.nodes.append(agent)
        agent.start()
        return engine.serve()

    def add_plain(self, instance, zone="nicolosi"):
        engine = Engine(self, instance, "banco", self.ip(), zone, slots=6)
        self.engines.append(engine)
        return engine.serve()

    def add_entry(self, name, zone="nicolosi", wait=True, **changes):
        ip = self.ip()
        fields = dict(self.fields(ip, zone), **changes)
        entry = Node(self, "entry", name, ip, fields)
        self.entries.append(entry)
        self.nodes.append(entry)
        return entry.start(wait)

    def configure(self, version, keys=KEYS, **changes):
        def route(name, route_type, service, attempts, timeout_ms, aim_ms, **more):
            return dict({
                "name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": route_type, "backend": service,
                "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 1, "maxAttempts": attempts,
                "anonymous": False, "sticky": service == "sarta", "resumable": False, "gapAimMs": 400}, **more)
        configuration = {
            "version": version,
            "routes": [
                route("fitting-dossier", "streaming", "sarta", 1, 15000, 1000),
                route("counter-chat", "streaming", "sarta", 2, 12000, 400, resumable=True),
                route("deposit-charge", "non_idempotent", "banco", 1, 1500, 300),
                route("stock-lookup", "idempotent", "banco", 2, 1500, 300),
            ],
            "services": [
                {"name": "sarta", "healthPath": "/health", "maxConnections": 370, "engine": {"slots": 8, "stride": 1}},
                {"name": "banco", "healthPath": "/health", "maxConnections": 110},
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [
                {"name": "etna", "apiKeys": [key for key in keys if "etna" in key], "unit": "token_count",
                 "plainTokens": 200, "ratePerS": 0, "burst": 0},
                {"name": "madonie", "apiKeys": [key for key in keys if "madonie" in key], "unit": "token_count",
                 "plainTokens": 200, "ratePerS": 0, "burst": 0},
            ],
        }
        configuration.update(changes)
        self.store.put("op/config", configuration)
        self.record.line("configuration", version=version, keys=",".join(keys))


class Stream:
    """One client attempt on a streaming route, read in a thread until it ends or breaks off."""

    ids = itertools.count(1)

    def __init__(self, platform, entry, events_wanted, last_event=None, resumes=None, key=KEYS[0], deadline_ms=12000):
        self.platform, self.entry = platform, entry
        self.attempt = "c%05d%011x" % (next(self.ids), int(time.time() * 1e6) & 0xfffffffffff)
        self.status, self.body, self.complete, self.error = 0, b"", False, None
        headers = {
            "Host": HOST, "Attempt-Id": self.attempt, "Deadline-Ms": str(deadline_ms), "Authorization": "Bearer " + key,
            "Model": "m", "Token-Count": "100,%d" % events_wanted, "Prompt-Prefix": "aa:60,%s:40" % self.attempt[1:6]}
        if last_event is not None:
            headers.update({"Last-Event-Id": str(last_event), "Resumes": resumes})
        self.connection = http.client.HTTPConnection(*entry.front.split(":"), timeout=deadline_ms / 1000)
        self.began_at = time.monotonic()
        platform.record.line("send", to=entry.name, attempt=self.attempt, after=last_event, resumes=resumes)
        self.thread = threading.Thread(target=self.read, args=(headers,), daemon=True)
        self.thread.start()

    def read(self, headers):
        try:
            self.connection.request("POST", "/counter-chat/2f", b"prompt", headers)
            response = self.connection.getresponse()
            self.status = response.status
            while piece := response.read1(65536):
                self.body += piece
            self.complete = True
        except (http.client.HTTPException, OSError, AttributeError, ValueError) as error:
            self.error = error
        self.platform.record.line(
            "answer", attempt=self.attempt, status=self.status, events=",".join(map(str, self.event_ids())),
            complete=self.complete, error=type(self.error).__name__ if self.error else "-")

    def event_ids(self):
        if self.status != 200:
            return []
        whole = self.body.decode().split("\n\n")[:-1]
        return [int(event.split("\n")[0].removeprefix("id: ")) for event in whole]

    def last_event(self):
        return max(self.event_ids(), default=0)

    def close(self):
        """The client loses its connection."""
        self.platform.record.line("client-closes", attempt=self.attempt)
        try:
            self.connection.sock.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            pass


def wait_until(condition, what, timeout_s=15):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError("timed out waiting for: " + what)
        time.sleep(0.02)


def run_case(case, file):
    """Runs a case and exits with its result."""
    folder = pathlib.Path(file).resolve().parent
    try:
        with Platform(folder) as platform:
            result, verdict = case(platform)
            platform.record.line("verdict", result=result, why=verdict)
    except Exception as error:  # Whatever keeps the case from running is no verdict on the rule.
        import traceback
        traceback.print_exc()
        result, verdict = COULD_NOT_RUN, "the case could not run: %r" % error
    print(verdict)
    sys.exit(result)

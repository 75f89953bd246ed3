"""A small deployment: stand-ins of the store and of engines, and the project's programs."""

import asyncio
import gc
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from .engine import Engine
from .store import Store
from .client import HOST

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# The sheet of sciabica-neve in SYSTEM.md.
REVOKE_MS, DRAIN_MS, GRACE_S, CONTACT_S, RECOVERY_S = 5000, 2500, 8, 3, 12


def route(name, route_type, service, timeout_ms, objective_ms, attempts=1, resumable=False):
    return {"name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": route_type, "backend": service,
            "timeoutMs": timeout_ms, "targetLatencyMs": objective_ms, "priority": 1, "maxAttempts": attempts,
            "anonymous": False, "sticky": route_type == "streaming", "resumable": resumable, "gapAimMs": 400}


def configuration(version=7):
    return {
        "version": version,
        "routes": [
            route("fitting-dossier", "streaming", "sarta", 15000, 1000),
            route("counter-chat", "streaming", "sarta", 12000, 400, attempts=2, resumable=True),
            route("return-tagging", "streaming", "sarta", 3000, 500),
            route("deposit-charge", "non_idempotent", "banco", 1500, 300),
            route("stock-lookup", "idempotent", "banco", 1500, 300, attempts=2),
        ],
        "services": [
            {"name": "sarta", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 8, "kvCapacity": 424576, "kvTokenBytes": 163840, "stride": 6, "models": [{"name": "m"}]}},
            {"name": "banco", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "nicolosi", "apiKeys": ["key-of-nicolosi"], "priority": 1, "unit": "token_count",
                     "plainTokens": 200, "ratePerS": 1000000, "burst": 1000000}],
    }


class CannotRun(Exception):
    """The case could not be played."""


class Node:
    """One machine with one process of the project."""

    def __init__(self, deployment, name, role, settings):
        self.deployment, self.name, self.role = deployment, name, role
        self.settings_file = deployment.folder / (name + ".json")
        self.settings_file.write_text(json.dumps(dict(settings, role=role, instance=name)))
        self.log = deployment.folder / (name + ".log")
        self.popen = None

    def start(self):
        command = deploy_command(self.role)
        self.popen = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log.open("ab"), stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "WIGEONSILL_CONFIG": str(self.settings_file)})
        self.deployment.record("%s starts" % self.name)

    def signal(self, number):
        self.deployment.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def state(self):
        """Returns the process's dump of its own state, for the record only."""
        host, port = json.loads(self.settings_file.read_text())["admin"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        connection.request("GET", "/state")
        return json.loads(connection.getresponse().read())


def deploy_command(role):
    """The command of a role in the deploy file, split at spaces as the platform does."""
    file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    command = file["roles"][role]["run"].split(" ")
    return [str(ROOT / command[0])] + command[1:]


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Deployment:
    """Entries on 127.0.0.2 and following, model engines with their agents on 127.0.1.1 and following."""

    def __init__(self, record_file, entries=1, engines=3, plain=2):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wigeonsill-review-"))
        self.record_file = open(record_file, "w", buffering=1)
        self.began = time.monotonic()
        self.counts = (entries, engines, plain)
        self.entries, self.agents, self.engines, self.plain = [], [], [], []
        self.store = None

    def record(self, line):
        if self.record_file.closed:
            return
        self.record_file.write("%8.3f  %s\n" % (time.monotonic() - self.began, line))

    async def start(self):
        if not pathlib.Path(deploy_command("entry")[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        entries, engines, plain = self.counts
        self.store = Store()
        await self.store.start()
        await self.store.put("op/config", configuration())
        for number in range(engines):
            engine = Engine(self.store, self.record, "i-s%d" % number, "sarta", ip="127.0.1.%d" % (number + 1))
            self.engines.append(engine)
        for number in range(plain):
            self.plain.append(Engine(self.store, self.record, "i-b%d" % number, "banco", ip="127.0.2.%d" % (number + 1), slots=6))
        for engine in self.engines + self.plain:
            await engine.start()
        grant = free_port("127.0.0.1", socket.SOCK_DGRAM)
        for number, engine in enumerate(self.engines):
            self.agents.append(Node(self, "side-%d" % (number + 1), "agent", {
                "admin": "%s:%d" % (engine.ip, free_port(engine.ip)), "grant": "%s:%d" % (engine.ip, grant),
                "target": engine.address, "prefillBacklogMs": 250, "queueAhead": 1, "quotaWindowMs": 8000}))
        for number in range(entries):
            ip = "127.0.0.%d" % (number + 2)
            node = Node(self, "edge-%d" % (number + 1), "entry", {
                "admin": "%s:%d" % (ip, free_port(ip)), "grant": "%s:%d" % (ip, grant),
                "failureDomain": "nicolosi", "region": "etna", "regions": {"nicolosi": "etna"},
                "listen": "%s:%d" % (ip, free_port(ip)), "readiness": "%s:%d" % (ip, free_port(ip)),
                "store": self.store.address, "wait": {"objectiveShare": 0.6, "limitShare": 0}, "heartbeatMs": 1200,
                "strictRevocation": True, "revocationMs": REVOKE_MS, "graceMs": GRACE_S * 1000, "drainMs": DRAIN_MS,
                "quotaWindowMs": 8000, "quotaSlack": 140000, "quotaExcess": 0.1, "retryWindowMs": 10000,
                "retryRatio": 0.2, "retrySlack": 58})
            node.front = json.loads(node.settings_file.read_text())["listen"]
            node.ready = json.loads(node.settings_file.read_text())["readiness"]
            self.entries.append(node)
        for node in self.agents + self.entries:
            node.start()
        for entry in self.entries:
            await self.wait_ready(entry)

    async def is_ready(self, entry):
        host, port = entry.ready.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % host.encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, entry, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready(entry):
            if time.monotonic() > end:
                raise CannotRun(entry.name + " does not become ready")
            await asyncio.sleep(0.1)

    def close(self):
        """Ends all processes that the case started."""
        for node in self.agents + self.entries:
            if node.popen is not None:
                if node.popen.poll() is None:
                    node.popen.kill()
                node.popen.wait()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print("logs: %s" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case, record_file, limit_s=110, **counts):
    """Plays a case: an async function of the deployment and whether there is a disruption, which returns
    what broke the rule (empty if nothing). Exits with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    random.seed(int(os.environ.get("SEED", "1")))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record_file, **counts)
        try:
            await deployment.start()
            return await asyncio.wait_for(case(deployment, trouble), limit_s)
        finally:
            deployment.close()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.2)
            gc.collect()  # Closes forgotten connections while there is a loop to do it in.
            await asyncio.sleep(0)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # Whatever kept the case from being played is told, not judged.
        print("could not run: %r" % error)
        sys.exit(2)
    with open(record_file, "a") as file:
        file.write("verdict: %s\n" % (broken or "the rule held"))
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)

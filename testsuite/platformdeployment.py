"""One deployment on the users' platform: real entries and agents with stand-ins, and its callers."""

import http.client
import json
import os
import socket
import subprocess
import threading

from harness import BIN, wait_until
from platformstandin import Engine, Store

HOST = "camp.example"


def route(name, route_type, service, attempts=1, resumable=False, timeout_ms=4000, anonymous=False):
    return {
        "name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": route_type, "backend": service,
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
            {"name": "ganga", "apiKeys": keys, "unit": "token_count", "plainTokens": 200, "ratePerS": rate, "burst": rate},
            {"name": "yamuna", "apiKeys": ["key-of-yamuna"]},
        ],
    }


class Node:
    """One wigeonsill-node process. A thread collects its log from the pipe, as the platform does."""

    def __init__(self, folder, name, settings):
        file = folder / (name + ".json")
        file.write_text(json.dumps(dict(settings, instance=name, admin="127.0.0.1:0")))
        self.lines = []
        self.popen = subprocess.Popen(
            [str(BIN / "wigeonsill-node")], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            env=dict(os.environ, WIGEONSILL_CONFIG=str(file)),
        )
        self.ports = json.loads(self.popen.stdout.readline())["ports"]
        threading.Thread(target=self.collect_log, daemon=True).start()

    def collect_log(self):
        for line in self.popen.stdout:
            self.lines.append(line)

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=5)
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode()

    def state(self):
        return json.loads(self.get("admin", "/state")[1])


class Deployment:
    """A store, engines, a plain service, agents and one entry.

    All agents use the entry's grant port, so each engine and its agent share a loopback address
    that no other instance has.
    """

    def __init__(self, folder, entry_settings=None):
        self.folder = folder
        self.entry_settings = entry_settings or {}  # In addition to those that each entry has.
        self.store = Store()
        self.nodes = []
        self.engines = [Engine("i-%d" % i, slots=2) for i in range(1, 7)]
        self.plain_services = [Engine("p-%d" % i) for i in (1, 2)]
        self.store.put("op/config", configuration(1, ["key-1", "key-2"]))
        # Finds a free UDP port for grants. Engine i-N and its agent then listen on 127.0.1.N.
        port_probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        port_probe.bind(("127.0.0.1", 0))
        self.grant_port = port_probe.getsockname()[1]
        port_probe.close()
        self.agents = []
        for number, engine in enumerate(self.engines):
            loopback_address = "127.0.1.%d" % (number + 1)
            engine.server.close()
            engine.server = socket.socket()
            engine.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            engine.server.bind((loopback_address, 0))
            engine.server.listen(64)
            engine.address = "%s:%d" % engine.server.getsockname()
            threading.Thread(target=engine.accept_connections, daemon=True).start()
            self.agents.append(self.start_agent(number))
        for engine in self.engines:
            self.store.put("servers/" + engine.instance, engine.instance_record("engines"))
        for engine in self.plain_services:
            self.store.put("servers/" + engine.instance, engine.instance_record("plain"))
        self.store.put("servers/odd-1", "{ not json")
        self.store.put("servers/odd-2", {"backend": "engines", "address": 7})
        self.entry = self.start_entry("entry")

    def start_agent(self, number):
        """Starts the agent of an engine, which listens for grants at the engine's IP address."""
        address = self.engines[number].address
        agent = Node(self.folder, "agent-%d" % number, {
            "role": "agent", "grant": "%s:%d" % (address.split(":")[0], self.grant_port), "target": address})
        self.nodes.append(agent)
        return agent

    def restart_agent(self, number):
        """Kills an agent, which forgets what it knew, and starts it again."""
        self.agents[number].popen.kill()
        self.agents[number].popen.wait()
        self.agents[number] = self.start_agent(number)

    def start_entry(self, name, address="127.0.0.1"):
        entry = Node(self.folder, name, {
            "role": "entry", "grant": "%s:%d" % (address, self.grant_port), "failureDomain": "a", "region": "r",
            "regions": {"a": "r"}, "listen": "127.0.0.1:0", "readiness": "127.0.0.1:0",
            "store": self.store.address, "strictRevocation": True, "revocationMs": 3000, "graceMs": 6000,
            "drainMs": 1000, "retrySlack": 3000, **self.entry_settings})
        self.nodes.append(entry)
        wait_until(lambda: entry.get("readiness", "/readiness")[0] == 200, "the entry is ready")
        return entry

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            node.popen.kill()
            node.popen.wait()
        for server in self.engines + self.plain_services + [self.store]:
            server.close()


class Reply:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Client:
    """A caller that sends all its requests on one persistent connection."""

    request_numbers = iter(range(1, 1_000_000))

    def __init__(self, entry):
        self.connection = http.client.HTTPConnection("127.0.0.1", entry.ports["listen"], timeout=15)

    def send(self, path, key="key-1", tokens="100,35", body=b"prompt", method="POST", extra=None):
        headers = {
            "Host": HOST, "Attempt-Id": "r-%d" % next(self.request_numbers), "Deadline-Ms": "4000",
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

    def exchange(self, path, **options):
        """Sends a request and returns its answer."""
        self.last_request = self.send(path, **options)
        return self.read()


def run_of_request(deployment, request):
    """Returns the request with this id as received by the engine or plain service that ran it."""
    return next(
        run for engine in deployment.engines + deployment.plain_services
        for run in engine.runs if run["headers"]["Attempt-Id"] == request)


def count_runs(deployment, request):
    """Returns how often the engines and plain services ran the request with this id."""
    return sum(
        run["headers"]["Attempt-Id"] == request
        for engine in deployment.engines + deployment.plain_services for run in engine.runs)

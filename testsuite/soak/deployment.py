"""The processes, stand-ins and links of a soak, and the faults that strike them."""

import contextlib
import dataclasses
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import threading
import time

from harness import BIN, wait_until
from link import Link, Proxies
from plan import Fault
from standins import Journal, SoakEngine, SoakStore

HOST = "camp.example"
# The platform's figures of this deployment, as its settings give them to the processes.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.5
DOWNGRADE_S = 0.25
DRAIN_S = 2.5
GRACE_S = 8.0
REVOKE_S = 3.0
RECOVERY_S = 12.0
RETRY_WINDOW_S, RETRY_RATIO, RETRY_SLACK = 10.0, 0.2, 20
QUOTA_WINDOW_S, QUOTA_EXCESS, QUOTA_SLACK = 8.0, 0.1, 4000
QUOTA_RATES = (2000, 3200)  # tokens per second of the organisation with a quota
HEARTBEAT_S = 1.2
PADDING_STEP, PADDING_LIMIT = 400, 1500  # routes; the most make half a megabyte in the store's answers
SOFTWARE_VERSIONS = ("v1", "v2")  # side by side in each service, for odd seeds; for others all begin with the first
RELEASED_SHARE = 0.34  # of the engines, that one release replaces
RELEASE_GAP_S = 0.3
STREAMS_BEGIN_S = 0.4
KILLED_TWICE_SHARE = 0.7  # From this amount on, all processes are killed again as soon as they are back.
STARTED_S = 1.0  # For which a process needs at most until it is ready.
UNSEEN_S = 0.2  # from the harm of an entry to the release that it doesn't see
UNFRAMED_S = 0.4  # for which an engine answers without length before it is killed
STORE_BYTES_PER_S = 800_000  # to each entry
ENGINES_PER_HEARTBEAT = 24  # more engines write less often, which bounds the writes to the store
UNLISTED_DRAIN_SHARE = 0.25  # of the drains, that the store never learns
GONE_DRAIN_SHARE = 0.5  # up to this share it learns them by the removal of the record
SHUTDOWN_S = 2.0  # how long an engine goes on after its drain time
REWRITE_MINIMUM_S, REWRITE_SPREAD_S = 0.5, 3.0  # until the operator notices that the store went back
PART_DOWN_S = 2.0  # until an engine is back that a prompt part has ended
LIMITS = (0, 0.5, 1, 2)  # requests a second that an engine in need takes
RESTART_S = 0.3  # the platform's delay before it starts an ended process again

ROUTES = {
    # kind of request: type of the route, service, attempts, resumable
    "ask": ("streaming", "engines", 2, True),
    "draft": ("streaming", "engines", 1, False),
    "book": ("non_idempotent", "plain", 1, False),
    "look": ("idempotent", "plain", 2, False),
}


def route(name, route_type, service, attempts, resumable, anonymous=False):
    return {
        "name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": route_type, "backend": service,
        "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 0, "maxAttempts": attempts,
        "anonymous": anonymous, "sticky": False, "resumable": resumable, "gapAimMs": 300,
    }


class Operator:
    """Writes configurations to the store and keeps what it wrote, with the times of acknowledgement."""

    def __init__(self, store):
        self.store = store
        self.lock = threading.RLock()
        self.version = 0
        self.padding_routes = 0  # that nobody uses
        self.keys = ["key-stable", "key-0"]
        self.next_key = 1
        self.revoked = {}  # key: when its revocation was acknowledged
        self.rate = QUOTA_RATES[0]
        self.rates = [(time.monotonic(), self.rate)]  # (acknowledged at, rate)
        self.sent = {}  # version: when it was sent
        self.acknowledged = {}
        self.write()

    def write(self, step=1):
        """Writes the next version. Its route /vN/ replaces that of the version before it."""
        with self.lock:
            self.version += step
            version = self.version
            self.sent[version] = time.monotonic()
            self.put()
            self.acknowledged[version] = time.monotonic()
            return self.acknowledged[version]

    def put(self):
        wait_until(lambda: self.store.mode in ("ok", "slow"), "the store takes writes")
        routes = [route(name, *properties) for name, properties in ROUTES.items()]
        routes.append(route("v%d" % self.version, "idempotent", "plain", 2, False, anonymous=True))
        routes += [route("padding-%d" % number, "idempotent", "plain", 2, False) for number in range(self.padding_routes)]
        tenant = {"unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0}
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [
                {"name": "engines", "healthPath": "/health", "maxConnections": 100,
                 "engine": {"slots": 2, "stride": 7}},
                {"name": "plain", "healthPath": "/health", "maxConnections": 100},
            ],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4000000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
            "tenants": [
                dict(tenant, name="ganga", apiKeys=list(self.keys)),
                dict(tenant, name="metered", apiKeys=["key-metered"], ratePerS=self.rate, burst=self.rate),
            ],
        })

    def revoke(self):
        with self.lock:
            key = self.keys.pop()
            self.keys.append("key-%d" % self.next_key)
            self.next_key += 1
            self.revoked[key] = self.write()

    def grow(self, share):
        """Writes two versions in succession, the first with many more routes, up to a limit."""
        with self.lock:
            self.padding_routes = min(PADDING_LIMIT, self.padding_routes + int(PADDING_STEP * (1 + share)))
            self.write()
            self.write()

    def change_quota(self):
        with self.lock:
            self.rate = QUOTA_RATES[1] if self.rate == QUOTA_RATES[0] else QUOTA_RATES[0]
            self.rates.append((self.write(), self.rate))

    def write_again(self, lost_after):
        """Writes the newest version to a store that went back. Revocations that it lost count from now."""
        with self.lock:
            self.put()
            now = time.monotonic()
            self.revoked.update({key: now for key, at in self.revoked.items() if at > lost_after})
            self.acknowledged[self.version] = now


class Disturbances:
    """When what was disturbed, for the rules that hold for machines in touch only."""

    def __init__(self):
        self.spans = []

    @contextlib.contextmanager
    def span(self, subject, what):
        entry = [subject, what, time.monotonic(), float("inf")]
        self.spans.append(entry)
        try:
            yield
        finally:
            entry[3] = time.monotonic()

    def note(self, subject, what):
        with self.span(subject, what):
            pass

    def calm(self, subjects, start, end):
        """Returns whether none of the subjects was disturbed between the times."""
        return not any(subject in subjects and begun <= end and ended >= start
                       for subject, _, begun, ended in self.spans)

    def in_touch(self, entry, moment):
        return self.calm((entry, "store", "harness"), moment - CONTACT_S, moment)


class Node:
    """A wigeonsill-node that is started again whenever it ends. Each incarnation has its own log."""

    def __init__(self, folder, name, settings, on_start):
        self.folder, self.name, self.on_start = folder, name, on_start
        self.incarnation = 0
        self.file = folder / (name + ".json")
        self.file.write_text(json.dumps(dict(settings, instance=name, admin="127.0.0.1:0")))
        self.popen = None
        self.expected_end = False
        self.draining = False
        self.frozen_until = 0.0
        self.lock = threading.Lock()  # one stop and start at a time

    def launch(self):
        self.incarnation += 1
        self.log = self.folder / ("%s.%d.log" % (self.name, self.incarnation))
        with self.log.open("w") as output:
            self.popen = subprocess.Popen(
                [str(BIN / "wigeonsill-node")], stdout=output, stderr=subprocess.STDOUT,
                env=dict(os.environ, WIGEONSILL_CONFIG=str(self.file)))
        self.expected_end = False

    def wait_started(self):
        wait_until(lambda: "\n" in self.log.read_text() or self.popen.poll() is not None, self.name + " started")
        if self.popen.poll() is None:
            self.ports = json.loads(self.log.read_text().split("\n")[0])["ports"]
            self.on_start(self)

    def identity(self):
        return "%s.%d" % (self.name, self.incarnation)


class Deployment:
    """Entries behind links, agents beside engines behind links, plain services and the store."""

    def __init__(self, folder, seed, counts):
        self.folder, self.seed = folder, seed
        self.proxies = Proxies()
        self.journal = Journal()
        self.disturbances = Disturbances()
        self.broken = []  # promises broken that the faults themselves see: (promise, subject, text)
        self.store = SoakStore()
        self.operator = Operator(self.store)
        self.stopping = threading.Event()
        self.released_versions = 0
        self.send_crashing_request = None  # set by the callers: sends one request again and again for a time
        self.send_crashing = None  # set by the callers: sends requests with a part for a time
        self.rotation = set()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            grant_port = probe.getsockname()[1]
        self.engines, self.links, self.nodes = {}, {}, {}
        for sort, service in (("engine", "engines"), ("plain", "plain")):
            for number in range(1, counts[sort] + 1):
                name = "%s-%d" % (sort, number)
                engine = SoakEngine(name, service, self.journal, seed)
                engine.crash = self.end_by_part
                engine.version = engine.next_version = SOFTWARE_VERSIONS[number * (seed % 2) % len(SOFTWARE_VERSIONS)]
                host = "127.0.%d.%d" % (1 + number // 250, 1 + number % 250) if sort == "engine" else "127.0.0.1"
                self.engines[name] = engine
                self.links[name] = self.link(host, engine.address)
                target = engine.address
                engine.address = self.links[name].address
                if sort == "engine":
                    self.add_node("agent-%d" % number, {
                        "role": "agent", "grant": "%s:%d" % (host, grant_port), "target": target})
        self.heartbeat_s = HEARTBEAT_S * max(1.0, len(self.engines) / ENGINES_PER_HEARTBEAT)
        for number in range(1, counts["entry"] + 1):
            name = "entry-%d" % number
            self.links[name] = self.link("127.0.0.1", None)
            self.links["store of " + name] = self.link("127.0.0.1", self.store.address)
            self.links["store of " + name].bytes_per_s = STORE_BYTES_PER_S
            self.add_node(name, {
                "role": "entry", "grant": "127.0.%d.%d:%d" % (20 + number // 250, 1 + number % 250, grant_port),
                "failureDomain": "a", "region": "r", "regions": {"a": "r"},
                "listen": "127.0.0.1:0", "readiness": "127.0.0.1:0",
                "store": self.links["store of " + name].address, "strictRevocation": True,
                "revocationMs": int(REVOKE_S * 1000), "graceMs": int(GRACE_S * 1000), "drainMs": int(DRAIN_S * 1000),
                "heartbeatMs": int(self.heartbeat_s * 1000), "quotaWindowMs": int(QUOTA_WINDOW_S * 1000),
                "quotaSlack": QUOTA_SLACK, "quotaExcess": QUOTA_EXCESS,
                "retryWindowMs": int(RETRY_WINDOW_S * 1000), "retryRatio": RETRY_RATIO, "retrySlack": RETRY_SLACK,
            })
        self.entries = [name for name in self.nodes if name.startswith("entry")]

    def link(self, host, target):
        return Link(self.proxies, host, target, random.Random("link-%d-%d" % (self.seed, len(self.links))))

    def add_node(self, name, settings):
        self.nodes[name] = Node(self.folder, name, settings, self.node_started)

    def node_started(self, node):
        if node.name in self.links:
            self.links[node.name].owner = node.identity()
            self.links[node.name].target = "127.0.0.1:%d" % node.ports["listen"]

    def __enter__(self):
        self.heartbeat()
        for node in self.nodes.values():
            node.launch()
        for node in self.nodes.values():
            node.wait_started()
        self.start_thread(self.write_heartbeats)
        self.start_thread(self.watch_processes)
        self.start_thread(self.watch_own_pace)
        for name in self.entries:
            self.start_thread(self.watch_readiness, name)
        wait_until(lambda: len(self.rotation) == len(self.entries), "all entries are ready")
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for node in self.nodes.values():
            node.expected_end = True
            node.popen.kill()
            node.popen.wait()
        for server in [*self.engines.values(), self.store]:
            server.close()

    def start_thread(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        thread.start()
        return thread

    # The platform: heartbeats, restarts, readiness.

    def heartbeat(self):
        for engine in self.engines.values():
            if not engine.dark and engine.listed_state:
                self.store.put("servers/" + engine.instance, engine.record())

    def write_heartbeats(self):
        while not self.stopping.wait(self.heartbeat_s):
            if self.store.mode in ("ok", "slow"):
                self.heartbeat()

    def watch_processes(self):
        while not self.stopping.wait(0.1):
            for node in self.nodes.values():
                if node.popen.poll() is not None and not node.expected_end and not self.stopping.is_set():
                    self.broken.append(("ENDS", node.name, "%s ended by itself with status %d; log %s" % (
                        node.identity(), node.popen.returncode, node.log)))
                    node.expected_end = True
                    self.start_thread(self.restart_ended, node)

    def watch_own_pace(self):
        """A harness that falls behind delays every request and answer, as slow links would."""
        while not self.stopping.is_set():
            before = time.monotonic()
            time.sleep(0.05)
            if time.monotonic() - before > 0.3:
                self.disturbances.note("harness", "%.2f s behind" % (time.monotonic() - before))

    def watch_readiness(self, name):
        misses = 0
        while not self.stopping.wait(0.25 if misses else 1.0):
            try:
                connection = http.client.HTTPConnection("127.0.0.1", self.nodes[name].ports["readiness"], timeout=1)
                connection.request("GET", "/readiness")
                ready = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                ready = False
            misses = 0 if ready else misses + 1
            if ready:
                self.rotation.add(name)
            elif misses >= 2:
                self.rotation.discard(name)

    def restart_ended(self, node):
        with node.lock:
            if node.popen.poll() is not None:
                self.restart(node, RESTART_S)

    def restart(self, node, delay_s):
        """Starts a process that has ended. Another one may get its port meanwhile, so its link leads nowhere until then."""
        if node.name in self.links:
            self.links[node.name].target = None
        time.sleep(delay_s)
        if not self.stopping.is_set():
            node.launch()
            node.wait_started()
            self.disturbances.note(node.name, "start")

    # The faults. Each method takes the fault and returns when its effect has ended.

    def strike(self, fault):
        sort = fault.subject.split("-")[0]
        methods = {
            "term": self.terminate, "kill": self.kill, "freeze": self.freeze, "hangup": self.hang_up,
            "crash": self.crash, "drain": self.drain, "replace": self.replace, "forget": self.forget_history,
            "back": self.go_back, "config": self.change_configuration, "revoke": self.change_configuration,
            "quota": self.change_configuration, "grow": self.change_configuration, "crashing-part": self.add_crashing_part,
            "limit": self.limit_engine, "crashing-request": self.add_crashing_request, "release": self.release,
            "killed": self.kill_engine, "release-unseen": self.release_unseen,
            "freeze-agents": self.freeze_agents, "kill-all": self.kill_all,
        }
        if fault.kind in methods:
            methods[fault.kind](fault)
        elif sort == "store":
            self.change_store(fault)
        elif fault.kind in ("pause", "torn", "twice", "garbage", "endless", "unframed", "error",
                            "refuse", "half-event", "half-unframed", "half-head", "unsound-head", "early-reset",
                            "joined", "quote", "joined-odd"):
            self.change_engine(fault)
        elif fault.kind.startswith("store-"):
            self.harm_link(self.links["store of " + fault.subject], fault.kind[6:], fault)
        else:
            self.harm_link(self.links[fault.subject], fault.kind, fault)

    def terminate(self, fault):
        node = self.nodes[fault.subject]
        with node.lock, self.disturbances.span(node.name, "term"):
            if node.popen.poll() is not None:
                return
            node.expected_end = node.draining = True
            sent_at = time.monotonic()
            node.popen.send_signal(signal.SIGTERM)
            try:
                node.popen.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                node.popen.kill()
                node.popen.wait()
                if node.frozen_until < sent_at and self.disturbances.calm(("harness",), sent_at, time.monotonic()):
                    self.broken.append(("DRAIN", node.name, "%s runs %.1f s after SIGTERM; log %s" % (
                        node.identity(), GRACE_S, node.log)))
            node.draining = False
            self.restart(node, RESTART_S + fault.for_s)

    def kill(self, fault):
        node = self.nodes[fault.subject]
        popen = node.popen
        with self.disturbances.span(node.name, "kill"):
            if node.draining:
                popen.kill()  # terminate() waits for the end and starts it again
                return
            with node.lock:
                if node.popen.poll() is None:
                    node.expected_end = True
                    node.popen.kill()
                    node.popen.wait()
                    self.restart(node, RESTART_S + fault.for_s)

    def freeze(self, fault):
        node = self.nodes[fault.subject]
        popen = node.popen
        with self.disturbances.span(node.name, "freeze"):
            node.frozen_until = time.monotonic() + fault.for_s
            popen.send_signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            popen.send_signal(signal.SIGCONT)

    def freeze_agents(self, fault):
        """All agents stand still together."""
        threads = [
            threading.Thread(target=self.freeze, args=(dataclasses.replace(fault, subject=name),))
            for name in self.nodes if name.startswith("agent-")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def hang_up(self, fault):
        node = self.nodes[fault.subject]
        settings = json.loads(node.file.read_text())
        settings["logLinesPerSecond"] = 300 + int(100 * fault.amount)
        changed = node.file.with_suffix(".%s.new" % threading.get_ident())
        changed.write_text(json.dumps(settings))
        changed.replace(node.file)  # a process that starts now must not read half a file
        node.popen.send_signal(signal.SIGHUP)

    def harm_link(self, link, harm, fault):
        with self.disturbances.span(fault.subject, fault.kind):
            if harm == "reset":
                link.reset_all()
            elif harm == "silence":
                link.silence_all()
            elif harm == "delay":
                link.delay_s = 0.4 * fault.amount
            elif harm == "split":
                link.split = True
            else:
                link.blocked |= {"cut-up": {"up"}, "cut-down": {"down"}, "cut": {"up", "down"}}[harm]
            time.sleep(fault.for_s)
            if harm not in ("reset", "silence"):
                link.delay_s, link.split = 0.0, False
                link.blocked.clear()

    def change_engine(self, fault):
        engine = self.engines[fault.subject]
        with self.disturbances.span(fault.subject, fault.kind):
            engine.retry_after_s = 3 * fault.amount if fault.amount > 0.5 else 0.0
            engine.fault, engine.fault_share = fault.kind, 0.2 + 0.8 * fault.amount
            time.sleep(fault.for_s)
            engine.fault = None

    def limit_engine(self, fault):
        """The engine names a limit of requests a second, over all entries; so do those that replace it meanwhile."""
        engine = self.engines[fault.subject]
        if engine.limit is not None:
            return
        with self.disturbances.span(fault.subject, "limit"):
            engine.set_limit(LIMITS[int(len(LIMITS) * fault.amount)])
            time.sleep(fault.for_s)
            engine.set_limit(None)

    def crash(self, fault):
        engine, link = self.engines[fault.subject], self.links[fault.subject]
        with self.disturbances.span(fault.subject, "crash"):
            engine.dark = True
            link.dark = True
            link.reset_all()
            time.sleep(fault.for_s)
            self.begin_engine(engine, engine.instance, 0.5 * fault.amount)

    def kill_engine(self, fault):
        """Ends an engine in the middle of answers without length; its system closes the connections in order."""
        engine, link = self.engines[fault.subject], self.links[fault.subject]
        if engine.dark:
            return
        with self.disturbances.span(fault.subject, "killed"):
            engine.fault, engine.fault_share = "unframed", 1.0
            time.sleep(UNFRAMED_S)
            engine.fault = None
            link.refuse()
            engine.dark = True
            link.end_all()
            time.sleep(fault.for_s)
            link.listen_again()
            self.begin_engine(engine, engine.instance, 0.5 * fault.amount)

    def end_by_part(self, engine):
        """Ends an engine that began to answer on a crashing part, and starts it again later."""
        engine.dark = True
        self.links[engine.name].refuse()
        self.links[engine.name].reset_all()
        self.start_thread(self.restart_after_part, engine)

    def restart_after_part(self, engine):
        with self.disturbances.span(engine.name, "crash"):
            time.sleep(PART_DOWN_S)
            self.links[engine.name].listen_again()
            self.begin_engine(engine, engine.instance, 0.2)

    def add_crashing_part(self, fault):
        """From now on a part ends engines; requests with it come for as long as the fault lasts."""
        part = "c%x" % (len(self.journal.crashing_parts) + 1)
        self.journal.crashing_parts.add(part)
        self.send_crashing(part, fault.for_s)

    def add_crashing_request(self, fault):
        """From now on one request ends servers; it comes again and again for as long as the fault lasts."""
        kind = list(ROUTES)[int(len(ROUTES) * fault.amount)]
        number = len(self.journal.crashing_requests) + 1
        method, body = ("GET", b"") if kind == "look" else ("POST", b"crashing request %d" % number)
        target = "/%s/%d?n=5" % (kind, 5000 + number)
        self.journal.crashing_requests.add((method, target, body))
        self.send_crashing_request(kind, target, body, fault.for_s)

    def begin_engine(self, engine, old_instance, unlisted_s):
        """Starts an engine's next incarnation, which takes the address before the store's list shows it."""
        engine.begin_incarnation()
        self.links[engine.name].dark = False
        time.sleep(unlisted_s)
        self.store.put("servers/" + engine.instance, engine.record())
        self.store.remove("servers/" + old_instance)

    def replace(self, fault):
        engine = self.engines[fault.subject]
        with self.disturbances.span(fault.subject, "replace"):
            self.links[fault.subject].reset_all()
            self.begin_engine(engine, engine.instance, fault.amount)

    def release(self, fault):
        """Replaces some engines by a version that none had before."""
        with self.operator.lock:
            self.released_versions += 1
            version = "v%d" % (len(SOFTWARE_VERSIONS) + self.released_versions)
        names = [name for name in self.engines if name.startswith("engine")]
        first = names.index(fault.subject)
        for step in range(max(1, round(RELEASED_SHARE * len(names)))):
            name = names[(first + step) % len(names)]
            self.engines[name].next_version = version
            self.replace(Fault(fault.at_s, "replace", name, 0.0, RELEASE_GAP_S))

    def release_unseen(self, fault):
        """An entry stands still, is killed or doesn't reach the store as a new version joins."""
        self.read_streams(fault.subject)
        time.sleep(STREAMS_BEGIN_S)
        kind = ("freeze", "kill", "store-cut")[int(3 * fault.amount)]
        harm = Fault(fault.at_s, kind, fault.subject, fault.for_s, fault.amount)
        harming = self.start_thread(self.strike, harm)
        time.sleep(UNSEEN_S)
        names = [name for name in self.engines if name.startswith("engine")]
        self.release(Fault(fault.at_s, "release", names[int(1000 * fault.amount) % len(names)], 0.0, 0.0))
        harming.join()

    def kill_all(self, fault):
        """All entries and agents are killed at once while engines of several versions serve, now and then twice."""
        names = [name for name in self.engines if name.startswith("engine")]
        first = names[int(1000 * fault.amount) % len(names)]
        self.release(Fault(fault.at_s, "release", first, 0.0, 0.0))
        kills = 1 + int(fault.amount > KILLED_TWICE_SHARE)
        for name in self.entries:
            # They come back once the entries are in touch again.
            self.read_streams(name, kills * (RESTART_S + fault.for_s + STARTED_S) + CONTACT_S)
        time.sleep(STREAMS_BEGIN_S)
        for _ in range(kills):
            killing = [
                self.start_thread(self.kill, dataclasses.replace(fault, subject=name)) for name in list(self.nodes)]
            for thread in killing:
                thread.join()

    def drain(self, fault):
        engine, link = self.engines[fault.subject], self.links[fault.subject]
        if engine.state != "ready" or engine.dark:
            return
        instance = engine.instance
        engine.state = "draining"
        if fault.amount > UNLISTED_DRAIN_SHARE:  # otherwise only its answers say so
            engine.listed_state = "draining" if fault.amount > GONE_DRAIN_SHARE else None
            wait_until(lambda: self.store.mode in ("ok", "slow"), "the store takes writes")
            if engine.listed_state:
                self.store.put("servers/" + instance, engine.record())
            else:
                self.store.remove("servers/" + instance)
            self.journal.drains.append((time.monotonic(), engine.name, instance))
        time.sleep(DRAIN_S + SHUTDOWN_S)
        if engine.instance != instance:
            return
        with self.disturbances.span(fault.subject, "left"):
            engine.dark = link.dark = True
            link.reset_all()
            self.store.remove("servers/" + instance)
            time.sleep(fault.for_s)
            self.begin_engine(engine, instance, 0.5 * fault.amount)

    def change_store(self, fault):
        with self.disturbances.span("store", fault.kind):
            self.store.mode = fault.kind
            time.sleep(fault.for_s)
            self.store.mode = "ok"

    def forget_history(self, fault):
        with self.disturbances.span("store", fault.kind):
            self.store.forget()

    def go_back(self, fault):
        with self.disturbances.span("store", fault.kind), self.operator.lock:
            moment = time.monotonic() - fault.for_s
            if moment < self.store.copies[0][0]:
                return
            self.store.go_back(fault.for_s)
            time.sleep(REWRITE_MINIMUM_S + REWRITE_SPREAD_S * fault.amount)
            self.operator.write_again(moment)

    def change_configuration(self, fault):
        actions = {"config": lambda: self.operator.write(1 + int(3 * fault.amount)),
                   "revoke": self.operator.revoke, "quota": self.operator.change_quota,
                   "grow": lambda: self.operator.grow(fault.amount)}
        actions[fault.kind]()

"""What engines say of themselves in their answers: that they leave, and that they want no requests for a time."""

import json
import pathlib
import tempfile
import threading
import time

from harness import check, wait_until
from platformdeployment import Client, Deployment

DRAIN_S = 1.0  # drainMs of the entry: no request reaches a leaving engine later.
# The store goes back twice within four seconds and its operator writes nothing again; keys must not lapse meanwhile.
ENTRY_SETTINGS = {"revocationMs": 10_000}


class Load:
    """Callers that send requests one after another, each on a connection of its own, until stop()."""

    def __init__(self, entry, count, path="/draft/x"):
        self.entry = entry
        self.path = path
        self.replies = []  # (time at the end, reply)
        self.running = True
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self):
        client = Client(self.entry)
        while self.running:
            reply = client.exchange(self.path)
            self.replies.append((time.monotonic(), reply))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def failed(self):
        return [reply.status for _, reply in self.replies if reply.status != 200 or not reply.complete]

    def served(self):
        return sum(reply.status == 200 and reply.complete for _, reply in self.replies)


def entry_events(deployment, *names):
    """Returns the entry's log lines with one of these events, in the order of the process."""
    lines = [json.loads(line) for line in list(deployment.entry.lines) if line.startswith("{")]
    return [line for line in lines if line["event"] in names]


def sent_after(deployment, event, target):
    """Returns the sends to a target that the entry logged after an event about that target."""
    lines = [line for line in entry_events(deployment, "sent", event) if line.get("target") == target]
    events = [line["event"] for line in lines]
    check(event in events, "the entry logs %s of %s" % (event, target))
    return events[events.index(event):].count("sent")


def counter(node, text):
    metrics = node.get("admin", "/metrics")[1]
    return sum(float(line.split(" ")[-1]) for line in metrics.splitlines() if line.startswith(text))


def keep_listing_as_ready(deployment, engine, service, duration_s):
    """Writes the engine's record as ready again and again, also in another era of the store."""
    went_back = False
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        deployment.store.put("servers/" + engine.instance, engine.instance_record(service))
        if not went_back and end - time.monotonic() < duration_s / 2:
            deployment.store.go_back(0.5)
            went_back = True
        time.sleep(0.1)


def plain_service_leaves(deployment):
    """A plain service, which has no agent, says that it leaves and still runs requests."""
    engine = deployment.plain_services[0]
    load = Load(deployment.entry, 4, "/look/plain")
    wait_until(lambda: len(engine.runs) >= 5, "it serves requests")
    engine.leaving = True
    wait_until(lambda: entry_events(deployment, "target-leaving"), "the entry notices", timeout_s=5)
    noticed_at = time.monotonic()
    served_before = load.served()
    keep_listing_as_ready(deployment, engine, "plain", DRAIN_S + 1.5)
    late = [arrival - noticed_at for arrival in engine.arrivals if arrival > noticed_at + DRAIN_S]
    check(not late, "no request reaches it after drainMs: %s" % late)
    check(
        sent_after(deployment, "target-leaving", engine.instance) == 0,
        "the entry sends it nothing after the first answer that says so")
    check(load.served() > served_before + 20, "the other one serves its load")
    load.stop()
    check(load.failed() == [], "no request fails: %s" % load.failed())
    wait_until(
        lambda: all(connection.fileno() == -1 for connection in engine.request_connections),
        "the connections kept to it are closed", timeout_s=2)
    line = entry_events(deployment, "target-leaving")[0]
    check(line["target"] == engine.instance and line["by"] == "answer", "the log tells who said so: %s" % line)
    check(
        counter(deployment.entry, 'wigeonsill_targets_leaving_total{by="answer"}') == 1, "it is counted once")


def engine_leaves(deployment):
    """An engine with an agent says that it leaves. Whichever of agent and entry sees it first acts on it."""
    engine, agent = deployment.engines[0], deployment.agents[0]
    load = Load(deployment.entry, 4)
    wait_until(lambda: len(engine.runs) >= 5, "the engine serves requests")
    engine.leaving = True
    wait_until(lambda: agent.state()["targetLeaving"], "its agent notices", timeout_s=5)
    noticed_at = time.monotonic()
    served_before = load.served()
    keep_listing_as_ready(deployment, engine, "engines", DRAIN_S + 0.5)
    late = [arrival - noticed_at for arrival in engine.arrivals if arrival > noticed_at + 0.1]
    check(not late, "no request reaches it once its agent grants nothing: %s" % late)
    check(load.served() > served_before + 20, "the others serve its load")
    load.stop()
    check(load.failed() == [], "no request fails: %s" % load.failed())


def successor_is_used(deployment):
    """A new incarnation with another id answers at the address of the engine that left."""
    engine = deployment.engines[0]
    deployment.store.remove("servers/" + engine.instance)
    engine.instance, engine.leaving, engine.born, runs = "i-successor", False, 2_000, len(engine.runs)
    deployment.store.put("servers/" + engine.instance, engine.instance_record("engines"))
    load = Load(deployment.entry, 4)
    wait_until(lambda: len(engine.runs) > runs, "the successor serves requests", timeout_s=5)
    load.stop()


def store_says_leaving(deployment):
    engine = deployment.engines[1]
    record = engine.instance_record("engines", state="draining")
    deployment.store.put("servers/" + engine.instance, record)

    def lines():
        return [
            line for line in entry_events(deployment, "target-leaving") if line["target"] == engine.instance]
    wait_until(lines, "the entry notices", timeout_s=5)
    check(lines()[0]["by"] == "store", "the log tells who said so: %s" % lines())
    check(
        counter(deployment.entry, 'wigeonsill_targets_leaving_total{by="store"}') == 1,
        "it is counted once")
    deployment.store.put("servers/" + engine.instance, engine.instance_record("engines"))


def quiet_service(deployment):
    """A plain service turns requests away and wants none for a time; the other one takes its load."""
    # The one that left before is gone; its successor is as good as new.
    leaver, engine = deployment.plain_services
    deployment.store.remove("servers/" + leaver.instance)
    leaver.instance, leaver.leaving = "p-successor", False
    deployment.store.put("servers/" + leaver.instance, leaver.instance_record("plain"))
    wait_until(lambda: leaver.instance in str(deployment.entry.state()), "the successor is listed")
    quiet_s = 2.0
    load = Load(deployment.entry, 8, "/look/plain")
    wait_until(lambda: len(engine.arrivals) > 20, "it serves requests")
    engine.quiet_s = quiet_s
    wait_until(lambda: entry_events(deployment, "target-quiet"), "the entry notices", timeout_s=5)
    noticed_at = time.monotonic()
    served_before = load.served()
    time.sleep(quiet_s - 0.2)
    within = [at - noticed_at for at in engine.arrivals if noticed_at + 0.5 < at < noticed_at + quiet_s - 0.1]
    check(len(within) <= 2, "at most two requests reach it from half a second on: %s" % within)
    check(
        sent_after(deployment, "target-quiet", engine.instance) == 0,
        "the entry sends it nothing until its time is over")
    check(load.served() > served_before + 50, "the other one serves its load")
    time.sleep(0.4)
    probes = [at - noticed_at for at in engine.arrivals if at > noticed_at + quiet_s - 0.1]
    check(len(probes) <= 1, "one request asks again, and it is turned away: %s" % probes)
    engine.quiet_s = None
    runs = len(engine.runs)
    wait_until(lambda: len(engine.runs) > runs + 20, "it serves requests again", timeout_s=quiet_s + 3)
    load.stop()
    check(load.failed() == [], "no request fails: %s" % load.failed())


def all_quiet(deployment):
    """Both plain services want no requests for a time: callers are told at once when to come back."""
    for engine, quiet_s in zip(deployment.plain_services, (3.0, 1.5)):
        engine.quiet_s = quiet_s
    client = Client(deployment.entry)
    wait_until(lambda: client.exchange("/look/plain").status == 503, "both turn requests away")
    arrivals = [len(engine.arrivals) for engine in deployment.plain_services]
    told = []
    for _ in range(20):
        start = time.monotonic()
        reply = client.exchange("/look/plain")
        check(reply.status == 503 and time.monotonic() - start < 0.3, "callers are refused at once")
        told.append(float(reply.headers["Retry-After"]))
    check(1.0 <= min(told) and max(told) <= 1.5 * 1.25, "they are told the shorter time: %s" % told)
    check(len(set(told)) > 10, "they return at scattered moments: %s" % told)
    check(
        arrivals == [len(engine.arrivals) for engine in deployment.plain_services],
        "the services get no requests meanwhile")
    for engine in deployment.plain_services:
        engine.quiet_s = None
    wait_until(lambda: client.exchange("/look/plain").status == 200, "requests are served again", timeout_s=4)


def quiet_engine(deployment):
    """The agent sees that its engine wants no requests: it grants nothing and asks for no report."""
    engine, agent = deployment.engines[2], deployment.agents[2]
    # A route with two attempts, so that the requests that the engine turns away run elsewhere.
    load = Load(deployment.entry, 4, "/ask/x")
    wait_until(lambda: len(engine.runs) >= 5, "the engine serves requests")
    engine.quiet_s, engine.quiet_reports = 1.5, True
    wait_until(
        lambda: any('"target-quiet"' in line for line in agent.lines)
        or any(line["target"] == engine.instance for line in entry_events(deployment, "target-quiet")),
        "the agent or the entry notices", timeout_s=5)
    noticed_at = time.monotonic()
    time.sleep(1.2)
    late = [at - noticed_at for at in engine.arrivals if at > noticed_at + 0.5]
    check(len(late) <= 2, "at most two requests reach it from half a second on: %s" % late)
    engine.quiet_s, engine.quiet_reports, runs = None, False, len(engine.runs)
    wait_until(lambda: len(engine.runs) > runs, "it serves requests again", timeout_s=6)
    load.stop()
    check(load.failed() == [], "no request fails: %s" % load.failed())


with tempfile.TemporaryDirectory() as folder_name:
    with Deployment(pathlib.Path(folder_name), ENTRY_SETTINGS) as deployment:
        for case in (
            plain_service_leaves, engine_leaves, successor_is_used, store_says_leaving, quiet_service, all_quiet,
            quiet_engine,
        ):
            print(case.__name__, flush=True)
            case(deployment)
print("1 passed, 0 failed")

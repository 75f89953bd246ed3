"""Servers name the requests a second that they take from all entries together: the sum of all entries stays under it."""

import pathlib
import tempfile
import threading
import time

from harness import check, wait_until
from limitedrates import CONTACT_S, allowed, most_in_a_window
from platformdeployment import Client, Deployment

USED_SHARE = 0.8  # of a limit while more is offered
ENGINES, PLAIN = "/ask/x", "/look/plain"


class Load:
    """Requests at a set rate, spread over entries. Each has a connection of its own."""

    def __init__(self, entries, per_second, path):
        self.entries, self.period_s, self.path = entries, 1 / per_second, path
        self.replies = []  # (sent at, seconds until its end, reply)
        self.running = True
        self.requests = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        begin = time.monotonic()
        for number in range(1_000_000):
            time.sleep(max(0, begin + number * self.period_s - time.monotonic()))
            if not self.running:
                return
            entry = self.entries[number % len(self.entries)]
            self.requests.append(threading.Thread(target=self.send, args=(entry,), daemon=True))
            self.requests[-1].start()

    def send(self, entry):
        at = time.monotonic()
        client = Client(entry)
        reply = client.exchange(self.path)
        client.connection.close()
        self.replies.append((at, time.monotonic() - at, reply))

    def stop(self):
        self.running = False
        self.thread.join()
        for request in self.requests:
            request.join()

    def share_served(self, begin=0.0):
        served = [reply.status == 200 and reply.complete for at, _, reply in self.replies if at >= begin]
        return sum(served) / max(1, len(served))


def start_entries(deployment, count):
    return [deployment.entry] + [
        deployment.start_entry("entry-%d" % number, "127.0.0.%d" % number) for number in range(2, count + 1)]


def name_limits(servers, limits):
    for server, limit in zip(servers, limits):
        server.limit = limit
    return time.monotonic()


def check_limits(servers, limits, named_at, until=float("inf")):
    for server, limit in zip(servers, limits):
        most = most_in_a_window(server.arrivals, named_at + CONTACT_S, until)
        print("%s names %g: at most %d requests in 4 s, allowed %d" % (server.instance, limit, most, allowed(limit)))
        check(most <= allowed(limit), "%s gets no more than its limit allows" % server.instance)


def check_used(servers, limits, begin, end):
    for server, limit in zip(servers, limits):
        rate = sum(begin <= at <= end for at in list(server.arrivals)) / (end - begin)
        print("%s names %g and gets %.2f a second" % (server.instance, limit, rate))
        check(rate >= USED_SHARE * limit, "%s gets nearly all that it takes" % server.instance)


def play(folder, entry_count, per_second, path, limits, seconds=10, is_used=True):
    with Deployment(folder) as deployment:
        servers = deployment.engines if path == ENGINES else deployment.plain_services
        load = Load(start_entries(deployment, entry_count), per_second, path)
        time.sleep(2)
        named_at = name_limits(servers, limits)
        time.sleep(CONTACT_S + seconds)
        end = time.monotonic()
        load.stop()
        check_limits(servers, limits, named_at)
        if is_used:
            check_used(servers, limits, named_at + CONTACT_S, end)
        refused = [reply for at, _, reply in load.replies if reply.status == 503]
        check(all(float(reply.headers["Retry-After"]) > 0 for reply in refused), "refusals tell when to come back")
        odd = {reply.status for _, _, reply in load.replies} - {200, 503}
        check(not odd, "each request is served or refused truthfully: %s" % odd)
        return load


def some_engines_two_entries(folder):
    load = play(folder, 2, 80, ENGINES, [2.9, 2.3])
    check(load.share_served() > 0.95, "the other engines take the rest: %.2f" % load.share_served())


def some_engines_four_entries(folder):
    play(folder, 4, 80, ENGINES, [2.9, 0.5])


def all_engines(folder):
    play(folder, 2, 25, ENGINES, [2.5] * 6)


def plain_service_two_entries(folder):
    load = play(folder, 2, 20, PLAIN, [3])
    check(load.share_served() > 0.95, "the other one takes the rest: %.2f" % load.share_served())


def all_plain_services_four_entries(folder):
    load = play(folder, 4, 20, PLAIN, [3, 0.5])
    took = sorted(seconds for _, seconds, reply in load.replies if reply.status == 503)
    check(took and took[-1] < 1.0, "a request doesn't wait past its time for a permit: %s" % took[-1:])


def load_moves_between_entries(folder):
    """All callers are at one entry, then at another one."""
    with Deployment(folder) as deployment:
        entries = start_entries(deployment, 3)
        servers, limits = deployment.plain_services, [5, 4]
        targets = [entries[0]]
        load = Load(targets, 30, PLAIN)
        time.sleep(1)
        named_at = name_limits(servers, limits)
        for turn in range(6):
            time.sleep(2)
            targets[0] = entries[turn % 3]
        end = time.monotonic()
        load.stop()
        check_limits(servers, limits, named_at)
        check_used(servers, limits, named_at + CONTACT_S, end)


def limit_falls_and_ends(folder):
    """A limit falls from 20 to 2 and is over later, which the requests that it allows find out."""
    with Deployment(folder) as deployment:
        entries = start_entries(deployment, 2)
        servers = [deployment.engines[0], deployment.plain_services[0]]
        loads = [Load(entries, 80, ENGINES), Load(entries, 60, PLAIN)]
        time.sleep(1)
        name_limits(servers, [20, 20])
        time.sleep(3)
        named_at = name_limits(servers, [2, 2])
        time.sleep(CONTACT_S + 5)
        over_at = name_limits(servers, [None, None])
        time.sleep(4)
        end = time.monotonic()
        for load in loads:
            load.stop()
        check_limits(servers, [2, 2], named_at, over_at)
        check_used(servers, [8, 8], end - 1.5, end)


def restarts(folder):
    """An entry, the agents, and an engine of which a new incarnation names no limit."""
    with Deployment(folder) as deployment:
        entries = start_entries(deployment, 3)
        servers, limits = [deployment.engines[0], deployment.plain_services[0]], [3, 3]
        loads = [Load(entries[:2], 60, ENGINES), Load(entries[:2], 20, PLAIN)]
        time.sleep(1)
        named_at = name_limits(servers, limits)
        time.sleep(CONTACT_S + 1)
        entries[2].popen.kill()  # It may die with a share.
        entries[:2] = [entries[0], deployment.start_entry("entry-4", "127.0.0.4")]
        time.sleep(2)
        for number in (0, 1):
            deployment.restart_agent(number)
        time.sleep(4)
        end = time.monotonic()
        check_limits(servers, limits, named_at, end)
        engine = servers[0]
        deployment.store.remove("servers/" + engine.instance)
        engine.instance, engine.limit, engine.born = "i-successor", None, 2_000
        deployment.store.put("servers/" + engine.instance, engine.instance_record("engines"))
        runs = len(engine.runs)
        wait_until(lambda: len(engine.runs) > runs + 20, "the limit was the predecessor's", timeout_s=5)
        for load in loads:
            load.stop()


def main():
    for case in (
            some_engines_two_entries, some_engines_four_entries, all_engines, plain_service_two_entries,
            all_plain_services_four_entries, load_moves_between_entries, limit_falls_and_ends, restarts):
        with tempfile.TemporaryDirectory() as folder:
            print(case.__name__, flush=True)
            case(pathlib.Path(folder))
    print("passed")


main()

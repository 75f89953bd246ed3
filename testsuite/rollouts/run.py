"""Rollouts on real processes: a good version is completed, a bad one is rolled back within the limits.

Several entries share the rollout. Also: the owner is killed in the middle, and the store is away during a bad version.
"""

import collections
import http.client
import pathlib
import random
import sys
import tempfile
import threading
import time

from harness import check, wait_until
from platformdeployment import Client, Deployment
from platformstandin import Engine

ENTRIES = 4
TARGETS = 6  # of each version
CALLERS = 2  # for each entry
EXPOSED_SHARE, EXPOSED_REQUESTS, ROLL_BACK_S = 0.1, 50, 5.0
# Beyond the limit: requests that are on their way while the 50th bad answer is given, and the machine's own pauses.
ROLL_BACK_MARGIN_S = 0.5
SETTINGS = {"rollout": {
    "exposedShare": EXPOSED_SHARE, "exposedRequests": EXPOSED_REQUESTS, "rollBackMs": int(ROLL_BACK_S * 1000)}}


class VersionedTarget(Engine):
    """A plain service of a version. A part of its answers are errors."""

    def __init__(self, instance, version, failing=0.0):
        self.failing = failing
        self.random = random.Random(instance)
        self.received = []  # (when, whether it was answered with an error)
        super().__init__(instance, slots=20)
        self.version = version

    def respond(self, connection, behaviour, headers, common_headers):
        at = time.monotonic()
        time.sleep(0.005)
        fails = self.random.random() < self.failing
        self.received.append((at, fails))
        return super().respond(connection, "error" if fails else "plain", headers, common_headers)


class Load:
    """Callers that send one request after the other to each entry."""

    def __init__(self, entries):
        self.outcomes = collections.Counter()  # by status; 0 for a connection that ended
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.call, args=(entry,), daemon=True) for entry in entries for _ in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def call(self, entry):
        client = Client(entry)
        while not self.stopped.wait(0.01):
            try:
                status = client.exchange("/open/plain", key="none", method="GET", body=None, tokens=None).status
            except (OSError, http.client.HTTPException):
                if entry.popen.poll() is not None:
                    return  # The entry was killed.
                status, client = 0, Client(entry)
            self.outcomes[status] += 1

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class Rollout:
    """A deployment with several entries, under load, and targets of two versions."""

    def __init__(self, folder, failing=0.0):
        self.deployment = Deployment(pathlib.Path(folder), SETTINGS)
        self.store = self.deployment.store
        for engine in self.deployment.plain_services:
            self.store.remove("servers/" + engine.instance)
        self.old = [VersionedTarget("old-%d" % i, "v1") for i in range(TARGETS)]
        self.new = [VersionedTarget("new-%d" % i, "v2", failing) for i in range(TARGETS)]
        for target in self.old:
            self.store.put("servers/" + target.instance, target.instance_record("plain"))
        self.entries = [self.deployment.entry] + [
            self.deployment.start_entry("entry-%d" % i, "127.0.0.%d" % i) for i in range(2, ENTRIES + 1)]
        self.load = None

    def __enter__(self):
        self.load = Load(self.entries)
        time.sleep(1)
        return self

    def __exit__(self, *failure):
        if failure[0]:
            print(self.store.value("rollout/record/plain"), flush=True)
            time.sleep(0.5)  # for the last log lines
            for entry in self.entries:
                print("".join(line for line in entry.lines if "rollout" in line)[-4000:], flush=True)
        self.load.stop()
        for target in self.old + self.new:
            target.close()
        self.deployment.__exit__()

    def order(self, duration_s):
        for target in self.new:
            self.store.put("servers/" + target.instance, target.instance_record("plain"))
        self.store.order_rollout("plain", "v2", duration_s)
        self.ordered_at = time.monotonic()

    def status(self):
        return (self.store.value("status/rollout/plain") or {}).get("state")

    def await_end(self, state, timeout_s):
        wait_until(lambda: self.status() not in (None, "active"), "the rollout's end", timeout_s)
        check(self.status() == state, "the rollout is %s, not %s" % (self.status(), state))
        return time.monotonic()

    def owner(self):
        """Returns the entry that owns the rollouts."""
        address = (self.store.value("rollout/owner") or {}).get("address", "")
        return next((e for e in self.entries if address == self.grant_address(e)), None)

    def grant_address(self, entry):
        number = self.entries.index(entry) + 1
        return "127.0.0.%d:%d" % (number, self.deployment.grant_port)

    def received(self, targets):
        return sorted(record for target in targets for record in target.received)

    def check_limits(self):
        """Checks the limits for a bad version, after the last request to it."""
        new = self.received(self.new)
        all_received = [at for at, _ in self.received(self.old) + new if at >= self.ordered_at]
        allowed = EXPOSED_SHARE * len(all_received) + EXPOSED_REQUESTS
        bad = [at for at, fails in new if fails]
        print("  to the new version %d of %d (allowed %.0f), %d bad" % (len(new), len(all_received), allowed, len(bad)))
        check(len(new) <= allowed, "the bad version got %d requests of %d" % (len(new), len(all_received)))
        if len(bad) >= 50:
            last = max(at for at, _ in new) - bad[49]
            print("  last request %.2f s after the 50th bad answer" % last)
            check(last <= ROLL_BACK_S + ROLL_BACK_MARGIN_S, "a request %.2f s after the 50th bad answer" % last)


def good_version_is_completed(folder):
    with Rollout(folder) as rollout:
        rollout.order(12)
        ended_at = rollout.await_end("completed", 14)
        print("  completed after %.1f s" % (ended_at - rollout.ordered_at))
        check(ended_at - rollout.ordered_at < 12, "it is completed before the deadline")
        time.sleep(0.5)
        late = [at for at, _ in rollout.received(rollout.old) if at > ended_at + 0.1]
        check(not late, "%d requests came to old targets after the end" % len(late))
        rollout.load.stop()
        check(set(rollout.load.outcomes) == {200}, "all requests are answered: %s" % rollout.load.outcomes)
        calls = len([call for call in rollout.store.calls if call[1] != "GET"])
        time.sleep(6)
        idle_from = len([call for call in rollout.store.calls if call[1] != "GET"])
        time.sleep(2)
        idle_to = len([call for call in rollout.store.calls if call[1] != "GET"])
        print("  %d changing calls until the end" % calls)
        check(idle_from == idle_to, "no calls for rollouts are made once they are final")


def bad_version_is_rolled_back(folder):
    with Rollout(folder, failing=0.3) as rollout:
        rollout.order(20)
        ended_at = rollout.await_end("rolled_back", 22)
        print("  rolled back after %.1f s" % (ended_at - rollout.ordered_at))
        time.sleep(1)
        late = [at for at, _ in rollout.received(rollout.new) if at > ended_at + 1]
        check(not late, "%d requests came to the new version after the end" % len(late))
        rollout.check_limits()


def owner_is_killed(folder):
    with Rollout(folder) as rollout:
        rollout.order(16)
        wait_until(lambda: rollout.status() == "active" and rollout.owner(), "an owner")
        time.sleep(2)
        first = rollout.owner()
        check(first is not None, "the owner keeps its lease")
        first.popen.kill()
        wait_until(lambda: rollout.owner() not in (None, first), "another owner", 8)
        print("  another owner after %.1f s" % (time.monotonic() - rollout.ordered_at - 2))
        ended_at = rollout.await_end("completed", 18)
        check(ended_at - rollout.ordered_at < 16, "it is completed before the deadline")


def store_is_away_during_bad_version(folder):
    with Rollout(folder, failing=0.3) as rollout:
        rollout.order(40)
        wait_until(lambda: rollout.status() == "active" and rollout.owner(), "an owner")
        rollout.store.mode = "silent"
        time.sleep(8)
        rollout.store.mode = "ok"
        ended_at = rollout.await_end("rolled_back", 40)
        print("  rolled back after %.1f s" % (ended_at - rollout.ordered_at))
        new = rollout.received(rollout.new)
        all_count = len([at for at, _ in rollout.received(rollout.old) + new if at >= rollout.ordered_at])
        print("  to the new version %d of %d" % (len(new), all_count))
        check(len(new) <= EXPOSED_SHARE * all_count + EXPOSED_REQUESTS, "the share holds without the store")


def main():
    cases = (good_version_is_completed, bad_version_is_rolled_back, owner_is_killed, store_is_away_during_bad_version)
    for case in [case for case in cases if case.__name__ in sys.argv[1:] or not sys.argv[1:]]:
        with tempfile.TemporaryDirectory() as folder:
            print(case.__name__, flush=True)
            case(folder)
    print("passed")


main()

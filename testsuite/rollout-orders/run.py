"""Orders of rollouts: an entry reads them where its settings call for it, becomes the owner and writes their status."""

import json
import pathlib
import tempfile
import time

from harness import check, wait_until
from platformdeployment import Deployment

LISTS = ["servers/", "versions/", "streams/", "op/rollout/", "rollout/", "status/rollout/"]
IDLE_S = 2.5  # more than two intervals between watch calls


def lists_read(store):
    """Returns the prefixes of the lists that were read, in this order."""
    return [target.split("prefix=")[1] for _, _, target in store.calls if target.startswith("/kv-range")]


def changing_calls(store):
    return [target for _, method, target in store.calls if method != "GET"]


def check_only_versions_written(store):
    """One transaction names the versions that serve, and one lease is for streams; an idle deployment makes no
    call for rollouts."""
    calls = changing_calls(store)
    check(calls.count("/kv-lease") <= 1, "one lease at most is taken")
    check(len([call for call in calls if call != "/kv-lease"]) <= 1, "one call at most changes something else")
    written = [key for key in store.items if not key.startswith(("op/", "servers/"))]
    check(all(key.startswith("versions/") for key in written), "nothing but versions is written")


def status(deployment, service):
    return deployment.store.value("status/rollout/" + service)


def nothing_is_read_without_the_setting(folder):
    with Deployment(folder) as deployment:
        deployment.store.order_rollout("engines", "v2", 60)
        time.sleep(IDLE_S)
        check(lists_read(deployment.store) == LISTS[:3], "only the targets, versions and streams are read")
        check_only_versions_written(deployment.store)


def keys_are_read_after_the_targets(folder):
    with Deployment(folder, {"rollout": {}}) as deployment:
        store = deployment.store
        check(lists_read(store) == LISTS, "all lists are read, the targets first")
        time.sleep(IDLE_S)
        check(lists_read(store) == LISTS, "later changes come with the watch calls")
        check_only_versions_written(store)
        store.go_back(0)
        wait_until(lambda: lists_read(store) == LISTS + LISTS, "a new history is read completely")


def odd_values_are_logged(folder):
    with Deployment(folder, {"rollout": {}}) as deployment:
        def has_logged(key):
            return any('"event":"rollout-malformed"' in line and key in line for line in deployment.entry.lines)
        deployment.store.put("op/rollout/engines", "{ not json")
        deployment.store.put("rollout/record/plain", "[]")
        wait_until(lambda: has_logged("op/rollout/engines"), "the order is logged")
        wait_until(lambda: has_logged("rollout/record/plain"), "the record is logged")
        check(deployment.entry.popen.poll() is None, "the entry runs")


def an_order_gets_an_owner_and_a_status(folder):
    with Deployment(folder, {"rollout": {}}) as deployment:
        store = deployment.store
        store.order_rollout("engines", "v2", 60)
        wait_until(lambda: status(deployment, "engines") == {"state": "active", "target": "v2"}, "the status")
        owner = store.value("rollout/owner")
        check(owner["address"] == "127.0.0.1:%d" % deployment.grant_port, "the owner's address: " + json.dumps(owner))
        check(store.value("rollout/record/engines")["stage"] == "canary", "the record")
        time.sleep(IDLE_S)
        check(store.value("rollout/owner") == owner, "the lease is renewed")
        deployment.entry.popen.kill()
        wait_until(lambda: store.value("rollout/owner") is None, "the lease of an owner that was killed lapses")


def orders_that_cannot_be_carried_out_are_answered(folder):
    with Deployment(folder, {"rollout": {}}) as deployment:
        store = deployment.store
        store.order_rollout("nobody", "v2", 60)
        store.order_rollout("engines", "v2", -1)
        store.put("op/rollout/plain", "{ not json")
        for service in ("nobody", "engines"):
            wait_until(lambda: status(deployment, service) == {"state": "rolled_back", "target": "v2"}, service)
        check(status(deployment, "plain") is None, "what names no target has no status")


def calls_that_fail_leave_a_status_of_the_order(folder):
    """A write that was lost or executed late must neither stop the owner nor bring an older state back."""
    with Deployment(folder, {"rollout": {}}) as deployment:
        store = deployment.store
        faults = iter([429, "lost", ("late", 0.7), 503, 1.2, "lost", ("late", 2.0), None, 412, "lost"])
        store.fault = lambda method, path: next(faults, None) if path == "/kv-txn" else None
        store.order_rollout("engines", "v2", 14)
        wait_until(lambda: status(deployment, "engines") is not None, "a status")
        # No target has the version, so the order ends by being rolled back.
        wait_until(lambda: status(deployment, "engines") == {"state": "rolled_back", "target": "v2"}, "the end")
        time.sleep(IDLE_S)
        check(status(deployment, "engines")["state"] == "rolled_back", "it stays")
        check(store.value("rollout/record/engines")["stage"] == "rolled-back", "the record says the same")
        check(deployment.entry.popen.poll() is None, "the entry runs")


def main():
    for case in (
            nothing_is_read_without_the_setting, keys_are_read_after_the_targets, odd_values_are_logged,
            an_order_gets_an_owner_and_a_status, orders_that_cannot_be_carried_out_are_answered,
            calls_that_fail_leave_a_status_of_the_order):
        with tempfile.TemporaryDirectory() as folder:
            print(case.__name__, flush=True)
            case(pathlib.Path(folder))
    print("passed")


main()

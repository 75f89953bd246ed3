"""The store is down or does not answer while requests are in progress."""

import signal

from faults import BOOKING_POOL, LANGUAGE_POOL, BackgroundLoad
from harness import ROOT, Cluster, send_booking, call, check, wait_until


def check_refused(entry, plain, key):
    """Checks that a booking whose key cannot be claimed is refused and does not run."""
    answer = send_booking(entry, key, key)
    check((answer.status, answer.outcome()) == (503, "not-run"), "the booking is refused: %d" % answer.status)
    check(
        answer.json()["code"] == 2005 and "Retry-After" in answer.headers,
        "the refusal gives its result code and Retry-After")
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(key not in runs, "the booking does not run")


def wait_until_accepted(entry, key):
    wait_until(lambda: send_booking(entry, key, key).status == 200, "bookings are accepted again")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=2)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, LANGUAGE_POOL)
    cluster.agent("agent-2", plain, BOOKING_POOL)
    entry = cluster.entry("entry-1")
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)
    load = BackgroundLoad(entry, 4, 20)
    load.wait_for_more(5)

    cluster.fault(cluster.store, down=True)
    load.wait_for_more(20)
    check_refused(entry, plain, "berth-down")
    load.wait_for_more(20)
    cluster.fault(cluster.store, down=False)
    wait_until_accepted(entry, "berth-down")

    cluster.store.signal(signal.SIGSTOP)
    check_refused(entry, plain, "berth-silent")
    load.wait_for_more(20)
    cluster.store.signal(signal.SIGCONT)
    wait_until_accepted(entry, "berth-after")
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(set(runs.values()) == {1}, "each booking runs once: " + str(runs))
    print("answers under load, all complete: %d" % load.finish())
print("ok")

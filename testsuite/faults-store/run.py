"""The store is down, or says nothing, while requests go on."""

import signal

from faults import BOOKING, LANGUAGE, Load
from harness import ROOT, Cluster, book, call, check, wait_until


def check_refused(entry, plain, key):
    """A booking that cannot be claimed is refused, and truly does not run."""
    answer = book(entry, key, key)
    check((answer.status, answer.outcome()) == (503, "not-run"), "refused: %d" % answer.status)
    check(answer.json()["code"] == 2005 and "Retry-After" in answer.headers, "with its reason")
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(key not in runs, "the booking did not run")


def check_taken(entry, key):
    wait_until(lambda: book(entry, key, key).status == 200, "bookings are taken again")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=2)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, LANGUAGE)
    cluster.agent("agent-2", plain, BOOKING)
    entry = cluster.entry("entry-1")
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)
    load = Load(entry, 4, 20)
    load.wait_for_more(5)

    cluster.fault(cluster.store, down=True)
    load.wait_for_more(20)
    check_refused(entry, plain, "berth-down")
    load.wait_for_more(20)
    cluster.fault(cluster.store, down=False)
    check_taken(entry, "berth-down")

    cluster.store.signal(signal.SIGSTOP)
    check_refused(entry, plain, "berth-silent")
    load.wait_for_more(20)
    cluster.store.signal(signal.SIGCONT)
    check_taken(entry, "berth-after")
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(set(runs.values()) == {1}, "each booking ran once: " + str(runs))
    print("answers under load, all whole: %d" % load.finish())
print("ok")

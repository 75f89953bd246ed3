"""A claim whose write takes effect after its booking was refused must not hold the key for ever."""

import signal

from faults import BOOKING
from harness import ROOT, Cluster, book, call, check, wait_until

with Cluster() as cluster:
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", plain, BOOKING)
    entry = cluster.entry("entry-1")
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry)
    cluster.store.signal(signal.SIGSTOP)
    refused = book(entry, "berth-1", "first")
    check((refused.status, refused.json()["code"]) == (503, 2005), "refused while the store is silent")
    cluster.store.signal(signal.SIGCONT)
    wait_until(lambda: book(entry, "berth-1", "first").status == 200, "the repeat runs", 30)
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(runs == {"first": 1}, "once: " + str(runs))
print("ok")

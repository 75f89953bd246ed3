"""A claim that the store writes after its booking was refused must not block the key forever."""

import signal

from faults import BOOKING_POOL
from harness import ROOT, Cluster, send_booking, call, check, wait_until

with Cluster() as cluster:
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", plain, BOOKING_POOL)
    entry = cluster.entry("entry-1")
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry)
    cluster.store.signal(signal.SIGSTOP)
    refused = send_booking(entry, "berth-1", "first")
    check(
        (refused.status, refused.json()["code"]) == (503, 2005),
        "the booking is refused while the store does not answer")
    cluster.store.signal(signal.SIGCONT)
    wait_until(lambda: send_booking(entry, "berth-1", "first").status == 200, "the repeated booking is answered", 30)
    runs = call(plain.address(), "GET", "/admin/runs").json()["runs"]
    check(runs == {"first": 1}, "the booking runs once: " + str(runs))
print("ok")

"""Connections that stop carrying data, and processes that are paused for longer than a timeout."""

import signal
import time

from faults import BOOKING_POOL, LANGUAGE_POOL, Relay, check_complete_stream, start_stream
from harness import ROOT, Cluster, send_booking, call, check, wait_until

TOKENS = 1500
# A shorter idle timeout than the default, and a long time before a paused agent counts as lost.
LIMITS = {"silenceLimitMs": 1500, "agentLostAfterMs": 120_000}


def received_bytes(entry):
    return sum(request["received"] for request in entry.state()["requests"])


def request_count(engine):
    return call(engine.address(), "GET", "/admin/load").json()["requests"]


def stalled_connection(engine, entry, relay):
    before = request_count(engine)
    caller = start_stream(entry, "silence", TOKENS)
    wait_until(lambda: received_bytes(entry) > 0, "the entry receives bytes of the answer")
    accepted = relay.accepted
    received_before = received_bytes(entry)
    relay.stall()
    start = time.monotonic()
    wait_until(lambda: received_bytes(entry) > received_before + 20_000, "the stream is resumed", 60)
    print("stream resumed after the connection stalled: %.1f s" % (time.monotonic() - start))
    check(relay.accepted > accepted, "the entry opens a new connection")
    check_complete_stream(caller.result(), TOKENS, "the answer across a stalled connection")
    check(request_count(engine) == before + 1, "the request is sent to the engine once")


def paused_process(engine, entry, process):
    """Stops the process for longer than the idle timeout, then continues it."""
    before = request_count(engine)
    caller = start_stream(entry, "pause of " + process.name, TOKENS)
    wait_until(lambda: received_bytes(entry) > 0, "the entry receives bytes of the answer")
    process.signal(signal.SIGSTOP)
    time.sleep(2.5)
    process.signal(signal.SIGCONT)
    check_complete_stream(caller.result(), TOKENS, "the answer across a pause of " + process.name)
    check(request_count(engine) == before + 1, "the request is sent to the engine once")


def unresponsive_target(cluster, entry):
    """A booking at an unresponsive target has outcome unknown and is never sent again."""
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-2", plain, BOOKING_POOL, targetSilenceMs=1000)
    cluster.wait_ready(entry, agents=2)
    plain.signal(signal.SIGSTOP)
    answer = send_booking(entry, "berth-1", "silent")
    check((answer.status, answer.outcome()) == (504, "unknown"), "a booking at an unresponsive target times out")
    repeated = send_booking(entry, "berth-1", "silent")
    check((repeated.status, repeated.outcome()) == (409, "unknown"), "the idempotency key stays claimed")
    plain.signal(signal.SIGCONT)
    runs = lambda: call(plain.address(), "GET", "/admin/runs").json()["runs"]
    wait_until(lambda: runs().get("silent"), "the target continues and runs the booking")
    check(send_booking(entry, "berth-2", "next").status == 200, "the next booking is served")
    check(runs() == {"silent": 1, "next": 1}, "each booking runs once")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=3)
    agent = cluster.agent("agent-1", engine, LANGUAGE_POOL)
    relay = Relay(agent.address())
    cluster.list_instance("agent-1", "agent", relay.address())
    entry = cluster.entry("entry-1", limits=LIMITS)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry)
    stalled_connection(engine, entry, relay)
    paused_process(engine, entry, agent)
    paused_process(engine, entry, entry)
    check_complete_stream(start_stream(entry, "afterwards", 5).result(), 5, "a request afterwards")
    unresponsive_target(cluster, entry)
print("ok")

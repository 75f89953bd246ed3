"""Connections that go silent for good, and processes that are paused and wake late."""

import signal
import time

from faults import BOOKING, LANGUAGE, Relay, check_whole, stream
from harness import ROOT, Cluster, book, call, check, wait_until

TOKENS = 1500
# Quicker to notice silence than by default, and in no hurry to give a paused agent up.
LIMITS = {"silenceLimitMs": 1500, "agentLostAfterMs": 120_000}


def received(entry):
    return sum(row["received"] for row in entry.state()["requests"])


def requests_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()["requests"]


def silent_connection(engine, entry, relay):
    before = requests_of(engine)
    caller = stream(entry, "silence", TOKENS)
    wait_until(lambda: received(entry) > 0, "bytes came")
    accepted = relay.accepted
    held = received(entry)
    relay.silence()
    start = time.monotonic()
    wait_until(lambda: received(entry) > held + 20_000, "the stream resumes", 60)
    print("resumed after silence: %.1f s" % (time.monotonic() - start))
    check(relay.accepted > accepted, "on a new connection")
    check_whole(caller.result(), TOKENS, "the answer across a silent connection")
    check(requests_of(engine) == before + 1, "it was sent to the engine once")


def paused(engine, entry, process):
    """Stops the process for longer than silence is borne and lets it go on."""
    before = requests_of(engine)
    caller = stream(entry, "pause of " + process.name, TOKENS)
    wait_until(lambda: received(entry) > 0, "bytes came")
    process.signal(signal.SIGSTOP)
    time.sleep(2.5)
    process.signal(signal.SIGCONT)
    check_whole(caller.result(), TOKENS, "the answer across a pause of " + process.name)
    check(requests_of(engine) == before + 1, "it was sent to the engine once")


def silent_target(cluster, entry):
    """A target that takes a booking and says nothing: unknown, and never sent again."""
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-2", plain, BOOKING, targetSilenceMs=1000)
    cluster.wait_ready(entry, agents=2)
    plain.signal(signal.SIGSTOP)
    answer = book(entry, "berth-1", "silent")
    check((answer.status, answer.outcome()) == (504, "unknown"), "a silent target")
    again = book(entry, "berth-1", "silent")
    check((again.status, again.outcome()) == (409, "unknown"), "the key stays taken")
    plain.signal(signal.SIGCONT)
    runs = lambda: call(plain.address(), "GET", "/admin/runs").json()["runs"]
    wait_until(lambda: runs().get("silent"), "the target wakes and runs it")
    check(book(entry, "berth-2", "next").status == 200, "the next booking")
    check(runs() == {"silent": 1, "next": 1}, "each ran once")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=3)
    agent = cluster.agent("agent-1", engine, LANGUAGE)
    relay = Relay(agent.address())
    cluster.list_instance("agent-1", "agent", relay.address())
    entry = cluster.entry("entry-1", limits=LIMITS)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry)
    silent_connection(engine, entry, relay)
    paused(engine, entry, agent)
    paused(engine, entry, entry)
    check_whole(stream(entry, "afterwards", 5).result(), 5, "a request afterwards")
    silent_target(cluster, entry)
print("ok")

"""Processes that die at once: an agent, an entry, an engine in the middle of an answer."""

from faults import BOOKING, LANGUAGE, Caller, check_whole, stream
from harness import ROOT, Cluster, ask, book, call, check, wait_until

QUICK_AGENT = {"entryLostAfterMs": 500}
QUICK_ENTRY = {"agentLostAfterMs": 300}


def load_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()


def runs_of(plain):
    return call(plain.address(), "GET", "/admin/runs").json()["runs"]


def running(engine):
    return load_of(engine)["running"]


def agent_dies(cluster, engine, entry):
    """The caller is never told that a part is the whole, and nothing runs again elsewhere."""
    before = load_of(engine)["requests"]
    begun = stream(entry, "begun", 2000)
    waiting = Caller(ask, entry, "summarise-manifest", "waiting", max_tokens=2000)
    wait_until(lambda: any(row["received"] for row in entry.state()["requests"]), "bytes came")
    wait_until(lambda: running(engine) == 2, "both run")
    cluster.processes["agent-1"].kill()
    answer = begun.result()
    check(answer.status == 200 and not answer.complete, "a stream that broke is not whole")
    check(b'"outcome":"interrupted"' in answer.body and b"[DONE]" not in answer.body, "it says so")
    answer = waiting.result()
    check((answer.status, answer.outcome()) == (502, "unknown"), "without a head it is unknown")
    check(load_of(engine)["requests"] == before + 2, "neither was sent again")
    refused = ask(entry, "answer-leader", "x")
    check((refused.status, refused.outcome()) == (503, "not-run"), "no agent: an honest refusal")
    cluster.agent("agent-1", engine, LANGUAGE, limits=QUICK_AGENT)
    cluster.wait_ready(entry, agents=2)
    check_whole(stream(entry, "after", 5).result(), 5, "through the replaced agent")


def engine_dies(cluster, engine, entry):
    cluster.fault(engine, dieAfterTokens=5)
    answer = stream(entry, "dies", 50).result()
    check(answer.status == 200 and not answer.complete, "a stream that the engine broke off")
    check(b'"code":3001' in answer.body and b"[DONE]" not in answer.body, "it says so")
    cluster.fault(engine, dieAfterTokens=5)
    answer = ask(entry, "summarise-manifest", "dies", max_tokens=50)
    check(answer.status >= 500 and answer.outcome() != "completed", "an answer that never began")
    check(answer.outcome() != "not-run", "though the engine may have run it")
    check_whole(stream(entry, "after", 5).result(), 5, "the next request")


def entry_dies(cluster, engine, plain, entry, other):
    """Its callers see the break; idempotent work ends, a booking runs on and never twice."""
    cluster.fault(plain, delayMs=1500)
    begun = stream(entry, "begun", 2000)
    booking = Caller(book, entry, "berth-1", "first")
    wait_until(lambda: any(row["received"] for row in entry.state()["requests"]), "bytes came")
    wait_until(lambda: runs_of(plain).get("first"), "the booking has begun")
    entry.kill()
    answer = begun.result()
    check(not answer.complete and b"[DONE]" not in answer.body, "a stream that broke is not whole")
    check(booking.result() is None, "the booking's caller sees the break")
    wait_until(lambda: running(engine) == 0, "the agent cancels idempotent work")
    again = book(other, "berth-1", "first")
    check(again.status == 409 and again.outcome() != "completed", "the key stays taken")
    check(runs_of(plain)["first"] == 1, "the booking ran once")
    cluster.fault(plain, delayMs=0)
    check(book(other, "berth-2", "second").status == 200, "the other entry takes bookings")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, LANGUAGE, limits=QUICK_AGENT)
    cluster.agent("agent-2", plain, BOOKING, limits=QUICK_AGENT)
    entry = cluster.entry("entry-1", limits=QUICK_ENTRY)
    other = cluster.entry("entry-2", limits=QUICK_ENTRY)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, other, agents=2)
    agent_dies(cluster, engine, entry)
    engine_dies(cluster, engine, entry)
    cluster.wait_ready(other, agents=2)
    entry_dies(cluster, engine, plain, entry, other)
print("ok")

"""An agent or entry is killed, or an engine breaks off, in the middle of an answer."""

from faults import BOOKING_POOL, LANGUAGE_POOL, BackgroundCaller, check_complete_stream, start_stream
from harness import ROOT, Cluster, send_completion, send_booking, call, check, wait_until

# Shorter limits than the defaults, so that lost peers are noticed early.
AGENT_LIMITS = {"entryLostAfterMs": 500}
ENTRY_LIMITS = {"agentLostAfterMs": 300}


def load_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()


def runs_of(plain):
    return call(plain.address(), "GET", "/admin/runs").json()["runs"]


def running_requests(engine):
    return load_of(engine)["running"]


def agent_killed(cluster, engine, entry):
    """A truncated answer must not look complete, and no request may run a second time elsewhere."""
    before = load_of(engine)["requests"]
    interrupted_stream = start_stream(entry, "begun", 2000)
    unanswered = BackgroundCaller(send_completion, entry, "summarise-manifest", "waiting", max_tokens=2000)
    wait_until(
        lambda: any(request["received"] for request in entry.state()["requests"]),
        "the entry receives bytes of an answer")
    wait_until(lambda: running_requests(engine) == 2, "the engine runs both requests")
    cluster.processes["agent-1"].kill()
    answer = interrupted_stream.result()
    check(answer.status == 200 and not answer.complete, "an interrupted stream is not complete")
    check(
        b'"outcome":"interrupted"' in answer.body and b"[DONE]" not in answer.body,
        "the stream ends with outcome interrupted")
    answer = unanswered.result()
    check(
        (answer.status, answer.outcome()) == (502, "unknown"),
        "a request without a response head has outcome unknown")
    check(load_of(engine)["requests"] == before + 2, "neither request is sent again")
    refused = send_completion(entry, "answer-leader", "x")
    check((refused.status, refused.outcome()) == (503, "not-run"), "without an agent a request is refused as not run")
    cluster.agent("agent-1", engine, LANGUAGE_POOL, limits=AGENT_LIMITS)
    cluster.wait_ready(entry, agents=2)
    check_complete_stream(start_stream(entry, "after", 5).result(), 5, "a request through the restarted agent")


def engine_interrupts_answer(cluster, engine, entry):
    cluster.fault(engine, dieAfterTokens=5)
    answer = start_stream(entry, "dies", 50).result()
    check(answer.status == 200 and not answer.complete, "a stream interrupted by the engine is not complete")
    check(b'"code":3001' in answer.body and b"[DONE]" not in answer.body, "the stream ends with result code 3001")
    cluster.fault(engine, dieAfterTokens=5)
    answer = send_completion(entry, "summarise-manifest", "dies", max_tokens=50)
    check(answer.status >= 500 and answer.outcome() != "completed", "an answer that never started is an error")
    check(answer.outcome() != "not-run", "the request may have run, so its outcome is not not-run")
    check_complete_stream(start_stream(entry, "after", 5).result(), 5, "the next request")


def entry_killed(cluster, engine, plain, entry, other_entry):
    """Callers see a truncated answer; idempotent work is cancelled; a booking runs on, and only once."""
    cluster.fault(plain, delayMs=1500)
    interrupted_stream = start_stream(entry, "begun", 2000)
    booking = BackgroundCaller(send_booking, entry, "berth-1", "first")
    wait_until(
        lambda: any(request["received"] for request in entry.state()["requests"]),
        "the entry receives bytes of an answer")
    wait_until(lambda: runs_of(plain).get("first"), "the booking runs")
    entry.kill()
    answer = interrupted_stream.result()
    check(not answer.complete and b"[DONE]" not in answer.body, "an interrupted stream is not complete")
    check(booking.result() is None, "the booking's caller sees the connection close without an answer")
    wait_until(lambda: running_requests(engine) == 0, "the agent cancels idempotent work")
    repeated = send_booking(other_entry, "berth-1", "first")
    check(repeated.status == 409 and repeated.outcome() != "completed", "the idempotency key stays claimed")
    check(runs_of(plain)["first"] == 1, "the booking runs once")
    cluster.fault(plain, delayMs=0)
    check(send_booking(other_entry, "berth-2", "second").status == 200, "the other entry accepts bookings")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, LANGUAGE_POOL, limits=AGENT_LIMITS)
    cluster.agent("agent-2", plain, BOOKING_POOL, limits=AGENT_LIMITS)
    entry = cluster.entry("entry-1", limits=ENTRY_LIMITS)
    other_entry = cluster.entry("entry-2", limits=ENTRY_LIMITS)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, other_entry, agents=2)
    agent_killed(cluster, engine, entry)
    engine_interrupts_answer(cluster, engine, entry)
    cluster.wait_ready(other_entry, agents=2)
    entry_killed(cluster, engine, plain, entry, other_entry)
print("ok")

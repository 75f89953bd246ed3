"""Entries and agents drain and a target leaves while requests are in progress: none may fail."""

import signal

from faults import LANGUAGE_POOL, BackgroundLoad, check_complete_stream, start_stream
from harness import ROOT, Cluster, call, check, wait_until

STREAMS = 20
TOKENS = 150


def request_count(engine):
    return call(engine.address(), "GET", "/admin/load").json()["requests"]


def running_requests(engine):
    return call(engine.address(), "GET", "/admin/load").json()["running"]


def finish_streams(streams):
    for caller in streams:
        check_complete_stream(caller.result(), TOKENS, "a stream in progress")


def entry_drains(entry, other_entry):
    load = BackgroundLoad(other_entry, 2, 10)
    streams = [start_stream(entry, "entry %d" % i, TOKENS) for i in range(STREAMS)]
    wait_until(lambda: len(entry.state()["requests"]) == STREAMS, "all streams are in progress")
    check(entry.stop(60) == 0, "the entry ends gracefully")
    finish_streams(streams)
    load.wait_for_more(5)
    load.finish()


def agent_drains(engines, agent, entry):
    load = BackgroundLoad(entry, 4, 10)
    streams = [start_stream(entry, "agent %d" % i, TOKENS) for i in range(STREAMS)]
    wait_until(lambda: all(running_requests(engine) > 0 for engine in engines), "both engines run streams")
    agent.signal(signal.SIGTERM)
    check(agent.popen.wait(60) == 0, "the agent ends gracefully")
    load.wait_for_more(20)
    finish_streams(streams)
    load.finish()


def target_leaves(cluster, engine, agent, entry):
    load = BackgroundLoad(entry, 4, 10)
    load.wait_for_more(10)
    cluster.list_instance(agent.name, "agent", agent.address(), "leaving")
    wait_until(
        lambda: any(agent_state["leaving"] for agent_state in entry.state()["agents"]),
        "the entry knows that the target is leaving"
    )
    wait_until(lambda: running_requests(engine) == 0, "the leaving target has no running request")
    before = request_count(engine)
    load.wait_for_more(40)
    check(request_count(engine) == before, "a leaving target gets no new request")
    load.finish()


with Cluster() as cluster:
    engines = [cluster.standin("engine-%d" % i, role="engine", stepMs=5) for i in range(3)]
    agents = [
        cluster.agent("agent-%d" % i, engine, LANGUAGE_POOL, limits={"maximumRunning": 12})
        for i, engine in enumerate(engines)
    ]
    entries = [cluster.entry("entry-%d" % i) for i in range(2)]
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(*entries, agents=3)
    entry_drains(entries[0], entries[1])
    target_leaves(cluster, engines[0], agents[0], entries[1])
    agent_drains(engines[1:], agents[1], entries[1])
print("ok")

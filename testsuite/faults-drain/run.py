"""Entries and agents that drain, and targets that leave, while requests go on."""

import signal

from faults import LANGUAGE, Load, check_whole, stream
from harness import ROOT, Cluster, call, check, wait_until

STREAMS = 20
TOKENS = 150


def requests_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()["requests"]


def running(engine):
    return call(engine.address(), "GET", "/admin/load").json()["running"]


def finish_streams(streams):
    for caller in streams:
        check_whole(caller.result(), TOKENS, "a stream in progress")


def entry_drains(entry, other):
    load = Load(other, 2, 10)
    streams = [stream(entry, "entry %d" % i, TOKENS) for i in range(STREAMS)]
    wait_until(lambda: len(entry.state()["requests"]) == STREAMS, "all are in progress")
    check(entry.stop(60) == 0, "the entry ends gracefully")
    finish_streams(streams)
    load.wait_for_more(5)
    load.finish()


def agent_drains(engines, agent, entry):
    load = Load(entry, 4, 10)
    streams = [stream(entry, "agent %d" % i, TOKENS) for i in range(STREAMS)]
    wait_until(lambda: all(running(engine) > 0 for engine in engines), "both engines have work")
    agent.signal(signal.SIGTERM)
    check(agent.popen.wait(60) == 0, "the agent ends gracefully")
    load.wait_for_more(20)
    finish_streams(streams)
    load.finish()


def target_leaves(cluster, engine, agent, entry):
    load = Load(entry, 4, 10)
    load.wait_for_more(10)
    cluster.list_instance(agent.name, "agent", agent.address(), "leaving")
    wait_until(
        lambda: any(row["leaving"] for row in entry.state()["agents"]), "the entry has seen it"
    )
    wait_until(lambda: running(engine) == 0, "what ran there has ended")
    before = requests_of(engine)
    load.wait_for_more(40)
    check(requests_of(engine) == before, "a leaving target gets nothing new")
    load.finish()


with Cluster() as cluster:
    engines = [cluster.standin("engine-%d" % i, role="engine", stepMs=5) for i in range(3)]
    agents = [
        cluster.agent("agent-%d" % i, engine, LANGUAGE, limits={"maximumRunning": 12})
        for i, engine in enumerate(engines)
    ]
    entries = [cluster.entry("entry-%d" % i) for i in range(2)]
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(*entries, agents=3)
    entry_drains(entries[0], entries[1])
    target_leaves(cluster, engines[0], agents[0], entries[1])
    agent_drains(engines[1:], agents[1], entries[1])
print("ok")

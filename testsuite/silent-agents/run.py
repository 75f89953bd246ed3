"""Streams taken up at another entry while the agents that keep them are silent for a moment, or have just started again."""

import pathlib
import signal
import sys
import tempfile
import threading
import time

from harness import check
from platformdeployment import Deployment
from takenupstreams import joined, kill, remove_stored_streams, went_on
from twoentries import EVENT_COUNT, READ_S, STREAMS, TIMEOUT_MS, begin, list_engines

VERSIONS = ["v1"] * 3 + ["v2"] * 3
LIST_READ_S = 2.0  # Until a running entry has read that the keys were removed.
WAIT_MS = 1500  # For which an entry asks.


def take_up_all(deployment, streams):
    for stream in streams:
        stream.leave()
    for engine in deployment.engines:
        engine.event_delay_s = 0.01
    extra = {"Deadline-Ms": str(TIMEOUT_MS)}
    again = [stream.take_up(deployment.other, stream.request, extra=extra) for stream in streams]
    for stream in again:
        stream.thread.join()
    return list(zip(streams, again))


def check_all_go_on(deployment, streams):
    pairs = take_up_all(deployment, streams)
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), STREAMS))
    count = went_on(pairs, EVENT_COUNT)
    check(count == STREAMS, "all streams go on at their version (%d of %d)" % (count, STREAMS))


def stop_for(agents, still_s):
    for agent in agents:
        agent.popen.send_signal(signal.SIGSTOP)

    def wake():
        for agent in agents:
            agent.popen.send_signal(signal.SIGCONT)
    threading.Timer(still_s, wake).start()


def check_agents_stand_still(deployment, still_s):
    """LOST, review case 9: the entry gave up after 0.3 s, of callers that had 30 s left."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    kill(deployment.entry)
    stop_for(deployment.agents, still_s)
    check_all_go_on(deployment, streams)


def check_agents_stand_still_in_turn(deployment):
    """The same, again and again."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    kill(deployment.entry)
    stopping = threading.Event()

    def stop_again():
        while not stopping.is_set():
            stop_for(deployment.agents, 0.4)
            time.sleep(0.6)
    thread = threading.Thread(target=stop_again)
    thread.start()
    time.sleep(0.05)
    try:
        check_all_go_on(deployment, streams)
    finally:
        stopping.set()
        thread.join()
        time.sleep(0.5)


def check_agents_have_just_started_again(deployment, count):
    """LOST: agents that started again don't know yet which entries they can ask."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    for number in range(count):
        deployment.restart_agent(number)
    check_all_go_on(deployment, streams)


def begin_and_lose_agents(deployment):
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    for node in [deployment.entry] + deployment.agents:
        kill(node)
    return streams


def check_no_agent_answers(deployment):
    """The store names the versions, and no agent grants room: streams go on at their version or are refused."""
    streams = begin_and_lose_agents(deployment)
    began = time.monotonic()
    pairs = take_up_all(deployment, streams)
    took_s = time.monotonic() - began
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), STREAMS))
    check(all(stream.status in (200, 503) for _, stream in pairs), "the others are refused as not run")
    check(took_s < WAIT_MS / 1000 + 1, "within the time (%.1f s)" % took_s)


def check_nobody_answers(deployment):
    """Without any agent and the store's records, streams are refused as not run, and not joined."""
    streams = begin_and_lose_agents(deployment)
    remove_stored_streams(deployment)
    time.sleep(LIST_READ_S)
    began = time.monotonic()
    again = [stream for _, stream in take_up_all(deployment, streams)]
    took_s = time.monotonic() - began
    check(all(stream.status == 503 for stream in again), "all are refused as not run")
    check(took_s < WAIT_MS / 1000 + 1, "within the time (%.1f s)" % took_s)


CASES = (
    (check_agents_stand_still, 0.4), (check_agents_stand_still, 1.0), (check_agents_stand_still_in_turn,),
    (check_agents_have_just_started_again, 3), (check_agents_have_just_started_again, 6), (check_no_agent_answers,),
    (check_nobody_answers,),
)

failures = []
for case, *parameters in CASES:
    print(case.__name__, *parameters, flush=True)
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(pathlib.Path(folder)) as running:
            list_engines(running, VERSIONS)
            try:
                case(running, *parameters)
            except AssertionError as failure:
                failures.append("%s %s: %s" % (case.__name__, parameters, failure))
print("\n".join(failures))
sys.exit(1 if failures else 0)

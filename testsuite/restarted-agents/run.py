"""Streams that agents have forgotten, since they started again, taken up at another entry."""

import pathlib
import tempfile
import time

from harness import check
from platformdeployment import Deployment
from takenupstreams import kill, remove_stored_streams
from twoentries import EVENT_COUNT, READ_S, begin, judge, list_engines, take_up_at_other

VERSIONS = ["v1"] * 3 + ["v2"] * 3
REPORTED_S = 3.0  # Until the entries have reported to the agents that started again.


def restart_agents(deployment):
    for number in range(len(deployment.agents)):
        deployment.restart_agent(number)
        time.sleep(0.2)


def check_agents_start_again_in_turn(deployment):
    """LOST, review case 8: only the entry that began the streams still knows their versions."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    restart_agents(deployment)
    time.sleep(REPORTED_S)
    judge(deployment, take_up_at_other(deployment, streams))


def check_only_the_store_knows_the_streams(deployment):
    """LOST, review case 13: the entry is gone as well."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    restart_agents(deployment)
    kill(deployment.entry)
    time.sleep(REPORTED_S)
    judge(deployment, take_up_at_other(deployment, streams))


def check_nobody_knows_the_streams(deployment):
    """The store has lost its records too: streams are refused, and not joined."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    restart_agents(deployment)
    kill(deployment.entry)
    remove_stored_streams(deployment)
    time.sleep(REPORTED_S)
    pairs = take_up_at_other(deployment, streams)
    whole = sum(again.complete and again.last_event() == EVENT_COUNT for _, again in pairs)
    check(whole == 0 and all(again.status == 503 for _, again in pairs), "all are refused as not run")


for case in (
        check_agents_start_again_in_turn, check_only_the_store_knows_the_streams, check_nobody_knows_the_streams):
    print(case.__name__, flush=True)
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(pathlib.Path(folder)) as running:
            list_engines(running, VERSIONS)
            case(running)

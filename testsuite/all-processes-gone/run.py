"""Streams that are taken up after the entry and all agents were killed at once, while versions mix."""

import pathlib
import sys
import tempfile
import time
from dataclasses import dataclass

from harness import check, wait_until
from platformdeployment import Deployment
from takenupstreams import Stream, joined, kill
from twoentries import EVENT_COUNT, EVENT_DELAY_S, READ_S, SERVICE, STREAMS, TIMEOUT_MS, list_engines

EXTRA = {"Deadline-Ms": str(TIMEOUT_MS)}
HALF = ("v1", "v1", "v1", "v2", "v2", "v2")
OLD = ("v1", "v1", "v1")  # The other engines join later.


@dataclass
class Form:
    """What differs between the forms of the case."""

    name: str
    versions: tuple = HALF
    age_s: float = 1.0  # Of the streams, when the processes are killed.
    event_delay_s: float = EVENT_DELAY_S
    down_s: float = 1.0
    kills: int = 1
    joins: str = ""  # When the engines of v2 join: "before" or "during" the kill.
    store: str = "ok"
    goes_on: bool = True  # Otherwise all must be refused.


FORMS = (
    Form("half and half"),
    Form("young streams", age_s=0.3, event_delay_s=0.05),
    Form("old streams", age_s=2.5),
    Form("back at once", down_s=0.1),
    Form("away for long", down_s=4.0),
    Form("killed twice", kills=2),
    Form("three versions", versions=("v1", "v1", "v2", "v2", "v3", "v3")),
    Form("one newer engine", versions=("v1",) * 5 + ("v2",)),
    Form("newer engines join just before", versions=OLD, joins="before"),
    Form("newer engines join during the kill", versions=OLD, joins="during"),
    Form("store slow", store="slow"),
    Form("store back from an older copy", store="older copy"),
    Form("store back from a copy without the streams", store="copy from before", goes_on=False),
    Form("store away while the streams begin", store="away", goes_on=False),
)


def join_new_version(deployment):
    for engine in deployment.engines[len(OLD):]:
        engine.version = "v2"
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))


def kill_all(deployment, form):
    if form.joins == "before":
        join_new_version(deployment)
        time.sleep(0.05)
    for _ in range(form.kills):
        processes = [deployment.entry] + deployment.agents
        for node in processes:
            node.popen.kill()
        for node in processes:
            kill(node)
        if form.joins == "during":
            join_new_version(deployment)
        time.sleep(form.down_s)
        deployment.agents = [deployment.start_agent(number) for number in range(len(deployment.engines))]
        deployment.entry = deployment.start_entry("entry-again")


def begin(deployment, form):
    """Begins streams, and lets them grow as old as the form says. None waits for the store."""
    store = deployment.store
    if form.store == "away":
        store.fault = lambda method, path: 503 if method == "POST" else None
    elif form.store == "slow":
        store.fault = lambda method, path: 0.24 if method == "POST" else None
    for engine in deployment.engines:
        engine.event_delay_s = form.event_delay_s
    begun_at = time.monotonic()
    streams = [Stream(deployment.entry, "/ask/x", extra=EXTRA) for _ in range(STREAMS)]
    wait_until(lambda: all(stream.last_event() >= 1 for stream in streams), "all streams have begun")
    time.sleep(max(0.0, form.age_s - (time.monotonic() - begun_at)))
    if form.store == "older copy":
        time.sleep(0.5)
        store.go_back(0.2)
        time.sleep(2.5)  # The entry has read from the copy, and writes again what it lacks.
        store.go_back(0.1)
    elif form.store == "copy from before":
        for node in [deployment.entry] + deployment.agents:
            node.popen.kill()
        store.go_back(time.monotonic() - begun_at)
    return streams


def take_up(deployment, streams):
    for stream in streams:
        stream.leave()
    for engine in deployment.engines:
        engine.event_delay_s = 0.01
    pairs = [
        (stream, stream.take_up(deployment.entry, stream.request, extra=EXTRA)) for stream in streams]
    new = [Stream(deployment.entry, "/ask/x", extra=EXTRA) for _ in range(STREAMS)]
    for stream in [again for _, again in pairs] + new:
        stream.thread.join()
    began = sum(stream.status == 200 for stream in new)
    check(began == STREAMS, "new streams begin (%d of %d)" % (began, STREAMS))
    return pairs


def check_streams_go_on(deployment, form):
    """LOST, review case 13: after the kill no process is left that saw the streams begin."""
    time.sleep(READ_S)
    streams = begin(deployment, form)
    kill_all(deployment, form)
    deployment.store.fault = None
    pairs = take_up(deployment, streams)
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), STREAMS))
    whole = sum(again.complete and again.last_event() == EVENT_COUNT for _, again in pairs)
    refused = sum(again.status == 503 for _, again in pairs)
    if form.goes_on:
        check(whole >= STREAMS // 2, "streams go on at their version (%d of %d)" % (whole, STREAMS))
    else:
        check(refused == STREAMS, "all are refused as not run (%d of %d)" % (refused, STREAMS))


failures = []
for case in FORMS:
    if len(sys.argv) > 1 and case.name not in sys.argv[1:]:
        continue
    print(case.name, flush=True)
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(pathlib.Path(folder)) as running:
            list_engines(running, case.versions)
            kill(running.other)
            try:
                check_streams_go_on(running, case)
            except AssertionError as failure:
                failures.append("%s: %s" % (case.name, failure))
print("\n".join(failures))
sys.exit(1 if failures else 0)

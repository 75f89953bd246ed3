"""Streams that begin at one entry and are taken up at another one."""

from harness import check, wait_until
from platformdeployment import configuration
from takenupstreams import Stream, joined, went_on

SERVICE = "engines"
STREAMS = 16
EVENT_COUNT = 40
EVENT_DELAY_S = 0.3
TIMEOUT_MS = 30000
READ_S = 5.0  # Until the entries have read the engines' records, and written their versions.


def list_engines(deployment, versions):
    """Engines of these versions serve, with long streams, at two entries. Others are not listed yet."""
    larger = configuration(2, ["key-1", "key-2"])
    for route in larger["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    deployment.store.put("op/config", larger)
    for engine in deployment.engines:
        engine.slots = 16
        engine.event_count, engine.event_delay_s = EVENT_COUNT, EVENT_DELAY_S
    for engine in deployment.engines[len(versions):]:
        deployment.store.remove("servers/" + engine.instance)
    for engine, version in zip(deployment.engines, versions):
        engine.version = version
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))
    deployment.entry_settings["strictRevocation"] = False
    deployment.other = deployment.start_entry("other", "127.0.0.2")


def begin(deployment, entry):
    extra = {"Deadline-Ms": str(TIMEOUT_MS)}
    streams = [Stream(entry, "/ask/x", extra=extra) for _ in range(STREAMS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    return streams


def take_up_at_other(deployment, streams):
    """Returns the streams with those that take them up at the other entry."""
    for stream in streams:
        stream.leave()
    for engine in deployment.engines:
        engine.event_delay_s = 0.01
    extra = {"Deadline-Ms": str(TIMEOUT_MS)}
    pairs = [(stream, stream.take_up(deployment.other, stream.request, extra=extra)) for stream in streams]
    new = [Stream(deployment.other, "/ask/x", extra=extra) for _ in range(STREAMS)]
    for stream in [again for _, again in pairs] + new:
        stream.thread.join()
    began = sum(stream.status == 200 for stream in new)
    check(began == STREAMS, "new streams begin (%d of %d)" % (began, STREAMS))
    return pairs


def judge(deployment, pairs):
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), STREAMS))
    count = went_on(pairs, EVENT_COUNT)
    check(count >= STREAMS // 2, "streams go on at their version (%d of %d)" % (count, STREAMS))

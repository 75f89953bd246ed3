"""Streams of an entry that doesn't see engines of a new version join, taken up at another entry."""

import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from harness import check, wait_until  # noqa: E402
from link import Link, Proxies  # noqa: E402
from platformdeployment import Deployment, configuration  # noqa: E402
from takenupstreams import Stream, joined, kill, went_on  # noqa: E402

SERVICE = "engines"
STREAMS = 16
EVENT_COUNT = 40
EVENT_DELAY_S = 0.3
TIMEOUT_MS = 30000
READ_S = 5.0  # Until the entries have read the engines' records, and written their versions.
LIST_READ_S = 2.0  # Until a running entry has read of the engines that joined.
ABANDON_S = 3.2  # Without events, a caller leaves then.
LONG_S = 8.0


def prepare(deployment):
    """Four engines of one version serve; two others are there and not listed yet."""
    larger = configuration(2, ["key-1", "key-2"])
    for route in larger["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    deployment.store.put("op/config", larger)
    for engine in deployment.engines:
        engine.slots = 16
        engine.event_count, engine.event_delay_s = EVENT_COUNT, EVENT_DELAY_S
    for engine in deployment.engines[4:]:
        deployment.store.remove("servers/" + engine.instance)
    for engine in deployment.engines[:4]:
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))
    deployment.entry_settings["strictRevocation"] = False
    deployment.other = deployment.start_entry("other", "127.0.0.2")


def begin(deployment, entry):
    extra = {"Deadline-Ms": str(TIMEOUT_MS)}
    streams = [Stream(entry, "/ask/x", extra=extra) for _ in range(STREAMS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    return streams


def join_new_version(deployment):
    for engine in deployment.engines[4:]:
        engine.version = "v2"
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))


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


def check_entry_stands_still(deployment, still_s):
    """LOST, review case 9: an entry stands still from before the new version joins."""
    entry = deployment.start_entry("still", "127.0.0.3")
    time.sleep(READ_S)
    streams = begin(deployment, entry)
    entry.popen.send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    join_new_version(deployment)
    time.sleep(ABANDON_S)
    pairs = take_up_at_other(deployment, streams)
    time.sleep(max(0.0, still_s - ABANDON_S))
    entry.popen.send_signal(signal.SIGCONT)
    judge(deployment, pairs)


def check_entry_is_killed(deployment, after_join_s):
    """The entry is killed before it has read of the new version."""
    time.sleep(READ_S)
    streams = begin(deployment, deployment.entry)
    if after_join_s is not None:
        join_new_version(deployment)
        time.sleep(after_join_s)
    kill(deployment.entry)
    if after_join_s is None:
        join_new_version(deployment)
    time.sleep(LIST_READ_S)
    judge(deployment, take_up_at_other(deployment, streams))


def check_entry_is_cut_off(deployment, cut_s):
    """The entry doesn't reach the store any more, begins streams at the version that it knows, and is killed."""
    link = Link(Proxies(), "127.0.0.1", deployment.store.address, random.Random(1))
    deployment.entry_settings["store"] = link.address
    entry = deployment.start_entry("cut-off", "127.0.0.3")
    time.sleep(READ_S)
    link.blocked.update({"up", "down"})
    join_new_version(deployment)
    time.sleep(cut_s)
    streams = begin(deployment, entry)
    kill(entry)
    judge(deployment, take_up_at_other(deployment, streams))


CASES = (
    (check_entry_stands_still, 3.5), (check_entry_stands_still, LONG_S),
    (check_entry_is_killed, None), (check_entry_is_killed, 0.0), (check_entry_is_killed, 0.1),
    (check_entry_is_cut_off, 1.0), (check_entry_is_cut_off, LONG_S),
)

failures = []
for case, parameter in CASES:
    print(case.__name__, parameter, flush=True)
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(pathlib.Path(folder)) as running:
            prepare(running)
            try:
                case(running, parameter)
            except AssertionError as failure:
                failures.append("%s %s: %s" % (case.__name__, parameter, failure))
print("\n".join(failures))
sys.exit(1 if failures else 0)

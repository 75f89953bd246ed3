"""Streams of an entry that stands still while the first engines of a new version join, taken up at another entry."""

import pathlib
import signal
import sys
import threading
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "rig-2"))

from rig import BROKEN, HELD, TROUBLE, Stream, run_case, wait_until  # noqa: E402

STREAMS = 16
EVENTS = 75  # One each 0.1 s.
LIST_READ_S = 6.0  # Entries read the list each 1.1 s, and write the versions within 4 s.
AT_START_S = 1.0
FREEZE_S = 3.5  # The dose of node_freeze in the site file.
JOIN_AFTER_S = 0.5
ABANDON_S = 3.2  # Eight times the pause of 400 ms that the sheet allows, which is more than two seconds.
DEADLINE_MS = 12000


def case(platform):
    platform.configure(1)
    zones = ["nicolosi", "linguaglossa", "piano-battaglia"]
    for number in range(6):
        platform.add_engine("i-%d" % number, zones[number % 3])
    platform.add_plain("p-0")
    first = platform.add_entry("edge-nicolosi-1")
    other = platform.add_entry("edge-linguaglossa-1", "linguaglossa")
    time.sleep(LIST_READ_S)

    began_at = time.monotonic()
    streams = [Stream(platform, first, EVENTS) for _ in range(STREAMS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    time.sleep(AT_START_S)
    silent_since = time.monotonic()
    if TROUBLE:
        first.signal(signal.SIGSTOP)
        threading.Timer(FREEZE_S, first.signal, [signal.SIGCONT]).start()
    time.sleep(JOIN_AFTER_S)
    for number in range(2):  # release: the new engines start first.
        platform.add_engine("n-%d" % number, zones[number], version="v2")
    time.sleep(max(0, silent_since + ABANDON_S - time.monotonic()))

    for stream in streams:
        stream.close()
    left_ms = int(DEADLINE_MS - 1000 * (time.monotonic() - began_at))
    taken_up = [
        Stream(platform, other, EVENTS, stream.last_event(), stream.attempt, deadline_ms=left_ms) for stream in streams]
    new = [Stream(platform, other, 5) for _ in range(STREAMS)]
    for stream in taken_up + new:
        stream.thread.join()
    went_on = sum(again.status == 200 and again.complete and again.last_event() == EVENTS for again in taken_up)
    began = sum(stream.status == 200 and stream.last_event() >= 1 for stream in new)
    statuses = sorted({again.status for again in taken_up if again.status != 200})
    verdict = "%d of %d streams that were taken up went on, %d of %d new ones began; answers to the others: %s" % (
        went_on, STREAMS, began, STREAMS, statuses)
    return (BROKEN if went_on / STREAMS < 0.5 * began / STREAMS else HELD), verdict


run_case(case, __file__)

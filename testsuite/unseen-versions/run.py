"""Streams of an entry that doesn't see engines of a new version join, taken up at another entry."""

import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from link import Link, Proxies  # noqa: E402
from platformdeployment import Deployment  # noqa: E402
from takenupstreams import kill  # noqa: E402
from twoentries import READ_S, SERVICE, begin, judge, list_engines, take_up_at_other  # noqa: E402

OLD_ENGINES = 4  # Of one version; the others join later.
LIST_READ_S = 2.0  # Until a running entry has read of the engines that joined.
ABANDON_S = 3.2  # Without events, a caller leaves then.
LONG_S = 8.0


def join_new_version(deployment):
    for engine in deployment.engines[OLD_ENGINES:]:
        engine.version = "v2"
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))


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
            list_engines(running, ["v1"] * OLD_ENGINES)
            try:
                case(running, parameter)
            except AssertionError as failure:
                failures.append("%s %s: %s" % (case.__name__, parameter, failure))
print("\n".join(failures))
sys.exit(1 if failures else 0)

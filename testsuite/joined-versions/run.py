"""Streams joined from two software versions of a service, within one answer and over a caller's tries."""

import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from harness import check, wait_until  # noqa: E402
from link import Link, Proxies  # noqa: E402
from platformdeployment import Deployment  # noqa: E402
from takenupstreams import Stream, joined, kill, versions_of, went_on  # noqa: E402

SERVICE = "engines"
EVENT_COUNT = 12
CALLERS = 12
READ_S = 5.0  # Until the entry has read the targets' records, and written their versions.
SHARED_S = 1.0  # Until agents know the streams that began.
REPORT_S = 1.0  # Until an agent has read its engine's report.


def set_versions(deployment, versions):
    for engine, version in zip(deployment.engines, versions):
        engine.version = version
        engine.event_count = EVENT_COUNT
        engine.slots = 8
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))
    time.sleep(READ_S)


def release(deployment, engines, version):
    """Replaces engines by others of another version at the same addresses."""
    for engine in engines:
        former, engine.instance = engine.instance, engine.instance + "-" + version
        engine.version = version
        deployment.store.put("servers/" + engine.instance, engine.instance_record(SERVICE))
        deployment.store.remove("servers/" + former)


def release_in_place(deployment, engines, version):
    """Starts engines again under their ids, with another version."""
    for engine in engines:
        engine.born += 1000
        engine.version = version
        deployment.store.put("servers/" + engine.instance, dict(engine.instance_record(SERVICE), born=engine.born))
    time.sleep(REPORT_S)


def break_off_and_take_up(deployment, between=lambda: None, agents_too=False):
    """Kills the entry while streams are under way. Returns the streams and those that take them up."""
    streams = [Stream(deployment.entry, "/ask/slow") for _ in range(CALLERS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    kill(deployment.entry)
    if agents_too:
        for number in range(len(deployment.agents)):
            deployment.restart_agent(number)
    between()
    for stream in streams:
        stream.thread.join()
    deployment.entry = deployment.start_entry("entry-again")
    taken_up = [stream.take_up(deployment.entry, stream.request) for stream in streams]
    for stream in taken_up:
        stream.thread.join()
    return list(zip(streams, taken_up))


def join_unseen(deployment, other, hide, show):
    """As take_up_elsewhere(), where all engines have one version until then."""
    set_versions(deployment, ["v1"] * 6)
    return take_up_elsewhere(deployment, other, hide, show, release)


def take_up_elsewhere(deployment, other, hide, show, replace):
    """Three engines of a new version join while hide keeps the other entry from learning of it.

    Streams begin at the first entry, which then ends; the other one is shown, and they are taken up there."""
    hide()
    replace(deployment, deployment.engines[3:], "v2")
    time.sleep(READ_S)
    streams = [Stream(deployment.entry, "/ask/slow") for _ in range(CALLERS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    time.sleep(SHARED_S)
    kill(deployment.entry)
    for stream in streams:
        stream.thread.join()
    taken_up = [stream.take_up(other, stream.request) for stream in streams]
    show()
    for stream in taken_up:
        stream.thread.join()
    return list(zip(streams, taken_up))


def check_one_answer(deployment):
    """A stream that its engine breaks off goes on at its version."""
    set_versions(deployment, ["v1", "v1", "v1", "v2", "v2", "v2"])
    streams = [Stream(deployment.entry, "/ask/torn-once") for _ in range(20)]
    for stream in streams:
        stream.thread.join()
    both = [stream.request for stream in streams if len(versions_of(deployment, stream.request)) > 1]
    check(not both, "streams within one answer keep their version (%d of 20 joined)" % len(both))
    whole = sum(stream.complete and stream.last_event() == EVENT_COUNT for stream in streams)
    check(whole >= 15, "most of them go on (%d of 20)" % whole)


def check_two_versions(deployment):
    """Both versions serve when all entries are killed; two engines of each are left."""
    set_versions(deployment, ["v1", "v1", "v1", "v2", "v2", "v2"])
    pairs = break_off_and_take_up(deployment)
    both = joined(deployment, pairs)
    check(not both, "streams that are taken up keep their version (%d of %d joined)" % (len(both), CALLERS))
    check(went_on(pairs, EVENT_COUNT) >= CALLERS // 2, "most of them go on (%d of %d)" % (went_on(pairs, EVENT_COUNT), CALLERS))


def check_old_version_gone(deployment):
    """The engines of the old version leave while the entries are away."""
    set_versions(deployment, ["v1", "v1", "v1", "v2", "v2", "v2"])

    def remove_old():
        for engine in deployment.engines[:3]:
            deployment.store.remove("servers/" + engine.instance)

    pairs = break_off_and_take_up(deployment, remove_old)
    both = joined(deployment, pairs)
    check(not both, "no stream of the version that left goes on at the other (%d joined)" % len(both))
    began_at_new = [pair for pair in pairs if versions_of(deployment, pair[0].request) == {"v2"}]
    check(went_on(began_at_new, EVENT_COUNT) >= len(began_at_new) // 2, "streams of the version that is left go on (%d of %d)"
          % (went_on(began_at_new, EVENT_COUNT), len(began_at_new)))
    refused = [again for first, again in pairs if versions_of(deployment, first.request) == {"v1"}]
    check(all(again.status == 503 for again in refused), "the others are refused as not run")


def check_one_version(deployment):
    """One version serves, and entries and agents are killed: nothing is known of the streams."""
    set_versions(deployment, ["v1"] * 6)
    pairs = break_off_and_take_up(deployment, agents_too=True)
    check(went_on(pairs, EVENT_COUNT) == CALLERS, "streams go on where only one version serves (%d of %d)" % (went_on(pairs, EVENT_COUNT), CALLERS))


def check_all_killed(deployment):
    """Two versions serve, and entries and agents are killed: a stream is not joined, whatever is known."""
    set_versions(deployment, ["v1", "v1", "v1", "v2", "v2", "v2"])
    pairs = break_off_and_take_up(deployment, agents_too=True)
    both = joined(deployment, pairs)
    check(not both, "no stream of an unknown version is joined (%d of %d joined)" % (len(both), CALLERS))


def check_joining_unseen_by_a_stopped_entry(deployment):
    """An entry stands still while a version joins, and is asked to go on with its streams as it runs again."""
    deployment.entry_settings["strictRevocation"] = False
    other = deployment.start_entry("stopped", "127.0.0.2")
    pairs = join_unseen(
        deployment, other,
        lambda: other.popen.send_signal(signal.SIGSTOP), lambda: other.popen.send_signal(signal.SIGCONT))
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), CALLERS))
    check(went_on(pairs, EVENT_COUNT) >= CALLERS // 2, "most of them go on (%d of %d)" % (went_on(pairs, EVENT_COUNT), CALLERS))


def check_joining_unseen_without_the_store(deployment):
    """An entry doesn't reach the store while a version joins, and reaches everything else."""
    link = Link(Proxies(), "127.0.0.1", deployment.store.address, random.Random(1))
    deployment.entry_settings.update(store=link.address, strictRevocation=False)
    other = deployment.start_entry("cut-off", "127.0.0.2")
    pairs = join_unseen(deployment, other, lambda: link.blocked.update({"up", "down"}), lambda: None)
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), CALLERS))
    old = [pair for pair in pairs if versions_of(deployment, pair[0].request) == {"v1"}]
    check(went_on(old, EVENT_COUNT) >= len(old) // 2, "streams of the version that it knows go on (%d of %d)" % (went_on(old, EVENT_COUNT), len(old)))
    others = [again for first, again in pairs if versions_of(deployment, first.request) == {"v2"}]
    check(others and all(again.status == 503 for again in others), "the others are refused as not run")


def check_version_changed_under_an_id(deployment):
    """As above; engines start again under their ids, with another version."""
    set_versions(deployment, ["v1"] * 6)
    release_in_place(deployment, deployment.engines, "v1")  # From now on the records name the start.
    link = Link(Proxies(), "127.0.0.1", deployment.store.address, random.Random(1))
    deployment.entry_settings.update(store=link.address, strictRevocation=False)
    other = deployment.start_entry("cut-off", "127.0.0.2")
    time.sleep(READ_S)
    pairs = take_up_elsewhere(
        deployment, other, lambda: link.blocked.update({"up", "down"}), lambda: None, release_in_place)
    both = joined(deployment, pairs)
    check(not both, "no stream goes on at another version (%d of %d joined)" % (len(both), CALLERS))


def check_one_version_without_the_store(deployment):
    """One version serves, and the store is away: what the agents know suffices."""
    set_versions(deployment, ["v1"] * 6)
    other = deployment.start_entry("other", "127.0.0.2")
    streams = [Stream(deployment.entry, "/ask/slow") for _ in range(CALLERS)]
    wait_until(lambda: all(stream.last_event() >= 2 for stream in streams), "all streams have begun")
    deployment.store.mode = "silent"
    kill(deployment.entry)
    for stream in streams:
        stream.thread.join()
    pairs = [(stream, stream.take_up(other, stream.request)) for stream in streams]
    for _, again in pairs:
        again.thread.join()
    check(went_on(pairs, EVENT_COUNT) == CALLERS, "streams go on while the store is away (%d of %d)" % (went_on(pairs, EVENT_COUNT), CALLERS))


for case in (check_one_answer, check_two_versions, check_old_version_gone, check_one_version, check_all_killed,
             check_joining_unseen_by_a_stopped_entry, check_joining_unseen_without_the_store,
             check_version_changed_under_an_id,
             check_one_version_without_the_store):
    print(case.__name__)
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(pathlib.Path(folder)) as running:
            case(running)

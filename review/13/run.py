"""All processes of the system are killed at the same moment while two versions serve; callers take their streams up."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "rig-3"))
import rig  # noqa: E402
from takenupstreams import Stream  # noqa: E402

STREAMS = 16
FEWEST = 12  # taken up, from which on the rule counts
EVENTS = 100
DOWN_S = 1.0
CONTACT_S = 3.0
LEFT_MS = 6500  # of the callers' deadline of 12 s when they take up their streams


def kill_all(deployment):
    """Kills the entry and all agents at once, and starts them again."""
    processes = [deployment.entry] + deployment.agents
    for node in processes:
        node.popen.kill()
    for node in processes:
        node.popen.wait()
    time.sleep(DOWN_S)
    deployment.agents = [deployment.start_agent(number) for number in range(len(deployment.engines))]
    deployment.entry = deployment.start_entry("entry-again")


def play(folder, record):
    with rig.SmallDeployment(folder, slots=8) as deployment:
        for number, engine in enumerate(deployment.engines):
            engine.event_count, engine.event_delay_s = EVENTS, 0.05
            engine.version = "v1" if number < 3 else "v2"
            deployment.write_record(engine)
        time.sleep(7)  # Each process knows both versions, and has written that to the store if it does.
        first = [
            Stream(deployment.entry, "/ask/x", extra={"Deadline-Ms": "12000"}) for _ in range(STREAMS)]
        time.sleep(1)
        if rig.TROUBLE:
            record.line("the entry and all agents are killed")
            kill_all(deployment)
            record.line("all run again, and the entry is ready")
        else:
            time.sleep(DOWN_S)
        for stream in first:
            stream.leave()
        time.sleep(CONTACT_S + 0.3)
        record.line("the entry is in touch; callers take up their streams")
        again = [
            stream.take_up(deployment.entry, stream.request, extra={"Deadline-Ms": str(LEFT_MS)})
            for stream in first if 0 < stream.last_event() < EVENTS]
        new = [Stream(deployment.entry, "/ask/x", extra={"Deadline-Ms": "12000"}) for _ in range(STREAMS)]
        for stream in again + new:
            stream.thread.join(timeout=15)
        for stream in first:
            record.line("stream %s: status %d, last event %d", stream.request, stream.status, stream.last_event())
        for stream in again:
            record.line("%s takes up a stream: status %d, last event %d", stream.request, stream.status,
                        stream.last_event())
        for stream in new:
            record.line("new stream %s: status %d, last event %d", stream.request, stream.status, stream.last_event())
        went_on = sum(stream.status == 200 and stream.last_event() > 0 for stream in again)
        began = sum(stream.status == 200 and stream.last_event() > 0 for stream in new)
        text = "of %d streams that were taken up %d went on, of %d new ones %d began" % (
            len(again), went_on, len(new), began)
        record.line(text)
        print(text)
        if len(again) < FEWEST or not began:
            raise RuntimeError("too few streams")
        return went_on / len(again) < began / len(new) / 2


rig.run("13", play)

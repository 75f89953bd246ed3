"""A stream that is sent 3.2 s after SIGTERM and could end within the grace period is broken off."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig.client import Client
from rig.deployment import GRACE_S, play

SENT_AFTER_S = 3.2
DEADLINE_MS = 4700  # The client waits until 7.9 s after SIGTERM.
EVENTS, PAUSE_MS = 45, 100  # The engine is done after about 4.5 s, 7.7 s after SIGTERM.


async def case(deployment, trouble):
    entry = deployment.entries[0]
    client = await Client(entry.front, deployment.record).connect()
    _, reply = await client.exchange("/stock-lookup/1", method="GET", tokens=None)
    if reply.status != 200:
        raise RuntimeError("the connection does not serve before the disruption")
    await asyncio.sleep(3.5)  # contactMs without any disruption.
    stopped_at = time.monotonic()
    if trouble:
        entry.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S - (time.monotonic() - stopped_at))
    sent_at = time.monotonic()
    attempt, reply = await client.exchange(
        "/fitting-dossier/1", deadline_ms=DEADLINE_MS, tokens="628,%d" % (EVENTS * 6),
        extra=[("X-Event-Pause-Ms", PAUSE_MS)])
    ended_at = time.monotonic()
    passed_on = any(attempt == run[1] for engine in deployment.engines for run in engine.runs)
    deployment.record("%s: sent %.2f s, ended %.2f s after SIGTERM, %.2f s before its deadline; passed on: %s" % (
        attempt, sent_at - stopped_at, ended_at - stopped_at, sent_at + DEADLINE_MS / 1000 - ended_at, passed_on))
    client.close()
    if reply.status == 503:
        return ""  # A refusal is a complete answer.
    deadline_reached = ended_at >= sent_at + DEADLINE_MS / 1000
    if passed_on and not reply.complete and not deadline_reached and ended_at - stopped_at < GRACE_S + 1:
        return "LOST: a request that was sent %.1f s after SIGTERM and passed on ended without a complete answer" % (
            sent_at - stopped_at)
    return ""


play(case, pathlib.Path(__file__).parent / "record.txt", engines=3, plain=2)

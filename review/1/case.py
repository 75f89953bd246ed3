"""All machines lose power for a second; the engines start again under the ids that they had."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig.client import request_once
from rig.deployment import RECOVERY_S, configuration, play
from rig.store import HEARTBEAT_S

DOWN_S = 0.65
BEFORE_S, AFTER_S, PER_S = 6, 10, 30


class Traffic:
    """Clients that send requests at a steady rate, each on a connection of its own, to any entry."""

    def __init__(self, deployment):
        self.deployment, self.results, self.tasks = deployment, [], set()

    async def send(self, entry):
        sent_at = time.monotonic()
        attempt, reply = await request_once(entry.front, self.deployment.record, "/return-tagging/1", tokens="600,24")
        self.results.append((sent_at, attempt, reply))

    async def run(self):
        while True:
            task = asyncio.get_running_loop().create_task(self.send(random.choice(self.deployment.entries)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(PER_S))

    def served_share(self, begin, end):
        sent = [result for result in self.results if begin <= result[0] < end]
        served = [result for result in sent if result[2].status == 200 and result[2].complete]
        return len(served), len(sent)


async def power_loss(deployment):
    """All machines lose power right after a change of the configuration, and start within 0.3 s."""
    await deployment.store.put("op/config", configuration(version=9))
    for node in deployment.entries + deployment.agents:
        node.kill()
    for engine in deployment.engines:
        engine.crash()
    deployment.record("all machines have lost power")
    await asyncio.sleep(DOWN_S)
    machines = list(zip(deployment.agents, deployment.engines)) + [(entry, None) for entry in deployment.entries]
    random.shuffle(machines)
    for node, engine in machines:
        await asyncio.sleep(random.uniform(0, 0.3 / len(machines)))
        if engine is not None:
            # It writes to the store every heartbeat, for the first time one heartbeat after its start.
            await engine.start(first_heartbeat_s=HEARTBEAT_S)
            deployment.record("engine %s starts again at %s" % (engine.instance, engine.address))
        node.start()


async def case(deployment, trouble):
    traffic = Traffic(deployment)
    flow = asyncio.get_running_loop().create_task(traffic.run())
    await asyncio.sleep(1)
    begin = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    struck_at = time.monotonic()
    if trouble:
        await power_loss(deployment)
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S + AFTER_S)
    end = time.monotonic()
    flow.cancel()
    await asyncio.gather(*traffic.tasks, return_exceptions=True)
    before = traffic.served_share(begin, struck_at)
    after = traffic.served_share(back_at + RECOVERY_S, end)
    deployment.record("served before: %d of %d; sent later than recoveryS after the return: %d of %d" % (before + after))
    for entry in deployment.entries:
        for target in entry.state()["targets"]:
            deployment.record("%s lists %s: usable %s" % (entry.name, target["id"], target["usable"]))
    if before[0] >= before[1] / 4 and after[0] < after[1] / 4:
        return "RECOVER: %d of %d requests served later than recoveryS after the return, %d of %d before" % (after + before)
    return ""


play(case, pathlib.Path(__file__).parent / "record.txt", entries=2, engines=4, plain=1)

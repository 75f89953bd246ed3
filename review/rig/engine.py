"""Stand-in of an engine: a model engine beside a side machine, or a plain service."""

import asyncio
import json
import random
import time

from .store import HEARTBEAT_S
from .wire import answer, answer_head, chunk, field, read_request, reset

STEP_S = 0.004
PREFILL_TOKENS_PER_S = 61_800


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


class Engine:
    """Serves requests one after the other on each connection, and a number of them at once."""

    def __init__(self, store, record, instance, service, ip="127.0.0.1", slots=8, zone="nicolosi"):
        self.store, self.record = store, record
        self.instance, self.service, self.zone = instance, service, zone
        self.ip, self.port, self.slots = ip, 0, slots
        self.is_model_engine = service != "banco"
        self.running, self.seq, self.born, self.state = 0, 0, 0, "ready"
        self.server, self.heartbeats, self.writers, self.tasks = None, None, set(), set()
        self.runs = []  # (time, attempt id, method, target, headers, body)
        self.finished = {}  # attempt id -> when its run came to a good end

    async def start(self, first_heartbeat_s=0.0):
        """Starts a new incarnation, under the id and the address that it had, if it had one."""
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.get_running_loop().create_task(self.send_heartbeats(first_heartbeat_s))

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def crash(self):
        """Ends as a process does that loses power: nothing is said, and its connections are reset."""
        self.heartbeats.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            reset(writer)

    async def send_heartbeats(self, first_s):
        await asyncio.sleep(first_s)
        while True:
            self.seq += 1
            await self.store.put("servers/" + self.instance, {
                "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(reader, writer, *request):
                    break
            writer.close()
        except (ConnectionError, asyncio.CancelledError):
            reset(writer)
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)

    async def handle(self, reader, writer, method, target, headers, body):
        """Answers one request. Returns whether the connection stays open."""
        if target == "/report":
            writer.write(answer(200, [("Content-Type", "application/json")], json.dumps({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": self.seq,
                "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 424576, "handles": 0,
                "born": self.born}).encode()))
            return True
        if target == "/health":
            writer.write(answer(200, [("Instance-Id", self.instance)]))
            return True
        attempt = field(headers, "Attempt-Id", "")
        common = [("Attempt-Id", attempt)]
        if field(headers, "Expect-Instance", self.instance) != self.instance:
            writer.write(answer(421, common + [("Instance-Id", self.instance), ("Not-Executed", "1")]))
            return True
        expected_version = field(headers, "Expect-Version")
        if expected_version not in (None, "1"):
            writer.write(answer(421, common + [("Not-Executed", "1")]))
            return True
        if self.running >= self.slots:
            writer.write(answer(503, common + [("Not-Executed", "1")]))
            return True
        self.running += 1
        stamp = "%s.%d" % (self.instance, len(self.runs))
        self.runs.append((time.monotonic(), attempt, method, target, headers, body))
        self.record("engine %s runs %s %s %s body=%d" % (self.instance, attempt, method, target, len(body)))
        run = asyncio.get_running_loop().create_task(
            self.run(writer, attempt, target, headers, common + [("Server-Stamp", stamp)]))
        gone = asyncio.get_running_loop().create_task(self.wait_for_end(reader))
        try:
            await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                return run.result()
            # Most engines drop a request when its connection closes.
            self.record("engine %s drops %s: its connection has ended" % (self.instance, attempt))
            return False
        finally:
            run.cancel()
            gone.cancel()
            self.running -= 1

    @staticmethod
    async def wait_for_end(reader):
        """Waits until the peer has closed the connection; leaves received bytes where they are."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def run(self, writer, attempt, target, headers, common):
        """Runs a request and answers it. Returns whether the connection stays open."""
        if not self.is_model_engine:
            await asyncio.sleep(0.06)
            writer.write(answer(200, common, b"done %s" % attempt.encode()))
        else:
            await self.stream(writer, headers, common)
        await writer.drain()
        self.finished[attempt] = time.monotonic()
        self.record("engine %s has finished %s" % (self.instance, attempt))
        return True

    async def stream(self, writer, headers, common):
        prompt, output = (int(text) for text in field(headers, "Token-Count", "200,60").split(","))
        pause = float(field(headers, "X-Event-Pause-Ms", "10")) / 1000
        await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S + STEP_S)
        writer.write(answer_head(200, common + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        first = int(field(headers, "Last-Event-Id", "0")) + 1
        for number in range(first, output // 6 + 1):
            writer.write(chunk(event(number)))
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")

"""Stand-in of the platform's metadata store: reads, ranges and watches. The system writes nothing there."""

import asyncio
import base64
import json
import time
import urllib.parse

from .wire import answer, read_request, reset

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
PAGE = 500
ANSWER_S = 0.004


class Store:
    """Keeps items with revisions and all of its history. Answers are linearizable."""

    def __init__(self):
        self.items = {}  # key -> (value, revision, revision of creation)
        self.log = []  # (revision, key, item or None, time)
        self.revision = 1
        self.era = 1
        self.away = False
        self.writers = set()
        self.changed = asyncio.Condition()
        self.written_at = {}
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.expire_servers())

    async def put(self, key, value):
        """Writes an item. The return of the call is the store's acknowledgement."""
        data = json.dumps(value).encode()
        async with self.changed:
            while self.away:
                await self.changed.wait()
            self.revision += 1
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (data, self.revision, created)
            self.log.append((self.revision, key, self.items[key], time.monotonic()))
            self.written_at[key] = time.monotonic()
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.log.append((self.revision, key, None, time.monotonic()))
                self.changed.notify_all()

    async def go_away(self):
        """The store does not answer: connections to it are reset until it comes back."""
        self.away = True
        for writer in list(self.writers):
            reset(writer)

    async def come_back_from_copy(self, age_s):
        """Comes back as it was so many seconds before it went away, in another era."""
        async with self.changed:
            moment = self.log[-1][3] - age_s if self.log else 0
            self.log = [entry for entry in self.log if entry[3] <= moment]
            self.items = {}
            for revision, key, item, _ in self.log:
                if item is None:
                    self.items.pop(key, None)
                else:
                    self.items[key] = item
                self.revision = revision
            self.written_at = {key: time.monotonic() for key in self.items}
            self.era += 1
            self.away = False
            self.changed.notify_all()

    async def expire_servers(self):
        """Removes the entries of engines after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.away:
                continue
            for key in [key for key in self.items if key.startswith("servers/")]:
                if now - self.written_at[key] > EXPIRY_S:
                    await self.remove(key)

    @staticmethod
    def as_item(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(), "rev": item[1],
                "createdRev": item[2], "lease": 0}

    def events(self, prefix, after):
        return [self.as_item(key, item) if item else {"key": key, "rev": revision, "removed": True}
                for revision, key, item, _ in self.log if revision > after and key.startswith(prefix)]

    async def reply(self, target):
        url = urllib.parse.urlparse(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"error": "no such key"}
            return 200, dict(self.as_item(query["key"], item), currentRev=self.revision)
        if url.path == "/kv-range":
            keys = [key for key in sorted(self.items)
                    if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"entries": [self.as_item(key, self.items[key]) for key in keys[:PAGE]],
                         "hasMore": len(keys) > PAGE, "currentRev": self.revision}
        if url.path != "/kv-watch":
            return 404, {"error": "no such call"}
        after = int(query["after"])
        if after > self.revision:
            return 410, {"error": "no such revision"}
        end = time.monotonic() + int(query["waitMs"]) / 1000
        async with self.changed:
            while True:
                events = self.events(query["prefix"], after)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        if self.away:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self.reply(request[1])
                await asyncio.sleep(ANSWER_S)
                writer.write(answer(status, [("Content-Type", "application/json"), ("Store-Era", self.era)],
                                    json.dumps(body).encode()))
        finally:
            self.writers.discard(writer)
            writer.close()

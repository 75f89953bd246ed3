"""Stand-in of the platform's metadata store: reads, ranges and watches. The system writes nothing there."""

import asyncio
import base64
import json
import time
import urllib.parse

from .wire import answer, read_request

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
PAGE = 500
ANSWER_S = 0.004


class Store:
    """Keeps items with revisions and all of its history. Answers are linearizable."""

    def __init__(self):
        self.items = {}  # key -> (value, revision, revision of creation)
        self.log = []  # (revision, key, item or None)
        self.revision = 1
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
            self.revision += 1
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (data, self.revision, created)
            self.log.append((self.revision, key, self.items[key]))
            self.written_at[key] = time.monotonic()
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.log.append((self.revision, key, None))
                self.changed.notify_all()

    async def expire_servers(self):
        """Removes the entries of engines after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key in [key for key in self.items if key.startswith("servers/")]:
                if now - self.written_at[key] > EXPIRY_S:
                    await self.remove(key)

    @staticmethod
    def as_item(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(), "rev": item[1],
                "createdRev": item[2], "lease": 0}

    def events(self, prefix, after):
        return [self.as_item(key, item) if item else {"key": key, "rev": revision, "removed": True}
                for revision, key, item in self.log if revision > after and key.startswith(prefix)]

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
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self.reply(request[1])
                await asyncio.sleep(ANSWER_S)
                writer.write(answer(status, [("Content-Type", "application/json"), ("Store-Era", "1")],
                                    json.dumps(body).encode()))
        finally:
            writer.close()

"""Stand-in of a client: one connection, on which one request follows the other."""

import asyncio
import itertools
import time

from .wire import field, read_head

HOST = "wuny96.example"
numbers = itertools.count(1)


class Reply:
    """An answer as the client saw it. status is 0 when no answer began."""

    def __init__(self, status=0, headers=(), body=b"", complete=False):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def __str__(self):
        return "status %s, %s, %d bytes" % (self.status or "none", "whole" if self.complete else "not whole", len(self.body))


class Client:
    def __init__(self, address, record, key="key-of-nicolosi"):
        self.address, self.record, self.key = address, record, key
        self.reader = self.writer = None

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        return self

    def close(self):
        if self.writer is not None:
            self.writer.close()

    def head(self, path, method="POST", deadline_ms=3000, tokens="200,60", body=b"", extra=()):
        """Returns the id and the bytes of a request's head."""
        attempt = "a%015x" % next(numbers)
        fields = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms),
                  ("Authorization", "Bearer " + self.key)]
        if tokens:
            fields += [("Model", "m"), ("Token-Count", tokens),
                       ("Prompt-Prefix", "5c1e07a2:60,%x:%s" % (hash(attempt) & 0xFFFFFFFF, tokens.split(",")[0]))]
        if body:
            fields.append(("Content-Length", len(body)))
        lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % f for f in fields + list(extra)]
        return attempt, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def send(self, path, **options):
        """Sends a request and returns its id."""
        attempt, head = self.head(path, **options)
        self.record("client sends %s %s" % (attempt, path))
        self.writer.write(head + options.get("body", b""))
        await self.writer.drain()
        return attempt

    async def read(self, attempt, limit_s=30):
        """Reads one answer, until it or the connection ends."""
        reply = Reply()
        try:
            await asyncio.wait_for(self.read_into(reply), limit_s)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            self.record("client: reading the answer to %s ended with %s" % (attempt, type(error).__name__))
        self.record("client has the answer to %s: %s" % (attempt, reply))
        return reply

    async def read_into(self, reply):
        head = await read_head(self.reader)
        if head is None:
            return
        reply.status, reply.headers = int(head[0].split(" ")[1]), head[1]
        if field(reply.headers, "Transfer-Encoding", "") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                reply.body += data[:-2]
                if size == 0:
                    break
        else:
            reply.body = await self.reader.readexactly(int(field(reply.headers, "Content-Length", "0")))
        reply.complete = True

    async def exchange(self, path, **options):
        attempt = await self.send(path, **options)
        return attempt, await self.read(attempt)


async def request_once(address, record, path, key="key-of-nicolosi", **options):
    """Sends one request on a connection of its own. Returns its id and the answer."""
    client = Client(address, record, key)
    try:
        await client.connect()
        return await client.exchange(path, **options)
    except (OSError, asyncio.TimeoutError) as error:
        record("client: no connection (%s)" % type(error).__name__)
        return None, Reply()
    finally:
        client.close()


def now():
    return time.monotonic()

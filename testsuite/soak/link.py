"""A loopback proxy that harms the connections through it."""

import asyncio
import random
import socket
import struct
import threading

POLL_S = 0.02  # how often a held-up connection looks whether it may go on
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close() resets the connection


class Proxies:
    """Runs the event loop of all links in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)


class Connection:
    """The two sockets of a proxied connection."""

    def __init__(self, writers):
        self.writers = writers
        self.silenced = False

    def end(self):
        for writer in self.writers:
            writer.close()

    def reset(self):
        for writer in self.writers:
            connected = writer.get_extra_info("socket")
            if connected is not None and connected.fileno() >= 0:
                connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Link:
    """Passes connections from its address on to a target. The faults may be set from any thread.

    blocked holds the directions ("up" to the target, "down" from it) in which nothing passes.
    """

    def __init__(self, proxies, host, target, rng):
        self.proxies = proxies
        self.target = target
        self.rng = rng
        self.owner = None  # what the target is at the moment; noted for each new connection
        self.owners = {}  # by the port of the peer
        self.blocked = set()
        self.delay_s = 0.0
        self.bytes_per_s = None  # of each connection, down from the target; None without a limit
        self.split = False
        self.dark = False
        self.refusals = 0  # faults of this moment that refuse connections
        self.lock = threading.Lock()
        self.connections = set()
        self.server = proxies.call(asyncio.start_server(self.accept, host, 0))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def accept(self, reader, writer):
        self.owners[writer.get_extra_info("peername")[1]] = self.owner
        connection = Connection([writer])
        if self.dark or self.target is None:
            connection.reset()
            return
        self.connections.add(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target.split(":"))
            connection.writers.append(far_writer)
            await asyncio.gather(
                self.pump(reader, far_writer, "up", connection), self.pump(far_reader, writer, "down", connection))
            for end in connection.writers:
                end.close()
        except OSError:
            connection.reset()
        finally:
            self.connections.discard(connection)

    async def pump(self, reader, writer, direction, connection):
        while True:
            data = await reader.read(65536)
            if self.delay_s:
                await asyncio.sleep(self.delay_s * self.rng.random())
            while connection.silenced or direction in self.blocked:
                await asyncio.sleep(POLL_S)
            if not data:
                writer.write_eof()
                return
            for piece in self.cut_in_pieces(data):
                writer.write(piece)
                await writer.drain()
                if self.bytes_per_s and direction == "down":
                    await asyncio.sleep(len(piece) / self.bytes_per_s)
                if self.split:
                    await asyncio.sleep(0.002)

    def cut_in_pieces(self, data):
        if not self.split:
            return [data]
        cuts = sorted(self.rng.randrange(len(data) + 1) for _ in range(3))
        return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)]) if a < b]

    def refuse(self):
        """Connections are refused from now on, as by a machine whose process has ended."""
        with self.lock:
            self.refusals += 1
            if self.refusals == 1:
                self.proxies.loop.call_soon_threadsafe(self.server.close)

    def listen_again(self):
        """Ends one refuse(); connections are accepted once all have ended."""
        host, port = self.address.split(":")
        with self.lock:
            self.refusals -= 1
            if self.refusals == 0:
                self.server = self.proxies.call(asyncio.start_server(self.accept, host, int(port)))

    def reset_all(self):
        self.proxies.loop.call_soon_threadsafe(lambda: [each.reset() for each in list(self.connections)])

    def end_all(self):
        """The target's process ends: its system closes its connections in order, as far as they were sent."""
        self.proxies.loop.call_soon_threadsafe(lambda: [each.end() for each in list(self.connections)])

    def silence_all(self):
        """Nothing passes on the connections of this moment any more; new ones work."""
        for connection in list(self.connections):
            connection.silenced = True

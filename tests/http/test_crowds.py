"""Tests of `http/connection.py` and `http/server.py` with clients that keep to no limit."""

import asyncio
import unittest

from swiftdeck.http.connection import BACKLOG_LIMIT_BYTES, READ_BYTES
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.transport import HIGH_WATER_BYTES
from swiftdeck.sim.world import World

GET, HEAD = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
LARGE_ANSWER_BYTES = 32 << 20
"""More than the kernel takes for a client that reads nothing."""
ANSWER_BYTES = 1000
"""More than an answer without a body takes."""


class SilentReader(asyncio.Protocol):
    """A client that writes and reads nothing."""

    def __init__(self, pieces):
        self.pieces = pieces

    def connection_made(self, transport):
        transport.pause_reading()
        for piece in self.pieces:
            transport.write(piece)


class CrowdTest(unittest.TestCase):
    def setUp(self):
        self.world, self.servers = World(), []

    def serve(self, handler, **settings):
        """Start a server at 10.0.0.1:80."""

        async def start():
            self.servers.append(HttpServer(handler, **settings))
            await self.servers[0].start("10.0.0.1", 80)

        self.world.start("server", "10.0.0.1", start)
        self.world.run(1)
        return self.servers[0]

    def connect(self, make_protocol, count=1):
        """Open connections from a process of its own."""

        async def connect():
            for _ in range(count):
                await asyncio.get_running_loop().create_connection(make_protocol, "10.0.0.1", 80)

        self.world.start("clients", "10.0.0.2", connect)

    def test_requests_sent_ahead_are_read_only_as_far_as_they_are_answered(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer)
        self.connect(lambda: SilentReader([GET * 100] * 1000))
        self.world.run(5)
        (connection,) = server.open
        backlog = connection.conn.trailing_data[0]
        self.assertLessEqual(len(backlog), BACKLOG_LIMIT_BYTES + READ_BYTES)

    def test_requests_sent_ahead_are_read_only_as_far_while_they_are_answered(self):
        async def answer(exchange):
            await asyncio.sleep(0.01)
            await exchange.send_response(200, [], b"")

        server, most = self.serve(answer), 0
        self.connect(lambda: SilentReader([GET * 100] * 1000))
        for _ in range(100):
            self.world.run(0.05)
            for connection in server.open:
                most = max(most, len(connection.conn.trailing_data[0]))
        self.assertLessEqual(most, BACKLOG_LIMIT_BYTES + READ_BYTES)
        self.assertGreater(most, 0)

    def test_answers_without_a_body_wait_for_a_client_that_reads_nothing(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"")

        server = self.serve(answer)
        self.connect(lambda: SilentReader([HEAD * 100] * 100))
        self.world.run(5)
        (connection,) = server.open
        self.assertLessEqual(
            connection.transport.get_write_buffer_size(), HIGH_WATER_BYTES + ANSWER_BYTES
        )

    def test_a_connection_that_closes_does_not_wait_for_its_client_for_ever(self):
        async def answer(exchange):
            exchange.conversation.transport.set_write_buffer_limits(2 * LARGE_ANSWER_BYTES)
            await exchange.send_response(200, [], b"x" * LARGE_ANSWER_BYTES)

        async def serve_and_connect():
            server = HttpServer(answer, slow_write_ms=200)
            await server.start("127.0.0.1", 0)
            port = server.server.sockets[0].getsockname()[1]
            protocol = SilentReader([b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"])
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: protocol, "127.0.0.1", port
            )
            try:
                async with asyncio.timeout(20):
                    while not server.open:
                        await asyncio.sleep(0.01)
                    while server.open:
                        await asyncio.sleep(0.01)
            finally:
                transport.abort()
                server.stop()

        asyncio.run(serve_and_connect())


if __name__ == "__main__":
    unittest.main()

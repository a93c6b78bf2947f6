"""Tests of `http/client.py`."""

import asyncio
import unittest

from swiftdeck.fault import WORKER_UNREACHABLE
from swiftdeck.http.client import connect, fetch_json
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.world import World


class HttpClientTest(unittest.TestCase):
    def test_fetch_json_returns_the_json_or_a_fault_where_nobody_listens(self):
        world = World()

        async def handler(exchange):
            await exchange.send_json(201, exchange.json())

        async def serve():
            await HttpServer(handler).start("10.0.0.1", 80)

        world.start("s", "10.0.0.1", serve)
        world.start("c", "10.0.0.2", lambda: asyncio.sleep(0))
        self.assertEqual(
            world.run_task(
                "c", lambda: fetch_json("10.0.0.1:80", "POST", "/", {"a": "x" * 200000})
            ),
            (201, {"a": "x" * 200000}),
        )
        self.assertEqual(
            world.run_task("c", lambda: fetch_json("10.0.0.1:81", "GET", "/")).code,
            WORKER_UNREACHABLE.code,
        )


class Peer(asyncio.Protocol):
    """A back end on a real socket with one response, which records how its connection ends."""

    def __init__(self, response):
        self.response = response
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        if not self.response:
            transport.pause_reading()

    def data_received(self, data):
        if self.response:
            self.transport.write(self.response)

    def connection_lost(self, error):
        self.ended.set_result(error)


class CloseTest(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    LARGE = bytes(32 << 20)

    async def close_and_get_error(self, response, body=b""):
        """Close a connection after a response, whole, partial or none (b"").

        Returns the error with which the back end sees its connection end.
        """
        loop, peers = asyncio.get_running_loop(), []

        def peer():
            peers.append(Peer(response))
            return peers[0]

        server = await loop.create_server(peer, "127.0.0.1", 0)
        link = await connect(*server.sockets[0].getsockname()[:2])
        request = asyncio.ensure_future(link.exchange("POST", "/", body=body))
        if response:
            reply = await request
            if response.endswith(b"ok"):
                await reply.whole()
        else:
            await asyncio.wait([request], timeout=0.1)
        link.close()
        peers[0].transport.resume_reading()
        async with asyncio.timeout(10):
            error = await peers[0].ended
        server.close()
        return error

    def test_closing_during_an_exchange_drops_bytes_that_have_not_arrived(self):
        error = asyncio.run(self.close_and_get_error(b"", self.LARGE))
        self.assertIsInstance(error, ConnectionResetError)

    def test_a_connection_on_which_all_bytes_arrived_is_closed_normally(self):
        for response in (self.HEAD + b"o", self.HEAD + b"ok"):
            self.assertIsNone(asyncio.run(self.close_and_get_error(response)))

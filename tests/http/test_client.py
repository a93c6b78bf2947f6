"""Tests of `http/client.py`."""

import asyncio
import unittest

from swiftdeck.fault import UNREACHED
from swiftdeck.http.client import connect, fetch_json
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.world import World


class HttpClientTest(unittest.TestCase):
    def test_json_both_ways_and_a_fault_where_nobody_listens(self):
        world = World()

        async def handler(exchange):
            await exchange.give(201, exchange.json())

        async def serve():
            await HttpServer(handler).start("10.0.0.1", 80)

        world.start("s", "10.0.0.1", serve)
        world.start("c", "10.0.0.2", lambda: asyncio.sleep(0))
        self.assertEqual(
            world.do("c", lambda: fetch_json("10.0.0.1:80", "POST", "/", {"a": "x" * 200000})),
            (201, {"a": "x" * 200000}),
        )
        self.assertEqual(
            world.do("c", lambda: fetch_json("10.0.0.1:81", "GET", "/")).code, UNREACHED.code
        )


class Peer(asyncio.Protocol):
    """A back end on a real socket with one answer, which notes how its connection ends."""

    def __init__(self, answer):
        self.answer = answer
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(self.answer)

    def connection_lost(self, error):
        self.ended.set_result(error)


class GivenUpTest(unittest.TestCase):
    async def end_seen(self, answer):
        """How a back end sees a connection end that is closed once so much has come."""
        loop, peers = asyncio.get_running_loop(), []

        def peer():
            peers.append(Peer(answer))
            return peers[0]

        server = await loop.create_server(peer, "127.0.0.1", 0)
        link = await connect(*server.sockets[0].getsockname()[:2])
        got = await link.exchange("GET", "/")
        if answer.endswith(b"ok"):
            await got.whole()
        link.close()
        async with asyncio.timeout(10):
            error = await peers[0].ended
        server.close()
        return error

    def test_an_exchange_that_is_given_up_is_reset_and_an_ended_one_closed(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        error = asyncio.run(self.end_seen(head + b"o"))
        self.assertIsInstance(error, ConnectionResetError)
        self.assertIsNone(asyncio.run(self.end_seen(head + b"ok")))

"""Tests of `http/client.py`."""

import asyncio
import unittest

from swiftdeck.fault import WORKER_UNREACHABLE
from swiftdeck.http.client import connect, fetch_json
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.world import World


class HttpClientTest(unittest.TestCase):
    def test_json_both_ways_and_a_fault_where_nobody_listens(self):
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
    """A back end on a real socket with one answer, which notes how its connection ends."""

    def __init__(self, answer):
        self.answer = answer
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        if not self.answer:
            transport.pause_reading()

    def data_received(self, data):
        if self.answer:
            self.transport.write(self.answer)

    def connection_lost(self, error):
        self.ended.set_result(error)


class GivenUpTest(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    LARGE = bytes(32 << 20)

    async def end_seen(self, answer, body=b""):
        """How a back end sees a connection end that is closed once so much has come."""
        loop, peers = asyncio.get_running_loop(), []

        def peer():
            peers.append(Peer(answer))
            return peers[0]

        server = await loop.create_server(peer, "127.0.0.1", 0)
        link = await connect(*server.sockets[0].getsockname()[:2])
        asking = asyncio.ensure_future(link.exchange("POST", "/", body=body))
        if answer:
            got = await asking
            if answer.endswith(b"ok"):
                await got.whole()
        else:
            await asyncio.wait([asking], timeout=0.1)
        link.close()
        peers[0].transport.resume_reading()
        async with asyncio.timeout(10):
            error = await peers[0].ended
        server.close()
        return error

    def test_bytes_that_have_not_arrived_when_an_exchange_is_given_up_are_dropped(self):
        error = asyncio.run(self.end_seen(b"", self.LARGE))
        self.assertIsInstance(error, ConnectionResetError)

    def test_a_connection_on_which_all_has_arrived_is_closed(self):
        for answer in (self.HEAD + b"o", self.HEAD + b"ok"):
            self.assertIsNone(asyncio.run(self.end_seen(answer)))

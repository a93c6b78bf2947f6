"""Tests of `http/client.py`."""

import asyncio
import unittest

from swiftdeck.fault import UNREACHED
from swiftdeck.http.client import fetch_json
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

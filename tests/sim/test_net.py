"""Tests of `sim/net.py`."""

import asyncio
import unittest

from swiftdeck.sim.world import World


class SimNetTest(unittest.TestCase):
    def test_streams_keep_order_across_a_cut(self):
        world, got = World(), []

        class Sink(asyncio.Protocol):
            def data_received(self, data):
                got.append(data)

        async def serve():
            await asyncio.get_running_loop().create_server(Sink, "10.0.0.1", 80)

        async def call():
            transport, _ = await asyncio.get_running_loop().create_connection(
                asyncio.Protocol, "10.0.0.1", 80
            )
            for number in range(6):
                transport.write(b"%d" % number)
                await asyncio.sleep(1)

        world.start("s", "10.0.0.1", serve)
        world.start("c", "10.0.0.2", call)
        world.run(2.5)
        world.net.cut(["10.0.0.2"], ["10.0.0.1"])
        world.run(2)
        self.assertEqual(b"".join(got), b"012")
        world.net.heal()
        world.run(3)
        self.assertEqual(b"".join(got), b"012345")

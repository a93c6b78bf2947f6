"""Tests of `sim/net.py`."""

import asyncio
import unittest

from swiftdeck.sim.world import World


class SimNetTest(unittest.TestCase):
    def test_streams_keep_order_across_a_cut(self):
        world, received = World(), []

        class Sink(asyncio.Protocol):
            def data_received(self, data):
                received.append(data)

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
        self.assertEqual(b"".join(received), b"012")
        world.net.heal()
        world.run(3)
        self.assertEqual(b"".join(received), b"012345")

    def test_data_that_arrives_before_the_client_is_connected_is_kept(self):
        for seed in range(8):
            world, received = World(seed), []

            class Greeter(asyncio.Protocol):
                def connection_made(self, transport):
                    transport.write(b"hello ")
                    transport.write(b"there")

            class Caller(asyncio.Protocol):
                def data_received(self, data, received=received):
                    received.append(data)

            async def serve(greeter=Greeter):
                await asyncio.get_running_loop().create_server(greeter, "10.0.0.1", 80)

            async def call(caller=Caller):
                await asyncio.get_running_loop().create_connection(caller, "10.0.0.1", 80)

            world.start("s", "10.0.0.1", serve)
            world.start("c", "10.0.0.2", call)
            world.run(until=lambda world=world: world.steps > 100, limit_s=1)
            self.assertEqual(b"".join(received), b"hello there", seed)

"""Tests of `sim/world.py`."""

import asyncio
import unittest

from swiftdeck.sim.world import World


class WorldTest(unittest.TestCase):
    def test_time_is_virtual_and_freeze_holds_callbacks(self):
        world, ticks = World(), []

        async def tick():
            while True:
                await asyncio.sleep(1)
                ticks.append(round(world.now, 3))

        world.start("a", "10.0.0.1", tick)
        world.run(2.5)
        world.freeze("a")
        world.run(5)
        self.assertEqual(ticks, [1, 2])
        world.thaw("a")
        world.run(1.2)
        self.assertEqual(ticks, [1, 2, 7.5, 8.5])
        world.kill("a")
        world.run(3)
        self.assertEqual(len(ticks), 4)

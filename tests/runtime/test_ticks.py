"""Tests of `runtime/ticks.py`."""

import asyncio
import unittest

from swiftdeck.runtime.ticks import next_tick
from swiftdeck.sim.world import World


class TicksTest(unittest.TestCase):
    def test_tasks_with_different_periods_wake_at_the_same_times(self):
        world, times = World(), {0.25: [], 0.5: []}
        world.start("a", "10.0.0.1", lambda: asyncio.sleep(0))

        async def repeat(period_s):
            await asyncio.sleep(period_s * 0.3)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 5
            while loop.time() < end_s:
                await next_tick(period_s)
                times[period_s].append(round(loop.time() / 0.05))

        async def main():
            await asyncio.gather(*(repeat(period_s) for period_s in times))

        world.run_task("a", main)
        self.assertGreaterEqual(len(times[0.25]), 19)
        self.assertLessEqual(set(times[0.5][:-1]), set(times[0.25]))

"""Tests of `http/drain.py`."""

import asyncio
import math
import unittest

from swiftdeck.http.drain import Drain, DrainTimes, OpenRequests, Phase
from swiftdeck.sim.world import World

LATEST_ADMISSION_S, SIGNAL_LAG_S = 3.0, 0.4


class DrainTest(unittest.TestCase):
    def test_the_phases_follow_each_other_by_the_clock_alone(self):
        drain = Drain(DrainTimes(2.0, 6.0))
        self.assertEqual(drain.phase(1e9), Phase.SERVING)
        drain.begin(100.0)
        drain.begin(105.0)
        phases = [drain.phase(at_s) for at_s in (100.0, 101.9, 102.0, 105.9, 106.0, 200.0)]
        self.assertEqual(
            phases,
            [*[Phase.DRAINING] * 2, *[Phase.REFUSING] * 2, *[Phase.CLOSED] * 2],
        )

    def test_whatever_the_grace_admission_ends_early_and_work_in_its_last_sixth(self):
        for grace_s in (0.5, 1, 2, 3, 5, 8, 10, 30, 120):
            times = DrainTimes.within(grace_s)
            self.assertLessEqual(times.admission_s + SIGNAL_LAG_S, LATEST_ADMISSION_S)
            self.assertLess(times.admission_s, times.work_s)
            self.assertGreater(times.work_s, grace_s * 5 / 6)
            self.assertAlmostEqual(times.work_s + times.after_work_s, grace_s)
            self.assertGreater(times.after_work_s, grace_s / 8)


class OpenRequestsTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.start("p", "10.0.0.1", lambda: asyncio.sleep(0))

    async def ends_early(self):
        return "early", asyncio.get_running_loop().time()

    def test_what_is_open_and_what_comes_later_is_ended_with_the_work(self):
        async def go():
            requests = OpenRequests(Drain(DrainTimes(1.0, 2.0)))
            first = asyncio.ensure_future(requests.run(asyncio.Event().wait, self.ends_early))
            await asyncio.sleep(0.5)
            begun_s = asyncio.get_running_loop().time()
            requests.begin_drain(begun_s)
            second = asyncio.ensure_future(requests.run(asyncio.Event().wait, self.ends_early))
            ends = [await each for each in (first, second)]
            return [(what, round(at_s - begun_s, 2)) for what, at_s in ends], len(requests)

        self.assertEqual(self.world.run_task("p", go), ([("early", 2.0)] * 2, 0))

    def test_work_that_ends_in_time_and_timeouts_of_its_own_are_left_alone(self):
        async def times_out():
            raise TimeoutError("own")

        async def go():
            requests = OpenRequests(Drain(DrainTimes(math.inf, math.inf)))
            done = await requests.run(self.ends_early, asyncio.Event().wait)
            try:
                await requests.run(times_out, self.ends_early)
            except TimeoutError as error:
                return done[0], str(error)

        self.assertEqual(self.world.run_task("p", go), ("early", "own"))

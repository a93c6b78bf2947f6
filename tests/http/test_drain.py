"""Tests of `http/drain.py`."""

import asyncio
import math
import unittest

from swiftdeck.http.drain import Drain, DrainTimes, OpenRequests, Phase
from swiftdeck.sim.world import World

LATEST_ADMISSION_S, SIGNAL_LAG_S = 3.0, 0.4


class DrainTest(unittest.TestCase):
    def test_the_phases_depend_only_on_the_clock(self):
        drain = Drain(DrainTimes(2.0, 6.0))
        self.assertEqual(drain.phase(1e9), Phase.SERVING)
        drain.begin(100.0)
        drain.begin(105.0)
        phases = [drain.phase(at_s) for at_s in (100.0, 101.9, 102.0, 105.9, 106.0, 200.0)]
        self.assertEqual(
            phases,
            [*[Phase.DRAINING] * 2, *[Phase.REFUSING] * 2, *[Phase.CLOSED] * 2],
        )

    def test_admission_ends_early_and_work_in_the_last_sixth_of_any_grace_period(self):
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

    async def respond_early(self):
        return "early", asyncio.get_running_loop().time()

    def test_open_and_later_requests_are_interrupted_at_the_end_of_the_work(self):
        async def run():
            requests = OpenRequests(Drain(DrainTimes(1.0, 2.0)))
            first = asyncio.ensure_future(requests.run(asyncio.Event().wait, self.respond_early))
            await asyncio.sleep(0.5)
            start_s = asyncio.get_running_loop().time()
            requests.begin_drain(start_s)
            second = asyncio.ensure_future(requests.run(asyncio.Event().wait, self.respond_early))
            results = [await request for request in (first, second)]
            return [(text, round(end_s - start_s, 2)) for text, end_s in results], len(requests)

        self.assertEqual(self.world.run_task("p", run), ([("early", 2.0)] * 2, 0))

    def test_work_that_ends_in_time_and_its_own_timeouts_are_not_affected(self):
        async def times_out():
            raise TimeoutError("own")

        async def run():
            requests = OpenRequests(Drain(DrainTimes(math.inf, math.inf)))
            result = await requests.run(self.respond_early, asyncio.Event().wait)
            try:
                await requests.run(times_out, self.respond_early)
            except TimeoutError as error:
                return result[0], str(error)

        self.assertEqual(self.world.run_task("p", run), ("early", "own"))

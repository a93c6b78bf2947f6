"""Tests of the stand-in for kept parts."""

import asyncio
import random
import unittest

from swiftdeck.bench.platform_api.parts import TOLD_MOST, KeptPart, PartCache
from swiftdeck.sim.world import World


class PartsTest(unittest.TestCase):
    def setUp(self):
        self.world, self.cache = World(1), PartCache(100, random.Random(1))
        self.world.start("here", "10.0.0.1", lambda: asyncio.sleep(0))

    def keep(self, *names, salt="s", tokens=30):
        for name in names:
            self.cache.keep(salt, name, KeptPart(tokens, "m", "t", 1))

    def reports(self, since, wait_ms=0):
        return self.world.run_task("here", lambda: self.cache.reports(since, wait_ms))

    def first(self, *names, salt="s", model="m"):
        return len(self.cache.first(salt, model, names))

    def test_parts_are_found_from_the_beginning_under_their_salt_and_model(self):
        self.keep("a", "b")
        self.assertEqual(
            [
                self.first("a", "b", "c"),
                self.first("x", "a"),
                self.first("a", salt="o"),
                self.first("a", model="o"),
            ],
            [2, 0, 0, 0],
        )

    def test_those_unused_longest_give_way(self):
        self.keep("a", "b", "c")
        self.first("a")
        self.keep("d")
        self.assertEqual([name for _, name in self.cache.held], ["c", "a", "d"])

    def test_comings_and_goings_are_told_once(self):
        self.keep("a", "a")
        self.cache.clear("m")
        got = self.reports(0)
        self.assertEqual(
            (got["next-token"], got["lost"], got["events"]),
            (2, False, [[1, "+", "s", "a", 30, "m"], [2, "-", "s", "a", 30, "m"]]),
        )
        self.assertEqual((self.reports(2)["events"], self.cache.listed()["held"]), ([], []))

    def test_a_call_is_held_until_there_is_something(self):
        self.world.call_after(
            0.3, lambda: self.world._within(self.world.loops["here"], lambda: self.keep("a"))
        )
        self.assertEqual(len(self.reports(0, 800)["events"]), 1)
        self.assertAlmostEqual(self.world.now, 0.3, delta=0.01)
        self.assertEqual(self.reports(1, 500)["events"], [])
        self.assertAlmostEqual(self.world.now, 0.8, delta=0.01)

    def test_only_the_newest_reports_are_kept(self):
        self.keep(*(f"p{at}" for at in range(TOLD_MOST)), tokens=1)
        got = self.reports(0)
        self.assertEqual((got["lost"], len(got["events"])), (True, TOLD_MOST))
        self.assertFalse(self.reports(got["next-token"] - 5)["lost"])

"""Tests of the cache of prompt parts of the stand-ins."""

import asyncio
import random
import unittest

from swiftdeck.bench.platform_api.parts import MAX_EVENTS, KeptPart, PartCache
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
        return len(self.cache.cached_prefix(salt, model, names))

    def test_a_prefix_is_found_under_its_salt_and_model(self):
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

    def test_least_recently_used_parts_are_evicted(self):
        self.keep("a", "b", "c")
        self.first("a")
        self.keep("d")
        self.assertEqual([name for _, name in self.cache.held], ["c", "a", "d"])

    def test_additions_and_removals_are_reported_once(self):
        self.keep("a", "a")
        self.cache.clear("m")
        report = self.reports(0)
        self.assertEqual(
            (report["next-token"], report["lost"], report["events"]),
            (2, False, [[1, "+", "s", "a", 30, "m"], [2, "-", "s", "a", 30, "m"]]),
        )
        self.assertEqual((self.reports(2)["events"], self.cache.listed()["held"]), ([], []))

    def test_a_call_waits_for_the_next_event(self):
        self.world.call_after(
            0.3, lambda: self.world._within(self.world.loops["here"], lambda: self.keep("a"))
        )
        self.assertEqual(len(self.reports(0, 800)["events"]), 1)
        self.assertAlmostEqual(self.world.now, 0.3, delta=0.01)
        self.assertEqual(self.reports(1, 500)["events"], [])
        self.assertAlmostEqual(self.world.now, 0.8, delta=0.01)

    def test_only_the_newest_events_are_kept(self):
        self.keep(*(f"p{number}" for number in range(MAX_EVENTS)), tokens=1)
        report = self.reports(0)
        self.assertEqual((report["lost"], len(report["events"])), (True, MAX_EVENTS))
        self.assertFalse(self.reports(report["next-token"] - 5)["lost"])

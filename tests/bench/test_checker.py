"""Tests of `bench/checker.py`."""

import unittest

from swiftdeck.bench.checker import RULES, check
from tests.bench.day_records import APART, good_day, operated, returned, served, tried
from tests.bench.planted_breaches import BREACHES


class CheckerTest(unittest.TestCase):
    def found(self, *lines):
        return check(sorted([*good_day(), *lines], key=lambda item: item["atMs"]), APART)

    def test_a_good_run_has_no_breaches(self):
        self.assertEqual(self.found(), {})
        self.assertEqual(self.found(*served(1000, "2", "q-1", talk="t", turn=1)), {})

    def test_each_planted_breach_is_caught(self):
        self.assertEqual(set(BREACHES), set(RULES))
        for name, sets in BREACHES.items():
            for lines in sets:
                self.assertIn(name, self.found(*lines), (name, lines[:2]))

    def test_a_pardon_is_tied_to_the_router_and_the_worker_of_the_run(self):
        def kill(target):
            return operated(90, "kill", target=target, id=7)

        broken = returned(200, run="r-1", code=140)
        for target, is_pardoned in (
            ("w", True),
            ("v", False),
            ("router1", True),
            ("router2", False),
        ):
            self.assertEqual(
                "not_cut_off" not in self.found(kill(target), broken), is_pardoned, target
            )
        unseen = [tried(80, "9"), returned(200, "9", code=140, sentTo="u")]
        for target, is_pardoned in (("u", True), ("w", False), ("router2", False)):
            self.assertEqual(
                "not_cut_off" not in self.found(kill(target), *unseen), is_pardoned, target
            )
        back = operated(95, "back", id=7)
        late = [tried(9000, "2"), returned(9100, "2", status=-2)]
        self.assertIn("not_cut_off", self.found(kill("router1"), back, *late))
        self.assertNotIn("not_cut_off", self.found(kill("router1"), *late))

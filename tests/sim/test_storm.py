"""Tests of `sim/storm.py`."""

import unittest

from swiftdeck.sim.faults.scenarios import EXPECTED_COUNTERS, SCENARIOS, unexercised
from swiftdeck.sim.storm import Storm


class StormTest(unittest.TestCase):
    def test_a_scenario_that_raises_no_counter_is_reported(self):
        self.assertEqual(set(EXPECTED_COUNTERS), set(SCENARIOS))
        self.assertEqual(
            unexercised("routers", {"takeovers": 3, "legsReclaimed": 0}), ["legsReclaimed"]
        )

    def test_each_fault_of_each_scenario_can_be_injected(self):
        storm = Storm("mix", 5, 8.0, routers=3)
        names = {name for faults in SCENARIOS.values() for name in faults}
        self.assertEqual([name for name in sorted(names) if not callable(storm.fault(name))], [])

    def test_a_seed_gives_the_same_trace_each_time(self):
        results = [Storm("mix", 5, 8.0, routers=3).run() for _ in range(2)]
        self.assertEqual(results[0], results[1])

    def test_each_route_is_asked_after_the_closing_fault_also_when_its_agents_rest(self):
        class RestingStorm(Storm):
            def closing(self):
                super().closing()
                self.cluster.caller.stopping = True

        storm = RestingStorm("mix", 5, 2.0, routers=3)
        self.assertEqual(storm.run()["breaches"], {})
        records = storm.cluster.records
        for end_ms in [item["atMs"] for item in records if item["kind"] == "closing"]:
            tries = [
                (item["route"], item["atMs"] - end_ms) for item in records if item["kind"] == "try"
            ]
            for at_ms in range(0, 12000, 1000):
                self.assertEqual(
                    {route for route, after_ms in tries if at_ms <= after_ms < at_ms + 1000},
                    {"check", "tag"},
                    at_ms,
                )

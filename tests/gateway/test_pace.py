"""Tests of the estimated reading pace of workers."""

import unittest

from swiftdeck.gateway.pace import HALF_LIFE_S, MIN_SAMPLE_TOKENS, OVERHEAD_MS, Pace
from tests.gateway.parts import worker_registry

USUAL = 40.0


class PaceTest(unittest.TestCase):
    def observed_pace(self, tokens_per_ms, count=20, tokens=16_000):
        pace = Pace()
        for index in range(count):
            pace.observe(tokens, tokens / tokens_per_ms + OVERHEAD_MS, index * 1.0, USUAL)
        return pace

    def test_the_estimate_follows_the_samples(self):
        for tokens_per_ms in (8.0, 31.0, 44.0, 90.0):
            estimate = self.observed_pace(tokens_per_ms).at(19.0, USUAL)
            self.assertAlmostEqual(estimate, tokens_per_ms, delta=0.2 * tokens_per_ms)

    def test_small_samples_and_samples_without_a_duration_are_ignored(self):
        pace = Pace()
        pace.observe(MIN_SAMPLE_TOKENS - 1, 10, 0.0, USUAL)
        pace.observe(16_000, 0, 0.0, USUAL)
        self.assertEqual(pace.at(0.0, USUAL), USUAL)

    def test_one_prompt_that_was_cached_after_all_changes_the_estimate_little(self):
        pace = Pace()
        pace.observe(16_000, 30, 0.0, USUAL)
        self.assertLess(pace.at(0.0, USUAL), 1.6 * USUAL)

    def test_a_slow_worker_is_tried_again(self):
        pace = self.observed_pace(5.0)
        self.assertLess(pace.at(19.0, USUAL), 10)
        self.assertGreater(pace.at(19.0 + 4 * HALF_LIFE_S, USUAL), 0.9 * USUAL)

    def test_workers_without_samples_have_the_usual_pace(self):
        registry = worker_registry("i-0", "i-1")
        for _ in range(100):
            registry.adopt_pace(registry.workers["i-0"], 20.0, 1.0)
        self.assertAlmostEqual(registry.pace(registry.workers["i-1"], 1.0), 20.0, delta=1.0)
        registry.update_usual_pace(0.0)
        self.assertGreater(registry.usual_pace, 19.0)

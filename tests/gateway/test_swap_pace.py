"""Tests of how many workers are swapped at a time."""

import unittest
from types import SimpleNamespace

from swiftdeck.gateway.swap_pace import DEFERRED_S, REORDER_DELAY_S, Candidate, SwapPace

NOW_S = 100.0


class SwapPaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = SwapPace()

    def chosen(self, left_s, capable_count=None, active_count=0, ordered_s=()):
        """Return the indexes of the chosen workers, given the time left for each one's weights."""
        outdated = [
            Candidate(SimpleNamespace(number=index), NOW_S + time_left_s, last_ordered_s)
            for index, time_left_s in enumerate(left_s)
            for last_ordered_s in [ordered_s[index] if ordered_s else -1e9]
        ]
        capable_count = capable_count or len(outdated)
        return [
            each.number for each in self.pace.choose(outdated, capable_count, active_count, NOW_S)
        ]

    def test_one_of_six_at_a_time_is_enough_when_swaps_are_fast(self):
        self.assertEqual(self.chosen([6.5] * 6), [0])
        self.assertEqual(self.chosen([6.4] * 5, capable_count=6, active_count=1), [])

    def test_slow_workers_are_swapped_more_at_a_time_up_to_a_third(self):
        for duration_s, count in ((1.0, 1), (2.5, 2), (9.0, 2)):
            self.pace.mean_swap_s = duration_s
            self.assertEqual(len(self.chosen([6.5] * 6)), count)

    def test_more_are_swapped_when_little_time_is_left(self):
        self.assertEqual(len(self.chosen([1.0] * 3, capable_count=6)), 2)

    def test_a_quarter_of_many_is_swapped_at_a_time(self):
        self.assertEqual(len(self.chosen([6.5] * 16)), 4)

    def test_all_unusable_workers_are_swapped_beside_the_usual_number_of_others(self):
        self.assertEqual(self.chosen([-1.0, 6.0, -0.1, 6.0, 6.0, 6.0]), [0, 2, 1])

    def test_an_idle_worker_whose_order_had_no_effect_is_ordered_again_after_a_delay(self):
        ordered_s = [NOW_S - REORDER_DELAY_S + 0.01, NOW_S - REORDER_DELAY_S]
        self.assertEqual(self.chosen([-1.0, -1.0], ordered_s=ordered_s), [1])

    def test_the_earliest_deadline_comes_first(self):
        self.assertEqual(self.chosen([6.0, 5.0, 3.0, 6.0]), [2])

    def test_workers_whose_order_had_no_effect_come_after_the_others(self):
        ordered_s = [NOW_S - DEFERRED_S + 0.1, NOW_S - DEFERRED_S - 0.1, NOW_S - 1.0]
        self.assertEqual(self.chosen([3.0, 6.0, 6.0], ordered_s=ordered_s), [1])

    def test_workers_that_were_just_ordered_are_not_ordered_again(self):
        ordered_s = [NOW_S - REORDER_DELAY_S + 0.1, NOW_S - REORDER_DELAY_S - 0.1]
        for left_s in (-1.0, 3.0):
            self.assertEqual(self.chosen([left_s] * 2, ordered_s=ordered_s), [1])

    def test_the_mean_duration_follows_the_samples(self):
        for _ in range(6):
            self.pace.add_duration(2.0)
        self.assertAlmostEqual(self.pace.mean_swap_s, 2.0, delta=0.05)

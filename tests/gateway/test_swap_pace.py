"""Tests of how many workers are moved at a time."""

import unittest
from types import SimpleNamespace

from swiftdeck.gateway.swap_pace import AGAIN_S, RETRY_S, Candidate, SwapPace

NOW_S = 100.0


class SwapPaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = SwapPace()

    def chosen(self, left_s, able=None, taken=0, tried_s=()):
        """Numbers of the workers chosen, given what time is left for the old weights of each."""
        behind = [
            Candidate(SimpleNamespace(number=at), NOW_S + each, tried)
            for at, each in enumerate(left_s)
            for tried in [tried_s[at] if tried_s else -1e9]
        ]
        able = able or len(behind)
        return [each.number for each in self.pace.chosen(behind, able, taken, NOW_S)]

    def test_one_of_six_is_enough_where_each_is_quick(self):
        self.assertEqual(self.chosen([6.5] * 6), [0])
        self.assertEqual(self.chosen([6.4] * 5, able=6, taken=1), [])

    def test_slow_ones_are_moved_more_at_a_time_and_a_third_at_most(self):
        for took_s, count in ((1.0, 1), (2.5, 2), (9.0, 2)):
            self.pace.swap_s = took_s
            self.assertEqual(len(self.chosen([6.5] * 6)), count)

    def test_more_are_moved_when_little_time_is_left(self):
        self.assertEqual(len(self.chosen([1.0] * 3, able=6)), 2)

    def test_a_quarter_of_many_is_moved_at_a_time(self):
        self.assertEqual(len(self.chosen([6.5] * 16)), 4)

    def test_those_that_may_not_be_used_are_all_moved_and_others_keep_their_pace(self):
        self.assertEqual(self.chosen([-1.0, 6.0, -0.1, 6.0, 6.0, 6.0]), [0, 2, 1])

    def test_an_idle_one_that_was_ordered_to_no_effect_is_ordered_again_after_a_pause(self):
        tried_s = [NOW_S - AGAIN_S + 0.01, NOW_S - AGAIN_S]
        self.assertEqual(self.chosen([-1.0, -1.0], tried_s=tried_s), [1])

    def test_those_whose_time_ends_first_come_first(self):
        self.assertEqual(self.chosen([6.0, 5.0, 3.0, 6.0]), [2])

    def test_what_was_tried_to_no_effect_comes_after_the_others(self):
        tried_s = [NOW_S - RETRY_S + 0.1, NOW_S - RETRY_S - 0.1, NOW_S - 1.0]
        self.assertEqual(self.chosen([3.0, 6.0, 6.0], tried_s=tried_s), [1])

    def test_what_was_tried_just_now_is_left_alone(self):
        tried_s = [NOW_S - AGAIN_S + 0.1, NOW_S - AGAIN_S - 0.1]
        for left_s in (-1.0, 3.0):
            self.assertEqual(self.chosen([left_s] * 2, tried_s=tried_s), [1])

    def test_the_pace_follows_what_workers_took(self):
        for _ in range(6):
            self.pace.note(2.0)
        self.assertAlmostEqual(self.pace.swap_s, 2.0, delta=0.05)

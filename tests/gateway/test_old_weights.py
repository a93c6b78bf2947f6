"""Tests of the times until when older weights may be used."""

import math
import unittest

from swiftdeck.chain.weight_ages import WeightAges
from swiftdeck.gateway.old_weights import OldWeights
from swiftdeck.wire.messages import LeaseReturn, NamedWeights

SEND_S, BOUND_S, NAMED_S = 5.5, 8.0, 100.0


class OldWeightsTest(unittest.TestCase):
    def setUp(self):
        ages = WeightAges()
        ages.merge([NamedWeights(model="m", version=2)], NAMED_S)
        self.old = OldWeights(ages, SEND_S, BOUND_S)

    def times(self, version=1):
        """The three times, counted from the naming."""
        old = self.old
        found = (old.sent_until_s, old.awaited_until_s, old.bound_until_s)
        return [round(each("m", version) - NAMED_S, 6) for each in found]

    def test_times_of_a_calm_day(self):
        self.assertEqual(self.times(), [5.5, 7.6, 8.0])

    def test_the_newest_weights_and_unknown_models_have_no_end(self):
        self.assertEqual(self.times(2), [math.inf] * 3)
        self.assertEqual(self.old.sent_until_s("other", 1), math.inf)

    def test_a_change_of_the_core_lets_all_times_count_anew(self):
        self.old.core_changed_s = NAMED_S + 4.0
        self.assertEqual(self.times(), [9.5, 11.6, 12.0])
        self.old.core_changed_s = NAMED_S - 4.0
        self.assertEqual(self.times(), [5.5, 7.6, 8.0])

    def follow(self, *changes, seen_s=0.0):
        """Let the core change at times after the naming, and be seen so long after each."""
        for changed_s in changes:
            self.old.follow_core(NAMED_S + changed_s, NAMED_S + changed_s + seen_s)

    def test_weights_whose_bound_had_passed_when_the_core_changed_are_over_for_good(self):
        for passed_s, times in ((7.9, [13.4, 15.5, 15.9]), (8.0, [5.5, 7.6, 8.0])):
            self.setUp()
            self.follow(-20.0, seen_s=40.0)
            self.follow(passed_s)
            self.assertEqual(self.times(), times)

    def test_only_the_time_since_the_last_change_ends_weights(self):
        self.follow(-5.0, 5.0, 12.0, 19.9, seen_s=9.0)
        self.assertEqual(self.times(), [25.4, 27.5, 27.9])
        self.follow(27.9)
        self.assertEqual(self.times(), [5.5, 7.6, 8.0])

    def test_nothing_is_concluded_from_the_first_change_or_from_a_time_in_which_none_was_seen(self):
        self.follow(9.0, seen_s=3.0)
        self.assertEqual(self.times(), [14.5, 16.6, 17.0])
        self.follow(30.0)
        self.assertEqual(self.times(), [35.5, 37.6, 38.0])

    def test_that_weights_are_over_is_told_to_others(self):
        self.follow(-1.0, seen_s=10.0)
        self.follow(9.0)
        told = LeaseReturn().parse(bytes(LeaseReturn(named=self.old.ages.told(NAMED_S + 9.5))))
        self.setUp()
        self.follow(7.0)
        self.old.ages.merge(told.named, NAMED_S + 9.5)
        self.assertEqual(self.times(), [5.5, 7.6, 8.0])
        self.assertEqual(self.times(2), [math.inf] * 3)

    def test_what_a_router_suspects_never_goes_beyond_the_bound(self):
        for suspected_s, sent_until_s in ((1.0, 6.5), (4.0, 7.0), (50.0, 7.0), (-9.0, 5.5)):
            self.old.suspected_s = NAMED_S + suspected_s
            self.assertEqual(self.times(), [sent_until_s, 7.6, 8.0])

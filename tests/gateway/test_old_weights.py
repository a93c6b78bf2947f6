"""Tests of the deadlines for using older weights."""

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
        self.old_weights = OldWeights(ages, SEND_S, BOUND_S)

    def deadlines(self, version=1):
        """Return the three deadlines, relative to the naming."""
        old_weights = self.old_weights
        deadlines = (
            old_weights.sent_until_s,
            old_weights.awaited_until_s,
            old_weights.bound_until_s,
        )
        return [round(deadline("m", version) - NAMED_S, 6) for deadline in deadlines]

    def test_deadlines_without_core_changes(self):
        self.assertEqual(self.deadlines(), [5.5, 7.6, 8.0])

    def test_the_newest_weights_and_unknown_models_have_no_deadline(self):
        self.assertEqual(self.deadlines(2), [math.inf] * 3)
        self.assertEqual(self.old_weights.sent_until_s("other", 1), math.inf)

    def test_a_core_change_restarts_all_deadlines(self):
        self.old_weights.core_changed_s = NAMED_S + 4.0
        self.assertEqual(self.deadlines(), [9.5, 11.6, 12.0])
        self.old_weights.core_changed_s = NAMED_S - 4.0
        self.assertEqual(self.deadlines(), [5.5, 7.6, 8.0])

    def follow(self, *changes, seen_s=0.0):
        """Report core changes at the given times after the naming, each observed `seen_s` later."""
        for changed_s in changes:
            self.old_weights.follow_core(NAMED_S + changed_s, NAMED_S + changed_s + seen_s)

    def test_weights_past_their_bound_stay_unusable_after_a_core_change(self):
        for changed_s, deadlines in ((7.9, [13.4, 15.5, 15.9]), (8.0, [5.5, 7.6, 8.0])):
            self.setUp()
            self.follow(-20.0, seen_s=40.0)
            self.follow(changed_s)
            self.assertEqual(self.deadlines(), deadlines)

    def test_only_the_time_since_the_last_change_counts_toward_the_bound(self):
        self.follow(-5.0, 5.0, 12.0, 19.9, seen_s=9.0)
        self.assertEqual(self.deadlines(), [25.4, 27.5, 27.9])
        self.follow(27.9)
        self.assertEqual(self.deadlines(), [5.5, 7.6, 8.0])

    def test_nothing_is_concluded_from_the_first_change_or_from_unobserved_time(self):
        self.follow(9.0, seen_s=3.0)
        self.assertEqual(self.deadlines(), [14.5, 16.6, 17.0])
        self.follow(30.0)
        self.assertEqual(self.deadlines(), [35.5, 37.6, 38.0])

    def test_other_processes_learn_that_weights_are_over(self):
        self.follow(-1.0, seen_s=10.0)
        self.follow(9.0)
        lease = LeaseReturn().parse(
            bytes(LeaseReturn(named=self.old_weights.ages.told(NAMED_S + 9.5)))
        )
        self.setUp()
        self.follow(7.0)
        self.old_weights.ages.merge(lease.named, NAMED_S + 9.5)
        self.assertEqual(self.deadlines(), [5.5, 7.6, 8.0])
        self.assertEqual(self.deadlines(2), [math.inf] * 3)

    def test_a_suspicion_never_extends_sending_beyond_the_bound(self):
        for suspected_s, sent_until_s in ((1.0, 6.5), (4.0, 7.0), (50.0, 7.0), (-9.0, 5.5)):
            self.old_weights.suspected_s = NAMED_S + suspected_s
            self.assertEqual(self.deadlines(), [sent_until_s, 7.6, 8.0])

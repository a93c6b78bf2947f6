"""Tests of the ages of the weights that configurations name."""

import unittest
from types import SimpleNamespace

from swiftdeck.chain.weight_ages import KEPT_MOST, KEPT_S, WeightAges
from swiftdeck.wire.messages import LeaseReturn, NamedWeights


def models(**weights):
    """Return the models of a configuration."""
    return {name: SimpleNamespace(weights=version) for name, version in weights.items()}


class WeightAgesTest(unittest.TestCase):
    def setUp(self):
        self.ages = WeightAges()

    def test_a_version_is_outdated_since_the_first_newer_one(self):
        for version, at_s in ((1, 0.0), (2, 10.0), (3, 14.0)):
            self.ages.note(models(m=str(version)), at_s)
        self.assertEqual(
            [self.ages.outdated_s("m", each) for each in (1, 2, 3)], [10.0, 14.0, None]
        )
        self.assertEqual(self.ages.newest("m"), 3)
        self.assertIsNone(self.ages.outdated_s("other", 1))
        self.assertEqual(self.ages.newest("other"), 0)

    def test_a_repeated_naming_keeps_its_age(self):
        for at_s in (5.0, 9.0):
            self.ages.note(models(m="2"), at_s)
        self.assertEqual(self.ages.outdated_s("m", 1), 5.0)

    def test_weights_without_a_number_have_no_age(self):
        self.ages.note(models(m="w2"), 5.0)
        self.assertEqual(self.ages.told(6.0), [])

    def test_the_highest_age_wins(self):
        self.ages.note(models(m="2"), 100.0)
        self.ages.merge([NamedWeights(model="m", version=2, age_ms=4000)], 101.0)
        self.assertEqual(self.ages.outdated_s("m", 1), 97.0)
        self.ages.merge([NamedWeights(model="m", version=2, age_ms=1000)], 102.0)
        self.assertEqual(self.ages.outdated_s("m", 1), 97.0)

    def test_ages_are_sent_to_other_processes(self):
        self.ages.note(models(m="2", n="1"), 10.0)
        received = LeaseReturn().parse(bytes(LeaseReturn(named=self.ages.told(13.0))))
        other_process = WeightAges()
        other_process.merge(received.named, 500.0)
        self.assertEqual(other_process.outdated_s("m", 1), 497.0)
        self.assertEqual(other_process.outdated_s("n", 0), 497.0)

    def test_only_namings_covered_by_a_later_one_are_forgotten(self):
        for version in range(2, 6):
            self.ages.note(models(m=str(version)), 100.0 * version)
        self.assertEqual([each.version for each in self.ages.told(500.0)], [4, 5])
        self.assertEqual(self.ages.outdated_s("m", 1), 400.0)
        self.assertLess(400.0, 500.0 - KEPT_S)

    def test_many_namings_are_merged_and_none_gets_a_lower_age(self):
        for version in range(2, 2 + 2 * KEPT_MOST):
            self.ages.note(models(m=str(version)), 0.1 * version)
        self.assertLessEqual(len(self.ages.told(20.0)), KEPT_MOST)
        for version in range(1, 1 + 2 * KEPT_MOST):
            self.assertLessEqual(self.ages.outdated_s("m", version), 0.1 * (version + 1) + 1e-9)

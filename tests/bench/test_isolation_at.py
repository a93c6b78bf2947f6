"""Tests of the times at which a tenant counts as isolated."""

import unittest

from swiftdeck.bench.rules.records import isolation_at
from tests.bench.day_records import changed

ISOLATED, SHARES = ({"tenants": {"t": {"apart": each}}} for each in (True, False))


class IsolationAtTest(unittest.TestCase):
    def isolated_at(self, at_ms, *changes, from_the_start=()):
        return isolation_at(changes, frozenset(from_the_start))("t", at_ms)

    def test_a_tenant_is_isolated_from_the_acknowledgement_on(self):
        change = changed(100, document=ISOLATED, asked_ms=50)
        self.assertEqual(
            [self.isolated_at(at, change) for at in (60, 99, 100)], [False] * 2 + [True]
        )

    def test_a_tenant_is_isolated_until_a_change_that_lets_it_share_is_sent(self):
        change = changed(100, document=SHARES, asked_ms=50)
        found = [self.isolated_at(at, change, from_the_start="t") for at in (49, 50, 100)]
        self.assertEqual(found, [True, False, False])

    def test_undecided_changes_may_be_in_force_and_refused_ones_are_not(self):
        undecided = changed(100, 0, document=SHARES, answer={}, asked_ms=50)
        refused = changed(100, 409, document=SHARES, answer={}, asked_ms=50)
        isolating = changed(40, document=ISOLATED)
        self.assertFalse(self.isolated_at(200, isolating, undecided))
        self.assertTrue(self.isolated_at(200, isolating, refused))

    def test_the_higher_version_counts(self):
        changes = [changed(100, 200, 3, document=ISOLATED), changed(120, 200, 2, document=SHARES)]
        self.assertTrue(self.isolated_at(200, *changes))


if __name__ == "__main__":
    unittest.main()

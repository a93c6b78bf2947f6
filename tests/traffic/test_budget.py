"""Tests of `traffic/budget.py`."""

import unittest

from swiftdeck.traffic.budget import Budget


class BudgetTest(unittest.TestCase):
    def test_a_fifth_of_the_calls_plus_an_allowance_that_a_new_coordinator_lacks(self):
        budget = Budget(start_s=0)
        for _ in range(10):
            budget.call(1)
        self.assertEqual([budget.draw(2, 3) for _ in range(4)], [True, True, False, False])
        for _ in range(10):
            budget.call(15)
        self.assertEqual([budget.draw(15, 3) for _ in range(7)], [True] * 5 + [False] * 2)

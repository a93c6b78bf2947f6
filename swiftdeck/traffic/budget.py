"""The shared budget of extra legs."""
import unittest
from collections import deque


class Budget:
    """Extra legs in ten seconds: a share of the calls plus an allowance, which a new keeper does not have at first."""

    def __init__(self, share=0.2, extra=3, windowS=10.0, startS=0.0):
        self.share, self.extra, self.windowS, self.startS = share, extra, windowS, startS
        self.calls, self.legs = deque(), deque()

    def _forget(self, nowS):
        for times in (self.calls, self.legs):
            while times and times[0] <= nowS - self.windowS:
                times.popleft()

    def call(self, nowS: float):
        """Count a call."""
        self.calls.append(nowS)

    def draw(self, nowS: float) -> bool:
        """Take one extra leg, if the budget has one."""
        self._forget(nowS)
        allowance = self.extra if nowS - self.startS >= self.windowS else 0
        if len(self.legs) + 1 > self.share * len(self.calls) + allowance:
            return False
        self.legs.append(nowS)
        return True


class BudgetTest(unittest.TestCase):
    def testOneInFivePlusAnAllowanceThatANewKeeperLacks(self):
        budget = Budget(startS=0)
        [budget.call(1) for _ in range(10)]
        self.assertEqual([budget.draw(2) for _ in range(4)], [True, True, False, False])
        [budget.call(13) for _ in range(10)]
        self.assertEqual([budget.draw(13) for _ in range(7)], [True] * 5 + [False] * 2)

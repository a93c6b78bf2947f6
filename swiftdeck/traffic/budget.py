"""The shared budget of extra legs."""

from collections import deque


class Budget:
    """Extra legs in ten seconds: a share of the calls plus an allowance, which a new keeper does not have at first.

    A leg counts for as much longer as it may take from its grant to its worker.
    """

    def __init__(self, share=0.2, windowS=10.0, lateS=2.0, startS=0.0):
        self.share, self.windowS, self.lateS, self.startS = share, windowS, lateS, startS
        self.calls, self.legs = deque(), deque()

    def _forget(self, nowS):
        for times, keptS in ((self.calls, self.windowS), (self.legs, self.windowS + self.lateS)):
            while times and times[0] <= nowS - keptS:
                times.popleft()

    def call(self, nowS: float):
        """Count a call."""
        self.calls.append(nowS)

    def draw(self, nowS: float, extra: int) -> bool:
        """Take one extra leg, if the budget has one beside the allowance of `extra`."""
        if not self.has(nowS, extra):
            return False
        self.legs.append(nowS)
        return True

    def has(self, nowS: float, extra: int) -> bool:
        """Whether one could be taken."""
        self._forget(nowS)
        allowance = extra if nowS - self.startS >= self.windowS + self.lateS else 0
        return len(self.legs) + 1 <= self.share * len(self.calls) + allowance

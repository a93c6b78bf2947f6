"""The shared budget of extra attempts."""

from collections import deque


class Budget:
    """Extra attempts in a window: a share of the calls and an allowance.

    An extra attempt is any but the first of a call. A new coordinator begins without the
    allowance, for its predecessor may have spent it. An attempt counts for `late_s` longer than
    the window: as long as it may take from its grant to its worker.
    """

    def __init__(self, share=0.2, window_s=10.0, late_s=2.0, start_s=0.0):
        self.share, self.window_s, self.late_s, self.start_s = share, window_s, late_s, start_s
        self.calls: deque[float] = deque()
        self.attempts: deque[float] = deque()

    def _forget(self, now_s: float):
        _drop_until(self.calls, now_s - self.window_s)
        _drop_until(self.attempts, now_s - (self.window_s + self.late_s))

    def call(self, now_s: float):
        """Count a call."""
        self.calls.append(now_s)

    def draw(self, now_s: float, extra: int) -> bool:
        """Take one extra attempt, if the budget has one beside the allowance of `extra`."""
        if not self.has(now_s, extra):
            return False
        self.attempts.append(now_s)
        return True

    def has(self, now_s: float, extra: int) -> bool:
        """Whether one could be taken."""
        self._forget(now_s)
        allowance = extra if now_s - self.start_s >= self.window_s + self.late_s else 0
        return len(self.attempts) + 1 <= self.share * len(self.calls) + allowance


def _drop_until(times: deque[float], oldest_s: float):
    """Take out the times up to `oldest_s`; they are in order."""
    while times and times[0] <= oldest_s:
        times.popleft()

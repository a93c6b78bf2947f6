"""The budget of extra attempts."""

from collections import deque


class Budget:
    """Limits extra attempts in a time window to a share of the calls plus an allowance.

    An extra attempt is any but the first of a call. The allowance is not available for the first
    window after `start_s`, because the previous coordinator may have spent it. An attempt counts
    for `delivery_s` longer than the window, which is how long it may take from its grant to its
    worker.
    """

    def __init__(self, share=0.2, window_s=10.0, delivery_s=2.0, start_s=0.0):
        self.share, self.window_s, self.delivery_s, self.start_s = (
            share,
            window_s,
            delivery_s,
            start_s,
        )
        self.calls: deque[float] = deque()
        self.attempts: deque[float] = deque()

    def _drop_expired(self, now_s: float):
        _drop_through(self.calls, now_s - self.window_s)
        _drop_through(self.attempts, now_s - (self.window_s + self.delivery_s))

    def call(self, now_s: float):
        """Count a call."""
        self.calls.append(now_s)

    def draw(self, now_s: float, extra: int) -> bool:
        """Take one extra attempt if available; return whether it was.

        `extra` is the allowance, in attempts for each window.
        """
        if not self.has(now_s, extra):
            return False
        self.attempts.append(now_s)
        return True

    def has(self, now_s: float, extra: int) -> bool:
        """Whether an extra attempt is available."""
        self._drop_expired(now_s)
        allowance = extra if now_s - self.start_s >= self.window_s + self.delivery_s else 0
        return len(self.attempts) + 1 <= self.share * len(self.calls) + allowance


def _drop_through(times: deque[float], oldest_s: float):
    """Remove the times up to and including `oldest_s`; the times are in order."""
    while times and times[0] <= oldest_s:
        times.popleft()

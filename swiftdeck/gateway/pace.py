"""Estimates how fast a worker reads prompts, from the first events of its answers."""

import math

import attrs

PRIOR_TOKENS_PER_MS = 40.0
"""Assumed pace before any answer was observed."""
MIN_SAMPLE_TOKENS = 4096
"""Smaller samples are ignored, as most of their time isn't spent on reading."""
SAMPLE_WEIGHT = 0.5
"""Weight of a new sample in the moving average."""
MAX_STEP = 2.0
"""Factor by which a sample may differ from the estimate; a cached prompt that was thought to be
evicted looks very fast.
"""
HALF_LIFE_S = 15.0
"""Time in which half of a worker's deviation from the usual pace is forgotten, so that a slow one
is tried again.
"""
OVERHEAD_MS = 20.0
"""Part of the time to the first event that isn't spent on reading."""


@attrs.define
class Pace:
    """The estimated pace of one worker in tokens per millisecond, 0 before the first sample."""

    tokens_per_ms: float = 0.0
    updated_s: float = -math.inf

    def observe(self, tokens: float, elapsed_ms: float, now_s: float, usual: float):
        """Add a sample: the tokens read before a first event and the time until it.

        `usual` is the average pace of all workers, against which the first sample is weighed.
        """
        if tokens < MIN_SAMPLE_TOKENS or elapsed_ms <= 0:
            return
        estimate = self.at(now_s, usual)
        sample = tokens / max(1.0, elapsed_ms - OVERHEAD_MS)
        sample = min(max(sample, estimate / MAX_STEP), estimate * MAX_STEP)
        self.hear(estimate + SAMPLE_WEIGHT * (sample - estimate), now_s)

    def hear(self, tokens_per_ms: float, now_s: float):
        """Replace the estimate by one that was made now."""
        self.tokens_per_ms, self.updated_s = tokens_per_ms, now_s

    def at(self, now_s: float, usual: float) -> float:
        """Return the estimate as of now, which decays to the usual pace without samples."""
        if not self.tokens_per_ms:
            return usual
        weight = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        return usual + (self.tokens_per_ms - usual) * weight

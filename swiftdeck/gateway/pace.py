"""How fast a worker reads prompts, as the first events of its answers show."""

import math

import attrs

PRIOR_TOKENS_PER_MS = 40.0
"""The pace that is assumed until any answer was seen."""
LEAST_TOKENS = 4096
"""Shorter readings say little of the pace: most of their time is something else."""
GAIN = 0.5
STEP_MOST = 2.0
"""How far one sample may lie from the estimate; a kept prompt that was believed lost looks fast."""
FADE_S = 15.0
"""In this time half of what sets a worker apart is forgotten, so that one that was slow is tried again."""
START_MS = 20.0
"""What a first event takes beside the reading."""


@attrs.define
class Pace:
    """The pace of one worker in tokens a millisecond, 0 while nothing was seen of it."""

    tokens_per_ms: float = 0.0
    seen_s: float = -math.inf

    def observe(self, tokens: float, elapsed_ms: float, now_s: float, usual: float):
        """Take in that so many tokens were read before an event that came after so many milliseconds.

        `usual` is the pace of the workers at large, which the first sample is weighed against.
        """
        if tokens < LEAST_TOKENS or elapsed_ms <= 0:
            return
        before = self.at(now_s, usual)
        sample = tokens / max(1.0, elapsed_ms - START_MS)
        sample = min(max(sample, before / STEP_MOST), before * STEP_MOST)
        self.hear(before + GAIN * (sample - before), now_s)

    def hear(self, tokens_per_ms: float, now_s: float):
        """Take over an estimate that was made now."""
        self.tokens_per_ms, self.seen_s = tokens_per_ms, now_s

    def at(self, now_s: float, usual: float) -> float:
        """Return the estimate as of now: it fades to the usual pace while nothing is seen."""
        if not self.tokens_per_ms:
            return usual
        weight = 0.5 ** ((now_s - self.seen_s) / FADE_S)
        return usual + (self.tokens_per_ms - usual) * weight

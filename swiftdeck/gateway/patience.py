"""Bounds how long a worker may be silent after a request was sent to it."""

MIN_LIMIT_S = 0.15
TARGET_SHARE = 0.7
"""Share of the target time after which another worker could still answer in time."""
READING_SLACK = 2.0
"""Multiple of the expected reading time that is allowed while another worker could answer in time."""
HUNG_MIN_LIMIT_S = 1.0
HUNG_SLACK = 3.0
"""Lower bound and multiple of the reading time once no other worker could answer in time, so that
only a worker that hangs is given up.
"""


def silence_limit_s(aim_s: float, reading_ms: float) -> float:
    """Return for how many seconds a worker may be silent after it was sent a request.

    A worker sends nothing while it reads. So it gets the time that it needs at its pace for all
    tokens before the first one of the answer, including those of other prompts that wait there.
    Giving up makes another worker read the prompt again: early if that worker can still answer in
    time, otherwise late.

    Args:
        aim_s: The target time of the request.
        reading_ms: The expected reading time.
    """
    reading_s = reading_ms / 1000
    limit_s = max(MIN_LIMIT_S, TARGET_SHARE * aim_s, READING_SLACK * reading_s)
    if limit_s + reading_s <= aim_s:
        return limit_s
    return max(limit_s, HUNG_MIN_LIMIT_S, HUNG_SLACK * reading_s)

"""How long the silence of a worker is no sign of trouble."""

LEAST_S = 0.15
AIM_SHARE = 0.7
"""The share of the aim after which another worker could still answer in time."""
READING_SLACK = 2.0
"""How much longer than at the usual pace a reading may take while another worker could be in time."""
HUNG_LEAST_S = 1.0
HUNG_SLACK = 3.0
"""The same once none could, so that only a worker that hangs is given up."""


def silence_limit_s(aim_s: float, reading_ms: float) -> float:
    """Return for how many seconds a worker may say nothing after it was sent a request.

    A worker says nothing while it reads, so it has the time that it needs at its pace for all tokens
    before the first one of the answer, those of other prompts that wait there included. Breaking off
    has the prompt read once more elsewhere: soon where that is still in time, else late.
    """
    reading_s = reading_ms / 1000
    limit_s = max(LEAST_S, AIM_SHARE * aim_s, READING_SLACK * reading_s)
    if limit_s + reading_s <= aim_s:
        return limit_s
    return max(limit_s, HUNG_LEAST_S, HUNG_SLACK * reading_s)

"""How fast workers are moved to newer weights: as many at a time as the time for their old ones requires."""

import attrs

from swiftdeck.gateway.worker_registry import Worker

LEAST_SHARE, MOST_SHARE = 1 / 4, 1 / 3
"""Shares of a model's workers that are ordered at once, with time to spare and in a hurry."""
AGAIN_S, RETRY_S = 0.5, 3.0
"""For how long a worker that was ordered to no effect is left alone, and for how long it comes after the others."""
USUAL_SWAP_S, NEW_SWAP_WEIGHT = 0.8, 0.5
"""How long a worker takes to be moved, before any was timed, and how much each one counts in the mean."""


@attrs.frozen
class Candidate:
    """A worker that lacks newer weights, until when routers may use it, and when it was last ordered."""

    worker: Worker
    until_s: float
    tried_s: float


class SwapPace:
    """Remembers what a worker takes to be moved, and chooses the next ones.

    Workers that routers may not use any more are all ordered, as they are idle until then. Of the others, each out of use
    while it is moved, no more are ordered at a time than are needed to move each in time.
    """

    def __init__(self):
        self.swap_s = USUAL_SWAP_S

    def note(self, took_s: float):
        """Take in how long a worker took."""
        self.swap_s += NEW_SWAP_WEIGHT * (took_s - self.swap_s)

    def chosen(self, behind: list[Candidate], able_count: int, taken: int, now_s: float):
        """The workers to be ordered now, where so many that routers could use are being moved already."""
        behind = [each for each in behind if now_s - each.tried_s >= AGAIN_S]
        idle = [each for each in behind if each.until_s <= now_s]
        in_use = sorted(
            (each for each in behind if each.until_s > now_s),
            key=lambda each: (now_s - each.tried_s < RETRY_S, each.until_s, each.tried_s),
        )
        free = max(0, self._at_once(in_use, able_count, taken, now_s) - taken)
        return [each.worker for each in [*idle, *in_use[:free]]]

    def _at_once(self, in_use, able_count, taken, now_s):
        ends = sorted(each.until_s for each in in_use)
        needed = max(
            (
                (taken + count) * self.swap_s / (until_s - now_s)
                for count, until_s in enumerate(ends, 1)
            ),
            default=0.0,
        )
        most = max(1, int(able_count * MOST_SHARE))
        return int(min(most, max(1, int(able_count * LEAST_SHARE), needed)))

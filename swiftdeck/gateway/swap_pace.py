"""Sets the pace of a rollout of weights: how many workers are swapped at a time, and which."""

import attrs

from swiftdeck.gateway.worker_registry import Worker

BASE_SHARE, MAX_SHARE = 1 / 4, 1 / 3
"""Shares of a model's workers that may be swapped at once: without time pressure, and at most."""
REORDER_DELAY_S, DEFERRED_S = 0.5, 3.0
"""How long a worker whose order had no effect isn't ordered again, and for how long it comes after
the others.
"""
INITIAL_SWAP_S, SAMPLE_WEIGHT = 0.8, 0.5
"""Assumed duration of a swap before any was timed, and the weight of a new sample in the moving
average.
"""


@attrs.frozen
class Candidate:
    """A worker that lacks the newer weights.

    Routers may use it until `until_s`; `ordered_s` is when it was last ordered to load them.
    """

    worker: Worker
    until_s: float
    ordered_s: float


class SwapPace:
    """Averages the duration of swaps and chooses the workers to be swapped next.

    Workers that routers may no longer use are idle, so all of them are ordered. Of the others, each
    of which is out of use while it loads, no more are swapped at a time than necessary to swap each
    one before its deadline.
    """

    def __init__(self):
        self.mean_swap_s = INITIAL_SWAP_S

    def add_duration(self, duration_s: float):
        """Add the duration of a swap, in seconds, to the moving average."""
        self.mean_swap_s += SAMPLE_WEIGHT * (duration_s - self.mean_swap_s)

    def choose(
        self, outdated: list[Candidate], capable_count: int, active_count: int, now_s: float
    ):
        """Return the workers to be ordered now.

        Args:
            outdated: Workers that lack the newer weights.
            capable_count: Number of workers that can serve the model.
            active_count: Number of swaps under way at workers that routers could still use.
            now_s: The current time in seconds.
        """
        outdated = [
            candidate for candidate in outdated if now_s - candidate.ordered_s >= REORDER_DELAY_S
        ]
        idle = [candidate for candidate in outdated if candidate.until_s <= now_s]
        in_use = sorted(
            (candidate for candidate in outdated if candidate.until_s > now_s),
            key=lambda candidate: (
                now_s - candidate.ordered_s < DEFERRED_S,
                candidate.until_s,
                candidate.ordered_s,
            ),
        )
        free = max(0, self._concurrency(in_use, capable_count, active_count, now_s) - active_count)
        return [candidate.worker for candidate in [*idle, *in_use[:free]]]

    def _concurrency(self, in_use, capable_count, active_count, now_s):
        deadlines_s = sorted(candidate.until_s for candidate in in_use)
        needed = max(
            (
                (active_count + count) * self.mean_swap_s / (until_s - now_s)
                for count, until_s in enumerate(deadlines_s, 1)
            ),
            default=0.0,
        )
        limit = max(1, int(capable_count * MAX_SHARE))
        return int(min(limit, max(1, int(capable_count * BASE_SHARE), needed)))

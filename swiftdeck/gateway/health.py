"""Judges workers by what happens to the calls that they are sent."""

import asyncio

SHUN_S, SHUN_MOST_S = 0.6, 4.0


class Judge:
    """Shuns a worker after failures, for longer each time, and lets one call in a while find out whether it is back.

    Never more than half of a service's workers are shunned, so that the rest isn't drowned.
    """

    def __init__(self, worker_registry, telemetry):
        self.is_on = True
        self.worker_registry, self.telemetry, self.on_trouble = (
            worker_registry,
            telemetry,
            lambda worker, for_ms: None,
        )

    def _now(self):
        return asyncio.get_running_loop().time()

    def answered(self, worker, first_event_ms=None):
        """A worker gave a proper answer."""
        worker.failures, worker.shunned_until_s, worker.answered_s = 0, -1.0, self._now()
        if first_event_ms is not None:
            worker.first_event_ms += 0.2 * (first_event_ms - worker.first_event_ms)

    def failed(self, worker, is_sure=True):
        """A call failed there; only a connection that says so counts at once, else three in a row do.

        Slowness alone never does: what a slow worker is spared, the others have to bear, until all are slow.
        """
        worker.failures += 1
        if is_sure or worker.failures > 2:
            for_s = min(SHUN_MOST_S, SHUN_S * 2 ** max(0, worker.failures - 1))
            self.shun(worker, for_s)
            self.on_trouble(worker, int(for_s * 1000))

    def shun(self, worker, for_s):
        """Leave a worker alone for a while."""
        if not self.is_on:
            return
        self.telemetry.count["workersShunned"] += 1
        worker.shunned_until_s = max(worker.shunned_until_s, self._now() + for_s)

    def good(self, workers):
        """Those that are not shunned; where these are fewer than half, the ones whose time ends first make it up."""
        now_s = self._now()
        good = [each for each in workers if each.shunned_until_s <= now_s]
        if 2 * len(good) >= len(workers):
            return good
        rest = sorted(
            (each for each in workers if each.shunned_until_s > now_s),
            key=lambda each: each.shunned_until_s,
        )
        return good + rest[: (len(workers) + 1) // 2 - len(good)]

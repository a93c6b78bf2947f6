"""Health of workers, derived from the outcome of the calls sent to them."""

import asyncio

SHUN_FIRST_S, SHUN_MOST_S = 0.6, 4.0


class Judge:
    """Shuns a failing worker with exponential backoff; calls after that time find out whether it has recovered.

    At most half of a service's workers are shunned, so that the others aren't overloaded.
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

    def note_answer(self, worker, first_event_ms=None):
        """Note a valid answer: the worker is no longer shunned."""
        worker.failures, worker.shunned_until_s, worker.answered_s = 0, -1.0, self._now()
        if first_event_ms is not None:
            worker.first_event_ms += 0.2 * (first_event_ms - worker.first_event_ms)

    def note_failure(self, worker, is_certain=True):
        """Note a failed call, and shun the worker when the failure is certain or the third in a row.

        A failure is certain when the connection shows it. Slow answers never count: load taken off a slow worker moves
        to the others, until all are slow.
        """
        worker.failures += 1
        if is_certain or worker.failures > 2:
            for_s = min(SHUN_MOST_S, SHUN_FIRST_S * 2 ** max(0, worker.failures - 1))
            self.shun(worker, for_s)
            self.on_trouble(worker, int(for_s * 1000))

    def shun(self, worker, for_s):
        """Send a worker no calls for `for_s` seconds."""
        if not self.is_on:
            return
        self.telemetry.count["workersShunned"] += 1
        worker.shunned_until_s = max(worker.shunned_until_s, self._now() + for_s)

    def good(self, workers):
        """Return the workers that are not shunned, filled up to half of all with those whose shunning ends first."""
        now_s = self._now()
        good = [each for each in workers if each.shunned_until_s <= now_s]
        if 2 * len(good) >= len(workers):
            return good
        first_to_return = sorted(
            (each for each in workers if each.shunned_until_s > now_s),
            key=lambda each: each.shunned_until_s,
        )
        return good + first_to_return[: (len(workers) + 1) // 2 - len(good)]

"""The table of workers that a process knows: the platform's list, and what was observed of each worker since."""

import attrs

from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS, Pace

USUAL_PACE_GAIN = 0.05


@attrs.define(eq=False)
class Worker:
    """One incarnation of a worker."""

    listed: WorkerListing
    weights: dict[str, int]
    running: int = 0
    running_long: int = 0
    backlog: float = 0.0
    backlog_s: float = 0.0
    pace: Pace = attrs.Factory(Pace)
    failures: int = 0
    shunned_until_s: float = -1.0
    swapping_until_s: float = -1.0
    first_event_ms: float = 0.0
    answered_s: float = -1.0

    @property
    def name(self):
        """The id of this incarnation."""
        return self.listed.name

    def unread(self, now_s: float, tokens_per_ms: float) -> float:
        """Return how many tokens of prompts wait at the worker over all routers.

        This is the last reported backlog less what the worker has read since, at its pace.
        """
        return max(0.0, self.backlog - (now_s - self.backlog_s) * 1000 * tokens_per_ms)

    def knows(self, model: str) -> int:
        """Return the known version of the worker's weights of a model, 0 where none is known."""
        return self.weights.get(model, 0)


class WorkerRegistry:
    """The table of workers; a newer list replaces the listed values and keeps what was observed."""

    def __init__(self):
        self.workers, self.by_service, self.watchers = {}, {}, []
        self.usual_pace = PRIOR_TOKENS_PER_MS

    def pace(self, worker: Worker, now_s: float) -> float:
        """Return the estimated pace of a worker, in tokens of prompt per millisecond."""
        return worker.pace.at(now_s, self.usual_pace)

    def adopt_pace(self, worker: Worker, tokens_per_ms: float, now_s: float):
        """Adopt the pace that the owner of a worker's slot table observed."""
        worker.pace.hear(tokens_per_ms, now_s)
        self.update_usual_pace(tokens_per_ms)

    def update_usual_pace(self, tokens_per_ms: float):
        """Update the moving average of all workers' paces with one worker's pace, 0 for unknown."""
        if not tokens_per_ms:
            return
        self.usual_pace += USUAL_PACE_GAIN * (tokens_per_ms - self.usual_pace)

    def apply_list(self, listing):
        """Replace the table's listed workers by a complete list, and notify watchers when workers or their draining changed."""
        old, self.workers = self.workers, {}
        previous = [(each.name, each.listed.draining) for each in old.values()]
        for listed in listing:
            worker = old.get(listed.name) or Worker(listed, dict(listed.weights))
            worker.listed = listed
            self.learn(worker, listed.weights)
            self.workers[listed.name] = worker
        self.by_service = {}
        for worker in self.workers.values():
            self.by_service.setdefault(worker.listed.service, []).append(worker)
        if previous != [(each.name, each.listed.draining) for each in self.workers.values()]:
            for notify in self.watchers:
                notify()

    @staticmethod
    def learn(worker: Worker, weights: dict[str, int]):
        """Note versions of a worker's weights; they never decrease during one incarnation."""
        for model, version in weights.items():
            worker.weights[model] = max(worker.weights.get(model, 0), version)

    @staticmethod
    def forget_version(worker: Worker, model: str):
        """Discard the assumed version of a model after the worker showed, without naming its own, that it is wrong.

        The listed version applies if it differs; otherwise the version is unknown and the next request names the newest.
        """
        assumed = worker.weights.pop(model, 0)
        if worker.listed.weights.get(model, assumed) != assumed:
            worker.weights[model] = worker.listed.weights[model]

    def serving(self, service: str):
        """Return the workers of a service that the list doesn't show as draining."""
        return [each for each in self.by_service.get(service, ()) if not each.listed.draining]

    def drop(self, name: str):
        """Remove a worker whose incarnation is known to have ended."""
        worker = self.workers.pop(name, None)
        if worker:
            self.by_service[worker.listed.service].remove(worker)

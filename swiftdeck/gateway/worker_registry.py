"""The workers that a process knows: what the list says, and what was heard of each since."""

import attrs

from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS, Pace

USUAL_GAIN = 0.05


@attrs.define(eq=False)
class Worker:
    """One life of a worker."""

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
        """The id of this life."""
        return self.listed.name

    def unread(self, now_s: float, tokens_per_ms: float) -> float:
        """Tokens that all routers together have sent there to be read, less what it will have read since that was heard."""
        return max(0.0, self.backlog - (now_s - self.backlog_s) * 1000 * tokens_per_ms)

    def knows(self, model: str) -> int:
        """The version of a model's weights that it is known to have, 0 where nothing is known."""
        return self.weights.get(model, 0)


class WorkerRegistry:
    """Owner of the table of workers; a newer list replaces what the list says, and keeps what was heard."""

    def __init__(self):
        self.workers, self.by_service, self.watchers = {}, {}, []
        self.usual_pace = PRIOR_TOKENS_PER_MS

    def pace(self, worker: Worker, now_s: float) -> float:
        """Tokens that a worker reads in a millisecond, as far as is known."""
        return worker.pace.at(now_s, self.usual_pace)

    def hear_pace(self, worker: Worker, tokens_per_ms: float, now_s: float):
        """Take over what the owner of a worker's book observed."""
        worker.pace.hear(tokens_per_ms, now_s)
        self.hear_usual(tokens_per_ms)

    def hear_usual(self, tokens_per_ms: float):
        """Let one worker's pace, 0 for unknown, count for what is usual."""
        if not tokens_per_ms:
            return
        self.usual_pace += USUAL_GAIN * (tokens_per_ms - self.usual_pace)

    def take(self, listing):
        """Follow a whole reading of the list."""
        old, self.workers = self.workers, {}
        before = [(each.name, each.listed.draining) for each in old.values()]
        for listed in listing:
            worker = old.get(listed.name) or Worker(listed, dict(listed.weights))
            worker.listed = listed
            self.learn(worker, listed.weights)
            self.workers[listed.name] = worker
        self.by_service = {}
        for worker in self.workers.values():
            self.by_service.setdefault(worker.listed.service, []).append(worker)
        if before != [(each.name, each.listed.draining) for each in self.workers.values()]:
            for watch in self.watchers:
                watch()

    @staticmethod
    def learn(worker: Worker, weights: dict[str, int]):
        """Versions of a life's weights only go up."""
        for model, version in weights.items():
            worker.weights[model] = max(worker.weights.get(model, 0), version)

    @staticmethod
    def forget_version(worker: Worker, model: str):
        """A life has other weights than was believed, without saying which.

        Where the list says otherwise it is believed now; else the worker is asked for the newest next.
        """
        believed = worker.weights.pop(model, 0)
        if worker.listed.weights.get(model, believed) != believed:
            worker.weights[model] = worker.listed.weights[model]

    def serving(self, service: str):
        """Workers of a service that the list shows as ready."""
        return [each for each in self.by_service.get(service, ()) if not each.listed.draining]

    def drop(self, name: str):
        """A life that is known to have ended."""
        worker = self.workers.pop(name, None)
        if worker:
            self.by_service[worker.listed.service].remove(worker)

"""How long ago the weights of each model were named, as known by any process that has run since."""

from swiftdeck.wire.messages import NamedWeights

KEPT_S = 60.0
"""A naming is forgotten once a later one of the same model is so old."""
KEPT_MOST = 64
AGE_MOST_MS = 3_600_000


class WeightAges:
    """For each version of a model's weights, a time on this process's monotonic clock.

    A process that notes a naming as it commits has a time that is no later than the acknowledgement. One that learns of it
    afterwards (a router, a core that started again) has a later time of its own, until it is told the age by another process.
    Ages travel both ways with each lease, and the highest age of a naming wins, so that neither a restart nor a change of view
    makes a naming younger as long as one process remembers it.

    A naming is over once the time for older weights has passed within one stretch in which the core was settled. What befalls
    the core afterwards doesn't bring older weights back, so that this travels with the ages.
    """

    def __init__(self):
        self._named_s: dict[str, dict[int, float]] = {}
        self._noted = None
        self._over: dict[str, int] = {}

    def note(self, models, now_s: float):
        """Take in the weights that a configuration names, as of now where they are new."""
        if models is self._noted:
            return
        self._noted = models
        for name, model in models.items():
            if model.weights.isdecimal():
                self._learn(name, int(model.weights), now_s)

    def merge(self, told: list[NamedWeights], told_s: float):
        """Take in the ages that another process told at a time of this process's clock."""
        for each in told:
            self._learn(each.model, each.version, told_s - each.age_ms / 1000)
            if each.is_over:
                self._end(each.model, each.version)

    def told(self, now_s: float) -> list[NamedWeights]:
        """What to tell another process."""
        return [
            NamedWeights(
                model=model,
                version=version,
                age_ms=min(AGE_MOST_MS, max(0, int((now_s - named_s) * 1000))),
                is_over=version <= self._over.get(model, 0),
            )
            for model, named in self._named_s.items()
            for version, named_s in named.items()
        ]

    def newest(self, model: str) -> int:
        """The newest version that is known to be named, 0 where none is."""
        return max(self._named_s.get(model, ()), default=0)

    def outdated_s(self, model: str, version: int) -> float | None:
        """When the first version that is newer than this one was named, None where there is none."""
        named = self._named_s.get(model, {})
        return min((at_s for newer, at_s in named.items() if newer > version), default=None)

    def end_within(self, begin_s: float, end_s: float, bound_s: float):
        """Take in that the core was settled for a stretch: namings that had so much of it behind them are over."""
        for model, named in self._named_s.items():
            for version, named_s in named.items():
                if end_s - max(named_s, begin_s) >= bound_s:
                    self._end(model, version)

    def is_over(self, model: str, version: int) -> bool:
        """Whether a naming that is newer than a version is over."""
        return version < self._over.get(model, 0)

    def _end(self, model, version):
        self._over[model] = max(version, self._over.get(model, 0))

    def _learn(self, model, version, named_s):
        named = self._named_s.setdefault(model, {})
        is_new = version not in named
        named[version] = min(named.get(version, named_s), named_s)
        if is_new:
            self._forget(named, named_s)

    @staticmethod
    def _forget(named, now_s):
        """Drop the lowest versions where a later naming alone makes all before it old, or where there are too many."""
        versions = sorted(named)
        for version, later in zip(versions, versions[1:], strict=False):
            if named[later] < now_s - KEPT_S:
                del named[version]
            elif len(named) > KEPT_MOST:
                named[later] = min(named[later], named.pop(version))
            else:
                return

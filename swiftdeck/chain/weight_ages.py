"""How long ago a configuration first named each version of a model's weights, as known by any running process."""

from swiftdeck.wire.messages import NamedWeights

KEPT_S = 60.0
"""A naming is forgotten once a later one of the same model is this old."""
KEPT_MOST = 64
MAX_AGE_MS = 3_600_000


class WeightAges:
    """For each version of a model's weights, when it was named, on this process's monotonic clock.

    A process that records a naming as it commits has a time no later than the acknowledgement. One that learns of it later
    (a router, a restarted core) has a later time until another process sends it the age. Ages are exchanged in both
    directions with each lease and the highest age of a naming wins, so neither a restart nor a change of view makes a naming
    younger as long as one process remembers it.

    A naming is over once the time allowed for older weights has passed within one period in which the core was settled. Later
    trouble at the core does not make older weights valid again, so this flag is exchanged along with the ages.
    """

    def __init__(self):
        self._named_s: dict[str, dict[int, float]] = {}
        self._noted_models = None
        self._over: dict[str, int] = {}

    def note(self, models, now_s: float):
        """Record the weights that a configuration names; new ones count as named at `now_s`."""
        if models is self._noted_models:
            return
        self._noted_models = models
        for name, model in models.items():
            if model.weights.isdecimal():
                self._add_naming(name, int(model.weights), now_s)

    def merge(self, namings: list[NamedWeights], received_s: float):
        """Merge the ages sent by another process, received at `received_s` of this process's clock."""
        for naming in namings:
            self._add_naming(naming.model, naming.version, received_s - naming.age_ms / 1000)
            if naming.is_over:
                self._mark_over(naming.model, naming.version)

    def told(self, now_s: float) -> list[NamedWeights]:
        """Return the ages of all namings, to send to another process."""
        return [
            NamedWeights(
                model=model,
                version=version,
                age_ms=min(MAX_AGE_MS, max(0, int((now_s - named_s) * 1000))),
                is_over=version <= self._over.get(model, 0),
            )
            for model, named in self._named_s.items()
            for version, named_s in named.items()
        ]

    def newest(self, model: str) -> int:
        """Return the newest version known to be named, or 0."""
        return max(self._named_s.get(model, ()), default=0)

    def outdated_s(self, model: str, version: int) -> float | None:
        """Return when the first version newer than this one was named, or None."""
        named = self._named_s.get(model, {})
        return min(
            (named_s for other_version, named_s in named.items() if other_version > version),
            default=None,
        )

    def end_within(self, begin_s: float, end_s: float, bound_s: float):
        """Mark as over the namings that were at least `bound_s` old in a period in which the core was settled."""
        for model, named in self._named_s.items():
            for version, named_s in named.items():
                if end_s - max(named_s, begin_s) >= bound_s:
                    self._mark_over(model, version)

    def is_over(self, model: str, version: int) -> bool:
        """Return whether a naming newer than a version is over."""
        return version < self._over.get(model, 0)

    def _mark_over(self, model, version):
        self._over[model] = max(version, self._over.get(model, 0))

    def _add_naming(self, model, version, named_s):
        named = self._named_s.setdefault(model, {})
        is_new = version not in named
        named[version] = min(named.get(version, named_s), named_s)
        if is_new:
            self._trim(named, named_s)

    @staticmethod
    def _trim(named, now_s):
        """Drop the lowest versions that a later naming has made old, or that exceed the limit."""
        versions = sorted(named)
        for version, later in zip(versions, versions[1:], strict=False):
            if named[later] < now_s - KEPT_S:
                del named[version]
            elif len(named) > KEPT_MOST:
                named[later] = min(named[later], named.pop(version))
            else:
                return

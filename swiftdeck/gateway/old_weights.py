"""Until when workers on older weights may be used: one rule for the routers that send and for the head that orders."""

import math

SUSPECTED_SPARE_S = 1.0
"""What is left of the bound where a router only suspects trouble: it may be wrong, and still has to keep it."""
BEGIN_SPARE_S = 0.4
"""How long before the bound a request that hasn't been answered is taken back."""


class OldWeights:
    """Times on the own clock, from the age of each naming and from what is known of trouble in the core.

    A request begins some time after it was sent, so requests are sent for `send_s` after a naming and have to begin within
    `bound_s`. Both count anew from a change of the core that its tail reports, since nobody could be ordered meanwhile. Trouble
    that only this process sees lengthens the time for sending, but never beyond the bound. Where the bound had passed before the
    core changed, older weights are over for good.
    """

    def __init__(self, ages, send_s: float, bound_s: float):
        self.ages, self.send_s, self.bound_s = ages, send_s, bound_s
        self._core_changed_s = self.suspected_s = -math.inf

    @property
    def core_changed_s(self) -> float:
        """When the core last changed."""
        return self._core_changed_s

    @core_changed_s.setter
    def core_changed_s(self, changed_s: float):
        if changed_s > self._core_changed_s:
            self.ages.end_within(self._core_changed_s, changed_s, self.bound_s)
        self._core_changed_s = changed_s

    def _counts_from_s(self, model, version, outdated_s):
        """What the times for a version count from."""
        if self.ages.is_over(model, version):
            return outdated_s
        return max(outdated_s, self.core_changed_s)

    def sent_until_s(self, model: str, version: int) -> float:
        """Until when requests may be sent to workers with a version, infinity where it is the newest."""
        outdated_s = self.ages.outdated_s(model, version)
        if outdated_s is None:
            return math.inf
        suspected_s = max(outdated_s, self.suspected_s) + self.send_s
        return max(
            self._counts_from_s(model, version, outdated_s) + self.send_s,
            min(suspected_s, outdated_s + self.bound_s - SUSPECTED_SPARE_S),
        )

    def bound_until_s(self, model: str, version: int) -> float:
        """Until when a request may begin on a version at the latest, infinity where it is the newest."""
        outdated_s = self.ages.outdated_s(model, version)
        if outdated_s is None:
            return math.inf
        return self._counts_from_s(model, version, outdated_s) + self.bound_s

    def awaited_until_s(self, model: str, version: int) -> float:
        """When a request that its worker hasn't answered is taken back, so that it doesn't begin too late."""
        return self.bound_until_s(model, version) - BEGIN_SPARE_S

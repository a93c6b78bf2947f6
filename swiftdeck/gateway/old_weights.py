"""Until when workers on older weights may be used: one rule for the routers that send and for the head that orders."""

import math

SUSPECTED_SPARE_S = 1.0
"""What is left of the bound where a router only suspects trouble: it may be wrong, and still has to keep it."""
BEGIN_SPARE_S = 0.4
"""How long before the bound a request that hasn't been answered is taken back."""
LONG_AGO_S = -1e8
"""Before this lies the time of a change that isn't known yet; nothing is concluded from the first one."""


class OldWeights:
    """Times on the own clock, from the age of each naming and from what is known of trouble in the core.

    A request begins some time after it was sent, so requests are sent for `send_s` after a naming and have to begin within
    `bound_s`. Both count anew from a change of the core that its tail reports, since nobody could be ordered meanwhile. Trouble
    that only this process sees lengthens the time for sending, but never beyond the bound. Where the bound had passed before the
    core changed, older weights are over for good.
    """

    def __init__(self, ages, send_s: float, bound_s: float):
        self.ages, self.send_s, self.bound_s = ages, send_s, bound_s
        self.core_changed_s = self.core_seen_s = self.suspected_s = -math.inf

    def follow_core(self, changed_s: float, seen_s: float):
        """Take in when the core last changed, as it was seen at a later time.

        The stretch before a change ends when the core was last seen without it: there may have been others since.
        """
        if changed_s > self.core_changed_s > LONG_AGO_S:
            settled_s = min(changed_s, self.core_seen_s)
            self.ages.end_within(self.core_changed_s, settled_s, self.bound_s)
        self.core_changed_s, self.core_seen_s = changed_s, seen_s

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

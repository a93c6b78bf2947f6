"""Decides until when workers with older weights may be used.

Routers that send requests and the head that orders swaps follow the same rule.
"""

import math

SUSPICION_MARGIN_S = 1.0
"""Margin before the bound when only this router suspects trouble in the core: the suspicion may be
wrong, so the bound must be kept.
"""
BEGIN_MARGIN_S = 0.4
"""How long before the bound a request without an answer is withdrawn from its worker."""
UNKNOWN_BEFORE_S = -1e8
"""A core change before this time is a placeholder for an unknown one; nothing is concluded from the
first known change.
"""


class OldWeights:
    """Computes deadlines on the local clock from the age of each naming and from core trouble.

    A naming is a change of the configuration that sets newer weights. A request begins some time
    after it was sent, so requests are sent for `send_s` after a naming and must begin within
    `bound_s`.

    Both are counted anew from each change of the core that its tail reports, since no worker could
    be ordered in the meantime. Trouble that only this process sees extends the time for sending,
    but never beyond the bound. Weights whose bound had passed before the core changed are never
    used again.
    """

    def __init__(self, ages, send_s: float, bound_s: float):
        self.ages, self.send_s, self.bound_s = ages, send_s, bound_s
        self.core_changed_s = self.core_seen_s = self.suspected_s = -math.inf

    def follow_core(self, changed_s: float, seen_s: float):
        """Update when the core last changed, as observed at `seen_s`.

        The calm stretch before a change ends when the core was last observed without it, since
        there may have been other changes in between.
        """
        if changed_s > self.core_changed_s > UNKNOWN_BEFORE_S:
            settled_s = min(changed_s, self.core_seen_s)
            self.ages.end_within(self.core_changed_s, settled_s, self.bound_s)
        self.core_changed_s, self.core_seen_s = changed_s, seen_s

    def _start_s(self, model, version, outdated_s):
        """Return the time from which the deadlines of a version are counted."""
        if self.ages.is_over(model, version):
            return outdated_s
        return max(outdated_s, self.core_changed_s)

    def sent_until_s(self, model: str, version: int) -> float:
        """Return until when requests may be sent to workers with a version.

        Returns infinity for the newest version.
        """
        outdated_s = self.ages.outdated_s(model, version)
        if outdated_s is None:
            return math.inf
        suspected_s = max(outdated_s, self.suspected_s) + self.send_s
        return max(
            self._start_s(model, version, outdated_s) + self.send_s,
            min(suspected_s, outdated_s + self.bound_s - SUSPICION_MARGIN_S),
        )

    def bound_until_s(self, model: str, version: int) -> float:
        """Return the latest time at which a request may begin on a version.

        Returns infinity for the newest version.
        """
        outdated_s = self.ages.outdated_s(model, version)
        if outdated_s is None:
            return math.inf
        return self._start_s(model, version, outdated_s) + self.bound_s

    def awaited_until_s(self, model: str, version: int) -> float:
        """Return when a request without an answer is withdrawn so that it doesn't begin too late."""
        return self.bound_until_s(model, version) - BEGIN_MARGIN_S

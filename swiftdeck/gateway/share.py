"""This router's share of the fleet's retry budget."""

import asyncio

from swiftdeck.traffic.budget import Budget

SAFETY_FACTOR = 0.9
"""Share of the budget that is used, as a margin below the limit."""


class BudgetShare:
    """Grants further attempts of this router's calls.

    The budget is a ratio of its own calls plus its part of the fleet's fixed allowance.

    The allowance is divided by the largest number of routers that were ever known at once.
    `routers` returns those that this router hears of, and `at_least` the number of routers that
    hold a lease of the cores. So routers that are cut off from each other, but not from the cores,
    don't each take the whole allowance.
    """

    def __init__(self, routers, ratio, extra, window_s, at_least=lambda: 1):
        self.routers, self.ratio, self.extra, self.window_s, self.at_least = (
            routers,
            ratio,
            extra,
            window_s,
            at_least,
        )
        self.max_routers, self.budgets = 1, {}

    def _budget_of(self, service):
        if service not in self.budgets:
            self.budgets[service] = Budget(
                self.ratio * SAFETY_FACTOR, self.window_s, start_s=asyncio.get_running_loop().time()
            )
        return self.budgets[service]

    def _allowance(self):
        self.max_routers = max(self.max_routers, len(self.routers()), self.at_least())
        return int(self.extra * SAFETY_FACTOR) // self.max_routers

    def call(self, service: str):
        """Count a request for a service."""
        self._budget_of(service).call(asyncio.get_running_loop().time())

    def has(self, service: str) -> bool:
        """Return whether a further attempt would be granted."""
        return self._budget_of(service).has(asyncio.get_running_loop().time(), self._allowance())

    def draw(self, service: str) -> bool:
        """Take a further attempt and return whether it was granted."""
        return self._budget_of(service).draw(asyncio.get_running_loop().time(), self._allowance())

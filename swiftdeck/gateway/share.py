"""This router's share of the one budget of further tries."""

import asyncio

from swiftdeck.traffic.budget import Budget

SAFE = 0.9


class BudgetShare:
    """A part of its own calls, and of the allowance what falls on one of as many routers as were ever known at once.

    Known are those that this router hears of and those that hold a lease of the cores, so that routers which are cut off from each
    other, but not from the cores, don't each take the whole.
    """

    def __init__(self, routers, ratio, extra, window_s, at_least=lambda: 1):
        self.routers, self.ratio, self.extra, self.window_s, self.at_least = (
            routers,
            ratio,
            extra,
            window_s,
            at_least,
        )
        self.most, self.budgets = 1, {}

    def _of(self, service):
        if service not in self.budgets:
            self.budgets[service] = Budget(
                self.ratio * SAFE, self.window_s, start_s=asyncio.get_running_loop().time()
            )
        return self.budgets[service]

    def _allowance(self):
        self.most = max(self.most, len(self.routers()), self.at_least())
        return int(self.extra * SAFE) // self.most

    def call(self, service: str):
        """Count a request for a service."""
        self._of(service).call(asyncio.get_running_loop().time())

    def has(self, service: str) -> bool:
        """Whether a further try could be had."""
        return self._of(service).has(asyncio.get_running_loop().time(), self._allowance())

    def draw(self, service: str) -> bool:
        """Take a further try."""
        return self._of(service).draw(asyncio.get_running_loop().time(), self._allowance())

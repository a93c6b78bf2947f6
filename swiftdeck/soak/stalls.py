"""Detect stalls of the soak's own process, during which simulated workers and clients all stop."""

import asyncio

from swiftdeck.bench.platform_api.rules.records import PROCESS
from swiftdeck.soak.troubles import EVERY_MACHINE

STALL_S = 0.7


class StallWatch:
    """Records each stall as trouble of the whole site, as observations during it prove little."""

    def __init__(self, troubles):
        self.troubles, self.count, self.longest_s = troubles, 0, 0.0

    async def sleep(self, seconds):
        """Sleep, and record a stall if it took more than `STALL_S` longer than asked."""
        loop = asyncio.get_running_loop()
        begin_s, begin_ms = loop.time(), self.troubles.now_ms()
        await asyncio.sleep(seconds)
        delay_s = loop.time() - begin_s - seconds
        self.longest_s = max(self.longest_s, delay_s)
        if delay_s > STALL_S:
            self.count += 1
            period = [EVERY_MACHINE, begin_ms, self.troubles.now_ms(), PROCESS]
            self.troubles.noted.append(period)

"""Pauses of the soak's own process, in which workers, clients and clock stood still together."""

import asyncio

from swiftdeck.bench.platform_api.rules.records import PROCESS
from swiftdeck.soak.troubles import EVERY_MACHINE

STALL_S = 0.7


class StallWatch:
    """Notes each pause as a trouble of the whole site: what is seen then says little of it."""

    def __init__(self, troubles):
        self.troubles, self.count, self.longest_s = troubles, 0, 0.0

    async def sleep(self, seconds):
        """Sleep, and note when that took much longer than it should."""
        loop = asyncio.get_running_loop()
        begin_s, begin_ms = loop.time(), self.troubles.now_ms()
        await asyncio.sleep(seconds)
        late_s = loop.time() - begin_s - seconds
        self.longest_s = max(self.longest_s, late_s)
        if late_s > STALL_S:
            self.count += 1
            noted = [EVERY_MACHINE, begin_ms, self.troubles.now_ms(), PROCESS]
            self.troubles.noted.append(noted)

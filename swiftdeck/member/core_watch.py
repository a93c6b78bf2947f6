"""Tracks when a core last joined or went down, as seen by the probes of this process."""

import asyncio

from swiftdeck.member.membership import ALIVE
from swiftdeck.runtime.ticks import next_tick

CHECK_INTERVAL_S = 0.25


class CoreWatch:
    """Compares the cores that are not gone, each with its incarnation, with the previous check.

    This detects a core that was killed, stopped, started, frozen or cut off for longer than the
    probes take to notice. A change of view alone is not detected, nor is trouble with a disk, a
    lease renewal or a process outside the core. The loss of a core is dated to the last check at
    which it was alive and not suspected: it failed no later than that, while it is declared gone
    only seconds afterwards.
    """

    def __init__(self, me, membership):
        self.me, self.membership = me, membership
        self.changed_s = -1e9
        self.last_alive_s = {}
        """When each core that isn't gone was last alive, by (address, incarnation)."""

    def start(self):
        """Start the periodic check; the start of a core itself counts as a change."""
        self.loop = asyncio.get_running_loop()
        now_s = self.loop.time()
        self.last_alive_s = {core: now_s for core in self._cores()}
        if self.me.role == "core":
            self.changed_s = now_s
        self.task = asyncio.ensure_future(self._check_loop())

    def calm_ms(self) -> int:
        """Return the milliseconds since the last change, from 1 up to one hour."""
        return min(3_600_000, max(1, int((self.loop.time() - self.changed_s) * 1000)))

    def _cores(self):
        """Map each core that isn't gone to whether it is alive rather than suspected."""
        return {
            (core.addr, core.incarnation): core.state == ALIVE
            for core in self.membership.alive("core")
        }

    def check(self):
        """Compare the cores with those of the previous check and record any change."""
        now_s, cores = self.loop.time(), self._cores()
        lost_s = [alive_s for core, alive_s in self.last_alive_s.items() if core not in cores]
        if any(core not in self.last_alive_s for core in cores):
            self.changed_s = now_s
        self.changed_s = max([self.changed_s, *lost_s])
        self.last_alive_s = {
            core: now_s if is_alive else self.last_alive_s.get(core, now_s)
            for core, is_alive in cores.items()
        }

    async def _check_loop(self):
        while True:
            await next_tick(CHECK_INTERVAL_S)
            self.check()

"""When a core last came or went, by the probes of this process."""

import asyncio

from swiftdeck.member.membership import ALIVE
from swiftdeck.runtime.ticks import next_tick

LOOK_S = 0.25


class CoreWatch:
    """Compares the cores that are not gone, each with its incarnation, with those at the last look.

    A core that was killed, stopped, started, frozen or cut off for longer than the probes take
    shows here. A change of view alone doesn't, nor does trouble with a disk, a renewal or a
    process outside the core. A core that goes counts from when it was last held for alive, without
    suspicion: what befell it came no later, while it is called gone seconds afterwards.
    """

    def __init__(self, me, membership):
        self.me, self.membership = me, membership
        self.changed_s = -1e9
        self.alive_s = {}
        """When each core that isn't gone was last held for alive, by address and incarnation."""

    def start(self):
        """Go on looking; the start of a core is a change as well."""
        self.loop = asyncio.get_running_loop()
        now_s = self.loop.time()
        self.alive_s = {core: now_s for core in self._cores()}
        if self.me.role == "core":
            self.changed_s = now_s
        self.task = asyncio.ensure_future(self._looking())

    def calm_ms(self) -> int:
        """Milliseconds since the last change, never 0."""
        return min(3_600_000, max(1, int((self.loop.time() - self.changed_s) * 1000)))

    def _cores(self):
        """The cores that aren't gone, and whether each is held for alive."""
        return {
            (each.addr, each.incarnation): each.state == ALIVE
            for each in self.membership.alive("core")
        }

    def look(self):
        """Compare the cores with those at the last look."""
        now_s, cores = self.loop.time(), self._cores()
        went_s = [at_s for core, at_s in self.alive_s.items() if core not in cores]
        if any(core not in self.alive_s for core in cores):
            self.changed_s = now_s
        self.changed_s = max([self.changed_s, *went_s])
        self.alive_s = {
            core: now_s if is_alive else self.alive_s.get(core, now_s)
            for core, is_alive in cores.items()
        }

    async def _looking(self):
        while True:
            await next_tick(LOOK_S)
            self.look()

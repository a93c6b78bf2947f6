"""When a core last came or went, by the probes of this process."""

import asyncio

from swiftdeck.board.beat import next_beat

LOOK_S = 0.25


class CoreWatch:
    """Compares the cores that are not gone, each with its incarnation, with those at the last look.

    A core that was killed, stopped, started, frozen or cut off for longer than the probes take
    shows here. A change of view alone doesn't, nor does trouble with a disk, a renewal or a
    process outside the core.
    """

    def __init__(self, me, membership):
        self.me, self.membership = me, membership
        self.changed_s = -1e9

    def start(self):
        """Go on looking; the start of a core is a change as well."""
        self.loop = asyncio.get_running_loop()
        self.seen = self._cores()
        if self.me.role == "core":
            self.changed_s = self.loop.time()
        self.task = asyncio.ensure_future(self._looking())

    def calm_ms(self) -> int:
        """Milliseconds since the last change, never 0."""
        return min(3_600_000, max(1, int((self.loop.time() - self.changed_s) * 1000)))

    def _cores(self):
        return frozenset((each.addr, each.incarnation) for each in self.membership.alive("core"))

    async def _looking(self):
        while True:
            await next_beat(LOOK_S)
            cores = self._cores()
            if cores != self.seen:
                self.seen, self.changed_s = cores, self.loop.time()

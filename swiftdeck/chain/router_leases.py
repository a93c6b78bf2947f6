"""The leases that a tail gave to routers, and which versions all of them have confirmed."""

import asyncio

import attrs

from swiftdeck.wire.messages import LeaseAsk

VERSIONS_REMEMBERED = 64


@attrs.define
class Holder:
    """A router that may hold a lease for a configuration.

    `held` is the newest version that it has confirmed, `nudged` the newest that it was told of.
    """

    addr: str
    until_s: float
    held: int
    nudged: int = 0


class RouterLeases:
    """Who may obey which version.

    Attributes:
        holders: the routers by name and life.
        known_s: when this tail first had a version on its disk, for the newest versions.
        begun_s: since when this tail gives leases; those of the one before may outlast that.
    """

    def __init__(self, lease_ms: int, ack_wait_ms: int):
        self.lease_ms, self.ack_wait_ms = lease_ms, ack_wait_ms
        self.holders: dict[str, Holder] = {}
        self.known_s: dict[int, float] = {}
        self.begun_s = 0.0

    def start(self) -> None:
        """Take the clock of the running loop."""
        self.loop = asyncio.get_running_loop()

    def begin(self, begun_s: float) -> None:
        """Start over, knowing nothing of the leases of the tail before."""
        self.begun_s, self.holders, self.known_s = begun_s, {}, {}

    def record_version(self, version: int) -> None:
        """Remember when a version was first on this tail's disk."""
        if version in self.known_s:
            return
        self.known_s[version] = self.loop.time()
        if len(self.known_s) > VERSIONS_REMEMBERED:
            del self.known_s[next(iter(self.known_s))]

    def is_in_force(self, version: int) -> bool:
        """Whether every router that may hold a lease has confirmed a version.

        Without knowledge all may hold one. Where `ack_wait_ms` is set, a version that this tail has
        had for so long counts as confirmed.
        """
        now_s = self.loop.time()
        known_s = self._known_since(version) if self.ack_wait_ms else None
        if known_s is not None and now_s >= known_s + self.ack_wait_ms / 1000:
            return True
        if now_s < self.begun_s + self.lease_ms / 1000:
            return False
        return all(
            holder.held >= version or holder.until_s <= now_s for holder in self.holders.values()
        )

    def confirmed_by_s(self, version: int) -> float:
        """When a version counts as confirmed at the latest, as far as is known."""
        known_s = self._known_since(version)
        if known_s is None or not self.ack_wait_ms:
            return self.loop.time() + 1
        return known_s + self.ack_wait_ms / 1000

    def _known_since(self, version: int) -> float | None:
        times_s = (at_s for known, at_s in self.known_s.items() if known >= version)
        return min(times_s, default=None)

    def renew(self, ask: LeaseAsk) -> int:
        """Give a router a lease; returns the newest version that it has confirmed."""
        now_s, old = self.loop.time(), self.holders.get(ask.router)
        held = max(ask.held, old.held if old else 0)
        until_s = now_s + self.lease_ms / 1000
        self.holders[ask.router] = Holder(ask.addr, until_s, held, old.nudged if old else 0)
        self.holders = {name: each for name, each in self.holders.items() if each.until_s > now_s}
        return held

    def hand_back(self, router: str) -> None:
        """Take a lease back that its router no longer wants."""
        self.holders.pop(router, None)

    def to_nudge(self, version: int) -> list[str]:
        """Addresses of routers that don't know of a version yet; each is named once."""
        now_s = self.loop.time()
        unaware = [
            holder
            for holder in self.holders.values()
            if max(holder.held, holder.nudged) < version and holder.until_s > now_s
        ]
        for holder in unaware:
            holder.nudged = version
        return [holder.addr for holder in unaware]

"""The leases that a tail granted to routers, and which versions all their holders have confirmed."""

import asyncio
import math

import attrs

from swiftdeck.wire.messages import LeaseAsk

VERSIONS_REMEMBERED = 64
SHARING_LEASE_MS = 6000
"""How long after a renewal a router on the platform may let tenants share cached prefixes.

Only the acknowledgement of an isolation waits for its end, so it is longer than other leases: a
router doesn't lose its caches while the cores change their view.
"""


def _name_of(router: str) -> str:
    """Return the name of a router, which is told with its incarnation."""
    return router.rpartition("/")[0]


@attrs.define
class LeaseHolder:
    """A router that may hold a lease for a configuration.

    `held` is the newest version that it has confirmed, `notified` the newest that it was notified of.
    """

    addr: str
    until_s: float
    held: int
    notified: int = 0


@attrs.frozen
class SharingLease:
    """A router that may let tenants share cached prefixes, and the newest version that it confirmed.

    `router` is its name and incarnation.
    """

    router: str
    held: int
    until_s: float


class RouterLeases:
    """The configuration leases of this tail.

    Attributes:
        holders: The routers, by name and incarnation.
        first_synced_s: When this tail first had a version on its disk, for the newest versions.
        serving_since_s: Since when this tail grants leases; those of the previous tail may outlast that.
        sharing_leases: The newest incarnations that may share cached prefixes, by name; the oldest lease first.
        generation: The generation of shared cached prefixes in the newest version that was recorded.
        generation_version: The version with which it came, and `generation_since_s` when this tail had it first.
    """

    def __init__(self, lease_ms: int, ack_wait_ms: int):
        self.lease_ms, self.ack_wait_ms = lease_ms, ack_wait_ms
        self.holders: dict[str, LeaseHolder] = {}
        self.first_synced_s: dict[int, float] = {}
        self.serving_since_s = 0.0
        self.sharing_leases: dict[str, SharingLease] = {}
        self.generation, self.generation_version, self.generation_since_s = 0, 0, -math.inf

    def start(self) -> None:
        """Use the clock of the running event loop."""
        self.loop = asyncio.get_running_loop()

    def begin(self, serving_since_s: float) -> None:
        """Reset for a new tail, which does not know the leases of the previous one."""
        self.serving_since_s, self.holders, self.first_synced_s = serving_since_s, {}, {}
        self.sharing_leases = {}

    def record_version(self, version: int, generation: int) -> None:
        """Record when a version, and its generation of shared prefixes, were first synced to this tail's disk."""
        if generation != self.generation:
            self.generation, self.generation_version = generation, version
            self.generation_since_s = self.loop.time()
        if version in self.first_synced_s:
            return
        self.first_synced_s[version] = self.loop.time()
        if len(self.first_synced_s) > VERSIONS_REMEMBERED:
            del self.first_synced_s[next(iter(self.first_synced_s))]

    def is_in_force(self, version: int) -> bool:
        """Return whether every router that may hold a lease has confirmed a version.

        During the first `lease_ms` of this tail, unknown routers may hold leases of the previous one. If `ack_wait_ms`
        is set, a version that this tail has had on disk for that long counts as confirmed.
        """
        now_s = self.loop.time()
        if not self._is_isolation_obeyed():
            return False
        first_synced_s = self._first_synced(version) if self.ack_wait_ms else None
        if first_synced_s is not None and now_s >= first_synced_s + self.ack_wait_ms / 1000:
            return True
        if now_s < self.serving_since_s + self.lease_ms / 1000:
            return False
        return all(
            holder.held >= version or holder.until_s <= now_s for holder in self.holders.values()
        )

    def _is_isolation_obeyed(self) -> bool:
        """Return whether no router shares cached prefixes by a configuration from before the newest isolation.

        Where `ack_wait_ms` is 0, routers send nothing without a lease, and each version waits for all of them.
        """
        now_s, sharing_s = self.loop.time(), SHARING_LEASE_MS / 1000
        lapsed_s = self.generation_since_s + sharing_s
        if not self.ack_wait_ms or lapsed_s <= max(now_s, self.serving_since_s):
            return True
        if now_s < self.serving_since_s + sharing_s:
            return False
        return all(
            lease.held >= self.generation_version or lease.until_s <= now_s
            for lease in self.sharing_leases.values()
        )

    def confirmation_deadline_s(self, version: int) -> float:
        """Return when a version counts as confirmed at the latest, or 1 s from now if that is not known."""
        first_synced_s = self._first_synced(version)
        if first_synced_s is None or not self.ack_wait_ms:
            return self.loop.time() + 1
        deadline_s = first_synced_s + self.ack_wait_ms / 1000
        return deadline_s if self._is_isolation_obeyed() else self.loop.time() + 1

    def _first_synced(self, version: int) -> float | None:
        times_s = (
            at_s
            for synced_version, at_s in self.first_synced_s.items()
            if synced_version >= version
        )
        return min(times_s, default=None)

    def renew(self, ask: LeaseAsk) -> int:
        """Grant or renew a router's lease; return the newest version that it has confirmed."""
        now_s, previous = self.loop.time(), self.holders.get(ask.router)
        held = max(ask.held, previous.held if previous else 0)
        until_s = now_s + self.lease_ms / 1000
        self.holders[ask.router] = LeaseHolder(
            ask.addr, until_s, held, previous.notified if previous else 0
        )
        self.holders = {
            name: holder for name, holder in self.holders.items() if holder.until_s > now_s
        }
        self._renew_sharing(ask.router, held)
        return held

    def _renew_sharing(self, router: str, held: int) -> None:
        """Renew the lease for sharing of a router in place of that of its earlier incarnation."""
        now_s, leases = self.loop.time(), self.sharing_leases
        leases.pop(_name_of(router), None)
        leases[_name_of(router)] = SharingLease(router, held, now_s + SHARING_LEASE_MS / 1000)
        while leases[oldest := next(iter(leases))].until_s <= now_s:
            del leases[oldest]

    def hand_back(self, router: str) -> None:
        """Remove the lease of a router that hands it back."""
        self.holders.pop(router, None)
        sharing_lease = self.sharing_leases.get(_name_of(router))
        if sharing_lease is not None and sharing_lease.router == router:
            del self.sharing_leases[_name_of(router)]

    def take_unaware_addrs(self, version: int) -> list[str]:
        """Return the addresses of routers that do not know of a version yet, and mark these as notified."""
        now_s = self.loop.time()
        unaware = [
            holder
            for holder in self.holders.values()
            if max(holder.held, holder.notified) < version and holder.until_s > now_s
        ]
        for holder in unaware:
            holder.notified = version
        return [holder.addr for holder in unaware]

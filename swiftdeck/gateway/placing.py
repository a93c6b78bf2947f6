"""Chooses the worker for a call, and the holder from which a long prompt's prefix is fetched.

Long prompts go where most of their shared parts are cached, short ones to the least loaded worker.
"""

import asyncio
import hashlib

import attrs

from swiftdeck.config.document import Service
from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.kept import KEPT_SHARE
from swiftdeck.gateway.moves import PrefixTransfer, transfer_ms
from swiftdeck.gateway.worker_registry import Worker
from swiftdeck.traffic.ring import Ring

LANE_DIVISOR, CACHED_MAX = 4, 16
"""One in so many workers is preferred for short calls; bound on the cached rings and lanes."""
LANE_PENALTY_CALLS, LANE_PENALTY_MS = 1.5, 150.0
"""Penalty for a worker of the wrong lane: in running calls for a short call outside the short lane,
in milliseconds for a long call inside it.
"""
SHARED_WEIGHT, RING_STEP_MS = 1.5, 37.5
"""Weight of reading a shared token relative to one of the prompt's own, and the cost of each step
along the ring.
"""
UNKNOWN_TRANSFER_SHARE = 0.5
"""Estimated cost of a transfer as a share of reading the tokens, if the configuration has no sizes
or link speeds.
"""
NEW_CONNECTION_CALLS = 0.5
"""Cost of opening a connection for a short call, in running calls."""


@attrs.frozen
class MissingTokens:
    """Tokens of a prompt that a worker doesn't have in its cache.

    `own` are those that belong to this prompt alone, `shared` are shared ones that it has to read,
    and `transferred` are shared ones to be fetched from another holder in `transfer_ms`.
    """

    own: int
    shared: int
    transferred: int
    transfer_ms: float

    @property
    def tokens_to_read(self) -> int:
        """Return the number of tokens that the worker will have to read."""
        return self.own + self.shared


@attrs.frozen
class PlacementCost:
    """Estimated cost of a long call at a worker, in milliseconds until its first event.

    `backlog_ms` is the time to read what the worker was already sent, and `affinity_ms` the penalty
    for a worker that isn't the preferred one on the ring or is reserved for short calls.
    """

    worker: Worker
    missing: MissingTokens
    backlog_ms: float
    own_ms: float
    shared_ms: float
    transfer_ms: float
    affinity_ms: float

    @property
    def total_ms(self) -> float:
        """Return the sum of the terms in milliseconds."""
        return self.backlog_ms + self.own_ms + self.shared_ms + self.transfer_ms + self.affinity_ms


@attrs.frozen
class Link:
    """Address, speed and zone of a holder of cached parts."""

    address: str
    mbps: float
    zone: str


class Placing:
    """Ranks workers by estimated cost.

    Reads the worker registry, the judge and the table of cached parts, and changes none of them.
    """

    def __init__(
        self,
        zone,
        judge,
        kept,
        random,
        long_tokens=2048,
        policy=ALL_ON,
        virtual_places=64,
    ):
        self.policy = policy
        self.zone, self.judge, self.kept, self.random = zone, judge, kept, random
        self.registry = judge.worker_registry
        self.long_tokens, self.virtual_places = long_tokens, virtual_places
        self.rings, self.lanes = {}, {}
        self.has_connection = lambda worker: True
        self.services: dict[str, Service] = {}
        self.stores: dict[str, Service] = {}

    def follow(self, services: dict[str, Service]):
        """Take over the services of the configuration, including the cache stores."""
        self.services = services
        if self.policy.store:
            self.stores = {each.store_addr: each for each in services.values() if each.store_addr}

    def short_lane(self, workers):
        """Return the names of the workers that short calls prefer.

        These are a fraction of all workers, so that short calls don't wait behind the reading of a
        long prompt. They are chosen by name alone, so all routers choose the same. Without a lane
        they are all workers.
        """
        names = tuple(sorted(each.name for each in workers))
        if names not in self.lanes:
            ranked = sorted(names, key=_digest)
            lane = ranked[: -(-len(names) // LANE_DIVISOR)] if self._has_lane(names) else names
            self._add_bounded(self.lanes, names, frozenset(lane))
        return self.lanes[names]

    def _has_lane(self, workers) -> bool:
        """Return whether some of these workers are reserved for short calls."""
        return len(workers) > 2 and self.policy.lane

    @staticmethod
    def _add_bounded(table, key, value):
        """Add an entry to a table and evict the oldest ones beyond its bound."""
        while len(table) >= CACHED_MAX:
            del table[next(iter(table))]
        table[key] = value

    def is_long(self, request) -> bool:
        """Return whether a prompt is so large that the call needs a place at its worker."""
        return request.prompt_tokens >= self.long_tokens

    def _ring(self, names):
        key = tuple(names)
        if key not in self.rings:
            self._add_bounded(self.rings, key, Ring(names, self.virtual_places))
        return self.rings[key]

    def load(self, worker):
        """Return how busy a worker looks to this router, in running calls."""
        now_s = asyncio.get_running_loop().time()
        return (
            worker.running
            + self.backlog_ms(worker, now_s) / 75
            + min(10.0, worker.first_event_ms / 100)
            + (0 if worker.listed.zone == self.zone else 0.6)
            + (2 if worker.listed.warmup_ms else 0)
            + (0 if self.has_connection(worker) else NEW_CONNECTION_CALLS)
        )

    def backlog_ms(self, worker, now_s: float) -> float:
        """Return for how long a worker will read the prompts that it was already sent, in ms."""
        pace = self.registry.pace(worker, now_s)
        return worker.unread(now_s, pace) / pace

    def order_short(self, workers, serving):
        """Return workers in the order of preference for a short call.

        The lane is derived from all workers in service, also those that aren't candidates.
        """
        lane = self.short_lane(serving)
        return sorted(
            self.judge.good(workers),
            key=lambda worker: (
                self.load(worker)
                + self.random.random() * 0.3
                + LANE_PENALTY_CALLS * (worker.name not in lane)
            ),
        )

    def costs(self, request, workers, salts, serving) -> list[PlacementCost]:
        """Return the estimated cost of a long call at each candidate, cheapest first."""
        lane = self.short_lane(serving) if self._has_lane(serving) else ()
        healthy = self.judge.good(workers)
        distances = self._ring_distances(request, healthy, lane)
        now_s = asyncio.get_running_loop().time()
        shared, costs = request.shared(), []
        holders_by_salt = {
            salt: self._holders(salt, shared) for salt in {salts[each.name] for each in healthy}
        }
        for worker in healthy:
            salt = salts[worker.name]
            missing = self._missing(request, worker, salt, holders_by_salt[salt])
            pace = self.registry.pace(worker, now_s)
            distance = min(distances.get(worker.name, 2), 3) if self.policy.ring else 0
            costs.append(
                PlacementCost(
                    worker=worker,
                    missing=missing,
                    backlog_ms=self.backlog_ms(worker, now_s),
                    own_ms=missing.own / pace,
                    shared_ms=missing.shared * SHARED_WEIGHT / pace,
                    transfer_ms=missing.transfer_ms,
                    affinity_ms=distance * RING_STEP_MS
                    + (LANE_PENALTY_MS if worker.name in lane else 0),
                )
            )
        return sorted(costs, key=lambda cost: cost.total_ms)

    def _ring_distances(self, request, workers, lane):
        """Return the distance of each worker along the ring from the first shared part."""
        shared = request.shared() or request.parts
        ring = self._ring(
            sorted(worker.name for worker in workers if worker.name not in lane)
            or sorted(worker.name for worker in workers)
        )
        key = hashlib.blake2b(
            "/".join(part.name for part in shared[:1]).encode(), digest_size=16
        ).digest()
        return {name: index for index, name in enumerate(ring.walk(key))}

    def missing(self, request, worker, salt) -> MissingTokens:
        """Return what a worker lacks of a long prompt.

        What it is expected to cache soon doesn't count as missing.
        """
        return self._missing(request, worker, salt, self._holders(salt, request.shared()))

    def _holders(self, salt, shared) -> list[tuple[str, int]]:
        """Return the holders of the shared parts with their number of tokens, most first."""
        holders = self.kept.holders(salt, shared)
        return [(name, self.kept.tokens(name, salt, shared)) for name in holders]

    def _missing(self, request, worker, salt, holders) -> MissingTokens:
        shared = request.shared()
        shared_tokens = sum(part.tokens for part in shared)
        cached_here = self.kept.tokens(worker.name, salt, shared, self.policy.expectations)
        if not self.policy.warmth:
            cached_here = 0
        transfer = self._best_transfer(worker, holders, cached_here)
        transferred = min(shared_tokens - cached_here, transfer.tokens) if transfer else 0
        own = max(0, request.prompt_tokens - shared_tokens)
        return MissingTokens(
            own,
            shared_tokens - cached_here - transferred,
            transferred,
            transfer.ms if transfer else 0.0,
        )

    def _best_transfer(self, worker, holders, cached_here: int) -> PrefixTransfer | None:
        """Return the transfer that saves a worker most time over reading.

        Returns None if reading is as fast.
        """
        pace = self.registry.pace(worker, asyncio.get_running_loop().time())
        best_transfer, most_saved_ms = None, 0.0
        for name, held_tokens in holders:
            tokens = held_tokens - cached_here
            link = self._link(name) if name != worker.name else None
            if tokens <= 0 or link is None:
                continue
            transfer = PrefixTransfer(
                link.address, tokens, self._transfer_ms(link, worker, tokens, pace)
            )
            saved_ms = tokens / pace - transfer.ms
            if saved_ms > most_saved_ms:
                best_transfer, most_saved_ms = transfer, saved_ms
        return best_transfer

    def _link(self, holder: str) -> Link | None:
        """Return the link to a holder, or None if it is gone or marked unhealthy."""
        store = self.stores.get(holder)
        if store is not None:
            return Link(holder, store.network_mbps, store.zone)
        peer = self.registry.workers.get(holder)
        if (
            peer is None
            or not self.policy.peers
            or peer.shunned_until_s > asyncio.get_running_loop().time()
        ):
            return None
        service = self.services.get(peer.listed.service)
        return Link(peer.listed.addr, service.network_mbps if service else 0, peer.listed.zone)

    def _transfer_ms(self, link, worker, tokens, pace):
        service = self.services.get(worker.listed.service)
        token_bytes = service.token_bytes if service else 0
        mbps = min(link.mbps, service.network_mbps) if service else 0
        is_same_zone = link.zone == worker.listed.zone
        known_ms = transfer_ms(tokens, token_bytes, mbps, is_same_zone)
        if known_ms is None:
            return UNKNOWN_TRANSFER_SHARE * tokens / pace * (1 if is_same_zone else 1.2)
        return known_ms

    def source(self, request, worker, salt) -> str:
        """Return the address to fetch a long prompt's shared parts from.

        It is empty if reading them is as fast.
        """
        shared = request.shared()
        if not shared or not self.is_long(request):
            return ""
        cached_here = self.kept.tokens(worker.name, salt, shared)
        if cached_here >= KEPT_SHARE * sum(part.tokens for part in shared):
            return ""
        transfer = self._best_transfer(worker, self._holders(salt, shared), cached_here)
        return transfer.source if transfer else ""

    def target(self, request, salt):
        """Return the store that a long prompt's shared parts are saved to.

        It is empty if a store is known to have them already.
        """
        shared = request.shared()
        if not shared or not self.is_long(request):
            return ""
        shared_tokens = sum(part.tokens for part in shared)
        if any(
            self.kept.tokens(each, salt, shared) >= KEPT_SHARE * shared_tokens
            for each in self.stores
        ):
            return ""
        return self.store_of(salt, shared)

    def store_of(self, salt, shared):
        """Return the available store that parts belong in, which is the same at each router."""
        now_s = asyncio.get_running_loop().time()
        available = [store for store in self.stores if not self.kept.is_down(store, now_s)]
        part_name = f"{salt}/{shared[0].name}"
        return max(available, key=lambda store: _digest(f"{store}/{part_name}"), default="")


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

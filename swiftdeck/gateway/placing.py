"""Which worker takes a call: by what it keeps for a long prompt, by load for a short one; and where a prefix comes from."""

import asyncio
import hashlib

import attrs

from swiftdeck.config.document import Service
from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.kept import KEPT_SHARE
from swiftdeck.gateway.moves import Move, move_ms
from swiftdeck.gateway.worker_registry import Worker
from swiftdeck.traffic.ring import Ring

LANE_SHARE, REMEMBERED = 4, 16
OTHER_LANE, OTHER_LANE_MS = 1.5, 150.0
AGAIN, PLACE_MS = 1.5, 37.5
UNKNOWN_MOVE_SHARE = 0.5
"""What a move is taken to cost of a reading where the configuration tells no sizes or links."""
NEW_CONNECTION = 0.5
"""What a new connection counts for a short call, in calls that run at the worker."""


@attrs.frozen
class Missing:
    """Tokens of a prompt that a worker lacks: its own, shared ones to read, shared ones to move."""

    own: int
    again: int
    moved: int
    move_ms: float

    @property
    def to_read(self) -> int:
        """What it will have to read."""
        return self.own + self.again


@attrs.frozen
class PlacementCost:
    """What a long call would cost at a worker, in milliseconds before its first event."""

    worker: Worker
    missing: Missing
    unread: float
    own: float
    again: float
    moved: float
    elsewhere: float

    @property
    def total(self) -> float:
        """The sum of the terms."""
        return self.unread + self.own + self.again + self.moved + self.elsewhere


@attrs.frozen
class Link:
    """Where a holder of parts is reached, and how fast."""

    address: str
    mbps: float
    zone: str


class Placing:
    """Reads the worker_registry, the judge and the table of what is kept, and changes none of them."""

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
        """Take over what the configuration says of the services, stores among them."""
        self.services = services
        if self.policy.store:
            self.stores = {each.store_addr: each for each in services.values() if each.store_addr}

    def short_lane(self, workers):
        """Names of the workers that short calls go to first, so that none waits behind the reading of a long prompt.

        A part of the workers, the same at each router, chosen by their names alone.
        """
        names = tuple(sorted(each.name for each in workers))
        if names not in self.lanes:
            ranked = sorted(names, key=_digest)
            lane = ranked[: -(-len(names) // LANE_SHARE)] if self._has_lane(names) else names
            self._remember(self.lanes, names, frozenset(lane))
        return self.lanes[names]

    def _has_lane(self, workers) -> bool:
        """Whether some of these workers are kept for short calls."""
        return len(workers) > 2 and self.policy.lane

    @staticmethod
    def _remember(table, key, value):
        while len(table) >= REMEMBERED:
            del table[next(iter(table))]
        table[key] = value

    def is_long(self, request) -> bool:
        """Whether a call keeps so much that it needs a place in a worker's book."""
        return request.prompt_tokens >= self.long_tokens

    def _ring(self, names):
        key = tuple(names)
        if key not in self.rings:
            self._remember(self.rings, key, Ring(names, self.virtual_places))
        return self.rings[key]

    def load(self, worker):
        """How busy a worker looks from here, in calls."""
        now_s = asyncio.get_running_loop().time()
        return (
            worker.running
            + self.backlog_ms(worker, now_s) / 75
            + min(10.0, worker.first_event_ms / 100)
            + (0 if worker.listed.zone == self.zone else 0.6)
            + (2 if worker.listed.warmup_ms else 0)
            + (0 if self.has_connection(worker) else NEW_CONNECTION)
        )

    def backlog_ms(self, worker, now_s: float) -> float:
        """How long a worker will read what it was sent already."""
        pace = self.registry.pace(worker, now_s)
        return worker.unread(now_s, pace) / pace

    def order_short(self, workers, serving):
        """Workers in the order in which a short call takes them; the lane goes by all that serve."""
        lane = self.short_lane(serving)
        return sorted(
            self.judge.good(workers),
            key=lambda each: (
                self.load(each) + self.random.random() * 0.3 + OTHER_LANE * (each.name not in lane)
            ),
        )

    def costs(self, request, workers, salts, serving) -> list[PlacementCost]:
        """What a long call would cost at each worker that may be asked, the cheapest first."""
        lane = self.short_lane(serving) if self._has_lane(serving) else ()
        good = self.judge.good(workers)
        places = self._ring_places(request, good, lane)
        now_s = asyncio.get_running_loop().time()
        shared, costs = request.shared(), []
        held = {salt: self._held(salt, shared) for salt in {salts[each.name] for each in good}}
        for worker in good:
            salt = salts[worker.name]
            missing = self._missing(request, worker, salt, held[salt])
            pace = self.registry.pace(worker, now_s)
            place = min(places.get(worker.name, 2), 3) if self.policy.ring else 0
            costs.append(
                PlacementCost(
                    worker=worker,
                    missing=missing,
                    unread=self.backlog_ms(worker, now_s),
                    own=missing.own / pace,
                    again=missing.again * AGAIN / pace,
                    moved=missing.move_ms,
                    elsewhere=place * PLACE_MS + (OTHER_LANE_MS if worker.name in lane else 0),
                )
            )
        return sorted(costs, key=lambda cost: cost.total)

    def _ring_places(self, request, workers, lane):
        """The place of each worker on the ring, from where the first shared part belongs."""
        shared = request.shared() or request.parts
        ring = self._ring(
            sorted(each.name for each in workers if each.name not in lane)
            or sorted(each.name for each in workers)
        )
        key = hashlib.blake2b(
            "/".join(part.name for part in shared[:1]).encode(), digest_size=16
        ).digest()
        return {name: at for at, name in enumerate(ring.walk(key))}

    def missing(self, request, worker, salt) -> Missing:
        """What a worker lacks of a long prompt, what it is expected to keep soon left out."""
        return self._missing(request, worker, salt, self._held(salt, request.shared()))

    def _held(self, salt, shared) -> list[tuple[str, int]]:
        """Who keeps how many tokens of the shared parts, most first."""
        holders = self.kept.holders(salt, shared)
        return [(name, self.kept.tokens(name, salt, shared)) for name in holders]

    def _missing(self, request, worker, salt, held) -> Missing:
        shared = request.shared()
        size = sum(part.tokens for part in shared)
        here = self.kept.tokens(worker.name, salt, shared, self.policy.expectations)
        if not self.policy.warmth:
            here = 0
        move = self._best_move(worker, held, here)
        moved = min(size - here, move.tokens) if move else 0
        own = max(0, request.prompt_tokens - size)
        return Missing(own, size - here - moved, moved, move.ms if move else 0.0)

    def _best_move(self, worker, held, here: int) -> Move | None:
        """The move that saves a worker most time over reading, None where reading is as fast."""
        pace = self.registry.pace(worker, asyncio.get_running_loop().time())
        best, most_ms = None, 0.0
        for name, kept in held:
            tokens = kept - here
            link = self._link(name) if name != worker.name else None
            if tokens <= 0 or link is None:
                continue
            move = Move(link.address, tokens, self._move_ms(link, worker, tokens, pace))
            saved_ms = tokens / pace - move.ms
            if saved_ms > most_ms:
                best, most_ms = move, saved_ms
        return best

    def _link(self, holder: str) -> Link | None:
        """How a holder can be reached, None where it is gone or in trouble."""
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

    def _move_ms(self, link, worker, tokens, pace):
        service = self.services.get(worker.listed.service)
        token_bytes = service.token_bytes if service else 0
        mbps = min(link.mbps, service.network_mbps) if service else 0
        is_same_zone = link.zone == worker.listed.zone
        found_ms = move_ms(tokens, token_bytes, mbps, is_same_zone)
        if found_ms is None:
            return UNKNOWN_MOVE_SHARE * tokens / pace * (1 if is_same_zone else 1.2)
        return found_ms

    def source(self, request, worker, salt) -> str:
        """The address to fetch a long prompt's shared parts from, empty where reading them is as good."""
        shared = request.shared()
        if not shared or not self.is_long(request):
            return ""
        here = self.kept.tokens(worker.name, salt, shared)
        if here >= KEPT_SHARE * sum(part.tokens for part in shared):
            return ""
        move = self._best_move(worker, self._held(salt, shared), here)
        return move.source if move else ""

    def target(self, request, salt):
        """The store for a long prompt's shared parts, empty where one is known to keep them already."""
        shared = request.shared()
        if not shared or not self.is_long(request):
            return ""
        size = sum(part.tokens for part in shared)
        if any(self.kept.tokens(each, salt, shared) >= KEPT_SHARE * size for each in self.stores):
            return ""
        return self.store_of(salt, shared)

    def store_of(self, salt, shared):
        """The store that parts belong in, the same at each router: one of those that are up."""
        now_s = asyncio.get_running_loop().time()
        up = [each for each in self.stores if not self.kept.is_down(each, now_s)]
        name = f"{salt}/{shared[0].name}"
        return max(up, key=lambda each: _digest(f"{each}/{name}"), default="")


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

"""Which worker takes a call: by what it keeps for a long prompt, by load for a short one; and where a prefix comes from."""

import asyncio
import hashlib

import attrs

from swiftdeck.gateway.worker_registry import Worker
from swiftdeck.traffic.ring import Ring

LANE_SHARE, REMEMBERED = 4, 16
OTHER_LANE, OTHER_LANE_TOKENS = 1.5, 6000
AGAIN, MOVED, PLACE_TOKENS = 1.5, 1.0, 1500


@attrs.frozen
class PlacementCost:
    """What a long call would cost at a worker, in tokens that are read before its first one."""

    worker: Worker
    unread: float
    own: float
    again: float
    moved: float
    elsewhere: float

    @property
    def total(self) -> float:
        """The sum of the terms."""
        return self.unread + self.own + self.again + self.moved + self.elsewhere


class Placing:
    """Reads the worker_registry, the judge and the table of what is kept, and changes none of them."""

    def __init__(self, zone, judge, kept, random, long_tokens=2048, virtual_places=64):
        self.zone, self.judge, self.kept, self.random = zone, judge, kept, random
        self.long_tokens, self.virtual_places = long_tokens, virtual_places
        self.rings, self.lanes, self.tokens_per_ms = {}, {}, 40.0

    def short_lane(self, workers):
        """Names of the workers that short calls go to first, so that none waits behind the reading of a long prompt.

        A part of the workers, the same at each router, chosen by their names alone.
        """
        names = tuple(sorted(each.name for each in workers))
        if names not in self.lanes:
            ranked = sorted(
                names, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest()
            )
            self._remember(
                self.lanes,
                names,
                frozenset(ranked[: -(-len(names) // LANE_SHARE)] if len(names) > 2 else names),
            )
        return self.lanes[names]

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
        unread = worker.unread(asyncio.get_running_loop().time(), self.tokens_per_ms)
        return (
            worker.running
            + unread / 3000
            + min(10.0, worker.first_event_ms / 100)
            + (0 if worker.listed.zone == self.zone else 0.6)
            + (2 if worker.listed.warmup_ms else 0)
        )

    def order(self, request, workers, salts, serving):
        """Workers in the order in which a call would take them; lanes go by all that serve, whoever is fit now."""
        if self.is_long(request):
            return [cost.worker for cost in self.costs(request, workers, salts, serving)]
        lane = self.short_lane(serving)
        return sorted(
            self.judge.good(workers),
            key=lambda each: (
                self.load(each) + self.random.random() * 0.3 + OTHER_LANE * (each.name not in lane)
            ),
        )

    def costs(self, request, workers, salts, serving) -> list[PlacementCost]:
        """What a long call would cost at each worker that may be asked, the cheapest first."""
        lane = self.short_lane(serving) if len(serving) > 2 else ()
        good = self.judge.good(workers)
        places = self._ring_places(request, good, lane)
        now_s = asyncio.get_running_loop().time()
        costs = []
        for worker in good:
            own, again, moved = self.missing(request, worker, salts[worker.name])
            place = min(places.get(worker.name, 2), 3)
            costs.append(
                PlacementCost(
                    worker=worker,
                    unread=worker.unread(now_s, self.tokens_per_ms),
                    own=own,
                    again=again * AGAIN,
                    moved=moved * MOVED,
                    elsewhere=place * PLACE_TOKENS
                    + (OTHER_LANE_TOKENS if worker.name in lane else 0),
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

    def missing(self, request, worker, salt):
        """(Tokens of its own, shared ones that nobody else keeps, shared ones that could be moved) that a worker lacks."""
        shared = request.shared()
        size = sum(part.tokens for part in shared)
        lacks = size - self.kept.tokens(worker.name, salt, shared, True)
        elsewhere = max(
            (self.kept.tokens(name, salt, shared) for name in self.kept.holders(salt, shared)),
            default=0,
        )
        moved = min(lacks, max(0, elsewhere - (size - lacks)))
        return max(0, request.prompt_tokens - size), lacks - moved, moved

    def source(self, request, worker, salt, worker_registry, store):
        """The address to fetch a long prompt's shared parts from, empty where the worker keeps them or nobody does."""
        shared = request.shared()
        if not shared or not self.is_long(request):
            return ""
        here = self.kept.tokens(worker.name, salt, shared)
        size = sum(part.tokens for part in shared)
        if here >= 0.9 * size:
            return ""
        best, most = "", here
        for name in self.kept.holders(salt, shared):
            held = self.kept.tokens(name, salt, shared)
            peer = worker_registry.workers.get(name)
            is_up = peer is not None and peer.shunned_until_s <= asyncio.get_running_loop().time()
            addr = (
                peer.listed.addr
                if is_up and name != worker.name
                else store
                if name == store
                else ""
            )
            is_near = peer is not None and peer.listed.zone == worker.listed.zone
            if addr and (held > most or held == most and is_near):
                best, most = addr, held
        return best

    def target(self, request, salt, store):
        """The store, where it isn't known to keep the shared parts yet."""
        shared = request.shared()
        if (
            not store
            or self.kept.is_down(store, asyncio.get_running_loop().time())
            or not shared
            or not self.is_long(request)
        ):
            return ""
        is_there = self.kept.tokens(store, salt, shared) >= 0.9 * sum(
            part.tokens for part in shared
        )
        return "" if is_there else store

"""How the cap, the ring and the warmth of caches shape the work of the workers."""

import contextlib
import random
from unittest import mock

import attrs

from swiftdeck.bench.measures.figures import share
from swiftdeck.bench.thrash import Thrash
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.traffic.ring import Ring

THRASH_SIZES = ((32, 1000), (32, 16), (32, 20), (48, 12), (48, 16), (48, 20), (48, 24))
"""Pairs of agents and cap."""
THRASH_S = 900.0
RING_KEYS, RING_WORKERS, RING_PLACES = 20000, (6, 9), (1, 16, 128)
SMALL_CACHE_TOKENS = 13000
WARM_S, WARM_ENDS_S = 90.0, 30
SHORT_EVERY_S = 0.8


def thrash(seed):
    """Yield one row for each cap: progress, hits, computed tokens, fairness over agents."""
    for agents, cap in THRASH_SIZES:
        yield {"agents": agents} | Thrash(cap, seed, agents, THRASH_S).run()
    yield {"agents": 32} | Thrash(32, seed, 32, THRASH_S, adapts=True).run()


def ring(seed):
    """Yield shares and moves of keys when a worker comes or goes, against the ideal."""
    keys = [f"{seed}/{number}".encode() for number in range(RING_KEYS)]
    for workers in RING_WORKERS:
        for places in RING_PLACES:
            yield _ring_row(keys, workers, places)


def _ring_row(keys, workers, places):
    names = [f"worker{number}" for number in range(workers)]
    full, less = Ring(names, places), Ring(names[1:], places)
    before = [next(full.walk(key)) for key in keys]
    after = [next(less.walk(key)) for key in keys]
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    fullest = max(before.count(name) for name in names)
    return {
        "workers": workers,
        "places": places,
        "moved": round(moved / len(keys), 4),
        "ideal": round(1 / workers, 4),
        "fullestShare": round(fullest / len(keys) * workers, 3),
    }


def warm(seed):
    """Yield what the traffic of each site costs, placed by warmth and without it.

    The caches are small: they hold the shared texts and little more.
    """
    for site in ("hinokuni", "serraria"):
        yield {"site": site, "placed": "by warmth"} | _warmth(seed, site)
        with _without_regard(seed):
            yield {"site": site, "placed": "without regard"} | _warmth(seed, site)


@contextlib.contextmanager
def _without_regard(seed):
    """Place conversations in any order, as if nothing was known of the caches."""
    order = random.Random(seed)

    def walk(self, key):
        yield from order.sample(self.workers, len(self.workers))

    with (
        mock.patch("swiftdeck.traffic.index.PrefixIndex.depth", lambda self, worker, chain: 0),
        mock.patch("swiftdeck.traffic.ring.Ring.walk", walk),
    ):
        yield


def _warmth(seed, site):
    cluster = SimCluster(seed, site, routers=9, workers=None, speed=0.5).start(cap=6, fetches=False)
    for worker in cluster.site.workers:
        cluster.up[worker["name"]].cache.room = SMALL_CACHE_TOKENS
    agents = {tenant: int(at < 2) for at, tenant in enumerate(cluster.site.keys)}
    start_ms = cluster.world.now * 1000
    cluster.spawn(lambda: cluster.caller.run(WARM_S, agents, SHORT_EVERY_S))
    cluster.world.run(WARM_S + WARM_ENDS_S)
    return _warmth_row(_Runs.read(cluster.records, start_ms))


def _warmth_row(runs):
    shared = [prefill["hitParts"] >= 1 for prefill in runs.prefills if not runs.turn(prefill)]
    later = [
        prefill["hitParts"] >= prefill["parts"] - 2
        for prefill in runs.prefills
        if runs.turn(prefill)
    ]
    checks = sum(run["route"] == "check" for run in runs.by_name.values())
    computed = sum(prefill["newTokens"] for prefill in runs.prefills)
    return {
        "checks": checks,
        "shorts": len(runs.by_name) - checks,
        "sharedTextHits": share(shared),
        "laterTurnHits": share(later),
        "computedTokensPerCall": round(computed / max(1, len(runs.prefills))),
    }


@attrs.frozen
class _Runs:
    """What the workers recorded of their runs, and which turn of a conversation each one was.

    `by_name` has the records of runs by their name, `prefills` those of their prefills, and
    `turns` the turn of each call of a conversation by its marker.
    """

    by_name: dict
    prefills: list
    turns: dict

    @classmethod
    def read(cls, records, start_ms):
        """Take the runs that began after a time out of the records."""
        by_name = {
            item["run"]: item
            for item in records
            if item["kind"] == "run" and item["atMs"] > start_ms
        }
        prefills = [
            item for item in records if item["kind"] == "prefill" and item["run"] in by_name
        ]
        turns = {
            item["marker"]: item["turn"]
            for item in records
            if item["kind"] == "try" and item.get("talk")
        }
        return cls(by_name, prefills, turns)

    def turn(self, prefill) -> int:
        """Return which turn of its conversation a prefill was for, 0 for the first.

        Short calls have no conversation and give 0 too.
        """
        return self.turns.get(self.by_name[prefill["run"]]["marker"], 0)

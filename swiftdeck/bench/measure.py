"""Measurements of the design in virtual time; each gives figures that its command repeats."""

import contextlib
import random
import statistics
import time
import tracemalloc
from unittest import mock

import msgspec

from swiftdeck.bench.thrash import Thrash
from swiftdeck.chain.state import CLAIM, FINISH, ChainState
from swiftdeck.disk.journal import Journal
from swiftdeck.sim.town import Town
from swiftdeck.traffic.ring import Ring


def spread(values):
    """Least, median and most."""
    values = sorted(values)
    return (
        [round(values[0], 3), round(statistics.median(values), 3), round(values[-1], 3)]
        if values
        else []
    )


def thrash(seed):
    """One row for each cap: progress, hits, computed tokens, fairness over agents."""
    for agents, cap in ((32, 1000), (32, 16), (32, 20), (48, 12), (48, 16), (48, 20), (48, 24)):
        yield {"agents": agents} | Thrash(cap, seed, agents, 900.0).run()
    yield {"agents": 32} | Thrash(32, seed, 32, 900.0, adapts=True).run()


def ring(seed):
    """Shares and moves of 20,000 keys when a worker comes or goes, against the ideal."""
    keys = [f"{seed}/{number}".encode() for number in range(20000)]
    for count in (6, 9):
        for places in (1, 16, 128):
            names = [f"worker{number}" for number in range(count)]
            full, less = Ring(names, places), Ring(names[1:], places)
            before = [next(full.walk(key)) for key in keys]
            moved = sum(old != next(less.walk(key)) for old, key in zip(before, keys, strict=False))
            most = max(before.count(name) for name in names) / len(keys) * count
            yield {
                "workers": count,
                "places": places,
                "moved": round(moved / len(keys), 4),
                "ideal": round(1 / count, 4),
                "fullestShare": round(most, 3),
            }


def failover(seed):
    """Simulated seconds from a kill to the next call served and the next change acknowledged."""
    for victim in ("keeper", "head", "middle", "tail", "worker", "router"):
        town = Town(seed, routers=9, workers=6).start(cap=8)
        town.world.run(12)
        town.call("saga", "tag", ["a", "b"])
        position = {"head": 0, "middle": 1, "tail": 2}.get(victim)
        name = (
            town.keeper()
            if victim == "keeper"
            else "worker1"
            if victim == "worker"
            else next(each for each in town.router_names() if each != town.keeper())
            if victim == "router"
            else next(
                each for each in town.core_names() if town.up[each].agreement.position() == position
            )
        )
        town.world.kill(name)
        town.caller.doors = [town.addresses[each]["http"] for each in town.router_names()]
        start_s = town.world.now
        while not town.call(
            "saga",
            "check",
            ["a", f"{town.world.now}"],
            idempotency=f"k{town.world.now}",
            is_last=True,
        )["whole"]:
            town.world.run(0.1)
        served_s, base = town.world.now - start_s, town.version
        for _ in range(8):
            got = town.change(
                "PATCH", {"models": {"screener": {"cap": 9}}}, base, change_id="after"
            )
            if got and got[0] == 200:
                break
        yield {
            "killed": victim,
            "onceOnlyCallS": round(served_s, 2),
            "changeS": round(town.world.now - start_s, 2),
        }


def acks(seed):
    """Simulated milliseconds to acknowledge a change, by routers and by routes already there."""
    for routers in (3, 9, 18):
        for routes in (0, 1000, 5000):
            town = Town(seed, routers=routers, workers=1).start()
            if routes:
                town.change(
                    "PATCH",
                    {"routes": {f"r{number}": {"model": "screener"} for number in range(routes)}},
                )
            took = []
            for number in range(5):
                start_s = town.world.now
                town.change("PATCH", {"models": {"screener": {"cap": number + 1}}})
                took.append((town.world.now - start_s) * 1000)
            yield {"routers": routers, "routes": routes, "ackMs": spread(took)}


def fetch(seed):
    """Simulated milliseconds of the first turn after a move of a 100,000-token conversation."""
    for how in ("recompute", "peer", "store", "slow peer"):
        town = Town(seed, routers=2, workers=2, speed=1.0).start(
            cap=8, idleMs=60000, fetches=how != "recompute"
        )
        first = town.call("saga", "check", ["long " * 80000, "mine"], is_last=False)
        town.world.run(2)
        if how == "store":
            town.world.kill(first["worker"])
        if how == "slow peer":
            town.up[first["worker"]].link_s = 30.0

        platform = town.up["platform"]
        leave = platform.remove if how == "store" else platform.drain

        async def take_away(leave=leave, worker=first["worker"]):
            leave(worker)

        town.world.do("platform", take_away)
        town.world.run(2)
        start_s = town.world.now
        moved = town.call("saga", "check", [*first["parts"], "said", "next"], max_tokens=16)
        yield {
            "from": how,
            "turnMs": int((town.world.now - start_s) * 1000),
            "hitParts": moved.get("usage", {}).get("hitParts"),
            "whole": moved["whole"],
        }


def outage(seed):
    """Attempts for each call while every worker dies midway, on a repeatable route."""
    town = Town(seed, routers=3, workers=3).start(cap=50)
    town.world.run(11)
    for worker in town.site.workers:
        town.up[worker["name"]].quirk = "die midway"
    box = []
    for number in range(200):
        box.append(
            town.spawn(
                lambda number=number: town.caller.call(
                    "oita", "tag", ["book", str(number)], stream=False
                )
            )
        )
        town.world.run(0.1)
    town.world.run(until=lambda: all(box), limit_s=60)
    runs = sum(item["kind"] == "run" for item in town.records)
    yield {"calls": 200, "runs": runs, "amplification": round(runs / 200, 3)}


def warm(seed):
    """The traffic of each site on small caches, placed by warmth and without it.

    The caches hold the shared texts and little more.
    """
    for site in ("hinokuni", "serraria"):
        for how in ("by warmth", "without regard"):
            with contextlib.ExitStack() as stack:
                if how == "without regard":
                    stack.enter_context(
                        mock.patch(
                            "swiftdeck.traffic.index.PrefixIndex.depth",
                            lambda self, worker, chain: 0,
                        )
                    )
                    stack.enter_context(
                        mock.patch("swiftdeck.traffic.ring.Ring.walk", _any_order(seed))
                    )
                yield {"site": site, "placed": how} | _warmth(seed, site)


def day(seed):
    """A day of once-only calls, one a second, in a core.

    Gives memory, the whole state, what is written, and the longest rewrite.
    """
    for per_s in (0.1, 1.0, 2.0):
        tracemalloc.start()
        state, log, written, rewrites, longest_ms, limit = ChainState(), 0, 0, 0, 0.0, 1 << 20
        rng = random.Random(seed)
        for number in range(int(86400 * per_s * 1.1)):
            key, run = (
                f"tenant{number % 8}:{rng.getrandbits(128):032x}",
                f"{rng.getrandbits(80):020x}",
            )
            for op in (CLAIM, FINISH):
                entry = state.examine(
                    {
                        "t": "claims",
                        "id": f"batch/router{number % 9}/{rng.getrandbits(64):x}",
                        "ops": [[key, run, f"{rng.getrandbits(128):032x}", op]],
                    }
                )
                entry["elapsedMs"] = int(500 / per_s)
                size = len(
                    Journal.frame({"k": "e", "n": number, "b": msgspec.msgpack.encode(entry)})
                )
                state.apply(entry)
                log, written = log + size, written + size
                if log > limit:
                    start_s = time.perf_counter()
                    data = state.to_bytes()
                    longest_ms = max(longest_ms, (time.perf_counter() - start_s) * 1000)
                    log, written, rewrites, limit = (
                        len(data),
                        written + len(data),
                        rewrites + 1,
                        max(1 << 20, 4 * len(data)),
                    )
        yield {
            "callsPerS": per_s,
            "claims": len(state.stored.claims),
            "stateMB": round(len(state.to_bytes()) / 1e6, 1),
            "memoryMB": round(tracemalloc.get_traced_memory()[0] / 1e6, 1),
            "logMostMB": round(limit / 1e6, 1),
            "writtenMB": round(written / 1e6),
            "rewrites": rewrites,
            "longestEncodeMs": round(longest_ms),
        }
        tracemalloc.stop()


def _any_order(seed):
    order = random.Random(seed)

    def walk(self, key):
        yield from order.sample(self.workers, len(self.workers))

    return walk


def _warmth(seed, site, seconds=90.0):
    town = Town(seed, site, routers=9, workers=None, speed=0.5).start(cap=6, fetches=False)
    for worker in town.site.workers:
        town.up[worker["name"]].cache.room = 13000
    tenants = list(town.site.keys)
    start_ms = town.world.now * 1000
    town.spawn(
        lambda: town.caller.run(
            seconds, {name: int(at < 2) for at, name in enumerate(tenants)}, 0.8
        )
    )
    town.world.run(seconds + 30)
    runs = {
        item["run"]: item
        for item in town.records
        if item["kind"] == "run" and item["atMs"] > start_ms
    }
    turns = {
        item["marker"]: item["turn"]
        for item in town.records
        if item["kind"] == "try" and item.get("talk")
    }
    prefills = [
        (runs[item["run"]], item)
        for item in town.records
        if item["kind"] == "prefill" and item["run"] in runs
    ]
    shared = [item["hitParts"] >= 1 for run, item in prefills if not turns.get(run["marker"])]
    later = [
        item["hitParts"] >= item["parts"] - 2 for run, item in prefills if turns.get(run["marker"])
    ]
    checks = sum(run["route"] == "check" for run in runs.values())
    return {
        "checks": checks,
        "shorts": len(runs) - checks,
        "sharedTextHits": round(sum(shared) / max(1, len(shared)), 3),
        "laterTurnHits": round(sum(later) / max(1, len(later)), 3),
        "computedTokensPerCall": round(
            sum(item["newTokens"] for _, item in prefills) / max(1, len(prefills))
        ),
    }


MEASURES = {
    each.__name__: each for each in (thrash, ring, failover, acks, fetch, outage, warm, day)
}

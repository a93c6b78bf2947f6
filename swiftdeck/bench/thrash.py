"""Cache thrash on our own stand-in: growing conversations, with and without a cap."""

import asyncio
import itertools
import random
from collections import Counter

import attrs

from swiftdeck.sim.sim_cluster import SimCluster

ROOM_TOKENS = 1_650_000
SCALE = 50
"""Tokens of a character: prompts are written as short as that."""
FIRST_TOKENS, LONGEST_TOKENS, MEAN_TOKENS = 25000, 10475, 4600
NO_PAUSE_SHARE, MEAN_PAUSE_S, LONGEST_PAUSE_S = 0.386, 1.9, 7.5
LEAST_TURNS, MEAN_TURNS, SPREAD_OF_TURNS = 4, 23, 6
TRY_AGAIN_S = 2.0
FOREVER_MS = 3600000
"""Longer than a run, so that the bounds of a call end nothing."""


@attrs.frozen
class Turn:
    """One call of a conversation: its door, what is said after it, and the pause until the next."""

    door: str
    said_chars: int
    pause_s: float


def plan_turns(rng, doors) -> list[Turn]:
    """Return the turns of a conversation, drawn by the paper's figures."""
    count = max(LEAST_TURNS, int(rng.gauss(MEAN_TURNS, SPREAD_OF_TURNS)))
    return [_plan_turn(rng, doors) for _ in range(count)]


def _plan_turn(rng, doors) -> Turn:
    door = rng.choice(doors)
    tokens = min(LONGEST_TOKENS, rng.expovariate(1 / MEAN_TOKENS))
    has_pause = rng.random() >= NO_PAUSE_SHARE
    pause_s = min(LONGEST_PAUSE_S, rng.expovariate(1 / MEAN_PAUSE_S)) if has_pause else 0.0
    return Turn(door, int(tokens / SCALE), pause_s)


def jain(counts) -> float:
    """Return Jain's index of fairness: 1 when all counts are equal, 0 when all are zero."""
    total = sum(counts)
    if not total:
        return 0.0
    return total * total / (len(counts) * sum(count * count for count in counts))


class Thrash:
    """Many agents on one worker whose cache holds about twenty conversations of that size."""

    def __init__(
        self, cap, seed, agents=32, seconds=1800.0, room=ROOM_TOKENS, adapts=False, routers=2
    ):
        self.cap, self.seed, self.agents, self.seconds = cap, seed, agents, seconds
        self.cluster = SimCluster(seed, routers=routers, workers=1, speed=1.0)
        self.room, self.adapts = room, adapts
        self.finished = Counter()

    async def _agent(self, tenant, number):
        """Hold conversations one after another; they depend on the seed and the agent alone."""
        caller, rng = self.cluster.caller, random.Random(f"{self.seed}/{number}")
        for conversation in itertools.count(1):
            parts = [f"case {number} {conversation}" + "x" * (FIRST_TOKENS // SCALE)]
            turns = plan_turns(rng, caller.doors)
            for turn in turns:
                returned = await self._call(tenant, parts, turn.door, turn is turns[-1])
                parts = [*returned["parts"], "y" * turn.said_chars]
                await asyncio.sleep(turn.pause_s)
            self.finished[number] += 1

    async def _call(self, tenant, parts, door, is_last):
        """Call until the return is whole."""
        while True:
            returned = await self.cluster.caller.call(
                tenant,
                "check",
                parts,
                max_tokens=144,
                timeout_s=4000,
                is_last=is_last,
                door=door,
            )
            if returned["whole"]:
                return returned
            await asyncio.sleep(TRY_AGAIN_S)

    def run(self) -> dict:
        """Make one run and return its figures."""
        self._start()
        cluster, worker = self.cluster, self.cluster.up["worker1"]
        start_s, computed = cluster.world.now, worker.computed
        cluster.world.run(self.seconds)
        hits = self._hits(start_s)
        whole = sum(item["kind"] == "return" and item["whole"] for item in cluster.records)
        counts = [self.finished[number] for number in range(self.agents)]
        return {
            "cap": self.cap,
            "adapts": self.adapts,
            "finished": sum(counts),
            "requestsPerS": round(whole / self.seconds, 3),
            "hits": round(sum(hits) / max(1, len(hits)), 4),
            "fairness": round(jain(counts), 3),
            "computedPerMin": int((worker.computed - computed) / self.seconds * 60),
        }

    def _start(self):
        """Start the site and its agents."""
        cluster = self.cluster
        cluster.start(cap=self.cap, idleMs=60000, pauseMs=60000, adapts=self.adapts)
        cluster.up["worker1"].cache.room, cluster.up["worker1"].tokens_per_char = self.room, SCALE
        bounds = ("waitMs", "horizonMs", "firstPieceMs", "pieceMs")
        cluster.change("PATCH", {"routes": {"check": dict.fromkeys(bounds, FOREVER_MS)}})
        tenants = list(cluster.site.keys)
        for number in range(self.agents):
            tenant = tenants[number % len(tenants)]
            cluster.spawn(lambda tenant=tenant, number=number: self._agent(tenant, number))

    def _hits(self, start_s):
        """Return for each later call of a conversation whether its earlier prompt was kept."""
        return [
            item["hitParts"] >= item["parts"] - 1
            for item in self.cluster.records
            if item["kind"] == "prefill" and item["parts"] > 1 and item["atMs"] > start_s * 1000
        ]

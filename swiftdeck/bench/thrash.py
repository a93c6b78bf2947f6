"""Cache thrash on our own stand-in: growing conversations, with and without a cap."""

import asyncio
import random

import attrs

from swiftdeck.sim.town import Town

ROOM_TOKENS, SCALE = 1_650_000, 50


@attrs.frozen
class Turn:
    """One call of a conversation: its door, what is said after it, and the pause until the next."""

    door: str
    said_chars: int
    pause_s: float


def plan_turns(rng, doors) -> list[Turn]:
    """A conversation by the paper's figures."""
    return [
        Turn(
            rng.choice(doors),
            int(min(10475, rng.expovariate(1 / 4600)) / SCALE),
            0.0 if rng.random() < 0.386 else min(7.5, rng.expovariate(1 / 1.9)),
        )
        for _ in range(max(4, int(rng.gauss(23, 6))))
    ]


def jain(counts) -> float:
    """Jain's index of fairness."""
    total = sum(counts)
    return total * total / (len(counts) * sum(each * each for each in counts)) if total else 0.0


class Thrash:
    """Many agents on one worker whose cache holds about twenty conversations of that size."""

    def __init__(
        self, cap, seed, agents=32, seconds=1800.0, room=ROOM_TOKENS, adapts=False, routers=2
    ):
        self.cap, self.seed, self.agents, self.seconds = cap, seed, agents, seconds
        self.town = Town(seed, routers=routers, workers=1, speed=1.0)
        self.room, self.adapts = room, adapts
        self.finished = {}

    async def _agent(self, tenant, number):
        """Conversations one after another; they depend on the seed and the agent alone."""
        caller, rng, begun = self.town.caller, random.Random(f"{self.seed}/{number}"), 0
        while True:
            begun += 1
            parts, turns = (
                [f"case {number} {begun}" + "x" * (25000 // SCALE)],
                plan_turns(rng, caller.doors),
            )
            for at, turn in enumerate(turns):
                while not (
                    got := await caller.call(
                        tenant,
                        "check",
                        parts,
                        max_tokens=144,
                        timeout_s=4000,
                        is_last=at == len(turns) - 1,
                        door=turn.door,
                    )
                )["whole"]:
                    await asyncio.sleep(2.0)
                parts = [*got["parts"], "y" * turn.said_chars]
                await asyncio.sleep(turn.pause_s)
            self.finished[(tenant, number)] = self.finished.get((tenant, number), 0) + 1

    def run(self) -> dict:
        """Figures of one run."""
        town = self.town
        town.start(cap=self.cap, idleMs=60000, pauseMs=60000, adapts=self.adapts)
        town.up["worker1"].cache.room, town.up["worker1"].tokens_per_char = self.room, SCALE
        town.change(
            "PATCH",
            {
                "routes": {
                    "check": {
                        "waitMs": 3600000,
                        "horizonMs": 3600000,
                        "firstPieceMs": 3600000,
                        "pieceMs": 3600000,
                    }
                }
            },
        )
        tenants = list(town.site.keys)
        for number in range(self.agents):
            town.spawn(lambda number=number: self._agent(tenants[number % 8], number))
        start_s, computed = town.world.now, town.up["worker1"].computed
        town.world.run(self.seconds)
        turns = self._turns(start_s)
        back = [item for item in town.records if item["kind"] == "return" and item["whole"]]
        counts = [
            self.finished.get((tenants[number % 8], number), 0) for number in range(self.agents)
        ]
        return {
            "cap": self.cap,
            "adapts": self.adapts,
            "finished": sum(counts),
            "requestsPerS": round(len(back) / self.seconds, 3),
            "hits": round(sum(turns) / max(1, len(turns)), 4),
            "fairness": round(jain(counts), 3),
            "computedPerMin": int((town.up["worker1"].computed - computed) / self.seconds * 60),
        }

    def _turns(self, start_s):
        """For each call after a conversation's first, whether its whole earlier prompt was kept."""
        return [
            item["hitParts"] >= item["parts"] - 1
            for item in self.town.records
            if item["kind"] == "prefill" and item["parts"] > 1 and item["atMs"] > start_s * 1000
        ]

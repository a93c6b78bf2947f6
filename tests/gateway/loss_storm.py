"""Losses that overlap, cores cut into halves, and closing faults: `python -m tests.gateway.loss_storm FIRST LAST CORES [LATE_SHARE]`.

No more disks are lost at once than the cores have to bear; all else may come together. Operators race all the while, every core
is read, new weights are named, and a part of the strikes comes right after an acknowledgement.
"""

import asyncio
import sys

from swiftdeck.bench.platform_api.checker import check
from tests.gateway.loss_cluster import LossCluster
from tests.gateway.orders import TAKEN
from tests.gateway.platform_cluster import BOUNDS, MODEL

CATCH_UP_S = {3: 4.0, 5: 6.0}
TORN_BYTES = (0, 3, 40, 600)
STRIKES = (
    "kill",
    "power",
    "wipe",
    "split",
    "split",
    "cut",
    "mute",
    "freeze",
    "stall",
    "slow",
    "full",
    "leave",
    "outage",
    "closing",
)
OPERATORS, ORDER_S, NAME_EVERY_S = 3, 25.0, 4.0


class LossStorm:
    """One storm of a seed; what it broke is found after all has come back."""

    def __init__(self, seed, cores=3, seconds=25.0, mean_s=2.0, late_share=0.0):
        cluster = self.cluster = LossCluster(seed, cores, routers=2).start()
        cluster.late.share = late_share
        self.rng, self.mean_s, self.end_s = cluster.rng(), mean_s, cluster.world.now + seconds
        self.healing, self.calm_since_s, self.empty = 0, 0.0, set()
        self.number, self.acknowledged, self.named, self.log = 3, 0, 1, []
        self.tasks = [cluster.beside(self._operates) for _ in range(OPERATORS)]
        self.tasks.append(cluster.beside(self._names))
        self._strike_later()
        cluster.world.run(seconds)
        cluster.late.share = 0.0
        cluster.world.run(until=lambda: not self.healing, limit_s=30)
        cluster.world.run(until=lambda: all(each.done() for each in self.tasks), limit_s=60)

    def _has_end(self):
        return self.cluster.world.now >= self.end_s

    async def _operates(self):
        """An operator that reads, changes what it read, and waits for a clear answer."""
        cluster, known = self.cluster, 3
        while not self._has_end():
            shown = await cluster.reading(self.rng.choice(self._cores()))
            known = known if shown is None else shown
            self.number = max(self.number, known) + self.rng.randint(1, 3)
            order = cluster.patch(self.number, known)
            if await cluster.insisting(order, ORDER_S) == TAKEN:
                known, self.acknowledged = order.number, self.acknowledged + 1
                if self.rng.random() < 0.1 and not self._has_end():
                    cluster.world.call_after(self.rng.uniform(0, 0.003), self._strike)
            await asyncio.sleep(self.rng.uniform(0, 0.5))

    async def _names(self):
        """New weights are named now and then."""
        while not self._has_end():
            if 200 <= await self.cluster.operator.name(MODEL, self.named + 1) < 300:
                self.named += 1
            await asyncio.sleep(NAME_EVERY_S)

    def _cores(self):
        return [name for name in self.cluster.machines if name.startswith("core")]

    def _running(self):
        loops = self.cluster.world.loops
        return [name for name in self._cores() if name in loops and not loops[name].frozen]

    def _strike_later(self):
        self.cluster.world.call_after(self.rng.expovariate(1 / self.mean_s), self._strike_in_turn)

    def _strike_in_turn(self):
        if not self._has_end():
            self._strike()
            self._strike_later()

    def _strike(self):
        kind, running = self.rng.choice(STRIKES), self._running()
        if running and not self._has_end():
            name, for_s = self.rng.choice(running), self.rng.uniform(0.3, 5)
            self.log.append((round(self.cluster.world.now, 3), kind, name, round(for_s, 2)))
            getattr(self, f"on_{kind}")(name, for_s)

    def _later(self, for_s, work):
        self.healing += 1

        def act():
            self.healing -= 1
            self.calm_since_s = self.cluster.world.now
            work()

        self.cluster.world.call_after(for_s, act)

    def _may_wipe(self, names):
        """Whether no more disks are lost at once: one is lost until all was calm for as long as a core takes to catch up."""
        now_s = self.cluster.world.now
        if not self.healing and now_s > self.calm_since_s + CATCH_UP_S[len(self._cores())]:
            self.empty.clear()
        if len(self.empty | set(names)) > self.cluster.tolerate:
            return False
        self.empty |= set(names)
        return True

    def _lose(self, name, for_s, wiped=False):
        if name in self.cluster.world.loops:
            self.cluster.lose(name, wiped, self.rng.choice(TORN_BYTES))
            self._later(for_s, lambda: self.cluster.back(name))

    def on_kill(self, name, for_s):
        self.cluster.kill(name)
        self._later(for_s, lambda: self.cluster.back(name))

    def on_power(self, name, for_s):
        self._lose(name, for_s)

    def on_wipe(self, name, for_s):
        if self._may_wipe([name]):
            self._lose(name, for_s, wiped=True)

    def on_split(self, name, for_s):
        cores = self._cores()
        at = cores.index(name)
        pairs = self.cluster.split((cores[at:] + cores[:at])[: len(cores) // 2])
        self._later(for_s, lambda: self.cluster.world.net.heal(pairs))

    def on_cut(self, name, for_s):
        pairs = self.cluster.cut(name, "core", self.rng.choice(("both", "in", "out")))
        self._later(for_s, lambda: self.cluster.world.net.heal(pairs))

    def on_mute(self, name, for_s):
        pairs = self.cluster.cut(name, "all", "out")
        self._later(for_s, lambda: self.cluster.world.net.heal(pairs))

    def on_freeze(self, name, for_s):
        loop = self.cluster.world.loops[name]
        self.cluster.trouble(name, lambda: self.cluster.world.freeze(name), for_s)
        self._later(for_s, lambda: loop.dead or self.cluster.world.thaw(name))

    def _disk(self, name, for_s, field, value):
        folder = self.cluster.folders[name]
        before = type(folder)()
        setattr(folder, field, value)
        self._later(for_s, lambda: setattr(folder, field, getattr(before, field)))

    def on_stall(self, name, for_s):
        self._disk(name, for_s, "stall_s", for_s)

    def on_slow(self, name, for_s):
        self._disk(name, for_s, "stall_s", 0.2)

    def on_full(self, name, for_s):
        self._disk(name, for_s, "full", True)

    def on_leave(self, name, for_s):
        if self.cluster.up[name].mesh.server is None:
            return
        task = self.cluster.beside(self.cluster.up[name].stop, name)
        loop = self.cluster.world.loops[name]
        task.add_done_callback(lambda _: self.cluster.world.call_after(0, lambda: self._left(loop)))
        self._later(BOUNDS["grace_s"], lambda: self._left(loop))
        self._later(BOUNDS["grace_s"] + for_s, lambda: self.cluster.back(name))

    def _left(self, loop):
        if not loop.dead:
            self.cluster.kill(loop.name)

    def on_outage(self, name, for_s):
        for each in self._cores():
            self._lose(each, self.rng.uniform(0.2, for_s))

    def on_closing(self, name, for_s):
        """As many disks as may be lost, and the power of all others, routers too."""
        wiped = self.rng.sample(self._cores(), self.cluster.tolerate)
        if not self._may_wipe(wiped):
            return
        for each in self._cores():
            self._lose(each, for_s, each in wiped)
        for each in self.cluster.routers():
            self.cluster.lose(each)
            self._later(for_s, lambda each=each: self.cluster.back(each))

    def found(self):
        """What is wrong when all is back."""
        cluster = self.cluster
        found = [f"an operator has no end: {each}" for each in self.tasks if not each.done()]
        found += cluster.found()
        tail = cluster.up[cluster.member(-1)].chain
        model = tail.state.config.document.models.get(MODEL)
        weights = int(model.weights) if model else 0
        if weights < self.named:
            found.append(f"weights {self.named} acknowledged, {weights} in force")
        one = check(cluster.records, cluster.bounds()).get("ONE", [])
        return found + [f"ONE: {each}" for each in one]


def main() -> int:
    """Play storms and print what they broke."""
    first, last, cores = (int(each) for each in sys.argv[1:4])
    late_share = float(sys.argv[4]) if len(sys.argv) > 4 else 0.0
    failed = 0
    for seed in range(first, last + 1):
        storm = LossStorm(seed, cores, late_share=late_share)
        found = storm.found()
        failed += bool(found)
        reads = len(storm.cluster.reads)
        print(seed, storm.acknowledged, reads, storm.named, len(storm.log), *found, flush=True)
        if found:
            print("   ", storm.log, flush=True)
    print(f"{last - first + 1} storms, {failed} failed", flush=True)
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())

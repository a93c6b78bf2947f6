"""A site whose cores are lost and cut apart beyond what may be lost at once, with orders and reads at every core."""

import asyncio

from tests.gateway.core_cluster import SEEDS
from tests.gateway.orders import FINAL, OrderCluster

READ_EVERY_S, RECOVERY_S = 0.25, 12.0


class LossCluster(OrderCluster):
    """Cores lose power, disks and links; every core is read all the while, also the cut-off ones."""

    def __init__(self, seed=1, cores=3, routers=1):
        super().__init__(seed, cores, routers)
        self.tolerate = (cores - 1) // 2
        self.seeds = [self.machines[f"core{at}"] for at in range(1, SEEDS + 1)]
        self.newest, self.reading_on = 3, []

    def start(self):
        """Start everything, let the cores settle, and read at all of them from then on."""
        super().start()
        self.settle()
        names = [name for name in self.machines if name.startswith("core")]
        self.reading_on = [self.beside(lambda name=name: self._reads(name)) for name in names]
        return self

    async def _reads(self, name):
        while True:
            await self.reading(name)
            await asyncio.sleep(READ_EVERY_S)

    def lose(self, name, wiped=False, torn=0):
        """A machine loses power, and its disk if told so."""
        self.trouble(name, lambda: self.world.kill(name, silent=True), 1e6)
        if name in self.folders:
            self.folders[name].lose_power(torn=torn)
            if wiped:
                self.folders[name].wipe()

    def back(self, *names):
        """Machines start again on what their disks have."""
        for name in names:
            if name not in self.world.loops:
                (self.start_core if name.startswith("core") else self.start_router)(name)

    def split(self, side):
        """Cut the cores into those of a side and the others; gives the pairs."""
        cores = {name: ip for name, ip in self.machines.items() if name.startswith("core")}
        rest = [ip for name, ip in cores.items() if name not in side]
        return self.world.net.cut([cores[name] for name in side], rest)

    def change(self, limit_s=15.0):
        """One order on the newest number that was acknowledged; gives its status."""
        order = self.patch(self.newest + 2, self.newest)
        task = self.beside(lambda: self.insisting(order, limit_s))
        self.world.run(until=task.done, limit_s=limit_s + 5)
        status = task.result() if task.done() else 0
        self.newest = self.newest + 2 if status == 200 else self.newest
        return status

    def found(self):
        """What is wrong, judged once all machines are back and linked; ends the reads."""
        self.world.net.heal()
        self.back(*self.machines)
        found = []
        if not self.world.run(until=self.is_settled, limit_s=RECOVERY_S):
            found.append(f"not settled {RECOVERY_S:g} s after all is back: {self.told()}")
        for each in self.reading_on:
            each.cancel()
        found += [f"last change: {status}" for status in [self.change()] if status not in FINAL]
        self.world.run(0.5)
        found += self.wrong()
        chains = [self.up[name].chain for name in self.cores()]
        if len({chain.state.config.digest() for chain in chains}) > 1:
            found.append(f"cores hold different configurations: {self.told()}")
        return found + [f"process failed: {fault}" for fault in self.world.faults]

"""A site whose cores are replaced, wiped, stopped and restarted while the operator goes on changing."""

import asyncio
import math

from swiftdeck.chain.agreement import ids
from tests.gateway.platform_cluster import BOUNDS, PlatformCluster, document, route

SEEDS, RESTART_S, CATCH_UP_S, GRACE_S = 3, 1.0, {3: 4.0, 5: 6.0}, BOUNDS["grace_s"]


class CoreCluster(PlatformCluster):
    """A small site, with three or five cores, where only the life of the cores matters."""

    def __init__(self, seed=1, cores=3):
        super().__init__(seed, routers=1, cores=cores, models=1, apps=1, tolerate=(cores - 1) // 2)
        self.seeds = [self.machines[f"core{at}"] for at in range(1, SEEDS + 1)]
        self.catch_up_s, self.added, self.changed = CATCH_UP_S[cores], 0, 5

    def start(self):
        super().start()
        self.settle()
        self.operator.doors = self.running_doors
        return self

    def running_doors(self):
        """Addresses of the cores that run, so that no time goes into tries at dead ones."""
        return [f"{self.machines[name]}:8080" for name in self.cores()]

    def member_names(self):
        """The running cores in the order of the newest view that one of them knows."""
        views = [self.up[name].agreement.decided for name in self.cores()]
        newest = max(views, key=lambda view: view.number)
        names = {self.up[name].agreement.core_id: name for name in self.cores()}
        return [names[each] for each in ids(newest.members) if each in names]

    def is_settled(self):
        """Whether all running cores are whole members and as many vote as are to."""
        cores = [self.up[name] for name in self.cores()]
        wanted = {core.agreement.core_id for core in cores}
        return all(
            set(ids(core.agreement.decided.members)) == wanted
            and set(ids(core.agreement.decided.voters)) <= wanted
            and len(core.agreement.decided.voters) == min(2 * self.tolerate + 1, len(cores))
            and core.chain.is_whole()
            and core.agreement.may_serve()
            for core in cores
        )

    def settle(self, limit_s=30):
        """Wait until all running cores are the chain; gives how long that took."""
        begun_s = self.world.now
        self.world.run(0.01)
        assert self.world.run(until=self.is_settled, limit_s=limit_s), self.told()
        return self.world.now - begun_s

    def change(self, limit_s=12.0):
        """Put one route; gives the seconds until it was acknowledged, or infinity."""
        begun_s, self.changed = self.world.now, self.changed + 2
        put = {"routes": [route("r-changed", f"/v{self.changed}/", "app")]}
        task = self.beside(lambda: self.operator.patch(self.changed, put=put))
        self.world.run(until=task.done, limit_s=limit_s)
        is_told = task.done() and task.result() == 200
        return self.world.now - begun_s if is_told else math.inf

    def keep_changing(self, per_s=12):
        """Begin a stream of changes, one after another; `acks` gets the times and seconds of their acknowledgements."""
        self.acks, self.goes_on = [], True

        async def main():
            begun_s = self.world.now
            while self.goes_on:
                sent_s, self.changed = self.world.now, self.changed + 2
                put = {"routes": [route("r-changed", f"/v{self.changed}/", "app")]}
                if await self.operator.patch(self.changed, put=put) == 200:
                    self.acks.append((sent_s, self.world.now - sent_s))
                next_s = begun_s + (len(self.acks) + 1) / per_s
                await asyncio.sleep(max(0.0, next_s - self.world.now))

        self.changing = self.beside(main)

    def stop_changing(self, limit_s=12.0):
        """End the stream of changes once the present one has its answer; gives whether it had one in time."""
        self.goes_on = False
        return self.world.run(until=self.changing.done, limit_s=limit_s)

    def grow(self, routes):
        """Put a configuration with so many routes more."""
        more = [route(f"r-{at}", f"/big{at}/", "app") for at in range(routes)]
        grown = document() | {"routes": document()["routes"] + more}
        self.changed += 2
        assert self.operate(lambda: self.operator.put(grown, self.changed)) == 200

    def acknowledged_version(self):
        """The chain's own number of the newest change that was acknowledged."""
        told = [item for item in self.records if item["kind"] == "told" and item["status"] == 200]
        return len(told)

    def add_core(self):
        """Start an empty core at an address that no core had; gives its name."""
        self.added += 1
        name = f"core{9 - self.added}"
        self.machines[name] = f"10.1.1.{self.added}"
        self.start_core(name)
        return name

    def lose(self, name, wiped=False):
        """A machine loses power, and its disk if told so."""
        self.trouble(name, lambda: self.world.kill(name, silent=True), 1e6)
        self.folders[name].lose_power()
        if wiped:
            self.folders[name].wipe()

    def remove(self, name):
        """A machine is gone for good: the operator's list and the files of settings name it no more."""
        if name in self.world.loops:
            self.lose(name, wiped=True)
        del self.machines[name]

    def terminate(self, *names, back_s=None):
        """SIGTERM, and SIGKILL after the time of grace; back with their disks if told so. Gives how long it took."""
        begun_s = self.world.now
        tasks = [self.beside(self.up[name].stop, name) for name in names]
        self.world.run(until=lambda: all(task.done() for task in tasks), limit_s=GRACE_S)
        for name in names:
            self.kill(name, back_s=back_s)
        return self.world.now - begun_s

    def replace_planned(self, *old):
        """New ones first; once they have had their time, SIGTERM to the old ones, gone then. Gives the new names."""
        names = [self.add_core() for _ in old]
        self.world.run(self.catch_up_s)
        self.terminate(*old)
        for name in old:
            self.remove(name)
        return names

    def replace_lost(self, *old):
        """Machines are gone for good, and empty ones come a second later. Gives the new names."""
        for name in old:
            self.remove(name)
        self.world.run(1.0)
        return [self.add_core() for _ in old]

    def lose_some(self, count, wiped=False):
        """As many of the running cores as may be lost, or fewer, in places that hang on the seed."""
        for name in self.world.random.sample(self.cores(), count):
            self.lose(name, wiped)

    def all_at_once(self, wiped=(), has_power=True):
        """All cores are killed or lose power in the same moment, some lose their disks; all are back after a second."""
        for name in self.cores():
            self.kill(name, back_s=RESTART_S)
            if not has_power:
                self.folders[name].lose_power(torn=self.world.random.choice((0, 3)))
            if name in wiped:
                self.folders[name].wipe()
        self.world.run(RESTART_S + 0.01)

    def exchange_seeds(self):
        """The settings of all name the first cores that there are now."""
        cores = [addr for name, addr in self.machines.items() if name.startswith("core")]
        self.seeds = cores[:SEEDS]
        for name in [*self.cores(), *self.routers()]:
            if name in self.up:
                self.up[name].membership.set_seeds([f"{addr}:7000" for addr in self.seeds])

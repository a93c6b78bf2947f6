"""The last fault of a simulated run, which nobody mends, or an outage that ends by itself."""

from swiftdeck.sim.faults.injector import FaultGroup

ZONES = ["z1", "z2", "z3"]


class ClosingFaults(FaultGroup):
    """Faults after which the site must serve again by itself."""

    def inject(self):
        """Inject one of the closing faults."""
        faults = {
            "kill some": self._kill_some,
            "cut a zone": self._cut_zone,
            "kill all cores": self._kill_all_cores,
            "freeze keeper and tail": self._freeze_keeper_and_tail,
            "cut the core in two": self._cut_core,
            "whole outage": self._kill_all,
            "platform restarts": self._restart_platform,
        }
        name = self.random.choice(list(faults))
        self.injector.log(f"closing: {name}")
        faults[name]()

    def _tail(self):
        """The core where the chain ends."""
        cluster = self.cluster
        return next(
            (name for name in cluster.core_names() if cluster.up[name].chain.is_last()), None
        )

    def _kill_some(self):
        coordinator = self.cluster.coordinator()
        others = [name for name in self.cluster.router_names() if name != coordinator]
        router = self.injector.pick(others)
        worker = self.injector.pick(self.injector.worker_names())
        for name in (self._tail(), coordinator, router, worker):
            if name:
                self.injector.note_fault(name)
                self.cluster.world.kill(name, silent=True)

    def _cut_zone(self):
        zone, site = self.random.choice(ZONES), self.cluster.site
        nodes = [node for node in [*site.cores, *site.routers] if node["zone"] == zone]
        workers = [worker for worker in site.workers if worker["zone"] == zone]
        near = [self.injector.address(node["name"]) for node in nodes]
        near += [worker["addr"].rpartition(":")[0] for worker in workers]
        for node in [*nodes, *workers]:
            self.injector.note_fault(node["name"])
        far = [ip for ip in self.cluster.ips.values() if ip not in near]
        self.cluster.world.net.cut(near, far)

    def _kill_all_cores(self):
        for name in self.cluster.core_names():
            self.injector.kill(name, least_s=0.5, most_s=2.0)

    def _freeze_keeper_and_tail(self):
        for name in (self._tail(), self.cluster.coordinator()):
            if name:
                self.injector.note_fault(name)
                self.cluster.world.freeze(name)

    def _cut_core(self):
        alone = self.injector.pick(self.cluster.core_names())
        others = [name for name in self.cluster.addresses if name != alone]
        far = [self.injector.address(name) for name in others]
        self.cluster.world.net.cut([self.injector.address(alone)], far)

    def _kill_all(self):
        cluster = self.cluster
        names = [*cluster.core_names(), *cluster.router_names(), *self.injector.worker_names()]
        for name in names:
            self.injector.kill(name, least_s=0.5, most_s=2.0)

    def _restart_platform(self):
        world, platform = self.cluster.world, self.cluster.up["platform"]
        world.kill("platform")
        self.injector.note_fault("platform")
        address = self.injector.platform_address()
        self.injector.later(lambda: world.start("platform", address, platform.start), 1, 4)

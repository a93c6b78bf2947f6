"""The last fault of a simulated run: one that is not repaired, or an outage that ends by itself."""

from swiftdeck.sim.faults.injector import FaultGroup

ZONES = ["z1", "z2", "z3"]


class ClosingFaults(FaultGroup):
    """Faults from which the site must recover by itself."""

    def inject(self):
        """Inject a closing fault chosen at random."""
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
        """Return the name of the core at the tail of the chain, or None."""
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
                self.injector.record_fault(name)
                self.cluster.world.kill(name, silent=True)

    def _cut_zone(self):
        zone, site = self.random.choice(ZONES), self.cluster.site
        nodes = [node for node in [*site.cores, *site.routers] if node["zone"] == zone]
        workers = [worker for worker in site.workers if worker["zone"] == zone]
        zone_ips = [self.injector.address(node["name"]) for node in nodes]
        zone_ips += [worker["addr"].rpartition(":")[0] for worker in workers]
        for node in [*nodes, *workers]:
            self.injector.record_fault(node["name"])
        other_ips = [ip for ip in self.cluster.ips.values() if ip not in zone_ips]
        self.cluster.world.net.cut(zone_ips, other_ips)

    def _kill_all_cores(self):
        for name in self.cluster.core_names():
            self.injector.kill(name, least_s=0.5, most_s=2.0)

    def _freeze_keeper_and_tail(self):
        for name in (self._tail(), self.cluster.coordinator()):
            if name:
                self.injector.record_fault(name)
                self.cluster.world.freeze(name)

    def _cut_core(self):
        core = self.injector.pick(self.cluster.core_names())
        others = [name for name in self.cluster.addresses if name != core]
        other_ips = [self.injector.address(name) for name in others]
        self.cluster.world.net.cut([self.injector.address(core)], other_ips)

    def _kill_all(self):
        cluster = self.cluster
        names = [*cluster.core_names(), *cluster.router_names(), *self.injector.worker_names()]
        for name in names:
            self.injector.kill(name, least_s=0.5, most_s=2.0)

    def _restart_platform(self):
        world, platform = self.cluster.world, self.cluster.up["platform"]
        world.kill("platform")
        self.injector.record_fault("platform")
        address = self.injector.platform_address()
        self.injector.run_later(lambda: world.start("platform", address, platform.start), 1, 4)

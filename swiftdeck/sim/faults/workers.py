"""Faults of workers, of the store and of the platform's list of workers."""

from swiftdeck.sim.faults.injector import FaultGroup

QUIRKS = [
    "lose reports",
    "double reports",
    "late reports",
    "old reports",
    "die midway",
    "foreign",
    "repeat",
    "malformed",
    "hang",
]
RELEASE_EVERY_S = 7


class WorkerFaults(FaultGroup):
    """Replaced or misbehaving workers, and the loss of the store or of the platform."""

    def drain(self):
        """Replace a random worker."""
        self._replace(self.injector.pick([worker["name"] for worker in self.cluster.site.workers]))

    def roll_workers(self):
        """Replace all workers, one after another."""
        for index, worker in enumerate(self.cluster.site.workers):
            least_s = 1 + RELEASE_EVERY_S * index
            name = worker["name"]
            self.injector.run_later(lambda name=name: self._replace(name), least_s, least_s + 1)
        self.injector.log("roll workers")

    def _replace(self, name):
        """Drain a worker, remove it from the list, end it, and start a new one in its place."""
        platform = self.cluster.up.get("platform")
        plan = next(worker for worker in self.cluster.site.workers if worker["name"] == name)
        if not self._may_drain(platform, plan):
            return
        platform.drain(name)
        self.injector.log(f"drain {name}")
        recoveries = []

        def end_worker():
            recoveries.append(self.injector.record_fault(name))
            platform.remove(name)
            self.cluster.world.kill(name)

        def start_again():
            self.injector.restart(name)
            platform.add(plan)
            for recovered in recoveries:
                recovered()

        self.injector.run_later(end_worker, 4, 5.5)
        self.injector.run_later(start_again, 6, 7)

    @staticmethod
    def _may_drain(platform, plan):
        """Return whether a worker serves and at least one other worker of its model does too."""
        listed = platform.workers.get(plan["name"])
        serving = [
            worker
            for worker in platform.workers.values()
            if not worker["draining"] and worker["model"] == plan["model"]
        ]
        return listed is not None and not listed["draining"] and len(serving) >= 2

    def quirk(self):
        """Make a worker misbehave for up to six seconds."""
        name = self.injector.pick(self.injector.worker_names())
        if not name:
            return
        worker, quirk = self.cluster.up[name], self.random.choice(QUIRKS)
        worker.quirk = quirk
        worker.record("quirk", quirk=quirk)
        self.injector.log(f"quirk {name} {quirk}")

        def end_quirk():
            if self.cluster.up.get(name) is worker:
                worker.quirk = ""
                worker.record("quirk", quirk="")

        self.injector.run_later(end_quirk, 1, 6)

    def slow_links(self):
        """Set by how much prefix fetches from each worker are slower: 0, 0.5 or 5 seconds."""
        for name in self.injector.worker_names():
            self.cluster.up[name].link_s = self.random.choice([0.0, 0.5, 5.0])

    def lose_store(self):
        """Kill the prefix store; it restarts empty."""
        world = self.cluster.world
        if "store" in world.loops:
            world.kill("store")
            self.injector.log("kill store")
            self.injector.run_later(self.cluster.start_store, 2, 10)

    def lose_platform(self):
        """Freeze the platform for up to 14 seconds."""
        world = self.cluster.world
        if "platform" not in world.loops or world.loops["platform"].frozen:
            return
        world.freeze("platform")
        recovered = self.injector.record_fault("platform")
        self.injector.log("freeze platform")

        def thaw():
            world.thaw("platform")
            recovered()

        self.injector.run_later(thaw, 1, 14)

    def cut_platform(self):
        """Cut some routers from the platform, in one direction or both, and drain a worker."""
        names = self.cluster.router_names()
        cut_names = self.random.sample(names, self.random.randint(1, len(names)))
        addresses = [self.injector.address(name) for name in cut_names]
        both = self.random.random() < 0.5
        pairs = self.cluster.world.net.cut(addresses, [self.injector.platform_address()], both)
        recoveries = [self.injector.record_fault(name) for name in cut_names]
        self.injector.log(f"cut platform from {len(cut_names)}")
        self.injector.heal_later(pairs, recoveries, 1, 10)
        self.drain()

    def split_list(self):
        """Cut the coordinator and half of the routers from the platform and the rest; drain."""
        coordinator = self.cluster.coordinator()
        others = [name for name in self.cluster.router_names() if name != coordinator]
        if coordinator is None or len(others) < 2:
            return
        near = [coordinator, *self.random.sample(others, len(others) // 2)]
        far = [self.injector.address(name) for name in others if name not in near]
        recoveries = [self.injector.record_fault(name) for name in near]
        addresses = [self.injector.address(name) for name in near]
        pairs = self.cluster.world.net.cut(addresses, [self.injector.platform_address(), *far])
        self.injector.log(f"split list {near}")
        self.injector.run_later(self.drain, 2, 3)
        self.injector.heal_later(pairs, recoveries, 8, 12)

"""Primitives of fault injection, which take processes and links down and restore them."""

CORE_COUNT = 3
TORN_BYTES = [0, 0, 1, 7, 40]


class FaultInjector:
    """Injects faults into a simulated site and ends each of them after a random time.

    Faults are logged in `trace`, as simulated seconds and text, for people. Those that impair a
    process are also recorded, as `kill` and `back`, for the checker.
    """

    def __init__(self, cluster):
        self.cluster, self.random = cluster, cluster.world.random
        self.trace = []
        self.fault_count, self.open_faults = 0, {}
        self.weights, self.wall_offset_s = "w1", 0.0
        self.is_rolling, self.pending_restarts = False, {}

    def log(self, text):
        """Add a fault to the trace."""
        self.trace.append((round(self.cluster.world.now, 3), text))

    def record_fault(self, name):
        """Record that a process is impaired; return the function to call once it has recovered."""
        self.fault_count += 1
        number, cluster = self.fault_count, self.cluster
        self.open_faults[number] = name
        cluster.record("operator")(
            "kill", target=name, id=number, keeper=name in cluster.coordinator_names()
        )

        def recovered():
            if self.open_faults.pop(number, None):
                cluster.record("operator")("back", id=number, target=name)

        return recovered

    def run_later(self, action, least_s=1.0, most_s=12.0):
        """Run an action after a random delay between two bounds in seconds."""
        self.cluster.world.call_after(self.random.uniform(least_s, most_s), action)

    def pick(self, names):
        """Return one of the names at random, or None when there are none."""
        return self.random.choice(sorted(names)) if names else None

    def address(self, name):
        """Return the IP address of a core or router."""
        return self.cluster.addresses[name]["inner"].rpartition(":")[0]

    def platform_address(self):
        """Return the IP address of the platform."""
        return self.cluster.site.platform.rpartition(":")[0]

    def worker_names(self):
        """Return the names of the running workers."""
        names = [worker["name"] for worker in self.cluster.site.workers]
        return [name for name in names if name in self.cluster.world.loops]

    def all_cores_run(self):
        """Return whether all cores run."""
        return len(self.cluster.core_names()) == CORE_COUNT

    def restart(self, name):
        """Start a process that is down; do nothing if it runs."""
        cluster = self.cluster
        if name in cluster.world.loops:
            return
        if name.startswith("core"):
            cluster.start_core(name)
        elif name.startswith("router"):
            cluster.start_router(name)
        elif name.startswith("worker"):
            cluster.start_worker(name, weights=self.random.choice(["w1", self.weights]))

    def kill(self, name, silent=False, least_s=1.0, most_s=12.0):
        """End a process and the power of its disk, and start it again later.

        With `silent`, its machine vanishes and no reset is sent.
        """
        cluster = self.cluster
        if name is None or name not in cluster.world.loops:
            return
        recovered = self.record_fault(name)
        cluster.world.kill(name, silent)
        if name in cluster.folders:
            cluster.folders[name].lose_power(torn=self.random.choice(TORN_BYTES))
        self.log(f"kill {name}")

        def start_again():
            self.restart(name)
            recovered()

        self.run_later(start_again, least_s, most_s)

    def freeze(self, name, most_s=15, least_s=0.5):
        """Suspend a process for a random time."""
        cluster = self.cluster
        if not name or cluster.world.loops[name].frozen:
            return
        cluster.world.freeze(name)
        recovered, loop = self.record_fault(name), cluster.world.loops[name]
        self.log(f"freeze {name}")

        def thaw():
            if cluster.world.loops.get(name) is loop and loop.frozen:
                cluster.world.thaw(name)
            recovered()

        self.run_later(thaw, least_s, most_s)

    def cut(self, near, both=True):
        """Cut some addresses off from the cores, routers and platform, and sometimes the workers.

        Without `both`, only what these addresses send is lost.
        """
        cluster = self.cluster
        far = [self.address(name) for name in cluster.addresses] + [self.platform_address()]
        workers = [worker["addr"].rpartition(":")[0] for worker in cluster.site.workers]
        if self.random.random() < 0.3:
            far += workers
        names = [name for name in cluster.router_names() if self.address(name) in near]
        recoveries = [self.record_fault(name) for name in names]
        pairs = cluster.world.net.cut(near, [ip for ip in far if ip not in near], both)
        self.log(f"cut {near} both={both}")
        self.heal_later(pairs, recoveries, 1, 15)

    def heal_later(self, pairs, recoveries, least_s, most_s):
        """Undo some cuts after a random time, and record the recovery of the processes."""

        def heal():
            self.cluster.world.net.heal(pairs)
            for recovered in recoveries:
                recovered()

        self.run_later(heal, least_s, most_s)

    def end_all(self):
        """End all faults and start all processes that are down."""
        self.is_rolling = False
        for start_again in list(self.pending_restarts.values()):
            start_again()
        self._restore_network_and_disks()
        self._restore_processes()
        self._restore_workers()
        for number, name in list(self.open_faults.items()):
            del self.open_faults[number]
            self.cluster.record("operator")("back", id=number, target=name)

    def _restore_network_and_disks(self):
        net = self.cluster.world.net
        net.heal()
        net.loss_rate = self.cluster.late.share = 0.0
        for folder in self.cluster.folders.values():
            folder.full, folder.stall_s = False, 0.0

    def _restore_processes(self):
        cluster = self.cluster
        for name in [*cluster.addresses, *(worker["name"] for worker in cluster.site.workers)]:
            if name in cluster.world.loops and cluster.world.loops[name].frozen:
                cluster.world.thaw(name)
            self.restart(name)
        if cluster.world.loops["platform"].frozen:
            cluster.world.thaw("platform")
        if "store" not in cluster.world.loops:
            cluster.start_store()

    def _restore_workers(self):
        cluster = self.cluster
        platform = cluster.up["platform"]
        for plan in cluster.site.workers:
            worker = cluster.up[plan["name"]]
            if worker.quirk:
                worker.quirk = ""
                worker.record("quirk", quirk="")
            platform.workers.setdefault(plan["name"], plan)
            platform.drain(plan["name"], False)


class FaultGroup:
    """Faults of one kind; each public method injects one fault, which ends by itself."""

    def __init__(self, injector, operator):
        self.injector, self.operator = injector, operator
        self.cluster, self.random = injector.cluster, injector.random

"""Faults of the cores' disks and of their power, also right at an acknowledgement."""

from swiftdeck.sim.faults.injector import FaultGroup

MAX_SLOW_SYNC_S = 0.9


class DiskFaults(FaultGroup):
    """Lost, full and slow disks, losses of power, and cores that restart with an empty disk."""

    def _all_cores_are_members(self):
        cluster = self.cluster
        return self.injector.all_cores_run() and all(
            cluster.up[name].agreement.position() >= 0 for name in cluster.core_names()
        )

    def lose_disk(self):
        """Kill a core and wipe its disk, right after a change was sent."""
        if self._all_cores_are_members():
            name = self.injector.pick(self.cluster.core_names())
            self.operator.patch(self.operator.line_change())
            self.injector.kill(name)
            self.cluster.folders[name].wipe()
            self.injector.log(f"wipe {name}")

    def new_address(self):
        """Replace a core by an empty one on another machine, and tell the others its address."""
        if not self._all_cores_are_members():
            return
        cluster = self.cluster
        name = self.injector.pick(cluster.core_names())
        cluster.world.kill(name)
        cluster.folders[name].wipe()
        ip = cluster.ip(f"{name}-{len(self.injector.trace)}")
        cluster.addresses[name] |= {"inner": f"{ip}:7000", "http": f"{ip}:8000"}
        cluster.seeds = [core["inner"] for core in cluster.site.cores]
        for other in [*cluster.core_names(), *cluster.router_names()]:
            cluster.up[other].membership.set_seeds(cluster.seeds)
        self.injector.log(f"empty {name} at a new address")
        self.injector.run_later(lambda: self.injector.restart(name), 2, 6)

    def fill_disk(self):
        """Fill a core's disk for up to 15 seconds."""
        name = self.injector.pick(self.cluster.core_names())
        folder = self.cluster.folders.get(name)
        if folder:
            folder.full = True
            self.injector.log(f"full {name}")
            self.injector.run_later(lambda: setattr(folder, "full", False), 1, 15)

    def stall_disk(self):
        """Make each sync of a core's disk take up to five seconds, for a while."""
        name = self.injector.pick(self.cluster.core_names())
        folder = self.cluster.folders.get(name)
        if folder:
            folder.stall_s = self.random.choice([0.05, 0.3, 5.0])
            self.injector.log(f"stall {name} {folder.stall_s}")
            self.injector.run_later(lambda: setattr(folder, "stall_s", 0.0), 1, 10)

    def slow_disk(self):
        """Make each sync of a core's disk take up to 0.9 seconds, for a while."""
        name = self.injector.pick(self.cluster.core_names())
        self._slow_disk(name, self.random.uniform(0.02, MAX_SLOW_SYNC_S))

    def _slow_disk(self, name, stall_s):
        folder = self.cluster.folders.get(name)
        if folder:
            folder.stall_s = stall_s
            self.injector.log(f"slow disk {name} {stall_s:.2f}")
            self.injector.run_later(lambda: setattr(folder, "stall_s", 0.0), 2, 15)

    def power_after_ack(self):
        """Cut the power of one core or of all, right when a change is acknowledged."""
        names = self.cluster.core_names()
        if self.random.random() >= 0.5:
            names = [self.injector.pick(names)]

        def lose_power():
            for name in names:
                self.injector.kill(name, least_s=0.3, most_s=3.0)

        self.operator.patch(
            self.operator.line_change(), lambda: self.cluster.world.call_after(0.0, lose_power)
        )

    def power_before_sync(self):
        """Cut the head's power before its slow disk syncs a change that may have been read."""
        cluster = self.cluster
        name = next(
            (core for core in cluster.core_names() if cluster.up[core].chain.is_first()), None
        )
        if (
            name is None
            or not self.injector.all_cores_run()
            or not cluster.up[name].chain.is_whole()
        ):
            return
        folder = cluster.folders[name]
        folder.stall_s = MAX_SLOW_SYNC_S
        self.injector.log(f"power before sync {name}")
        document = self.operator.line_change()
        others = [core for core in cluster.core_names() if core != name]
        self.operator.patch(document, name=self.injector.pick(others))

        def lose_power():
            folder.stall_s = 0.0
            self.injector.kill(name, least_s=0.05, most_s=0.3)

        self.injector.run_later(self.operator.read, 0.4, 0.5)
        self.injector.run_later(lose_power, 0.6, 0.8)

    def kill_after_fault(self):
        """Kill a core soon after its disk became slow, or after it was frozen or cut off."""
        name = self.injector.pick(self.cluster.core_names())
        if name is None or not self.injector.all_cores_run():
            return
        first_fault = self.random.choice(["slow", "freeze", "cut"])
        self.operator.patch(self.operator.cap_change())
        if first_fault == "slow":
            self._slow_disk(name, self.random.uniform(0.1, MAX_SLOW_SYNC_S))
        elif first_fault == "freeze":
            self.injector.freeze(name)
        else:
            self.injector.cut([self.injector.address(name)], self.random.random() < 0.5)
        self.injector.run_later(lambda: self.injector.kill(name, least_s=0.2, most_s=4.0), 0.2, 2.0)

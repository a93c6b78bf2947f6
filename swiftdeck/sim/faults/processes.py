"""Faults of processes: kills, freezes, drifting or jumping clocks, and rolling restarts."""

from swiftdeck.sim.faults.injector import FaultGroup

GRANT_WATCH_S = 3.0
BEYOND_GRANT_S = 3.2
ROLL_EVERY_S = 8
DAY_S = 86400.0


class ProcessFaults(FaultGroup):
    """Kills, freezes, clocks and restarts of cores, routers and workers."""

    def crash_worker(self):
        """Kill a worker; its connections are reset."""
        self.injector.kill(self.injector.pick(self.injector.worker_names()))

    def vanish_worker(self):
        """Cut the power of a worker's machine; its connections are not reset."""
        self.injector.kill(self.injector.pick(self.injector.worker_names()), silent=True)

    def kill_router(self):
        """Kill a router, with or without resets."""
        name = self.injector.pick(self.cluster.router_names())
        self.injector.kill(name, silent=self.random.random() < 0.5)

    def kill_keeper(self):
        """Kill the router that coordinates admission."""
        self.injector.kill(self.cluster.coordinator())

    def kill_core(self):
        """Kill a core while all of them run."""
        if self.injector.all_cores_run():
            self.injector.kill(self.injector.pick(self.cluster.core_names()))

    def kill_all_cores(self):
        """Kill all cores at once."""
        for name in self.cluster.core_names():
            self.injector.kill(name, least_s=0.5, most_s=3.0)

    def kill_many(self):
        """Kill up to four routers and a core."""
        names = self.cluster.router_names()
        for name in sorted(self.random.sample(names, min(4, len(names)))):
            self.injector.kill(name, least_s=0.5, most_s=4.0)
        self.kill_core()

    def freeze(self):
        """Freeze a core or a router."""
        names = [*self.cluster.core_names(), *self.cluster.router_names()]
        self.injector.freeze(self.injector.pick(names))

    def freeze_keeper(self):
        """Freeze the router that coordinates admission."""
        self.injector.freeze(self.cluster.coordinator())

    def freeze_worker(self):
        """Freeze a worker for six seconds at most."""
        self.injector.freeze(self.injector.pick(self.injector.worker_names()), most_s=6)

    def freeze_busy(self):
        """Freeze a router that holds an unused grant, until its slot is granted to another call."""
        world = self.cluster.world
        end_s = world.now + GRANT_WATCH_S

        def freeze_or_check_again():
            for name in self.cluster.router_names():
                if name != self.cluster.coordinator() and self._holds_unused_grant(name):
                    return self.injector.freeze(name, least_s=BEYOND_GRANT_S)
            if world.now < end_s:
                world.call_after(0.001, freeze_or_check_again)

        freeze_or_check_again()

    def _holds_unused_grant(self, name):
        ledgers = [running.call.ledger for running in self.cluster.up[name].running.values()]
        attempts = [ledger.attempts[-1] for ledger in ledgers if ledger.attempts]
        return any(attempt.grant is not None and not attempt.was_sent for attempt in attempts)

    def slow_clock(self):
        """Make the clock of a core or router run 3% slow, at the right rate or 3% fast."""
        world = self.cluster.world
        names = [*self.cluster.core_names(), *self.cluster.router_names()]
        loop = world.loops.get(self.injector.pick(names))
        if loop:
            now_s = loop.time()
            loop.clock_rate = self.random.choice([0.97, 1.0, 1.03])
            loop.clock_offset_s = now_s - world.now * loop.clock_rate

    def jump_wall(self):
        """Make the wall clocks jump, which must not affect any decision."""
        self.injector.wall_offset_s += self.random.choice([-DAY_S, -30.0, 30.0, DAY_S])
        self.injector.log("wall clock")

    def roll_nodes(self):
        """Shut all routers and cores down gracefully and restart them, one after another."""
        if self.injector.is_rolling:
            return
        self.injector.is_rolling = True
        names = sorted(self.cluster.addresses)
        self.random.shuffle(names)
        for index, name in enumerate(names):
            least_s = 1 + ROLL_EVERY_S * index
            self.injector.run_later(lambda name=name: self._roll(name), least_s, least_s + 1)
        self.injector.log("roll nodes")

    def _roll(self, name):
        cluster, world, injector = self.cluster, self.cluster.world, self.injector
        if not injector.is_rolling or name not in world.loops or world.loops[name].frozen:
            return
        recovered, loop = injector.record_fault(name), world.loops[name]
        world.run_in(name, lambda: loop.create_task(cluster.up[name].stop()))

        def start_again():
            if injector.pending_restarts.pop(name, None) is None:
                return
            if world.loops.get(name) is loop:
                world.kill(name)
            if name in cluster.folders:
                cluster.folders[name].lose_power()
            injector.restart(name)
            recovered()

        injector.pending_restarts[name] = start_again
        injector.run_later(start_again, 4, 6)

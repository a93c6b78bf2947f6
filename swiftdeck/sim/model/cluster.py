"""The cores of one run on simulated machines, and the faults applied to them."""

import asyncio
import random

from swiftdeck.chain.agreement import ids
from swiftdeck.config.settings import Settings
from swiftdeck.control.core import Core
from swiftdeck.platform.operator_api import OperatorApi
from swiftdeck.sim.model.invariants import AGREEMENT_LOG, Invariant, Invariants
from swiftdeck.sim.model.points import EventPoints, PointFolder, PointWorld
from swiftdeck.sim.model.schedule import DISK_LOSSES, Action, Kind, Schedule

INNER_PORT, OPERATOR_PORT = 7000, 8080
VIEW_LEASE_MS, CONFIG_LEASE_MS, ACK_TIMEOUT_MS = 1500, 2500, 400
CATCH_UP_S, RECOVERY_S, CHECK_EVERY_S = 4.0, 12.0, 0.25
SEED_COUNT = 3
TORN_BYTES = (0, 0, 3, 40)
"""Possible numbers of unsynced bytes that survive a loss of power."""
CLIENTS = {"operators": "10.9.0.1", "reader": "10.9.0.2", "router": "10.9.0.3"}


class ReportingOperatorApi(OperatorApi):
    """An operator API that reports each change it acknowledges to a callback."""

    def __init__(self, core, on_acknowledged):
        super().__init__(core)
        self.on_acknowledged = on_acknowledged

    async def _outcome(self, exchange, change_id, change):
        began_s = self.on_acknowledged.now()
        outcome = await super()._outcome(exchange, change_id, change)
        if outcome:
            self.on_acknowledged(change_id, began_s)
        return outcome


class AcknowledgedChanges:
    """Reports acknowledged changes to the invariants, with the disks lost since they were sent."""

    def __init__(self, cluster):
        self.cluster, self.first_s = cluster, {}

    def now(self):
        """Return the time of the run in seconds."""
        return self.cluster.world.now

    def __call__(self, change_id, began_s):
        began_s = min(began_s, self.first_s.setdefault(change_id, began_s))
        losses = sum(at_s >= began_s for at_s in self.cluster.disk_losses_s)
        self.cluster.invariants.on_acknowledged(change_id, losses)


class Cluster:
    """Starts the cores of one schedule, applies faults to them and ends the faults.

    `healing` counts the faults that haven't ended; `wiped_cores` has the cores whose disks were
    wiped and may not have a copy again yet; `last_change_s` is when a fault last began or ended.
    """

    def __init__(self, schedule: Schedule):
        self.schedule, self.losses_borne = schedule, (schedule.cores - 1) // 2
        self.ips = {
            name: f"10.1.0.{number}" for number, name in enumerate(schedule.core_names(), 1)
        }
        self.points = EventPoints(schedule.strikes, self.apply)
        names = {ip: name for name, ip in (self.ips | CLIENTS).items()}
        self.world = PointWorld(schedule.seed, self.points, INNER_PORT, names)
        self.net, self.name_by_ip = self.world.net, names
        self.net.deliver = self._deliver
        self.folders, self.up, self.removed = {}, {}, set()
        self.healing, self.applied, self.skipped = 0, [], []
        self.disk_losses_s, self.wiped_cores, self.last_change_s = [], set(), 0.0
        self.has_settled = False
        self.served_s, self.on_power_cut = 0.0, lambda for_s: None
        self.is_first_start, self.acknowledged = True, AcknowledgedChanges(self)
        self.invariants = Invariants(self)
        self.points.on_promise = self.invariants.on_promise
        self.progress = lambda: ()

    def addr(self, name):
        """Return the address where a core listens for other processes."""
        return f"{self.ips[name]}:{INNER_PORT}"

    def present(self):
        """Return the names of the cores that were not removed for good."""
        return [name for name in self.ips if name not in self.removed]

    def operator_addrs(self):
        """Return the operator addresses of the present cores."""
        return [f"{self.ips[name]}:{OPERATOR_PORT}" for name in self.present()]

    def core_addrs(self):
        """Return the addresses of the present cores for other processes."""
        return [self.addr(name) for name in self.present()]

    def running(self):
        """Return the cores that have started and are not frozen, by name."""
        loops = self.world.loops
        return {
            name: core
            for name, core in self.up.items()
            if name in loops and not loops[name].frozen and core.mesh.server
        }

    def start(self, name):
        """Start a core on the contents of its disk, unless it runs or was removed for good."""
        if name in self.world.loops or name in self.removed:
            return
        folder = self.folders.setdefault(
            name, PointFolder(self.points, name, self.invariants.on_synced)
        )
        may_found = self.is_first_start

        async def main():
            core = Core(self._settings(name, may_found), folder, self._random())
            core.http.handler = ReportingOperatorApi(core, self.acknowledged).handle
            self.up[name] = core
            await core.start()

        self.world.start(name, self.ips[name], main)

    def start_all(self):
        """Start all cores for the first time."""
        for name in self.schedule.core_names():
            self.start(name)
        self.is_first_start = False

    def _random(self):
        return random.Random(self.world.random.random())

    def _settings(self, name, may_found):
        seeds = [self.addr(core) for core in self.schedule.core_names()[:SEED_COUNT]]
        present = [self.addr(core) for core in self.present()[:SEED_COUNT]]
        return Settings(
            name=name,
            inner=self.addr(name),
            http=f"{self.ips[name]}:{OPERATOR_PORT}",
            seeds=present if name not in self.schedule.core_names() else seeds,
            founders=seeds,
            mayFound=may_found,
            cores=self.schedule.cores,
            lossesBorne=self.losses_borne,
            viewLicenceMs=VIEW_LEASE_MS,
            configLicenceMs=CONFIG_LEASE_MS,
            ackWaitMs=ACK_TIMEOUT_MS,
            archive=False,
        )

    def has_identities(self):
        """Return whether each core's disk has its identity; without it a core counts as wiped."""
        names = self.schedule.core_names()
        return all(AGREEMENT_LOG in self.folders[name].synced for name in names)

    def is_settled(self):
        """Return whether the cluster has recovered from all faults.

        All present cores must be complete members that serve under one view, and enough of them
        must vote.
        """
        cores = self.running()
        if self.healing or set(cores) != set(self.present()):
            return False
        identities = {core.agreement.core_id for core in cores.values()}
        voting = min(len(cores), 2 * self.losses_borne + 1)
        return all(
            set(ids(core.agreement.decided.members)) == identities
            and len(set(ids(core.agreement.decided.voters)) & identities) >= voting
            and core.chain.is_whole()
            and core.agreement.may_serve()
            for core in cores.values()
        )

    def is_serving(self):
        """Return whether a head accepts changes and a tail serves reads."""
        chains = [core.chain for core in self.running().values()]
        return any(chain._may_write() and chain.has_copies() for chain in chains) and any(
            chain.may_tell() for chain in chains
        )

    def watch_service(self):
        """Check regularly that service returns within `RECOVERY_S` of the end of all faults."""
        now_s = self.world.now
        if self.healing or self.is_serving():
            self.served_s = now_s
        elif now_s - max(self.served_s, self.last_change_s) > RECOVERY_S:
            detail = f"no service at {now_s:.1f}, no faults since {self.last_change_s:.1f}"
            self.invariants.record_breach(Invariant.RECOVERS, detail)
            return
        self.world.call_after(CHECK_EVERY_S, self.watch_service)

    def step(self):
        """Apply the due actions; called after each event."""
        if self.points.due:
            self.points.apply_due()

    def run(self, until=None, limit_s=60.0, seconds=None):
        """Run the world with the schedule's faults; return whether `until` came true."""

        def after_event():
            self.step()
            return until is not None and until()

        return self.world.run(seconds, after_event, limit_s)

    def apply(self, action: Action):
        """Apply a fault, or skip it if too many disks would be lost at once."""
        if action.core not in self.present() or not self._is_bearable(action):
            self.skipped.append(action)
            return
        self.applied.append(action)
        getattr(self, f"_{action.kind.value}")(action)

    def _is_bearable(self, action):
        """Return whether an action keeps within the disks that may be lost at once, and count it.

        Faults that lose no disk may overlap without a limit.
        """
        self.has_settled = self.has_settled or self.is_settled()
        is_calm = not self.healing and self.world.now > self.last_change_s + CATCH_UP_S
        if is_calm and self.has_settled:
            self.wiped_cores.clear()
        wiped = set(self._wiped_by(action))
        is_bearable = not wiped or len(self.wiped_cores | wiped) <= self._disks_borne()
        if is_bearable:
            self.wiped_cores |= wiped
            self.last_change_s = self.world.now
        return is_bearable

    def _wiped_by(self, action):
        """Return the cores whose disks an action wipes."""
        if action.kind not in DISK_LOSSES:
            return []
        count = self._disks_borne() if action.kind is Kind.CLOSING else 1
        return self._present_from(action.core)[:count]

    def _disks_borne(self):
        """Return how many disks may be lost at once.

        Until all cores vote, a majority of the founders must keep theirs.
        """
        return self.losses_borne if self.has_settled else (SEED_COUNT - 1) // 2

    def _present_from(self, name):
        """Return the present cores in order, rotated to begin at `name`."""
        present = self.present()
        start = present.index(name) if name in present else 0
        return present[start:] + present[:start]

    def _heal_after(self, delay_s, heal):
        self.healing += 1

        def end_fault():
            self.healing -= 1
            self.last_change_s = self.world.now
            heal()

        self.world.call_after(delay_s, end_fault)

    def _stop_core(self, name, loses_power, loses_disk):
        self.world.kill(name, silent=loses_power)
        folder = self.folders.get(name)
        if folder is None:
            return
        if loses_power:
            folder.lose_power(torn=self.world.random.choice(TORN_BYTES))
        if loses_disk:
            folder.wipe()
            self.invariants.forget_promises(name)
            self.disk_losses_s.append(self.world.now)

    def _kill(self, action):
        self._stop_core(action.core, False, False)
        self._heal_after(action.for_s, lambda: self.start(action.core))

    def _leave(self, action):
        """Shut a core down gracefully and start it again."""
        name, loop = action.core, self.world.loops.get(action.core)
        if name not in self.running():
            return
        core = self.up[name]

        async def stop():
            await core.stop()
            self.world.call_after(
                0, lambda: self.world.loops.get(name) is loop and self.world.kill(name)
            )
            self._heal_after(action.for_s, lambda: self.start(name))

        self.world._within(loop, lambda: setattr(loop, "leaving", loop.create_task(stop())))

    def _power(self, action):
        self._stop_core(action.core, True, False)
        self._heal_after(action.for_s, lambda: self.start(action.core))

    def _wipe(self, action):
        self._stop_core(action.core, True, True)
        self._heal_after(action.for_s, lambda: self.start(action.core))

    def _outage(self, action):
        self._all_lose_power(action)

    def _blackout(self, action):
        self._all_lose_power(action)

    def _closing(self, action):
        self._all_lose_power(action)
        self.on_power_cut(action.for_s)

    def _all_lose_power(self, action):
        wiped = self._wiped_by(action)
        for name in self.present():
            self._stop_core(name, True, name in wiped)
            self._heal_after(action.for_s, lambda name=name: self.start(name))

    def _replace(self, action):
        self._stop_core(action.core, True, True)
        self.removed.add(action.core)
        spare = f"spare{len(self.removed)}"
        self.ips[spare] = f"10.1.1.{len(self.removed)}"
        self.name_by_ip[self.ips[spare]] = spare
        self._heal_after(action.for_s, lambda: self._start_spare(spare))

    def _start_spare(self, name):
        self.start(name)
        for core in self.running().values():
            core.membership.set_seeds(self.core_addrs()[:SEED_COUNT])

    def _cut_off(self, action, both, others=()):
        others = others or [ip for name, ip in self.ips.items() if name != action.core]
        pairs = self.net.cut([self.ips[action.core]], others, both)
        self._heal_after(action.for_s, lambda: self.net.heal(pairs))

    def _cut(self, action):
        self._cut_off(action, True)

    def _link(self, action):
        present = self.present()
        next_core = present[(present.index(action.core) + 1) % len(present)]
        self._cut_off(action, True, [self.ips[next_core]])

    def _split(self, action):
        """Separate the smaller half, which begins at this core, from the other cores."""
        names = self._present_from(action.core)
        half = len(names) // 2
        ips = [self.ips[name] for name in names]
        pairs = self.net.cut(ips[:half], ips[half:], True)
        self._heal_after(action.for_s, lambda: self.net.heal(pairs))

    def _mute(self, action):
        self._cut_off(action, False)

    def _late(self, action):
        """Delay the next control message of the core, even past its sender's timeout."""
        self.net.late_s[self.ips[action.core]] = action.for_s
        self._heal_after(action.for_s, lambda: None)

    def _deliver(self, transport, ip, frame):
        """Deliver a late message to the process at `ip`, on its link if that is still open."""
        name = self.name_by_ip[ip]
        loop, core = self.world.loops.get(name), self.up.get(name)
        if loop is None or loop.frozen or core is None or core.mesh.server is None:
            return
        link = transport.protocol if transport.loop is loop and not transport.gone else None
        self.world.run_in(name, lambda: core.mesh.receive(frame, link))

    def _reset(self, action):
        ip = self.ips[action.core]
        for transport in list(self.net.open):
            if ip in (transport.local[0], transport.remote[0]) and not transport.loop.dead:
                error = ConnectionResetError("reset by peer")
                transport.loop.call_soon(self.net._receive, transport, error)

    def _freeze(self, action):
        name = action.core
        if name in self.world.loops and not self.world.loops[name].frozen:
            self.world.freeze(name)
            self._heal_after(action.for_s, lambda: self._thaw(name))

    def _thaw(self, name):
        if name in self.world.loops and self.world.loops[name].frozen:
            self.world.thaw(name)

    def _stall(self, action):
        folder = self.folders[action.core]
        folder.stall_s = action.for_s
        self._heal_after(action.for_s, lambda: setattr(folder, "stall_s", 0.0))

    def start_task(self, name, make):
        """Start a coroutine in a client's process and return its task."""
        tasks, loop = [], self.world.loops.get(name)
        if loop is None:
            loop = self.world.start(name, CLIENTS[name], lambda: asyncio.sleep(0))
        self.world._within(loop, lambda: tasks.append(loop.create_task(make())))
        return tasks[0]

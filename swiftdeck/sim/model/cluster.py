"""The cores of one run on simulated machines, and the faults that strike them."""

import asyncio
import random

from swiftdeck.chain.agreement import ids
from swiftdeck.config.settings import Settings
from swiftdeck.control.core import Core
from swiftdeck.platform.operator_api import OperatorApi
from swiftdeck.sim.model.invariants import AGREEMENT_LOG, Invariant, Invariants
from swiftdeck.sim.model.points import EventPoints, PointFolder, PointWorld
from swiftdeck.sim.model.schedule import LOSES_DISK, Action, Kind, Schedule

INNER_PORT, DOOR_PORT = 7000, 8080
VIEW_LEASE_MS, CONFIG_LEASE_MS, ACK_WAIT_MS = 1500, 2500, 400
CATCH_UP_S, RECOVERY_S, LOOK_S = 4.0, 12.0, 0.25
SEEDS_TOLD = 3
TORN_BYTES = (0, 0, 3, 40)
"""How many bytes of an unsynced write a loss of power may keep."""
CLIENTS = {"operators": "10.9.0.1", "reader": "10.9.0.2", "router": "10.9.0.3"}


class AckWatch(OperatorApi):
    """An operator's door that tells of the changes that it acknowledges."""

    def __init__(self, core, on_acknowledged):
        super().__init__(core)
        self.on_acknowledged = on_acknowledged

    async def _outcome(self, change_id, change):
        began = self.on_acknowledged.now()
        got = await super()._outcome(change_id, change)
        if got:
            self.on_acknowledged(change_id, began)
        return got


class Acknowledged:
    """Hands acknowledged changes to the invariants with the disks lost since they were first sent."""

    def __init__(self, cluster):
        self.cluster, self.first_s = cluster, {}

    def now(self):
        """The time of the run."""
        return self.cluster.world.now

    def __call__(self, change_id, began_s):
        began_s = min(began_s, self.first_s.setdefault(change_id, began_s))
        losses = sum(at_s >= began_s for at_s in self.cluster.disk_losses_s)
        self.cluster.invariants.on_acknowledged(change_id, losses)


class Cluster:
    """Starts, strikes and mends the cores of one schedule."""

    def __init__(self, schedule: Schedule):
        self.schedule, self.losses_borne = schedule, (schedule.cores - 1) // 2
        self.ips = {name: f"10.1.0.{at}" for at, name in enumerate(schedule.core_names(), 1)}
        self.points = EventPoints(schedule.strikes, self.apply)
        names = {ip: name for name, ip in (self.ips | CLIENTS).items()}
        self.world = PointWorld(schedule.seed, self.points, INNER_PORT, names)
        self.net, self.names = self.world.net, names
        self.net.deliver = self._deliver
        self.folders, self.up, self.gone = {}, {}, set()
        self.healing, self.applied, self.skipped = 0, [], []
        self.disk_losses_s, self.empty, self.last_change_s = [], set(), 0.0
        self.has_settled = False
        self.served_s, self.on_power_cut = 0.0, lambda for_s: None
        self.is_first_start, self.acknowledged = True, Acknowledged(self)
        self.invariants = Invariants(self)
        self.points.on_promise = self.invariants.on_promise
        self.progress = lambda: ()

    def addr(self, name):
        """Where a core listens for other processes."""
        return f"{self.ips[name]}:{INNER_PORT}"

    def present(self):
        """Cores that are not gone for good."""
        return [name for name in self.ips if name not in self.gone]

    def doors(self):
        """Where operators find the cores."""
        return [f"{self.ips[name]}:{DOOR_PORT}" for name in self.present()]

    def core_addrs(self):
        """Where routers find the cores."""
        return [self.addr(name) for name in self.present()]

    def running(self):
        """Cores that have started and are not frozen, by name."""
        loops = self.world.loops
        return {
            name: core
            for name, core in self.up.items()
            if name in loops and not loops[name].frozen and core.mesh.server
        }

    def start(self, name):
        """Start a core on what its disk has."""
        if name in self.world.loops or name in self.gone:
            return
        folder = self.folders.setdefault(
            name, PointFolder(self.points, name, self.invariants.on_disk)
        )
        may_found = self.is_first_start

        async def main():
            core = Core(self._settings(name, may_found), folder, self._random())
            core.http.handler = AckWatch(core, self.acknowledged).handle
            self.up[name] = core
            await core.start()

        self.world.start(name, self.ips[name], main)

    def start_all(self):
        """Start the cores for the first time."""
        for name in self.schedule.core_names():
            self.start(name)
        self.is_first_start = False

    def _random(self):
        return random.Random(self.world.random.random())

    def _settings(self, name, may_found):
        seeds = [self.addr(each) for each in self.schedule.core_names()[:SEEDS_TOLD]]
        living = [self.addr(each) for each in self.present()[:SEEDS_TOLD]]
        return Settings(
            name=name,
            inner=self.addr(name),
            http=f"{self.ips[name]}:{DOOR_PORT}",
            seeds=living if name not in self.schedule.core_names() else seeds,
            founders=seeds,
            mayFound=may_found,
            cores=self.schedule.cores,
            lossesBorne=self.losses_borne,
            viewLicenceMs=VIEW_LEASE_MS,
            configLicenceMs=CONFIG_LEASE_MS,
            ackWaitMs=ACK_WAIT_MS,
            archive=False,
        )

    def has_identities(self):
        """Whether each core's identity is on its disk; one without it is like an emptied one."""
        names = self.schedule.core_names()
        return all(AGREEMENT_LOG in self.folders[name].synced for name in names)

    def is_settled(self):
        """Whether all cores that should be there are members, whole, serving under one view, and enough of them vote."""
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
        """Whether a head takes changes and a tail tells of them."""
        chains = [core.chain for core in self.running().values()]
        return any(each._may_write() and each.has_copies() for each in chains) and any(
            each.may_tell() for each in chains
        )

    def watch_service(self):
        """Look now and then whether service is back in time once all is well."""
        now_s = self.world.now
        if self.healing or self.is_serving():
            self.served_s = now_s
        elif now_s - max(self.served_s, self.last_change_s) > RECOVERY_S:
            detail = f"no service at {now_s:.1f}, all well since {self.last_change_s:.1f}"
            self.invariants.broke(Invariant.RECOVERS, detail)
            return
        self.world.call_after(LOOK_S, self.watch_service)

    def step(self):
        """After each event: strike where that is due, and look at the invariants."""
        if self.points.due:
            self.points.strike()

    def run(self, until=None, limit_s=60.0, seconds=None):
        """Let time pass with the schedule's strikes; gives whether `until` came true."""

        def after_event():
            self.step()
            return until is not None and until()

        return self.world.run(seconds, after_event, limit_s)

    def apply(self, action: Action):
        """Let a fault strike, unless it would lose more at once than the cores have to bear."""
        if action.core not in self.present() or not self._is_bearable(action):
            self.skipped.append(action)
            return
        self.applied.append(action)
        getattr(self, f"_{action.kind.value}")(action)

    def _is_bearable(self, action):
        """Whether no more disks are lost at once than may be; other losses may overlap beyond that."""
        self.has_settled = self.has_settled or self.is_settled()
        is_calm = not self.healing and self.world.now > self.last_change_s + CATCH_UP_S
        if is_calm and self.has_settled:
            self.empty.clear()
        wiped = set(self._wiped_by(action))
        is_bearable = not wiped or len(self.empty | wiped) <= self._disks_borne()
        if is_bearable:
            self.empty |= wiped
            self.last_change_s = self.world.now
        return is_bearable

    def _wiped_by(self, action):
        """The cores whose disks an action empties."""
        if action.kind not in LOSES_DISK:
            return []
        count = self._disks_borne() if action.kind is Kind.CLOSING else 1
        return self._from(action.core)[:count]

    def _disks_borne(self):
        """How many disks may be lost at once: until all cores vote, a majority of the founders must keep theirs."""
        return self.losses_borne if self.has_settled else (SEEDS_TOLD - 1) // 2

    def _from(self, name):
        """The present cores, from one of them on."""
        present = self.present()
        at = present.index(name) if name in present else 0
        return present[at:] + present[:at]

    def _later(self, delay_s, work):
        self.healing += 1

        def act():
            self.healing -= 1
            self.last_change_s = self.world.now
            work()

        self.world.call_after(delay_s, act)

    def _lose(self, name, is_power, is_wiped):
        self.world.kill(name, silent=is_power)
        folder = self.folders.get(name)
        if folder is None:
            return
        if is_power:
            folder.lose_power(torn=self.world.random.choice(TORN_BYTES))
        if is_wiped:
            folder.wipe()
            self.invariants.forget(name)
            self.disk_losses_s.append(self.world.now)

    def _kill(self, action):
        self._lose(action.core, False, False)
        self._later(action.for_s, lambda: self.start(action.core))

    def _leave(self, action):
        """The process is told to end, ends by itself, and is started again."""
        name, loop = action.core, self.world.loops.get(action.core)
        if name not in self.running():
            return
        core = self.up[name]

        async def stop():
            await core.stop()
            self.world.call_after(
                0, lambda: self.world.loops.get(name) is loop and self.world.kill(name)
            )
            self._later(action.for_s, lambda: self.start(name))

        self.world._within(loop, lambda: setattr(loop, "leaving", loop.create_task(stop())))

    def _power(self, action):
        self._lose(action.core, True, False)
        self._later(action.for_s, lambda: self.start(action.core))

    def _wipe(self, action):
        self._lose(action.core, True, True)
        self._later(action.for_s, lambda: self.start(action.core))

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
            self._lose(name, True, name in wiped)
            self._later(action.for_s, lambda name=name: self.start(name))

    def _replace(self, action):
        self._lose(action.core, True, True)
        self.gone.add(action.core)
        fresh = f"spare{len(self.gone)}"
        self.ips[fresh] = f"10.1.1.{len(self.gone)}"
        self.names[self.ips[fresh]] = fresh
        self._later(action.for_s, lambda: self._start_spare(fresh))

    def _start_spare(self, name):
        self.start(name)
        for core in self.running().values():
            core.membership.set_seeds(self.core_addrs()[:SEEDS_TOLD])

    def _cut_off(self, action, both, others=()):
        others = others or [ip for name, ip in self.ips.items() if name != action.core]
        pairs = self.net.cut([self.ips[action.core]], others, both)
        self._later(action.for_s, lambda: self.net.heal(pairs))

    def _cut(self, action):
        self._cut_off(action, True)

    def _link(self, action):
        present = self.present()
        after = present[(present.index(action.core) + 1) % len(present)]
        self._cut_off(action, True, [self.ips[after]])

    def _split(self, action):
        """The smaller half is this core and those after it."""
        names = self._from(action.core)
        half = len(names) // 2
        ips = [self.ips[name] for name in names]
        pairs = self.net.cut(ips[:half], ips[half:], True)
        self._later(action.for_s, lambda: self.net.heal(pairs))

    def _mute(self, action):
        self._cut_off(action, False)

    def _late(self, action):
        """The next message of the core comes after a while, whoever has given it up."""
        self.net.late_s[self.ips[action.core]] = action.for_s
        self._later(action.for_s, lambda: None)

    def _deliver(self, far, ip, frame):
        """Bring a late message to the process at an address, on its link if that still stands."""
        name = self.names[ip]
        loop, core = self.world.loops.get(name), self.up.get(name)
        if loop is None or loop.frozen or core is None or core.mesh.server is None:
            return
        link = far.protocol if far.loop is loop and not far.gone else None
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
            self._later(action.for_s, lambda: self._thaw(name))

    def _thaw(self, name):
        if name in self.world.loops and self.world.loops[name].frozen:
            self.world.thaw(name)

    def _stall(self, action):
        folder = self.folders[action.core]
        folder.stall_s = action.for_s
        self._later(action.for_s, lambda: setattr(folder, "stall_s", 0.0))

    def begin(self, name, make):
        """Begin a coroutine in a client's process; gives its task."""
        box, loop = [], self.world.loops.get(name)
        if loop is None:
            loop = self.world.start(name, CLIENTS[name], lambda: asyncio.sleep(0))
        self.world._within(loop, lambda: box.append(loop.create_task(make())))
        return box[0]

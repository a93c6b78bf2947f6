"""Random troubles on a platform's site, and what must be true after them: `python -m tests.gateway.storm FIRST LAST [KIND]`.

KIND is `rolling`, with routers that stop again and again, `late`, with messages that come seconds late, or `tenants`, with tenants
that come, turn and go.
"""

import asyncio
import itertools
import random
import sys

from swiftdeck.bench.platform_api.operator import patched
from swiftdeck.bench.platform_api.worker import QUIRKS
from tests.gateway.platform_cluster import BOUNDS, MODEL, PlatformCluster, document, route

PLANNED_SHARE, LONG_STREAMS_PER_S, LONG_EVENTS = 0.6, 3.0, (200, 1100)
GUESTS, GUEST_REQUESTS_PER_S, PATIENT_TARGET_MS = ("guest1", "guest2", "guest3"), 8.0, 6000
TENANT_CHANGE_SHARE, WHOLE_CONFIGURATION_SHARE = 0.7, 0.3


class Storm:
    """A site under load on which things happen at random, one seed a storm."""

    late_share, calm_s = 0.0, 9.0

    def __init__(self, seed, seconds=30.0, mean_s=1.6):
        self.rng = random.Random(seed)
        self.cluster = PlatformCluster(
            seed, routers=self.rng.choice((3, 4, 5)), models=self.rng.choice((3, 4, 6))
        ).start()
        self.mean_s, self.version, self.weights, self.tasks, self.log, self.has_end = (
            mean_s,
            5,
            2,
            [],
            [],
            False,
        )
        self.begin_load()
        self.cluster.world.run(2)
        self.cluster.late.share = self.late_share
        self._later()
        self.cluster.world.run(seconds)
        self.cluster.late.share = 0.0
        self.has_end = True

    def begin_load(self):
        """Let clients ask."""
        self.cluster.drive(self.rng.choice((6, 10)))

    def calm_down(self):
        """Let all come back, and give what is wrong after it."""
        cluster = self.cluster
        cluster.world.run(until=lambda: all(task.done() for task in self.tasks), limit_s=45)
        cluster.world.run(self.calm_s)
        found = [f"{rule}: {breaches}" for rule, breaches in cluster.breaches().items()]
        cluster.world.run(1)
        found += [
            f"operator got {task.result() if task.done() else 'nothing'}"
            for task in self.tasks
            if not task.done() or task.result() != 200
        ]
        found += [
            f"{name}: {what}"
            for name in cluster.routers()
            for what in self._wrong(cluster.up[name])
        ]
        found += [
            f"{name} is not back" for name in cluster.machines if name not in cluster.world.loops
        ]
        newest = max([1, *cluster.operator.named.values()])
        found += [
            f"{name} has version {cluster.up[name].versions}"
            for name in cluster.workers
            if name.startswith("lm")
            and name in cluster.world.loops
            and cluster.up[name].versions[MODEL] != newest
        ]
        return found + [f"process failed: {fault}" for fault in cluster.world.faults]

    @staticmethod
    def _wrong(gateway):
        """What is wrong with a gateway that has been calm for a while."""
        place_table = gateway.admission.place_table.status()
        states = {
            "not ready": not gateway.is_ready(),
            "without lease": not gateway.lease.is_held(),
            "requests open": gateway.open,
            "places taken": sum(book["open"] + book["line"] for book in place_table.values()),
            "calls counted": sum(
                each.running or each.running_long
                for each in gateway.worker_registry.workers.values()
            ),
            "connections counted": sum(gateway.pool.count.values())
            - sum(map(len, gateway.pool.idle.values())),
            "old list": gateway.listing.age_ms() > 5000,
        }
        return [f"{name} ({state})" for name, state in states.items() if state]

    def _later(self):
        self.cluster.world.call_after(self.rng.expovariate(1 / self.mean_s), self._act)

    def _act(self):
        if not self.has_end:
            name = self.rng.choice([each for each in dir(self) if each.startswith("on_")])
            self.log.append((round(self.cluster.world.now, 2), name, getattr(self, name)()))
            self._later()

    def _running(self, role):
        loops = self.cluster.world.loops
        return [
            name
            for name in self.cluster.machines
            if name.startswith(role) and name in loops and not loops[name].frozen
        ]

    def _one(self, role):
        """One machine that may be troubled: of the cores only while all run, of the routers while another runs."""
        running = self._running(role)
        return self.rng.choice(running) if len(running) >= (3 if role == "core" else 2) else None

    def _worker(self):
        running = [name for name in self.cluster.workers if name in self.cluster.world.loops]
        return self.rng.choice(running) if len(running) > 3 else None

    def on_kill(self):
        name = self._one(self.rng.choice(("core", "router")))
        return (
            name
            and self.cluster.kill(name, self.rng.random() < 0.3, back_s=self.rng.uniform(0.3, 5))
            or name
        )

    def on_freeze(self):
        name = self._one(self.rng.choice(("core", "router")))
        return name and self.cluster.freeze(name, self.rng.uniform(0.3, 6)) or name

    def on_cut(self):
        name, cluster, for_s = (
            self._one(self.rng.choice(("core", "router"))),
            self.cluster,
            self.rng.uniform(0.5, 6),
        )
        if name:
            others = [ip for each, ip in cluster.machines.items() if each != name]
            pairs = cluster.trouble(
                name, lambda: cluster.world.net.cut([cluster.machines[name]], others), for_s
            )
            cluster.world.call_after(for_s, lambda: cluster.world.net.heal(pairs))
        return name

    def on_all_cores(self):
        running = self._running("core")
        for name in running if len(running) == 3 else ():
            self.cluster.kill(name, back_s=self.rng.uniform(0.3, 1))
            self.cluster.folders[name].lose_power()

    def on_crash(self):
        name, cluster = self._worker(), self.cluster
        if name:
            cluster.world.kill(name, self.rng.random() < 0.3)
            cluster.world.call_after(3, lambda: name in cluster.world.loops or cluster.forget(name))
            cluster.world.call_after(
                self.rng.uniform(3.5, 6),
                lambda: name in cluster.world.loops or cluster.start_worker(name),
            )
        return name

    def on_leave(self):
        name, cluster = self._worker(), self.cluster
        if name:
            life = cluster.up[name]
            life.is_leaving = True

            def end():
                if cluster.up[name] is life and name in cluster.world.loops:
                    cluster.world.kill(name)
                    cluster.forget(name)
                    cluster.world.call_after(2.5, lambda: cluster.start_worker(name))

            cluster.world.call_after(4.6, end)
        return name

    def on_quirk(self):
        name = self._worker()
        if name:
            life = self.cluster.up[name]
            life.quirk, life.quirk_share = self.rng.choice(QUIRKS[1:]), self.rng.choice((0.2, 0.6))
            self.cluster.world.call_after(4, lambda: setattr(life, "quirk", ""))
        return name and (name, life.quirk)

    def on_gaps(self):
        for name in [each for each in self.cluster.workers if each in self.cluster.world.loops]:
            cache = self.cluster.up[name].cache
            cache.lost_share, cache.late_s = self.rng.choice((0, 0.5)), self.rng.choice((0, 1.0))

    def on_store(self):
        if "store" in self.cluster.world.loops:
            self.cluster.world.kill("store")
            self.cluster.world.call_after(2, self.cluster.start_store)

    def _operate(self, make):
        if all(task.done() for task in self.tasks):
            self.tasks.append(self.cluster.beside(make))

    def on_change(self):
        version, self.version = self.version, self.version + self.rng.randint(2, 4)
        put = {"routes": [route(f"r-v{version}", f"/v{version}/", "app")]}
        old = [
            each["name"]
            for each in self.cluster.operator.document["routes"]
            if each["name"].startswith("r-v")
        ]
        self._operate(
            lambda: self.cluster.operator.patch(
                version,
                put=put,
                remove={"routes": old[:1]} if self.rng.random() < 0.5 and old else None,
            )
        )

    def on_weights(self):
        version, self.weights = self.weights, self.weights + 1
        self._operate(lambda: self.cluster.operator.name(MODEL, version))


class RollingStorm(Storm):
    """A storm in which routers are told to stop again and again, and the time of connections at rest changes."""

    def __init__(self, seed, seconds=30.0, mean_s=1.6):
        self.long_calls = random.Random(seed)
        super().__init__(seed, seconds, mean_s)

    def begin_load(self):
        super().begin_load()
        self.cluster.load.append(self.cluster.beside(self._ask_for_long_streams, "clients"))

    async def _ask_for_long_streams(self):
        """Streams of one to five seconds on connections that are kept."""
        while True:
            await asyncio.sleep(self.long_calls.expovariate(LONG_STREAMS_PER_S))
            name = self.long_calls.choice(("r-stream", "r-resume"))
            asking = self.cluster._asking(
                name, parts=[("hello", 90)], out=self.long_calls.randrange(*LONG_EVENTS)
            )
            self.cluster.running.append(asyncio.ensure_future(asking))

    def _act(self):
        if not self.has_end and self.rng.random() < PLANNED_SHARE:
            planned = self.rng.choice((self.stop_router, self.change_idle))
            self.log.append((round(self.cluster.world.now, 2), planned.__name__, planned()))
        super()._act()

    def stop_router(self):
        """SIGTERM to a router, SIGKILL after its grace or its end, and a new start."""
        name, cluster = self._one("router"), self.cluster
        if name is None or len(self._running("router")) < 3:
            return None
        loop, stopping = cluster.world.loops[name], cluster.terminate(name)

        def end():
            if cluster.world.loops.get(name) is loop:
                cluster.world.kill(name)
                cluster.world.call_after(0.5, lambda: cluster.start_router(name))

        def look():
            end() if stopping.done() else cluster.world.call_after(0.1, look)

        look()
        cluster.world.call_after(BOUNDS["grace_s"], end)
        return name

    def change_idle(self):
        """Another time that connections may rest."""
        version, self.version = self.version, self.version + 2
        limits = document()["limits"] | {"idle-ms": self.rng.choice((300, 2000, 15000))}
        operator = self.cluster.operator
        self._operate(lambda: operator.put(operator.document | {"limits": limits}, version))
        return limits["idle-ms"]


class LateStorm(Storm):
    """A storm in which a share of all messages between processes comes late, some of them only then.

    The last of them come 12 s later; what a late question for a place takes lapses 6.5 s after it.
    """

    late_share, calm_s = 0.1, 20.0


class TenantStorm(Storm):
    """A storm in which tenants come, become isolated, cease to be and go, while their clients ask on."""

    def __init__(self, seed, seconds=30.0, mean_s=1.6):
        self.guest_rng = random.Random(f"guests of {seed}")
        super().__init__(seed, seconds, mean_s)

    def begin_load(self):
        operator = self.cluster.operator
        patient = route("r-stream", **{"target-ms": PATIENT_TARGET_MS})
        self.cluster.operate(lambda: operator.patch(4, put={"routes": [patient]}))
        super().begin_load()
        self.cluster.load.append(self.cluster.beside(self._ask_as_guests, "clients"))

    async def _ask_as_guests(self):
        """Ask with keys of guests, whether they are there or not, for parts that all tenants use."""
        for number in itertools.count():
            await asyncio.sleep(self.guest_rng.expovariate(GUEST_REQUESTS_PER_S))
            parts = [
                (f"book{self.guest_rng.randrange(3)}", 13000),
                (f"guest{number}", self.guest_rng.choice((300, 3000, 60000))),
            ]
            asking = self.cluster._asking(
                self.guest_rng.choice(("r-stream", "r-resume")),
                f"g{number}",
                None,
                key=f"key-{self.guest_rng.choice(GUESTS)}",
                parts=parts,
            )
            self.cluster.running.append(asyncio.ensure_future(asking))

    def _act(self):
        if not self.has_end and self.guest_rng.random() < TENANT_CHANGE_SHARE:
            self.log.append((round(self.cluster.world.now, 2), "tenant", self.change_tenant()))
        super()._act()

    def change_tenant(self):
        """Add, isolate, cease to isolate or remove a guest, by its item or a whole configuration."""
        operator, guest = self.cluster.operator, self.guest_rng.choice(GUESTS)
        version, self.version = self.version, self.version + 2
        customers = operator.document["customers"]
        present = {each["name"]: each["isolated"] for each in customers}
        isolation = self.guest_rng.choice(
            [each for each in (None, False, True) if each != present.get(guest)]
        )
        item = {"name": guest, "api-keys": [f"key-{guest}"], "urgency": 1, "isolated": isolation}
        put = None if isolation is None else {"customers": [item]}
        remove = {"customers": [guest]} if isolation is None else None
        if self.guest_rng.random() < WHOLE_CONFIGURATION_SHARE:
            self._operate(lambda: operator.put(patched(operator.document, put, remove), version))
        else:
            self._operate(lambda: operator.patch(version, put=put, remove=remove))
        return guest, isolation


KINDS = {"": Storm, "rolling": RollingStorm, "late": LateStorm, "tenants": TenantStorm}


def main():
    """Run storms and say what was wrong after each; the exit status is the number of storms with faults."""
    count = 0
    kind = KINDS[sys.argv[3] if len(sys.argv) > 3 else ""]
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        storm = kind(seed)
        found = storm.calm_down()
        count += bool(found)
        print(
            seed,
            storm.cluster.served(),
            len(storm.tasks),
            *(found and [*found, storm.log]),
            sep="\n   " if found else " ",
            flush=True,
        )
    return min(count, 100)


if __name__ == "__main__":
    sys.exit(main())

"""Faults drawn from a seed, upon a whole site in virtual time, judged by the records."""

import time
from collections import Counter
from unittest import mock

from swiftdeck.bench.checker import check
from swiftdeck.config.document import key_digest
from swiftdeck.http.client import fetch_json
from swiftdeck.sim.town import Town


class Storm:
    """One run of a scenario under one seed."""

    def __init__(self, scenario, seed, seconds=60.0, site=None, routers=9, speed=0.1, **settings):
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        site = site or ("hinokuni" if seed % 2 else "serraria")
        self.town = Town(
            seed,
            site,
            routers=routers,
            workers=None,
            speed=speed,
            models=2 if seed % 3 == 0 else 1,
            **settings,
        )
        self.random = self.town.world.random
        self.done, self.falls, self.fallen = [], 0, {}
        self.weights, self.wallS, self.keys, self.is_rolling = "w1", 0.0, 0, False
        self.rolled = {}

    def log(self, what):
        """Note a fault in the trace."""
        self.done.append((round(self.town.world.now, 3), what))

    def fall(self, name):
        """Note that a process is not well from now on; gives what is to be called when it is well again."""
        self.falls += 1
        number, town = self.falls, self.town
        self.fallen[number] = name
        town.record("operator")("kill", target=name, id=number, keeper=name in town.keeper_names())

        def back():
            if self.fallen.pop(number, None):
                town.record("operator")("back", id=number, target=name)

        return back

    def traffic(self):
        """Long checks as agents and short calls, either crowded or with short calls ten times as many."""
        town = self.town
        town.caller.returns = 3
        is_crowded = self.seed // 2 % 2
        agents = {
            name: 1 + (at < 2) if is_crowded else at < 3 for at, name in enumerate(town.site.keys)
        }
        town.spawn(
            lambda: town.caller.run(
                self.seconds + 55,
                {name: int(count) for name, count in agents.items()},
                1.5 if is_crowded else 1.0,
            )
        )

    def run(self) -> dict:
        """Traffic while faults come, then a closing fault; gives breaches and sums."""
        with mock.patch("time.time", lambda wall=time.time: wall() + self.wallS):
            return self._run()

    def _run(self):
        town = self.town
        town.start(cap=self.random.choice([2, 4, 8]))
        world = town.world
        self.traffic()
        self.quiet()
        end_s = world.now + self.seconds
        next_read_s = world.now
        while world.now < end_s:
            world.run(self.random.uniform(1.0, 5.0))
            self.strike()
            if world.now > next_read_s:
                next_read_s = world.now + 5
                self.read()
        self.mend_all()
        town.record("operator")("closing")
        self.ask_steadily()
        world.run(14)
        self.closing()
        self.ask_steadily()
        world.run(16)
        self.read()
        town.caller.stopping = True
        self.mend_all()
        world.run(30)
        self.readBack()
        breaches = check(town.records, {town.site.apart})
        if town.world.faults:
            breaches["noTraceback"] = [
                f"{name}: {context.get('message')} {context.get('exception')!r}"
                for name, context in town.world.faults[:5]
            ]
        failed = town.counters()["faults.404"] + town.counters()["http.faults.404"]
        if failed:
            breaches["noHandlerFails"] = [f"{failed} messages or exchanges met an internal fault"]
        back = [item for item in town.records if item["kind"] == "return"]
        return {
            "seed": self.seed,
            "breaches": breaches,
            "faults": len(self.done),
            "returns": len(back),
            "served": sum(item["whole"] for item in back),
            "codes": dict(Counter(item["code"] for item in back)),
            "runs": sum(item["kind"] == "run" for item in town.records),
            "version": town.version,
            "steps": world.steps,
            "acts": dict(town.counters()),
        }

    def quiet(self):
        """Some seconds in which nothing fails and changes are made."""
        town = self.town
        town.record("operator")("quiet", untilMs=int(town.world.now * 1000) + 6000)
        for _ in range(4):
            self.random.choice([self.patch, self.rekey, self.race, self.route])()
            town.world.run(1.5)

    def closing(self):
        """One last fault that nobody mends, or an outage that ends by itself."""
        town = self.town
        fault = self.random.choice(
            [
                "kill some",
                "cut a zone",
                "kill all cores",
                "freeze keeper and tail",
                "cut the core in two",
                "whole outage",
                "platform restarts",
            ]
        )
        tail = next((name for name in town.core_names() if town.up[name].chain.isLast()), None)
        keeper = town.keeper()
        self.log(f"closing: {fault}")
        if fault == "kill some":
            others = [name for name in town.router_names() if name != keeper]
            for name in (tail, keeper, self._pick(others), self._pick(self._workers())):
                if name:
                    self.fall(name)
                    town.world.kill(name, silent=True)
        elif fault == "cut a zone":
            zone = self.random.choice(["z1", "z2", "z3"])
            nodes = [*town.site.cores, *town.site.routers]
            near = [self._ip(node["name"]) for node in nodes if node["zone"] == zone]
            near += [
                worker["addr"].rpartition(":")[0]
                for worker in town.site.workers
                if worker["zone"] == zone
            ]
            for node in [*nodes, *town.site.workers]:
                if node["zone"] == zone:
                    self.fall(node["name"])
            town.world.net.cut(near, [ip for ip in town.ips.values() if ip not in near])
        elif fault == "kill all cores":
            for name in town.core_names():
                self._kill(name, least=0.5, most=2.0)
        elif fault == "cut the core in two":
            names = town.core_names()
            alone = self._pick(names)
            town.world.net.cut(
                [self._ip(alone)], [self._ip(name) for name in town.addresses if name != alone]
            )
        elif fault == "whole outage":
            for name in [*town.core_names(), *town.router_names(), *self._workers()]:
                self._kill(name, least=0.5, most=2.0)
        elif fault == "platform restarts":
            town.world.kill("platform")
            self.fall("platform")
            self._later(
                lambda: town.world.start(
                    "platform", town.site.platform.rpartition(":")[0], town.up["platform"].start
                ),
                1,
                4,
            )
        else:
            for name in [each for each in (tail, keeper) if each]:
                self.fall(name)
                town.world.freeze(name)
        town.record("operator")("closing")

    def ask_steadily(self, seconds=12):
        """Ask each route once a second, for agents that met an outage may all be waiting it out."""
        town = self.town

        def ask(route, tenant):
            town.spawn(
                lambda: town.caller.call(
                    tenant,
                    route,
                    [town.caller.book[route], "again"],
                    maxTokens=16,
                    isLast=True,
                    timeoutS=10,
                )
            )

        for at in range(seconds):
            for route in sorted(town.caller.book):
                town.world.at(at, lambda route=route: ask(route, self._pick(town.site.keys)))

    def strike(self):
        """Bring one fault of the scenario about."""
        name = self.random.choice(SCENARIOS[self.scenario])
        getattr(self, name)()

    def _later(self, action, least=1.0, most=12.0):
        self.town.world.at(self.random.uniform(least, most), action)

    def _pick(self, names):
        return self.random.choice(sorted(names)) if names else None

    def _back(self, name):
        town = self.town
        if name in town.world.loops:
            return
        if name.startswith("core"):
            town.start_core(name)
        elif name.startswith("router"):
            town.start_router(name)
        elif name.startswith("worker"):
            town.start_worker(name, weights=self.random.choice(["w1", self.weights]))

    def _kill(self, name, silent=False, least=1.0, most=12.0):
        town = self.town
        if name is None or name not in town.world.loops:
            return
        back = self.fall(name)
        town.world.kill(name, silent)
        if name in town.folders:
            town.folders[name].lose_power(torn=self.random.choice([0, 0, 1, 7, 40]))
        self.log(f"kill {name}")

        def again():
            self._back(name)
            back()

        self._later(again, least, most)

    def _workers(self):
        return [
            worker["name"]
            for worker in self.town.site.workers
            if worker["name"] in self.town.world.loops
        ]

    def crash_worker(self):
        self._kill(self._pick(self._workers()))

    def vanish_worker(self):
        self._kill(self._pick(self._workers()), silent=True)

    def kill_router(self):
        self._kill(self._pick(self.town.router_names()), silent=self.random.random() < 0.5)

    def kill_keeper(self):
        self._kill(self.town.keeper())

    def kill_core(self):
        if len(self.town.core_names()) == 3:
            self._kill(self._pick(self.town.core_names()))

    def kill_all_cores(self):
        for name in self.town.core_names():
            self._kill(name, least=0.5, most=3.0)

    def kill_many(self):
        for name in sorted(
            self.random.sample(self.town.router_names(), min(4, len(self.town.router_names())))
        ):
            self._kill(name, least=0.5, most=4.0)
        self.kill_core()

    def freeze(self):
        self._freeze(self._pick([*self.town.core_names(), *self.town.router_names()]))

    def freeze_keeper(self):
        self._freeze(self.town.keeper())

    def freeze_busy(self):
        """A router is frozen with a grant in hand that it has not yet acted on, and wakes after its slot was given away."""
        town, end_s = self.town, self.town.world.now + 3.0

        def look():
            for name in town.router_names():
                attempts = [
                    running.call.ledger.attempts[-1]
                    for running in town.up[name].running.values()
                    if running.call.ledger.attempts
                ]
                if name != town.keeper() and any(
                    attempt.grant is not None and not attempt.was_sent for attempt in attempts
                ):
                    return self._freeze(name, least=3.2)
            if town.world.now < end_s:
                town.world.at(0.001, look)

        look()

    def freeze_worker(self):
        self._freeze(self._pick(self._workers()), most=6)

    def _freeze(self, name, most=15, least=0.5):
        town = self.town
        if name and not town.world.loops[name].frozen:
            town.world.freeze(name)
            back, loop = self.fall(name), town.world.loops[name]
            self.log(f"freeze {name}")

            def thaw():
                if town.world.loops.get(name) is loop and loop.frozen:
                    town.world.thaw(name)
                back()

            self._later(thaw, least, most)

    def _ip(self, name):
        return self.town.addresses[name]["inner"].rpartition(":")[0]

    def _cut(self, near, both=True):
        town = self.town
        everyone = [self._ip(name) for name in town.addresses] + [
            town.site.platform.rpartition(":")[0]
        ]
        workers = [worker["addr"].rpartition(":")[0] for worker in town.site.workers]
        far = [
            ip
            for ip in everyone + (workers if self.random.random() < 0.3 else [])
            if ip not in near
        ]
        backs = [self.fall(name) for name in town.router_names() if self._ip(name) in near]
        pairs = town.world.net.cut(near, far, both)
        self.log(f"cut {near} both={both}")

        def heal():
            town.world.net.heal(pairs)
            for back in backs:
                back()

        self._later(heal, 1, 15)

    def cut_router(self):
        self._cut([self._ip(self._pick(self.town.addresses))], self.random.random() < 0.7)

    def cut_core(self):
        names = sorted(name for name in self.town.addresses if name.startswith("core"))
        some = self.random.sample(names, self.random.choice([1, 1, 2]))
        routers = sorted(name for name in self.town.addresses if name.startswith("router"))
        near = some + self.random.sample(routers, self.random.randint(0, len(routers) // 2))
        self._cut([self._ip(name) for name in near], self.random.random() < 0.7)

    def lose_disk(self):
        town = self.town
        if len(town.core_names()) == 3 and all(
            town.up[name].agreement.position() >= 0 for name in town.core_names()
        ):
            name = self._pick(town.core_names())
            self._patch({"models": {town.site.model: {"lineMax": self.random.randint(20, 90)}}})
            self._kill(name)
            town.folders[name].wipe()
            self.log(f"wipe {name}")

    def fill_disk(self):
        town, name = self.town, self._pick(self.town.core_names())
        folder = town.folders.get(name)
        if folder:
            folder.full = True
            self.log(f"full {name}")
            self._later(lambda: setattr(folder, "full", False), 1, 15)

    def stall_disk(self):
        town, name = self.town, self._pick(self.town.core_names())
        folder = town.folders.get(name)
        if folder:
            folder.stallS = self.random.choice([0.05, 0.3, 5.0])
            self.log(f"stall {name} {folder.stallS}")
            self._later(lambda: setattr(folder, "stallS", 0.0), 1, 10)

    def new_address(self):
        town = self.town
        if len(town.core_names()) < 3 or any(
            town.up[name].agreement.position() < 0 for name in town.core_names()
        ):
            return
        name = self._pick(town.core_names())
        town.world.kill(name)
        town.folders[name].wipe()
        machine = f"{name}-{len(self.done)}"
        town.addresses[name] |= {
            "inner": f"{town.ip(machine)}:7000",
            "http": f"{town.ip(machine)}:8000",
        }
        town.seeds = [core["inner"] for core in town.site.cores]
        for other in [*town.core_names(), *town.router_names()]:
            town.up[other].membership.set_seeds(town.seeds)
        self.log(f"empty {name} at a new address")
        self._later(lambda: self._back(name), 2, 6)

    def _patch(self, document, then=lambda: None, name=None):
        town = self.town
        name, base = name or self._pick(town.core_names()), town.version
        if name is None:
            return
        changeId, askedMs = (
            f"storm-{len(town.records)}-{self.random.getrandbits(32)}",
            int(town.world.now * 1000),
        )

        async def work():
            got = await fetch_json(
                town.addresses[name]["http"],
                "PATCH",
                f"/v1/config?base={base}",
                document,
                [("change-id", changeId)],
                14000,
            )
            if got and got[0] == 200:
                town.version = max(town.version, got[1]["version"])
                then()
            town.record("operator")(
                "change",
                method="PATCH",
                base=base,
                document=document,
                status=got[0] if got else 0,
                answer=got[1] if got else {"changeId": changeId},
                askedMs=askedMs,
            )

        town.spawn(work)

    def patch(self):
        self._patch({"models": {self.town.site.model: {"cap": self.random.randint(2, 8)}}})

    def race(self):
        for _ in range(3):
            self.patch()

    def invalid(self):
        self._patch(
            {
                "tenants": {"nobody": {"keys": ["sha256:" + "0" * 64]}},
                "routes": {"check": {"model": "nobody"}},
            }
        )

    def rekey(self):
        """A tenant's key is exchanged; its callers know the new one once it is in force."""
        town, tenant = self.town, self._pick(self.town.site.keys)
        self.keys += 1
        key = f"key-{tenant}-{self.keys}"
        self._patch(
            {"tenants": {tenant: {"keys": [key_digest(key)]}}},
            lambda: town.caller.keys.update({tenant: key}),
        )
        self.log(f"rekey {tenant}")

    def route(self):
        """A route comes, and goes with a later change."""
        held = [
            name
            for item in self.town.records
            if item["kind"] == "change" and item["status"] == 200
            for name, route in (item["document"].get("routes") or {}).items()
            if route and name.startswith("extra-")
        ]
        if held and self.random.random() < 0.5:
            self._patch({"routes": {self.random.choice(held): None}})
        else:
            self._patch(
                {"routes": {f"extra-{len(self.town.records)}": {"model": self.town.site.model}}}
            )

    def power_after_ack(self):
        """Power goes, of one core or of all, in the moment of an acknowledgement."""
        names = (
            self.town.core_names()
            if self.random.random() < 0.5
            else [self._pick(self.town.core_names())]
        )
        self._patch(
            {"models": {self.town.site.model: {"lineMax": self.random.randint(20, 90)}}},
            lambda: self.town.world.at(
                0.0, lambda: [self._kill(name, least=0.3, most=3.0) for name in names]
            ),
        )

    def kill_after_fault(self):
        """A second fault soon after a first: slow disk then power, freeze then kill, cut then restart."""
        name = self._pick(self.town.core_names())
        if name is None or len(self.town.core_names()) < 3:
            return
        first = self.random.choice(["slow", "freeze", "cut"])
        self.patch()
        if first == "slow":
            self._slow_disk(name, self.random.uniform(0.1, 0.9))
        elif first == "freeze":
            self._freeze(name)
        else:
            self._cut([self._ip(name)], self.random.random() < 0.5)
        self._later(lambda: self._kill(name, least=0.2, most=4.0), 0.2, 2.0)

    def slow_disk(self):
        self._slow_disk(self._pick(self.town.core_names()), self.random.uniform(0.02, 0.9))

    def _slow_disk(self, name, stallS):
        folder = self.town.folders.get(name)
        if folder:
            folder.stallS = stallS
            self.log(f"slow disk {name} {stallS:.2f}")
            self._later(lambda: setattr(folder, "stallS", 0.0), 2, 15)

    def jump_wall(self):
        """The wall clocks jump; nothing that decides may notice."""
        self.wallS += self.random.choice([-86400.0, -30.0, 30.0, 86400.0])
        self.log("wall clock")

    def cut_platform(self):
        """Some routers, or all, can't reach the platform, and one side may be shown a drain."""
        town = self.town
        some = self.random.sample(
            town.router_names(), self.random.randint(1, len(town.router_names()))
        )
        pairs = town.world.net.cut(
            [self._ip(name) for name in some],
            [town.site.platform.rpartition(":")[0]],
            self.random.random() < 0.5,
        )
        backs = [self.fall(name) for name in some]
        self.log(f"cut platform from {len(some)}")
        self._later(lambda: (town.world.net.heal(pairs), [back() for back in backs]), 1, 10)
        self.drain()

    def split_list(self):
        """The keeper and half of the routers are cut from the platform and from the others, who are then shown a drain."""
        town, keeper = self.town, self.town.keeper()
        others = [name for name in town.router_names() if name != keeper]
        if keeper is None or len(others) < 2:
            return
        near = [keeper, *self.random.sample(others, len(others) // 2)]
        far = [self._ip(name) for name in others if name not in near]
        backs = [self.fall(name) for name in near]
        pairs = town.world.net.cut(
            [self._ip(name) for name in near], [town.site.platform.rpartition(":")[0], *far]
        )
        self.log(f"split list {near}")
        self._later(self.drain, 2, 3)
        self._later(lambda: (town.world.net.heal(pairs), [back() for back in backs]), 8, 12)

    def power_before_sync(self):
        """The head's disk is slow, and its power goes after an operator may have read what it has not yet synced."""
        town = self.town
        name = next((each for each in town.core_names() if town.up[each].chain.is_first()), None)
        if name is None or len(town.core_names()) < 3 or not town.up[name].chain.is_whole():
            return
        folder = town.folders[name]
        folder.stallS = 0.9
        self.log(f"power before sync {name}")
        self._patch(
            {"models": {town.site.model: {"lineMax": self.random.randint(20, 90)}}},
            name=self._pick([each for each in town.core_names() if each != name]),
        )

        def lose():
            folder.stallS = 0.0
            self._kill(name, least=0.05, most=0.3)

        self._later(self.read, 0.4, 0.5)
        self._later(lose, 0.6, 0.8)

    def oneWay(self):
        name = self._pick(self.town.addresses)
        self._cut([self._ip(name)], False)

    def write_both_sides(self):
        """The core is cut in two, and operators write on both sides."""
        names = self.town.core_names()
        if len(names) == 3:
            alone = self._pick(names)
            routers = self.town.router_names()
            near = [alone, *self.random.sample(routers, len(routers) // 2)]
            self._cut([self._ip(name) for name in near], True)
            for name in (alone, next(name for name in names if name != alone)):
                self._patch(
                    {"models": {self.town.site.model: {"cap": self.random.randint(2, 8)}}},
                    name=name,
                )

    def roll_workers(self):
        """All workers are replaced, one after another."""
        town = self.town
        for at, worker in enumerate(town.site.workers):
            self._later(lambda name=worker["name"]: self._release(name), 1 + 7 * at, 2 + 7 * at)
        self.log("roll workers")

    def roll_nodes(self):
        """All routers and cores are ended politely and started again, one after another."""
        town, names = self.town, sorted(self.town.addresses)
        if self.is_rolling:
            return
        self.is_rolling = True
        self.random.shuffle(names)

        def roll(name):
            if not self.is_rolling or name not in town.world.loops or town.world.loops[name].frozen:
                return
            back, loop = self.fall(name), town.world.loops[name]
            town.world._within(loop, lambda: loop.create_task(town.up[name].stop()))

            def again():
                if self.rolled.pop(name, None) is None:
                    return
                if town.world.loops.get(name) is loop:
                    town.world.kill(name)
                if name in town.folders:
                    town.folders[name].lose_power()
                self._back(name)
                back()

            self.rolled[name] = again
            self._later(again, 4, 6)

        for at, name in enumerate(names):
            self._later(lambda name=name: roll(name), 1 + 8 * at, 2 + 8 * at)
        self.log("roll nodes")

    def new_weights(self):
        number = int(self.weights[1:])
        again = number > 2 and self.random.random() < 0.25
        self.weights = f"w{number - 1}" if again else f"w{number + 1}"
        self._patch({"models": {self.town.site.model: {"weights": self.weights}}})
        self.log(f"weights {self.weights}")

    def grow(self):
        at = len(self.done)
        self._patch(
            {
                "routes": {
                    f"grown-{at}-{number}": {"model": self.town.site.model} for number in range(400)
                }
            }
        )

    def drain(self):
        self._release(self._pick([worker["name"] for worker in self.town.site.workers]))

    def _release(self, name):
        """A worker drains, leaves the list, ends, and a new one takes its place."""
        town = self.town
        platform, plan = (
            town.up.get("platform"),
            next(worker for worker in town.site.workers if worker["name"] == name),
        )
        left = [
            each
            for each in platform.workers.values()
            if not each["draining"] and each["model"] == plan["model"]
        ]
        if name not in platform.workers or platform.workers[name]["draining"] or len(left) < 2:
            return
        platform.drain(name)
        self.log(f"drain {name}")
        falls = []

        def leave():
            falls.append(self.fall(name))
            platform.remove(name)
            town.world.kill(name)

        def again():
            self._back(name)
            platform.add(plan)
            for back in falls:
                back()

        self._later(leave, 4, 5.5)
        self._later(again, 6, 7)

    def quirk(self):
        town, name = self.town, self._pick(self._workers())
        if name:
            worker, quirk = (
                town.up[name],
                self.random.choice(
                    [
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
                ),
            )
            worker.quirk = quirk
            worker.record("quirk", quirk=quirk)
            self.log(f"quirk {name} {quirk}")

            def mend():
                if town.up.get(name) is worker:
                    worker.quirk = ""
                    worker.record("quirk", quirk="")

            self._later(mend, 1, 6)

    def slow_links(self):
        for name in self._workers():
            self.town.up[name].linkS = self.random.choice([0.0, 0.5, 5.0])

    def lose_store(self):
        town = self.town
        if "store" in town.world.loops:
            town.world.kill("store")
            self.log("kill store")
            self._later(town.start_store, 2, 10)

    def lose_platform(self):
        town = self.town
        if "platform" in town.world.loops and not town.world.loops["platform"].frozen:
            town.world.freeze("platform")
            back = self.fall("platform")
            self.log("freeze platform")
            self._later(lambda: (town.world.thaw("platform"), back()), 1, 14)

    def lose_datagrams(self):
        self.town.world.net.loss_rate = self.random.choice([0.0, 0.1, 0.4])

    def slow_clock(self):
        loop = self.town.world.loops.get(
            self._pick([*self.town.core_names(), *self.town.router_names()])
        )
        if loop:
            now_s = loop.time()
            loop.rate = self.random.choice([0.97, 1.0, 1.03])
            loop.offset = now_s - self.town.world.now * loop.rate

    def read(self):
        """An operator reads the configuration, and the record says what came."""
        town, askedMs = self.town, int(self.town.world.now * 1000)
        name = self._pick(town.core_names())
        if name is None:
            return

        async def work():
            got = await fetch_json(
                town.addresses[name]["http"], "GET", "/v1/config", timeoutMs=5000
            )
            is_good = bool(got) and got[0] == 200
            town.record("operator")(
                "read",
                status=got[0] if got else 0,
                version=got[1]["version"] if is_good else 0,
                askedMs=askedMs,
                **({"document": got[1]["document"]} if is_good else {}),
            )

        town.spawn(work)

    def mend_all(self):
        """End all faults."""
        town, self.is_rolling = self.town, False
        for again in list(self.rolled.values()):
            again()
        town.world.net.heal()
        town.world.net.loss_rate = 0.0
        for folder in town.folders.values():
            folder.full, folder.stallS = False, 0.0
        for name in [*town.addresses, *(worker["name"] for worker in town.site.workers)]:
            if name in town.world.loops and town.world.loops[name].frozen:
                town.world.thaw(name)
            self._back(name)
        if town.world.loops["platform"].frozen:
            town.world.thaw("platform")
        if "store" not in town.world.loops:
            town.start_store()
        for worker in town.site.workers:
            if town.up[worker["name"]].quirk:
                town.up[worker["name"]].quirk = ""
                town.up[worker["name"]].record("quirk", quirk="")
            town.up["platform"].workers.setdefault(worker["name"], worker)
            town.up["platform"].drain(worker["name"], False)
        for number, name in list(self.fallen.items()):
            del self.fallen[number]
            town.record("operator")("back", id=number, target=name)

    def readBack(self):
        """What became of each undecided change, and the whole configuration at the end of the day."""
        town = self.town
        town.record("operator")("dayEnds")
        known = {
            item["answer"].get("changeId")
            for item in town.records
            if item["kind"] == "change" and item["status"] == 200
        }
        for item in [
            each
            for each in town.records
            if each["kind"] == "change" and each["status"] not in (200, 409, 422)
        ]:
            changeId = item["answer"].get("changeId", "")
            got = (
                town.ask("GET", f"/v1/changes/{changeId}")
                if changeId and changeId not in known
                else None
            )
            if got and got[0] == 200:
                item |= {
                    "status": 200,
                    "answer": got[1],
                    "atMs": int(town.world.now * 1000),
                    "settled": True,
                }
        askedMs, got = int(town.world.now * 1000), town.ask("GET", "/v1/config")
        is_good = bool(got) and got[0] == 200
        town.record("operator")(
            "read",
            status=got[0] if got else 0,
            version=got[1]["version"] if is_good else 0,
            askedMs=askedMs,
            **({"document": got[1]["document"]} if is_good else {}),
        )


CONTROL = ["patch", "race", "invalid", "rekey", "route"]
SCENARIOS = {
    "workers": ["crash_worker", "vanish_worker", "freeze_worker", "drain", "quirk", "slow_links"],
    "release": ["drain", "drain", "crash_worker", "roll_workers"],
    "rolling": ["roll_nodes", "roll_nodes", "patch", "rekey"],
    "routers": ["kill_router", "kill_keeper", "kill_router", "kill_many"],
    "cores": ["kill_core", "kill_all_cores", "power_after_ack", "kill_after_fault", *CONTROL],
    "freezes": [
        "freeze",
        "freeze_busy",
        "freeze_busy",
        "freeze_keeper",
        "freeze_worker",
        "patch",
        "new_weights",
        "slow_clock",
        "jump_wall",
    ],
    "disks": [
        "lose_disk",
        "fill_disk",
        "stall_disk",
        "slow_disk",
        "power_after_ack",
        "power_before_sync",
        "power_before_sync",
        "kill_after_fault",
        *CONTROL,
    ],
    "cuts": ["cut_router", "cut_core", "oneWay", "write_both_sides", "lose_datagrams", *CONTROL],
    "addresses": ["new_address", "patch", "kill_router"],
    "operators": [
        "race",
        "invalid",
        "grow",
        "patch",
        "rekey",
        "route",
        "kill_core",
        "freeze",
        "write_both_sides",
    ],
    "weights": [
        "new_weights",
        "new_weights",
        "kill_keeper",
        "cut_router",
        "crash_worker",
        "freeze",
    ],
    "store": ["lose_store", "slow_links", "drain", "quirk"],
    "platform": [
        "lose_platform",
        "cut_platform",
        "split_list",
        "split_list",
        "drain",
        "cut_router",
        "crash_worker",
    ],
}
SCENARIOS["mix"] = sorted(
    {name for names in SCENARIOS.values() for name in names}
    - {"new_address", "roll_nodes", "roll_workers"}
)


BITES = {
    "workers": ["legsFailed", "moves", "faults.142"],
    "release": ["moves", "fetches"],
    "rolling": ["takeovers", "views", "copies"],
    "routers": ["takeovers", "legsReclaimed"],
    "cores": ["views", "copies", "acksHeld", "claimBatchesAgain", "slotsHandedBack"],
    "freezes": ["takeovers", "legsReclaimed", "grantsLapsed"],
    "disks": ["copies", "views", "slotsHandedBack"],
    "cuts": ["licencesRelayed", "listsFromNeighbours", "views", "acksHeld", "legsReclaimed"],
    "addresses": ["copies", "views"],
    "operators": ["faults.200", "faults.201", "faults.101"],
    "weights": ["weightsAsked", "takeovers"],
    "store": ["fetches", "fetchesBounded"],
    "platform": ["listsFromNeighbours", "moves", "faults.114"],
    "mix": ["faults.130", "slotsReclaimed", "waits", "budgetRefusals"],
}


def idle(scenario, acts):
    """Mechanisms that the faults of a scenario are there for and that never acted in all its runs."""
    return [name for name in BITES[scenario] if not acts.get(name)]

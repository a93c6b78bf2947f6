"""Faults drawn from a seed, upon a whole site in virtual time, judged by the records."""
import unittest
from collections import Counter

from swiftdeck.bench.checker import check
from swiftdeck.http.client import fetchJson
from swiftdeck.sim.town import Town


class Storm:
    """One run of a scenario under one seed."""

    def __init__(self, scenario, seed, seconds=60.0, site=None, routers=9, speed=0.1, **settings):
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        site = site or ("hinokuni" if seed % 2 else "serraria")
        self.town = Town(seed, site, routers=routers, workers=None, speed=speed, **settings)
        self.random = self.town.world.random
        self.done = []

    def log(self, what):
        """Note a fault in the records and in the trace."""
        self.done.append((round(self.town.world.now, 3), what))

    def run(self) -> dict:
        """Traffic while faults come, then a closing fault; gives breaches and sums."""
        town = self.town
        town.start(cap=self.random.choice([2, 4, 8]))
        world = town.world
        town.spawn(lambda: town.caller.run(self.seconds + 45, {name: 1 + (at < 2) for at, name in enumerate(town.site.keys)}, 1.5))
        endS = world.now + self.seconds
        nextReadS = world.now
        while world.now < endS:
            world.run(self.random.uniform(1.0, 5.0))
            self.strike()
            if world.now > nextReadS:
                nextReadS = world.now + 5
                self.read()
        self.mendAll()
        town.record("operator")("closing")
        world.run(14)
        self.closing()
        world.run(16)
        self.read()
        town.caller.stopping = True
        self.mendAll()
        world.run(30)
        self.readBack()
        breaches = check(town.records, {town.site.apart})
        if town.world.faults:
            breaches["noTraceback"] = [f"{name}: {context.get('message')} {context.get('exception')!r}"
                                       for name, context in town.world.faults[:5]]
        back = [item for item in town.records if item["kind"] == "return"]
        return {"seed": self.seed, "breaches": breaches, "faults": len(self.done), "returns": len(back),
                "served": sum(item["whole"] for item in back), "codes": dict(Counter(item["code"] for item in back)),
                "runs": sum(item["kind"] == "run" for item in town.records), "version": town.version,
                "steps": world.steps}

    def closing(self):
        """One last fault that nobody mends."""
        town = self.town
        fault = self.random.choice(["kill some", "cut a zone", "kill all cores", "freeze keeper and tail"])
        tail = next((name for name in town.coreNames() if town.up[name].chain.isLast()), None)
        keeper = town.keeper()
        self.log(f"closing: {fault}")
        if fault == "kill some":
            others = [name for name in town.routerNames() if name != keeper]
            for name in (tail, keeper, self._pick(others), self._pick(self._workers())):
                if name:
                    town.record("operator")("kill", target=name)
                    town.world.kill(name, silent=True)
        elif fault == "cut a zone":
            zone = self.random.choice(["z1", "z2", "z3"])
            nodes = [*town.site.cores, *town.site.routers]
            near = [self._ip(node["name"]) for node in nodes if node["zone"] == zone]
            near += [worker["addr"].rpartition(":")[0] for worker in town.site.workers if worker["zone"] == zone]
            [town.record("operator")("kill", target=node["name"]) for node in [*nodes, *town.site.workers] if node["zone"] == zone]
            town.world.net.cut(near, [ip for ip in town.ips.values() if ip not in near])
        elif fault == "kill all cores":
            for name in town.coreNames():
                self._kill(name, least=0.5, most=2.0)
        else:
            for name in [each for each in (tail, keeper) if each]:
                town.record("operator")("kill", target=name)
                town.world.freeze(name)
        town.record("operator")("closing")

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
            town.startCore(name)
        elif name.startswith("router"):
            town.startRouter(name)
        elif name.startswith("worker"):
            town.startWorker(name, weights=self.random.choice(["w1", self.weights]))

    weights = "w1"

    def _kill(self, name, silent=False, least=1.0, most=12.0):
        town = self.town
        if name is None or name not in town.world.loops:
            return
        town.record("operator")("kill", target=name)
        town.world.kill(name, silent)
        if name in town.folders:
            town.folders[name].losePower(torn=self.random.choice([0, 0, 1, 7, 40]))
        self.log(f"kill {name}")
        self._later(lambda: self._back(name), least, most)

    def _workers(self):
        return [worker["name"] for worker in self.town.site.workers if worker["name"] in self.town.world.loops]

    def crashWorker(self):
        self._kill(self._pick(self._workers()))

    def vanishWorker(self):
        self._kill(self._pick(self._workers()), silent=True)

    def killRouter(self):
        self._kill(self._pick(self.town.routerNames()), silent=self.random.random() < 0.5)

    def killKeeper(self):
        self._kill(self.town.keeper())

    def killCore(self):
        if len(self.town.coreNames()) == 3:
            self._kill(self._pick(self.town.coreNames()))

    def killAllCores(self):
        for name in self.town.coreNames():
            self._kill(name, least=0.5, most=3.0)

    def killMany(self):
        for name in sorted(self.random.sample(self.town.routerNames(), min(4, len(self.town.routerNames())))):
            self._kill(name, least=0.5, most=4.0)
        self.killCore()

    def freeze(self):
        town = self.town
        name = self._pick([*town.coreNames(), *town.routerNames()])
        if name and not town.world.loops[name].frozen:
            town.world.freeze(name)
            town.record("operator")("kill", target=name)
            loop = town.world.loops[name]
            self.log(f"freeze {name}")
            self._later(lambda: town.world.thaw(name) if town.world.loops.get(name) is loop and loop.frozen else None, 0.5, 15)

    def freezeKeeper(self):
        name = self.town.keeper()
        if name:
            self.town.world.freeze(name)
            loop = self.town.world.loops[name]
            self.town.record("operator")("kill", target=name)
            self.log(f"freeze {name}")
            self._later(lambda: self.town.world.thaw(name) if self.town.world.loops.get(name) is loop and loop.frozen else None, 1, 15)

    def _ip(self, name):
        return self.town.addresses[name]["inner"].rpartition(":")[0]

    def _cut(self, near, both=True):
        town = self.town
        everyone = [self._ip(name) for name in town.addresses] + [town.site.platform.rpartition(":")[0]]
        workers = [worker["addr"].rpartition(":")[0] for worker in town.site.workers]
        far = [ip for ip in everyone + (workers if self.random.random() < 0.3 else []) if ip not in near]
        for name in town.routerNames():
            if self._ip(name) in near:
                town.record("operator")("kill", target=name)
        town.world.net.cut(near, far, both)
        self.log(f"cut {near} both={both}")
        self._later(town.world.net.heal, 1, 15)

    def cutRouter(self):
        self._cut([self._ip(self._pick(self.town.addresses))], self.random.random() < 0.7)

    def cutCore(self):
        names = sorted(name for name in self.town.addresses if name.startswith("core"))
        some = self.random.sample(names, self.random.choice([1, 1, 2]))
        routers = sorted(name for name in self.town.addresses if name.startswith("router"))
        near = some + self.random.sample(routers, self.random.randint(0, len(routers) // 2))
        self._cut([self._ip(name) for name in near], self.random.random() < 0.7)

    def loseDisk(self):
        town = self.town
        if len(town.coreNames()) == 3 and all(town.up[name].agreement.position() >= 0 for name in town.coreNames()):
            name = self._pick(town.coreNames())
            self._patch({"models": {town.site.model: {"lineMax": self.random.randint(20, 90)}}})
            self._kill(name)
            town.folders[name].wipe()
            self.log(f"wipe {name}")

    def fillDisk(self):
        town, name = self.town, self._pick(self.town.coreNames())
        folder = town.folders.get(name)
        if folder:
            folder.full = True
            self.log(f"full {name}")
            self._later(lambda: setattr(folder, "full", False), 1, 15)

    def stallDisk(self):
        town, name = self.town, self._pick(self.town.coreNames())
        folder = town.folders.get(name)
        if folder:
            folder.stallS = self.random.choice([0.05, 0.3, 5.0])
            self.log(f"stall {name} {folder.stallS}")
            self._later(lambda: setattr(folder, "stallS", 0.0), 1, 10)

    def newAddress(self):
        town = self.town
        if len(town.coreNames()) < 3 or any(town.up[name].agreement.position() < 0 for name in town.coreNames()):
            return
        name = self._pick(town.coreNames())
        town.world.kill(name)
        town.folders[name].wipe()
        machine = f"{name}-{len(self.done)}"
        town.addresses[name] |= {"inner": f"{town.ip(machine)}:7000", "http": f"{town.ip(machine)}:8000"}
        town.seeds = [core["inner"] for core in town.site.cores]
        [town.up[other].membership.setSeeds(town.seeds) for other in [*town.coreNames(), *town.routerNames()]]
        self.log(f"empty {name} at a new address")
        self._later(lambda: self._back(name), 2, 6)

    def _patch(self, document):
        town = self.town
        name, base = self._pick(town.coreNames()), town.version
        if name is None:
            return
        changeId = f"storm-{len(town.records)}-{self.random.getrandbits(32)}"

        async def work():
            got = await fetchJson(town.addresses[name]["http"], "PATCH", f"/v1/config?base={base}", document,
                                  [("change-id", changeId)], 14000)
            if got and got[0] == 200:
                town.version = max(town.version, got[1]["version"])
            town.record("operator")("change", method="PATCH", base=base, document=document, status=got[0] if got else 0,
                                    answer=got[1] if got else {})
        town.spawn(work)

    def patch(self):
        self._patch({"models": {self.town.site.model: {"cap": self.random.randint(2, 8)}}})

    def race(self):
        [self.patch() for _ in range(3)]

    def invalid(self):
        self._patch({"tenants": {"nobody": {"keys": ["sha256:" + "0" * 64]}}, "routes": {"check": {"model": "nobody"}}})

    def newWeights(self):
        self.weights = f"w{int(self.weights[1:]) + 1}"
        self._patch({"models": {self.town.site.model: {"weights": self.weights}}})
        self.log(f"weights {self.weights}")

    def grow(self):
        at = len(self.done)
        self._patch({"routes": {f"grown-{at}-{number}": {"model": self.town.site.model} for number in range(400)}})

    def drain(self):
        town = self.town
        platform, shown = town.up.get("platform"), [worker for worker in town.site.workers]
        name = self._pick([worker["name"] for worker in shown])
        if platform and name in platform.workers and sum(not each["draining"] for each in platform.workers.values()) > 3:
            platform.drain(name)
            self.log(f"drain {name}")

            def leave():
                town.record("operator")("kill", target=name)
                platform.remove(name)
                town.world.kill(name)

            def back():
                self._back(name)
                platform.add(next(worker for worker in shown if worker["name"] == name))
            self._later(leave, 6, 10)
            self._later(back, 11, 16)

    def quirk(self):
        town, name = self.town, self._pick(self._workers())
        if name:
            worker, quirk = town.up[name], self.random.choice(
                ["lose reports", "double reports", "late reports", "die midway", "foreign", "repeat", "malformed", "hang"])
            worker.quirk = quirk
            worker.record("quirk", quirk=quirk)
            self.log(f"quirk {name} {quirk}")

            def mend():
                if town.up.get(name) is worker:
                    worker.quirk = ""
                    worker.record("quirk", quirk="")
            self._later(mend, 1, 6)

    def slowLinks(self):
        for name in self._workers():
            self.town.up[name].linkS = self.random.choice([0.0, 0.5, 5.0])

    def loseStore(self):
        town = self.town
        if "store" in town.world.loops:
            town.world.kill("store")
            self.log("kill store")
            self._later(town.startStore, 2, 10)

    def losePlatform(self):
        town = self.town
        if "platform" in town.world.loops and not town.world.loops["platform"].frozen:
            town.world.freeze("platform")
            self.log("freeze platform")
            self._later(lambda: town.world.thaw("platform"), 1, 8)

    def loseDatagrams(self):
        self.town.world.net.lossRate = self.random.choice([0.0, 0.1, 0.4])

    def slowClock(self):
        loop = self.town.world.loops.get(self._pick([*self.town.coreNames(), *self.town.routerNames()]))
        if loop:
            nowS = loop.time()
            loop.rate = self.random.choice([0.97, 1.0, 1.03])
            loop.offset = nowS - self.town.world.now * loop.rate

    def read(self):
        """An operator reads the configuration, and the record says what came."""
        town, askedMs = self.town, int(self.town.world.now * 1000)
        name = self._pick(town.coreNames())
        if name is None:
            return

        async def work():
            got = await fetchJson(town.addresses[name]["http"], "GET", "/v1/config", timeoutMs=5000)
            isGood = bool(got) and got[0] == 200
            town.record("operator")("read", status=got[0] if got else 0, version=got[1]["version"] if isGood else 0,
                                    askedMs=askedMs)
        town.spawn(work)

    def mendAll(self):
        """End all faults."""
        town = self.town
        town.world.net.heal()
        town.world.net.lossRate = 0.0
        for folder in town.folders.values():
            folder.full, folder.stallS = False, 0.0
        for name in [*town.addresses, *(worker["name"] for worker in town.site.workers)]:
            if name in town.world.loops and town.world.loops[name].frozen:
                town.world.thaw(name)
            self._back(name)
        if town.world.loops["platform"].frozen:
            town.world.thaw("platform")
        if "store" not in town.world.loops:
            town.startStore()
        for worker in town.site.workers:
            town.up[worker["name"]].quirk = ""
            town.up["platform"].workers.setdefault(worker["name"], worker)
            town.up["platform"].drain(worker["name"], False)

    def readBack(self):
        """At the end the newest acknowledged version, or a later one, is read back whole."""
        town = self.town
        got = town.ask("GET", "/v1/config")
        isGood = bool(got) and got[0] == 200
        town.record("operator")("read", status=200, version=got[1]["version"] if isGood else 0,
                                askedMs=int(town.world.now * 1000))


CONTROL = ["patch", "race", "invalid"]
SCENARIOS = {
    "workers": ["crashWorker", "vanishWorker", "drain", "quirk", "slowLinks"],
    "release": ["drain", "drain", "crashWorker"],
    "routers": ["killRouter", "killKeeper", "killRouter", "killMany"],
    "cores": ["killCore", "killAllCores", *CONTROL],
    "freezes": ["freeze", "freeze", "freezeKeeper", "patch", "newWeights", "slowClock"],
    "disks": ["loseDisk", "fillDisk", "stallDisk", *CONTROL],
    "cuts": ["cutRouter", "cutCore", "loseDatagrams", *CONTROL],
    "addresses": ["newAddress", "patch", "killRouter"],
    "operators": ["race", "invalid", "grow", "patch", "killCore", "freeze"],
    "weights": ["newWeights", "newWeights", "killKeeper", "cutRouter", "crashWorker", "freeze"],
    "store": ["loseStore", "slowLinks", "drain", "quirk"],
    "platform": ["losePlatform", "drain", "cutRouter", "crashWorker"],
}
SCENARIOS["mix"] = sorted({name for names in SCENARIOS.values() for name in names} - {"newAddress"})


class StormTest(unittest.TestCase):
    def testASeedGivesTheSameTraceEachTime(self):
        got = [Storm("mix", 5, 8.0, routers=3).run() for _ in range(2)]
        self.assertEqual(got[0], got[1])

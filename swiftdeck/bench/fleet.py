"""Starts a whole site on loopback as separate processes, drives its traffic, breaks things, and checks the records."""
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from swiftdeck.bench.caller import Caller
from swiftdeck.bench.checker import check
from swiftdeck.bench.record import FileRecord, readRecords
from swiftdeck.bench.site import planSite
from swiftdeck.fault import isFault
from swiftdeck.http.client import fetchJson


class Fleet:
    """The processes of one site; the only part of the project that starts others."""

    def __init__(self, folder, site="hinokuni", basePort=21000, routers=9, workers=None, speed=0.05, room=400000):
        self.folder = Path(folder)
        (self.folder / "records").mkdir(parents=True, exist_ok=True)
        self.site = planSite(site, basePort=basePort, routers=routers, workers=workers)
        self.speed, self.room = speed, room
        self.processes, self.log = {}, open(self.folder / "fleet.log", "ab")
        self.record = FileRecord(self.folder / "records" / "operator.jsonl", "operator")

    def start(self, name, *words):
        """Start one process."""
        self.processes[name] = subprocess.Popen([sys.executable, "-m", *words], stdout=self.log, stderr=self.log,
                                                stdin=subprocess.DEVNULL, env=os.environ | {"PYTHONHASHSEED": "0"})

    def startNode(self, node):
        """Start a core or a router from a settings file."""
        role = "core" if node["name"].startswith("core") else "router"
        lines = {"name": node["name"], "inner": node["inner"], "http": node["http"], "zone": node["zone"],
                 "seeds": self.site.seeds()}
        lines |= {"dataFolder": str(self.folder / node["name"])} if role == "core" else {
            "platform": self.site.platform, "store": self.site.store}
        path = self.folder / f"{node['name']}.toml"
        path.write_text("".join(f"{name} = {json.dumps(value)}\n" for name, value in lines.items()))
        self.start(node["name"], "swiftdeck.programs.deck", role, "--settings", str(path))

    def startWorker(self, worker, weights="w1"):
        """Start a worker stand-in."""
        self.start(worker["name"], "swiftdeck.programs.bench", "worker", "--name", worker["name"], "--addr", worker["addr"],
                   "--store", self.site.store, "--weights", weights, "--speed", str(self.speed), "--room", str(self.room),
                   "--record", str(self.folder / "records" / f"{worker['name']}.jsonl"))

    def startAll(self):
        """Start the whole site."""
        plan = self.folder / "workers.json"
        plan.write_text(json.dumps(self.site.workers))
        self.start("platform", "swiftdeck.programs.bench", "platform", "--addr", self.site.platform, "--workers", str(plan),
                   "--record", str(self.folder / "records" / "platform.jsonl"))
        self.start("store", "swiftdeck.programs.bench", "store", "--addr", self.site.store,
                   "--record", str(self.folder / "records" / "store.jsonl"))
        [self.startWorker(worker) for worker in self.site.workers]
        [self.startNode(node) for node in [*self.site.cores, *self.site.routers]]

    def signal(self, name, number):
        """Send a signal to a process of the fleet."""
        self.record("signal", target=name, number=int(number))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def stopAll(self):
        """End all processes, politely at first."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        endS = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.wait(max(0.05, endS - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    async def ask(self, method, path, body=None, timeoutMs=12000, headers=()):
        """Ask any core that answers."""
        got = None
        for node in self.site.cores:
            if self.processes[node["name"]].poll() is None:
                got = await fetchJson(node["http"], method, path, body, headers, timeoutMs)
                if not isFault(got):
                    return got
        return got

    async def change(self, method, document, base):
        """One change, recorded."""
        got = await self.ask(method, f"/v1/config?base={base}", document)
        self.record("change", method=method, base=base, document=document, status=0 if not got else got[0],
                    answer={} if not got else got[1])
        return got

    async def configure(self, limitS=60, **model):
        """Put the site's first configuration as soon as the cores take it."""
        endS = time.monotonic() + limitS
        while time.monotonic() < endS:
            got = await self.change("PUT", self.site.document(**model), 0)
            if got and got[0] in (200, 409):
                return got
            await asyncio.sleep(0.5)
        return None

    async def keeper(self):
        """The name of the router that keeps the books."""
        for node in self.site.routers:
            if self.processes[node["name"]].poll() is None:
                got = await fetchJson(node["http"], "GET", "/v1/status", timeoutMs=1000)
                if got and got[0] == 200 and any(book["ready"] for book in got[1]["keeps"]):
                    return node["name"]
        return None

    async def drive(self, seconds, faults, shortEveryS=0.8, seed=1):
        """Traffic for some time while faults happen; gives what the checker says."""
        doors = [node["http"] for node in self.site.routers]
        caller = Caller("c", doors, FileRecord(self.folder / "records" / "caller.jsonl", "caller"), random.Random(seed),
                        self.site.keys, scale=0.5)
        traffic = asyncio.ensure_future(caller.run(seconds, self.site.agents, shortEveryS))
        if faults:
            await self.breakThings(seconds)
        await traffic

    async def breakThings(self, seconds):
        """Kill a worker, a router, a core and the keeper in turn, each coming back."""
        pauseS = max(6.0, seconds / 6)
        nodes = {node["name"]: node for node in [*self.site.cores, *self.site.routers]}
        workers = {worker["name"]: worker for worker in self.site.workers}
        await asyncio.sleep(pauseS)
        for victim in ("worker2", "router3", "core2", "keeper"):
            name = victim if victim != "keeper" else await self.keeper() or "router1"
            self.record("kill", target=name, asWhat=victim)
            self.signal(name, signal.SIGKILL)
            await asyncio.sleep(3.0)
            (self.startWorker if name in workers else self.startNode)((workers | nodes)[name])
            self.record("restart", target=name)
            await asyncio.sleep(pauseS - 3.0)

    def verdict(self):
        """What the checker finds in the records, and sums of what was served."""
        records = readRecords(sorted((self.folder / "records").glob("*.jsonl")))
        back = [item for item in records if item["kind"] == "return"]
        served = [item["atMs"] for item in back if item["whole"]]
        gaps = []
        for kill in [item for item in records if item["kind"] == "kill"]:
            after = [atMs for atMs in served if atMs > kill["atMs"]]
            longest = max((b - a for a, b in zip([kill["atMs"], *after], after) if a < kill["atMs"] + 12000), default=-1)
            gaps.append({"killed": kill["asWhat"], "longestGapMs": longest})
        sums = {"returns": len(back), "served": len(served), "codes": Counter(str(item["code"]) for item in back),
                "agents": sum(item["kind"] == "agent" for item in records), "gaps": gaps}
        return check(records, apart={self.site.apart}), sums

"""Starts a whole site on loopback as separate processes, drives its traffic, breaks things, and checks the records."""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from swiftdeck.bench.caller import Caller
from swiftdeck.bench.checker import check
from swiftdeck.bench.record import FileRecord, boot_ms, read_records
from swiftdeck.bench.site import plan_site
from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json


class Fleet:
    """The processes of one site; the only part of the project that starts others."""

    def __init__(
        self,
        folder,
        site="hinokuni",
        base_port=21000,
        routers=9,
        workers=None,
        speed=0.05,
        room=400000,
    ):
        self.folder = Path(folder)
        (self.folder / "records").mkdir(parents=True, exist_ok=True)
        self.site = plan_site(site, base_port=base_port, routers=routers, workers=workers)
        self.speed, self.room = speed, room
        self.processes, self.log = {}, open(self.folder / "fleet.log", "ab")
        self.record = FileRecord(self.folder / "records" / "operator.jsonl", "operator")

    def start(self, name, *words):
        """Start one process."""
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *words],
            stdout=self.log,
            stderr=self.log,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"PYTHONHASHSEED": "0"},
        )

    def start_node(self, node):
        """Start a core or a router from a settings file."""
        role = "core" if node["name"].startswith("core") else "router"
        lines = {
            "name": node["name"],
            "inner": node["inner"],
            "http": node["http"],
            "zone": node["zone"],
            "seeds": self.site.seeds(),
        }
        lines |= (
            {"dataFolder": str(self.folder / node["name"])}
            if role == "core"
            else {"platform": self.site.platform, "store": self.site.store}
        )
        path = self.folder / f"{node['name']}.toml"
        path.write_text("".join(f"{name} = {json.dumps(value)}\n" for name, value in lines.items()))
        self.start(node["name"], "swiftdeck.programs.deck", role, "--settings", str(path))

    def start_worker(self, worker, weights="w1"):
        """Start a worker stand-in."""
        self.start(
            worker["name"],
            "swiftdeck.programs.bench",
            "worker",
            "--name",
            worker["name"],
            "--addr",
            worker["addr"],
            "--store",
            self.site.store,
            "--weights",
            weights,
            "--speed",
            str(self.speed),
            "--room",
            str(self.room),
            "--record",
            str(self.folder / "records" / f"{worker['name']}.jsonl"),
        )

    def start_all(self):
        """Start the whole site."""
        plan = self.folder / "workers.json"
        plan.write_text(json.dumps(self.site.workers))
        self.start(
            "platform",
            "swiftdeck.programs.bench",
            "platform",
            "--addr",
            self.site.platform,
            "--workers",
            str(plan),
            "--record",
            str(self.folder / "records" / "platform.jsonl"),
        )
        self.start(
            "store",
            "swiftdeck.programs.bench",
            "store",
            "--addr",
            self.site.store,
            "--record",
            str(self.folder / "records" / "store.jsonl"),
        )
        for worker in self.site.workers:
            self.start_worker(worker)
        for node in [*self.site.cores, *self.site.routers]:
            self.start_node(node)

    def signal(self, name, number):
        """Send a signal to a process of the fleet."""
        self.record("signal", target=name, number=int(number))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def stop_all(self):
        """End all processes, politely at first."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.wait(max(0.05, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    async def ask(self, method, path, body=None, timeoutMs=12000, headers=()):
        """Ask any core that answers."""
        got = None
        for node in self.site.cores:
            if self.processes[node["name"]].poll() is None:
                got = await fetch_json(node["http"], method, path, body, headers, timeoutMs)
                if not is_fault(got):
                    return got
        return got

    async def change(self, method, document, base):
        """One change, recorded."""
        askedMs = boot_ms()
        got = await self.ask(method, f"/v1/config?base={base}", document)
        self.record(
            "change",
            method=method,
            base=base,
            document=document,
            status=0 if not got else got[0],
            answer={} if not got else got[1],
            askedMs=askedMs,
        )
        return got

    async def configure(self, limit_s=60, **model):
        """Put the site's first configuration as soon as the cores take it."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            got = await self.change("PUT", self.site.document(**model), 0)
            if got and got[0] in (200, 409):
                return got
            await asyncio.sleep(0.5)
        return None

    async def keeper(self):
        """The name of the router that keeps the books."""
        for node in self.site.routers:
            if self.processes[node["name"]].poll() is None:
                got = await fetch_json(node["http"], "GET", "/v1/status", timeoutMs=1000)
                if got and got[0] == 200 and any(book["ready"] for book in got[1]["keeps"]):
                    return node["name"]
        return None

    async def drive(self, seconds, faults, short_every_s=0.8, seed=1):
        """Traffic for some time while faults happen; gives what the checker says."""
        doors = [node["http"] for node in self.site.routers]
        caller = Caller(
            "c",
            doors,
            FileRecord(self.folder / "records" / "caller.jsonl", "caller"),
            random.Random(seed),
            self.site.keys,
            scale=0.5,
            routers={node["http"]: node["name"] for node in self.site.routers},
        )
        caller.returns = 3
        traffic = asyncio.ensure_future(caller.run(seconds, self.site.agents, short_every_s))
        sampling = asyncio.ensure_future(self._sampling())
        if faults:
            await self.break_things(seconds)
        await traffic
        sampling.cancel()
        self.record("dayEnds")
        askedMs, got = boot_ms(), await self.ask("GET", "/v1/config")
        if got and got[0] == 200:
            self.record("read", status=200, askedMs=askedMs, **got[1])
        self.record(
            "versions",
            seen=[
                (await fetch_json(node["http"], "GET", "/v1/status", timeoutMs=2000) or (0, {}))[
                    1
                ].get("version")
                for node in [*self.site.cores, *self.site.routers]
            ],
        )

    async def _sampling(self):
        """What the kernel counts for each core and router, every ten seconds."""
        while True:
            for node in [*self.site.cores, *self.site.routers]:
                process = self.processes[node["name"]]
                try:
                    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                    files = len(os.listdir(f"/proc/{process.pid}/fd"))
                    logBytes = sum(
                        path.stat().st_size for path in (self.folder / node["name"]).glob("*.log")
                    )
                except OSError:
                    continue
                status = await fetch_json(node["http"], "GET", "/v1/status", timeoutMs=2000)
                self.record(
                    "sample",
                    name=node["name"],
                    pid=process.pid,
                    files=files,
                    logBytes=logBytes,
                    tasks=status[1].get("tasks", 0) if status and status[0] == 200 else 0,
                    cpuMs=(int(stat[11]) + int(stat[12])) * 1000 // os.sysconf("SC_CLK_TCK"),
                    residentKiB=int(stat[21]) * os.sysconf("SC_PAGE_SIZE") // 1024,
                )
            await asyncio.sleep(10.0)

    async def break_things(self, seconds):
        """Each fault in turn, with time to recover between them; the last one is the closing fault."""
        steps = (
            self.killed("worker2"),
            self.killed("router3"),
            self.killed("core2"),
            self.killed("keeper"),
            self.frozen("keeper"),
            self.frozen("core3"),
            self.emptied("core1"),
            self.released("worker3"),
            self.weighed("w2"),
            self.rolled(),
            self.power_lost(),
            self.killed("keeper"),
        )
        pause_s = seconds / (len(steps) + 2)
        await asyncio.sleep(pause_s)
        for step in steps:
            start_s = time.monotonic()
            await step
            await asyncio.sleep(max(0.0, pause_s - (time.monotonic() - start_s)))
        self.record("closing")

    def _start(self, name):
        nodes = {node["name"]: node for node in [*self.site.cores, *self.site.routers]}
        workers = {worker["name"]: worker for worker in self.site.workers}
        if name in workers:
            self.start_worker(workers[name], self.weights)
        else:
            self.start_node(nodes[name])
        self.record("restart", target=name)

    weights = "w1"

    def _fell(self, name, asWhat):
        """Note a fall; gives what is to be called when the process is well again."""
        self.falls += 1
        number = self.falls
        self.record("kill", target=name, asWhat=asWhat, id=number, keeper=name == self.last_keeper)
        return lambda: self.record("back", id=number, target=name)

    falls, last_keeper = 0, ""

    async def _named(self, name):
        self.last_keeper = await self.keeper() or "router1"
        return name if name != "keeper" else self.last_keeper

    async def killed(self, what):
        """SIGKILL, and a new start three seconds later."""
        name = await self._named(what)
        back = self._fell(name, f"killed {what}")
        self.signal(name, signal.SIGKILL)
        await asyncio.sleep(3.0)
        self._start(name)
        await asyncio.sleep(2.0)
        back()

    async def frozen(self, what):
        """SIGSTOP for six seconds."""
        name = await self._named(what)
        back = self._fell(name, f"froze {what}")
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(6.0)
        self.signal(name, signal.SIGCONT)
        back()

    async def emptied(self, name):
        """SIGKILL and the loss of the data folder right after an acknowledgement."""
        got = await self.ask("GET", "/v1/config")
        if got and got[0] == 200:
            await self.change("PATCH", {"models": {self.site.model: {"cap": 5}}}, got[1]["version"])
        back = self._fell(name, f"emptied {name}")
        self.signal(name, signal.SIGKILL)
        shutil.rmtree(self.folder / name)
        await asyncio.sleep(3.0)
        self._start(name)
        await asyncio.sleep(2.0)
        back()

    async def released(self, name):
        """A worker drains, is replaced and comes back."""
        await fetch_json(self.site.platform, "POST", "/v1/drain", {"name": name})
        await asyncio.sleep(4.0)
        back = self._fell(name, f"released {name}")
        self.signal(name, signal.SIGTERM)
        self.processes[name].wait()
        self._start(name)
        await asyncio.sleep(2.0)
        back()
        await fetch_json(self.site.platform, "POST", "/v1/drain", {"name": name, "draining": False})

    async def weighed(self, weights):
        """New weights are named."""
        got = await self.ask("GET", "/v1/config")
        if got and got[0] == 200:
            got = await self.change(
                "PATCH", {"models": {self.site.model: {"weights": weights}}}, got[1]["version"]
            )
            self.weights = weights if got and got[0] == 200 else self.weights

    async def rolled(self):
        """Two routers are ended politely and started again, one by one."""
        for name in ("router4", "router5"):
            back = self._fell(name, f"rolled {name}")
            self.signal(name, signal.SIGTERM)
            while self.processes[name].poll() is None:
                await asyncio.sleep(0.1)
            self._start(name)
            await asyncio.sleep(2.0)
            back()

    async def power_lost(self):
        """All cores are killed at once."""
        names = [node["name"] for node in self.site.cores]
        backs = [self._fell(name, "killed all cores") for name in names]
        for name in names:
            self.signal(name, signal.SIGKILL)
        await asyncio.sleep(1.0)
        for name in names:
            self._start(name)
        await asyncio.sleep(2.0)
        for back in backs:
            back()

    def verdict(self):
        """What the checker finds in the records, and sums of what was served."""
        records = read_records(sorted((self.folder / "records").glob("*.jsonl")))
        back = [item for item in records if item["kind"] == "return"]
        served = [item["atMs"] for item in back if item["whole"]]
        gaps = []
        for kill in [item for item in records if item["kind"] == "kill" and "asWhat" in item]:
            after = [atMs for atMs in served if atMs > kill["atMs"]]
            longest = max(
                (
                    b - a
                    for a, b in zip([kill["atMs"], *after], after, strict=False)
                    if a < kill["atMs"] + 12000
                ),
                default=-1,
            )
            gaps.append({"fault": kill["asWhat"], "longestGapMs": longest})
        samples = [item for item in records if item["kind"] == "sample"]
        steady, cpuMs = {}, 0
        for name in sorted({item["name"] for item in samples}):
            mine = [item for item in samples if item["name"] == name]
            whole = [item for item in mine if item["pid"] == mine[-1]["pid"]][2:]
            cpuMs += sum(
                max(0, b["cpuMs"] - a["cpuMs"])
                for a, b in zip(mine, mine[1:], strict=False)
                if a["pid"] == b["pid"] and name.startswith("router")
            )
            if len(whole) > 1:
                steady[name] = {
                    key: [whole[0][key], whole[-1][key]]
                    for key in ("residentKiB", "files", "tasks", "logBytes")
                }
        sums = {
            "routerCpuMsPerCall": round(cpuMs / max(1, len(served)), 2),
            "steady": steady,
            "returns": len(back),
            "served": len(served),
            "codes": Counter(str(item["code"]) for item in back),
            "agents": sum(item["kind"] == "agent" for item in records),
            "gaps": gaps,
            "versions": next((item["seen"] for item in records if item["kind"] == "versions"), []),
        }
        return check(records, apart={self.site.apart}), sums

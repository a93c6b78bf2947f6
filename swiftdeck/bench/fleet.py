"""A whole site on loopback as separate processes: their start, traffic, samples and verdict."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from swiftdeck.bench.caller import Caller
from swiftdeck.bench.checker import check
from swiftdeck.bench.fleet_faults import FleetFaults
from swiftdeck.bench.fleet_report import sums
from swiftdeck.bench.record import FileRecord, boot_ms, read_records
from swiftdeck.bench.site import plan_site
from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json

SAMPLE_S = 10.0
STATUS_MS, KEEPER_MS = 2000, 1000


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
        self.processes = {}
        self.log = open(self.folder / "fleet.log", "ab")  # noqa: SIM115 - the processes write to it
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
        self.start(node["name"], "swiftdeck.programs.cli", role, "--settings", str(path))

    def _start_stand_in(self, process, kind, /, **options):
        """Start a stand-in with its options and a file that takes its records."""
        options["record"] = self.folder / "records" / f"{process}.jsonl"
        words = [word for key, value in options.items() for word in (f"--{key}", str(value))]
        self.start(process, "swiftdeck.programs.bench", kind, *words)

    def start_worker(self, worker, weights="w1"):
        """Start a worker stand-in."""
        self._start_stand_in(
            worker["name"],
            "worker",
            name=worker["name"],
            addr=worker["addr"],
            store=self.site.store,
            weights=weights,
            speed=self.speed,
            room=self.room,
        )

    def start_all(self):
        """Start the whole site."""
        plan = self.folder / "workers.json"
        plan.write_text(json.dumps(self.site.workers))
        self._start_stand_in("platform", "platform", addr=self.site.platform, workers=plan)
        self._start_stand_in("store", "store", addr=self.site.store)
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

    async def ask(self, method, path, body=None, timeout_ms=12000, headers=()):
        """Ask any core that answers."""
        got = None
        for node in self.site.cores:
            if self.processes[node["name"]].poll() is None:
                got = await fetch_json(node["http"], method, path, body, headers, timeout_ms)
                if not is_fault(got):
                    return got
        return got

    async def change(self, method, document, base):
        """One change, recorded."""
        asked_ms = boot_ms()
        got = await self.ask(method, f"/v1/config?base={base}", document)
        self.record(
            "change",
            method=method,
            base=base,
            document=document,
            status=0 if not got else got[0],
            answer={} if not got else got[1],
            askedMs=asked_ms,
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

    async def coordinator(self):
        """The name of the router that keeps the books."""
        for node in self.site.routers:
            if self.processes[node["name"]].poll() is None:
                status = await self._status(node, KEEPER_MS)
                if any(book["ready"] for book in status.get("keeps", ())):
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
            await FleetFaults(self).run(seconds)
        await traffic
        sampling.cancel()
        self.record("dayEnds")
        asked_ms, got = boot_ms(), await self.ask("GET", "/v1/config")
        if got and got[0] == 200:
            self.record("read", status=200, askedMs=asked_ms, **got[1])
        self.record(
            "versions",
            seen=[
                (await self._status(node, STATUS_MS)).get("version")
                for node in [*self.site.cores, *self.site.routers]
            ],
        )

    async def _sampling(self):
        """Record what the kernel counts for each core and router, every ten seconds."""
        while True:
            for node in [*self.site.cores, *self.site.routers]:
                await self._sample(node)
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self, node):
        pid = self.processes[node["name"]].pid
        logs = (self.folder / node["name"]).glob("*.log")
        try:
            stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            files = len(os.listdir(f"/proc/{pid}/fd"))
            log_bytes = sum(path.stat().st_size for path in logs)
        except OSError:
            return
        status = await self._status(node, STATUS_MS)
        self.record(
            "sample",
            name=node["name"],
            pid=pid,
            files=files,
            logBytes=log_bytes,
            tasks=status.get("tasks", 0),
            cpuMs=(int(stat[11]) + int(stat[12])) * 1000 // os.sysconf("SC_CLK_TCK"),
            residentKiB=int(stat[21]) * os.sysconf("SC_PAGE_SIZE") // 1024,
        )

    async def _status(self, node, timeout_ms):
        """What a process says of itself; empty when it doesn't answer."""
        got = await fetch_json(node["http"], "GET", "/v1/status", timeoutMs=timeout_ms)
        return got[1] if got and got[0] == 200 else {}

    def verdict(self):
        """What the checker finds in the records, and sums of what was served."""
        records = read_records(sorted((self.folder / "records").glob("*.jsonl")))
        return check(records, apart={self.site.apart}), sums(records)

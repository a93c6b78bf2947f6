"""Faults that are injected into the processes of a fleet, one after another, while it serves."""

import asyncio
import shutil
import signal
import time

from swiftdeck.http.client import fetch_json

RESTART_S, RECOVERY_S, FREEZE_S, DRAIN_S = 3.0, 2.0, 6.0, 4.0


class FleetFaults:
    """Injects each fault once; target `keeper` is the router that coordinates admission then."""

    def __init__(self, fleet):
        self.fleet, self.weights = fleet, "w1"
        self.fault_count, self.last_coordinator = 0, ""

    async def run(self, seconds):
        """Each fault in turn, with time to recover between them; the last is the closing fault."""
        steps = (
            self.kill("worker2"),
            self.kill("router3"),
            self.kill("core2"),
            self.kill("keeper"),
            self.freeze("keeper"),
            self.freeze("core3"),
            self.empty("core1"),
            self.release("worker3"),
            self.name_weights("w2"),
            self.roll_routers(),
            self.kill_all_cores(),
            self.kill("keeper"),
        )
        pause_s = seconds / (len(steps) + 2)
        await asyncio.sleep(pause_s)
        for step in steps:
            start_s = time.monotonic()
            await step
            await asyncio.sleep(max(0.0, pause_s - (time.monotonic() - start_s)))
        self.fleet.record("closing")

    def _restart(self, name):
        site = self.fleet.site
        nodes = {node["name"]: node for node in [*site.cores, *site.routers]}
        workers = {worker["name"]: worker for worker in site.workers}
        if name in workers:
            self.fleet.start_worker(workers[name], self.weights)
        else:
            self.fleet.start_node(nodes[name])
        self.fleet.record("restart", target=name)

    def _note_fault(self, name, what):
        """Record a fault; returns the function to call when the process is well again."""
        self.fault_count += 1
        number, record = self.fault_count, self.fleet.record
        record("kill", target=name, asWhat=what, id=number, keeper=name == self.last_coordinator)
        return lambda: record("back", id=number, target=name)

    async def _named(self, name):
        self.last_coordinator = await self.fleet.coordinator() or "router1"
        return name if name != "keeper" else self.last_coordinator

    async def _drain(self, name, **more):
        await fetch_json(self.fleet.site.platform, "POST", "/v1/drain", {"name": name} | more)

    async def kill(self, what):
        """SIGKILL, and a new start three seconds later."""
        name = await self._named(what)
        recovered = self._note_fault(name, f"killed {what}")
        self.fleet.signal(name, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        self._restart(name)
        await asyncio.sleep(RECOVERY_S)
        recovered()

    async def freeze(self, what):
        """SIGSTOP for six seconds."""
        name = await self._named(what)
        recovered = self._note_fault(name, f"froze {what}")
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        self.fleet.signal(name, signal.SIGCONT)
        recovered()

    async def empty(self, name):
        """SIGKILL and the loss of the data folder right after an acknowledgement."""
        got = await self.fleet.ask("GET", "/v1/config")
        if got and got[0] == 200:
            await self.fleet.change(
                "PATCH", {"models": {self.fleet.site.model: {"cap": 5}}}, got[1]["version"]
            )
        recovered = self._note_fault(name, f"emptied {name}")
        self.fleet.signal(name, signal.SIGKILL)
        shutil.rmtree(self.fleet.folder / name)
        await asyncio.sleep(RESTART_S)
        self._restart(name)
        await asyncio.sleep(RECOVERY_S)
        recovered()

    async def release(self, name):
        """A worker drains, is replaced and comes back."""
        await self._drain(name)
        await asyncio.sleep(DRAIN_S)
        recovered = self._note_fault(name, f"released {name}")
        self.fleet.signal(name, signal.SIGTERM)
        self.fleet.processes[name].wait()
        self._restart(name)
        await asyncio.sleep(RECOVERY_S)
        recovered()
        await self._drain(name, draining=False)

    async def name_weights(self, weights):
        """New weights are named."""
        got = await self.fleet.ask("GET", "/v1/config")
        if got and got[0] == 200:
            got = await self.fleet.change(
                "PATCH",
                {"models": {self.fleet.site.model: {"weights": weights}}},
                got[1]["version"],
            )
            if got and got[0] == 200:
                self.weights = weights

    async def roll_routers(self):
        """Two routers are ended politely and started again, one by one."""
        for name in ("router4", "router5"):
            recovered = self._note_fault(name, f"rolled {name}")
            self.fleet.signal(name, signal.SIGTERM)
            while self.fleet.processes[name].poll() is None:
                await asyncio.sleep(0.1)
            self._restart(name)
            await asyncio.sleep(RECOVERY_S)
            recovered()

    async def kill_all_cores(self):
        """All cores are killed at once."""
        names = [node["name"] for node in self.fleet.site.cores]
        recoveries = [self._note_fault(name, "killed all cores") for name in names]
        for name in names:
            self.fleet.signal(name, signal.SIGKILL)
        await asyncio.sleep(1.0)
        for name in names:
            self._restart(name)
        await asyncio.sleep(RECOVERY_S)
        for recovered in recoveries:
            recovered()

"""Check what must hold at the end of a run, some seconds after the last trouble."""

import asyncio

from swiftdeck.bench.platform_api.operator import CONFIG
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.site import MODEL

READ_TIMEOUT_MS, CHECK_INTERVAL_S = 1500, 0.5


class FinalCheck:
    """Checks cores, routers and workers until all are in their required state, or a timeout."""

    def __init__(self, site, stand_ins, operators, items):
        self.site, self.stand_ins, self.operators, self.items = site, stand_ins, operators, items

    async def problems_after(self, within_s):
        """Return the problems left after `within_s` seconds; return early once there are none."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while True:
            problems = await self.problems()
            if not problems or loop.time() >= end_s:
                return problems
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def problems(self):
        """Return the present problems."""
        problems = self._worker_problems()
        for machine in self.site.cores:
            problems += await self._core_problems(machine)
        for machine in self.site.routers:
            problems += await self._router_problems(machine)
        return problems

    def _worker_problems(self):
        newest = self.operators.acknowledged_weights()
        return [
            f"{name} has weights {worker.versions[MODEL]}, acknowledged {newest}"
            for name, worker in self.stand_ins.workers.items()
            if worker.versions and worker.versions[MODEL] < newest
        ]

    async def _core_problems(self, machine):
        response = await fetch_json(machine.http, "GET", CONFIG, timeoutMs=READ_TIMEOUT_MS)
        if not response or response[0] != 200:
            return [f"{machine.name} shows no configuration: {response and response[0]}"]
        shown, newest = response[1], self.operators.newest_acknowledged()
        sent = {item["version"]: item["document"] for item in self.items if item["kind"] == "sent"}
        version = shown.get("version", 0)
        if version < newest:
            return [f"{machine.name} shows configuration {version}, acknowledged {newest}"]
        if shown != sent.get(version):
            return [f"{machine.name} shows configuration {version} otherwise than it was sent"]
        return []

    async def _router_problems(self, machine):
        response = await fetch_json(
            machine.operations, "GET", "/v1/status", timeoutMs=READ_TIMEOUT_MS
        )
        if not response or response[0] != 200:
            return [f"{machine.name} tells no status: {response and response[0]}"]
        status = response[1]
        states = {
            "is not ready": not status["ready"],
            "has no lease": not status["lease"],
            "has requests open": status["open"],
            "has requests at workers": status["running"],
            "has places taken": sum(
                book["open"] + book["line"] for book in status["books"].values()
            ),
            "has an old list": not status["list"]["fresh"],
        }
        return [f"{machine.name} {problem} ({state})" for problem, state in states.items() if state]

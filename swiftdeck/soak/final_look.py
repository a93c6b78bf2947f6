"""What must hold at the end of a run, once the site was calm for some seconds."""

import asyncio

from swiftdeck.bench.platform_api.operator import CONFIG
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.site import MODEL

ASK_MS, LOOK_S = 1500, 0.5


class FinalLook:
    """Looks at cores, routers and workers until all is as it must be, or for a limited time."""

    def __init__(self, site, stand_ins, operators, items):
        self.site, self.stand_ins, self.operators, self.items = site, stand_ins, operators, items

    async def wrong_after(self, within_s):
        """What is still wrong after such a time; ends as soon as nothing is."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while True:
            wrong = await self.wrong()
            if not wrong or loop.time() >= end_s:
                return wrong
            await asyncio.sleep(LOOK_S)

    async def wrong(self):
        """What is wrong now."""
        found = self._workers()
        for machine in self.site.cores:
            found += await self._core(machine)
        for machine in self.site.routers:
            found += await self._router(machine)
        return found

    def _workers(self):
        newest = self.operators.acknowledged_weights()
        return [
            f"{name} has weights {worker.versions[MODEL]}, acknowledged {newest}"
            for name, worker in self.stand_ins.workers.items()
            if worker.versions and worker.versions[MODEL] < newest
        ]

    async def _core(self, machine):
        got = await fetch_json(machine.http, "GET", CONFIG, timeoutMs=ASK_MS)
        if not got or got[0] != 200:
            return [f"{machine.name} shows no configuration: {got and got[0]}"]
        shown, newest = got[1], self.operators.newest_acknowledged()
        sent = {item["version"]: item["document"] for item in self.items if item["kind"] == "sent"}
        version = shown.get("version", 0)
        if version < newest:
            return [f"{machine.name} shows configuration {version}, acknowledged {newest}"]
        if shown != sent.get(version):
            return [f"{machine.name} shows configuration {version} otherwise than it was sent"]
        return []

    async def _router(self, machine):
        got = await fetch_json(machine.operations, "GET", "/v1/status", timeoutMs=ASK_MS)
        if not got or got[0] != 200:
            return [f"{machine.name} tells no status: {got and got[0]}"]
        status = got[1]
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
        return [f"{machine.name} {what} ({state})" for what, state in states.items() if state]

"""A stand-in for the platform's operator."""

import asyncio
import copy

from swiftdeck.http.client import fetch_json

CONFIG, WEIGHTS = "/swiftdeck/config", "/swiftdeck/version-put"


def patched(document, put=None, remove=None):
    """A configuration with named items put and removed."""
    made = copy.deepcopy(document)
    for name, gone in (remove or {}).items():
        made[name] = [each for each in made[name] if each["name"] not in gone]
    for name, items in (put or {}).items():
        new = {each["name"]: each for each in items}
        made[name] = [new.pop(each["name"], each) for each in made[name]] + list(new.values())
    return made


class Operator:
    """Sends each call to one control node after another until it has a clear answer."""

    def __init__(self, record, doors):
        self.record, self.doors, self.turn = record, doors, 0
        self.document, self.named = {"version": 0}, {}

    async def put(self, document, version, base=None, is_bad=False):
        """Send a whole configuration; gives the status."""
        return await self._change(
            "PUT", document | {"version": version}, document | {"version": version}, base, is_bad
        )

    async def patch(self, version, put=None, remove=None, base=None, is_bad=False):
        """Send a change of named items; gives the status."""
        body = (
            {"version": version}
            | ({"put-items": put} if put else {})
            | ({"remove-names": remove} if remove else {})
        )
        return await self._change(
            "PATCH", body, patched(self.document, put, remove) | {"version": version}, base, is_bad
        )

    async def _change(self, method, body, document, base, is_bad):
        base = self.document["version"] if base is None else base
        self.record("sent", version=document["version"], base=base, document=document, bad=is_bad)
        status = await self._insist(method, CONFIG, body, [("If-Match", str(base))])
        self.record("told", version=document["version"], base=base, status=status, bad=is_bad)
        if status == 200:
            self.document = document
        return status

    async def name(self, model, version):
        """Name new weights; gives the status."""
        self.named[model] = max(version, self.named.get(model, 1))
        self.record("naming", model=model, version=version)
        status = await self._insist("POST", WEIGHTS, {"model": model, "version": version})
        if 200 <= status < 300:
            self.record("named", model=model, version=version)
        return status

    def is_named(self, model, version):
        """Whether a worker may take such weights."""
        return isinstance(version, int) and 1 <= version <= self.named.get(model, 1)

    async def _insist(self, method, path, body, headers=(), limit_s=40):
        loop = asyncio.get_running_loop()
        end_s, pause_s = loop.time() + limit_s, 0.1
        while loop.time() < end_s:
            doors = self.doors()
            self.turn += 1
            got = (
                await fetch_json(doors[self.turn % len(doors)], method, path, body, headers, 1000)
                if doors
                else None
            )
            if got and got[0] < 500 and got[0] not in (408, 429):
                return got[0]
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return 0

    async def read(self):
        """Read the configuration back, and record it."""
        for _ in range(30):
            for addr in self.doors():
                got = await fetch_json(addr, "GET", CONFIG, timeoutMs=1000)
                if got and got[0] == 200:
                    self.record("readBack", document=got[1])
                    return got[1]
            await asyncio.sleep(0.2)
        self.record("readBack", document=None)
        return None

"""A stand-in for the platform's operator, who changes the configuration and the weights through the control nodes."""

import asyncio
import copy

from swiftdeck.http.client import fetch_json

CONFIG, WEIGHTS_PATH = "/swiftdeck/config", "/swiftdeck/version-put"


def patched(document, put=None, remove=None):
    """Return a copy of a configuration with named items of its sections replaced, added and removed."""
    changed = copy.deepcopy(document)
    for section, removed_names in (remove or {}).items():
        changed[section] = [item for item in changed[section] if item["name"] not in removed_names]
    for section, items in (put or {}).items():
        new_items = {item["name"]: item for item in items}
        changed[section] = [new_items.pop(item["name"], item) for item in changed[section]] + list(
            new_items.values()
        )
    return changed


class Operator:
    """Sends each call to one control node after another until it gets a definite answer.

    `doors` returns the addresses of the control nodes. A status of 0 means that no definite answer came in time.
    """

    def __init__(self, record, doors):
        self.record, self.doors, self.turn = record, doors, 0
        self.document, self.named = {"version": 0}, {}

    async def put(self, document, version, base=None, is_bad=False):
        """Send a whole configuration; return the status."""
        return await self._change(
            "PUT", document | {"version": version}, document | {"version": version}, base, is_bad
        )

    async def patch(self, version, put=None, remove=None, base=None, is_bad=False):
        """Send a change of named items; return the status."""
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
        """Announce a new version of the weights of a model; return the status."""
        self.named[model] = max(version, self.named.get(model, 1))
        self.record("naming", model=model, version=version)
        status = await self._insist("POST", WEIGHTS_PATH, {"model": model, "version": version})
        if 200 <= status < 300:
            self.record("named", model=model, version=version)
        return status

    def is_named(self, model, version):
        """Return whether a worker may load this version of the weights of a model."""
        return isinstance(version, int) and 1 <= version <= self.named.get(model, 1)

    async def _insist(self, method, path, body, headers=(), limit_s=40):
        loop = asyncio.get_running_loop()
        end_s, pause_s = loop.time() + limit_s, 0.1
        while loop.time() < end_s:
            addresses = self.doors()
            self.turn += 1
            response = (
                await fetch_json(
                    addresses[self.turn % len(addresses)], method, path, body, headers, 1000
                )
                if addresses
                else None
            )
            if response and response[0] < 500 and response[0] not in (408, 429):
                return response[0]
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return 0

    async def read(self):
        """Read the configuration back and record it; return None if no control node returns it in 30 rounds."""
        for _ in range(30):
            for address in self.doors():
                response = await fetch_json(address, "GET", CONFIG, timeoutMs=1000)
                if response and response[0] == 200:
                    self.record("readBack", document=response[1])
                    return response[1]
            await asyncio.sleep(0.2)
        self.record("readBack", document=None)
        return None

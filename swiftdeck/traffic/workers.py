"""The platform's list of workers as a router knows it, with its age."""

import asyncio
from typing import Annotated

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.wire.messages import ListAsk, ListReturn

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Worker(msgspec.Struct, frozen=True):
    """One worker in the list."""

    name: Text
    addr: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    model: Text
    zone: str = ""
    draining: bool = False


class Listing(msgspec.Struct):
    """The platform's list."""

    workers: list[Worker]


class WorkerList:
    """Reads the list from the platform, or through neighbours when that is out of reach."""

    def __init__(self, platform, mesh, membership, telemetry, list_ms=500, old_ms=2500):
        self.platform, self.mesh, self.membership, self.telemetry = (
            platform,
            mesh,
            membership,
            telemetry,
        )
        self.list_ms, self.old_ms = list_ms, old_ms
        self.workers, self.read_s, self.body = {}, -1e9, b""
        self.watchers = []
        mesh.register(ListAsk, self.on_list_ask)

    def start(self):
        """Go on reading."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._reading())

    def age_ms(self) -> int:
        """Time since the sending of the request that brought the list."""
        return int((self.loop.time() - self.read_s) * 1000)

    def is_fresh(self) -> bool:
        """Whether attempts may be sent by the list."""
        return self.age_ms() <= self.old_ms

    def may_take(self, name) -> bool:
        """Whether a worker is listed, not draining, and the list fresh enough to say so."""
        worker = self.workers.get(name)
        return worker is not None and not worker.draining and self.is_fresh()

    def of_model(self, model):
        """All listed workers of a model."""
        return [worker for worker in self.workers.values() if worker.model == model]

    def on_list_ask(self, ask, sender):
        """Give a neighbour the list held here, with its age."""
        return ListReturn(age_ms=min(self.age_ms(), 1 << 40), body=self.body)

    async def _reading(self):
        while True:
            start_s = self.loop.time()
            got = (
                await fetch_json(self.platform, "GET", "/v1/workers", timeoutMs=1000)
                if self.platform
                else None
            )
            if got and got[0] == 200:
                self._take(msgspec.json.encode(got[1]), start_s)
            if self.age_ms() > self.old_ms / 2:
                await self._through_others()
            self.telemetry.set_fact("list", "fresh" if self.is_fresh() else "old")
            await asyncio.sleep(max(0.05, self.list_ms / 1000 - (self.loop.time() - start_s)))

    async def _through_others(self):
        others = self.membership.alive("router")
        sent_s = self.loop.time()
        got = await asyncio.gather(
            *(self.mesh.request(each.addr, ListAsk(), 400) for each in others)
        )
        heard = [each for each in got if not is_fault(each)]
        for each in sorted(heard, key=lambda each: each.age_ms)[:1]:
            if each.body and sent_s - each.age_ms / 1000 > self.read_s:
                self.telemetry.count["listsFromNeighbours"] += 1
                self._take(each.body, sent_s - each.age_ms / 1000)

    def _take(self, body, read_s):
        try:
            listing = msgspec.json.decode(body, type=Listing)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.telemetry.count["listsMalformed"] += 1
            self.telemetry.set_fact("listFault", str(error)[:200])
            return
        fresh = {worker.name: worker for worker in listing.workers}
        self.read_s, self.body = max(read_s, self.read_s), body
        if fresh != self.workers:
            self.workers = fresh
            for watch in self.watchers:
                watch()

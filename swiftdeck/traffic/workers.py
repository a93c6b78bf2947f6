"""The platform's list of workers as known to a router, with its age."""

import asyncio
from typing import Annotated

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.wire.messages import ListAsk, ListReturn

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Worker(msgspec.Struct, frozen=True):
    """A worker in the list."""

    name: Text
    addr: Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    model: Text
    zone: str = ""
    draining: bool = False


class Listing(msgspec.Struct):
    """The platform's list of workers."""

    workers: list[Worker]


class WorkerList:
    """Reads the list from the platform, or from other routers if the platform can't be reached.

    `workers` has the listed workers by name, `read_s` is when the list was requested, and `body`
    its encoded form for other routers. `watchers` are called when the workers change.
    """

    def __init__(self, platform, mesh, membership, telemetry, list_ms=500, max_age_ms=2500):
        self.platform, self.mesh, self.membership, self.telemetry = (
            platform,
            mesh,
            membership,
            telemetry,
        )
        self.list_ms, self.max_age_ms = list_ms, max_age_ms
        self.workers, self.read_s, self.body = {}, -1e9, b""
        self.watchers = []
        mesh.register(ListAsk, self.on_list_ask)

    def start(self):
        """Start reading the list."""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.ensure_future(self._read_periodically())

    def age_ms(self) -> int:
        """Return the time in ms since the request for the current list was sent."""
        return int((self.loop.time() - self.read_s) * 1000)

    def is_fresh(self) -> bool:
        """Whether the list is recent enough to send attempts by it."""
        return self.age_ms() <= self.max_age_ms

    def may_take(self, name) -> bool:
        """Whether a worker may get calls: it is listed, not draining, and the list is fresh."""
        worker = self.workers.get(name)
        return worker is not None and not worker.draining and self.is_fresh()

    def of_model(self, model):
        """Return the listed workers of a model."""
        return [worker for worker in self.workers.values() if worker.model == model]

    def on_list_ask(self, ask, sender):
        """Return the list known here and its age to another router."""
        return ListReturn(age_ms=min(self.age_ms(), 1 << 40), body=self.body)

    async def _read_periodically(self):
        """Read the list every `list_ms`; ask other routers once it is half its maximum age."""
        while True:
            start_s = self.loop.time()
            response = (
                await fetch_json(self.platform, "GET", "/v1/workers", timeoutMs=1000)
                if self.platform
                else None
            )
            if response and response[0] == 200:
                self._apply_list(msgspec.json.encode(response[1]), start_s)
            if self.age_ms() > self.max_age_ms / 2:
                await self._read_from_neighbours()
            self.telemetry.set_fact("list", "fresh" if self.is_fresh() else "old")
            await asyncio.sleep(max(0.05, self.list_ms / 1000 - (self.loop.time() - start_s)))

    async def _read_from_neighbours(self):
        """Apply the newest list of all other routers, if it is newer than the current one."""
        neighbours = self.membership.alive("router")
        sent_s = self.loop.time()
        responses = await asyncio.gather(
            *(self.mesh.request(neighbour.addr, ListAsk(), 400) for neighbour in neighbours)
        )
        answers = [response for response in responses if not is_fault(response)]
        for answer in sorted(answers, key=lambda answer: answer.age_ms)[:1]:
            if answer.body and sent_s - answer.age_ms / 1000 > self.read_s:
                self.telemetry.count["listsFromNeighbours"] += 1
                self._apply_list(answer.body, sent_s - answer.age_ms / 1000)

    def _apply_list(self, body, read_s):
        """Replace the list, unless the new one is malformed."""
        try:
            listing = msgspec.json.decode(body, type=Listing)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.telemetry.count["listsMalformed"] += 1
            self.telemetry.set_fact("listFault", str(error)[:200])
            return
        workers_by_name = {worker.name: worker for worker in listing.workers}
        self.read_s, self.body = max(read_s, self.read_s), body
        if workers_by_name != self.workers:
            self.workers = workers_by_name
            for notify in self.watchers:
                notify()

"""What calls the cores in a run: operators that insist, a reader, and a router that renews its lease."""

import asyncio
import contextlib

import msgspec

from swiftdeck.bench.history import ACKNOWLEDGED, Attempt, Observation, Order, Source
from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.platform import configs
from swiftdeck.platform.operator_api import BASE_HEADER, CONFIG_PATH
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import ConfigChanged, LeaseAsk

ANSWER_MS, LEASE_ASK_MS = 1000, 400
PAUSE_S, PAUSE_MOST_S, PAUSE_GROWTH = 0.1, 1.0, 1.5
READ_EVERY_S, LEASE_EVERY_S, TRY_AGAIN_S = 0.25, 0.1, 0.2
NUMBER_STEP = 2
FINAL_READS = 30


def document_of(order: Order) -> dict:
    """The configuration that an order carries."""
    return {"version": order.number, "routes": [], "backends": [], "note": order.body}


class Clients:
    """The processes outside the cores; they write down what they see on their sockets."""

    def __init__(self, history, doors, now):
        self.history, self.doors, self.now = history, doors, now
        self.turn, self.held, self.lives = 0, 0, 0

    def _next_door(self):
        doors = self.doors()
        self.turn += 1
        return doors[self.turn % len(doors)]

    async def insist(self, order: Order, limit_s: float) -> int:
        """Send an order to one core after another until it has a clear answer; gives its status."""
        pause_s, end_s = PAUSE_S, self.now() + limit_s
        while self.now() < end_s:
            attempt = await self.send(order)
            if attempt.is_acknowledged() or attempt.is_refused():
                return attempt.status
            await asyncio.sleep(pause_s)
            pause_s = min(PAUSE_MOST_S, pause_s * PAUSE_GROWTH)
        return 0

    async def send(self, order: Order) -> Attempt:
        """Send an order once."""
        begin_s, headers = self.now(), [(BASE_HEADER, str(order.base))]
        got = await fetch_json(
            self._next_door(), "PUT", CONFIG_PATH, document_of(order), headers, ANSWER_MS
        )
        attempt = Attempt(order, begin_s, self.now(), 0 if is_fault(got) else got[0])
        self.history.attempts.append(attempt)
        return attempt

    async def read(self, source=Source.READ, door="") -> Observation | None:
        """Read the configuration once, at one core or at the next."""
        begin_s = self.now()
        door = door or self._next_door()
        got = await fetch_json(door, "GET", CONFIG_PATH, timeoutMs=ANSWER_MS)
        if is_fault(got) or got[0] != ACKNOWLEDGED:
            return None
        return self._observed(source, begin_s, got[1])

    def _observed(self, source, begin_s, document):
        number, body = document["version"], document.get("note", "")
        seen = Observation(source, begin_s, self.now(), number, body)
        self.history.observations.append(seen)
        return seen

    async def read_until_it_comes(self, source, tries=FINAL_READS) -> Observation | None:
        """Read again and again until there is an answer."""
        for _ in range(tries):
            seen = await self.read(source)
            if seen is not None:
                return seen
            await asyncio.sleep(TRY_AGAIN_S)
        return None

    async def operate(self, body: str, after_s: float, limit_s: float) -> int:
        """One operator: wait, read, and send a change of what was read."""
        await asyncio.sleep(after_s)
        seen = await self.read_until_it_comes(Source.READ)
        if seen is None:
            return 0
        return await self.insist(Order(seen.number, seen.number + NUMBER_STEP, body), limit_s)

    async def reading(self):
        """Read at every core now and then, for ever."""
        while True:
            await asyncio.gather(*(self.read(door=door) for door in self.doors()))
            await asyncio.sleep(READ_EVERY_S)

    async def renewing(self, addr: str, core_addrs):
        """One life of a router: renew the lease now and then, and at once when the tail nudges."""
        mesh, nudged = Mesh(addr), asyncio.Event()
        self.held, self.lives = 0, self.lives + 1
        mesh.register(ConfigChanged, lambda nudge, sender: nudged.set())
        await mesh.start()
        while True:
            nudged.clear()
            held = self.held
            for core_addr in core_addrs():
                await self._renew(mesh, core_addr)
            if self.held == held:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(nudged.wait(), LEASE_EVERY_S)

    async def _renew(self, mesh, core_addr):
        begin_s = self.now()
        ask = LeaseAsk(router=f"router1/{self.lives}", addr=mesh.addr, held=self.held)
        got = await mesh.request(core_addr, ask, LEASE_ASK_MS)
        if not is_fault(got):
            self.held = max(self.held, got.version)
            document = configs.shown(msgspec.json.decode(got.document or b"{}"))
            self._observed(Source.LEASE, begin_s, document)

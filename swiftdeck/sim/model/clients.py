"""Clients of the cores in a run: operators that retry, a reader, and a router with a lease."""

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

ANSWER_TIMEOUT_MS, LEASE_TIMEOUT_MS = 1000, 400
MIN_PAUSE_S, MAX_PAUSE_S, PAUSE_GROWTH = 0.1, 1.0, 1.5
READ_EVERY_S, LEASE_EVERY_S, RETRY_PAUSE_S = 0.25, 0.1, 0.2
VERSION_STEP = 2
MAX_READS = 30


def config_document(order: Order) -> dict:
    """Return the configuration document that an order sends."""
    return {"version": order.number, "routes": [], "backends": [], "note": order.body}


class Clients:
    """Clients of the cores, which record in `history` what they send and receive.

    `operator_addrs` returns the cores' operator addresses, `now` the time of the run in seconds.
    `held_version` is the configuration version that the router holds, `life_count` its starts.
    """

    def __init__(self, history, operator_addrs, now):
        self.history, self.operator_addrs, self.now = history, operator_addrs, now
        self.turn, self.held_version, self.life_count = 0, 0, 0

    def _next_addr(self):
        addrs = self.operator_addrs()
        self.turn += 1
        return addrs[self.turn % len(addrs)]

    async def send_until_decided(self, order: Order, limit_s: float) -> int:
        """Send an order to one core after another until it is acknowledged or refused.

        Returns the HTTP status, or 0 when `limit_s` has passed.
        """
        pause_s, end_s = MIN_PAUSE_S, self.now() + limit_s
        while self.now() < end_s:
            attempt = await self.send(order)
            if attempt.is_acknowledged() or attempt.is_refused():
                return attempt.status
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH)
        return 0

    async def send(self, order: Order) -> Attempt:
        """Send an order once, to the next core, and record the attempt."""
        begin_s, headers = self.now(), [(BASE_HEADER, str(order.base))]
        response = await fetch_json(
            self._next_addr(),
            "PUT",
            CONFIG_PATH,
            config_document(order),
            headers,
            ANSWER_TIMEOUT_MS,
        )
        attempt = Attempt(order, begin_s, self.now(), 0 if is_fault(response) else response[0])
        self.history.attempts.append(attempt)
        return attempt

    async def read(self, source=Source.READ, addr="") -> Observation | None:
        """Read the configuration once, from the core at `addr` or the next one; None on failure."""
        begin_s = self.now()
        addr = addr or self._next_addr()
        response = await fetch_json(addr, "GET", CONFIG_PATH, timeoutMs=ANSWER_TIMEOUT_MS)
        if is_fault(response) or response[0] != ACKNOWLEDGED:
            return None
        return self._record_observation(source, begin_s, response[1])

    def _record_observation(self, source, begin_s, document):
        number, body = document["version"], document.get("note", "")
        observation = Observation(source, begin_s, self.now(), number, body)
        self.history.observations.append(observation)
        return observation

    async def read_until_answered(self, source, tries=MAX_READS) -> Observation | None:
        """Read until there is an answer, at most `tries` times."""
        for _ in range(tries):
            observation = await self.read(source)
            if observation is not None:
                return observation
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def operate(self, body: str, after_s: float, limit_s: float) -> int:
        """Act as one operator: wait `after_s`, read, and send a change of what was read.

        Returns the HTTP status, or 0 without an answer.
        """
        await asyncio.sleep(after_s)
        observation = await self.read_until_answered(Source.READ)
        if observation is None:
            return 0
        return await self.send_until_decided(
            Order(observation.number, observation.number + VERSION_STEP, body), limit_s
        )

    async def read_forever(self):
        """Read from every core at regular intervals, forever."""
        while True:
            await asyncio.gather(*(self.read(addr=addr) for addr in self.operator_addrs()))
            await asyncio.sleep(READ_EVERY_S)

    async def run_router(self, addr: str, core_addrs):
        """Run a router until it is killed: renew its lease regularly, and at once when notified.

        The notification is the tail's `ConfigChanged` message.
        """
        mesh, notified = Mesh(addr), asyncio.Event()
        self.held_version, self.life_count = 0, self.life_count + 1
        mesh.register(ConfigChanged, lambda message, sender: notified.set())
        await mesh.start()
        while True:
            notified.clear()
            version = self.held_version
            for core_addr in core_addrs():
                await self._renew(mesh, core_addr)
            if self.held_version == version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(notified.wait(), LEASE_EVERY_S)

    async def _renew(self, mesh, core_addr):
        begin_s = self.now()
        ask = LeaseAsk(router=f"router1/{self.life_count}", addr=mesh.addr, held=self.held_version)
        lease = await mesh.request(core_addr, ask, LEASE_TIMEOUT_MS)
        if not is_fault(lease):
            self.held_version = max(self.held_version, lease.version)
            document = configs.shown(msgspec.json.decode(lease.document or b"{}"))
            self._record_observation(Source.LEASE, begin_s, document)

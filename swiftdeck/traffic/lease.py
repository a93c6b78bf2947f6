"""The lease of a router to serve by the configuration that it holds."""

import asyncio
import contextlib

import attrs
import msgspec

from swiftdeck.chain.config_updates import unpack
from swiftdeck.chain.weight_ages import WeightAges
from swiftdeck.config.configuration import Configuration
from swiftdeck.fault import INVALID_CONFIG, NO_LEASE, is_fault
from swiftdeck.wire.messages import (
    ConfigChanged,
    DurableConfigAsk,
    DurableConfigReturn,
    LeaseAsk,
    LeaseReturn,
    Relay,
)

ASK_MS, LONG_ASK_MS = 700, 3000
"""How long the tail may take to begin its answer, and to end one that is still coming in."""
PEEK_AGAIN_S, PEEK_ASK_MS, PEEK_MORE_S = 0.15, 500, 0.05


@attrs.frozen
class Held:
    """A version in force, with its names mapped to what the door needs."""

    version: int
    config: object
    tenant_by_key: dict

    @property
    def document(self):
        """The entries, read."""
        return self.config.document


class ConfigLease:
    """Renews from the tail, directly or through a neighbour; without it nothing is sent to a worker."""

    def __init__(self, me, mesh, membership, cluster_map, telemetry, renewMs=500):
        self.me, self.mesh, self.membership, self.cluster_map, self.telemetry = (
            me,
            mesh,
            membership,
            cluster_map,
            telemetry,
        )
        self.renewMs = renewMs
        self.router = f"{me.name}/{me.incarnation:x}"
        self.held, self.until_s, self.watchers = None, -1.0, []
        self.peek_task = None
        self.waiting, self.stopping, self.must_have_whole = [], False, False
        self.failures, self.peeks, self.routers = 0, False, 0
        self.weight_ages, self.core_changed_s, self.core_seen_s = WeightAges(), -1e9, -1e9
        mesh.register(ConfigChanged, self.on_nudge)
        mesh.register(Relay, self.on_relay)

    def start(self):
        """Go on renewing."""
        self.loop, self.kick = asyncio.get_running_loop(), asyncio.Event()
        self.task = asyncio.ensure_future(self._renewing())
        if self.peeks:
            self.peek_task = asyncio.ensure_future(self._peeking())

    def is_held(self) -> bool:
        """Whether the configuration held may be served by now."""
        return self.held is not None and self.loop.time() < self.until_s

    def on_nudge(self, nudge, sender):
        if self.held is None or nudge.version > self.held.version:
            self.kick.set()

    async def _renewing(self):
        while not self.stopping:
            was_new = await self._renew()
            self.telemetry.set_fact("configLicence", "held" if self.is_held() else "lapsed")
            if not was_new:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.kick.wait(), self.renewMs / 1000 if self.is_held() else 0.15
                    )
            self.kick.clear()

    def _ask(self, hand_back=False):
        return LeaseAsk(
            router=self.router,
            addr=self.me.addr,
            held=self.held.version if self.held else 0,
            hand_back=hand_back,
            digest=self.held.config.digest() if self.held and not self.must_have_whole else b"",
            takes_packed=True,
            named=self.weight_ages.told(self.loop.time()),
        )

    async def _renew(self):
        sentS, ask, tail = self.loop.time(), self._ask(), self.cluster_map.tail()
        got = NO_LEASE if tail is None else await self.mesh.request(tail, ask, ASK_MS, LONG_ASK_MS)
        if is_fault(got):
            self.cluster_map.refresh()
            sentS = self.loop.time()
            got = await self._through_others(ask)
        if is_fault(got) or not isinstance(got, LeaseReturn):
            self.failures += 1
            return False
        self.failures, self.routers = 0, got.routers
        self._take_ages(got, sentS)
        told = unpack(got)
        return False if is_fault(told) else self._take(told, sentS)

    def _take_ages(self, got, sentS):
        """Learn how long ago weights were named, and when the tail last saw a core come or go.

        Neither is taken for older than the tail said, whatever the answer's way took: a naming counts from its arrival, which
        the next renewals correct, and a change of the core from when the tail was asked.
        """
        self.weight_ages.merge(got.named, self.loop.time())
        if got.core_calm_ms:
            self.core_changed_s = max(self.core_changed_s, sentS - got.core_calm_ms / 1000)
            self.core_seen_s = sentS

    async def _peeking(self):
        """Look for a configuration until there is one.

        Beside the renewals: these may hang on neighbours that are down, as after a loss of all power.
        """
        while self.held is None:
            await asyncio.sleep(PEEK_AGAIN_S)
            if self.held is None:
                await self._peek()

    async def _peek(self):
        """Take what a tail has on its disk, to serve by without a lease: it was committed once, if perhaps not last."""
        best = max(await self._peeked(), key=lambda each: each.view, default=None)
        if best is not None and self.held is None:
            self.telemetry.count["configsPeeked"] += 1
            told = unpack(
                LeaseReturn(
                    version=best.version,
                    document=best.document,
                    digest=best.digest,
                    packed=best.packed,
                    is_whole=True,
                )
            )
            if not is_fault(told):
                self._install(told)

    async def _peeked(self):
        """What tails answer; the others are given a moment more once one has answered."""
        addrs = {each.addr for each in self.membership.alive("core")} | {
            ref.addr for ref in self.cluster_map.view.members
        }
        open_tasks = {
            asyncio.ensure_future(
                self.mesh.request(addr, DurableConfigAsk(takes_packed=True), PEEK_ASK_MS)
            )
            for addr in sorted(addrs)
        }
        told, timeout_s = [], None
        while open_tasks:
            done, open_tasks = await asyncio.wait(
                open_tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            got = [each.result() for each in done]
            told += [each for each in got if isinstance(each, DurableConfigReturn) and each.version]
            timeout_s = PEEK_MORE_S if told else None
        return told

    async def _through_others(self, ask):
        some = self.membership.some(2, "router")
        asked = [
            asyncio.ensure_future(self.mesh.request(each.addr, Relay(ask=ask), 900))
            for each in some
        ]
        for each in asked:
            got = await each
            if not is_fault(got):
                self.telemetry.count["licencesRelayed"] += 1
                return got
        return NO_LEASE

    def _take(self, got, sentS):
        held = self.held.version if self.held else -1
        is_new = got.version > held
        if (is_new or got.document and got.version == held) and not self._install(got):
            return False
        if got.version >= held and got.lease_ms:
            self.until_s = max(self.until_s, sentS + got.lease_ms / 1000 * 0.95)
            waiting, self.waiting = self.waiting, []
            for done in waiting:
                if not done.done():
                    done.set_result(None)
        return is_new

    def _install(self, got):
        config = self._next(got)
        if is_fault(config) or config.digest() != got.digest:
            self.telemetry.count["configsMismatched"] += 1
            self.telemetry.log_event(
                "configuration in force is not what was told", version=got.version
            )
            self.must_have_whole = True
            return False
        self.must_have_whole = False
        by_key = {
            key: name for name, tenant in config.document.tenants.items() for key in tenant.keys
        }
        self.held = Held(got.version, config, by_key)
        self.weight_ages.note(config.document.models, self.loop.time())
        self.telemetry.set_fact("config", got.version)
        for watch in self.watchers:
            watch(self.held)
        return True

    def _next(self, got):
        """The configuration told, whole or as changes of the one held."""
        if not got.deltas:
            return Configuration.read(got.document)
        config = self.held.config if self.held else Configuration.empty()
        try:
            for delta in got.deltas:
                config = config.apply(msgspec.msgpack.decode(delta))
        except (
            msgspec.DecodeError,
            msgspec.ValidationError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            return INVALID_CONFIG.with_reason(repr(error))
        self.telemetry.count["configsChanged"] += 1
        return config

    async def on_relay(self, relay, sender):
        tail = self.cluster_map.tail()
        return (
            NO_LEASE
            if tail is None
            else await self.mesh.request(tail, relay.ask, ASK_MS, LONG_ASK_MS)
        )

    async def wait(self, until_s):
        """Wait for the lease, but no longer than given; whether it is held."""
        while not self.is_held() and self.loop.time() < until_s:
            done = self.loop.create_future()
            self.waiting.append(done)
            await asyncio.wait([done], timeout=max(0.001, until_s - self.loop.time()))
        return self.is_held()

    async def hand_back(self, within_ms=500):
        """Give the lease up, so that no acknowledgement waits for this router."""
        self.stopping, self.until_s = True, -1.0
        self.task.cancel()
        if self.peek_task is not None:
            self.peek_task.cancel()
        if self.cluster_map.tail():
            await self.mesh.request(self.cluster_map.tail(), self._ask(True), within_ms)

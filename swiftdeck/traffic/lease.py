"""A router's lease to serve by its current configuration."""

import asyncio
import contextlib

import attrs
import msgspec

from swiftdeck.chain.config_updates import unpack
from swiftdeck.chain.router_leases import SHARING_LEASE_MS
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

RENEW_START_TIMEOUT_MS, RENEW_TIMEOUT_MS = 700, 3000
"""How long the tail may take to begin its answer, and to complete one that is still arriving."""
USED_LEASE_SHARE = 0.95
"""The share of a lease's length that its holder uses."""
PEEK_PERIOD_S, PEEK_TIMEOUT_MS, PEEK_MORE_S = 0.15, 500, 0.05
"""Pause between two peeks, timeout of a request, and wait for further answers after the first."""


@attrs.frozen
class HeldConfig:
    """A version of the configuration, with the tenants' names by the digests of their keys."""

    version: int
    config: object
    tenant_by_key: dict

    @property
    def document(self):
        """The parsed document of the configuration."""
        return self.config.document


class ConfigLease:
    """Holds the configuration and renews the lease on it at the tail, or through a neighbour.

    Nothing is sent to a worker without a lease. `watchers` are called with each new HeldConfig.
    With `peeks` set, a configuration is taken from a core's disk before there is a lease.
    `routers` is the number of routers that the tail gave with the last renewal, and `failures` the
    number of renewals that failed since then.
    """

    def __init__(self, me, mesh, membership, cluster_map, telemetry, renew_ms=500):
        self.me, self.mesh, self.membership, self.cluster_map, self.telemetry = (
            me,
            mesh,
            membership,
            cluster_map,
            telemetry,
        )
        self.renew_ms = renew_ms
        self.router = f"{me.name}/{me.incarnation:x}"
        self.held, self.until_s, self.watchers = None, -1.0, []
        self.sharing_until_s = -1.0
        self.peek_task = None
        self.waiters, self.stopping, self.needs_whole_config = [], False, False
        self.failures, self.peeks, self.routers = 0, False, 0
        self.weight_ages, self.core_changed_s, self.core_seen_s = WeightAges(), -1e9, -1e9
        mesh.register(ConfigChanged, self.on_config_changed)
        mesh.register(Relay, self.on_relay)

    def start(self):
        """Start renewing the lease."""
        self.loop, self.kick = asyncio.get_running_loop(), asyncio.Event()
        self.task = asyncio.ensure_future(self._renew_periodically())
        if self.peeks:
            self.peek_task = asyncio.ensure_future(self._peek_until_held())

    def is_held(self) -> bool:
        """Whether calls may be served by the configuration held at this moment."""
        return self.held is not None and self.loop.time() < self.until_s

    def may_share_caches(self) -> bool:
        """Whether no newer configuration that isolates a tenant can be acknowledged at this moment."""
        return self.held is not None and self.loop.time() < self.sharing_until_s

    def on_config_changed(self, message, sender):
        """Renew at once if a newer configuration was announced."""
        if self.held is None or message.version > self.held.version:
            self.kick.set()

    async def _renew_periodically(self):
        """Renew every `renew_ms`, at once after a new version, and every 0.15 s without a lease."""
        while not self.stopping:
            was_new = await self._renew()
            self.telemetry.set_fact("configLicence", "held" if self.is_held() else "lapsed")
            if not was_new:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.kick.wait(), self.renew_ms / 1000 if self.is_held() else 0.15
                    )
            self.kick.clear()

    def _ask(self, hand_back=False):
        """Return the LeaseAsk to send; without a digest it asks for the whole configuration."""
        return LeaseAsk(
            router=self.router,
            addr=self.me.addr,
            held=self.held.version if self.held else 0,
            hand_back=hand_back,
            digest=self.held.config.digest() if self.held and not self.needs_whole_config else b"",
            takes_packed=True,
            named=self.weight_ages.told(self.loop.time()),
        )

    async def _renew(self):
        """Renew the lease once; return whether a new version was installed."""
        sent_s, ask, tail = self.loop.time(), self._ask(), self.cluster_map.tail()
        response = (
            NO_LEASE
            if tail is None
            else await self.mesh.request(tail, ask, RENEW_START_TIMEOUT_MS, RENEW_TIMEOUT_MS)
        )
        if is_fault(response):
            self.cluster_map.refresh()
            sent_s = self.loop.time()
            response = await self._renew_through_neighbours(ask)
        if is_fault(response) or not isinstance(response, LeaseReturn):
            self.failures += 1
            return False
        self.failures, self.routers = 0, response.routers
        self._merge_ages(response, sent_s)
        update = unpack(response)
        return False if is_fault(update) else self._apply_update(update, sent_s)

    def _merge_ages(self, response, sent_s):
        """Merge the ages of weights, and the time of the last change of the cores, from the tail.

        Neither must appear older than the tail said, however long the answer was on its way. So
        the ages of weights count from the arrival of the answer, which later renewals correct, and
        a change of the cores counts, like `core_seen_s`, from when the tail was asked.
        """
        self.weight_ages.merge(response.named, self.loop.time())
        if response.core_calm_ms:
            self.core_changed_s = max(self.core_changed_s, sent_s - response.core_calm_ms / 1000)
            self.core_seen_s = sent_s

    async def _peek_until_held(self):
        """Ask the cores for a configuration until there is one.

        This runs beside the renewals, which can hang on neighbours that are down, as after all
        machines lost power.
        """
        while self.held is None:
            await asyncio.sleep(PEEK_PERIOD_S)
            if self.held is None:
                await self._peek_durable_config()

    async def _peek_durable_config(self):
        """Install the configuration that a tail has on its disk, to be used without a lease.

        It was committed at some time, but may not be the newest. Of several answers the one of the
        newest view is taken.
        """
        newest = max(
            await self._ask_durable_configs(), key=lambda config: config.view, default=None
        )
        if newest is not None and self.held is None:
            self.telemetry.count["configsPeeked"] += 1
            update = unpack(
                LeaseReturn(
                    version=newest.version,
                    document=newest.document,
                    digest=newest.digest,
                    packed=newest.packed,
                    is_whole=True,
                )
            )
            if not is_fault(update):
                self._install(update)

    async def _ask_durable_configs(self):
        """Return the answers of tails with a configuration.

        After the first one, others are awaited for PEEK_MORE_S.
        """
        addrs = {core.addr for core in self.membership.alive("core")} | {
            ref.addr for ref in self.cluster_map.view.members
        }
        open_tasks = {
            asyncio.ensure_future(
                self.mesh.request(addr, DurableConfigAsk(takes_packed=True), PEEK_TIMEOUT_MS)
            )
            for addr in sorted(addrs)
        }
        configs, timeout_s = [], None
        while open_tasks:
            done_tasks, open_tasks = await asyncio.wait(
                open_tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done_tasks:
                break
            responses = [task.result() for task in done_tasks]
            configs += [
                response
                for response in responses
                if isinstance(response, DurableConfigReturn) and response.version
            ]
            timeout_s = PEEK_MORE_S if configs else None
        return configs

    async def _renew_through_neighbours(self, ask):
        """Return the tail's answer as relayed by one of two other routers, or NO_LEASE."""
        neighbours = self.membership.some(2, "router")
        requests = [
            asyncio.ensure_future(self.mesh.request(neighbour.addr, Relay(ask=ask), 900))
            for neighbour in neighbours
        ]
        for request in requests:
            response = await request
            if not is_fault(response):
                self.telemetry.count["licencesRelayed"] += 1
                return response
        return NO_LEASE

    def _apply_update(self, update, sent_s):
        """Install a newer configuration and extend the lease; return whether it was a new version.

        The lease counts from the sending of the ask, and 5 % of its length is not used. An answer
        with an older version than the one held is ignored.
        """
        held_version = self.held.version if self.held else -1
        is_new = update.version > held_version
        if (is_new or update.document and update.version == held_version) and not self._install(
            update
        ):
            return False
        if update.version >= held_version and update.lease_ms:
            self.until_s = max(self.until_s, sent_s + update.lease_ms / 1000 * USED_LEASE_SHARE)
            self.sharing_until_s = max(
                self.sharing_until_s, sent_s + SHARING_LEASE_MS / 1000 * USED_LEASE_SHARE
            )
            waiters, self.waiters = self.waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        return is_new

    def _install(self, update):
        """Use a configuration from now on; return False if it doesn't match its digest.

        In that case the whole configuration is asked for with the next renewal.
        """
        config = self._build_config(update)
        if is_fault(config) or config.digest() != update.digest:
            self.telemetry.count["configsMismatched"] += 1
            self.telemetry.log_event(
                "configuration in force is not what was told", version=update.version
            )
            self.needs_whole_config = True
            return False
        self.needs_whole_config = False
        by_key = {
            key: name for name, tenant in config.document.tenants.items() for key in tenant.keys
        }
        self.held = HeldConfig(update.version, config, by_key)
        self.weight_ages.note(config.document.models, self.loop.time())
        self.telemetry.set_fact("config", update.version)
        for notify in self.watchers:
            notify(self.held)
        return True

    def _build_config(self, update):
        """Return the configuration of an update, given whole or as changes of the one held, or a fault."""
        if not update.deltas:
            return Configuration.read(update.document)
        config = self.held.config if self.held else Configuration.empty()
        try:
            for delta in update.deltas:
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
        """Forward a neighbour's LeaseAsk to the tail and return the answer."""
        tail = self.cluster_map.tail()
        return (
            NO_LEASE
            if tail is None
            else await self.mesh.request(tail, relay.ask, RENEW_START_TIMEOUT_MS, RENEW_TIMEOUT_MS)
        )

    async def wait(self, until_s):
        """Wait for the lease until the loop's time `until_s`; return whether it is held."""
        while not self.is_held() and self.loop.time() < until_s:
            waiter = self.loop.create_future()
            self.waiters.append(waiter)
            await asyncio.wait([waiter], timeout=max(0.001, until_s - self.loop.time()))
        return self.is_held()

    async def hand_back(self, within_ms=500):
        """Give up the lease, so that acknowledgements of changes need not wait for this router."""
        self.stopping, self.until_s, self.sharing_until_s = True, -1.0, -1.0
        self.task.cancel()
        if self.peek_task is not None:
            self.peek_task.cancel()
        if self.cluster_map.tail():
            await self.mesh.request(self.cluster_map.tail(), self._ask(True), within_ms)

"""Simulated operators: a stream of configuration changes, new weights and lost answers."""

import asyncio
import itertools
import random

import attrs

from swiftdeck.bench.platform_api.operator import CONFIG, Operator, patched
from swiftdeck.bench.platform_api.site_forms import TENANT_LIST, with_idle_ms
from swiftdeck.bench.record import boot_ms
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.site import GUESTS, MODEL, generated_route, is_generated_route

FIRST_VERSION, READ_TIMEOUT_MS, READ_PAUSE_S = 3, 1000, (0.1, 0.4)
MAX_CHANGED_ROUTES, REMOVE_SHARE = 12, 0.45
CHANGE_PAUSE_S, WEIGHTS_PAUSE_S = (0.05, 0.4), (1.0, 7.0)
CHANGES_PER_TENANT_CHANGE, WHOLE_CONFIGURATION_SHARE = 4, 0.3
"""Each how many changes concern a tenant, and the share of these sent as a whole configuration."""
RECENT_ROUTES = 24
LIMITS_CHANGE_SHARE, IDLE_TIMEOUTS_MS = 0.08, (300, 1500, 15000)
LOST_ANSWER_TIMEOUTS_MS, RETRY_PAUSE_S = (5, 30, 1000), 0.1


class SoakOperator(Operator):
    """An operator that loses some answers and then repeats the same call.

    An answer is lost on its way, or because the operator's timeout closed the connection before.
    """

    def __init__(self, record, doors, versions, random):
        super().__init__(record, doors)
        self.versions, self.random, self.lost_share, self.lost_answers = versions, random, 0.0, 0
        self.acknowledged, self.change_count, self.tenant_changes = 0, 0, 0

    async def _insist(self, method, path, body, headers=(), limit_s=40):
        while self.random.random() < self.lost_share:
            doors = self.doors()
            self.turn += 1
            self.lost_answers += 1
            door, within_ms = (
                doors[self.turn % len(doors)],
                self.random.choice(LOST_ANSWER_TIMEOUTS_MS),
            )
            await fetch_json(door, method, path, body, headers, within_ms)
            await asyncio.sleep(RETRY_PAUSE_S)
        return await super()._insist(method, path, body, headers, limit_s)

    async def _change(self, method, body, document, base, is_bad):
        status = await super()._change(method, body, document, base, is_bad)
        if status == 200:
            self.acknowledged = document["version"]
        return status

    async def name(self, model, version):
        """Announce a new version of the weights; return the status."""
        status = await super().name(model, version)
        if status == 200:
            self.acknowledged = version
        return status

    async def catch_up(self):
        """Fetch the newest configuration, on which the next change is based."""
        while True:
            for address in self.doors():
                response = await fetch_json(address, "GET", CONFIG, timeoutMs=READ_TIMEOUT_MS)
                if response and response[0] == 200:
                    self.document = response[1]
                    return
            await asyncio.sleep(READ_PAUSE_S[1])

    async def change(self):
        """Send a change of a tenant, of routes or of the idle timeout; return its status."""
        self.change_count += 1
        if self.change_count % CHANGES_PER_TENANT_CHANGE == 0:
            status = await self._change_tenant()
        elif self.random.random() < LIMITS_CHANGE_SHARE:
            status = await self._change_limits()
        else:
            status = await self._change_routes()
        if status != 200:
            await self.catch_up()
        return status

    async def _change_tenant(self):
        """Add, isolate, cease to isolate or remove a guest, at times by a whole configuration."""
        guest, version = self.random.choice(GUESTS), next(self.versions)
        present = {tenant["name"]: tenant["isolated"] for tenant in self.document[TENANT_LIST]}
        isolation = self.random.choice(
            [each for each in (None, False, True) if each != present.get(guest.name)]
        )
        if isolation is None:
            change = {"remove": {TENANT_LIST: [guest.name]}}
        else:
            change = {"put": {TENANT_LIST: [attrs.evolve(guest, is_isolated=isolation).outward()]}}
        if self.random.random() < WHOLE_CONFIGURATION_SHARE:
            status = await self.put(patched(self.document, **change), version)
        else:
            status = await self.patch(version, **change)
        self.tenant_changes += status == 200
        return status

    async def _change_limits(self):
        """Send the whole configuration with another idle timeout of connections."""
        document = with_idle_ms(self.document, self.random.choice(IDLE_TIMEOUTS_MS))
        return await self.put(document, next(self.versions))

    async def _change_routes(self):
        version = next(self.versions)
        routes = [
            route["name"] for route in self.document["routes"] if is_generated_route(route["name"])
        ]
        is_full = len(routes) >= MAX_CHANGED_ROUTES
        remove = routes[:1] if routes and (is_full or self.random.random() < REMOVE_SHARE) else []
        return await self.patch(
            version,
            put={"routes": [generated_route(version).outward()]},
            remove={"routes": remove} if remove else None,
        )


class Operators:
    """Two configuration operators, the second only at times, and a weights operator."""

    def __init__(self, site, record, seed, named):
        rng, versions = random.Random(seed), itertools.count(FIRST_VERSION)
        addresses = [core.http for core in site.cores]
        self.site, self.random, self.named, self.statuses = site, rng, named, []
        self.configuration_operators = [
            SoakOperator(
                record(f"operator{number}"),
                lambda: addresses,
                versions,
                random.Random(rng.random()),
            )
            for number in (1, 2)
        ]
        self.weights_operator = SoakOperator(
            record("operator3"), lambda: addresses, versions, random.Random(rng.random())
        )
        self.weights_operator.named = named
        self.record_read = record("reader")
        self.second_operator_until_s, self.is_ending, self.tasks = 0.0, False, []

    @property
    def all(self):
        """All operators of the site."""
        return [*self.configuration_operators, self.weights_operator]

    async def configure(self):
        """Send the first configuration; return the status."""
        first = self.configuration_operators[0]
        return await first.put(self.site.document(), next(first.versions))

    def start(self):
        """Start the tasks that change configuration and weights and read the configuration."""
        self.tasks = [
            asyncio.ensure_future(stream)
            for stream in (
                self._change_repeatedly(),
                self._change_while_enabled(),
                self._announce_weights(),
                self._read_repeatedly(),
            )
        ]

    def lose_answers(self, share):
        """From now on such a share of the answers doesn't come."""
        for operator in self.all:
            operator.lost_share = share

    def enable_second_operator(self, for_s):
        """Let the second operator send changes as well for `for_s` seconds."""
        self.second_operator_until_s = asyncio.get_running_loop().time() + for_s

    async def _change_repeatedly(self):
        while not self.is_ending:
            self.statuses.append(await self.configuration_operators[0].change())
            await asyncio.sleep(self.random.uniform(*CHANGE_PAUSE_S))

    async def _change_while_enabled(self):
        while not self.is_ending:
            if asyncio.get_running_loop().time() < self.second_operator_until_s:
                await self.configuration_operators[1].catch_up()
                self.statuses.append(await self.configuration_operators[1].change())
            await asyncio.sleep(self.random.uniform(*CHANGE_PAUSE_S))

    async def _announce_weights(self):
        while not self.is_ending:
            await self.weights_operator.name(MODEL, self.named[MODEL] + 1)
            await asyncio.sleep(self.random.uniform(*WEIGHTS_PAUSE_S))

    async def _read_repeatedly(self):
        """Read the configuration from each core in turn, whatever the state of that core."""
        for core in itertools.cycle(self.site.cores):
            if self.is_ending:
                return
            sent_ms = boot_ms()
            response = await fetch_json(core.http, "GET", CONFIG, timeoutMs=READ_TIMEOUT_MS)
            if response and response[0] == 200:
                self.record_read(
                    "configRead", core=core.name, sentMs=sent_ms, version=response[1]["version"]
                )
            await asyncio.sleep(self.random.uniform(*READ_PAUSE_S))

    def recent_paths(self):
        """Return the paths of recently changed routes, some of which have been removed again."""
        newest = self.configuration_operators[0].document.get("version", FIRST_VERSION)
        first = max(FIRST_VERSION, newest - RECENT_ROUTES)
        return [generated_route(version).path for version in range(first, newest + 1)]

    async def finish(self, within_s) -> bool:
        """Send nothing more and wait for pending answers; return whether all came in time."""
        self.is_ending = True
        self.lose_answers(0.0)
        _, unfinished = await asyncio.wait(self.tasks, timeout=within_s)
        for task in unfinished:
            task.cancel()
        return not unfinished

    def newest_acknowledged(self) -> int:
        """Return the version of the newest configuration whose activation was acknowledged."""
        return max(operator.acknowledged for operator in self.configuration_operators)

    def acknowledged_weights(self) -> int:
        """Return the newest version of the weights that was acknowledged."""
        return self.weights_operator.acknowledged

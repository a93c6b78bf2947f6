"""Operators: a stream of changes, weights named again and again, answers that get lost."""

import asyncio
import itertools
import random

from swiftdeck.bench.platform_api.operator import CONFIG, Operator
from swiftdeck.bench.platform_api.site_forms import with_idle_ms
from swiftdeck.bench.record import boot_ms
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.site import MODEL, changing_route, is_changing

FIRST_VERSION, READ_MS, READ_PAUSE_S = 3, 1000, (0.1, 0.4)
ROUTES_MOST, REMOVE_SHARE = 12, 0.45
CHANGE_PAUSE_S, WEIGHTS_PAUSE_S = (0.05, 0.4), (1.0, 7.0)
RECENT_ROUTES = 24
LIMITS_SHARE, IDLE_MS = 0.08, (300, 1500, 15000)
LOST_AFTER_MS, RETRY_PAUSE_S = (5, 30, 1000), 0.1


class SoakOperator(Operator):
    """An operator to whom some answers don't come; it then sends the same call again.

    An answer is lost either on its way, or because the operator gave the connection up before.
    """

    def __init__(self, record, doors, versions, random):
        super().__init__(record, doors)
        self.versions, self.random, self.lost_share, self.lost = versions, random, 0.0, 0
        self.acknowledged = 0

    async def _insist(self, method, path, body, headers=(), limit_s=40):
        while self.random.random() < self.lost_share:
            doors = self.doors()
            self.turn += 1
            self.lost += 1
            door, within_ms = doors[self.turn % len(doors)], self.random.choice(LOST_AFTER_MS)
            await fetch_json(door, method, path, body, headers, within_ms)
            await asyncio.sleep(RETRY_PAUSE_S)
        return await super()._insist(method, path, body, headers, limit_s)

    async def _change(self, method, body, document, base, is_bad):
        status = await super()._change(method, body, document, base, is_bad)
        if status == 200:
            self.acknowledged = document["version"]
        return status

    async def name(self, model, version):
        """Name new weights; gives the status."""
        status = await super().name(model, version)
        if status == 200:
            self.acknowledged = version
        return status

    async def catch_up(self):
        """Read the newest configuration, to build the next change on it."""
        while True:
            for address in self.doors():
                got = await fetch_json(address, "GET", CONFIG, timeoutMs=READ_MS)
                if got and got[0] == 200:
                    self.document = got[1]
                    return
            await asyncio.sleep(READ_PAUSE_S[1])

    async def change(self):
        """Send one change, of routes or of a bound for all connections; gives its status."""
        is_of_limits = self.random.random() < LIMITS_SHARE
        status = await (self._change_limits() if is_of_limits else self._change_routes())
        if status != 200:
            await self.catch_up()
        return status

    async def _change_limits(self):
        """Send the whole configuration with another time for connections at rest."""
        document = with_idle_ms(self.document, self.random.choice(IDLE_MS))
        return await self.put(document, next(self.versions))

    async def _change_routes(self):
        version = next(self.versions)
        held = [each["name"] for each in self.document["routes"] if is_changing(each["name"])]
        is_full = len(held) >= ROUTES_MOST
        remove = held[:1] if held and (is_full or self.random.random() < REMOVE_SHARE) else []
        return await self.patch(
            version,
            put={"routes": [changing_route(version).outward()]},
            remove={"routes": remove} if remove else None,
        )


class Operators:
    """Two operators of one site, the second now and then, and one who names weights."""

    def __init__(self, site, record, seed, named):
        rng, versions = random.Random(seed), itertools.count(FIRST_VERSION)
        doors = [each.http for each in site.cores]
        self.site, self.random, self.named, self.statuses = site, rng, named, []
        self.changers = [
            SoakOperator(
                record(f"operator{number}"), lambda: doors, versions, random.Random(rng.random())
            )
            for number in (1, 2)
        ]
        self.namer = SoakOperator(
            record("operator3"), lambda: doors, versions, random.Random(rng.random())
        )
        self.namer.named = named
        self.record_read = record("reader")
        self.second_until_s, self.is_ending, self.tasks = 0.0, False, []

    @property
    def all(self):
        """All operators."""
        return [*self.changers, self.namer]

    async def configure(self):
        """Put the first configuration; gives the status."""
        first = self.changers[0]
        return await first.put(self.site.document(), next(first.versions))

    def start(self):
        """Begin the streams of changes and of weights."""
        self.tasks = [
            asyncio.ensure_future(each)
            for each in (self._changing(), self._changing_too(), self._naming(), self._reading())
        ]

    def lose_answers(self, share):
        """From now on such a share of the answers doesn't come."""
        for each in self.all:
            each.lost_share = share

    def let_second_change(self, for_s):
        """For some time the second operator sends changes as well."""
        self.second_until_s = asyncio.get_running_loop().time() + for_s

    async def _changing(self):
        while not self.is_ending:
            self.statuses.append(await self.changers[0].change())
            await asyncio.sleep(self.random.uniform(*CHANGE_PAUSE_S))

    async def _changing_too(self):
        while not self.is_ending:
            if asyncio.get_running_loop().time() < self.second_until_s:
                await self.changers[1].catch_up()
                self.statuses.append(await self.changers[1].change())
            await asyncio.sleep(self.random.uniform(*CHANGE_PAUSE_S))

    async def _naming(self):
        while not self.is_ending:
            await self.namer.name(MODEL, self.named[MODEL] + 1)
            await asyncio.sleep(self.random.uniform(*WEIGHTS_PAUSE_S))

    async def _reading(self):
        """Read the configuration at one core after another, whatever its state."""
        for core in itertools.cycle(self.site.cores):
            if self.is_ending:
                return
            sent_ms = boot_ms()
            got = await fetch_json(core.http, "GET", CONFIG, timeoutMs=READ_MS)
            if got and got[0] == 200:
                self.record_read(
                    "configRead", core=core.name, sentMs=sent_ms, version=got[1]["version"]
                )
            await asyncio.sleep(self.random.uniform(*READ_PAUSE_S))

    def recent_paths(self):
        """Paths of routes that were changed lately, some of them gone again."""
        newest = self.changers[0].document.get("version", FIRST_VERSION)
        first = max(FIRST_VERSION, newest - RECENT_ROUTES)
        return [changing_route(version).path for version in range(first, newest + 1)]

    async def finish(self, within_s) -> bool:
        """Begin nothing more, and wait for the answers under way; whether all came in time."""
        self.is_ending = True
        self.lose_answers(0.0)
        _, late = await asyncio.wait(self.tasks, timeout=within_s)
        for task in late:
            task.cancel()
        return not late

    def newest_acknowledged(self) -> int:
        """The number of the newest configuration that an operator was told is in force."""
        return max(each.acknowledged for each in self.changers)

    def acknowledged_weights(self) -> int:
        """The newest weights whose naming was acknowledged."""
        return self.namer.acknowledged

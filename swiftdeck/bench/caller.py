"""A stand-in for callers: agents with growing conversations, and short calls.

Every return is recorded.
"""

import asyncio

from swiftdeck.bench.call_try import CONNECT_MS, CallOptions, CallTry
from swiftdeck.config.document import key_digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

CHARS_OF_A_TOKEN = 4
SHORT_TOKENS = 16
HASTY_SHARE, HASTY_S = 0.15, 3
RETURN_PAUSES_S = [0.0, 0.0, 1.0, 4.0, 12.0]
NO_GAP_SHARE, GAP_MEAN_S, LONGEST_GAP_S = 0.386, 1.6, 7.5
MANNERS = (
    (0.3, {"stream": False}),
    (0.35, {"leave_after": 0}),
    (0.4, {"slow_s": 0.3}),
)
"""Options of how callers behave, each below its share of draws: whole, going away, slow."""
KEPT_TENANTS, KEPT_TIMEOUT_S = 3, 60
END_S = 30


class Caller:
    """Makes calls as tenants do; each try has a marker that every piece of its return must show.

    `doors` are the HTTP addresses of routers, `routers` their names by these, `keys` the keys of
    tenants by their names. With `returns` above zero callers come back so often after a call that
    did not end well, and some of them read slowly or go away.
    """

    returns = 0

    def __init__(self, name, doors, record, random, keys, scale=1.0, routers=None):
        self.name, self.doors, self.record, self.random = name, doors, record, random
        self.routers = routers or {}
        self.keys, self.scale, self.serial = keys, scale, 0
        self.stopping = False
        self.book = {route: f"{route} rules " * 2000 for route in ("check", "tag")}

    def _marker(self, tenant):
        self.serial += 1
        return f"{self.name}/{tenant}/{self.serial}"

    async def call(
        self, tenant, route, parts, marker="", key=None, door=None, link=None, **options
    ):
        """Make one try; returns what came back and records it.

        With the marker of an earlier try it is the same call again. `options` are the fields of
        CallOptions; `link` is a connection that is kept open.
        """
        options = CallOptions(**options)
        if not marker:
            marker = self._marker(tenant)
            parts = [*parts[:-1], f"{parts[-1]} [[{marker}]]"]
        door, key = door or self.random.choice(self.doors), key or self.keys[tenant]
        self._record_try(marker, tenant, route, door, key, options)
        call_try = CallTry(marker, options)
        body = options.body(route, parts)
        result = await call_try.run(door, options.headers(key), body, link)
        self.record("return", marker=marker, tenant=tenant, route=route, **result)
        return result | {"parts": parts, "marker": marker}

    def _record_try(self, marker, tenant, route, door, key, options):
        self.record(
            "try",
            marker=marker,
            tenant=tenant,
            route=route,
            idempotency=options.idempotency,
            door=door,
            talk=options.talk,
            turn=options.turn,
            router=self.routers.get(door, ""),
            key=key_digest(key),
        )

    async def agent(self, tenant, route="check", turns=5, grow=800, gap=None):
        """Hold one conversation, each prompt an extension of the last; returns the turns served.

        `grow` is the mean of tokens that a turn adds; `gap` the pause between turns in seconds, a
        drawn one if it is None.
        """
        talk, chars = self._marker(tenant), grow * CHARS_OF_A_TOKEN
        parts = [self.book[route], f"case {talk} " + "x" * chars]
        for turn in range(turns):
            returned = await self.insist(
                tenant,
                route,
                parts,
                idempotency=self._marker(tenant),
                is_last=turn == turns - 1,
                talk=talk,
                turn=turn,
            )
            if not returned["whole"]:
                return turn
            added = "y" * int(chars * self.random.uniform(0.3, 2))
            parts = [*returned["parts"], f"said {turn}", added]
            await asyncio.sleep(self._gap_s() if gap is None else gap)
        return turns

    async def insist(self, tenant, route, parts, **options):
        """Make a call whose caller comes back with the same key, whatever it met.

        It comes back at another router, at once or seconds later. Some have little patience: they
        leave after three seconds, and come back like the others.
        """
        is_hasty = self.returns and self.random.random() < HASTY_SHARE
        patience = {"timeout_s": HASTY_S} if is_hasty else {}
        returned = await self.call(tenant, route, parts, **options | patience)
        for _ in range(self.returns):
            if returned["whole"] or returned.get("left") or self.stopping:
                break
            await asyncio.sleep(self.random.choice(RETURN_PAUSES_S))
            again = options | {"marker": returned["marker"]}
            returned = await self.call(tenant, route, returned["parts"], **again)
        return returned

    def _gap_s(self):
        """Return a gap between turns: two in five are zero, the median is 1 s."""
        if self.random.random() < NO_GAP_SHARE:
            return 0.0
        return min(LONGEST_GAP_S, self.random.expovariate(1 / GAP_MEAN_S)) * self.scale

    async def agents(self, tenant, route="check", turns=(2, 8), rest_s=1.0):
        """Hold conversations one after another until told to stop."""
        while not self.stopping:
            served = await self.agent(tenant, route, self.random.randint(*turns))
            self.record("agent", tenant=tenant, turns=served)
            await asyncio.sleep(rest_s * self.random.uniform(0.5, 1.5))

    async def shorts(self, tenant, route="tag", every_s=0.5):
        """Make short calls until told to stop, each on its own; `every_s` is their mean pause."""
        while not self.stopping:
            parts = [self.book[route], "ad"]
            asyncio.ensure_future(
                self.call(tenant, route, parts, max_tokens=SHORT_TOKENS, **self._manner())
            )
            await asyncio.sleep(self.random.expovariate(1 / every_s))

    def _manner(self):
        """Return the options of how a caller behaves: most read a stream to its end.

        Some take it whole, go away midway, or read slowly.
        """
        draw = self.random.random() if self.returns else 1.0
        return next((options for share, options in MANNERS if draw < share), {})

    async def kept(self, tenant, route="tag", every_s=1.0):
        """Make short calls over one connection, with the key of its first day.

        The connection is kept alive for as long as its router lives.
        """
        key, link, door = self.keys[tenant], None, ""
        while not self.stopping:
            if link is None or link.gone:
                door = self.random.choice(self.doors)
                link = await self._connect(door)
            if link is not None and not await self._call_over(link, tenant, route, key, door):
                link.close()
                link = None
            await asyncio.sleep(self.random.expovariate(1 / every_s))

    @staticmethod
    async def _connect(door):
        """Return a connection to a router, or None."""
        ip, _, port = door.rpartition(":")
        link = await connect(ip, int(port), CONNECT_MS)
        return None if is_fault(link) else link

    async def _call_over(self, link, tenant, route, key, door):
        """Make a short call over a connection; false when it was not answered in time."""
        returned = await self.call(
            tenant,
            route,
            [self.book[route], "ad"],
            max_tokens=SHORT_TOKENS,
            key=key,
            door=door,
            link=link,
            stream=False,
            timeout_s=KEPT_TIMEOUT_S,
        )
        return returned["status"] >= 1 and not returned.get("gaveUp")

    async def run(self, seconds, agents, short_every_s):
        """Make the traffic of a site: long checks as agents, short calls ten times as often.

        `agents` has the number of agents of each tenant.
        """
        traffic = [self.agents(tenant) for tenant, count in agents.items() for _ in range(count)]
        traffic += [self.shorts(tenant, every_s=short_every_s) for tenant in agents]
        if self.returns:
            keeping = list(agents)[:KEPT_TENANTS]
            traffic += [self.kept(tenant, every_s=short_every_s) for tenant in keeping]
        tasks = [asyncio.ensure_future(part) for part in traffic]
        await asyncio.sleep(seconds)
        self.stopping = True
        await asyncio.wait(tasks, timeout=END_S)
        for task in tasks:
            task.cancel()

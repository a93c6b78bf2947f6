"""A stand-in for callers: agents with growing conversations, and short calls.

Every return is recorded.
"""

import asyncio

import msgspec

from swiftdeck.config.document import key_digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

CONNECT_MS = 2000
TOKENS_OF_A_PIECE = 16
NOT_CONNECTED, NO_ANSWER = -1, -2


class CallOptions(msgspec.Struct, frozen=True):
    """How one call is made.

    `leave_after` is the number of pieces after which the caller goes away, `slow_s` the pause
    before each piece is read.
    """

    max_tokens: int = 64
    idempotency: str = ""
    timeout_s: float = 90
    is_last: bool = False
    stream: bool = True
    talk: str = ""
    turn: int = 0
    leave_after: int | None = None
    slow_s: float = 0.0


def _headers(key, options):
    headers = [("authorization", f"Bearer {key}"), ("content-type", "application/json")]
    headers += [("idempotency-key", options.idempotency)] if options.idempotency else []
    headers += [("conversation-end", "1")] if options.is_last else []
    return headers


def _empty_result():
    return {
        "status": 0,
        "code": 0,
        "notRun": False,
        "call": "",
        "run": "",
        "whole": False,
        "pieces": 0,
        "wrong": "",
    }


class Caller:
    """Makes calls as tenants do; each try has a marker that every piece of its return must show."""

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
        """One try; returns what came back and records it.

        With the marker of an earlier try it is the same call again. `options` are the fields of
        CallOptions; `link` is a connection that is kept open.
        """
        options = CallOptions(**options)
        if not marker:
            marker = self._marker(tenant)
            parts = [*parts[:-1], f"{parts[-1]} [[{marker}]]"]
        door, key = door or self.random.choice(self.doors), key or self.keys[tenant]
        self._record_try(marker, tenant, route, door, key, options)
        result = _empty_result()
        body = msgspec.json.encode(
            {
                "model": route,
                "parts": parts,
                "maxTokens": options.max_tokens,
                "stream": options.stream,
            }
        )
        try:
            async with asyncio.timeout(options.timeout_s):
                await self._talk(door, _headers(key, options), body, marker, result, options, link)
        except TimeoutError:
            result["gaveUp"] = True
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

    async def _talk(self, door, headers, body, marker, result, options, kept):
        ip, _, port = door.rpartition(":")
        link = kept or await connect(ip, int(port), CONNECT_MS)
        if is_fault(link):
            result["status"] = NOT_CONNECTED
            return
        try:
            got = await link.exchange("POST", "/v1/calls", headers, body, door)
            if is_fault(got):
                result["status"] = NO_ANSWER
                return
            result["status"] = got.status
            result["retryAfter"] = got.headers.get("retry-after", "")
            if got.headers.get("content-type") == "text/event-stream":
                await self._read_stream(got, marker, result, options)
            else:
                await self._read_whole(got, marker, result, options)
        finally:
            if not kept:
                link.close()

    async def _read_whole(self, got, marker, result, options):
        whole = await got.whole()
        answer = {} if is_fault(whole) else msgspec.json.decode(whole)
        names = ("code", "notRun", "call", "run", "reason")
        result |= {name: answer[name] for name in names if name in answer}
        result["whole"] = bool(answer.get("end"))
        result["sentTo"] = "" if result["whole"] else answer.get("worker", "")
        pieces = max(1, options.max_tokens // TOKENS_OF_A_PIECE)
        due = "".join(f"[[{marker}]]{seq} " for seq in range(pieces))
        if result["whole"] and answer.get("text") != due:
            result["wrong"] = f"text {answer.get('text', '')[:200]!r}"

    async def _read_stream(self, got, marker, result, options):
        async for line in got.lines():
            if not line.startswith(b"data:"):
                continue
            if options.leave_after is not None and result["pieces"] >= options.leave_after:
                result["left"] = True
                return
            if options.slow_s:
                await asyncio.sleep(options.slow_s)
            self._take_piece(msgspec.json.decode(line[5:]), marker, result)

    @staticmethod
    def _take_piece(piece, marker, result):
        """Add one piece of a stream to the result, and check that it belongs there."""
        if "code" in piece:
            result["code"], result["sentTo"] = piece["code"], piece.get("worker", "")
            return
        if result["run"] not in ("", piece["run"]):
            result["wrong"] = "piece of another run"
        result["run"], result["call"] = piece["run"], piece["call"]
        if piece.get("end"):
            result["whole"], result["usage"] = True, piece.get("usage", {})
            result["worker"] = piece.get("worker", "")
            result["waitedMs"] = piece.get("waitedMs", 0)
            return
        if piece["text"] != f"[[{marker}]]{result['pieces']} ":
            result["wrong"] = f"piece {piece['text'][:60]!r} where {result['pieces']} was due"
        result["pieces"] += 1

    async def agent(self, tenant, route="check", turns=5, grow=800, gap=None):
        """One conversation, each prompt an extension of the last; returns the turns served."""
        talk = self._marker(tenant)
        parts = [self.book[route], f"case {talk} " + "x" * grow * 4]
        for turn in range(turns):
            got = await self.insist(
                tenant,
                route,
                parts,
                idempotency=self._marker(tenant),
                is_last=turn == turns - 1,
                talk=talk,
                turn=turn,
            )
            if not got["whole"]:
                return turn
            parts = [
                *got["parts"],
                f"said {turn}",
                "y" * int(grow * 4 * self.random.uniform(0.3, 2)),
            ]
            await asyncio.sleep(self._gap_s() if gap is None else gap)
        return turns

    async def insist(self, tenant, route, parts, **more):
        """A call whose caller comes back with the same key, whatever it met.

        It comes back at another router, at once or seconds later. Some have little patience: they
        leave after three seconds, and come back like the others.
        """
        is_hasty = self.returns and self.random.random() < 0.15
        got = await self.call(tenant, route, parts, **more | ({"timeout_s": 3} if is_hasty else {}))
        for _ in range(self.returns):
            if got["whole"] or got.get("left") or self.stopping:
                break
            await asyncio.sleep(self.random.choice([0.0, 0.0, 1.0, 4.0, 12.0]))
            got = await self.call(tenant, route, got["parts"], **more | {"marker": got["marker"]})
        return got

    def _gap_s(self):
        """The paper's gaps: two in five are zero, the median is 1 s, the longest 7.5 s."""
        draw = self.random.random()
        return 0.0 if draw < 0.386 else min(7.5, self.random.expovariate(1 / 1.6)) * self.scale

    async def agents(self, tenant, route="check", turns=(2, 8), rest_s=1.0):
        """Conversations one after another until told to stop."""
        while not self.stopping:
            served = await self.agent(tenant, route, self.random.randint(*turns))
            self.record("agent", tenant=tenant, turns=served)
            await asyncio.sleep(rest_s * self.random.uniform(0.5, 1.5))

    async def shorts(self, tenant, route="tag", every_s=0.5):
        """Short calls until told to stop, each on its own."""
        while not self.stopping:
            asyncio.ensure_future(
                self.call(tenant, route, [self.book[route], "ad"], max_tokens=16, **self._manner())
            )
            await asyncio.sleep(self.random.expovariate(1 / every_s))

    def _manner(self):
        """How a caller behaves: most read a stream to its end.

        Some take it whole, go away midway, or read slowly.
        """
        draw = self.random.random() if self.returns else 1.0
        if draw < 0.3:
            return {"stream": False}
        if draw < 0.35:
            return {"leave_after": 0}
        return {"slow_s": 0.3} if draw < 0.4 else {}

    async def kept(self, tenant, route="tag", every_s=1.0):
        """Short calls over one connection, with the key of its first day.

        The connection is kept alive for as long as its router lives.
        """
        key, link, door = self.keys[tenant], None, ""
        while not self.stopping:
            if link is None or link.gone:
                door = self.random.choice(self.doors)
                link = await connect(door.rpartition(":")[0], int(door.rpartition(":")[2]), 2000)
                link = None if is_fault(link) else link
            if link is not None:
                got = await self.call(
                    tenant,
                    route,
                    [self.book[route], "ad"],
                    max_tokens=16,
                    key=key,
                    door=door,
                    link=link,
                    stream=False,
                    timeout_s=60,
                )
                if got["status"] < 1 or got.get("gaveUp"):
                    link.close()
                    link = None
            await asyncio.sleep(self.random.expovariate(1 / every_s))

    async def run(self, seconds, agents, short_every_s):
        """The traffic of a site: long checks as agents, short calls ten times as often."""
        tasks = [
            asyncio.ensure_future(self.agents(tenant))
            for tenant, count in agents.items()
            for _ in range(count)
        ]
        tasks += [
            asyncio.ensure_future(self.shorts(tenant, every_s=short_every_s)) for tenant in agents
        ]
        tasks += [
            asyncio.ensure_future(self.kept(tenant, every_s=short_every_s))
            for tenant in list(agents)[:3]
            if self.returns
        ]
        await asyncio.sleep(seconds)
        self.stopping = True
        await asyncio.wait(tasks, timeout=30)
        for task in tasks:
            task.cancel()

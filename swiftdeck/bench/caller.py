"""A stand-in for callers: agents with growing conversations, and short calls, with a record of every return."""

import asyncio

import msgspec

from swiftdeck.config.document import key_digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect


class Caller:
    """Makes calls as tenants do; each try carries a marker that every piece of its return must show."""

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
        self,
        tenant,
        route,
        parts,
        maxTokens=64,
        idempotency="",
        timeoutS=90,
        isLast=False,
        stream=True,
        key=None,
        door=None,
        marker="",
        talk="",
        turn=0,
        leaveAfter=None,
        slowS=0.0,
        link=None,
    ):
        """One try; gives what came back and records it. With the marker of an earlier try it is the same call again."""
        if not marker:
            marker = self._marker(tenant)
            parts = [*parts[:-1], f"{parts[-1]} [[{marker}]]"]
        door, key = door or self.random.choice(self.doors), key or self.keys[tenant]
        self.record(
            "try",
            marker=marker,
            tenant=tenant,
            route=route,
            idempotency=idempotency,
            door=door,
            talk=talk,
            turn=turn,
            router=self.routers.get(door, ""),
            key=key_digest(key),
        )
        result = {
            "status": 0,
            "code": 0,
            "notRun": False,
            "call": "",
            "run": "",
            "whole": False,
            "pieces": 0,
            "wrong": "",
        }
        try:
            async with asyncio.timeout(timeoutS):
                await self._talk(
                    door,
                    key,
                    route,
                    parts,
                    maxTokens,
                    idempotency,
                    isLast,
                    stream,
                    marker,
                    result,
                    leaveAfter,
                    slowS,
                    link,
                )
        except TimeoutError:
            result["gaveUp"] = True
        self.record("return", marker=marker, tenant=tenant, route=route, **result)
        return result | {"parts": parts, "marker": marker}

    async def _talk(
        self,
        door,
        key,
        route,
        parts,
        maxTokens,
        idempotency,
        isLast,
        stream,
        marker,
        result,
        leaveAfter,
        slowS,
        kept,
    ):
        ip, _, port = door.rpartition(":")
        link = kept or await connect(ip, int(port), 2000)
        if is_fault(link):
            result["status"] = -1
            return
        try:
            headers = [("authorization", f"Bearer {key}"), ("content-type", "application/json")]
            headers += [("idempotency-key", idempotency)] if idempotency else []
            headers += [("conversation-end", "1")] if isLast else []
            body = msgspec.json.encode(
                {"model": route, "parts": parts, "maxTokens": maxTokens, "stream": stream}
            )
            got = await link.exchange("POST", "/v1/calls", headers, body, door)
            if is_fault(got):
                result["status"] = -2
                return
            result["status"] = got.status
            result["retryAfter"] = got.headers.get("retry-after", "")
            if got.headers.get("content-type") != "text/event-stream":
                whole = await got.whole()
                answer = {} if is_fault(whole) else msgspec.json.decode(whole)
                result |= {
                    name: answer[name]
                    for name in ("code", "notRun", "call", "run", "reason")
                    if name in answer
                }
                result["whole"] = bool(answer.get("end"))
                result["sentTo"] = "" if result["whole"] else answer.get("worker", "")
                due = "".join(f"[[{marker}]]{seq} " for seq in range(max(1, maxTokens // 16)))
                if result["whole"] and answer.get("text") != due:
                    result["wrong"] = f"text {answer.get('text', '')[:200]!r}"
                return
            await self._stream(got, marker, result, leaveAfter, slowS)
        finally:
            if not kept:
                link.close()

    async def _stream(self, got, marker, result, leaveAfter, slowS):
        async for line in got.lines():
            if not line.startswith(b"data:"):
                continue
            if leaveAfter is not None and result["pieces"] >= leaveAfter:
                result["left"] = True
                return
            if slowS:
                await asyncio.sleep(slowS)
            piece = msgspec.json.decode(line[5:])
            if "code" in piece:
                result["code"], result["sentTo"] = piece["code"], piece.get("worker", "")
                continue
            if result["run"] not in ("", piece["run"]):
                result["wrong"] = "piece of another run"
            result["run"], result["call"] = piece["run"], piece["call"]
            if piece.get("end"):
                result["whole"], result["usage"], result["worker"] = (
                    True,
                    piece.get("usage", {}),
                    piece.get("worker", ""),
                )
                result["waitedMs"] = piece.get("waitedMs", 0)
                continue
            if piece["text"] != f"[[{marker}]]{result['pieces']} ":
                result["wrong"] = f"piece {piece['text'][:60]!r} where {result['pieces']} was due"
            result["pieces"] += 1

    async def agent(self, tenant, route="check", turns=5, grow=800, gap=None):
        """One conversation: each prompt extends the one before; gives how many turns were served."""
        talk = self._marker(tenant)
        parts = [self.book[route], f"case {talk} " + "x" * grow * 4]
        for turn in range(turns):
            got = await self.insist(
                tenant,
                route,
                parts,
                idempotency=self._marker(tenant),
                isLast=turn == turns - 1,
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
        """A call whose caller comes back with the same key, at another router, at once or seconds later, whatever it met.

        Some have little patience: they leave after three seconds, and come back like the others.
        """
        is_hasty = self.returns and self.random.random() < 0.15
        got = await self.call(tenant, route, parts, **more | ({"timeoutS": 3} if is_hasty else {}))
        for _ in range(self.returns):
            if got["whole"] or got.get("left") or self.stopping:
                break
            await asyncio.sleep(self.random.choice([0.0, 0.0, 1.0, 4.0, 12.0]))
            got = await self.call(tenant, route, got["parts"], **more | {"marker": got["marker"]})
        return got

    returns = 0

    def _gap_s(self):
        """The paper's gaps: two in five are zero, the median a second, the longest seven and a half."""
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
                self.call(tenant, route, [self.book[route], "ad"], maxTokens=16, **self._manner())
            )
            await asyncio.sleep(self.random.expovariate(1 / every_s))

    def _manner(self):
        """How a caller behaves: most read a stream to its end, some take it whole, go away midway, or read slowly."""
        draw = self.random.random() if self.returns else 1.0
        return (
            {"stream": False}
            if draw < 0.3
            else {"leaveAfter": 0}
            if draw < 0.35
            else {"slowS": 0.3}
            if draw < 0.4
            else {}
        )

    async def kept(self, tenant, route="tag", every_s=1.0):
        """Short calls over one connection that is kept alive for as long as its router lives, with the key of its first day."""
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
                    maxTokens=16,
                    key=key,
                    door=door,
                    link=link,
                    stream=False,
                    timeoutS=60,
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

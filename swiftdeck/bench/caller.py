"""A stand-in for callers: agents with growing conversations, and short calls, with a record of every return."""
import asyncio

import msgspec

from swiftdeck.fault import isFault
from swiftdeck.http.client import connect


class Caller:
    """Makes calls as tenants do; each try carries a marker that every piece of its return must show."""

    def __init__(self, name, doors, record, random, keys, scale=1.0):
        self.name, self.doors, self.record, self.random = name, doors, record, random
        self.keys, self.scale, self.serial = keys, scale, 0
        self.stopping = False
        self.book = {route: f"{route} rules " * 2000 for route in ("check", "tag")}

    def _marker(self, tenant):
        self.serial += 1
        return f"{self.name}/{tenant}/{self.serial}"

    async def call(self, tenant, route, parts, maxTokens=64, idempotency="", timeoutS=90, isLast=False, stream=True,
                   key=None, door=None):
        """One try; gives what came back and records it."""
        marker = self._marker(tenant)
        parts = [*parts[:-1], f"{parts[-1]} [[{marker}]]"]
        door = door or self.random.choice(self.doors)
        self.record("try", marker=marker, tenant=tenant, route=route, idempotency=idempotency, door=door)
        result = {"status": 0, "code": 0, "notRun": False, "call": "", "run": "", "whole": False, "pieces": 0, "wrong": ""}
        try:
            async with asyncio.timeout(timeoutS):
                await self._talk(door, key or self.keys[tenant], route, parts, maxTokens, idempotency, isLast, stream,
                                 marker, result)
        except TimeoutError:
            result["gaveUp"] = True
        self.record("return", marker=marker, tenant=tenant, route=route, **result)
        return result | {"parts": parts}

    async def _talk(self, door, key, route, parts, maxTokens, idempotency, isLast, stream, marker, result):
        ip, _, port = door.rpartition(":")
        link = await connect(ip, int(port), 2000)
        if isFault(link):
            result["status"] = -1
            return
        try:
            headers = [("authorization", f"Bearer {key}"), ("content-type", "application/json")]
            headers += [("idempotency-key", idempotency)] if idempotency else []
            headers += [("conversation-end", "1")] if isLast else []
            body = msgspec.json.encode({"model": route, "parts": parts, "maxTokens": maxTokens, "stream": stream})
            got = await link.exchange("POST", "/v1/calls", headers, body, door)
            if isFault(got):
                result["status"] = -2
                return
            result["status"] = got.status
            result["retryAfter"] = got.headers.get("retry-after", "")
            if got.headers.get("content-type") != "text/event-stream":
                whole = await got.whole()
                answer = {} if isFault(whole) else msgspec.json.decode(whole)
                result |= {name: answer[name] for name in ("code", "notRun", "call", "run", "reason") if name in answer}
                result["whole"] = bool(answer.get("end"))
                due = "".join(f"[[{marker}]]{seq} " for seq in range(max(1, maxTokens // 16)))
                if result["whole"] and answer.get("text") != due:
                    result["wrong"] = f"text {answer.get('text', '')[:200]!r}"
                return
            await self._stream(got, marker, result)
        finally:
            link.close()

    async def _stream(self, got, marker, result):
        async for line in got.lines():
            if not line.startswith(b"data:"):
                continue
            piece = msgspec.json.decode(line[5:])
            if "code" in piece:
                result["code"] = piece["code"]
                continue
            if result["run"] not in ("", piece["run"]):
                result["wrong"] = "piece of another run"
            result["run"], result["call"] = piece["run"], piece["call"]
            if piece.get("end"):
                result["whole"], result["usage"], result["worker"] = True, piece.get("usage", {}), piece.get("worker", "")
                result["waitedMs"] = piece.get("waitedMs", 0)
                continue
            if piece["text"] != f"[[{marker}]]{result['pieces']} ":
                result["wrong"] = f"piece {piece['text'][:60]!r} where {result['pieces']} was due"
            result["pieces"] += 1

    async def agent(self, tenant, route="check", turns=5, grow=800, gap=None):
        """One conversation: each prompt extends the one before; gives how many turns were served."""
        parts = [self.book[route], f"case {self._marker(tenant)} " + "x" * grow * 4]
        for turn in range(turns):
            got = await self.call(tenant, route, parts, idempotency=self._marker(tenant), isLast=turn == turns - 1)
            if not got["whole"]:
                return turn
            parts = [*got["parts"], f"said {turn}", "y" * int(grow * 4 * self.random.uniform(0.3, 2))]
            await asyncio.sleep(self._gapS() if gap is None else gap)
        return turns

    def _gapS(self):
        """The paper's gaps: two in five are zero, the median a second, the longest seven and a half."""
        draw = self.random.random()
        return 0.0 if draw < 0.386 else min(7.5, self.random.expovariate(1 / 1.6)) * self.scale

    async def agents(self, tenant, route="check", turns=(2, 8), restS=1.0):
        """Conversations one after another until told to stop."""
        while not self.stopping:
            served = await self.agent(tenant, route, self.random.randint(*turns))
            self.record("agent", tenant=tenant, turns=served)
            await asyncio.sleep(restS * self.random.uniform(0.5, 1.5))

    async def shorts(self, tenant, route="tag", everyS=0.5):
        """Short calls until told to stop, each on its own."""
        while not self.stopping:
            asyncio.ensure_future(self.call(tenant, route, [self.book[route], "ad"], maxTokens=16))
            await asyncio.sleep(self.random.expovariate(1 / everyS))

    async def run(self, seconds, agents, shortEveryS):
        """The traffic of a site: long checks as agents, short calls ten times as often."""
        tasks = [asyncio.ensure_future(self.agents(tenant)) for tenant, count in agents.items() for _ in range(count)]
        tasks += [asyncio.ensure_future(self.shorts(tenant, everyS=shortEveryS)) for tenant in agents]
        await asyncio.sleep(seconds)
        self.stopping = True
        await asyncio.wait(tasks, timeout=30)
        [task.cancel() for task in tasks]

"""A stand-in for a worker of the platform: batches, kept parts, orders, streams, and troubles on demand."""

import asyncio
import hashlib
import itertools

from swiftdeck.bench.platform_api.parts import KeptPart, PartCache
from swiftdeck.bench.platform_api.store import PARTS, give_reports
from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.http.cuts import CutReason
from swiftdeck.http.server import HttpServer
from swiftdeck.platform.header_codec import parse_parts

LOAD_S, CHUNK, READ_PER_S, STEP_S = 0.4, 2048, 61200, 0.00337
QUIRKS = (
    *("", "cut", "garble", "surplus", "reset", "silence", "slow", "full", "unsealed", "failing"),
    *("empty", "foreign", "swapped", "nameless", "stray refusal", "encoded", "framed twice"),
    *("bad chunk", "stall", "forgets", "back"),
)
OTHER = "not-the-request"


def digest(data: bytes) -> str:
    """A short name of some bytes."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class PlatformWorker:
    """One life of a worker of one service."""

    lives = itertools.count(1)

    def __init__(self, plan, record, random, versions, is_named, checks_fences=True):
        self.plan, self.record, self.random = plan, record, random
        self.versions, self.is_named, self.checks_fences = dict(versions), is_named, checks_fences
        self.cache, self.runs = PartCache(plan["room"], random), itertools.count(1)
        self.quirk, self.quirk_share, self.is_leaving, self.last_answer = "", 1.0, False, b""
        self.active, self.queue, self.busy, self.orders, self.fence, self.order_task = (
            {},
            [],
            None,
            0,
            0,
            None,
        )
        self.order_delays_s = []
        """Delays of the next orders, each of which is taken so long after it was sent, whoever has given it up."""
        self.http = HttpServer(self.handle, idleMs=plan.get("idle_ms", 20000))

    @property
    def name(self):
        """The id of this life."""
        return self.plan["id"]

    async def start(self):
        """Listen."""
        self.reading = asyncio.Lock()
        ip, _, port = self.plan["address"].rpartition(":")
        await self.http.start(ip, int(port))
        self.record(
            "up", worker=self.name, service=self.plan["backend"], versions=dict(self.versions)
        )

    def entry(self):
        """This worker on the platform's list."""
        return {
            "id": self.name,
            "backend": self.plan["backend"],
            "address": self.plan["address"],
            "zone": self.plan["zone"],
            "version": "v1",
            "capacity": self.plan["capacity"],
            "server-state": "draining" if self.is_leaving else "ready",
            "warmup-left-ms": 0,
            "phase": "both",
            "models": self._models(),
        }

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def handle(self, exchange):
        """One exchange of any kind."""
        if await give_reports(self.cache, exchange):
            return None
        if exchange.path == "/swiftdeck/report":
            return await exchange.send_json(
                200,
                {
                    "phase": "both",
                    "models": self._models(),
                    "busy": self.busy is not None,
                    "call-count": self.orders,
                    "queued": len(self.queue),
                    "active": len(self.active),
                    "cache-used": 0,
                    "cache-total": self.plan["room"],
                    "handles": 0,
                },
            )
        if exchange.path == "/swiftdeck/order":
            return await self._order(exchange)
        if exchange.path == "/health":
            return await exchange.send_response(
                503 if self.is_leaving else 200, [("Swiftdeck-Worker-Id", self.name)], b""
            )
        return await self._request(exchange)

    async def _order(self, exchange):
        if self.order_delays_s:
            delay_s = self.order_delays_s.pop(0)
            exchange.watch_client(exchange.abort)
            asyncio.get_running_loop().call_later(delay_s, self._take_order, exchange, delay_s)
            return await asyncio.Event().wait()
        return await exchange.send_json(self._take_order(exchange), {})

    def _take_order(self, exchange, held_s=0.0):
        """The status of an order that was held up so long on its way; it is begun where that is 202."""
        asked = exchange.json()
        status = self._order_status(asked) if isinstance(asked, dict) else 400
        if exchange.headers.get("swiftdeck-expected-worker", self.name) != self.name:
            status = 421
        self.record(
            "order",
            worker=self.name,
            owner=str(asked.get("owner")),
            fence=asked.get("fence"),
            model=asked.get("model"),
            version=asked.get("version"),
            status=status,
            heldMs=int(held_s * 1000),
        )
        if status == 202:
            self.orders += 1
            self.busy = asked["model"]
            self.order_task = asyncio.ensure_future(
                self._load(asked["model"], asked["version"], asked.get("method", "wait"))
            )
        return status

    def _order_status(self, asked):
        if (
            asked.get("operation") != "version"
            or not asked.get("owner")
            or not isinstance(asked.get("fence"), int)
        ):
            return 400
        if not self.is_named(asked.get("model"), asked.get("version")):
            return 400
        if self.checks_fences and asked["fence"] < self.fence:
            return 412
        self.fence = max(self.fence, asked["fence"])
        if self.busy or asked.get("expected-count", self.orders) != self.orders:
            return 409
        return 200 if self.versions.get(asked["model"]) == asked["version"] else 202

    async def _load(self, model, version, method):
        if method == "cut":
            for exchange in list(self.active.values()):
                exchange.abort()
        while method == "wait" and self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.versions[model] = version
        self.cache.clear(model)
        self.busy = None
        self.record("loaded", worker=self.name, model=model, version=version)

    async def _request(self, exchange):
        """One request, which is dropped when its connection closes."""
        exchange.watch_client(lambda: exchange.abort(CutReason.CLIENT_LEFT))
        head = exchange.headers
        name, model = head.get("swiftdeck-request-id", ""), head.get("swiftdeck-model", "")
        self.record("arrive", worker=self.name, service=self.plan["backend"], id=name)
        refusal = self._refusal(head, name, model)
        if refusal is None and len(self.active) >= self.plan["capacity"]:
            refusal = await self._wait(exchange, head, model)
        if refusal is not None:
            self.record("refused", worker=self.name, id=name, status=refusal)
            return await exchange.send_response(
                refusal, [("Swiftdeck-Request-Id", name), ("Swiftdeck-Not-Run", "1")], b""
            )
        run = f"{self.name}#{next(self.runs)}"
        self.active[run] = exchange
        whole = False
        try:
            whole = await self._run(exchange, head, name, model, run)
        finally:
            self.active.pop(run, None)
            self.record("ran", worker=self.name, id=name, run=run, whole=bool(whole))
        if whole and self.quirk == "forgets" and self.random.random() < self.quirk_share:
            self._forget(exchange)
        if whole and self.quirk == "surplus" and self.random.random() < self.quirk_share:
            await self._say_more(exchange, name, run)
        return None

    def _refusal(self, head, name, model):
        if not name:
            return 400
        if head.get("swiftdeck-expected-worker", self.name) != self.name:
            return 421
        if int(
            head.get("swiftdeck-expected-version") or self.versions.get(model, 0)
        ) != self.versions.get(model, 0):
            return 421
        is_full = self.quirk == "full" and self.random.random() < self.quirk_share
        return (
            503
            if is_full
            or self.busy
            and self.busy == model
            or len(self.queue) >= self.plan.get("queue", 8)
            else None
        )

    async def _wait(self, exchange, head, model):
        """Wait for a slot, the more urgent first; a status where none comes."""
        entry = [int(head.get("swiftdeck-urgency") or 5), next(self.runs)]
        self.queue.append(entry)
        end_s = (
            asyncio.get_running_loop().time()
            + float(head.get("swiftdeck-time-left-ms") or 1000) / 1000
        )
        try:
            while asyncio.get_running_loop().time() < end_s and not (
                self.busy and self.busy == model
            ):
                if len(self.active) < self.plan["capacity"] and min(self.queue) is entry:
                    return None
                await asyncio.sleep(0.005)
            return 503
        finally:
            self.queue.remove(entry)

    async def _run(self, exchange, head, name, model, run):
        tenant, salt, version = (
            head.get("swiftdeck-tenant", ""),
            head.get("swiftdeck-cache-salt", ""),
            self.versions.get(model, 0),
        )
        parts = parse_parts(head.get("swiftdeck-prompt-prefix", "")) if model else []
        quirk = self.quirk if self.random.random() < self.quirk_share else ""
        end_s = (
            asyncio.get_running_loop().time()
            + float(head.get("swiftdeck-time-left-ms") or 60000) / 1000
        )
        self.record(
            "run",
            worker=self.name,
            service=self.plan["backend"],
            id=name,
            run=run,
            tenant=tenant,
            version=version,
            model=model,
            method=exchange.method,
            target=exchange.target.decode("latin-1"),
            body=digest(exchange.body),
            keyed="authorization" in head,
            after=head.get("last-event-id", ""),
            quirk=quirk,
        )
        if quirk == "silence":
            await asyncio.sleep(max(0, end_s - asyncio.get_running_loop().time()) + 1)
        if quirk == "reset":
            await asyncio.sleep(0.02)
            exchange.abort()
            return False
        if quirk == "garble":
            exchange.conversation.transport.write(b"\x00\x17 not an answer\r\n\r\n")
            exchange.conversation.transport.close()
            return False
        if quirk == "empty":
            exchange.conversation.transport.close()
            return False
        if quirk == "stray refusal":
            self._say(exchange, 503, [("Swiftdeck-Not-Run", "1"), ("Content-Length", "0")])
            return False
        if quirk == "foreign":
            more = [("Swiftdeck-Request-Id", OTHER), ("Content-Length", "4")]
            self._say(exchange, 200, [*more, ("Swiftdeck-Server-Seal", f"x.{run}")], b"oops")
        if quirk == "slow":
            await asyncio.sleep(1.0)
        if parts:
            await self._read(head, salt, model, tenant, version, parts, run)
        return await self._answer(exchange, head, name, run, version, quirk, end_s)

    async def _read(self, head, salt, model, tenant, version, parts, run):
        names = [part.name for part in parts]
        if head.get("swiftdeck-cache-source"):
            await self._pull(head["swiftdeck-cache-source"], salt, model, names)
        found = self.cache.first(salt, model, names)
        missing = sum(part.tokens for part in parts[len(found) :])
        self.record(
            "read",
            run=run,
            new=missing,
            origins=sorted({(each.tenant, each.version) for each in found}),
        )
        for at in range(0, missing, CHUNK):
            async with self.reading:
                await asyncio.sleep(min(CHUNK, missing - at) / READ_PER_S)
        if self.versions.get(model) == version:
            for part in parts[len(found) :]:
                self.cache.keep(salt, part.name, KeptPart(part.tokens, model, tenant, version))
        if head.get("swiftdeck-cache-target"):
            kept = [
                (name, self.cache.held[salt, name])
                for name in names
                if (salt, name) in self.cache.held
            ]
            told = {
                "salt": salt,
                "parts": [
                    [name, [one.tokens, one.model, one.tenant, one.version]] for name, one in kept
                ],
            }
            asyncio.ensure_future(
                fetch_json(head["swiftdeck-cache-target"], "PUT", PARTS, told, timeoutMs=500)
            )

    async def _pull(self, source, salt, model, names):
        asked = {
            "salt": salt,
            "model": model,
            "names": names,
            "above": len(self.cache.first(salt, model, names)),
        }
        got = await fetch_json(source, "POST", PARTS, asked, timeoutMs=300)
        if not is_fault(got) and got[0] == 200:
            for name, kept in zip(names, got[1], strict=False):
                self.cache.keep(salt, name, KeptPart(*kept))
            self.record("pulled", source=source, parts=len(got[1]))

    @staticmethod
    def _say(exchange, status, headers, body=b""):
        """Put bytes on a connection past its exchange."""
        lines = [f"HTTP/1.1 {status} Said", *(f"{name}: {value}" for name, value in headers)]
        exchange.conversation.transport.write("\r\n".join([*lines, "", ""]).encode() + body)

    @staticmethod
    def _forget(exchange):
        """Forget a connection without a word: whatever is next sent on it is reset."""
        conversation = exchange.conversation
        conversation.data_received = lambda data: conversation.transport.abort()

    def _head(self, status, name, seal, version, more, quirk=""):
        name = OTHER if quirk == "swapped" else name
        lines = [
            *([("Swiftdeck-Request-Id", name)] if quirk != "nameless" else []),
            *([("Swiftdeck-Server-Seal", seal)] if seal else []),
            *([("Content-Encoding", "gzip")] if quirk == "encoded" else []),
        ]
        lines += [("Swiftdeck-Weight-Versions", str(version))] if version else []
        lines += [("Connection", "close")] if self.is_leaving else []
        return [*lines, ("Keep-Alive", f"timeout={max(1, self.http.idleMs // 1000)}"), *more]

    async def _answer(self, exchange, head, name, run, version, quirk, end_s):
        is_stream = "text/event-stream" in head.get("accept", "")
        seal, status = (
            f"{self.name}.{run}.{self.random.getrandbits(32):x}",
            500 if quirk == "failing" else 200,
        )
        seal = "" if quirk == "unsealed" else seal
        if is_stream and status == 200:
            return await self._stream(exchange, head, name, run, seal, version, quirk, end_s)
        body = f"{name} {run} ".encode() * 20
        await asyncio.sleep(0.02)
        self.record("answer", id=name, run=run, seal=seal, status=status, body=digest(body))
        body = body[::-1] if quirk == "encoded" else body
        length = [("Content-Length", str(len(body)))]
        if quirk in ("framed twice", "bad chunk"):
            length = length if quirk == "framed twice" else []
            head = self._head(
                status, name, seal, version, [*length, ("Transfer-Encoding", "chunked")]
            )
            self._say(
                exchange, status, head, b"28\r\n%s\r\n%s" % (body[:40], self._chunks_end(quirk))
            )
            return False
        exchange.begin(status, self._head(status, name, seal, version, length, quirk))
        await exchange.send_chunk(body[:40])
        if quirk == "stall":
            await asyncio.sleep(max(0, end_s - asyncio.get_running_loop().time()) + 1)
        if quirk == "cut":
            exchange.abort()
            return False
        await exchange.send_chunk(body[40:])
        exchange.finish()
        return True

    @staticmethod
    def _chunks_end(quirk):
        """How chunks go on where they don't go on as they should: they end early, or with a size that is none."""
        return b"0\r\n\r\n" if quirk == "framed twice" else b"zz\r\nmore\r\n0\r\n\r\n"

    async def _stream(self, exchange, head, name, run, seal, version, quirk, end_s):
        count = int(head.get("swiftdeck-token-count", "0,12").partition(",")[2] or 12)
        after = int(head.get("last-event-id") or 0)
        self.record("answer", id=name, run=run, seal=seal, status=200, body="", events=count)
        exchange.begin(
            200,
            self._head(
                200,
                name,
                seal,
                version,
                [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
                quirk,
            ),
        )
        for number in range(max(1, after - 1) if quirk == "back" else after + 1, count + 1):
            await asyncio.sleep(self.plan.get("step_s", STEP_S) * (1 + len(self.active) / 8))
            if asyncio.get_running_loop().time() >= end_s:
                self.record("brokeOff", worker=self.name, id=name, run=run)
                exchange.abort()
                return False
            if quirk == "stall" and number > (after + count) // 2:
                await asyncio.sleep(max(0, end_s - asyncio.get_running_loop().time()) + 1)
            if quirk == "bad chunk" and number > (after + count) // 2:
                exchange.conversation.transport.write(b"zz\r\nmore\r\n0\r\n\r\n")
                return False
            if quirk in ("cut", "back") and number > (after + count) // 2:
                await exchange.send_chunk(f"id: {number}\nda".encode())
                exchange.abort()
                return False
            await exchange.send_chunk(f"id: {number}\ndata: {name} {number} {run}\n\n".encode())
        exchange.finish()
        return True

    async def _say_more(self, exchange, name, run):
        """A late answer that nobody asked for, in the place of the next."""
        await asyncio.sleep(self.random.choice([0, 0.002, 0.02]))
        body = b"more" * 5
        lines = f"HTTP/1.1 200 OK\r\nSwiftdeck-Request-Id: {name}\r\nSwiftdeck-Server-Seal: more.{run}\r\nContent-Length: {len(body)}\r\n\r\n"
        exchange.conversation.transport.write(lines.encode() + body)

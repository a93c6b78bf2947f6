"""A stand-in for a worker of the platform: batching, cached prompt parts, weight orders, streams and injected faults."""

import asyncio
import hashlib
import itertools

from swiftdeck.bench.platform_api.parts import KeptPart, PartCache
from swiftdeck.bench.platform_api.store import PARTS_PATH, answer_cache_call
from swiftdeck.fault import is_fault
from swiftdeck.http.client import fetch_json
from swiftdeck.http.cuts import CutReason
from swiftdeck.http.server import HttpServer
from swiftdeck.platform.header_codec import parse_parts

WEIGHT_LOAD_S, PREFILL_CHUNK_TOKENS, PREFILL_TOKENS_PER_S, TOKEN_INTERVAL_S = (
    0.4,
    2048,
    61200,
    0.00337,
)
QUIRKS = (
    *("", "cut", "garble", "surplus", "reset", "silence", "slow", "full", "unsealed", "failing"),
    *("empty", "foreign", "swapped", "nameless", "stray refusal", "encoded", "framed twice"),
    *("bad chunk", "stall", "forgets", "back"),
)
FOREIGN_REQUEST_ID = "not-the-request"


def digest(data: bytes) -> str:
    """Return the hex BLAKE2b digest (8 bytes) of `data`, which stands for it in the records."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class PlatformWorker:
    """One incarnation of a worker of one service.

    `quirk` names the fault that it injects, one of `QUIRKS`, into the share `quirk_share` of its requests. `is_named` tells
    whether a model may be moved to a version of its weights.
    """

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
        """Delays of the next orders in seconds: each is processed that long after it arrived, even if its sender gave up."""
        self.http = HttpServer(self.handle, idleMs=plan.get("idle_ms", 20000))

    @property
    def name(self):
        """The worker id of this incarnation."""
        return self.plan["id"]

    async def start(self):
        """Listen on the address of the plan, and record that the worker is up."""
        self.prefill_lock = asyncio.Lock()
        ip, _, port = self.plan["address"].rpartition(":")
        await self.http.start(ip, int(port))
        self.record(
            "up", worker=self.name, service=self.plan["backend"], versions=dict(self.versions)
        )

    def entry(self):
        """Return the entry of this worker on the platform's list."""
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
        """Handle one HTTP exchange: cache reports, status report, order, health check or request."""
        if await answer_cache_call(self.cache, exchange):
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
        return await self._handle_request(exchange)

    async def _order(self, exchange):
        if self.order_delays_s:
            delay_s = self.order_delays_s.pop(0)
            exchange.watch_client(exchange.abort)
            asyncio.get_running_loop().call_later(delay_s, self._process_order, exchange, delay_s)
            return await asyncio.Event().wait()
        return await exchange.send_json(self._process_order(exchange), {})

    def _process_order(self, exchange, delay_s=0.0):
        """Return the status of an order that was delayed by `delay_s` in transit; start loading the weights if it is 202."""
        order = exchange.json()
        status = self._order_status(order) if isinstance(order, dict) else 400
        if exchange.headers.get("swiftdeck-expected-worker", self.name) != self.name:
            status = 421
        self.record(
            "order",
            worker=self.name,
            owner=str(order.get("owner")),
            fence=order.get("fence"),
            model=order.get("model"),
            version=order.get("version"),
            status=status,
            heldMs=int(delay_s * 1000),
        )
        if status == 202:
            self.orders += 1
            self.busy = order["model"]
            self.order_task = asyncio.ensure_future(
                self._load_weights(order["model"], order["version"], order.get("method", "wait"))
            )
        return status

    def _order_status(self, order):
        if (
            order.get("operation") != "version"
            or not order.get("owner")
            or not isinstance(order.get("fence"), int)
        ):
            return 400
        if not self.is_named(order.get("model"), order.get("version")):
            return 400
        if self.checks_fences and order["fence"] < self.fence:
            return 412
        self.fence = max(self.fence, order["fence"])
        if self.busy or order.get("expected-count", self.orders) != self.orders:
            return 409
        return 200 if self.versions.get(order["model"]) == order["version"] else 202

    async def _load_weights(self, model, version, method):
        if method == "cut":
            for exchange in list(self.active.values()):
                exchange.abort()
        while method == "wait" and self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WEIGHT_LOAD_S)
        self.versions[model] = version
        self.cache.clear(model)
        self.busy = None
        self.record("loaded", worker=self.name, model=model, version=version)

    async def _handle_request(self, exchange):
        """Handle one request, which is aborted when the connection of its client closes."""
        exchange.watch_client(lambda: exchange.abort(CutReason.CLIENT_LEFT))
        headers = exchange.headers
        request_id, model = (
            headers.get("swiftdeck-request-id", ""),
            headers.get("swiftdeck-model", ""),
        )
        self.record("arrive", worker=self.name, service=self.plan["backend"], id=request_id)
        refusal = self._refusal(headers, request_id, model)
        if refusal is None and len(self.active) >= self.plan["capacity"]:
            refusal = await self._wait_for_slot(exchange, headers, model)
        if refusal is not None:
            self.record("refused", worker=self.name, id=request_id, status=refusal)
            return await exchange.send_response(
                refusal, [("Swiftdeck-Request-Id", request_id), ("Swiftdeck-Not-Run", "1")], b""
            )
        run_id = f"{self.name}#{next(self.runs)}"
        self.active[run_id] = exchange
        is_complete = False
        try:
            is_complete = await self._run_request(exchange, headers, request_id, model, run_id)
        finally:
            self.active.pop(run_id, None)
            self.record("ran", worker=self.name, id=request_id, run=run_id, whole=bool(is_complete))
        if is_complete and self.quirk == "forgets" and self.random.random() < self.quirk_share:
            self._abort_on_next_data(exchange)
        if is_complete and self.quirk == "surplus" and self.random.random() < self.quirk_share:
            await self._send_surplus_response(exchange, request_id, run_id)
        return None

    def _refusal(self, headers, request_id, model):
        if not request_id:
            return 400
        if headers.get("swiftdeck-expected-worker", self.name) != self.name:
            return 421
        if int(
            headers.get("swiftdeck-expected-version") or self.versions.get(model, 0)
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

    async def _wait_for_slot(self, exchange, headers, model):
        """Wait for a free slot, the most urgent request first; return None, or 503 when its time is up."""
        ticket = [int(headers.get("swiftdeck-urgency") or 5), next(self.runs)]
        self.queue.append(ticket)
        end_s = (
            asyncio.get_running_loop().time()
            + float(headers.get("swiftdeck-time-left-ms") or 1000) / 1000
        )
        try:
            while asyncio.get_running_loop().time() < end_s and not (
                self.busy and self.busy == model
            ):
                if len(self.active) < self.plan["capacity"] and min(self.queue) is ticket:
                    return None
                await asyncio.sleep(0.005)
            return 503
        finally:
            self.queue.remove(ticket)

    async def _run_request(self, exchange, headers, request_id, model, run_id):
        tenant, salt, version = (
            headers.get("swiftdeck-tenant", ""),
            headers.get("swiftdeck-cache-salt", ""),
            self.versions.get(model, 0),
        )
        parts = parse_parts(headers.get("swiftdeck-prompt-prefix", "")) if model else []
        quirk = self.quirk if self.random.random() < self.quirk_share else ""
        end_s = (
            asyncio.get_running_loop().time()
            + float(headers.get("swiftdeck-time-left-ms") or 60000) / 1000
        )
        self.record(
            "run",
            worker=self.name,
            service=self.plan["backend"],
            id=request_id,
            run=run_id,
            tenant=tenant,
            version=version,
            model=model,
            method=exchange.method,
            target=exchange.target.decode("latin-1"),
            body=digest(exchange.body),
            keyed="authorization" in headers,
            after=headers.get("last-event-id", ""),
            quirk=quirk,
        )
        if quirk == "silence":
            await asyncio.sleep(max(0, end_s - asyncio.get_running_loop().time()) + 1)
        if quirk == "reset":
            await asyncio.sleep(0.02)
            exchange.abort()
            return False
        if quirk == "garble":
            exchange.connection.transport.write(b"\x00\x17 not an answer\r\n\r\n")
            exchange.connection.transport.close()
            return False
        if quirk == "empty":
            exchange.connection.transport.close()
            return False
        if quirk == "stray refusal":
            self._write_raw_response(
                exchange, 503, [("Swiftdeck-Not-Run", "1"), ("Content-Length", "0")]
            )
            return False
        if quirk == "foreign":
            response_headers = [
                ("Swiftdeck-Request-Id", FOREIGN_REQUEST_ID),
                ("Content-Length", "4"),
            ]
            self._write_raw_response(
                exchange,
                200,
                [*response_headers, ("Swiftdeck-Server-Seal", f"x.{run_id}")],
                b"oops",
            )
        if quirk == "slow":
            await asyncio.sleep(1.0)
        if parts:
            await self._prefill(headers, salt, model, tenant, version, parts, run_id)
        return await self._answer(exchange, headers, request_id, run_id, version, quirk, end_s)

    async def _prefill(self, headers, salt, model, tenant, version, parts, run_id):
        part_names = [part.name for part in parts]
        if headers.get("swiftdeck-cache-source"):
            await self._pull_parts(headers["swiftdeck-cache-source"], salt, model, part_names)
        cached_parts = self.cache.cached_prefix(salt, model, part_names)
        missing_tokens = sum(part.tokens for part in parts[len(cached_parts) :])
        self.record(
            "read",
            run=run_id,
            new=missing_tokens,
            origins=sorted(
                {(cached_part.tenant, cached_part.version) for cached_part in cached_parts}
            ),
        )
        for offset in range(0, missing_tokens, PREFILL_CHUNK_TOKENS):
            async with self.prefill_lock:
                await asyncio.sleep(
                    min(PREFILL_CHUNK_TOKENS, missing_tokens - offset) / PREFILL_TOKENS_PER_S
                )
        if self.versions.get(model) == version:
            for part in parts[len(cached_parts) :]:
                self.cache.keep(salt, part.name, KeptPart(part.tokens, model, tenant, version))
        if headers.get("swiftdeck-cache-target"):
            kept_parts = [
                (part_name, self.cache.held[salt, part_name])
                for part_name in part_names
                if (salt, part_name) in self.cache.held
            ]
            document = {
                "salt": salt,
                "parts": [
                    [
                        part_name,
                        [kept_part.tokens, kept_part.model, kept_part.tenant, kept_part.version],
                    ]
                    for part_name, kept_part in kept_parts
                ],
            }
            asyncio.ensure_future(
                fetch_json(
                    headers["swiftdeck-cache-target"], "PUT", PARTS_PATH, document, timeoutMs=500
                )
            )

    async def _pull_parts(self, source, salt, model, part_names):
        query = {
            "salt": salt,
            "model": model,
            "names": part_names,
            "above": len(self.cache.cached_prefix(salt, model, part_names)),
        }
        response = await fetch_json(source, "POST", PARTS_PATH, query, timeoutMs=300)
        if not is_fault(response) and response[0] == 200:
            for part_name, fields in zip(part_names, response[1], strict=False):
                self.cache.keep(salt, part_name, KeptPart(*fields))
            self.record("pulled", source=source, parts=len(response[1]))

    @staticmethod
    def _write_raw_response(exchange, status, headers, body=b""):
        """Write a response straight to the connection, bypassing the state of its exchange."""
        header_lines = [f"HTTP/1.1 {status} Said", *(f"{name}: {value}" for name, value in headers)]
        exchange.connection.transport.write("\r\n".join([*header_lines, "", ""]).encode() + body)

    @staticmethod
    def _abort_on_next_data(exchange):
        """Abort the connection when the next data arrives on it, as after a silent loss of its state."""
        connection = exchange.connection
        connection.data_received = lambda data: connection.transport.abort()

    def _response_headers(self, status, request_id, seal, version, extra_headers, quirk=""):
        request_id = FOREIGN_REQUEST_ID if quirk == "swapped" else request_id
        headers = [
            *([("Swiftdeck-Request-Id", request_id)] if quirk != "nameless" else []),
            *([("Swiftdeck-Server-Seal", seal)] if seal else []),
            *([("Content-Encoding", "gzip")] if quirk == "encoded" else []),
        ]
        headers += [("Swiftdeck-Weight-Versions", str(version))] if version else []
        headers += [("Connection", "close")] if self.is_leaving else []
        return [
            *headers,
            ("Keep-Alive", f"timeout={max(1, self.http.idleMs // 1000)}"),
            *extra_headers,
        ]

    async def _answer(self, exchange, headers, request_id, run_id, version, quirk, end_s):
        is_stream = "text/event-stream" in headers.get("accept", "")
        seal, status = (
            f"{self.name}.{run_id}.{self.random.getrandbits(32):x}",
            500 if quirk == "failing" else 200,
        )
        seal = "" if quirk == "unsealed" else seal
        if is_stream and status == 200:
            return await self._stream(
                exchange, headers, request_id, run_id, seal, version, quirk, end_s
            )
        body = f"{request_id} {run_id} ".encode() * 20
        await asyncio.sleep(0.02)
        self.record(
            "answer", id=request_id, run=run_id, seal=seal, status=status, body=digest(body)
        )
        body = body[::-1] if quirk == "encoded" else body
        framing = [("Content-Length", str(len(body)))]
        if quirk in ("framed twice", "bad chunk"):
            framing = framing if quirk == "framed twice" else []
            headers = self._response_headers(
                status, request_id, seal, version, [*framing, ("Transfer-Encoding", "chunked")]
            )
            self._write_raw_response(
                exchange,
                status,
                headers,
                b"28\r\n%s\r\n%s" % (body[:40], self._invalid_chunk_tail(quirk)),
            )
            return False
        exchange.begin(
            status, self._response_headers(status, request_id, seal, version, framing, quirk)
        )
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
    def _invalid_chunk_tail(quirk):
        """Return the tail of a malformed chunked body: an early last chunk, or a chunk size that is not a number."""
        return b"0\r\n\r\n" if quirk == "framed twice" else b"zz\r\nmore\r\n0\r\n\r\n"

    async def _stream(self, exchange, headers, request_id, run_id, seal, version, quirk, end_s):
        event_count = int(headers.get("swiftdeck-token-count", "0,12").partition(",")[2] or 12)
        last_event_id = int(headers.get("last-event-id") or 0)
        self.record(
            "answer", id=request_id, run=run_id, seal=seal, status=200, body="", events=event_count
        )
        exchange.begin(
            200,
            self._response_headers(
                200,
                request_id,
                seal,
                version,
                [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
                quirk,
            ),
        )
        for event_number in range(
            max(1, last_event_id - 1) if quirk == "back" else last_event_id + 1, event_count + 1
        ):
            await asyncio.sleep(
                self.plan.get("step_s", TOKEN_INTERVAL_S) * (1 + len(self.active) / 8)
            )
            if asyncio.get_running_loop().time() >= end_s:
                self.record("brokeOff", worker=self.name, id=request_id, run=run_id)
                exchange.abort()
                return False
            if quirk == "stall" and event_number > (last_event_id + event_count) // 2:
                await asyncio.sleep(max(0, end_s - asyncio.get_running_loop().time()) + 1)
            if quirk == "bad chunk" and event_number > (last_event_id + event_count) // 2:
                exchange.connection.transport.write(b"zz\r\nmore\r\n0\r\n\r\n")
                return False
            if quirk in ("cut", "back") and event_number > (last_event_id + event_count) // 2:
                await exchange.send_chunk(f"id: {event_number}\nda".encode())
                exchange.abort()
                return False
            await exchange.send_chunk(
                f"id: {event_number}\ndata: {request_id} {event_number} {run_id}\n\n".encode()
            )
        exchange.finish()
        return True

    async def _send_surplus_response(self, exchange, request_id, run_id):
        """Send an unsolicited response after a random delay, which may be taken for the answer to the next request."""
        await asyncio.sleep(self.random.choice([0, 0.002, 0.02]))
        body = b"more" * 5
        head = f"HTTP/1.1 200 OK\r\nSwiftdeck-Request-Id: {request_id}\r\nSwiftdeck-Server-Seal: more.{run_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        exchange.connection.transport.write(head.encode() + body)

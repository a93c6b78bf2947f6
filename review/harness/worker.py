"""A stand-in for a model worker, which keeps parts of prompts under the salt that it is told."""

import asyncio
import contextlib
import dataclasses
import json

from harness.http_messages import Message, chunk, encode, read_body, read_head

EVENT_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class KeptPart:
    """A part of a prompt that a worker keeps, and the tenant whose request made it."""

    tokens: int
    model: str
    tenant: str


@dataclasses.dataclass(frozen=True)
class WorkerPlan:
    """What the list and the configuration say of a worker."""

    name: str
    service: str
    ip: str
    port: int
    zone: str
    capacity: int
    models: tuple[str, ...] = ()

    @property
    def address(self) -> str:
        """Return the address on which the worker listens."""
        return f"{self.ip}:{self.port}"

    def list_entry(self) -> dict:
        """Return the worker's entry on the platform's list."""
        return {
            "id": self.name,
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "server-state": "ready",
            "warmup-left-ms": 0,
            "phase": "both",
            "models": [{"name": model, "version": 1, "adapters": []} for model in self.models],
        }


def parse_parts(headers: dict) -> list[tuple[str, int]]:
    """Return the names and sizes of the parts of a request's prompt."""
    pairs = headers.get("swiftdeck-prompt-prefix", "").split(",")
    return [(name, int(size)) for name, _, size in (pair.partition(":") for pair in pairs) if name]


class Worker:
    """One life of a worker.

    A stream whose path contains `hold` ends only once `release` is set. `is_unframed(request)` says
    whether the answer to a request has no length and ends with its connection.
    """

    def __init__(self, plan: WorkerPlan, record, peers: dict):
        self.plan, self.record, self.peers = plan, record, peers
        self.kept: dict[tuple[str, str], KeptPart] = {}
        self.release = asyncio.Event()
        self.events, self.work_s = 4, 0.02
        self.is_unframed = lambda request: False
        self.server = None

    async def start(self):
        """Listen on the worker's address."""
        self.peers[self.plan.address] = self
        self.server = await asyncio.start_server(self._serve, self.plan.ip, self.plan.port)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.is_whole or not await self._answer(request, writer):
                    break
        writer.close()

    async def _answer(self, request: Message, writer) -> bool:
        """Answer one request; return whether the connection is kept."""
        path = request.first_line[1].partition("?")[0]
        documents = {
            "/swiftdeck/report": self._report,
            "/swiftdeck/kv-events": self._no_events,
            "/swiftdeck/kv-list": self._no_events,
        }
        if path in documents:
            await asyncio.sleep(float(request.headers.get("wait-ms", 0)) / 1000)
            writer.write(self._whole(200, {}, json.dumps(documents[path]()).encode()))
            return True
        if path == "/health":
            writer.write(self._whole(200, {"Swiftdeck-Worker-Id": self.plan.name}, b""))
            return True
        return await self._run(request, writer)

    @staticmethod
    def _whole(status: int, headers: dict, body: bytes) -> bytes:
        return encode(f"HTTP/1.1 {status} .", headers | {"Content-Length": len(body)}, body)

    def _report(self) -> dict:
        models = self.plan.list_entry()["models"]
        return {"phase": "both", "models": models, "busy": False, "call-count": 0}

    @staticmethod
    def _no_events() -> dict:
        return {"epoch": 1, "next-token": 0, "lost": False, "events": [], "held": []}

    async def _run(self, request, writer) -> bool:
        headers = request.headers
        request_id = headers.get("swiftdeck-request-id", "")
        own_headers = {"Swiftdeck-Request-Id": request_id}
        if headers.get("swiftdeck-expected-worker", self.plan.name) != self.plan.name:
            writer.write(self._whole(421, own_headers | {"Swiftdeck-Not-Run": "1"}, b""))
            return True
        self.record.add(
            "run",
            worker=self.plan.name,
            request=request_id,
            tenant=headers.get("swiftdeck-tenant", ""),
            salt=headers.get("swiftdeck-cache-salt", ""),
            used=self._read_prompt(headers),
        )
        own_headers["Swiftdeck-Server-Seal"] = f"seal.{self.plan.name}.{request_id}"
        if self.plan.models:
            own_headers["Swiftdeck-Weight-Versions"] = "1"
        try:
            if "text/event-stream" in headers.get("accept", ""):
                return await self._stream(request, writer, own_headers)
            return await self._answer_whole(request, writer, own_headers)
        finally:
            self.record.add("run ended", worker=self.plan.name, request=request_id)

    def _read_prompt(self, headers) -> list[list[str]]:
        """Keep the parts of a prompt; return the kept ones that were used, with their makers."""
        model, salt = headers.get("swiftdeck-model", ""), headers.get("swiftdeck-cache-salt", "")
        self._pull(headers.get("swiftdeck-cache-source", ""), headers, salt)
        used, is_prefix_kept = [], True
        for name, tokens in parse_parts(headers):
            part = self.kept.get((salt, name))
            is_prefix_kept = is_prefix_kept and part is not None and part.model == model
            if is_prefix_kept:
                used.append([name, part.tenant])
            else:
                tenant = headers.get("swiftdeck-tenant", "")
                self.kept[salt, name] = KeptPart(tokens, model, tenant)
        return used

    def _pull(self, source: str, headers, salt):
        """Take over what another worker keeps of the prompt under the same salt."""
        peer = self.peers.get(source)
        for name, _ in parse_parts(headers) if peer else ():
            part = peer.kept.get((salt, name))
            if part is not None:
                self.kept.setdefault((salt, name), part)

    async def _stream(self, request, writer, own_headers) -> bool:
        framing = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(encode("HTTP/1.1 200 OK", own_headers | framing))
        is_held, number = "hold" in request.first_line[1], 0
        while number < self.events or is_held and not self.release.is_set():
            number += 1
            writer.write(chunk(f"id: {number}\ndata: token\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(chunk(b""))
        await writer.drain()
        return True

    async def _answer_whole(self, request, writer, own_headers) -> bool:
        await asyncio.sleep(self.work_s)
        body = b"the answer to " + own_headers["Swiftdeck-Request-Id"].encode()
        if not self.is_unframed(request):
            writer.write(self._whole(200, own_headers, body))
            await writer.drain()
            return True
        writer.write(encode("HTTP/1.1 200 OK", own_headers | {"Connection": "close"}, body))
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(1.0)
        return False

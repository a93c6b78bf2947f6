"""A stand-in for the platform's clients: follows the client rules and records each request sent and its result."""

import asyncio
import itertools
import re

import attrs

from swiftdeck.bench.platform_api.worker import digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)\n\n")
LEFT, SILENT, WHOLE, NOT_REACHED = "left", "silence or deadline", "whole", "not reached"
"""How an attempt ends: the client closed it, its time ran out, the response is complete, or no router accepted it."""
NOT_RUN_STATUSES, FINAL_STATUSES = (408, 421, 429, 503), (400, 401, 404, 413, 431)
STREAMING, SAFE = "streaming", "safe"
MIN_SILENCE_S, SILENCE_RESPONSE_TARGETS, SILENCE_GAP_TARGETS = 2.0, 4, 8
"""A stream is given up after a silence of the longest of a minimum, a multiple of the response time target, and a
multiple of the target gap between events."""
CONNECT_MS, NO_ROUTER_PAUSE_S, RETRY_PAUSE_S = 1000, 0.2, 0.05


@attrs.frozen
class RequestSpec:
    """A request of a client, with its deadline and its number of attempts.

    `door` is the name and the address of the router to use; without it the client picks one at random. With `leaves_s` the
    client closes its connection that many seconds after it sent the request, and does not retry. `out` is the number of
    output tokens, `aim_ms` and `gap_ms` are the response time and event gap that the client expects, and `keeps` tells whether
    the connection is reused.
    """

    host: str
    path: str
    key: str = ""
    method: str = "POST"
    body: bytes = b"{}"
    kind: str = SAFE
    resumable: bool = False
    model: str = ""
    parts: tuple = ()
    out: int = 12
    within_ms: float = 6000
    aim_ms: float = 600
    gap_ms: float = 250
    tries: int = 3
    keeps: bool = True
    door: tuple[str, str] | None = None
    headers: tuple = ()
    leaves_s: float | None = None

    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.kind == STREAMING

    def silence_s(self) -> float:
        """Return after how many seconds without data an attempt is given up."""
        if not self.is_stream():
            return self.within_ms / 1000
        response_limit_s, gap_limit_s = (
            SILENCE_RESPONSE_TARGETS * self.aim_ms / 1000,
            SILENCE_GAP_TARGETS * self.gap_ms / 1000,
        )
        return max(MIN_SILENCE_S, response_limit_s, gap_limit_s)

    def build_headers(self, request_id, left_ms, last_event_id) -> list:
        """Return the headers of one attempt, of which `left_ms` remain until the deadline."""
        headers = [
            ("Swiftdeck-Request-Id", request_id),
            ("Swiftdeck-Time-Left-Ms", str(left_ms)),
            *self.headers,
        ]
        if self.key:
            headers.append(("Authorization", f"Bearer {self.key}"))
        if self.is_stream():
            headers.append(("Accept", "text/event-stream"))
        if self.model:
            headers += self._prompt_headers()
        if last_event_id and self.resumable:
            headers.append(("Last-Event-Id", str(last_event_id)))
        return headers

    def _prompt_headers(self):
        prompt_tokens = sum(part_tokens for _, part_tokens in self.parts)
        prefix = ",".join(f"{part}:{count}" for part, count in self.parts)
        return [
            ("Swiftdeck-Model", self.model),
            ("Swiftdeck-Token-Count", f"{prompt_tokens},{self.out}"),
            ("Swiftdeck-Prompt-Prefix", prefix),
        ]

    def allows_retry(self, result) -> bool:
        """Return whether an attempt with this result may be retried."""
        if result["end"] == LEFT or result["complete"] and 200 <= result["status"] < 300:
            return False
        if result["status"] in FINAL_STATUSES:
            return False
        if (
            self.kind == SAFE
            or not result["sent"]
            or result["status"] in NOT_RUN_STATUSES
            and result["complete"]
        ):
            return True
        return self.is_stream() and self.resumable


def empty_result(request_id, router, mode) -> dict:
    """Return the result of an attempt before anything was sent or received."""
    return {
        "id": request_id,
        "router": router,
        "status": 0,
        "end": "",
        "sent": False,
        "complete": False,
        "seal": "",
        "events": [],
        "body": "",
        "ownId": "",
        "retryAfter": 0.0,
        "mode": mode,
    }


class Client:
    """Sends requests, each attempt under a request id of its own.

    `doors` returns the (name, address) pairs of the routers that accept connections. Idle connections are kept by address.
    """

    def __init__(self, name, record, random, doors):
        self.name, self.record, self.random, self.doors = name, record, random, doors
        self.serial, self.kept = itertools.count(1), {}

    async def ask(self, host, path, **fields):
        """Send a request given by the fields of `RequestSpec`, with its retries; return the last result."""
        request = RequestSpec(host, path, **fields)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + request.within_ms / 1000
        root_id, events = f"{self.name}-{next(self.serial)}", []
        for attempt in range(request.tries):
            router = request.door or self._door()
            if router is None:
                await asyncio.sleep(NO_ROUTER_PAUSE_S)
                continue
            result = await self._attempt(request, router, root_id, attempt, events, end_s)
            events += result["events"]
            if not request.allows_retry(result) or loop.time() >= end_s:
                break
            pause_s = min(result["retryAfter"] or RETRY_PAUSE_S, (end_s - loop.time()) / 3)
            await asyncio.sleep(max(0, pause_s))
        return result | {"allEvents": events}

    def _door(self):
        routers = self.doors()
        return self.random.choice(routers) if routers else None

    async def _attempt(self, request, router, root_id, attempt, events, end_s):
        """Send a request once, and record the attempt and its result."""
        request_id, last_event_id = f"{root_id}.{attempt}", events[-1][0] if events else 0
        left_ms = max(1, int((end_s - asyncio.get_running_loop().time()) * 1000))
        self.record(
            "try",
            id=request_id,
            root=root_id,
            host=request.host,
            target=request.path,
            key=request.key,
            method=request.method,
            body=digest(request.body),
            router=router[0],
            mode=request.kind,
            resumable=request.resumable,
            end_ms=left_ms,
            after=last_event_id,
        )
        result = empty_result(request_id, router[0], request.kind)
        try:
            headers = request.build_headers(request_id, left_ms, last_event_id)
            await self._exchange(request, router[1], headers, result, end_s)
        finally:
            self.record("result", **result)
        return result

    async def _exchange(self, request, address, headers, result, end_s):
        connection = await self._take_connection(request, address, result)
        if connection is None:
            result["end"] = NOT_REACHED
            return
        result["sent"] = True
        leave_timeout = asyncio.timeout(request.leaves_s)
        try:
            async with leave_timeout, asyncio.timeout_at(end_s):
                async with asyncio.timeout(request.silence_s()) as silence_timeout:
                    await self._read_response(request, connection, headers, result, silence_timeout)
        except TimeoutError:
            result["end"] = LEFT if leave_timeout.expired() else SILENT
        if result["end"] == WHOLE and request.keeps and result["keep"]:
            self.kept[address] = connection
        else:
            self._close_connection(connection, result)

    async def _take_connection(self, request, address, result):
        """Return an idle or a new connection to a router, or None if it can't be reached."""
        connection = self.kept.pop(address, None) if request.keeps else None
        if connection is not None and connection.conn.trailing_data[0]:
            self.record("surplus", data=repr(connection.conn.trailing_data[0][:40]))
        elif connection is not None and not connection.gone:
            result["kept"] = True
            return connection
        ip, _, port = address.rpartition(":")
        connection = await connect(ip, int(port), CONNECT_MS)
        return None if is_fault(connection) else connection

    def _close_connection(self, connection, result):
        """Close a connection as clients do: with a FIN, not with a reset."""
        if result["end"] in (LEFT, SILENT) and not connection.gone:
            self.record("left", id=result["id"], router=result["router"])
        connection.transport.close()

    async def _read_response(self, request, connection, headers, result, silence_timeout):
        """Send the request and read its response as it arrives, extending the silence timeout with each chunk."""
        response = await connection.exchange(
            request.method, request.path, headers, request.body, request.host
        )
        result["keep"] = False
        if is_fault(response):
            result["end"] = f"no answer: {response.reason}"
            return
        response_headers, buffer = response.headers, bytearray()
        result |= {
            "status": response.status,
            "seal": response_headers.get("swiftdeck-server-seal", ""),
            "ownId": response_headers.get("swiftdeck-request-id", ""),
            "retryAfter": float(response_headers.get("retry-after", 0)),
            "keep": response_headers.get("connection", "") != "close",
        }
        has_events = request.is_stream() and response.status == 200
        async for chunk in response.pieces():
            buffer += chunk
            silence_timeout.reschedule(asyncio.get_running_loop().time() + request.silence_s())
            if has_events:
                result["events"] += self._take_events(buffer)
        result["complete"] = response.fault is None
        result["end"] = WHOLE if result["complete"] else f"cut: {response.fault.reason}"
        result["body"] = "" if request.is_stream() else digest(bytes(buffer))
        result["rest"] = len(buffer) if has_events else 0

    @staticmethod
    def _take_events(buffer):
        """Remove the complete events from the buffer and return [event id, request id, run id] of each."""
        end = buffer.rfind(b"\n\n") + 2 if b"\n\n" in buffer else 0
        events = [
            [int(event_id), request_id.decode(), run_id.decode()]
            for event_id, request_id, _, run_id in EVENT_PATTERN.findall(buffer[:end])
        ]
        del buffer[:end]
        return events

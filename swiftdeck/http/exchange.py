"""A request of an HTTP connection and its response."""

import asyncio
import contextlib
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from swiftdeck.fault import BAD_REQUEST, NO_RESPONSE_MEMORY, SLOW_REQUEST, Fault
from swiftdeck.http.cuts import CutReason

PROCESSING = 102
"""The status of the informational response that a request is being worked on."""
HEAD, NO_CONTENT = "HEAD", 204
"""The method and the status whose responses have no body."""
PIECE_BYTES = 65536
"""How much of a whole response is written at a time."""


def retry_after_headers(fault: Fault) -> list:
    """Return the Retry-After header of a fault with a retry time, else no header."""
    return [("retry-after", str(max(1, -(-fault.retry_ms // 1000))))] if fault.retry_ms else []


class HttpExchange:
    """A request and its response.

    `begun` and `finished` refer to the response. `body_queue` has the pieces of a streamed body.
    """

    def __init__(self, connection, request, body):
        self.connection = connection
        self.target, self.raw_method, self.raw_headers = (
            request.target,
            request.method,
            request.headers.raw_items(),
        )
        self.method = request.method.decode("ascii")
        target = urlsplit(request.target.decode("ascii"))
        self.path = unquote(target.path)
        self.query = dict(parse_qsl(target.query))
        self.headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in request.headers
        }
        self.body = body
        self.begun = self.finished = False
        self.body_queue, self.body_fault = None, None
        self.awaits_body = self.awaits_events = False
        self.name = ""
        self.on_client_end = None

    def watch_client(self, on_client_end):
        """Call a function once the client ends its side of the connection before the response ends.

        A client that closed the connection can't be distinguished from one that only sends no more,
        until something is written to it. A lost connection cancels the handler instead.
        """
        self.on_client_end = on_client_end
        if self.has_client_ended():
            self.connection.loop.call_soon(on_client_end)

    def has_client_ended(self, for_s: float = 0.0) -> bool:
        """Return whether the client ended its side of the connection at least `for_s` seconds ago."""
        ended_s = self.connection.client_ended_s
        return ended_s is not None and self.connection.loop.time() - ended_s >= for_s

    def show_life(self):
        """Send an informational response, which a client that closed the connection resets."""
        if not self.begun and not self.connection.is_ending():
            self.connection.send(h11.InformationalResponse(status_code=PROCESSING, headers=[]))

    @contextlib.contextmanager
    def waiting_for_events(self):
        """Mark the response as one that goes on without an end, and waits for something to tell."""
        self.awaits_events = True
        try:
            yield
        finally:
            self.awaits_events = False

    async def _next_piece(self, until_s: float | None):
        """Return the next piece of a streamed body, or None at its end.

        Raises TimeoutError at the loop time `until_s`, if it is given.
        """
        self.awaits_body = True
        self.connection.idle_since_s = self.connection.loop.time()
        try:
            async with asyncio.timeout_at(until_s):
                piece = await self.body_queue.get()
        finally:
            self.awaits_body = False
        self.connection.queued_bytes -= len(piece or b"")
        return piece

    async def lines(self):
        """Yield the lines of a streamed body; `body_fault` is set where one is refused.

        A line may be as large as a body, and may take as long to arrive.
        """
        rest, until_s = bytearray(), None
        try:
            while (data := await self._next_piece(until_s)) is not None:
                rest += data
                if b"\n" in data:
                    *lines, tail = bytes(rest).split(b"\n")
                    for line in lines:
                        yield line
                    rest, until_s = bytearray(tail), None
                    self.connection.memory.release()
                if rest and until_s is None:
                    until_s = self.connection.loop.time() + self.connection.server.slow_ms / 1000
                self.body_fault = self.connection.memory.reserve_body(len(rest))
                if self.body_fault is not None:
                    return
                self.connection.adjust_reading()
        except TimeoutError:
            self.body_fault = SLOW_REQUEST
            return
        if rest:
            yield bytes(rest)

    def reserve_decoding(self, data: bytes) -> Fault | None:
        """Reserve the memory for the objects that JSON text decodes to; return the fault, or None."""
        return self.connection.memory.reserve_decoding(data)

    def hand_over_memory(self, owner):
        """Make the memory that is reserved for this request that of an owner that outlasts it."""
        self.connection.memory.hand_over(owner)

    def json(self):
        """Return the body decoded from JSON, or a fault."""
        fault = self.reserve_decoding(self.body)
        if fault is not None:
            return fault
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_REQUEST.with_reason(f"body is not JSON: {error}")

    async def send_json(self, status, body, headers=()):
        """Send a whole response with a JSON body, unless a response has begun."""
        if not self.begun:
            data = msgspec.json.encode(body) + b"\n"
            headers = [("content-type", "application/json"), *headers]
            await self._send_whole(status, headers, data)

    async def send_response(self, status, headers, body: bytes):
        """Send a whole response with a body of bytes, unless a response has begun."""
        if not self.begun:
            await self._send_whole(status, headers, body)

    async def _send_whole(self, status, headers, body: bytes):
        """Send a whole response, a large one in pieces.

        Where no memory is left for it, a fault is sent that doesn't say whether the request has run.
        """
        if len(body) > PIECE_BYTES and not self.connection.memory.reserve_response(len(body)):
            return await self.give_fault(NO_RESPONSE_MEMORY)
        self.begin(status, [*headers, ("content-length", str(len(body)))])
        if status != NO_CONTENT and self.method != HEAD:
            pieces = memoryview(body)
            for offset in range(0, len(body), PIECE_BYTES):
                await self.send_chunk(pieces[offset : offset + PIECE_BYTES])
        self.finish()

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Abort the connection, so that a partial response can't look complete."""
        self.connection.abort(reason)

    async def give_fault(self, fault: Fault, headers=(), **more):
        """Send a fault as the response, with Retry-After where it has a retry time."""
        await self.send_json(
            fault.status, fault.as_body() | more, [*retry_after_headers(fault), *headers]
        )

    def begin(self, status, headers):
        """Send the head of a response; the pieces of its body follow."""
        self.begun = True
        close = [("Connection", "close")] if self.connection.closes_after_response() else []
        self.connection.send(h11.Response(status_code=status, headers=[*headers, *close]))

    async def send_chunk(self, data: bytes):
        """Send a piece of the body; wait while the client reads too slowly."""
        self.connection.send(h11.Data(data=data))
        await self.connection.writable()

    def finish(self):
        """End the response."""
        if not self.finished:
            self.finished = True
            self.connection.send(h11.EndOfMessage())

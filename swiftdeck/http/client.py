"""HTTP/1.1 client for workers, the prefix store and the platform, as an asyncio protocol over h11."""

import asyncio
import contextlib

import h11
import msgspec

from swiftdeck.fault import (
    BAD_BACKEND_RESPONSE,
    PEER_TIMEOUT,
    WORKER_LOST,
    WORKER_UNREACHABLE,
    is_fault,
)
from swiftdeck.http.reset import give_up
from swiftdeck.runtime.transports import limit_reads

READ_AHEAD_BYTES = 65536
"""How many bytes may wait for their reader."""
LINE_LIMIT_BYTES = 262144


class HttpLink(asyncio.Protocol):
    """A connection to a back end that carries one exchange at a time.

    `gone` is set once the peer closed the connection or it failed. `unread_bytes` counts the bytes
    received since the reader last waited; reading pauses above READ_AHEAD_BYTES.
    """

    def __init__(self):
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.transport = self.data_arrived = self.write_resumed = None
        self.unread_bytes = 0
        self.gone = False

    def connection_made(self, transport):
        self.transport = transport
        limit_reads(transport)

    def data_received(self, data):
        try:
            self.conn.receive_data(data)
        except h11.RemoteProtocolError:
            self.gone = True
        self.unread_bytes += len(data)
        if self.unread_bytes > READ_AHEAD_BYTES:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self):
        self._handle_end()
        return False

    def connection_lost(self, error):
        self._handle_end()
        self.resume_writing()

    def _handle_end(self):
        if not self.gone:
            self.gone = True
            with contextlib.suppress(h11.RemoteProtocolError):
                self.conn.receive_data(b"")
            self._wake_reader()

    def _wake_reader(self):
        if self.data_arrived and not self.data_arrived.done():
            self.data_arrived.set_result(None)

    def pause_writing(self):
        self.write_resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        if self.write_resumed and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.write_resumed = None

    async def event(self):
        """Return the next event of h11, or a fault."""
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as error:
                return (WORKER_LOST if self.gone else BAD_BACKEND_RESPONSE).with_reason(str(error))
            if event is h11.NEED_DATA:
                if self.gone:
                    return WORKER_LOST.with_reason("connection lost")
                self.unread_bytes = 0
                self.transport.resume_reading()
                self.data_arrived = asyncio.get_running_loop().create_future()
                await self.data_arrived
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.ConnectionClosed):
                return WORKER_LOST.with_reason("connection closed")
            else:
                return event

    async def exchange(self, method, path, headers=(), body=b"", host="swiftdeck"):
        """Send a request and return the response once its head arrived, or a fault."""
        try:
            if self.conn.our_state is h11.DONE:
                self.conn.start_next_cycle()
            request_headers = [("host", host), ("content-length", str(len(body))), *headers]
            data = self.conn.send(h11.Request(method=method, target=path, headers=request_headers))
            data += self.conn.send(h11.Data(data=body)) if body else b""
            data += self.conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            return WORKER_LOST.with_reason(str(error))
        if self.gone:
            return WORKER_LOST.with_reason("connection lost")
        self.transport.write(data)
        head = await self.event()
        return head if is_fault(head) else HttpResponse(self, head)

    def is_response_due(self) -> bool:
        """Return whether a response, or the rest of one, is still due."""
        return self.conn.their_state in (h11.SEND_RESPONSE, h11.SEND_BODY)

    def close(self):
        """Close the connection; drop unacknowledged bytes of a request still without its response."""
        if not self.transport:
            return
        if self.is_response_due():
            give_up(self.transport)
        else:
            self.transport.abort()


class HttpResponse:
    """The response of a back end, whose body is read as it arrives."""

    def __init__(self, link, head):
        self.link, self.status = link, head.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
        }
        self.fault = None

    async def pieces(self):
        """Yield the pieces of the body as they arrive; set `fault` when it breaks off."""
        while True:
            event = await self.link.event()
            if is_fault(event):
                self.fault = event
                return
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def lines(self):
        """Yield the lines of the body; a line over LINE_LIMIT_BYTES sets `fault` and ends it."""
        rest = b""
        async for piece in self.pieces():
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                yield line
            if len(rest) > LINE_LIMIT_BYTES:
                self.fault = BAD_BACKEND_RESPONSE.with_reason("line is too long")
                return
        if rest:
            yield rest

    async def whole(self, limit=64 << 20):
        """Return the whole body, or a fault; `limit` is its largest size in bytes."""
        data = bytearray()
        async for piece in self.pieces():
            data += piece
            if len(data) > limit:
                return BAD_BACKEND_RESPONSE.with_reason("body is too large")
        return self.fault if self.fault is not None else bytes(data)


async def connect(ip, port, timeoutMs=1000):
    """Open a connection and return it, or a fault, in which case no byte was sent."""
    try:
        async with asyncio.timeout(timeoutMs / 1000):
            _, link = await asyncio.get_running_loop().create_connection(HttpLink, ip, port)
            return link
    except (OSError, TimeoutError) as error:
        return WORKER_UNREACHABLE.with_reason(f"{ip}:{port}: {error or 'no connection in time'}")


async def fetch_json(addr, method, path, body=None, headers=(), timeoutMs=2000):
    """Exchange JSON over a new connection; return (status, value) or a fault."""
    link = None
    try:
        async with asyncio.timeout(timeoutMs / 1000):
            ip, _, port = addr.rpartition(":")
            link = await connect(ip, int(port), timeoutMs)
            if is_fault(link):
                return link
            data = b"" if body is None else msgspec.json.encode(body)
            response = await link.exchange(
                method, path, [("connection", "close"), *headers], data, addr
            )
            if is_fault(response):
                return response
            response_body = await response.whole()
            return (
                response_body
                if is_fault(response_body)
                else (
                    response.status,
                    msgspec.json.decode(response_body) if response_body else None,
                )
            )
    except TimeoutError:
        return PEER_TIMEOUT.with_reason(f"{method} {path} at {addr}")
    except (msgspec.DecodeError, ValueError) as error:
        return BAD_BACKEND_RESPONSE.with_reason(str(error))
    finally:
        if link:
            link.close()

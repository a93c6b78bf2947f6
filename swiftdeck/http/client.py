"""HTTP/1.1 towards workers, store and platform, as an asyncio protocol over h11."""

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

READ_AHEAD = 262144
LINE_LIMIT = 262144


class HttpLink(asyncio.Protocol):
    """One connection to a back end; exchanges go over it one after another."""

    def __init__(self):
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.transport = self.fresh = self.paused = None
        self.ahead = 0
        self.gone = False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        try:
            self.conn.receive_data(data)
        except h11.RemoteProtocolError:
            self.gone = True
        self.ahead += len(data)
        if self.ahead > READ_AHEAD:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self):
        self._end()
        return False

    def connection_lost(self, error):
        self._end()
        self.resume_writing()

    def _end(self):
        if not self.gone:
            self.gone = True
            with contextlib.suppress(h11.RemoteProtocolError):
                self.conn.receive_data(b"")
            self._wake()

    def _wake(self):
        if self.fresh and not self.fresh.done():
            self.fresh.set_result(None)

    def pause_writing(self):
        self.paused = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        if self.paused and not self.paused.done():
            self.paused.set_result(None)
        self.paused = None

    async def event(self):
        """The next event of h11, or a fault."""
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as error:
                return (WORKER_LOST if self.gone else BAD_BACKEND_RESPONSE).with_reason(str(error))
            if event is h11.NEED_DATA:
                if self.gone:
                    return WORKER_LOST.with_reason("connection lost")
                self.ahead = 0
                self.transport.resume_reading()
                self.fresh = asyncio.get_running_loop().create_future()
                await self.fresh
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.ConnectionClosed):
                return WORKER_LOST.with_reason("connection closed")
            else:
                return event

    async def exchange(self, method, path, headers=(), body=b"", host="swiftdeck"):
        """Send a request and give the head of the return, or a fault."""
        try:
            if self.conn.our_state is h11.DONE:
                self.conn.start_next_cycle()
            lead = [("host", host), ("content-length", str(len(body))), *headers]
            data = self.conn.send(h11.Request(method=method, target=path, headers=lead))
            data += self.conn.send(h11.Data(data=body)) if body else b""
            data += self.conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            return WORKER_LOST.with_reason(str(error))
        if self.gone:
            return WORKER_LOST.with_reason("connection lost")
        self.transport.write(data)
        head = await self.event()
        return head if is_fault(head) else HttpReturn(self, head)

    def is_awaiting(self) -> bool:
        """Whether an answer is due, or part of one."""
        return self.conn.their_state in (h11.SEND_RESPONSE, h11.SEND_BODY)

    def close(self):
        """Drop the connection; an exchange that is under way is taken back as far as it can be."""
        if not self.transport:
            return
        if self.is_awaiting():
            give_up(self.transport)
        else:
            self.transport.abort()


class HttpReturn:
    """The return of a back end, read piece by piece."""

    def __init__(self, link, head):
        self.link, self.status = link, head.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
        }
        self.fault = None

    async def pieces(self):
        """The body as it comes; `fault` is set when it broke off."""
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
        """The body line by line; a line that is too long is a fault."""
        rest = b""
        async for piece in self.pieces():
            *whole, rest = (rest + piece).split(b"\n")
            for line in whole:
                yield line
            if len(rest) > LINE_LIMIT:
                self.fault = BAD_BACKEND_RESPONSE.with_reason("line is too long")
                return
        if rest:
            yield rest

    async def whole(self, limit=64 << 20):
        """The body in one piece, or a fault."""
        data = bytearray()
        async for piece in self.pieces():
            data += piece
            if len(data) > limit:
                return BAD_BACKEND_RESPONSE.with_reason("body is too large")
        return self.fault if self.fault is not None else bytes(data)


async def connect(ip, port, timeoutMs=1000):
    """Open a connection, or give a fault; with a fault no byte was sent."""
    try:
        async with asyncio.timeout(timeoutMs / 1000):
            _, link = await asyncio.get_running_loop().create_connection(HttpLink, ip, port)
            return link
    except (OSError, TimeoutError) as error:
        return WORKER_UNREACHABLE.with_reason(f"{ip}:{port}: {error or 'no connection in time'}")


async def fetch_json(addr, method, path, body=None, headers=(), timeoutMs=2000):
    """One exchange of JSON over a connection of its own: (status, value) or a fault."""
    link = None
    try:
        async with asyncio.timeout(timeoutMs / 1000):
            ip, _, port = addr.rpartition(":")
            link = await connect(ip, int(port), timeoutMs)
            if is_fault(link):
                return link
            data = b"" if body is None else msgspec.json.encode(body)
            got = await link.exchange(method, path, [("connection", "close"), *headers], data, addr)
            if is_fault(got):
                return got
            whole = await got.whole()
            return (
                whole
                if is_fault(whole)
                else (got.status, msgspec.json.decode(whole) if whole else None)
            )
    except TimeoutError:
        return PEER_TIMEOUT.with_reason(f"{method} {path} at {addr}")
    except (msgspec.DecodeError, ValueError) as error:
        return BAD_BACKEND_RESPONSE.with_reason(str(error))
    finally:
        if link:
            link.close()

"""Links between processes: framed messages over TCP, single ones over UDP."""

import asyncio
import functools
import inspect
import struct
from collections import Counter

from swiftdeck.fault import (
    BAD_FRAME,
    BUSY,
    HANDLER_FAILED,
    TIMED_OUT,
    UNKNOWN_KIND,
    UNREACHABLE,
    fault_of,
    is_fault,
)
from swiftdeck.wire.messages import KINDS, NUMBERS, Done, FaultReturn

FRAME_LIMIT = 64 << 20
OPEN_LIMIT = 8192
HEAD = struct.Struct(">HQBB")
PART_S = 0.25
"""How long a link may rest in the middle of a frame that still counts as coming in."""
LENGTH = struct.Struct(">I")


@functools.lru_cache(4096)
def split_addr(addr: str):
    """The IP and the port of "ip:port"."""
    ip, _, port = addr.rpartition(":")
    return ip, int(port)


class Link(asyncio.Protocol):
    """One stream between two processes."""

    def __init__(self, mesh, addr=None):
        self.mesh, self.addr = mesh, addr
        self.transport, self.buffer = None, bytearray()
        self.handled = {}
        self.heard_s = asyncio.get_running_loop().time()
        self.gone = False

    def connection_made(self, transport):
        self.transport = transport
        self.mesh.links[self] = None

    def pause_writing(self):
        pass

    def resume_writing(self):
        pass

    def eof_received(self):
        return False

    def data_received(self, data):
        self.heard_s = asyncio.get_running_loop().time()
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= 4:
            (length,) = LENGTH.unpack_from(self.buffer, at)
            if length > FRAME_LIMIT:
                return self.refuse("frame over the limit")
            if len(self.buffer) - at - 4 < length:
                break
            frame = bytes(self.buffer[at + 4 : at + 4 + length])
            at += 4 + length
            if not self.mesh.take(frame, self):
                return self.refuse("frame does not parse")
        del self.buffer[:at]

    def refuse(self, reason):
        """Close the link on a malformed frame."""
        self.mesh.count["faults.%d" % BAD_FRAME.code] += 1
        self.mesh.note("link refused", code=BAD_FRAME.code, reason=reason)
        self.transport.abort()

    def is_receiving(self):
        """Whether part of a frame is here and more of it came a moment ago."""
        is_fresh = asyncio.get_running_loop().time() - self.heard_s < 2 * PART_S
        return bool(self.buffer) and is_fresh and not self.gone

    def send(self, data):
        """Put one message on the stream."""
        if self.gone or self.transport.get_write_buffer_size() > 2 * FRAME_LIMIT:
            return False
        self.transport.write(LENGTH.pack(len(data)) + data)
        return True

    def connection_lost(self, error):
        self.gone = True
        self.mesh.links.pop(self, None)
        for task, is_bound in list(self.handled.values()):
            if is_bound:
                task.cancel()
        if self.addr and self.mesh.dialled.get(self.addr) is self:
            del self.mesh.dialled[self.addr]
        for number, (link, done) in list(self.mesh.asked.items()):
            if link is self and not done.done():
                done.set_result(TIMED_OUT.because("link lost"))


class Mesh:
    """The inner endpoint of a process: asks neighbours, tells them, and hands what comes to its handlers."""

    def __init__(self, addr, note=lambda *_, **__: None):
        self.addr, self.note, self.sender = addr, note, addr.encode()
        self.links, self.dialled, self.dialling = {}, {}, {}
        self.asked, self.serial = {}, 0
        self.handlers = {}
        self.count, self.sent, self.sent_bytes = Counter(), Counter(), Counter()
        self.server = self.datagrams = None

    async def start(self):
        """Listen on TCP and UDP."""
        loop = asyncio.get_running_loop()
        ip, port = split_addr(self.addr)
        self.server = await loop.create_server(lambda: Link(self), ip, port)
        self.datagrams, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self), local_addr=(ip, port)
        )

    def close(self):
        """Stop listening and drop all links."""
        self.server.close()
        self.datagrams.close()
        for link in list(self.links):
            link.transport.abort()

    def on(self, kind, handler, is_bound=False):
        """Hand messages of a kind to `handler(message, senderAddr)`; a bound one is cancelled with its link."""
        self.handlers[kind] = (handler, is_bound)

    async def _link(self, addr):
        link = self.dialled.get(addr)
        if link and not link.gone:
            return link
        if addr not in self.dialling:
            self.dialling[addr] = asyncio.ensure_future(self._dial(addr))
        return await asyncio.shield(self.dialling[addr])

    async def _dial(self, addr):
        try:
            ip, port = split_addr(addr)
            async with asyncio.timeout(1.0):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, addr), ip, port
                )
            self.dialled[addr] = link
            return link
        except (OSError, ValueError, TimeoutError) as error:
            return UNREACHABLE.because(f"{addr}: {error or 'no connection in time'}")
        finally:
            self.dialling.pop(addr, None)

    def _envelope(self, message, exchange=0, is_return=False):
        head = HEAD.pack(NUMBERS[type(message)], exchange, is_return, len(self.sender))
        return b"".join((head, self.sender, bytes(message)))

    async def ask(self, addr, message, timeoutMs=1000, while_heard_ms=0):
        """Send a message and give what comes back: a message or a fault.

        UNREACHABLE means that it was never sent. While part of a frame comes in on its link the
        answer may be on its way over a narrow one: then it is waited for up to `while_heard_ms`,
        since asking again would only put the same bytes behind the first ones.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self.serial += 1
        number, link, done = self.serial, None, loop.create_future()
        try:
            async with asyncio.timeout(timeoutMs / 1000):
                link = await self._link(addr)
                if is_fault(link):
                    return link
                self.asked[number] = (link, done)
                data = self._envelope(message, number)
                self.note_sent(type(message).__name__, data)
                if not link.send(data):
                    return UNREACHABLE.because("link is full")
                return await asyncio.shield(done)
        except TimeoutError:
            if link is not None and await self._comes_in(link, done, start_s, while_heard_ms):
                return done.result()
            if link is None:
                return UNREACHABLE.because(f"{addr}: no connection in time")
            if loop.time() - max(link.heard_s, start_s) >= min(1.0, timeoutMs / 1000):
                link.transport.abort()
            return TIMED_OUT.because(f"{type(message).__name__} to {addr}")
        finally:
            self.asked.pop(number, None)

    @staticmethod
    async def _comes_in(link, done, start_s, while_heard_ms):
        """Wait on for an answer while its link brings parts of a frame; whether it came."""
        loop = asyncio.get_running_loop()
        end_s = start_s + while_heard_ms / 1000
        while not done.done() and link.is_receiving() and loop.time() < end_s:
            await asyncio.wait([done], timeout=min(PART_S, max(0.001, end_s - loop.time())))
        return done.done()

    def tell(self, addr, message):
        """Send a message without waiting for anything."""
        self.tell_all((addr,), message)

    def tell_all(self, addrs, message):
        """Send a message to many without waiting for anything; it is written out once."""
        kind, data = type(message).__name__, self._envelope(message)
        for addr in addrs:
            self.note_sent(kind, data)
            link = self.dialled.get(addr)
            if link and not link.gone:
                link.send(data)
            else:
                asyncio.ensure_future(self._tell_later(addr, data))

    async def _tell_later(self, addr, data):
        link = await self._link(addr)
        if not is_fault(link):
            link.send(data)

    def cast(self, addr, message):
        """Send a message as one datagram; it may be lost."""
        self.cast_all((addr,), message)

    def cast_all(self, addrs, message):
        """Send a message to many as datagrams; it is written out once."""
        kind, data = type(message).__name__, self._envelope(message)
        for addr in addrs:
            self.note_sent(kind, data)
            try:
                self.datagrams.sendto(data, split_addr(addr))
            except (OSError, ValueError):
                self.count["castsFailed"] += 1

    def note_sent(self, kind, data):
        """Account for one message on its way."""
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)

    def take(self, frame, link):
        """Handle one arrived frame; false when it does not parse.

        A return counts only on the link on which its question was sent: numbers of exchanges
        repeat after a restart, and a datagram or another peer's link may bear any number.
        """
        try:
            number, exchange, is_return, length = HEAD.unpack_from(frame)
            sender = frame[HEAD.size : HEAD.size + length].decode("ascii")
            kind = KINDS.get(number)
            message = kind().parse(frame[HEAD.size + length :]) if kind else None
        except Exception:
            return False
        if is_return:
            asked_on, done = self.asked.get(exchange, (None, None))
            if done and asked_on is not link:
                self.count["returnsMisplaced"] += 1
            elif done and not done.done():
                done.set_result(
                    fault_of(message.code, message.reason, message.retry_ms or None)
                    if isinstance(message, FaultReturn)
                    else message
                )
            return kind is not None
        handler, is_bound = self.handlers.get(kind, (None, False))
        if handler is None:
            self._give_back(link, exchange, UNKNOWN_KIND.because(str(number)))
            return exchange != 0
        if link and len(link.handled) >= OPEN_LIMIT:
            self._give_back(link, exchange, BUSY)
        else:
            self._handle(handler, is_bound, message, sender, exchange, link)
        return True

    def _handle(self, handler, is_bound, message, sender, exchange, link):
        try:
            got = handler(message, sender)
        except Exception as error:
            got = self._failed(error, message)
        if inspect.iscoroutine(got):
            task = asyncio.ensure_future(self._finish(got, message, exchange, link))
            if link:
                link.handled[id(task)] = (task, is_bound)
                task.add_done_callback(lambda task: link.handled.pop(id(task), None))
        else:
            self._give_back(link, exchange, got)

    async def _finish(self, coro, message, exchange, link):
        try:
            got = await coro
        except asyncio.CancelledError:
            raise
        except Exception as error:
            got = self._failed(error, message)
        self._give_back(link, exchange, got)

    def _failed(self, error, message):
        self.count["faults.%d" % HANDLER_FAILED.code] += 1
        self.note(
            "handler failed",
            code=HANDLER_FAILED.code,
            kind=type(message).__name__,
            reason=repr(error),
        )
        return HANDLER_FAILED.because(type(message).__name__)

    def _give_back(self, link, exchange, got):
        if link is None or not exchange:
            return
        if is_fault(got):
            got = FaultReturn(code=got.code, reason=got.reason, retry_ms=got.retry_ms)
        answer = got if got is not None else Done()
        data = self._envelope(answer, exchange, True)
        self.note_sent(type(answer).__name__, data)
        link.send(data)


class Datagrams(asyncio.DatagramProtocol):
    """The UDP side of a mesh."""

    def __init__(self, mesh):
        self.mesh = mesh

    def datagram_received(self, data, addr):
        if not self.mesh.take(data, None):
            self.mesh.count["faults.%d" % BAD_FRAME.code] += 1

    def error_received(self, error):
        self.mesh.count["castsFailed"] += 1

"""Links between processes: framed messages over TCP, single ones over UDP."""

import asyncio
import functools
import inspect
import struct
from collections import Counter
from collections.abc import Callable

import attrs
import msgspec

from swiftdeck.fault import (
    BAD_FRAME,
    HANDLER_FAILED,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    TOO_MANY_CALLS,
    UNKNOWN_KIND,
    fault_from_code,
    is_fault,
)
from swiftdeck.wire.messages import KINDS, NUMBERS, Done, FaultReturn, WireMessage

FRAME_LIMIT = 64 << 20
"""The most bytes of one frame."""
OPEN_LIMIT = 8192
"""The most messages of one link that are handled at a time."""
HEAD = struct.Struct(">HQBB")
"""Before a message: its kind, its exchange, whether it is a return, the length of the sender."""
LENGTH = struct.Struct(">I")
"""Before a frame: its length."""
PART_S = 0.25
"""How long a link may rest in the middle of a frame that still counts as coming in."""
CONNECT_S = 1.0
SILENCE_S = 1.0
"""How long a link may be silent while an answer is due before it is dropped."""


@attrs.define(eq=False)
class Asked:
    """A question that waits for its return, which counts only on the link that it was sent on."""

    link: "Link"
    answer: asyncio.Future


@attrs.define(eq=False)
class Handler:
    """What takes the messages of a kind; a bound one is cancelled when the link is lost."""

    function: Callable
    is_bound: bool


@attrs.define(eq=False)
class Handled:
    """A message that is being handled."""

    task: asyncio.Task
    is_bound: bool


class Envelope(msgspec.Struct, eq=False):
    """A frame that was read: a message, who sent it, and the exchange that it belongs to.

    `message` is None where its kind isn't known. `exchange` is 0 when no return is expected.
    """

    number: int
    exchange: int
    is_return: bool
    sender: str
    message: WireMessage | None

    @classmethod
    def read(cls, frame: bytes) -> "Envelope | None":
        """Read a frame; None when it does not parse."""
        try:
            number, exchange, is_return, length = HEAD.unpack_from(frame)
            body_at = HEAD.size + length
            sender = frame[HEAD.size : body_at].decode("ascii")
            kind = KINDS.get(number)
            message = kind().parse(frame[body_at:]) if kind else None
        except Exception:
            return None
        return cls(number, exchange, bool(is_return), sender, message)


@functools.lru_cache(4096)
def split_addr(addr: str) -> tuple[str, int]:
    """Return the IP and the port of "ip:port"; raises ValueError when there is no port."""
    ip, _, port = addr.rpartition(":")
    return ip, int(port)


class Link(asyncio.Protocol):
    """One stream between two processes.

    `addr` is set at the side that dialled. `heard_s` is when bytes came last, by the clock of the
    loop; `handled` has the messages of this link that are being handled.
    """

    def __init__(self, mesh, addr=None):
        self.mesh, self.addr = mesh, addr
        self.transport, self.buffer = None, bytearray()
        self.handled: dict[int, Handled] = {}
        self.heard_s = asyncio.get_running_loop().time()
        self.gone = False

    def connection_made(self, transport):
        """Count the link among those of the mesh."""
        self.transport = transport
        self.mesh.links[self] = None

    def pause_writing(self):
        """Write on: what is told is bounded by `send`."""

    def resume_writing(self):
        """Write on, as before."""

    def eof_received(self):
        """Let the transport close itself."""
        return False

    def data_received(self, data):
        """Take the frames that are complete; one that is malformed ends the link."""
        self.heard_s = asyncio.get_running_loop().time()
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, at)
            if length > FRAME_LIMIT:
                return self.refuse("frame over the limit")
            start = at + LENGTH.size
            if len(self.buffer) - start < length:
                break
            frame = bytes(self.buffer[start : start + length])
            at = start + length
            if not self.mesh.receive(frame, self):
                return self.refuse("frame does not parse")
        del self.buffer[:at]

    def refuse(self, reason):
        """Close the link on a malformed frame."""
        self.mesh.count[f"faults.{BAD_FRAME.code}"] += 1
        self.mesh.note("link refused", code=BAD_FRAME.code, reason=reason)
        self.transport.abort()

    def is_receiving(self):
        """Whether part of a frame is here and more of it came a moment ago."""
        is_fresh = asyncio.get_running_loop().time() - self.heard_s < 2 * PART_S
        return bool(self.buffer) and is_fresh and not self.gone

    def send(self, data):
        """Put one message on the stream; false when the link is gone or full."""
        if self.gone or self.transport.get_write_buffer_size() > 2 * FRAME_LIMIT:
            return False
        self.transport.write(LENGTH.pack(len(data)) + data)
        return True

    def connection_lost(self, error):
        """Cancel what is bound to the link, and answer what was asked on it."""
        self.gone = True
        self.mesh.links.pop(self, None)
        for handled in list(self.handled.values()):
            if handled.is_bound:
                handled.task.cancel()
        if self.addr and self.mesh.dialled.get(self.addr) is self:
            del self.mesh.dialled[self.addr]
        for asked in list(self.mesh.asked.values()):
            if asked.link is self and not asked.answer.done():
                asked.answer.set_result(PEER_TIMEOUT.with_reason("link lost"))


class Mesh:
    """The inner endpoint of a process.

    It asks neighbours, tells them, and hands what comes to its handlers. `dialled` has the links to
    neighbours and `dialling` those that are being opened, by address; `asked` the questions that
    wait for a return, by the number of their exchange.
    """

    def __init__(self, addr, note=lambda *_, **__: None):
        self.addr, self.note, self.sender = addr, note, addr.encode()
        self.links: dict[Link, None] = {}
        self.dialled: dict[str, Link] = {}
        self.dialling: dict[str, asyncio.Task] = {}
        self.asked: dict[int, Asked] = {}
        self.serial = 0
        self.handlers: dict[type, Handler] = {}
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

    def register(self, kind, handler, is_bound=False):
        """Hand messages of a kind to `handler(message, sender_addr)`.

        What it returns, or its coroutine gives, is the return: a message, a fault, or None for
        Done. A bound handler is cancelled with the link of its message.
        """
        self.handlers[kind] = Handler(handler, is_bound)

    async def _link(self, addr):
        """Return the link to a neighbour, opened if need be, or PEER_UNREACHABLE."""
        link = self.dialled.get(addr)
        if link and not link.gone:
            return link
        if addr not in self.dialling:
            self.dialling[addr] = asyncio.ensure_future(self._dial(addr))
        return await asyncio.shield(self.dialling[addr])

    async def _dial(self, addr):
        try:
            ip, port = split_addr(addr)
            async with asyncio.timeout(CONNECT_S):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, addr), ip, port
                )
            self.dialled[addr] = link
            return link
        except (OSError, ValueError, TimeoutError) as error:
            return PEER_UNREACHABLE.with_reason(f"{addr}: {error or 'no connection in time'}")
        finally:
            self.dialling.pop(addr, None)

    def _envelope(self, message, exchange=0, is_return=False):
        head = HEAD.pack(NUMBERS[type(message)], exchange, is_return, len(self.sender))
        return b"".join((head, self.sender, bytes(message)))

    async def request(self, addr, message, timeoutMs=1000, while_heard_ms=0):
        """Send a message and give what comes back: a message or a fault.

        PEER_UNREACHABLE means that it was never sent. While part of a frame comes in on its link
        the answer may be on its way over a narrow one: then it is waited for up to
        `while_heard_ms`, since asking again would only put the same bytes behind the first ones.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self.serial += 1
        number, asked = self.serial, None
        answer = loop.create_future()
        try:
            async with asyncio.timeout(timeoutMs / 1000):
                link = await self._link(addr)
                if is_fault(link):
                    return link
                asked = self.asked[number] = Asked(link, answer)
                data = self._envelope(message, number)
                self.note_sent(message.kind_name, data)
                if not link.send(data):
                    return PEER_UNREACHABLE.with_reason("link is full")
                return await asyncio.shield(answer)
        except TimeoutError:
            if asked is None:
                return PEER_UNREACHABLE.with_reason(f"{addr}: no connection in time")
            if await self._comes_in(asked, start_s, while_heard_ms):
                return answer.result()
            self._drop_silent(asked.link, start_s, timeoutMs / 1000)
            return PEER_TIMEOUT.with_reason(f"{message.kind_name} to {addr}")
        finally:
            self.asked.pop(number, None)

    @staticmethod
    def _drop_silent(link, start_s, timeout_s):
        """Drop a link on which nothing came while an answer was due."""
        silent_s = asyncio.get_running_loop().time() - max(link.heard_s, start_s)
        if silent_s >= min(SILENCE_S, timeout_s):
            link.transport.abort()

    @staticmethod
    async def _comes_in(asked, start_s, while_heard_ms):
        """Wait on for an answer while its link brings parts of a frame; whether it came."""
        loop = asyncio.get_running_loop()
        end_s = start_s + while_heard_ms / 1000
        while not asked.answer.done() and asked.link.is_receiving() and loop.time() < end_s:
            left_s = max(0.001, end_s - loop.time())
            await asyncio.wait([asked.answer], timeout=min(PART_S, left_s))
        return asked.answer.done()

    def send(self, addr, message):
        """Send a message without waiting for anything."""
        self.send_all((addr,), message)

    def send_all(self, addrs, message):
        """Send a message to many without waiting for anything; it is written out once."""
        kind, data = message.kind_name, self._envelope(message)
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

    def send_datagram(self, addr, message):
        """Send a message as one datagram; it may be lost."""
        self.send_datagrams((addr,), message)

    def send_datagrams(self, addrs, message):
        """Send a message to many as datagrams; it is written out once.

        Nothing is sent any more once the mesh is closed.
        """
        if self.datagrams.is_closing():
            return
        kind, data = message.kind_name, self._envelope(message)
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

    def receive(self, frame, link):
        """Handle one arrived frame; false when it does not parse.

        `link` is None for a datagram.
        """
        envelope = Envelope.read(frame)
        if envelope is None:
            return False
        if envelope.is_return:
            self._take_return(envelope, link)
            return envelope.message is not None
        handler = self.handlers.get(type(envelope.message))
        if handler is None:
            fault = UNKNOWN_KIND.with_reason(str(envelope.number))
            self._give_back(link, envelope.exchange, fault)
            return envelope.exchange != 0
        if link and len(link.handled) >= OPEN_LIMIT:
            self._give_back(link, envelope.exchange, TOO_MANY_CALLS)
        else:
            self._handle(handler, envelope, link)
        return True

    def _take_return(self, envelope, link):
        """Answer the question that a return belongs to.

        A return counts only on the link on which its question was sent: numbers of exchanges
        repeat after a restart, and a datagram or another peer's link may bear any number.
        """
        asked = self.asked.get(envelope.exchange)
        if asked is None:
            return
        if asked.link is not link:
            self.count["returnsMisplaced"] += 1
        elif not asked.answer.done():
            asked.answer.set_result(self._answer_of(envelope.message))

    @staticmethod
    def _answer_of(message):
        """Return what a return says: the message, or the fault that it bears."""
        if isinstance(message, FaultReturn):
            return fault_from_code(message.code, message.reason, message.retry_ms or None)
        return message

    def _handle(self, handler, envelope, link):
        """Call a handler; one that has to wait goes on in a task of its own."""
        message, exchange = envelope.message, envelope.exchange
        try:
            result = handler.function(message, envelope.sender)
        except Exception as error:
            result = self._failed(error, message)
        if not inspect.iscoroutine(result):
            self._give_back(link, exchange, result)
            return
        task = asyncio.ensure_future(self._finish(result, message, exchange, link))
        if link:
            link.handled[id(task)] = Handled(task, handler.is_bound)
            task.add_done_callback(lambda task: link.handled.pop(id(task), None))

    async def _finish(self, coroutine, message, exchange, link):
        try:
            result = await coroutine
        except asyncio.CancelledError:
            raise
        except Exception as error:
            result = self._failed(error, message)
        self._give_back(link, exchange, result)

    def _failed(self, error, message):
        self.count[f"faults.{HANDLER_FAILED.code}"] += 1
        self.note(
            "handler failed",
            code=HANDLER_FAILED.code,
            kind=message.kind_name,
            reason=repr(error),
        )
        return HANDLER_FAILED.with_reason(message.kind_name)

    def _give_back(self, link, exchange, result):
        """Send the return of a message, if one is expected: a message, a fault, or Done."""
        if link is None or not exchange:
            return
        if is_fault(result):
            result = FaultReturn(code=result.code, reason=result.reason, retry_ms=result.retry_ms)
        answer = result if result is not None else Done()
        data = self._envelope(answer, exchange, True)
        self.note_sent(answer.kind_name, data)
        link.send(data)


class Datagrams(asyncio.DatagramProtocol):
    """The UDP side of a mesh."""

    def __init__(self, mesh):
        self.mesh = mesh

    def datagram_received(self, data, addr):
        """Hand a datagram to the mesh; one that is malformed is counted."""
        if not self.mesh.receive(data, None):
            self.mesh.count[f"faults.{BAD_FRAME.code}"] += 1

    def error_received(self, error):
        """Count a datagram that could not be sent."""
        self.mesh.count["castsFailed"] += 1

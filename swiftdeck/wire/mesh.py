"""Messaging between processes: framed messages over TCP, single messages as UDP datagrams."""

import asyncio
import functools
import inspect
import struct
from collections import Counter, deque
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
from swiftdeck.runtime.listeners import listen
from swiftdeck.runtime.memory_pool import MemoryPool
from swiftdeck.wire.limits import FREE_MESSAGE_BYTES, MeshLimits
from swiftdeck.wire.link import (
    FRAME_LIMIT_BYTES,
    LENGTH,
    PARTIAL_FRAME_S,
    Link,
    RunningHandler,
)
from swiftdeck.wire.messages import KINDS, NUMBERS, Done, FaultReturn, WireMessage

HEAD = struct.Struct(">HQBB")
"""Header: kind number, exchange number, is-return flag, length of the sender address after it."""
RECEIVE_BUFFER_BYTES = 1 << 17
"""How much the kernel keeps of what arrived on a link and was not read yet."""
CONNECT_TIMEOUT_S = 1.0
SILENCE_LIMIT_S = 1.0
"""How long a link may be silent while a response is due before it is dropped."""


@attrs.define(eq=False)
class PendingRequest:
    """A request that awaits its response, which is accepted only on the link it was sent on."""

    link: "Link"
    response: asyncio.Future


@attrs.define(eq=False)
class Handler:
    """The handler of a kind of message; a bound one is cancelled when the link is lost.

    `size_limit` is the size in bytes of the largest message that it takes, if it has a limit.
    """

    function: Callable
    is_bound: bool
    size_limit: int | None = None


class Envelope(msgspec.Struct, eq=False):
    """A parsed frame: a message, the address of its sender, and the exchange it belongs to.

    `number` is the number of the message's kind; `message` is None where that is unknown.
    `exchange` is 0 when no response is expected.
    """

    number: int
    exchange: int
    is_return: bool
    sender: str
    message: WireMessage | None

    @classmethod
    def parse(cls, frame: bytes) -> "Envelope | None":
        """Parse a frame; return None when it is malformed."""
        try:
            number, exchange, is_return, length = HEAD.unpack_from(frame)
            body_start = HEAD.size + length
            sender = frame[HEAD.size : body_start].decode("ascii")
            kind = KINDS.get(number)
            message = kind().parse(frame[body_start:]) if kind else None
        except Exception:
            return None
        return cls(number, exchange, bool(is_return), sender, message)


def is_request(frame: bytes) -> bool:
    """Return whether a frame has a message that awaits a response."""
    if len(frame) < HEAD.size:
        return False
    _, exchange, is_return, _ = HEAD.unpack_from(frame)
    return exchange != 0 and not is_return


@functools.lru_cache(4096)
def split_addr(addr: str) -> tuple[str, int]:
    """Split "ip:port" into IP and port; raise ValueError when there is no port."""
    ip, _, port = addr.rpartition(":")
    return ip, int(port)


class Mesh:
    """The endpoint of a process for messages to and from the other processes of the fleet.

    It sends requests, one-way messages and datagrams, and passes received messages to their
    handlers. `outgoing` has the links that this process opened and `connecting` those being opened,
    by address; `pending` has the requests that await a response, by exchange number. `congested`
    has the links whose peers read too slowly, `waiting_bytes` counts one-way messages that wait for
    a link, `queued_links` has the links with frames that wait for their turn.
    """

    def __init__(self, addr, note=lambda *_, **__: None, limits=None):
        self.addr, self.note, self.sender = addr, note, addr.encode()
        self.limits = limits or MeshLimits()
        self.partial_frames = MemoryPool(self.limits.partial_frame_bytes)
        self.handled_messages = MemoryPool(self.limits.handled_message_bytes)
        self.handler_count = self.waiting_bytes = 0
        self.links: dict[Link, None] = {}
        self.congested: dict[Link, None] = {}
        self.queued_links: deque[Link] = deque()
        self.is_turn_scheduled = False
        self.outgoing: dict[str, Link] = {}
        self.connecting: dict[str, asyncio.Task] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.serial = 0
        self.handlers: dict[type, Handler] = {}
        self.count, self.sent, self.sent_bytes = Counter(), Counter(), Counter()
        self.server = self.datagrams = None

    async def start(self):
        """Listen on the TCP and the UDP port of the address."""
        loop = asyncio.get_running_loop()
        ip, port = split_addr(self.addr)
        self.server = await listen(
            lambda: Link(self), ip, port, self.limits.accepts_per_turn, RECEIVE_BUFFER_BYTES
        )
        self.datagrams, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self), local_addr=(ip, port)
        )

    def close(self):
        """Stop listening and drop all links."""
        self.server.close()
        self.datagrams.close()
        for link in list(self.links):
            link.transport.abort()

    def register_link(self, link):
        """Add a new link; where others have opened too many, drop one of those.

        That is the one on which nothing has come for the longest time, among those without any
        valid frame if there are any.
        """
        self.links[link] = None
        if link.addr is not None or len(self.links) <= self.limits.links:
            return
        opened_by_others = [other for other in self.links if other.addr is None]
        if len(opened_by_others) > self.limits.links:
            others = [other for other in opened_by_others if other is not link]
            idle = min(others or [link], key=lambda other: (other.has_received, other.received_s))
            self.count["linksDropped"] += 1
            self.links.pop(idle)
            idle.drop()

    def queue_turn(self, link):
        """Let a link handle more of its frames once its turn comes.

        One link at a time has one, and timers and other connections theirs between two of them, so
        that no number of links with many frames keeps the loop busy for long.
        """
        self.queued_links.append(link)
        self._schedule_turn()

    def _schedule_turn(self):
        if self.queued_links and not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self):
        self.is_turn_scheduled = False
        try:
            self.queued_links.popleft().take_turn()
        finally:
            self._schedule_turn()

    def has_room_to_send(self, link, size) -> bool:
        """Return whether a message may wait until the peer of a link reads.

        Where messages that are unread take too much memory, the links with the most of them are
        dropped.
        """
        unread = {other: other.unread_bytes() for other in self.congested}
        total = sum(unread.values()) + size
        for other in sorted(unread, key=unread.get, reverse=True):
            if total <= self.limits.unread_message_bytes:
                break
            self.count["linksCongested"] += 1
            total -= unread[other]
            self.congested.pop(other)
            other.drop()
        return link in self.congested

    def frame_limit(self) -> int:
        """Return the size in bytes of the largest frame that is received."""
        return min(FRAME_LIMIT_BYTES, self.limits.partial_frame_bytes - LENGTH.size)

    def hold_partial_frame(self, link):
        """Reserve the memory for a frame that has not arrived whole.

        Where it is short, links are dropped, beginning with the one whose frame is the longest on
        its way.
        """
        while not self.partial_frames.reserve(link, len(link.buffer)):
            oldest = min(
                self.partial_frames.reserved, key=lambda other: other.partial_since_s, default=link
            )
            self.count["partialFramesDropped"] += 1
            oldest.drop()
            if oldest is link:
                return

    def register(self, kind, handler, is_bound=False, size_limit=None):
        """Pass messages of a kind to `handler(message, sender_addr)`.

        The result of the handler, or of its coroutine, is the response: a message, a fault, or
        None for Done. A bound handler is cancelled when the link of its message is lost. A message
        with a frame of over `size_limit` bytes is refused, where a limit is given.
        """
        self.handlers[kind] = Handler(handler, is_bound, size_limit)

    async def _get_link(self, addr):
        """Return the link to an address, connecting if necessary, or PEER_UNREACHABLE."""
        link = self.outgoing.get(addr)
        if link and not link.gone:
            return link
        if addr not in self.connecting:
            self.connecting[addr] = asyncio.ensure_future(self._connect(addr))
        return await asyncio.shield(self.connecting[addr])

    async def _connect(self, addr):
        try:
            ip, port = split_addr(addr)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, addr), ip, port
                )
            self.outgoing[addr] = link
            return link
        except (OSError, ValueError, TimeoutError) as error:
            return PEER_UNREACHABLE.with_reason(f"{addr}: {error or 'no connection in time'}")
        finally:
            self.connecting.pop(addr, None)

    def _encode(self, message, exchange=0, is_return=False):
        head = HEAD.pack(NUMBERS[type(message)], exchange, is_return, len(self.sender))
        return b"".join((head, self.sender, bytes(message)))

    async def request(self, addr, message, timeout_ms=1000, receiving_timeout_ms=0):
        """Send a request and return the response: a message or a fault.

        PEER_UNREACHABLE means that the request was never sent. While a frame is being received on
        the link, the response may be arriving over a slow network: it is then awaited for up to
        `receiving_timeout_ms` after the start, since a repeated request would only queue the same
        bytes behind the first ones. A link that is silent at the timeout is dropped.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self.serial += 1
        exchange, pending = self.serial, None
        response = loop.create_future()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._get_link(addr)
                if is_fault(link):
                    return link
                pending = self.pending[exchange] = PendingRequest(link, response)
                data = self._encode(message, exchange)
                self.count_sent(message.kind_name, data)
                if not link.send(data):
                    return PEER_UNREACHABLE.with_reason("link is full")
                return await asyncio.shield(response)
        except TimeoutError:
            if pending is None:
                return PEER_UNREACHABLE.with_reason(f"{addr}: no connection in time")
            if await self._wait_while_receiving(pending, start_s, receiving_timeout_ms):
                return response.result()
            self._drop_if_silent(pending.link, start_s, timeout_ms / 1000)
            return PEER_TIMEOUT.with_reason(f"{message.kind_name} to {addr}")
        finally:
            self.pending.pop(exchange, None)

    @staticmethod
    def _drop_if_silent(link, start_s, timeout_s):
        """Drop a link on which nothing was received while a response was due."""
        silent_s = asyncio.get_running_loop().time() - max(link.received_s, start_s)
        if silent_s >= min(SILENCE_LIMIT_S, timeout_s):
            link.transport.abort()

    @staticmethod
    async def _wait_while_receiving(pending, start_s, receiving_timeout_ms):
        """Wait for a response while its link receives a frame; return whether it arrived."""
        loop = asyncio.get_running_loop()
        end_s = start_s + receiving_timeout_ms / 1000
        while not pending.response.done() and pending.link.is_receiving() and loop.time() < end_s:
            left_s = max(0.001, end_s - loop.time())
            await asyncio.wait([pending.response], timeout=min(PARTIAL_FRAME_S, left_s))
        return pending.response.done()

    def send(self, addr, message):
        """Send a one-way message; it is lost without notice when the address is unreachable."""
        self.send_all((addr,), message)

    def send_all(self, addrs, message):
        """Send a one-way message to several addresses; it is encoded only once."""
        kind, data = message.kind_name, self._encode(message)
        for addr in addrs:
            self.count_sent(kind, data)
            link = self.outgoing.get(addr)
            if link and not link.gone:
                link.send(data)
            elif self.waiting_bytes + len(data) > self.limits.unread_message_bytes:
                self.count["sendsDropped"] += 1
            else:
                self.waiting_bytes += len(data)
                asyncio.ensure_future(self._connect_and_send(addr, data))

    async def _connect_and_send(self, addr, data):
        try:
            link = await self._get_link(addr)
            if not is_fault(link):
                link.send(data)
        finally:
            self.waiting_bytes -= len(data)

    def send_datagram(self, addr, message):
        """Send a message as one datagram; it may be lost."""
        self.send_datagrams((addr,), message)

    def send_datagrams(self, addrs, message):
        """Send a message to several addresses as datagrams; it is encoded only once.

        Nothing is sent once the mesh is closed.
        """
        if self.datagrams.is_closing():
            return
        kind, data = message.kind_name, self._encode(message)
        for addr in addrs:
            self.count_sent(kind, data)
            try:
                self.datagrams.sendto(data, split_addr(addr))
            except (OSError, ValueError):
                self.count["castsFailed"] += 1

    def count_sent(self, kind, data):
        """Count a sent message and its bytes by kind."""
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)

    def receive(self, frame, link):
        """Handle a received frame; return False when it is malformed.

        `link` is None for a datagram. A request is dropped whose link is gone.
        """
        if link and link.gone and is_request(frame):
            return True
        envelope = Envelope.parse(frame)
        if envelope is None:
            return False
        if envelope.is_return:
            self._handle_return(envelope, link)
            return envelope.message is not None
        handler = self.handlers.get(type(envelope.message))
        if handler is None:
            fault = UNKNOWN_KIND.with_reason(str(envelope.number))
            self._send_return(link, envelope.exchange, fault)
            return envelope.exchange != 0
        if handler.size_limit is not None and len(frame) > handler.size_limit:
            self._refuse(envelope, link)
        else:
            self._run_handler(handler, envelope, link, len(frame))
        return True

    def _refuse(self, envelope, link):
        """Refuse a message that there is no room for."""
        self.count["messagesRefused"] += 1
        self._send_return(link, envelope.exchange, TOO_MANY_CALLS)

    def _handle_return(self, envelope, link):
        """Complete the request that a response belongs to.

        A response is accepted only on the link on which its request was sent: exchange numbers
        repeat after a restart, and a datagram or another peer's link may carry any number.
        """
        pending = self.pending.get(envelope.exchange)
        if pending is None:
            return
        if pending.link is not link:
            self.count["returnsMisplaced"] += 1
        elif not pending.response.done():
            pending.response.set_result(self._result_of(envelope.message))

    @staticmethod
    def _result_of(message):
        """Return the message of a response, or the fault that it carries."""
        if isinstance(message, FaultReturn):
            return fault_from_code(message.code, message.reason, message.retry_ms or None)
        return message

    def _run_handler(self, handler, envelope, link, size):
        """Call a handler and send its response; a coroutine runs in a task of its own."""
        message, exchange = envelope.message, envelope.exchange
        try:
            result = handler.function(message, envelope.sender)
        except Exception as error:
            result = self._handler_failed(error, message)
        if not inspect.iscoroutine(result):
            self._send_return(link, exchange, result)
            return
        if not self._may_wait(link, size):
            result.close()
            return self._refuse(envelope, link)
        task = asyncio.ensure_future(self._await_handler(result, message, exchange, link))
        if size > FREE_MESSAGE_BYTES:
            self.handled_messages.reserve(task, size)
        self.handler_count += 1
        if link:
            link.running[id(task)] = RunningHandler(task, handler.is_bound)
        task.add_done_callback(lambda task: self._end_handler(task, link))

    def _may_wait(self, link, size) -> bool:
        """Return whether the handler of a message of some size may wait for something.

        A few handlers for each link may, however many there are.
        """
        memory = self.handled_messages
        if size > FREE_MESSAGE_BYTES and memory.used_bytes + size > memory.limit_bytes:
            return False
        running = len(link.running) if link else self.handler_count
        if running < self.limits.link_handlers_kept:
            return True
        return running < self.limits.link_handlers and self.handler_count < self.limits.handlers

    def _end_handler(self, task, link):
        self.handler_count -= 1
        self.handled_messages.release(task)
        if link:
            link.running.pop(id(task), None)

    async def _await_handler(self, coroutine, message, exchange, link):
        try:
            result = await coroutine
        except asyncio.CancelledError:
            raise
        except Exception as error:
            result = self._handler_failed(error, message)
        self._send_return(link, exchange, result)

    def _handler_failed(self, error, message):
        self.count[f"faults.{HANDLER_FAILED.code}"] += 1
        self.note(
            "handler failed",
            code=HANDLER_FAILED.code,
            kind=message.kind_name,
            reason=repr(error),
        )
        return HANDLER_FAILED.with_reason(message.kind_name)

    def _send_return(self, link, exchange, result):
        """Send the response to a message, if one is expected: a message, a fault, or Done."""
        if link is None or not exchange:
            return
        if is_fault(result):
            result = FaultReturn(code=result.code, reason=result.reason, retry_ms=result.retry_ms)
        response = result if result is not None else Done()
        data = self._encode(response, exchange, True)
        self.count_sent(response.kind_name, data)
        link.send(data)


class Datagrams(asyncio.DatagramProtocol):
    """The UDP endpoint of a mesh."""

    def __init__(self, mesh):
        self.mesh = mesh

    def datagram_received(self, data, addr):
        """Pass a datagram to the mesh; count a malformed one."""
        if not self.mesh.receive(data, None):
            self.mesh.count[f"faults.{BAD_FRAME.code}"] += 1

    def error_received(self, error):
        """Count a datagram that could not be sent."""
        self.mesh.count["castsFailed"] += 1

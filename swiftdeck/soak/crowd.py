"""Misbehaving clients: raw connections that send what a payload yields and then stay open."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

import attrs

from swiftdeck.wire.mesh import split_addr

HIGH_WATER_BYTES = 65536
CONNECT_TIMEOUT_S = 5.0
RECONNECT_PAUSE_S = 0.02
BLOCKED_S = 1.0
"""How long a connection may make no progress before the crowd stops waiting for it."""
POLL_S = 0.05

Payload = Callable[[], Iterable[bytes]]
"""Returns the pieces that one connection sends, in order."""


@attrs.frozen
class CrowdSize:
    """How many connections a crowd keeps open, and how often each is opened at the most.

    A connection that its peer closes is opened again until it was opened `rounds` times. Between
    the pieces of a payload it waits `pause_s`. With `leaves` it closes once all is sent.
    """

    connections: int
    rounds: int = 2
    pause_s: float = 0.0
    leaves: bool = False


class CrowdConnection(asyncio.Protocol):
    """One connection: it writes its payload as fast as the peer takes it, and then stays open.

    With `leaves` it closes instead. What it receives is discarded, or with `reads` unset left
    unread.
    """

    def __init__(self, pieces, reads: bool, pause_s: float = 0.0, leaves: bool = False):
        self.pieces, self.reads, self.pause_s = iter(pieces), reads, pause_s
        self.leaves = leaves
        self.loop = asyncio.get_running_loop()
        self.transport, self.is_paused = None, False
        self.is_sent = self.is_closed = False
        self.progress_s = self.loop.time()

    def connection_made(self, transport):
        """Start to write."""
        self.transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES)
        if not self.reads:
            transport.pause_reading()
        self.loop.call_soon(self._write_more)

    def _write_more(self):
        """Write the next piece, and continue unless the peer is too slow."""
        if self.is_paused or self.is_closed or self.is_sent:
            return
        piece = next(self.pieces, None)
        if piece is None:
            self.is_sent = True
            if self.leaves:
                self.transport.close()
            return
        self.progress_s = self.loop.time()
        self.transport.write(piece)
        self.loop.call_later(self.pause_s, self._write_more)

    def pause_writing(self):
        """Wait until the peer has read."""
        self.is_paused = True

    def resume_writing(self):
        """Continue with the payload."""
        self.is_paused = False
        self.loop.call_soon(self._write_more)

    def data_received(self, data):
        """Discard what the peer sends."""

    def eof_received(self):
        """Close this end as well once the peer has closed its own."""
        return False

    def connection_lost(self, error):
        """Note that the peer closed the connection."""
        self.is_closed = True

    def drop(self):
        """Close the connection at once, unless it is closed."""
        if not self.is_closed:
            self.transport.abort()

    def is_waiting(self) -> bool:
        """Return whether nothing more will happen unless the peer acts."""
        is_blocked = self.is_paused and self.loop.time() - self.progress_s > BLOCKED_S
        return self.is_closed or self.is_sent or is_blocked


class Crowd:
    """Keeps a number of misbehaving connections open to one address."""

    def __init__(self, address: str, payload: Payload, size: CrowdSize, reads: bool = True):
        self.peer = split_addr(address)
        self.payload, self.size, self.reads = payload, size, reads
        self.tasks: list[asyncio.Task] = []
        self.connections: set[CrowdConnection] = set()
        self.opened = 0

    def start(self):
        """Open all connections."""
        self.tasks = [
            asyncio.ensure_future(self._keep_open()) for _ in range(self.size.connections)
        ]

    async def _keep_open(self):
        """Open one connection, and open it again when its peer closes it, up to its rounds."""
        for _ in range(self.size.rounds):
            connection = await self._connect()
            while connection is not None and not connection.is_closed:
                await asyncio.sleep(POLL_S)
            self.connections.discard(connection)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _make_connection(self):
        size = self.size
        return CrowdConnection(self.payload(), self.reads, size.pause_s, size.leaves)

    async def _connect(self):
        """Return a new connection, or None if there is none in time."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(self._make_connection, *self.peer)
            self.connections.add(connection)
            self.opened += 1
            return connection
        return None

    async def wait_sent(self, within_s: float) -> bool:
        """Wait until each connection has sent its payload, is blocked, or has had its rounds.

        Returns whether that came about within some seconds.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            settled = sum(connection.is_waiting() for connection in self.connections)
            if settled + sum(task.done() for task in self.tasks) >= len(self.tasks):
                return True
        return False

    async def close(self):
        """Drop all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in list(self.connections):
            connection.drop()


class CrowdGroup:
    """Several crowds that come at the same time."""

    def __init__(self, crowds):
        self.crowds = crowds

    @property
    def opened(self) -> int:
        """The number of connections that were opened."""
        return sum(crowd.opened for crowd in self.crowds)

    def start(self):
        """Open all connections of all crowds."""
        for crowd in self.crowds:
            crowd.start()

    async def wait_sent(self, within_s: float) -> bool:
        """Wait until all crowds have sent what they have; return whether they did in time."""
        waits = [crowd.wait_sent(within_s) for crowd in self.crowds]
        return all(await asyncio.gather(*waits))

    async def close(self):
        """Drop all connections of all crowds."""
        for crowd in self.crowds:
            await crowd.close()

"""HTTP/1.1 server for clients and operators."""

import asyncio
import math
from collections import Counter

import h11

from swiftdeck.fault import HANDLER_FAILED, Fault
from swiftdeck.http.connection import HEAD_LIMIT_BYTES, HttpConnection
from swiftdeck.http.connection_memory import ConnectionMemory
from swiftdeck.http.cuts import CutReason
from swiftdeck.http.drain import Drain, DrainTimes, Phase
from swiftdeck.http.limits import RECEIVE_BUFFER_BYTES, ServerLimits
from swiftdeck.runtime.listeners import listen
from swiftdeck.runtime.memory_pool import MemoryPool

POLL_INTERVAL_S = 0.01
SILENT_S = 1.0
"""How long a connection without a request stays, even if there are others that can give way."""
UNLIMITED = DrainTimes(math.inf, math.inf)


class HttpServer:
    """Listens for clients and passes each exchange to one handler.

    `streams` has the paths whose handlers read the body as it arrives. `open` has the connections,
    and `stalled` those whose clients don't read what was written, longest stalled first. `ending` has
    those that gave way to others, and are open only until they have ended.
    """

    def __init__(
        self,
        handler,
        body_limit=4 << 20,
        idleMs=60000,
        slow_ms=10000,
        slow_write_ms=20000,
        note=lambda *_, **__: None,
        streams=(),
        drain=None,
        limits=None,
    ):
        self.handler, self.note, self.streams = handler, note, streams
        self.idleMs, self.slow_ms, self.slow_write_ms = idleMs, slow_ms, slow_write_ms
        self.open, self.is_stopped, self.server = {}, False, None
        self.stalled, self.ending = {}, {}
        self.drain = drain or Drain(UNLIMITED)
        self.head_limit = HEAD_LIMIT_BYTES
        self.limits = limits or ServerLimits()
        self.body_memory = MemoryPool(self.limits.body_memory_bytes)
        self.allow_bodies(body_limit)
        self.count = Counter()

    async def start(self, ip, port):
        """Listen on an address."""
        self.loop = asyncio.get_running_loop()
        self.server = await listen(
            lambda: HttpConnection(self),
            ip,
            port,
            self.limits.accepts_per_turn,
            RECEIVE_BUFFER_BYTES,
        )

    def allow_bodies(self, size: int):
        """Take bodies of up to a size, as far as there is memory for one of them."""
        self.body_limit = min(size, self.limits.largest_body_bytes)
        self.body_memory.limit_bytes = self.limits.memory_for_bodies_of(self.body_limit)

    def register(self, connection):
        """Add a new connection; where there are too many, end the one that has waited longest.

        `_find_to_evict` says which one that is; if there is none, it is the new one.
        """
        self.open[connection] = None
        if len(self.open) - len(self.ending) <= self.limits.connections:
            return
        self._evict(self._find_to_evict(connection) or connection)

    def _find_to_evict(self, newest):
        """Return the connection that gives way to the newest one, or None.

        It is one that has been silent for a while. Otherwise it is one with requests sent ahead, one
        that has just come, a stream on which nothing happens, or a response that isn't read.
        """
        others = [other for other in self.open if other is not newest and other not in self.ending]
        others.sort(key=lambda other: other.idle_since_s)
        conditions = [
            self._is_silent,
            HttpConnection.awaits_request,
            HttpConnection.is_waiting_stream,
            HttpConnection.is_stalled,
        ]
        if self._may_end_another():
            conditions.insert(1, HttpConnection.sends_ahead)
        for is_candidate in conditions:
            if candidate := next(filter(is_candidate, others), None):
                return candidate
        return None

    def _is_silent(self, connection) -> bool:
        """Return whether a connection has long had the time to send a request."""
        return connection.awaits_request() and self.loop.time() - connection.idle_since_s > SILENT_S

    def _may_end_another(self) -> bool:
        """Return whether one more connection may stay open until its answer is sent."""
        are_few = len(self.ending) < self.limits.ending_connections
        return are_few or self._find_answered() is not None

    def _find_answered(self):
        """Return the first of the ending connections that has nothing left to answer, or None."""
        return next(filter(HttpConnection.awaits_request, self.ending), None)

    def reserve(self, owner: ConnectionMemory, size: int) -> bool:
        """Reserve memory for the body or the response of a connection; return whether there is any.

        Clients that don't read their responses lose what is reserved for them to those that do.
        """
        memory = self.body_memory
        while not memory.reserve(owner, size):
            holders = (other for other in self.stalled if other.memory in memory.reserved)
            holder = next((other for other in holders if other.memory is not owner), None)
            if holder is None:
                return False
            holder.abort_stalled()
            holder.memory.release()
        return True

    def note_stalled(self, connection):
        """Add a connection whose client doesn't read; abort the longest stalled if there are too many."""
        self.stalled[connection] = None
        if len(self.stalled) > self.limits.stalled_connections:
            next(iter(self.stalled)).abort_stalled()

    def _evict(self, connection):
        """End a connection, which no longer counts as one of those that are open."""
        self.count["connectionsEvicted"] += 1
        if len(self.ending) >= self.limits.ending_connections:
            self._abort_answered()
        self.ending[connection] = None
        try:
            connection.evict()
        except (ConnectionError, h11.LocalProtocolError) as error:
            self.close_failed(connection, error)

    def _abort_answered(self):
        """Abort an ending connection that has nothing left to answer, if there is one."""
        answered = self._find_answered()
        if answered is not None:
            answered.abort(CutReason.CLIENT_STALLED)
            self.forget(answered)

    def forget(self, connection):
        """Remove a connection that has ended."""
        self.open.pop(connection, None)
        self.ending.pop(connection, None)

    def phase(self) -> Phase:
        """Return the phase, which decides about a request that is received now."""
        return self.drain.phase(self.loop.time())

    def keeps_connections(self) -> bool:
        """Return whether a connection may stay open after a response."""
        return not self.is_stopped and self.phase() in (Phase.SERVING, Phase.DRAINING)

    def close_resting(self):
        """Close the idle connections."""
        for connection in list(self.open):
            if connection.is_idle():
                connection.transport.close()

    def stop(self):
        """Accept no more connections, and close all on which no request is being handled."""
        self.is_stopped = True
        self.server.close()
        for connection in list(self.open):
            try:
                connection.stop()
            except (ConnectionError, h11.LocalProtocolError) as error:
                self.close_failed(connection, error)

    def close_failed(self, connection, error):
        """Abort a connection whose last response can't be written, so that the others get theirs."""
        if isinstance(error, ConnectionError):
            return connection.abort(CutReason.CLIENT_LEFT)
        self.count["faults.%d" % HANDLER_FAILED.code] += 1
        self.note("last answer failed", code=HANDLER_FAILED.code, reason=repr(error))
        connection.abort(CutReason.HANDLER_FAILED)

    async def finish(self, limit_s: float, fault: Fault):
        """Wait for the running handlers for up to `limit_s` seconds, then answer the rest by a fault."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.open and loop.time() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        for connection in list(self.open):
            try:
                await connection.end_handler(fault)
            except (ConnectionError, h11.LocalProtocolError) as error:
                self.close_failed(connection, error)
        if self.open:
            await asyncio.sleep(POLL_INTERVAL_S)

    def note_cut(self, exchange, reason: CutReason):
        """Count and log a fully read request whose connection ended without a complete response."""
        self.count[f"requestsCut.{reason.value}"] += 1
        if not reason.is_excused():
            self.count["invariant.requestsCut"] += 1
        if reason is not CutReason.CLIENT_LEFT:
            self.note(
                "request cut",
                request=exchange.name or exchange.path,
                reason=reason.value,
                phase=self.phase().value,
            )

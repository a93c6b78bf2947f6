"""Kept connections to workers, within what each worker accepts over all routers."""

import asyncio
import re

import h11

from swiftdeck.fault import NO_CONNECTION, WORKER_LOST, WORKER_UNREACHABLE, is_fault
from swiftdeck.http.client import HttpLink

KEEP_S, SPARE_S, FOREVER_S = 20.0, 1.0, 1e9
KEEP_ALIVE = re.compile(rb"timeout\s*=\s*(\d+)", re.I)


class WorkerConnection(HttpLink):
    """One connection to one life of a worker; bytes that come while nothing is asked spoil it."""

    def __init__(self, pool, addr):
        super().__init__()
        self.pool, self.worker_addr = pool, addr
        self.is_busy, self.is_reused, self.idle_since_s, self.keep_s, self.must_close = (
            True,
            False,
            0.0,
            KEEP_S,
            False,
        )
        self.asked = None

    def data_received(self, data):
        """Take bytes of the answer that is due; others spoil the connection."""
        if not self.is_busy:
            self.pool.telemetry.count["surplusBytes"] += 1
            return self.close()
        super().data_received(data)

    def connection_lost(self, error):
        """Count the connection out."""
        super().connection_lost(error)
        self.pool.lost(self)

    def hear(self, headers):
        """What the head of an answer tells of its connection: how long it is kept idle, and whether it may be kept.

        A worker that answers before it has the whole request may take the rest of it for another one.
        """
        if self.transport.get_write_buffer_size():
            self.must_close = True
        told = next((value for name, value in headers if name.lower() == b"keep-alive"), b"")
        found = KEEP_ALIVE.search(told)
        self.keep_s = min(KEEP_S, float(found.group(1))) if found else KEEP_S

    def send_request(self, method, target, headers, body):
        """Write one request; a fault when nothing was written."""
        if self.gone or self.transport.is_closing():
            return WORKER_LOST.with_reason("connection lost")
        try:
            if self.conn.our_state is h11.DONE:
                self.conn.start_next_cycle()
            self.asked = h11.Request(method=method, target=target, headers=headers)
            data = self.conn.send(self.asked)
            data += self.conn.send(h11.Data(data=body)) if body else b""
            data += self.conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            return WORKER_LOST.with_reason(str(error))
        self.transport.write(data)
        return None

    async def skip(self):
        """Read an answer that belongs to another request to its end, and get ready for the one that is due."""
        while True:
            event = await self.event()
            if is_fault(event):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
        rest, _ = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.conn.send(self.asked)
        self.conn.send(
            h11.EndOfMessage() if not self._body() else h11.Data(data=bytes(self._body()))
        )
        if self._body():
            self.conn.send(h11.EndOfMessage())
        if rest:
            self.conn.receive_data(rest)
        return None

    def _body(self):
        return next(
            (int(value) for name, value in self.asked.headers if name == b"content-length"), 0
        )

    def is_clean(self):
        """Whether another request may follow: both sides are done and nothing is left over."""
        return (
            not self.gone
            and not self.must_close
            and self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
            and not self.conn.trailing_data[0]
        )


class Pool:
    """Connections by the worker's address; a doubtful one is closed."""

    def __init__(self, telemetry, connect_ms=300):
        self.telemetry, self.connect_ms = telemetry, connect_ms
        self.idle, self.count, self.most = {}, {}, lambda worker: 64

    def has_idle(self, worker) -> bool:
        """Whether a kept connection to a worker can be used again."""
        now_s = asyncio.get_running_loop().time()
        kept = self.idle.get((worker.name, worker.listed.addr), ())
        return any(self._is_fresh(link, now_s) for link in kept)

    @staticmethod
    def _is_fresh(link, now_s):
        return (
            not link.gone
            and not link.transport.is_closing()
            and now_s - link.idle_since_s < link.keep_s - SPARE_S
        )

    async def take(self, worker, within_s=FOREVER_S, reuse=True):
        """A connection to a worker, kept or new, or a fault with which no byte was sent."""
        now_s, addr = asyncio.get_running_loop().time(), worker.listed.addr
        kept = self.idle.get((worker.name, addr), [])
        while kept:
            link = kept.pop()
            if reuse and self._is_fresh(link, now_s):
                link.is_busy = link.is_reused = True
                return link
            link.close()
        if self.count.get(addr, 0) >= self.most(worker):
            self.telemetry.count["connectionsCapped"] += 1
            return NO_CONNECTION
        return await self._open(worker.name, addr, min(self.connect_ms / 1000, within_s))

    async def _open(self, name, addr, within_s):
        ip, _, port = addr.rpartition(":")
        self.count[addr] = self.count.get(addr, 0) + 1
        link = WorkerConnection(self, addr)
        link.life = name
        try:
            async with asyncio.timeout(max(0.0, within_s)):
                await asyncio.get_running_loop().create_connection(lambda: link, ip, int(port))
            self.telemetry.count["connectionsOpened"] += 1
            return link
        except (OSError, TimeoutError) as error:
            return WORKER_UNREACHABLE.with_reason(f"{addr}: {error or 'no connection in time'}")
        finally:
            if link.transport is None:
                self.lost(link)

    def lost(self, link):
        """A connection is gone."""
        if not getattr(link, "is_counted_out", False):
            link.is_counted_out = True
            self.count[link.worker_addr] -= 1
        kept = self.idle.get((getattr(link, "life", ""), link.worker_addr))
        if kept and link in kept:
            kept.remove(link)

    def give(self, link):
        """Give a connection back; it is kept only if nothing on it is in doubt."""
        if not link.is_clean():
            return link.close()
        link.is_busy, link.idle_since_s = False, asyncio.get_running_loop().time()
        self.idle.setdefault((link.life, link.worker_addr), []).append(link)

    def follow(self, names):
        """Close what is kept to lives that are gone."""
        for key in [key for key in self.idle if key[0] not in names]:
            for link in self.idle.pop(key):
                link.close()

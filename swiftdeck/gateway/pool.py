"""Connection pool: persistent connections to workers, within the number that each worker accepts from all routers."""

import asyncio
import re

import h11

from swiftdeck.fault import NO_CONNECTION, WORKER_LOST, WORKER_UNREACHABLE, is_fault
from swiftdeck.http.client import HttpLink

IDLE_MOST_S, IDLE_MARGIN_S, UNLIMITED_S = 20.0, 1.0, 1e9
WRITE_BYTES = 65536
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.I)


class WorkerConnection(HttpLink):
    """A connection to one incarnation of a worker; it is closed when bytes arrive while no request is outstanding."""

    def __init__(self, pool, addr):
        super().__init__()
        self.pool, self.worker_addr = pool, addr
        self.is_busy, self.is_reused, self.idle_since_s, self.idle_most_s, self.must_close = (
            True,
            False,
            0.0,
            IDLE_MOST_S,
            False,
        )
        self.sent_request = None

    def data_received(self, data):
        """Pass on bytes of the expected answer; unexpected bytes close the connection."""
        if not self.is_busy:
            self.pool.telemetry.count["surplusBytes"] += 1
            return self.close()
        super().data_received(data)

    def connection_lost(self, error):
        """Remove the connection from the pool."""
        super().connection_lost(error)
        self.pool.on_connection_lost(self)

    def note_head(self, headers):
        """Read from the head of an answer how long the connection may stay idle, and whether it may be reused.

        It is not reused when the worker answers before it has read the whole request, because the worker could take the
        rest of the body for another request.
        """
        if self.transport.get_write_buffer_size():
            self.must_close = True
        header = next((value for name, value in headers if name.lower() == b"keep-alive"), b"")
        match = KEEP_ALIVE_TIMEOUT.search(header)
        self.idle_most_s = min(IDLE_MOST_S, float(match.group(1))) if match else IDLE_MOST_S

    def send_request(self, method, target, headers, body):
        """Write one request; return a fault when nothing was written, else None."""
        if self.gone or self.transport.is_closing():
            return WORKER_LOST.with_reason("connection lost")
        try:
            if self.conn.our_state is h11.DONE:
                self.conn.start_next_cycle()
            self.sent_request = h11.Request(method=method, target=target, headers=headers)
            head = self.conn.send(self.sent_request)
            framed_body = self.conn.send(h11.Data(data=body)) if body else b""
            framed_body += self.conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            return WORKER_LOST.with_reason(str(error))
        self._write_request(head, framed_body)
        return None

    def _write_request(self, head, framed_body):
        """Write a small request at once, and a large body in pieces, so that no whole copy is made of it."""
        if len(framed_body) <= WRITE_BYTES:
            return self.transport.write(head + framed_body)
        self.transport.write(head)
        pieces = memoryview(framed_body)
        for offset in range(0, len(pieces), WRITE_BYTES):
            self.transport.write(pieces[offset : offset + WRITE_BYTES])

    async def skip_response(self):
        """Read the answer to an earlier request to its end and prepare for the one to this request.

        Returns a fault when the connection fails, else None.
        """
        while True:
            event = await self.event()
            if is_fault(event):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
        rest, _ = self.conn.trailing_data
        self.conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self.conn.send(self.sent_request)
        self.conn.send(
            h11.EndOfMessage()
            if not self._body_length()
            else h11.Data(data=bytes(self._body_length()))
        )
        if self._body_length():
            self.conn.send(h11.EndOfMessage())
        if rest:
            self.conn.receive_data(rest)
        return None

    def _body_length(self):
        return next(
            (int(value) for name, value in self.sent_request.headers if name == b"content-length"),
            0,
        )

    def is_clean(self):
        """Return whether the connection can be reused: both sides are done and no bytes are left unread."""
        return (
            not self.gone
            and not self.must_close
            and self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
            and not self.conn.trailing_data[0]
        )


class Pool:
    """Idle connections by the worker's id and address, and the number of open ones by address."""

    def __init__(self, telemetry, connect_ms=300):
        self.telemetry, self.connect_ms = telemetry, connect_ms
        self.idle, self.count, self.connection_limit = {}, {}, lambda worker: 64

    def has_idle(self, worker) -> bool:
        """Return whether an idle connection to a worker can be reused."""
        now_s = asyncio.get_running_loop().time()
        idle_links = self.idle.get((worker.name, worker.listed.addr), ())
        return any(self._is_reusable(link, now_s) for link in idle_links)

    @staticmethod
    def _is_reusable(link, now_s):
        return (
            not link.gone
            and not link.transport.is_closing()
            and now_s - link.idle_since_s < link.idle_most_s - IDLE_MARGIN_S
        )

    async def acquire(self, worker, within_s=UNLIMITED_S, reuse=True):
        """Return an idle or a new connection to a worker, or a fault; no request byte was sent in that case."""
        now_s, addr = asyncio.get_running_loop().time(), worker.listed.addr
        idle_links = self.idle.get((worker.name, addr), [])
        while idle_links:
            link = idle_links.pop()
            if reuse and self._is_reusable(link, now_s):
                link.is_busy = link.is_reused = True
                return link
            link.close()
        if self.count.get(addr, 0) >= self.connection_limit(worker):
            self.telemetry.count["connectionsCapped"] += 1
            return NO_CONNECTION
        return await self._open(worker.name, addr, min(self.connect_ms / 1000, within_s))

    async def _open(self, name, addr, within_s):
        ip, _, port = addr.rpartition(":")
        self.count[addr] = self.count.get(addr, 0) + 1
        link = WorkerConnection(self, addr)
        link.worker_name = name
        try:
            async with asyncio.timeout(max(0.0, within_s)):
                await asyncio.get_running_loop().create_connection(lambda: link, ip, int(port))
            self.telemetry.count["connectionsOpened"] += 1
            return link
        except (OSError, TimeoutError) as error:
            return WORKER_UNREACHABLE.with_reason(f"{addr}: {error or 'no connection in time'}")
        finally:
            if link.transport is None:
                self.on_connection_lost(link)

    def on_connection_lost(self, link):
        """Remove a closed connection from the count and from the idle ones; repeated calls are ignored."""
        if not getattr(link, "is_counted_out", False):
            link.is_counted_out = True
            self.count[link.worker_addr] -= 1
        idle_links = self.idle.get((getattr(link, "worker_name", ""), link.worker_addr))
        if idle_links and link in idle_links:
            idle_links.remove(link)

    def release(self, link):
        """Return a connection to the pool; it is closed unless it is clean."""
        if not link.is_clean():
            return link.close()
        link.is_busy, link.idle_since_s = False, asyncio.get_running_loop().time()
        self.idle.setdefault((link.worker_name, link.worker_addr), []).append(link)

    def close_except(self, worker_names):
        """Close the idle connections to all workers but those named."""
        for key in [key for key in self.idle if key[0] not in worker_names]:
            for link in self.idle.pop(key):
                link.close()

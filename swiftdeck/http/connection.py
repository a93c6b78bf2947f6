"""A connection of an HTTP client, as an asyncio protocol over h11."""

import asyncio

import h11
import msgspec

from swiftdeck.fault import (
    BAD_REQUEST,
    HANDLER_FAILED,
    ROUTER_STOPPING,
    SLOW_REQUEST,
    TOO_MANY_CONNECTIONS,
    is_fault,
)
from swiftdeck.http.connection_memory import ConnectionMemory
from swiftdeck.http.cuts import CutReason
from swiftdeck.http.exchange import HEAD, HttpExchange, retry_after_headers
from swiftdeck.http.request_parser import RequestParser, announced_length
from swiftdeck.http.reset import reset
from swiftdeck.runtime.transports import limit_reads

HEAD_LIMIT_BYTES = 32768
BACKLOG_LIMIT_BYTES = HEAD_LIMIT_BYTES
"""Unprocessed bytes behind the current request above which reading pauses."""
QUEUED_PIECES_LIMIT, QUEUED_BYTES_LIMIT = 64, 65536
"""Unprocessed pieces of a streamed body, and their bytes, above which reading pauses."""
EVENTS_PER_TURN = 64
"""How many parts of requests, such as chunks, are processed before other connections get a turn."""
DISCARD_S = 1.0
"""How long the rest of a refused request is still read, so that its client gets the answer."""
LATE_END_S = 0.5
"""Work that continues for longer than this after its client has left counts as late."""


class HttpConnection(asyncio.Protocol):
    """A connection of a client.

    `task` runs the handler of the current request, and `idle_timer` ends a connection that is too
    slow. `rejecting` is set once nothing more is answered, such as after a request that can't be
    served; what still comes is dropped. `is_last_request` ends the connection after the current one.
    """

    def __init__(self, server):
        self.server = server
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=server.head_limit)
        self.parser, self.memory = RequestParser(self.conn), ConnectionMemory(server)
        self.loop = asyncio.get_running_loop()
        self.request, self.body, self.method = None, bytearray(), b""
        self.discarded_bytes = self.queued_bytes = 0
        self.task = self.idle_timer = self.transport = None
        self.write_resumed = self.body_queue = self.exchange = self.cut_reason = None
        self.gone = self.rejecting = self.is_continuing = False
        self.is_last_request = False
        self.client_ended_s = None

    def connection_made(self, transport):
        self.transport = transport
        limit_reads(transport)
        self.start_idle_timer(self.server.idleMs)
        self.server.register(self)

    def start_idle_timer(self, ms):
        """Start the timer that ends a connection that is too slow."""
        self.idle_since_s = self.loop.time()
        self.set_idle_timer(ms / 1000)

    def set_idle_timer(self, seconds):
        """Replace the timer by one that ends after some seconds."""
        if self.idle_timer:
            self.idle_timer.cancel()
        self.idle_timer = self.loop.call_later(seconds, self.on_idle_timeout)

    def on_idle_timeout(self):
        """Reject a request that arrives too slowly, or close an idle connection.

        The idle limit may have been raised since the timer was set; the current one applies.
        """
        if self.transport.is_closing():
            return self.transport.abort()
        if self.rejecting:
            return self.close()
        if self.task is not None:
            return
        if not self.is_idle():
            return self.reject(SLOW_REQUEST)
        left_s = self.idle_since_s + self.server.idleMs / 1000 - self.loop.time()
        if left_s > 0:
            self.set_idle_timer(left_s)
        else:
            self.close()

    def close(self):
        """Close the connection once all is sent, or abort it if the client doesn't read that in time."""
        self.transport.close()
        self.limit_closing()

    def limit_closing(self):
        """Abort the connection, which is closing, if its client doesn't read what was written."""
        if self.transport.get_write_buffer_size():
            self.set_idle_timer(self.server.slow_write_ms / 1000)

    def is_idle(self) -> bool:
        """Return whether no byte of an unanswered request has been received."""
        return self.task is None and self.request is None and not self.conn.trailing_data[0]

    def awaits_request(self) -> bool:
        """Return whether no request is being worked on: none has come, or not the whole of it."""
        return self.task is None

    def is_waiting_stream(self) -> bool:
        """Return whether a handler waits for more of a streamed body, or for events to send."""
        exchange = self.exchange
        return exchange is not None and (exchange.awaits_body or exchange.awaits_events)

    def sends_ahead(self) -> bool:
        """Return whether further requests have come behind the one that is being worked on."""
        is_whole = self.task is not None and self.conn.their_state is h11.DONE
        return is_whole and bool(self.conn.trailing_data[0])

    def abort_stalled(self):
        """Abort the connection of a client that doesn't read its response."""
        self.server.count["slowCallers"] += 1
        self.abort(CutReason.CLIENT_STALLED)

    def is_stalled(self) -> bool:
        """Return whether the client is too slow to read what was written."""
        return self.write_resumed is not None

    def evict(self):
        """End the connection in favour of another one, with a fault for a request not yet run.

        A request that is being worked on is still answered; those behind it never run.
        """
        if self.is_stalled() or self.rejecting or self.transport.is_closing():
            self.abort(CutReason.CLIENT_STALLED)
        elif self.is_idle():
            self.close()
        elif self.task is None:
            self.reject(TOO_MANY_CONNECTIONS)
            self.close()
        elif self.body_queue is not None:
            self.end_body()
        elif self.is_waiting_stream():
            self.abort(CutReason.CLIENT_FAULT)
        elif self.sends_ahead():
            self.is_last_request = True
        else:
            self.close()

    def end_body(self):
        """Let the handler of a streamed body finish with what it has received."""
        if self.body_queue is not None:
            self.body_queue.put_nowait(None)
            self.body_queue = None

    def closes_after_response(self) -> bool:
        """Return whether the response that begins now is the last.

        It is when the server stops and no byte of a further request has been received, or when the
        connection gives way to another one.
        """
        if self.is_last_request:
            return True
        is_stopping = self.server.is_stopped or self.server.drain.has_begun()
        return is_stopping and not self.conn.trailing_data[0]

    def data_received(self, data):
        if self.rejecting:
            return self.discard(data)
        if self.request is None and self.task is None and not self.conn.trailing_data[0]:
            self.start_idle_timer(self.server.slow_ms)
        self.receive(data)
        self.adjust_reading()

    def discard(self, data):
        """Drop bytes of a refused request; close the connection after as many as a body may have."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > self.server.body_limit:
            self.close()

    def adjust_reading(self):
        """Pause reading while enough is waiting to be processed, else resume it."""
        if self._has_backlog():
            self.transport.pause_reading()
        elif not self.transport.is_reading():
            self.transport.resume_reading()

    def _has_backlog(self) -> bool:
        """Return whether what has come is to be processed before more is read."""
        if self.is_continuing:
            return True
        if self.body_queue is not None:
            return (
                self.body_queue.qsize() > QUEUED_PIECES_LIMIT
                or self.queued_bytes > QUEUED_BYTES_LIMIT
            )
        return self.task is not None and len(self.conn.trailing_data[0]) > BACKLOG_LIMIT_BYTES

    def receive(self, data):
        """Pass received bytes, or none at the end of the stream, to h11 and process its events."""
        self.parser.receive(data)
        self.process_events()

    def process_events(self):
        """Process the events that h11 has, until a request is being handled; reject a malformed one.

        After EVENTS_PER_TURN of them other connections get their turn.
        """
        try:
            self._process_turn()
        except h11.RemoteProtocolError as error:
            self.reject(BAD_REQUEST.with_reason(str(error)), error.error_status_hint)

    def _process_turn(self):
        for _ in range(EVENTS_PER_TURN):
            if self.rejecting or self.task is not None and self.body_queue is None:
                return
            if not self.process_event(self.parser.next_event()):
                return
        if not self.is_continuing:
            self.is_continuing = True
            self.loop.call_soon(self.continue_events)

    def continue_events(self):
        """Process further events after other connections had their turn."""
        self.is_continuing = False
        if self.is_ending():
            return
        self.process_events()
        self.adjust_reading()

    def process_event(self, event) -> bool:
        """Process one event of h11; return whether there may be another one now."""
        if self.body_queue is not None:
            return self.queue_body(event)
        if isinstance(event, h11.Request):
            return self.begin_request(event)
        if isinstance(event, h11.Data):
            self.body += event.data
            return self.admit_body(len(self.body))
        if isinstance(event, h11.EndOfMessage):
            self.end_request()
            return True
        if isinstance(event, h11.ConnectionClosed):
            self.close()
        return False

    def begin_request(self, request) -> bool:
        """Begin a request after its head; return whether its body may follow."""
        self.method = request.method
        if request.target.partition(b"?")[0] in self.server.streams:
            self.idle_timer.cancel()
            self.body_queue, self.queued_bytes = asyncio.Queue(), 0
            self.task = self.loop.create_task(self.serve(request, b"", self.body_queue))
            return True
        self.request, self.body = request, bytearray()
        if not self.admit_body(announced_length(request)):
            return False
        if self.conn.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def queue_body(self, event) -> bool:
        """Pass on a piece of a streamed body, or its end; return whether it was one of them."""
        if isinstance(event, h11.Data):
            self.queued_bytes += len(event.data)
            self.body_queue.put_nowait(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.end_body()
        else:
            return False
        return True

    def end_request(self):
        """Start the handler of a request whose end has come."""
        self.idle_timer.cancel()
        request, self.request = self.request, None
        body, self.body = bytes(self.body), bytearray()
        self.task = self.loop.create_task(self.serve(request, body))

    def admit_body(self, size: int) -> bool:
        """Refuse the request if there is no room for a body of some size; return whether there is."""
        fault = self.memory.reserve_body(size)
        if fault is not None:
            self.reject(fault)
        return fault is None

    async def serve(self, request, body, body_queue=None):
        """Run the handler on a request, then continue with the next one."""
        exchange = self.exchange = None
        try:
            try:
                exchange = self.exchange = HttpExchange(self, request, body)
            except ValueError as error:
                return self.reject(
                    BAD_REQUEST.with_reason(f"target or headers can't be read: {error}")
                )
            exchange.body_queue = body_queue
            await asyncio.sleep(0)  # lets an end of the stream right after the request be noticed
            fault = await self.server.handler(exchange)
            if is_fault(fault):
                await exchange.give_fault(fault)
            await self.writable()
        except asyncio.CancelledError:
            if exchange is None or not exchange.finished:
                self.abort(CutReason.UNANSWERED)
            return
        except Exception as error:
            if isinstance(error, ConnectionError) and self.is_ending():
                self.abort(CutReason.CLIENT_LEFT)
            else:
                await self.handle_failure(exchange, error)
        finally:
            self.task = self.body_queue = None
            self._forget_exchange(exchange)
            self.memory.release()
            self._note_late_end()
        self.next_request()

    def _forget_exchange(self, exchange):
        """Break the references that would keep a body until the garbage collector runs."""
        if exchange is not None:
            exchange.on_client_end = None
            if exchange.finished:
                self.exchange = None

    def _note_client_end(self, how: str):
        """Count a client that ends its side or the connection during its request, and tell the handler.

        `how` is the name of the counter: "endOfStream" or "lost".
        """
        if self.task is not None and self.client_ended_s is None:
            self.client_ended_s = self.loop.time()
            self.server.count[f"clientEnded.{how}"] += 1
            exchange = self.exchange
            if exchange is not None and exchange.on_client_end and not exchange.finished:
                exchange.on_client_end()

    def _note_late_end(self):
        """Count work that continued for too long after its client had ended the connection."""
        if self.client_ended_s is None:
            return
        overrun_s = self.loop.time() - self.client_ended_s
        if overrun_s > LATE_END_S:
            count = self.server.count
            count["workedOnForClientsGone"] += 1
            count["workedOnMostMs"] = max(count["workedOnMostMs"], int(overrun_s * 1000))

    def is_ending(self) -> bool:
        """Return whether nothing more can be written: the client left or the connection is closing."""
        return self.gone or self.transport.is_closing()

    async def handle_failure(self, exchange, error):
        """End an exchange whose handler failed, by a fault unless a response has begun."""
        self.server.count["faults.%d" % HANDLER_FAILED.code] += 1
        self.server.note("exchange failed", code=HANDLER_FAILED.code, reason=repr(error))
        if exchange is None or exchange.begun:
            return self.abort(CutReason.HANDLER_FAILED)
        try:
            await exchange.give_fault(HANDLER_FAILED)
        except ConnectionError:
            self.abort(CutReason.CLIENT_LEFT)

    def next_request(self):
        """Continue with the next request, or close a connection that isn't kept."""
        if self.gone or self.rejecting:
            return
        if self._may_continue():
            return self._start_next_request()
        self.cut_reason = self.cut_reason or CutReason.UNANSWERED
        if self.is_last_request:
            self.close_discarding()
        else:
            self.close()

    def _may_continue(self) -> bool:
        """Return whether a further request may follow the one that has ended."""
        is_complete = self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE
        if self.is_last_request or not is_complete:
            return False
        return self.server.keeps_connections() or bool(self.conn.trailing_data[0])

    def _start_next_request(self):
        self.parser.start_next_request()
        self.method, self.exchange = b"", None
        self.start_idle_timer(self.server.idleMs)
        self.process_events()
        self.adjust_reading()
        if self.server.is_stopped and not self.rejecting:
            self.stop()

    def stop(self):
        """Close the connection unless a request is being handled.

        A partly received request gets a fault that guarantees that it has not run.
        """
        if self.is_idle() or self.rejecting:
            self.close()
        elif self.task is None and not self.transport.is_closing():
            self.reject(ROUTER_STOPPING)
        else:
            self.end_body()

    async def end_handler(self, fault):
        """Send a fault in place of a handler that has not ended, and cancel it.

        Where its response has begun, the connection can only be aborted. A handler that was not yet
        started never is, and its request has not run.
        """
        if self.task is None:
            return
        exchange, task = self.exchange, self.task
        if exchange is None:
            task.cancel()
            self.task = None
            return self.reject(ROUTER_STOPPING)
        if exchange.begun:
            stalled = self.is_stalled()
            return self.abort(CutReason.CLIENT_STALLED if stalled else CutReason.UNANSWERED)
        await exchange.give_fault(fault)
        task.cancel()
        self.close()

    def reject(self, fault, status=None):
        """Answer a request that can't be served by a fault, and close the connection."""
        self.rejecting = True
        self.body = bytearray()
        self.memory.release()
        self.cut_reason = self.cut_reason or CutReason.CLIENT_FAULT
        self.server.count[f"faults.{fault.code}"] += 1
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            data = msgspec.json.encode(fault.as_body())
            self.send(
                h11.Response(
                    status_code=status if status and status >= 400 else fault.status,
                    headers=[
                        ("content-type", "application/json"),
                        ("content-length", str(len(data))),
                        ("connection", "close"),
                        *retry_after_headers(fault),
                    ],
                )
            )
            if self.method != HEAD.encode():
                self.send(h11.Data(data=data))
            self.send(h11.EndOfMessage())
        if self.conn.their_state is h11.SEND_BODY:
            self.close_discarding()
        else:
            self.close()

    def close_discarding(self):
        """Close the connection after what still comes was read and dropped for a while.

        A connection that is closed with unread bytes is reset, and its client may lose the answer.
        """
        self.rejecting = True
        if self.transport.is_closing():
            return self.close()
        self.transport.write_eof()
        self.set_idle_timer(DISCARD_S)
        self.transport.resume_reading()

    def send(self, event):
        if self.gone:
            raise ConnectionResetError("client is gone")
        data = self.conn.send(event)
        if data:
            self.transport.write(data)

    async def writable(self):
        """Wait until the client reads more; abort the connection of one that doesn't in time."""
        if self.write_resumed:
            try:
                async with asyncio.timeout(self.server.slow_write_ms / 1000):
                    await self.write_resumed
            except TimeoutError:
                self.abort_stalled()
                raise ConnectionResetError("client reads nothing")

    def pause_writing(self):
        self.write_resumed = self.loop.create_future()
        self.server.note_stalled(self)

    def resume_writing(self):
        self.server.stalled.pop(self, None)
        if self.write_resumed and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.write_resumed = None

    def eof_received(self):
        """Handle the end of the client's side; the handler decides on the response to a whole request."""
        if not self.rejecting:
            self.receive(b"")
        self._note_client_end("endOfStream")
        stays_open = self.task is not None and not self.rejecting
        if not stays_open:
            self.limit_closing()
        return stays_open

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Abort the connection; reset it for HTTP/1.0, where its end marks the end of a response."""
        if self.transport and not self.gone:
            self.cut_reason = self.cut_reason or reason
            if self.conn.their_http_version == b"1.0":
                reset(self.transport)
            else:
                self.transport.abort()

    def _drop_received(self):
        """Drop what was received, which would otherwise stay until the garbage collector runs."""
        self.request, self.body = None, bytearray()
        self.conn = h11.Connection(h11.SERVER)
        self.parser = RequestParser(self.conn)

    def connection_lost(self, error):
        self.gone = True
        if self.cut_reason is None:
            self._note_client_end("lost")
        if self.exchange is not None and not self.exchange.finished:
            self.server.note_cut(self.exchange, self.cut_reason or CutReason.CLIENT_LEFT)
        self.exchange = None
        self.server.forget(self)
        self._drop_received()
        self.memory.release()
        self.resume_writing()
        if self.idle_timer:
            self.idle_timer.cancel()
        if self.task:
            self.task.cancel()

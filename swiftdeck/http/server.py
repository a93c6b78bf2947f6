"""HTTP/1.1 server for clients and operators, as an asyncio protocol over h11."""

import asyncio
import math
import re
from collections import Counter
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from swiftdeck.fault import (
    BAD_REQUEST,
    HANDLER_FAILED,
    ROUTER_STOPPING,
    SLOW_REQUEST,
    TOO_LARGE,
    Fault,
    is_fault,
)
from swiftdeck.http.cuts import CutReason
from swiftdeck.http.drain import Drain, DrainTimes, Phase
from swiftdeck.http.reset import reset

HEAD_LIMIT_BYTES = 32768
POLL_INTERVAL_S = 0.01
PROCESSING = 102
"""The status of the informational response that a request is being worked on."""
HEAD = "HEAD"
"""The method whose responses have no body."""
UNLIMITED = DrainTimes(math.inf, math.inf)
LATE_END_S = 0.5
"""Work that continues for longer than this after its client has left counts as late."""
HEAD_END, CHUNKS_END = re.compile(rb"\n\r?\n"), b"\r\n\r\n"


def find_ambiguity(head: bytes):
    """Return why two parsers may disagree on where the request of a complete head ends, or None.

    h11 accepts bare line feeds and folded lines, as the standard permits. A proxy that doesn't
    would see another request in the same bytes (request smuggling).
    """
    if head.count(b"\n") != head.count(b"\r\n"):
        return "line ends without CR LF"
    if b"\n " in head or b"\n\t" in head:
        return "folded header line"
    return None


def retry_after_headers(fault: Fault) -> list:
    """Return the Retry-After header of a fault with a retry time, else no header."""
    return [("retry-after", str(max(1, -(-fault.retry_ms // 1000))))] if fault.retry_ms else []


class HttpExchange:
    """A request and its response.

    `begun` and `finished` refer to the response. `body_queue` has the pieces of a streamed body.
    """

    def __init__(self, conversation, request, body):
        self.conversation = conversation
        self.target, self.raw_method, self.raw_headers = (
            request.target,
            request.method,
            request.headers.raw_items(),
        )
        self.method = request.method.decode("ascii")
        target = urlsplit(request.target.decode("ascii"))
        self.path = unquote(target.path)
        self.query = dict(parse_qsl(target.query))
        self.headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in request.headers
        }
        self.body = body
        self.begun = self.finished = False
        self.body_queue, self.name = None, ""
        self.on_client_end = None

    def watch_client(self, on_client_end):
        """Call a function once the client ends its side of the connection before the response ends.

        A client that closed the connection can't be distinguished from one that only sends no more,
        until something is written to it. A lost connection cancels the handler instead.
        """
        self.on_client_end = on_client_end
        if self.has_client_ended():
            self.conversation.loop.call_soon(on_client_end)

    def has_client_ended(self, for_s: float = 0.0) -> bool:
        """Return whether the client ended its side of the connection at least `for_s` seconds ago."""
        ended_s = self.conversation.client_ended_s
        return ended_s is not None and self.conversation.loop.time() - ended_s >= for_s

    def show_life(self):
        """Send an informational response, which a client that closed the connection resets."""
        if not self.begun and not self.conversation.is_ending():
            self.conversation.send(h11.InformationalResponse(status_code=PROCESSING, headers=[]))

    async def lines(self):
        """Yield the lines of a streamed body; a line over the body limit ends them."""
        rest = b""
        while (data := await self.body_queue.get()) is not None:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                yield line
            if len(rest) > self.conversation.server.body_limit:
                return
            self.conversation.transport.resume_reading()
        if rest:
            yield rest

    def json(self):
        """Return the body decoded from JSON, or a fault."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_REQUEST.with_reason(f"body is not JSON: {error}")

    async def send_json(self, status, body, headers=()):
        """Send a whole response with a JSON body, unless a response has begun."""
        if self.begun:
            return
        data = msgspec.json.encode(body) + b"\n"
        self.begin(
            status,
            [("content-type", "application/json"), ("content-length", str(len(data))), *headers],
        )
        if self.method != HEAD:
            await self.send_chunk(data)
        self.finish()

    async def send_response(self, status, headers, body: bytes):
        """Send a whole response with a body of bytes, unless a response has begun."""
        if not self.begun:
            self.begin(status, [*headers, ("content-length", str(len(body)))])
            if body and status != 204 and self.method != HEAD:
                await self.send_chunk(body)
            self.finish()

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Abort the connection, so that a partial response can't look complete."""
        self.conversation.abort(reason)

    async def give_fault(self, fault: Fault, headers=(), **more):
        """Send a fault as the response, with Retry-After where it has a retry time."""
        await self.send_json(
            fault.status, fault.as_body() | more, [*retry_after_headers(fault), *headers]
        )

    def begin(self, status, headers):
        """Send the head of a response; the pieces of its body follow."""
        self.begun = True
        close = [("Connection", "close")] if self.conversation.closes_after_response() else []
        self.conversation.send(h11.Response(status_code=status, headers=[*headers, *close]))

    async def send_chunk(self, data: bytes):
        """Send a piece of the body; wait while the client reads too slowly."""
        self.conversation.send(h11.Data(data=data))
        await self.conversation.writable()

    def finish(self):
        """End the response."""
        if not self.finished:
            self.finished = True
            self.conversation.send(h11.EndOfMessage())


class HttpConnection(asyncio.Protocol):
    """A connection of a client.

    `task` runs the handler of the current request, and `idle_timer` ends a connection that is too
    slow. `rejecting` is set once a request that can't be served was answered by a fault.
    `previous_tail` and `latest_data` are the last bytes received, to check the end of chunks.
    """

    def __init__(self, server):
        self.server = server
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=server.head_limit)
        self.loop = asyncio.get_running_loop()
        self.request, self.body, self.body_size, self.method = None, [], 0, b""
        self.task = self.idle_timer = self.transport = None
        self.write_resumed = self.body_queue = self.exchange = self.cut_reason = None
        self.gone = self.rejecting = self.is_chunked = False
        self.client_ended_s = None
        self.previous_tail = self.latest_data = b""

    def connection_made(self, transport):
        self.transport = transport
        self.server.open[self] = None
        self.start_idle_timer(self.server.idleMs)

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
        if self.task is not None:
            return
        if not self.is_idle():
            return self.reject(SLOW_REQUEST)
        left_s = self.idle_since_s + self.server.idleMs / 1000 - self.loop.time()
        if left_s > 0:
            self.set_idle_timer(left_s)
        else:
            self.transport.close()

    def is_idle(self) -> bool:
        """Return whether no byte of an unanswered request has been received."""
        return self.task is None and self.request is None and not self.conn.trailing_data[0]

    def closes_after_response(self) -> bool:
        """Return whether the response that begins now is the last.

        It is when the server stops and no byte of a further request has been received.
        """
        is_stopping = self.server.is_stopped or self.server.drain.has_begun()
        return is_stopping and not self.conn.trailing_data[0]

    def data_received(self, data):
        if self.rejecting:
            return
        if self.request is None and self.task is None and not self.conn.trailing_data[0]:
            self.start_idle_timer(self.server.slow_ms)
        self.receive(data)
        if (
            self.body_queue
            and self.body_queue.qsize() > 64
            or self.task
            and len(self.conn.trailing_data[0]) > HEAD_LIMIT_BYTES
        ):
            self.transport.pause_reading()

    def receive(self, data):
        """Pass received bytes, or none at the end of the stream, to h11 and process its events."""
        self.previous_tail, self.latest_data = (
            (self.previous_tail + self.latest_data[-len(CHUNKS_END) :])[-len(CHUNKS_END) :],
            data,
        )
        try:
            self.conn.receive_data(data)
            self.process_events()
        except h11.RemoteProtocolError as error:
            self.reject(BAD_REQUEST.with_reason(str(error)), error.error_status_hint)

    def process_events(self):
        """Process the events that h11 has, until a request is being handled."""
        while (self.task is None or self.body_queue is not None) and not self.rejecting:
            event = self.next_event()
            if isinstance(event, h11.Request):
                self.method = event.method
            if self.body_queue is not None:
                if isinstance(event, h11.Data):
                    self.body_queue.put_nowait(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self.body_queue.put_nowait(None)
                    self.body_queue = None
                else:
                    return
            elif (
                isinstance(event, h11.Request)
                and event.target.partition(b"?")[0] in self.server.streams
            ):
                self.idle_timer.cancel()
                self.body_queue = asyncio.Queue()
                self.task = self.loop.create_task(self.serve(event, b"", self.body_queue))
            elif isinstance(event, h11.Request):
                self.request, self.body, self.body_size = event, [], 0
                if self.conn.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > self.server.body_limit:
                    return self.reject(
                        TOO_LARGE.with_reason(f"body is over {self.server.body_limit} bytes")
                    )
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.idle_timer.cancel()
                request, self.request = self.request, None
                self.task = self.loop.create_task(self.serve(request, b"".join(self.body)))
                self.body = []
            elif isinstance(event, h11.ConnectionClosed):
                return self.transport.close()
            else:
                return

    def next_event(self):
        """Return the next event of h11; reject ambiguous ends of requests, which h11 accepts."""
        raw = self.conn.trailing_data[0] if self.conn.their_state is h11.IDLE else b""
        match = HEAD_END.search(raw)
        head = raw[: match.end()] if match else b""
        if ambiguity := find_ambiguity(head):
            raise h11.RemoteProtocolError(ambiguity)
        event = self.conn.next_event()
        if head and b"transfer-encoding" in head.lower() and isinstance(event, h11.Request):
            names = [name for name, _ in event.headers]
            self.is_chunked = b"transfer-encoding" in names
            if self.is_chunked and b"content-length" in names:
                raise h11.RemoteProtocolError("both Content-Length and Transfer-Encoding")
        elif self.is_chunked and isinstance(event, h11.EndOfMessage):
            self.is_chunked = False
            received = self.previous_tail + self.latest_data
            if not received[: len(received) - len(self.conn.trailing_data[0])].endswith(CHUNKS_END):
                raise h11.RemoteProtocolError("chunks end without CR LF")
        return event

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
            self._note_late_end()
        self.next_request()

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
        if (
            self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
            and (self.server.keeps_connections() or self.conn.trailing_data[0])
        ):
            self.conn.start_next_cycle()
            self.method = b""
            self.previous_tail, self.latest_data = b"", self.conn.trailing_data[0]
            self.start_idle_timer(self.server.idleMs)
            self.transport.resume_reading()
            try:
                self.process_events()
            except h11.RemoteProtocolError as error:
                self.reject(BAD_REQUEST.with_reason(str(error)), error.error_status_hint)
            if self.server.is_stopped and not self.rejecting:
                self.stop()
        else:
            self.cut_reason = self.cut_reason or CutReason.UNANSWERED
            self.transport.close()

    def stop(self):
        """Close the connection unless a request is being handled.

        A partly received request gets a fault that guarantees that it has not run.
        """
        if self.is_idle():
            self.transport.close()
        elif self.task is None and not self.transport.is_closing():
            self.reject(ROUTER_STOPPING)
        elif self.body_queue is not None:
            self.body_queue.put_nowait(None)
            self.body_queue = None

    async def end_handler(self, fault):
        """Send a fault in place of a handler that has not ended, and cancel it.

        Where its response has begun, the connection can only be aborted.
        """
        if self.task is None:
            return
        exchange, task = self.exchange, self.task
        if exchange is None or exchange.begun:
            return self.abort(CutReason.UNANSWERED)
        await exchange.give_fault(fault)
        task.cancel()
        self.transport.close()

    def reject(self, fault, status=None):
        """Answer a request that can't be served by a fault, and close the connection."""
        self.rejecting = True
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
        self.transport.close()

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
                self.server.count["slowCallers"] += 1
                self.abort(CutReason.CLIENT_STALLED)
                raise ConnectionResetError("client reads nothing")

    def pause_writing(self):
        self.write_resumed = self.loop.create_future()

    def resume_writing(self):
        if self.write_resumed and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.write_resumed = None

    def eof_received(self):
        """Handle the end of the client's side; the handler decides on the response to a whole request."""
        if not self.rejecting:
            self.receive(b"")
        self._note_client_end("endOfStream")
        return self.task is not None and not self.rejecting

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Abort the connection; reset it for HTTP/1.0, where its end marks the end of a response."""
        if self.transport and not self.gone:
            self.cut_reason = self.cut_reason or reason
            if self.conn.their_http_version == b"1.0":
                reset(self.transport)
            else:
                self.transport.abort()

    def connection_lost(self, error):
        self.gone = True
        if self.cut_reason is None:
            self._note_client_end("lost")
        if self.exchange is not None and not self.exchange.finished:
            self.server.note_cut(self.exchange, self.cut_reason or CutReason.CLIENT_LEFT)
        self.server.open.pop(self, None)
        self.resume_writing()
        if self.idle_timer:
            self.idle_timer.cancel()
        if self.task:
            self.task.cancel()


class HttpServer:
    """Listens for clients and passes each exchange to one handler.

    `streams` has the paths whose handlers read the body as it arrives.
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
    ):
        self.handler, self.body_limit, self.note, self.streams = handler, body_limit, note, streams
        self.idleMs, self.slow_ms, self.slow_write_ms = idleMs, slow_ms, slow_write_ms
        self.open, self.is_stopped, self.server = {}, False, None
        self.drain = drain or Drain(UNLIMITED)
        self.head_limit = HEAD_LIMIT_BYTES
        self.count = Counter()

    async def start(self, ip, port):
        """Listen on an address."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(lambda: HttpConnection(self), ip, port)

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

"""HTTP/1.1 towards callers and operators, as an asyncio protocol over h11."""

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

HEAD_LIMIT = 32768
LOOK_S = 0.01
PROCESSING = 102
"""The status of an informational response: a request is being worked on."""
HEAD = "HEAD"
"""The method whose answers have no body."""
FOREVER = DrainTimes(math.inf, math.inf)
LATE_END_S = 0.5
"""Work that goes on for longer than this after its client has ended the connection counts as late."""
HEAD_END, CHUNKS_END = re.compile(rb"\n\r?\n"), b"\r\n\r\n"


def head_fault(head: bytes):
    """What in the bytes of a whole head lets two readers disagree on where its request ends, or None.

    The parser reads on over bare line feeds and folded lines, as it may; a reader that does not would see another
    request in the same bytes.
    """
    if head.count(b"\n") != head.count(b"\r\n"):
        return "line ends without CR LF"
    if b"\n " in head or b"\n\t" in head:
        return "folded header line"
    return None


def retry_after(fault: Fault) -> list:
    """The header that says when to come back, where a fault does."""
    return [("retry-after", str(max(1, -(-fault.retry_ms // 1000))))] if fault.retry_ms else []


class HttpExchange:
    """One request and the return to it."""

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
        self.feed, self.name = None, ""
        self.on_client_end = None

    def watch_client(self, on_client_end):
        """Have a function called once the client ends its side of the connection before it has its whole answer.

        A client that has closed the connection can't be told from one that only sends no more, until something is written
        to it. A connection that is lost needs no call: it cancels the handler.
        """
        self.on_client_end = on_client_end
        if self.has_client_ended():
            self.conversation.loop.call_soon(on_client_end)

    def has_client_ended(self, for_s: float = 0.0) -> bool:
        """Whether the client has ended its side of the connection, so long ago or longer."""
        ended_s = self.conversation.client_ended_s
        return ended_s is not None and self.conversation.loop.time() - ended_s >= for_s

    def show_life(self):
        """Send an informational response, to which a client that has closed the connection replies with a reset."""
        if not self.begun and not self.conversation.is_ending():
            self.conversation.send(h11.InformationalResponse(status_code=PROCESSING, headers=[]))

    async def lines(self):
        """The lines of a body that is read as it comes; one that is too long ends them."""
        rest = b""
        while (data := await self.feed.get()) is not None:
            *whole, rest = (rest + data).split(b"\n")
            for line in whole:
                yield line
            if len(rest) > self.conversation.server.body_limit:
                return
            self.conversation.transport.resume_reading()
        if rest:
            yield rest

    def json(self):
        """The body as JSON, or a fault."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return BAD_REQUEST.with_reason(f"body is not JSON: {error}")

    async def send_json(self, status, body, headers=()):
        """A whole return with a JSON body."""
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
        """A whole return of bytes."""
        if not self.begun:
            self.begin(status, [*headers, ("content-length", str(len(body)))])
            if body and status != 204 and self.method != HEAD:
                await self.send_chunk(body)
            self.finish()

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Cut the return off, so that it can't look complete."""
        self.conversation.abort(reason)

    async def give_fault(self, fault: Fault, headers=(), **more):
        """A fault as the return, with Retry-After where it says when to come back."""
        await self.send_json(fault.status, fault.as_body() | more, [*retry_after(fault), *headers])

    def begin(self, status, headers):
        """Start a return; its pieces follow."""
        self.begun = True
        close = [("Connection", "close")] if self.conversation.closes_after_this() else []
        self.conversation.send(h11.Response(status_code=status, headers=[*headers, *close]))

    async def send_chunk(self, data: bytes):
        """One piece of the body; waits while the other side is slow."""
        self.conversation.send(h11.Data(data=data))
        await self.conversation.writable()

    def finish(self):
        """End the return."""
        if not self.finished:
            self.finished = True
            self.conversation.send(h11.EndOfMessage())


class HttpConversation(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server):
        self.server = server
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=server.head_limit)
        self.loop = asyncio.get_running_loop()
        self.request, self.body, self.body_size, self.method = None, [], 0, b""
        self.task = self.wakeup = self.transport = None
        self.paused = self.feed = self.exchange = self.cut_reason = None
        self.gone = self.dropping = self.is_chunked = False
        self.client_ended_s = None
        self.before = self.latest = b""

    def connection_made(self, transport):
        self.transport = transport
        self.server.open[self] = None
        self.rest(self.server.idleMs)

    def rest(self, ms):
        """Set the wakeup that ends a connection that is too slow."""
        self.rests_since_s = self.loop.time()
        self.wake_after(ms / 1000)

    def wake_after(self, seconds):
        """Set the wakeup anew."""
        if self.wakeup:
            self.wakeup.cancel()
        self.wakeup = self.loop.call_later(seconds, self.too_slow)

    def too_slow(self):
        """End a connection on which nothing comes; one at rest has the time that now holds, which may have grown."""
        if self.task is not None:
            return
        if not self.is_at_rest():
            return self.drop(SLOW_REQUEST)
        left_s = self.rests_since_s + self.server.idleMs / 1000 - self.loop.time()
        if left_s > 0:
            self.wake_after(left_s)
        else:
            self.transport.close()

    def is_at_rest(self) -> bool:
        """Whether no byte of a request is here that has no answer yet."""
        return self.task is None and self.request is None and not self.conn.trailing_data[0]

    def closes_after_this(self) -> bool:
        """Whether the answer that begins now is to be the last: the server stops, and no further request is here."""
        stops = self.server.is_stopped or self.server.drain.has_begun()
        return stops and not self.conn.trailing_data[0]

    def data_received(self, data):
        if self.dropping:
            return
        if self.request is None and self.task is None and not self.conn.trailing_data[0]:
            self.rest(self.server.slow_ms)
        self.take(data)
        if (
            self.feed
            and self.feed.qsize() > 64
            or self.task
            and len(self.conn.trailing_data[0]) > HEAD_LIMIT
        ):
            self.transport.pause_reading()

    def take(self, data):
        """Hand bytes, or none for the end, to h11, and handle what it has."""
        self.before, self.latest = (
            (self.before + self.latest[-len(CHUNKS_END) :])[-len(CHUNKS_END) :],
            data,
        )
        try:
            self.conn.receive_data(data)
            self.step()
        except h11.RemoteProtocolError as error:
            self.drop(BAD_REQUEST.with_reason(str(error)), error.error_status_hint)

    def step(self):
        """Handle what h11 has."""
        while (self.task is None or self.feed is not None) and not self.dropping:
            event = self.next_event()
            if isinstance(event, h11.Request):
                self.method = event.method
            if self.feed is not None:
                if isinstance(event, h11.Data):
                    self.feed.put_nowait(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self.feed.put_nowait(None)
                    self.feed = None
                else:
                    return
            elif (
                isinstance(event, h11.Request)
                and event.target.partition(b"?")[0] in self.server.streams
            ):
                self.wakeup.cancel()
                self.feed = asyncio.Queue()
                self.task = self.loop.create_task(self.serve(event, b"", self.feed))
            elif isinstance(event, h11.Request):
                self.request, self.body, self.body_size = event, [], 0
                if self.conn.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > self.server.body_limit:
                    return self.drop(
                        TOO_LARGE.with_reason(f"body is over {self.server.body_limit} bytes")
                    )
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.wakeup.cancel()
                request, self.request = self.request, None
                self.task = self.loop.create_task(self.serve(request, b"".join(self.body)))
                self.body = []
            elif isinstance(event, h11.ConnectionClosed):
                return self.transport.close()
            else:
                return

    def next_event(self):
        """The next event of h11, whose leniency about where a request ends is taken back."""
        raw = self.conn.trailing_data[0] if self.conn.their_state is h11.IDLE else b""
        found = HEAD_END.search(raw)
        head = raw[: found.end()] if found else b""
        if fault := head_fault(head):
            raise h11.RemoteProtocolError(fault)
        event = self.conn.next_event()
        if head and b"transfer-encoding" in head.lower() and isinstance(event, h11.Request):
            names = [name for name, _ in event.headers]
            self.is_chunked = b"transfer-encoding" in names
            if self.is_chunked and b"content-length" in names:
                raise h11.RemoteProtocolError("both Content-Length and Transfer-Encoding")
        elif self.is_chunked and isinstance(event, h11.EndOfMessage):
            self.is_chunked = False
            came = self.before + self.latest
            if not came[: len(came) - len(self.conn.trailing_data[0])].endswith(CHUNKS_END):
                raise h11.RemoteProtocolError("chunks end without CR LF")
        return event

    async def serve(self, request, body, feed=None):
        exchange = self.exchange = None
        try:
            try:
                exchange = self.exchange = HttpExchange(self, request, body)
            except ValueError as error:
                return self.drop(
                    BAD_REQUEST.with_reason(f"target or headers can't be read: {error}")
                )
            exchange.feed = feed
            await asyncio.sleep(0)  # so that an end of the stream right behind the request is seen
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
                await self.fail(exchange, error)
        finally:
            self.task = self.feed = None
            self._note_late_end()
        self.next()

    def _note_client_end(self, how: str):
        """Account for a client that ends its side, or the connection, while a request of it is open."""
        if self.task is not None and self.client_ended_s is None:
            self.client_ended_s = self.loop.time()
            self.server.count[f"clientEnded.{how}"] += 1
            exchange = self.exchange
            if exchange is not None and exchange.on_client_end and not exchange.finished:
                exchange.on_client_end()

    def _note_late_end(self):
        """Account for work that went on for long after its client had ended the connection."""
        if self.client_ended_s is None:
            return
        late_s = self.loop.time() - self.client_ended_s
        if late_s > LATE_END_S:
            count = self.server.count
            count["workedOnForClientsGone"] += 1
            count["workedOnMostMs"] = max(count["workedOnMostMs"], int(late_s * 1000))

    def is_ending(self) -> bool:
        """Whether nothing more can be written, as the client left or the connection was cut."""
        return self.gone or self.transport.is_closing()

    async def fail(self, exchange, error):
        """End an exchange whose handler failed: by an answer that says so, where none has begun."""
        self.server.count["faults.%d" % HANDLER_FAILED.code] += 1
        self.server.note("exchange failed", code=HANDLER_FAILED.code, reason=repr(error))
        if exchange is None or exchange.begun:
            return self.abort(CutReason.HANDLER_FAILED)
        try:
            await exchange.give_fault(HANDLER_FAILED)
        except ConnectionError:
            self.abort(CutReason.CLIENT_LEFT)

    def next(self):
        """Go on with the next request of the connection."""
        if self.gone or self.dropping:
            return
        if (
            self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
            and (self.server.keeps_connections() or self.conn.trailing_data[0])
        ):
            self.conn.start_next_cycle()
            self.method = b""
            self.before, self.latest = b"", self.conn.trailing_data[0]
            self.rest(self.server.idleMs)
            self.transport.resume_reading()
            try:
                self.step()
            except h11.RemoteProtocolError as error:
                self.drop(BAD_REQUEST.with_reason(str(error)), error.error_status_hint)
            if self.server.is_stopped and not self.dropping:
                self.stop()
        else:
            self.cut_reason = self.cut_reason or CutReason.UNANSWERED
            self.transport.close()

    def stop(self):
        """Close unless an answer is under way; a request of which a part is here is promised not to run."""
        if self.is_at_rest():
            self.transport.close()
        elif self.task is None and not self.transport.is_closing():
            self.drop(ROUTER_STOPPING)
        elif self.feed is not None:
            self.feed.put_nowait(None)
            self.feed = None

    async def give_up(self, fault):
        """Answer in the place of a handler that has not come to its end; an answer that has begun can only be cut."""
        if self.task is None:
            return
        exchange, task = self.exchange, self.task
        if exchange is None or exchange.begun:
            return self.abort(CutReason.UNANSWERED)
        await exchange.give_fault(fault)
        task.cancel()
        self.transport.close()

    def drop(self, fault, status=None):
        """Answer a request that cannot be read, and close."""
        self.dropping = True
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
                        *retry_after(fault),
                    ],
                )
            )
            if self.method != HEAD.encode():
                self.send(h11.Data(data=data))
            self.send(h11.EndOfMessage())
        self.transport.close()

    def send(self, event):
        if self.gone:
            raise ConnectionResetError("caller is gone")
        data = self.conn.send(event)
        if data:
            self.transport.write(data)

    async def writable(self):
        """Wait until the other side takes more; one that takes nothing for too long is cut off."""
        if self.paused:
            try:
                async with asyncio.timeout(self.server.slow_write_ms / 1000):
                    await self.paused
            except TimeoutError:
                self.server.count["slowCallers"] += 1
                self.abort(CutReason.CLIENT_STALLED)
                raise ConnectionResetError("caller takes nothing")

    def pause_writing(self):
        self.paused = self.loop.create_future()

    def resume_writing(self):
        if self.paused and not self.paused.done():
            self.paused.set_result(None)
        self.paused = None

    def eof_received(self):
        """The other side has said all it will; whether what it asked for whole still gets its return is up to the handler."""
        if not self.dropping:
            self.take(b"")
        self._note_client_end("endOfStream")
        return self.task is not None and not self.dropping

    def abort(self, reason=CutReason.HANDLER_FAILED):
        """Cut the connection; for a client that takes its end for the end of an answer, by a reset."""
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
        if self.wakeup:
            self.wakeup.cancel()
        if self.task:
            self.task.cancel()


class HttpServer:
    """Listens for callers and hands each exchange to one handler."""

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
        self.drain = drain or Drain(FOREVER)
        self.head_limit = HEAD_LIMIT
        self.count = Counter()

    async def start(self, ip, port):
        """Listen."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(lambda: HttpConversation(self), ip, port)

    def phase(self) -> Phase:
        """What is done with a request that is read now."""
        return self.drain.phase(self.loop.time())

    def keeps_connections(self) -> bool:
        """Whether a connection may rest after an answer."""
        return not self.is_stopped and self.phase() in (Phase.SERVING, Phase.DRAINING)

    def close_resting(self):
        """Close the connections on which nothing is asked."""
        for each in list(self.open):
            if each.is_at_rest():
                each.transport.close()

    def stop(self):
        """Take no more connections, and close all but those with an answer under way."""
        self.is_stopped = True
        self.server.close()
        for each in list(self.open):
            try:
                each.stop()
            except (ConnectionError, h11.LocalProtocolError) as error:
                self.close_failed(each, error)

    def close_failed(self, conversation, error):
        """Cut a connection whose last answer can't be written, so that the others still get theirs."""
        if isinstance(error, ConnectionError):
            return conversation.abort(CutReason.CLIENT_LEFT)
        self.count["faults.%d" % HANDLER_FAILED.code] += 1
        self.note("last answer failed", code=HANDLER_FAILED.code, reason=repr(error))
        conversation.abort(CutReason.HANDLER_FAILED)

    async def finish(self, limit_s: float, fault: Fault):
        """Let the answers that are under way come to their end; what is left after so long gets a fault."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.open and loop.time() < end_s:
            await asyncio.sleep(LOOK_S)
        for each in list(self.open):
            try:
                await each.give_up(fault)
            except (ConnectionError, h11.LocalProtocolError) as error:
                self.close_failed(each, error)
        if self.open:
            await asyncio.sleep(LOOK_S)

    def note_cut(self, exchange, reason: CutReason):
        """Account for a request that was read whole and whose connection ended without a complete answer."""
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

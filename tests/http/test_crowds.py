"""Tests of `http/connection.py` and `http/server.py` with clients that keep to no limit."""

import asyncio
import gc
import socket
import unittest
import weakref
from collections import Counter
from unittest import mock

from swiftdeck.fault import ROUTER_STOPPING, WORKER_LOST, is_fault
from swiftdeck.http.connection import (
    BACKLOG_LIMIT_BYTES,
    EVENTS_PER_TURN,
    HttpConnection,
)
from swiftdeck.http.limits import ServerLimits
from swiftdeck.http.server import HttpServer
from swiftdeck.runtime.transports import READ_BYTES
from swiftdeck.sim.transport import HIGH_WATER_BYTES
from swiftdeck.sim.world import World
from swiftdeck.wire.limits import MeshLimits

GET, HEAD = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
AHEAD = GET * 1000
"""Requests that are sent without waiting for any answer."""
LARGE_ANSWER_BYTES = 32 << 20
"""More than the kernel takes for a client that reads nothing."""
BODY_BYTES = 1 << 18
CHUNKED_POST = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_BYTES = 1000
"""More than an answer without a body takes."""


def post(size):
    """Return the head of a request with a body of some size."""
    return b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size


class Recorder(asyncio.Protocol):
    """A client that writes pieces with pauses, and records what it receives."""

    def __init__(self, pieces, pause_s=0.01):
        self.pieces, self.pause_s, self.received = list(pieces), pause_s, bytearray()
        self.is_closed = False

    def connection_made(self, transport):
        self.transport = transport
        self._write_next()

    def _write_next(self):
        if self.pieces and not self.is_closed:
            self.transport.write(self.pieces.pop(0))
            asyncio.get_running_loop().call_later(self.pause_s, self._write_next)

    def data_received(self, data):
        self.received.extend(data)

    def connection_lost(self, error):
        self.is_closed = True


class LastingRecorder(Recorder):
    """A recording client that stays open when its peer closes."""

    def eof_received(self):
        return True


class SilentReader(asyncio.Protocol):
    """A client that writes and reads nothing."""

    def __init__(self, pieces):
        self.pieces = pieces

    def connection_made(self, transport):
        transport.pause_reading()
        for piece in self.pieces:
            transport.write(piece)


class CrowdTest(unittest.TestCase):
    def setUp(self):
        self.world, self.servers = World(), []

    def serve(self, handler, **settings):
        """Start a server at 10.0.0.1:80."""

        async def start():
            self.servers.append(HttpServer(handler, **settings))
            await self.servers[0].start("10.0.0.1", 80)

        self.world.start("server", "10.0.0.1", start)
        self.world.run(1)
        return self.servers[0]

    def stop(self, server, limit_s, fault):
        """Stop a server; after some seconds it answers what still runs by a fault."""

        async def stop():
            server.stop()
            await server.finish(limit_s, fault)

        self.world.run_task("server", stop)
        self.world.run(1)

    def connect(self, make_protocol, count=1):
        """Open connections from a process of its own."""

        async def connect():
            for _ in range(count):
                await asyncio.get_running_loop().create_connection(make_protocol, "10.0.0.1", 80)

        self.world.start("clients", "10.0.0.2", connect)

    def test_requests_sent_ahead_are_read_only_as_far_as_they_are_answered(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer)
        self.connect(lambda: SilentReader([GET * 100] * 1000))
        self.world.run(5)
        (connection,) = server.open
        backlog = connection.conn.trailing_data[0]
        self.assertLessEqual(len(backlog), BACKLOG_LIMIT_BYTES + READ_BYTES)

    def test_requests_sent_ahead_are_read_only_as_far_while_they_are_answered(self):
        async def answer(exchange):
            await asyncio.sleep(0.01)
            await exchange.send_response(200, [], b"")

        server, most = self.serve(answer), 0
        self.connect(lambda: SilentReader([GET * 100] * 1000))
        for _ in range(100):
            self.world.run(0.05)
            for connection in server.open:
                most = max(most, len(connection.conn.trailing_data[0]))
        self.assertLessEqual(most, BACKLOG_LIMIT_BYTES + READ_BYTES)
        self.assertGreater(most, 0)

    def test_answers_without_a_body_wait_for_a_client_that_reads_nothing(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"")

        server = self.serve(answer)
        self.connect(lambda: SilentReader([HEAD * 100] * 100))
        self.world.run(5)
        (connection,) = server.open
        self.assertLessEqual(
            connection.transport.get_write_buffer_size(), HIGH_WATER_BYTES + ANSWER_BYTES
        )

    def record(self, *requests, make_protocol=Recorder):
        """Open a recording connection for each request, given by its pieces; return them."""
        protocols = [make_protocol(pieces) for pieces in requests]

        async def connect():
            for protocol in protocols:
                await asyncio.get_running_loop().create_connection(
                    lambda protocol=protocol: protocol, "10.0.0.1", 80
                )

        self.world.start("clients", "10.0.0.2", connect)
        return protocols

    def test_bodies_wait_in_no_more_memory_than_there_is_for_them(self):
        ran = []

        async def answer(exchange):
            ran.append(len(exchange.body))
            await exchange.send_response(200, [], b"")

        limits = ServerLimits(body_memory_bytes=4 * BODY_BYTES)
        server = self.serve(answer, body_limit=BODY_BYTES, idleMs=5000, limits=limits)
        unfinished = [post(BODY_BYTES), b"x" * (BODY_BYTES - 1)]
        chunked = [CHUNKED_POST, *[b"8000\r\n" + b"x" * 0x8000 + b"\r\n"] * 7]
        first, second, third, fourth, small = self.record(
            unfinished, unfinished, unfinished, chunked, [post(5) + b"small"]
        )
        self.world.run(2)
        self.assertEqual(ran, [5])
        self.assertEqual((bytes(first.received), bytes(second.received)), (b"", b""))
        self.assertTrue(small.received.startswith(b"HTTP/1.1 200 "), small.received)
        for refused in (third, fourth):
            self.assertTrue(refused.received.startswith(b"HTTP/1.1 503 "), refused.received)
            self.assertIn(b"retry-after: 1\r\n", refused.received)
            self.assertIn(b'"notRun":true', refused.received)
        self.assertLessEqual(server.body_memory.used_bytes, limits.body_memory_bytes)
        self.world.run(30)
        self.assertEqual((server.body_memory.used_bytes, server.open), (0, {}))
        (whole,) = self.record([post(BODY_BYTES), b"x" * BODY_BYTES])
        self.world.run(2)
        self.assertEqual(ran, [5, BODY_BYTES])
        self.assertTrue(whole.received.startswith(b"HTTP/1.1 200 "), whole.received)

    def test_a_single_body_at_the_limit_has_room_up_to_half_of_the_memory(self):
        limits = ServerLimits.within(64, 4096)
        for size in (1 << 20, 4 << 20, 8 << 20, 16 << 20, 64 << 20):
            server = HttpServer(None, size, limits=limits)
            self.assertEqual(server.body_limit, min(size, 16 << 20))
            self.assertGreaterEqual(server.body_memory.limit_bytes, 2 * server.body_limit)
            self.assertLessEqual(server.body_memory.limit_bytes, 32 << 20)

    def test_a_body_over_the_limit_is_refused_before_it_is_read(self):
        server = self.serve(None, body_limit=BODY_BYTES)
        (client,) = self.record([post(BODY_BYTES + 1), *[b"x" * 1000] * 100])
        self.world.run(0.5)
        self.assertTrue(client.received.startswith(b"HTTP/1.1 413 "), client.received)
        self.assertEqual(server.body_memory.used_bytes, 0)
        self.world.run(5)
        self.assertEqual(server.open, {})

    def test_no_connection_holds_the_body_of_a_request_that_was_answered(self):
        bodies = []

        class Body:
            """Stands for bytes, to which no weak reference can be made."""

        class Work:
            """What a handler does for an exchange, each of which refers to the other."""

            def __init__(self, exchange):
                self.exchange, self.body = exchange, exchange.body
                exchange.watch_client(self.end)

            def end(self):
                """Do nothing."""

        async def answer(exchange):
            exchange.body = Body()
            bodies.append(weakref.ref(exchange.body))
            Work(exchange)
            await exchange.send_response(200, [], b"")

        server = self.serve(answer)
        gc.disable()
        self.addCleanup(gc.enable)
        closing = post(5).replace(b"Host: x", b"Host: x\r\nConnection: close") + b"small"
        self.record([post(5) + b"small"], [closing])
        self.world.run(1)
        self.assertEqual(len(server.open), 1)
        self.assertEqual([body() for body in bodies], [None, None])

    def test_no_connection_holds_what_it_received_after_its_end(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer)
        clients = self.record([AHEAD], [post(BODY_BYTES), b"x" * (BODY_BYTES - 1)])
        self.world.run(0.5)
        connections = list(server.open)
        self.assertEqual([len(connection.body) for connection in connections], [0, BODY_BYTES - 1])
        self.assertTrue(connections[0].sends_ahead())

        async def leave():
            for client in clients:
                client.transport.abort()

        self.world.run_task("clients", leave)
        self.world.run(1)
        self.assertEqual(server.open, {})
        for connection in connections:
            held = [
                connection.body,
                connection.conn.trailing_data[0],
                connection.parser.latest_data,
            ]
            self.assertEqual([bytes(each) for each in held], [b"", b"", b""])

    def test_a_connection_that_has_ended_is_freed_without_the_garbage_collector(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"")

        async def serve_and_connect():
            server = HttpServer(answer)
            await server.start("127.0.0.1", 0)
            _, port = server.server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.timeout(20):
                writer.write(GET + post(BODY_BYTES) + b"x" * (BODY_BYTES // 2))
                await reader.readuntil(b"\r\n\r\n")
                (connection,) = server.open
                while len(connection.body) < BODY_BYTES // 2:
                    await asyncio.sleep(0.01)
                ended = weakref.ref(connection)
                del connection
                writer.close()
                while server.open:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0)
            server.stop()
            return ended()

        gc.disable()
        self.addCleanup(gc.enable)
        self.assertIsNone(asyncio.run(serve_and_connect()))

    def test_streamed_lines_wait_in_no_more_memory_than_there_is_for_them(self):
        async def echo_sizes(exchange):
            exchange.begin(200, [("transfer-encoding", "chunked")])
            async for line in exchange.lines():
                await exchange.send_chunk(b"size %d\n" % len(line))
            await exchange.send_chunk(b"fault %d\n" % getattr(exchange.body_fault, "code", 0))
            exchange.finish()

        limits = ServerLimits(body_memory_bytes=2 * BODY_BYTES)
        server = self.serve(
            echo_sizes, body_limit=BODY_BYTES, slow_ms=5000, streams=(b"/a",), limits=limits
        )
        piece = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        line_end, body_end = b"1\r\n\n\r\n", b"0\r\n\r\n"
        waiting, refused, served, long = self.record(
            [CHUNKED_POST, *[piece] * 2],
            [CHUNKED_POST, b"", b"", *[piece] * 2],
            [CHUNKED_POST, piece, line_end, body_end],
            [CHUNKED_POST, *[piece] * 9],
        )
        self.world.run(2)
        self.assertIn(b"fault 126\n", refused.received)
        self.assertIn(b"size 32768\n", served.received)
        self.assertIn(b"fault 0\n", served.received)
        self.assertNotIn(b"fault", waiting.received)
        self.assertIn(b"fault 126\n", long.received)
        self.world.run(10)
        self.assertIn(b"fault 106\n", waiting.received)
        self.assertEqual(server.body_memory.used_bytes, 0)
        (over_limit,) = self.record([CHUNKED_POST, *[piece] * 9])
        self.world.run(2)
        self.assertIn(b"fault 103\n", over_limit.received)

    def test_large_responses_that_are_not_read_give_way_to_those_that_are(self):
        size = 8 * HIGH_WATER_BYTES

        async def answer(exchange):
            await exchange.send_response(200, [], b"x" * size)

        limits = ServerLimits(body_memory_bytes=3 * size)
        server = self.serve(answer, body_limit=BODY_BYTES, limits=limits)
        self.connect(lambda: SilentReader([GET]), 3)
        self.world.run(1)
        self.assertEqual((len(server.stalled), server.body_memory.used_bytes), (3, 3 * size))
        (reader,) = self.record([GET])
        self.world.run(1)
        self.assertTrue(reader.received.endswith(b"x" * size))
        self.assertEqual((len(server.stalled), server.body_memory.used_bytes), (2, 2 * size))

    def test_a_response_over_the_memory_gets_a_fault(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"x" * 4 * HIGH_WATER_BYTES)

        limits = ServerLimits(body_memory_bytes=HIGH_WATER_BYTES)
        self.serve(answer, body_limit=1000, limits=limits)
        (reader,) = self.record([GET])
        self.world.run(1)
        self.assertTrue(reader.received.startswith(b"HTTP/1.1 500 "), reader.received)
        self.assertNotIn(b"notRun", reader.received)

    def test_json_is_decoded_only_into_memory_that_there_is_for_it(self):
        async def answer(exchange):
            body = exchange.json()
            return body if is_fault(body) else await exchange.send_json(200, len(body))

        limits = ServerLimits(body_memory_bytes=4 << 20)
        server = self.serve(answer, body_limit=1 << 20, limits=limits)
        few, many = b"[%b1]" % (b"1," * 1000), b"[%b1]" % (b"{}," * 60000)
        text = b'["%b"]' % (b"x" * 500000)
        clients = self.record(*([post(len(body)) + body] for body in (few, many, text)))
        self.world.run(2)
        statuses = [client.received.split(b" ", 2)[1] for client in clients]
        self.assertEqual(statuses, [b"200", b"413", b"200"])
        self.assertEqual(server.body_memory.used_bytes, 0)

    def test_few_connections_may_leave_their_responses_unread(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"x" * 4 * HIGH_WATER_BYTES)

        server = self.serve(answer, limits=ServerLimits(stalled_connections=2))
        self.connect(lambda: SilentReader([GET]), 5)
        self.world.run(1)
        self.assertEqual((len(server.open), len(server.stalled)), (2, 2))
        (reader,) = self.record([GET])
        self.world.run(1)
        self.assertTrue(reader.received.endswith(b"x" * 4 * HIGH_WATER_BYTES))
        self.world.run(30)
        self.assertEqual((len(server.open), server.stalled), (1, {}))

    def test_a_server_that_stops_owes_nothing_to_a_client_that_does_not_read(self):
        async def answer(exchange):
            await exchange.send_response(200, [], b"x" * 4 * HIGH_WATER_BYTES)

        server = self.serve(answer)
        self.connect(lambda: SilentReader([GET]))
        self.world.run(1)
        self.stop(server, 1.0, ROUTER_STOPPING)
        cuts = {name: n for name, n in server.count.items() if "requestsCut" in name}
        self.assertEqual((cuts, server.open), ({"requestsCut.clientStalled": 1}, {}))

    def test_a_request_whose_handler_has_not_started_is_answered_at_the_end(self):
        started = []

        async def answer(exchange):
            started.append(exchange)

        server = self.serve(answer)
        (client,) = self.record([b""])
        self.world.run(0.1)
        (connection,) = server.open

        async def receive_and_end():
            connection.data_received(GET)
            await connection.end_handler(WORKER_LOST)

        self.world.run_task("server", receive_and_end)
        self.world.run(1)
        self.assertTrue(client.received.startswith(b"HTTP/1.1 503 "), client.received)
        cuts = [name for name in server.count if "requestsCut" in name]
        self.assertEqual((started, cuts, server.open), ([], [], {}))

    def test_tiny_chunks_leave_other_connections_their_turn(self):
        async def answer(exchange):
            await exchange.send_json(200, {"size": len(exchange.body)})

        server, count = self.serve(answer), 5000
        chunks = CHUNKED_POST + b"2\r\nxx\r\n" * count + b"0\r\n\r\n"
        in_turn = []

        class Watched(HttpConnection):
            """A connection that notes how many chunks it processes at a time."""

            def process_events(self):
                before = len(self.body)
                super().process_events()
                in_turn.append((len(self.body) - before) // 2)

        with mock.patch("swiftdeck.http.server.HttpConnection", Watched):
            (client,) = self.record([chunks])
            self.world.run(2)
        self.assertIn(b'{"size":%d}' % (2 * count), client.received)
        self.assertLessEqual(max(in_turn), EVENTS_PER_TURN)
        self.assertEqual(len(server.open), 1)

    def test_a_new_connection_takes_the_place_of_the_one_that_has_waited_longest(self):
        async def answer(exchange):
            if exchange.path == "/slow":
                await asyncio.sleep(100)
            await exchange.send_response(200, [], b"")

        server = self.serve(answer, limits=ServerLimits(connections=3))
        slow, begun = [b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"], [b"GET /a HTTP/1.1\r\nHo"]
        running, *waiting = self.record(slow, [], begun)
        self.world.run(0.1)
        for _ in range(3):
            waiting += self.record([GET])
            self.world.run(0.1)
            self.assertEqual(len(server.open), 3)
        silent, unfinished, first, second, third = waiting
        self.assertEqual((bytes(silent.received), silent.is_closed), (b"", True))
        self.assertTrue(unfinished.received.startswith(b"HTTP/1.1 503 "), unfinished.received)
        self.assertIn(b'"code":127', unfinished.received)
        for served in (first, second, third):
            self.assertTrue(served.received.startswith(b"HTTP/1.1 200 "), served.received)
        closed = [client.is_closed for client in (running, first, second, third)]
        self.assertEqual(closed, [False, True, False, False])

    def test_a_new_connection_takes_the_place_of_a_stream_on_which_nothing_happens(self):
        async def stream(exchange):
            if exchange.path == "/a":
                return await exchange.send_response(200, [], b"")
            exchange.begin(200, [("transfer-encoding", "chunked")])
            await exchange.send_chunk(b"begun")
            with exchange.waiting_for_events():
                await asyncio.Future()

        server = self.serve(stream, limits=ServerLimits(connections=2))
        follow = [GET.replace(b"/a", b"/events")]
        first, second = self.record(follow, follow)
        self.world.run(0.1)
        (served,) = self.record([GET])
        self.world.run(0.1)
        self.assertTrue(served.received.startswith(b"HTTP/1.1 200 "), served.received)
        self.assertEqual([first.is_closed, second.is_closed], [True, False])
        self.assertEqual(server.count["invariant.requestsCut"], 0)

    def test_a_new_connection_is_closed_while_all_others_are_worked_on(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer, limits=ServerLimits(connections=2))
        running = self.record([GET], [GET])
        self.world.run(0.1)
        (refused,) = self.record([GET])
        self.world.run(0.1)
        self.assertEqual((refused.is_closed, bytes(refused.received)), (True, b""))
        self.assertEqual([client.is_closed for client in running], [False, False])
        self.assertEqual(len(server.open), 2)

    def test_a_new_connection_takes_the_place_of_one_with_requests_sent_ahead(self):
        ran = Counter()

        async def answer(exchange):
            ran[exchange.path] += 1
            await asyncio.sleep(0.05)
            await exchange.send_response(200, [], b"")

        server = self.serve(answer, limits=ServerLimits(connections=2))
        first, second = self.record([AHEAD], [AHEAD.replace(b"/a", b"/b")])
        self.world.run(0.22)
        (served,) = self.record([GET.replace(b"/a", b"/c")])
        self.world.run(0.2)
        self.assertTrue(served.received.startswith(b"HTTP/1.1 200 "), served.received)
        self.assertEqual([first.is_closed, second.is_closed], [True, False])
        self.assertEqual(first.received.count(b"HTTP/1.1 200 "), ran["/a"])
        self.assertIn(b"connection: close", first.received.lower().rpartition(b"http/1.1 ")[2])
        cuts = [name for name in server.count if "requestsCut" in name]
        self.assertEqual((cuts, len(server.open)), ([], 2))

    def test_connections_that_come_together_take_places_of_those_with_requests_sent_ahead(self):
        async def answer(exchange):
            await asyncio.sleep(0.05)
            await exchange.send_response(200, [], b"")

        server = self.serve(answer, limits=ServerLimits(connections=4))
        self.record(*[[AHEAD]] * 4)
        self.world.run(0.22)
        together = self.record(*[[GET]] * 3)
        self.world.run(0.2)
        for served in together:
            self.assertTrue(served.received.startswith(b"HTTP/1.1 200 "), served.received)
        self.assertEqual(server.count["connectionsEvicted"], 3)

    def test_few_connections_with_requests_sent_ahead_give_way_at_the_same_time(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer, limits=ServerLimits(connections=4, ending_connections=1))
        ahead = self.record(*[[AHEAD]] * 4)
        self.world.run(0.1)
        (served,) = self.record([GET])
        self.world.run(0.1)
        (refused,) = self.record([GET])
        self.world.run(0.1)
        self.assertEqual([served.is_closed, refused.is_closed], [False, True])
        self.assertEqual([client.is_closed for client in ahead], [False] * 4)
        self.assertEqual(len(server.open), 5)

    def test_a_connection_that_gave_way_still_gets_its_answer_when_the_server_ends(self):
        async def never_answer(exchange):
            await asyncio.Future()

        server = self.serve(never_answer, limits=ServerLimits(connections=1))
        (ahead,) = self.record([AHEAD])
        self.world.run(0.1)
        self.record([])
        self.world.run(0.1)
        self.stop(server, 0.5, WORKER_LOST)
        self.assertTrue(ahead.received.startswith(b"HTTP/1.1 502 "), ahead.received)
        self.assertEqual((server.count["invariant.requestsCut"], server.open), (0, {}))

    def test_an_answer_that_is_missing_counts_on_a_connection_that_gave_way_too(self):
        async def forget_to_answer(exchange):
            await asyncio.sleep(0.5)

        server = self.serve(forget_to_answer, limits=ServerLimits(connections=1))
        self.record([AHEAD])
        self.world.run(0.1)
        self.record([])
        self.world.run(3)
        self.assertEqual(server.count["connectionsEvicted"], 1)
        self.assertEqual(server.count["requestsCut.unanswered"], 1)

    def test_few_connections_that_gave_way_wait_for_their_clients(self):
        async def answer(exchange):
            await asyncio.sleep(0.01)
            await exchange.send_response(200, [], b"")

        limits, most = ServerLimits(connections=4, ending_connections=2), 0
        server, clients = self.serve(answer, limits=limits), []
        for _ in range(20):
            clients += self.record([AHEAD], make_protocol=LastingRecorder)
            self.world.run(0.05)
            most = max(most, len(server.open))
        self.assertEqual(most, 4 + 2)
        for client in clients:
            self.assertTrue(client.received.startswith(b"HTTP/1.1 200 "), client.received)
        self.assertEqual(server.count["invariant.requestsCut"], 0)

    def test_few_connections_are_accepted_in_one_turn(self):
        async def serve_and_connect():
            server = HttpServer(None, limits=ServerLimits(accepts_per_turn=4))
            await server.start("127.0.0.1", 0)
            address, in_turns = server.server.sockets[0].getsockname(), []
            clients = [asyncio.to_thread(socket.create_connection, address) for _ in range(20)]
            connected = asyncio.gather(*clients)
            async with asyncio.timeout(20):
                while len(server.open) < len(clients):
                    before = len(server.open)
                    await asyncio.sleep(0)
                    in_turns.append(len(server.open) - before)
                for client in await connected:
                    client.close()
            server.stop()
            return in_turns

        self.assertLessEqual(max(asyncio.run(serve_and_connect())), 4)

    def test_few_connections_are_accepted_in_one_turn_where_there_are_few_descriptors(self):
        accepted = [
            ServerLimits.within(300, 4096).accepts_per_turn,
            ServerLimits.within(300, 400).accepts_per_turn,
            ServerLimits.of_operations(300).accepts_per_turn,
            MeshLimits.within(300, 4096).accepts_per_turn,
            MeshLimits.within(300, 400).accepts_per_turn,
        ]
        self.assertEqual(accepted, [100, 12, 8, 100, 12])

    def test_a_connection_that_closes_does_not_wait_for_its_client_for_ever(self):
        async def answer(exchange):
            exchange.connection.transport.set_write_buffer_limits(2 * LARGE_ANSWER_BYTES)
            await exchange.send_response(200, [], b"x" * LARGE_ANSWER_BYTES)

        async def serve_and_connect():
            server = HttpServer(answer, slow_write_ms=200)
            await server.start("127.0.0.1", 0)
            port = server.server.sockets[0].getsockname()[1]
            protocol = SilentReader([b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"])
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: protocol, "127.0.0.1", port
            )
            try:
                async with asyncio.timeout(20):
                    while not server.open:
                        await asyncio.sleep(0.01)
                    while server.open:
                        await asyncio.sleep(0.01)
            finally:
                transport.abort()
                server.stop()

        asyncio.run(serve_and_connect())


if __name__ == "__main__":
    unittest.main()

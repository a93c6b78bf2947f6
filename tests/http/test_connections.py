"""Tests of when `http/server.py` ends a connection, and of what it counts as cut."""

import asyncio
import unittest

from swiftdeck.fault import ROUTER_STOPPING, WORKER_LOST
from swiftdeck.http.drain import Drain, DrainTimes
from swiftdeck.http.server import HttpServer
from swiftdeck.sim.world import World

SERVER, GET = "10.0.0.1", b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
IDLE_S, SLOW_S, HANDLING_S = 5.0, 2.0, 1.0


class Client(asyncio.Protocol):
    """One connection, and what came on it."""

    def __init__(self):
        self.got, self.is_over = bytearray(), False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.got += data

    def connection_lost(self, error):
        self.is_over = True


async def answers_late(exchange):
    """Begin at once, and end after a while."""
    exchange.begin(200, [("content-length", "2")])
    await asyncio.sleep(HANDLING_S)
    await exchange.send_chunk(b"ok")
    exchange.finish()


async def waits(exchange):
    """Never answer."""
    await asyncio.Event().wait()


async def fails_midway(exchange):
    """Begin an answer and fail."""
    exchange.begin(200, [("content-length", "2")])
    raise RuntimeError("planted")


async def fails_at_once(exchange):
    """Fail before an answer begins."""
    raise RuntimeError("planted")


async def floods(exchange):
    """Answer with more than a client that reads nothing can take."""
    exchange.begin(200, [("transfer-encoding", "chunked")])
    for _ in range(100):
        await exchange.send_chunk(b"x" * 65536)
    exchange.finish()


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.world, self.clients, self.notes = World(), [], []

    def serve(self, handler=answers_late, **more):
        """Start a server."""
        fields = {
            "idleMs": int(IDLE_S * 1000),
            "slow_ms": int(SLOW_S * 1000),
            "note": lambda event, **fields: self.notes.append(event),
            "streams": (b"/lines",),
        }
        self.server = HttpServer(handler, **fields | more)
        self.world.start("s", SERVER, lambda: self.server.start(SERVER, 80))
        self.world.start("c", "10.0.0.2", lambda: asyncio.sleep(0))
        self.world.run(0.1)

    def connect(self, *pieces):
        """A connection on which these bytes are sent."""
        client = Client()

        async def open_connection():
            await asyncio.get_running_loop().create_connection(lambda: client, SERVER, 80)

        self.world.run_task("c", open_connection)
        for each in pieces:
            self.send(client, each)
        return client

    def send(self, client, data):
        """Send bytes on a connection, and let them arrive."""
        self.world.run_in("c", lambda: client.transport.write(data))
        self.world.run(0.01)

    def on_server(self, action):
        """Do something inside the server's process."""
        self.world.run_in("s", action)

    def cuts(self):
        """What was counted of requests that were cut."""
        return {name: count for name, count in self.server.count.items() if "equestsCut" in name}

    def test_a_connection_at_rest_is_kept_as_long_as_a_newer_configuration_says(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run(HANDLING_S + 1)
        self.server.idleMs = int(3 * IDLE_S * 1000)
        self.world.run(2.5 * IDLE_S)
        self.assertFalse(client.is_over)
        self.send(client, GET % b"/b")
        self.world.run(HANDLING_S + 0.1)
        self.assertEqual(client.got.count(b" 200 "), 2)
        self.world.run(3.1 * IDLE_S)
        self.assertTrue(client.is_over)

    def test_a_shorter_time_at_rest_closes_no_connection_that_a_request_came_in_on(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run(HANDLING_S + IDLE_S - 0.1)
        self.server.idleMs = 50
        self.send(client, GET % b"/b")
        self.world.run(HANDLING_S + 0.05)
        self.assertEqual(client.got.count(b"ok"), 2)
        self.world.run(0.2)
        self.assertTrue(client.is_over)
        self.assertEqual(self.cuts(), {})

    def test_a_request_that_comes_too_slowly_is_answered(self):
        self.serve()
        for pieces in ((GET[:9],), (POST,), (POST, b"abc"), (GET % b"/a", GET[:9])):
            client = self.connect(*pieces)
            self.world.run(HANDLING_S + IDLE_S + SLOW_S)
            self.assertIn(b"HTTP/1.1 408 ", client.got)
            self.assertTrue(client.is_over)
        self.assertEqual(self.cuts(), {})

    def test_a_client_that_closes_its_half_gets_its_answer_from_a_server_that_stops(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run_in("c", client.transport.write_eof)
        self.world.run(0.1)
        self.on_server(self.server.stop)
        self.world.run(HANDLING_S)
        self.assertTrue(client.got.endswith(b"ok"), client.got)
        self.assertEqual(self.cuts(), {})

    def test_a_part_of_a_request_behind_an_answer_is_refused_by_a_server_that_stops(self):
        self.serve(drain=Drain(DrainTimes(0.1, 9.0)))
        client = self.connect(GET % b"/a" + GET[:9])
        self.on_server(lambda: self.server.drain.begin(self.world.loops["s"].time()))
        self.on_server(self.server.stop)
        self.world.run(HANDLING_S + 0.1)
        self.assertIn(b"ok", client.got)
        self.assertIn(b'"code":%d' % ROUTER_STOPPING.code, client.got)
        self.assertEqual((self.server.open, self.cuts()), ({}, {}))

    def test_what_a_handler_has_not_answered_in_time_is_answered_in_its_place(self):
        self.serve(waits)
        client = self.connect(GET % b"/a")
        self.on_server(self.server.stop)
        self.world.run_task("s", lambda: self.server.finish(0.5, WORKER_LOST))
        self.world.run(0.1)
        self.assertIn(b'"code":%d' % WORKER_LOST.code, client.got)
        self.assertEqual((self.server.open, self.cuts()), ({}, {}))

    def test_cuts_are_counted_by_their_reason_and_those_that_nothing_excuses_as_violations(self):
        self.serve(fails_midway)
        self.connect(GET % b"/a")
        self.world.run(0.1)
        planted = {"requestsCut.handlerFailed": 1, "invariant.requestsCut": 1}
        self.assertEqual(self.cuts(), planted)
        self.assertIn("request cut", self.notes)

    def test_a_lost_connection_that_is_not_the_clients_is_no_excuse(self):
        async def loses_another(exchange):
            raise ConnectionResetError("planted")

        self.serve(loses_another)
        client = self.connect(GET % b"/a")
        self.world.run(0.1)
        self.assertIn(b'"code":404', client.got)
        self.assertEqual(self.cuts(), {})

    def test_an_answer_that_has_begun_and_is_not_ended_in_time_is_a_violation(self):
        self.serve()
        self.connect(GET % b"/a")
        self.on_server(self.server.stop)
        self.world.run_task("s", lambda: self.server.finish(0.1, WORKER_LOST))
        self.world.run(0.1)
        self.assertEqual(self.cuts(), {"requestsCut.unanswered": 1, "invariant.requestsCut": 1})

    def test_a_client_that_leaves_or_takes_nothing_or_sends_nonsense_excuses_the_cut(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run_in("c", client.transport.abort)
        self.world.run(0.1)
        self.assertEqual(self.cuts(), {"requestsCut.clientLeft": 1})
        self.server.handler, self.server.slow_write_ms = floods, 500
        client = self.connect()
        self.world.run_in("c", client.transport.pause_reading)
        self.send(client, GET % b"/b")
        self.world.run(2)
        self.assertEqual(self.cuts()["requestsCut.clientStalled"], 1)
        self.server.handler = answers_late
        self.connect(
            GET.replace(b"GET", b"POST").replace(b"\r\n\r\n", b"\r\n") % b"/lines"
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"
        )
        self.world.run(0.1)
        self.assertEqual(self.cuts()["requestsCut.clientFault"], 1)
        self.assertNotIn("invariant.requestsCut", self.cuts())

    def test_head_gets_answers_of_our_own_without_a_body(self):
        """One with a part of its body here, one whose handler fails, one whose handler hangs."""
        whole = b"HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n"
        part = whole[:-2] + b"Content-Length: 9\r\n\r\npar"
        for handler, sent, status in (
            (fails_at_once, whole, b"500"),
            (waits, whole, b"502"),
            (waits, part, b"503"),
        ):
            with self.subTest(status):
                self.setUp()
                self.serve(handler)
                client = self.connect(sent)
                self.world.run(0.1)
                self.world.run_task("s", self.stop_and_finish)
                self.assertTrue(client.got.startswith(b"HTTP/1.1 " + status), client.got)
                self.assertEqual((client.is_over, self.world.faults), (True, []))

    async def stop_and_finish(self):
        self.server.stop()
        await self.server.finish(0.2, WORKER_LOST)

    def test_a_head_that_comes_too_slowly_is_closed(self):
        self.serve(waits)
        client = self.connect(b"HEAD /h HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npar")
        self.world.run(SLOW_S + 0.5)
        self.assertTrue(client.got.startswith(b"HTTP/1.1 408"), client.got)
        self.assertEqual((client.is_over, self.world.faults), (True, []))

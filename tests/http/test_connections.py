"""Tests of when `http/server.py` ends a connection, and which requests it counts as cut."""

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
    """A client connection that collects the received bytes."""

    def __init__(self):
        self.received, self.is_closed = bytearray(), False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.is_closed = True


async def respond_late(exchange):
    """Begin a response at once, and end it after HANDLING_S."""
    exchange.begin(200, [("content-length", "2")])
    await asyncio.sleep(HANDLING_S)
    await exchange.send_chunk(b"ok")
    exchange.finish()


async def never_respond(exchange):
    """Wait forever."""
    await asyncio.Event().wait()


async def fail_midway(exchange):
    """Begin a response and fail."""
    exchange.begin(200, [("content-length", "2")])
    raise RuntimeError("planted")


async def fail_at_once(exchange):
    """Fail before a response begins."""
    raise RuntimeError("planted")


async def flood(exchange):
    """Respond with more than fits the buffers towards a client that reads nothing."""
    exchange.begin(200, [("transfer-encoding", "chunked")])
    for _ in range(100):
        await exchange.send_chunk(b"x" * 65536)
    exchange.finish()


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.world, self.clients, self.notes = World(), [], []

    def serve(self, handler=respond_late, **settings):
        """Start a server with these settings."""
        defaults = {
            "idleMs": int(IDLE_S * 1000),
            "slow_ms": int(SLOW_S * 1000),
            "note": lambda event, **fields: self.notes.append(event),
            "streams": (b"/lines",),
        }
        self.server = HttpServer(handler, **defaults | settings)
        self.world.start("s", SERVER, lambda: self.server.start(SERVER, 80))
        self.world.start("c", "10.0.0.2", lambda: asyncio.sleep(0))
        self.world.run(0.1)

    def connect(self, *pieces):
        """Open a connection and send these pieces on it."""
        client = Client()

        async def open_connection():
            await asyncio.get_running_loop().create_connection(lambda: client, SERVER, 80)

        self.world.run_task("c", open_connection)
        for piece in pieces:
            self.send(client, piece)
        return client

    def send(self, client, data):
        """Send bytes on a connection and wait until they arrive."""
        self.world.run_in("c", lambda: client.transport.write(data))
        self.world.run(0.01)

    def on_server(self, action):
        """Call a function in the server's process."""
        self.world.run_in("s", action)

    def cuts(self):
        """Return the counters of cut requests."""
        return {name: count for name, count in self.server.count.items() if "equestsCut" in name}

    def test_an_idle_connection_is_kept_as_long_as_a_newer_configuration_says(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run(HANDLING_S + 1)
        self.server.idleMs = int(3 * IDLE_S * 1000)
        self.world.run(2.5 * IDLE_S)
        self.assertFalse(client.is_closed)
        self.send(client, GET % b"/b")
        self.world.run(HANDLING_S + 0.1)
        self.assertEqual(client.received.count(b" 200 "), 2)
        self.world.run(3.1 * IDLE_S)
        self.assertTrue(client.is_closed)

    def test_a_shorter_idle_time_closes_no_connection_with_a_request(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run(HANDLING_S + IDLE_S - 0.1)
        self.server.idleMs = 50
        self.send(client, GET % b"/b")
        self.world.run(HANDLING_S + 0.05)
        self.assertEqual(client.received.count(b"ok"), 2)
        self.world.run(0.2)
        self.assertTrue(client.is_closed)
        self.assertEqual(self.cuts(), {})

    def test_a_request_that_arrives_too_slowly_is_answered(self):
        self.serve()
        for pieces in ((GET[:9],), (POST,), (POST, b"abc"), (GET % b"/a", GET[:9])):
            client = self.connect(*pieces)
            self.world.run(HANDLING_S + IDLE_S + SLOW_S)
            self.assertIn(b"HTTP/1.1 408 ", client.received)
            self.assertTrue(client.is_closed)
        self.assertEqual(self.cuts(), {})

    def test_a_half_closed_client_gets_its_response_from_a_stopping_server(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run_in("c", client.transport.write_eof)
        self.world.run(0.1)
        self.on_server(self.server.stop)
        self.world.run(HANDLING_S)
        self.assertTrue(client.received.endswith(b"ok"), client.received)
        self.assertEqual(self.cuts(), {})

    def test_a_stopping_server_refuses_a_partial_request_behind_a_response(self):
        self.serve(drain=Drain(DrainTimes(0.1, 9.0)))
        client = self.connect(GET % b"/a" + GET[:9])
        self.on_server(lambda: self.server.drain.begin(self.world.loops["s"].time()))
        self.on_server(self.server.stop)
        self.world.run(HANDLING_S + 0.1)
        self.assertIn(b"ok", client.received)
        self.assertIn(b'"code":%d' % ROUTER_STOPPING.code, client.received)
        self.assertEqual((self.server.open, self.cuts()), ({}, {}))

    def test_a_handler_that_does_not_respond_in_time_is_replaced_by_a_fault(self):
        self.serve(never_respond)
        client = self.connect(GET % b"/a")
        self.on_server(self.server.stop)
        self.world.run_task("s", lambda: self.server.finish(0.5, WORKER_LOST))
        self.world.run(0.1)
        self.assertIn(b'"code":%d' % WORKER_LOST.code, client.received)
        self.assertEqual((self.server.open, self.cuts()), ({}, {}))

    def test_cuts_are_counted_by_reason_and_unexcused_ones_as_violations(self):
        self.serve(fail_midway)
        self.connect(GET % b"/a")
        self.world.run(0.1)
        expected = {"requestsCut.handlerFailed": 1, "invariant.requestsCut": 1}
        self.assertEqual(self.cuts(), expected)
        self.assertIn("request cut", self.notes)

    def test_a_connection_error_of_another_connection_is_a_handler_failure(self):
        async def lose_another(exchange):
            raise ConnectionResetError("planted")

        self.serve(lose_another)
        client = self.connect(GET % b"/a")
        self.world.run(0.1)
        self.assertIn(b'"code":404', client.received)
        self.assertEqual(self.cuts(), {})

    def test_a_response_that_is_not_finished_in_time_is_a_violation(self):
        self.serve()
        self.connect(GET % b"/a")
        self.on_server(self.server.stop)
        self.world.run_task("s", lambda: self.server.finish(0.1, WORKER_LOST))
        self.world.run(0.1)
        self.assertEqual(self.cuts(), {"requestsCut.unanswered": 1, "invariant.requestsCut": 1})

    def test_a_client_that_leaves_stalls_or_sends_nonsense_excuses_the_cut(self):
        self.serve()
        client = self.connect(GET % b"/a")
        self.world.run_in("c", client.transport.abort)
        self.world.run(0.1)
        self.assertEqual(self.cuts(), {"requestsCut.clientLeft": 1})
        self.server.handler, self.server.slow_write_ms = flood, 500
        client = self.connect()
        self.world.run_in("c", client.transport.pause_reading)
        self.send(client, GET % b"/b")
        self.world.run(2)
        self.assertEqual(self.cuts()["requestsCut.clientStalled"], 1)
        self.server.handler = respond_late
        self.connect(
            GET.replace(b"GET", b"POST").replace(b"\r\n\r\n", b"\r\n") % b"/lines"
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"
        )
        self.world.run(0.1)
        self.assertEqual(self.cuts()["requestsCut.clientFault"], 1)
        self.assertNotIn("invariant.requestsCut", self.cuts())

    def test_a_fault_in_response_to_head_has_no_body(self):
        """Covers a failing handler, a hanging handler, and a partly received request.

        Sending a body after the head of such a response raises, which during a stop would end the
        loop over all connections.
        """
        whole = b"HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n"
        part = whole[:-2] + b"Content-Length: 9\r\n\r\npar"
        for handler, sent, status in (
            (fail_at_once, whole, b"500"),
            (never_respond, whole, b"502"),
            (never_respond, part, b"503"),
        ):
            with self.subTest(status):
                self.setUp()
                self.serve(handler)
                client = self.connect(sent)
                self.world.run(0.1)
                self.world.run_task("s", self.stop_and_finish)
                self.assertTrue(client.received.startswith(b"HTTP/1.1 " + status), client.received)
                self.assertEqual((client.is_closed, self.world.faults), (True, []))

    async def stop_and_finish(self):
        self.server.stop()
        await self.server.finish(0.2, WORKER_LOST)

    def test_a_head_request_that_arrives_too_slowly_is_closed(self):
        self.serve(never_respond)
        client = self.connect(b"HEAD /h HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npar")
        self.world.run(SLOW_S + 0.5)
        self.assertTrue(client.received.startswith(b"HTTP/1.1 408"), client.received)
        self.assertEqual((client.is_closed, self.world.faults), (True, []))

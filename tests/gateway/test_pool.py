"""Tests of the pool of connections to workers."""

import asyncio

import h11

from swiftdeck.fault import NO_CONNECTION, WORKER_UNREACHABLE, is_fault
from swiftdeck.gateway.pool import IDLE_MARGIN_S, IDLE_MOST_S, Pool
from tests.gateway.parts import SimCase, worker_registry

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nrequest: %s\r\n\r\nok"


class ScriptedWorker(asyncio.Protocol):
    """A worker that answers each request with the next bytes of a script."""

    def __init__(self, script, accepted):
        self.script, self.accepted = script, accepted

    def connection_made(self, transport):
        self.transport = transport
        self.accepted.append(self)

    def data_received(self, data):
        if self.script:
            self.transport.write(self.script.pop(0))


class PoolTest(SimCase):
    def setUp(self):
        super().setUp()
        self.pool, self.script, self.accepted = Pool(self.telemetry), [], []
        self.worker_registry = worker_registry("w1", "w2")
        self.worker = self.worker_registry.workers["w1"]
        self.world.start("worker", "10.1.0.1", self.serve)

    async def serve(self):
        await asyncio.get_running_loop().create_server(
            lambda: ScriptedWorker(self.script, self.accepted), "10.1.0.1", 8080
        )

    def take(self, worker=None, **more):
        return self.do(lambda: self.pool.acquire(worker or self.worker, **more))

    def give(self, link):
        self.within(lambda: self.pool.release(link))

    def ask(self, link, name, body=b""):
        headers = [("host", "w"), ("request", name)] + (
            [("content-length", str(len(body)))] if body else []
        )
        return self.within(lambda: link.send_request("POST", "/", headers, body))

    def answer(self, link):
        """Read the next answer to its end; return the value of its `request` header, or a fault."""

        async def main():
            head = await link.event()
            event = head
            while not is_fault(event) and not isinstance(event, h11.EndOfMessage):
                event = await link.event()
            return event if is_fault(event) else dict(head.headers)[b"request"].decode()

        return self.do(main)

    def request_and_answer(self, name="r1", link=None):
        link = link or self.take()
        self.script.append(ANSWER % name.encode())
        self.assertIsNone(self.ask(link, name))
        self.assertEqual(self.answer(link), name)
        return link

    def test_a_connection_is_reused(self):
        link = self.request_and_answer()
        self.give(link)
        again = self.take()
        self.assertIs(again, link)
        self.assertEqual((again.is_reused, self.telemetry.count["connectionsOpened"]), (True, 1))
        self.request_and_answer("r2", again)

    def test_bytes_without_a_request_close_the_connection(self):
        link = self.request_and_answer()
        self.give(link)
        self.accepted[0].transport.write(ANSWER % b"r0")
        self.world.run(0.1)
        self.assertEqual(
            (self.telemetry.count["surplusBytes"], self.pool.idle, self.pool.count),
            (1, {("w1", "10.1.0.1:8080"): []}, {"10.1.0.1:8080": 0}),
        )
        self.assertIsNot(self.take(), link)

    def test_bytes_after_a_complete_answer_prevent_reuse(self):
        link = self.take()
        self.script.append(ANSWER % b"r1" + b"HTTP/1.1 2")
        self.ask(link, "r1")
        self.assertEqual(self.answer(link), "r1")
        self.give(link)
        self.world.run(0.1)
        self.assertIsNot(self.take(), link)

    def test_an_answer_to_another_request_is_skipped_and_prevents_reuse(self):
        for body in (b"", b"x" * 1000):
            link = self.take(reuse=False)
            self.script.append(ANSWER % b"r0" + ANSWER % b"r1")
            self.ask(link, "r1", body)

            async def skip():
                head = await link.event()
                link.must_close = True
                return dict(head.headers)[b"request"], await link.skip_response()

            self.assertEqual(self.do(skip), (b"r0", None))
            self.assertEqual(self.answer(link), "r1")
            self.give(link)
            self.assertTrue(link.transport.is_closing())

    def test_a_truncated_or_closing_answer_prevents_reuse(self):
        for script in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nrequest: r1\r\n\r\nok",
            b"rubbish\r\n\r\n",
        ):
            link = self.take()
            self.script.append(script)
            self.ask(link, "r1")
            self.accepted[-1].transport.loop.call_later(0.01, self.accepted[-1].transport.abort)
            self.assertTrue(is_fault(self.answer(link)))
            self.give(link)
            self.assertIsNot(self.take(), link)
        link = self.take()
        self.script.append((ANSWER % b"r1").replace(b"request", b"Connection: close\r\nrequest"))
        self.ask(link, "r1")
        self.assertEqual(self.answer(link), "r1")
        self.give(link)
        self.assertTrue(link.transport.is_closing())

    def test_a_connection_that_was_idle_too_long_is_not_reused(self):
        link = self.request_and_answer()
        self.give(link)
        self.world.run(IDLE_MOST_S - IDLE_MARGIN_S + 0.1)
        self.assertIsNot(self.take(), link)

    def test_a_connection_closed_by_its_worker_is_not_reused(self):
        link = self.request_and_answer()
        self.give(link)
        self.accepted[0].transport.close()
        self.world.run(0.1)
        self.assertIsNot(self.take(), link)
        self.assertTrue(is_fault(self.ask(link, "r2")))

    def test_connections_are_limited_and_a_lost_one_frees_its_place(self):
        self.pool.connection_limit = lambda worker: 2
        one, two = self.take(), self.take()
        self.assertEqual(self.take().code, NO_CONNECTION.code)
        self.within(one.close)
        self.world.run(0.01)
        self.assertFalse(is_fault(self.take()))
        self.assertEqual(self.telemetry.count["connectionsCapped"], 1)
        self.assertEqual(self.take().code, NO_CONNECTION.code)
        self.give(self.request_and_answer("r1", two))
        self.assertIs(self.take(), two)

    def test_failed_connection_attempts_do_not_count(self):
        self.pool.connection_limit = lambda worker: 1
        for _ in range(3):
            self.assertEqual(
                self.take(self.worker_registry.workers["w2"]).code, WORKER_UNREACHABLE.code
            )
        self.world.net.cut(["10.0.0.1"], ["10.1.0.1"])
        for _ in range(3):
            begun_s = self.world.now
            self.assertEqual(self.take().code, WORKER_UNREACHABLE.code)
            self.assertAlmostEqual(self.world.now - begun_s, 0.3, delta=0.01)
        self.world.net.heal()
        self.assertFalse(is_fault(self.take()))

    def test_an_answer_before_the_whole_request_was_read_prevents_reuse(self):
        for body, is_kept in ((b"x" * 1000, True), (b"x" * 200000, False)):
            link = self.take(reuse=False)
            self.accepted[-1].transport.pause_reading()
            self.script.append(ANSWER % b"r1")
            self.assertIsNone(self.ask(link, "r1", body))
            self.within(lambda: self.accepted[-1].data_received(b""))
            if is_kept:
                self.within(self.accepted[-1].transport.resume_reading)
            self.world.run(0.1)

            async def read():
                head = event = await link.event()
                link.note_head(list(head.headers.raw_items()))
                while not isinstance(event, h11.EndOfMessage):
                    event = await link.event()

            self.do(read)
            self.give(link)
            self.assertEqual(link.transport.is_closing(), not is_kept, len(body))

    def test_connecting_takes_no_longer_than_the_time_left_for_the_request(self):
        self.world.net.cut(["10.0.0.1"], ["10.1.0.1"])
        for within_s, took_s in ((0.05, 0.05), (-1.0, 0.0), (9.0, 0.3)):
            begun_s = self.world.now
            self.assertEqual(self.take(within_s=within_s).code, WORKER_UNREACHABLE.code)
            self.assertAlmostEqual(self.world.now - begun_s, took_s, delta=0.01)

    def test_connections_to_an_ended_incarnation_never_serve_the_next_at_its_address(
        self,
    ):
        link = self.request_and_answer()
        self.give(link)
        self.worker_registry.workers["w1"].listed = worker_registry("w1").workers["w1"].listed
        next_life = worker_registry("w1-again").workers["w1-again"]
        self.assertEqual(next_life.listed.addr, self.worker.listed.addr)
        self.assertIsNot(self.take(next_life), link)
        self.within(lambda: self.pool.close_except({"w1-again": next_life}))
        self.assertTrue(link.transport.is_closing())

"""Cases of calls: attempts, final answers, claims and pieces."""

import asyncio
import functools
from unittest import mock

from swiftdeck.fault import (
    BAD_API_KEY,
    BAD_WORKER_OUTPUT,
    CLAIM_UNRELEASED,
    CLAIMED,
    STALE_WORKER_LIST,
    WORKER_LOST,
    WORKER_SILENT,
)
from swiftdeck.http.client import connect
from swiftdeck.traffic.call import Call
from tests.cases.bases import CallsOfWorkersCase


class CallsCase(CallsOfWorkersCase):
    """Calls whose workers, callers and routers fail."""

    def test_a_once_only_call_is_claimed_across_routers(self):
        cluster = self.cluster(routers=3)
        box = [
            cluster.spawn(
                lambda door=node["http"]: cluster.caller.call(
                    "saga", "check", ["book", "same"], idempotency="bill-7", door=door
                )
            )
            for node in cluster.site.routers
        ]
        cluster.world.run(until=lambda: all(box), limit_s=30)
        self.assertEqual(sorted(each[0]["status"] for each in box), [200, 409, 409])
        self.assertEqual({each[0]["code"] for each in box}, {0, CLAIMED.code})
        self.assertEqual(len(self.runs(cluster)), 1)
        self.sound(cluster)

    def test_a_caller_told_not_run_is_served_at_any_router_with_the_same_key(self):
        for is_granted, is_cut in ((False, False), (False, True), (True, False), (True, True)):
            cluster = self.cluster(routers=3, workers=1, speed=1.0)
            coordinator = cluster.coordinator()
            name = next(other for other in cluster.router_names() if other != coordinator)
            door = cluster.addresses[coordinator]["http"]
            busy = self.occupy(cluster, door, is_granted)
            got = self.refused_at(cluster, name, is_cut)
            if is_cut:
                cluster.world.kill(name, silent=True)
                cluster.world.run(until=functools.partial(bool, busy), limit_s=10)
            back = self.call_until_known(cluster, door)
            self.assertEqual(got["notRun"], not (is_granted and is_cut), got)
            self.assertEqual(got["code"] == CLAIM_UNRELEASED.code, is_granted and is_cut)
            self.assertTrue(got["retryAfter"])
            if got["notRun"]:
                self.assertEqual((back["code"], back["whole"]), (0, True), (is_granted, is_cut))
            self.sound(cluster)

    def occupy(self, cluster, door, is_granted):
        """Let a conversation take the only place of the site.

        It ends soon if the next one is to be granted, and outlasts its wait otherwise. Gives the
        list that takes its return.
        """
        change = {"models": {"screener": {"cap": 1}}, "routes": {"check": {"waitMs": 900}}}
        self.assertEqual(cluster.change("PATCH", change)[0], 200)
        max_tokens = 1 if is_granted else 300
        busy = cluster.spawn(
            lambda: cluster.caller.call(
                "oita", "check", ["b", "long"], is_last=True, door=door, max_tokens=max_tokens
            )
        )
        cluster.world.run(0.8 if is_granted else 0.3)
        return busy

    def refused_at(self, cluster, name, is_cut):
        """Call a router that sends nothing, and cut it from the cores midway; gives the return."""
        look, router = Call._check_before_send, cluster.up[name]

        def fails(call, attempt):
            return STALE_WORKER_LIST if call.router is router else look(call, attempt)

        door = cluster.addresses[name]["http"]
        with mock.patch.object(Call, "_check_before_send", fails):
            box = cluster.spawn(
                lambda: cluster.caller.call(
                    "saga", "check", ["b", "x"], idempotency="bill", door=door
                )
            )
            cluster.world.run(0.5)
            if is_cut:
                ip = cluster.addresses[name]["inner"].rpartition(":")[0]
                cores = [node["inner"].rpartition(":")[0] for node in cluster.site.cores]
                cluster.world.net.cut([ip], cores)
            cluster.world.run(until=lambda: box, limit_s=5)
        return box[0]

    def call_until_known(self, cluster, door):
        """Come back with the key until it is served or claimed by another run; gives the return."""
        back = cluster.call("saga", "check", ["b", "x"], idempotency="bill", door=door)
        for _ in range(10):
            if back["code"] in (0, CLAIMED.code):
                break
            cluster.world.run(1)
            back = cluster.call("saga", "check", ["b", "x"], idempotency="bill", door=door)
        return back

    def test_a_worker_that_dies_midway_ends_a_once_only_stream_without_a_second_run(self):
        cluster = self.cluster()
        self.quirk(cluster, "die midway")
        got = cluster.call("saga", "check", ["book", "x"], idempotency="k")
        self.assertEqual(
            (got["status"], got["code"], got["whole"], got["pieces"]),
            (200, WORKER_LOST.code, False, 2),
        )
        self.assertEqual(len(self.runs(cluster)), 1)
        self.sound(cluster)

    def test_a_return_in_one_piece_holds_only_the_last_run(self):
        cluster = self.cluster()
        cluster.world.run(11)
        warm = cluster.call("saga", "tag", ["book", "0"])["worker"]
        cluster.up[warm].quirk = "die midway"
        got = [
            cluster.call("saga", "tag", ["book", str(number)], stream=False, max_tokens=64)
            for number in range(3)
        ]
        self.assertEqual({each["status"] for each in got}, {200})
        self.assertGreater(sum(not item["run"].endswith("-1") for item in self.runs(cluster)), 0)
        self.assertEqual([each["wrong"] for each in got if each["wrong"]], [])
        self.sound(cluster)

    def test_a_caller_that_half_closes_its_connection_gets_its_return(self):
        cluster, got = self.cluster(workers=1), bytearray()

        class Sink(asyncio.Protocol):
            def data_received(self, data):
                got.extend(data)

            def eof_received(self):
                got.extend(b"<end>")

        async def talk(body):
            ip, _, port = cluster.site.routers[0]["http"].rpartition(":")
            transport, _ = await asyncio.get_running_loop().create_connection(Sink, ip, int(port))
            transport.write(
                b"POST /v1/calls HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-saga\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            transport.write_eof()
            await asyncio.sleep(5)

        cluster.world.run_task(
            "callers", lambda: talk(b'{"model": "check", "parts": ["book", "x"], "stream": false}')
        )
        self.assertIn(b'"end":true', got)
        self.assertTrue(got.endswith(b"<end>"))
        self.assertTrue(all(not cluster.up[name].http.open for name in cluster.router_names()))
        got.clear()
        cluster.world.run_task("callers", lambda: talk(b'{"model": '))
        self.assertIn(b'"code":100', got)
        self.sound(cluster)

    def test_malformed_foreign_and_repeated_pieces_never_reach_a_caller(self):
        for quirk in ("malformed", "foreign", "repeat", "endless line"):
            cluster = self.cluster()
            self.quirk(cluster, quirk)
            got = cluster.call("saga", "check", ["book", "x"])
            self.assertEqual(
                (got["code"], got["whole"], got["wrong"]),
                (BAD_WORKER_OUTPUT.code, False, ""),
                quirk,
            )
            self.assertLessEqual(got["pieces"], 3)
            self.sound(cluster)

    def test_a_hanging_worker_is_given_up_at_the_bound_without_a_promise(self):
        cluster = self.cluster()
        cluster.change("PATCH", {"routes": {"check": {"firstPieceMs": 2000}}})
        cluster.world.run(11)
        self.quirk(cluster, "hang")
        at_s = cluster.world.now
        got = cluster.call("saga", "check", ["book", "x"], idempotency="k")
        self.assertEqual((got["code"], got["notRun"]), (WORKER_SILENT.code, False))
        self.assertLess(cluster.world.now - at_s, 4.0)
        self.assertEqual(len(self.runs(cluster)), 1)

    def test_a_repeatable_call_goes_elsewhere_when_its_worker_is_gone(self):
        cluster = self.cluster()
        for number in range(20):
            cluster.call("saga", "tag", ["book", str(number)])
        cluster.world.run(11)
        cluster.world.kill("worker1")
        got = [cluster.call("saga", "tag", ["book", f"again {number}"]) for number in range(10)]
        self.assertEqual([each["status"] for each in got], [200] * 10)
        self.sound(cluster)

    def test_an_unreached_worker_is_no_run_and_may_be_left_for_another_once(self):
        cluster = self.cluster()
        cluster.world.run(11)
        cluster.world.kill("worker1")
        cluster.world.kill("worker2")
        got = cluster.call("saga", "check", ["book", "x"], idempotency="k")
        self.assertTrue(got["notRun"], got)
        self.assertTrue(got["retryAfter"])
        self.assertEqual(self.runs(cluster), [])
        cluster.start_worker("worker1")
        cluster.start_worker("worker2")
        cluster.world.run(5)
        self.assertEqual(
            cluster.call("saga", "check", ["book", "x"], idempotency="k")["status"], 200
        )
        self.sound(cluster)

    def test_a_caller_that_goes_away_frees_its_slot_and_its_run(self):
        for way in ("abort", "close"):
            with self.subTest(way):
                self.caller_goes_away(way)

    def test_a_caller_that_closes_before_the_first_piece_is_noticed_soon(self):
        cluster = self.cluster(workers=1, speed=1.0)
        busy = self.occupy(cluster, cluster.site.routers[0]["http"], False)

        async def leave():
            ip, _, port = cluster.site.routers[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            body = b'{"model": "check", "parts": ["waits", "x"]}'
            key = [("authorization", "Bearer key-saga")]
            work = asyncio.ensure_future(link.exchange("POST", "/v1/calls", key, body))
            await asyncio.sleep(0.2)
            work.cancel()
            link.transport.close()

        open_before = sum(cluster.up[name].open for name in cluster.router_names())
        cluster.world.run_task("callers", leave)
        cluster.world.run(0.5)
        self.assertEqual(sum(cluster.up[name].open for name in cluster.router_names()), open_before)
        self.assertFalse(busy)

    def caller_goes_away(self, way):
        cluster = self.cluster(workers=1)
        cluster.change("PATCH", {"models": {"screener": {"cap": 1, "idleMs": 500}}})

        async def leave():
            ip, _, port = cluster.site.routers[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            work = asyncio.ensure_future(
                link.exchange(
                    "POST",
                    "/v1/calls",
                    [("authorization", "Bearer key-saga")],
                    b'{"model": "check", "parts": ["book", "x"], "maxTokens": 6400}',
                )
            )
            await asyncio.sleep(1.0)
            getattr(link.transport, way)()
            work.cancel()

        cluster.world.run_task("callers", leave)
        cluster.world.run(2)
        self.assertEqual(sum(len(book.open) for book in cluster.slot_table().values()), 0)
        ended = [item for item in cluster.records if item["kind"] == "ran"]
        self.assertEqual([item["whole"] for item in ended], [False])
        self.assertTrue(all(not cluster.up[name].running for name in cluster.router_names()))

    def test_a_slow_caller_is_bounded_and_cut_off(self):
        cluster = self.cluster(workers=1)
        held = []

        async def slow():
            ip, _, port = cluster.site.routers[0]["http"].rpartition(":")
            link = await connect(ip, int(port))
            link.transport.pause_reading()
            got = asyncio.ensure_future(
                link.exchange(
                    "POST",
                    "/v1/calls",
                    [("authorization", "Bearer key-saga")],
                    (
                        b'{"model": "check", "parts": ["book", "[['
                        + b"z" * 3000
                        + b']]"], "maxTokens": 16000}'
                    ),
                )
            )
            held.append((link, got))
            await asyncio.sleep(0.01)
            link.transport.pause_reading()

        cluster.world.run_task("callers", slow)
        for _ in range(60):
            held[0][0].transport.pause_reading()
            cluster.world.run(1)
        self.assertEqual(
            sum(cluster.up[name].http.count["slowCallers"] for name in cluster.router_names()), 1
        )
        self.assertTrue(all(not cluster.up[name].open for name in cluster.router_names()))

    def test_bad_input_gets_its_code(self):
        cluster = self.cluster(bodyBytes=4096, partsMost=10)
        ip, _, port = cluster.site.routers[0]["http"].rpartition(":")

        async def send(body):
            link = await connect(ip, int(port))
            headers = [("authorization", "Bearer key-saga")]
            got = await link.exchange("POST", "/v1/calls", headers, body)
            return got.status, await got.whole()

        for body, code in [
            (b"{", 100),
            (b"[]", 100),
            (b'{"model":"tag","parts":[]}', 100),
            (b'{"model":"tag","parts":[1]}', 100),
            (b'{"model":"none","parts":["a"]}', 102),
            (b'{"model":"tag","parts":["' + b"a" * 5000 + b'"]}', 103),
            (b'{"model":"tag","parts":[' + b",".join([b'"a"'] * 11) + b"]}", 103),
            (b"\xff\xfe", 100),
        ]:
            status, answer = cluster.world.run_task("callers", functools.partial(send, body))
            self.assertIn(b'"code":%d' % code, answer)
            self.assertGreaterEqual(status, 400)
        got = cluster.call("saga", "tag", ["a", "b"], key="wrong")
        self.assertEqual((got["status"], got["code"]), (401, BAD_API_KEY.code))
        self.assertEqual(cluster.world.faults, [])

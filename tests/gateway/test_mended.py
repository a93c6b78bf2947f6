"""Faults of the gateway and the adapter that were found by reading and brought about: each of these failed once."""

import asyncio
from unittest import mock

import h11

from swiftdeck.bench.platform_api.worker import PlatformWorker
from swiftdeck.fault import WORKER_LOST
from swiftdeck.gateway.ledger import NextAction, next_action
from swiftdeck.gateway.places import PlaceTable, Wish
from swiftdeck.gateway.share import BudgetShare
from swiftdeck.gateway.worker_registry import WorkerRegistry
from swiftdeck.platform.header_codec import ClientHeaderCodec, WorkerHeaderCodec
from tests.gateway.case import SiteCase
from tests.gateway.parts import SimCase, listed
from tests.gateway.platform_cluster import MODEL, STORE, PlatformCluster
from tests.gateway.test_ledger import LOST, ledger
from tests.gateway.test_pool import ANSWER, PoolTest
from tests.platform.test_header_codec import REQUEST_HEADERS, UPSTREAM_REQUEST, exchange


class SwapsTest(SiteCase):
    def loaded(self, do):
        cluster = self.cluster(3)
        do(cluster)
        begun_s = cluster.world.now
        cluster.operate(lambda: cluster.operator.name(MODEL, 2))
        cluster.world.run(12)
        return {
            item["worker"]: round(item["atMs"] / 1000 - begun_s, 2)
            for item in cluster.records
            if item["kind"] == "loaded"
        }

    def test_a_dead_worker_on_the_list_does_not_hold_up_new_weights(self):
        loaded = self.loaded(
            lambda cluster: (
                cluster.world.kill("lm1"),
                cluster.world.call_after(4, lambda: cluster.forget("lm1")),
            )
        )
        self.assertEqual(len(loaded), 3, loaded)
        self.assertLess(max(loaded.values()), 5.5)

    def test_a_busy_worker_does_not_block_new_weights(self):
        loaded = self.loaded(lambda cluster: setattr(cluster.up["lm1"], "busy", "other"))
        self.assertEqual(len(loaded), 3, loaded)


class LedgerTest(SimCase):
    def test_a_break_keeps_its_cause(self):
        self.assertEqual(
            next_action(ledger(LOST, has_begun=True), 1.0), (NextAction.BREAK, WORKER_LOST)
        )


class WorkerRegistryTest(SimCase):
    def test_watchers_are_told_that_a_worker_drains(self):
        made, heard = WorkerRegistry(), []
        made.apply_list([listed("w1")])
        made.watchers.append(lambda: heard.append(1))
        made.apply_list([listed("w1", draining=True)])
        self.assertEqual(heard, [1])


class PlacesTest(SimCase):
    def test_a_place_asked_for_by_one_who_left_is_not_taken(self):
        def wish(name):
            return Wish(name, f"e-{name}", "t", "w1", 17000, self.world.now + 1e6)

        async def go():
            place_table = PlaceTable(mock.Mock(count=mock.MagicMock()), None, lambda worker: 20000)
            place_table.ended("c1")
            left = await place_table.ask(wish("c1"), 0)
            first = await place_table.ask(wish("c2"), 0)
            waits = asyncio.ensure_future(place_table.ask(wish("c3"), 1000))
            await asyncio.sleep(0.01)
            place_table.ended("c3")
            return (
                left,
                first,
                await waits,
                len(place_table.slots_of("w1").queue),
                len(place_table.slots_of("w1").open),
            )

        self.assertEqual(self.do(go), (False, True, False, 0, 1))


class PoolKeepTest(PoolTest):
    def test_the_time_that_a_worker_keeps_idle_connections_is_heeded(self):
        link = self.take()
        self.script.append(
            (ANSWER % b"r1").replace(b"request", b"Keep-Alive: timeout=2\r\nrequest")
        )
        self.ask(link, "r1")

        async def read():
            head = event = await link.event()
            while not isinstance(event, h11.EndOfMessage):
                event = await link.event()
            return head

        head = self.do(read)
        link.note_head(list(head.headers.raw_items()))
        self.within(lambda: self.pool.release(link))
        self.world.run(1.95)
        self.assertIsNot(self.take(), link)


class HeadersTest(SimCase):
    def test_headers_that_connection_names_concern_one_connection(self):
        sent = [*REQUEST_HEADERS, (b"Connection", b"keep-alive, X-Hop"), (b"X-Hop", b"1")]
        names = [
            name.lower()
            for name, _ in WorkerHeaderCodec().head(
                ClientHeaderCodec().read(exchange(sent)), UPSTREAM_REQUEST
            )
        ]
        self.assertNotIn(b"x-hop", names)
        self.assertNotIn(
            b"x-hop",
            [
                name.lower()
                for name, _ in WorkerHeaderCodec().passed_on(
                    [(b"Connection", b"X-Hop"), (b"X-Hop", b"1")]
                )
            ],
        )


class AnswersTest(SiteCase):
    def answering(self, status, more=""):
        """Workers answer so, though they ran; `resumed` for streams that are taken up only."""
        method = PlatformWorker._stream if more == "resumed" else PlatformWorker._answer

        async def answers(worker, exchange, head, name, run, *rest):
            if more == "resumed" and not head.get("last-event-id"):
                return await method(worker, exchange, head, name, run, *rest)
            worker.record("answer", id=name, run=run, seal="", status=status, body="x")
            await exchange.send_response(status, [("Swiftdeck-Request-Id", name)], b"after all")
            return True

        return mock.patch.object(PlatformWorker, method.__name__, answers)

    def test_a_status_that_would_promise_is_not_passed_on_from_a_worker_that_ran(self):
        with self.answering(503):
            cluster = PlatformCluster(3).start()
            cluster.ask("r-once")
            self.assertEqual(cluster.breaches(), {})

    def test_a_failed_resumption_is_not_spliced_into_the_stream(self):
        with self.answering(404, "resumed"):
            cluster = self.cluster(3)
            for name in ("lm1", "lm2", "lm3", "lm4"):
                cluster.up[name].quirk = "cut"
            cluster.world.run(6)
            self.assertNotIn("ORDER", cluster.breaches())


class SharesTest(SimCase):
    def test_routers_that_know_each_other_by_the_cores_alone_share_the_allowance(self):
        addrs = [f"r{at}" for at in range(3)]
        shares = [BudgetShare(lambda addr=addr: [addr], 0.2, 30, 10.0, lambda: 3) for addr in addrs]
        self.within(lambda: [share.call("s") for share in shares])
        self.world.run(12.5)
        self.assertLessEqual(
            self.within(lambda: sum(share.draw("s") for share in shares for _ in range(100))), 30
        )


class FollowingTest(SiteCase):
    def test_a_store_is_up_again_for_others_though_its_follower_started_anew(self):
        cluster = self.cluster(8, rate=6.0)
        owner = next(
            name
            for name in cluster.routers()
            if cluster.up[name].me.addr == cluster.up["router1"].admission.owner(STORE)
        )
        cluster.world.kill("store")
        cluster.world.run(3)
        cluster.kill(owner, back_s=0.4)
        cluster.start_store()
        cluster.world.run(15)
        nodes = [cluster.up[name] for name in cluster.routers()]
        self.assertEqual(
            [node.kept.is_down(STORE, node.loop.time()) for node in nodes], [False] * len(nodes)
        )


class WallsTest(SiteCase):
    def test_parts_of_a_tenant_from_before_it_was_set_apart_are_used_by_nobody(self):
        cluster = PlatformCluster(6).start()
        cluster.ask("r-stream", tenant="pair7")
        customers = [{"name": "pair7", "api-keys": ["key-p1"], "urgency": 1, "isolated": True}]
        cluster.operate(lambda: cluster.operator.patch(5, put={"customers": customers}))
        cluster.world.run(2.5)
        cluster.ask("r-stream", path="2", tenant="nowu640")
        self.assertEqual(cluster.breaches(), {})


del SiteCase, SimCase
for each in [name for name in dir(PoolTest) if name.startswith("test_")]:
    setattr(PoolKeepTest, each, None)
del PoolTest

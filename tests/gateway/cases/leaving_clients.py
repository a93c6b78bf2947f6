"""Cases of clients that close their connection before they have their answer: their work ends with them."""

import asyncio
from unittest import mock

from swiftdeck.fault import CLIENT_CLOSED
from swiftdeck.gateway.admission import Admission
from swiftdeck.gateway.pool import Pool
from swiftdeck.http.exchange import HttpExchange
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster
from tests.gateway.raw import RawClient

LEAVES_S, SOON_S = 0.3, 0.5
MODELS, APPS = ("lm1", "lm2", "lm3", "lm4"), ("app1", "app2")


async def waits_forever(*_, **__):
    """Never come to an end."""
    await asyncio.Event().wait()


class LeavingClientsCase(SiteCase):
    def leave(self, route, workers, count=12, quirk="silence", cluster=None):
        """Clients ask for something that its workers hold back, and leave."""
        cluster = cluster or PlatformCluster(61).start()
        for name in workers:
            cluster.up[name].quirk = quirk
        for at in range(count):
            cluster.beside(
                lambda at=at: cluster._asking(route, f"left{at}", leaves_s=LEAVES_S, keeps=False),
                "clients",
            )
        cluster.world.run(LEAVES_S + SOON_S + 0.1)
        return cluster

    def assert_nothing_is_left(self, cluster):
        """No request is open at a router, and nothing runs at a worker."""
        self.assertEqual([cluster.up[name].open for name in cluster.routers()], [0, 0, 0])
        self.assertEqual([len(cluster.up[name].active) for name in cluster.workers], [0] * 6)
        self.assertEqual(cluster.breaches(), {})
        self.assertEqual(cluster.world.faults, [])

    def test_work_that_a_worker_holds_back_ends_with_its_client(self):
        for route, workers in (("r-stream", MODELS), ("r-resume", MODELS), ("r-safe", APPS)):
            with self.subTest(route):
                self.assert_nothing_is_left(self.leave(route, workers))

    def test_without_the_watch_the_checker_finds_work_for_clients_that_have_left(self):
        blind = mock.patch.multiple(
            HttpExchange,
            watch_client=lambda *_: None,
            has_client_ended=lambda *_: False,
        )
        self.assert_falls_without(blind, lambda: self.leave("r-stream", MODELS), "GONE")

    def test_requests_that_wait_for_a_place_or_a_connection_end_with_their_clients(self):
        for waiting, route in (
            (mock.patch.object(Admission, "ask", waits_forever), "r-stream"),
            (mock.patch.object(Pool, "acquire", waits_forever), "r-resume"),
            (mock.patch.object(Pool, "acquire", waits_forever), "r-safe"),
            (mock.patch.object(Pool, "acquire", waits_forever), "r-once"),
        ):
            with self.subTest(route), waiting:
                cluster = self.leave(route, ())
                self.assertEqual([item for item in cluster.records if item["kind"] == "arrive"], [])
                self.assert_nothing_is_left(cluster)

    def test_what_may_run_only_once_is_not_taken_back_from_its_worker(self):
        cluster = self.leave("r-once", APPS, count=4, quirk="slow")
        self.assertEqual(sum(len(cluster.up[name].active) for name in APPS), 4)
        cluster.world.run(1.0)
        self.assertEqual(
            [item["whole"] for item in cluster.records if item["kind"] == "ran"], [True] * 4
        )
        self.assert_nothing_is_left(cluster)

    def half_closed(self, route):
        """What a client gets that asks for something slow, sends no more and listens."""
        cluster = PlatformCluster(62).start()
        for name in APPS:
            cluster.up[name].quirk = "slow"
        client = cluster.operate(lambda: RawClient(cluster, "router1").open())
        cluster._do("operator", lambda: client.ask("h1", route))
        cluster.world.run(0.2)
        cluster._do("operator", client.transport.write_eof)
        cluster.world.run(2.0)
        return client

    def test_a_client_that_only_listens_gets_what_may_run_only_once_and_else_an_answer_at_once(
        self,
    ):
        self.assertEqual([each["status"] for each in self.half_closed("r-once").account()], [200])
        client = self.half_closed("r-safe")
        self.assertEqual([each["status"] for each in client.account()], [502])
        self.assertIn(CLIENT_CLOSED.name.encode(), bytes(client.got))

    def test_a_frozen_router_sends_nothing_on_for_clients_that_left_meanwhile(self):
        cluster = PlatformCluster(63).start()
        cluster.freeze("router1", 2.0)
        for at, route in enumerate(("r-safe", "r-resume", "r-stream") * 4):
            cluster.beside(
                lambda at=at, route=route: cluster._asking(
                    route, f"late{at}", door="router1", leaves_s=LEAVES_S, keeps=False
                ),
                "clients",
            )
        cluster.world.run(4.0)
        self.assertEqual([item for item in cluster.records if item["kind"] == "arrive"], [])
        self.assert_nothing_is_left(cluster)

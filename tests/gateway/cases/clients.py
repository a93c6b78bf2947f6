"""Cases of clients that pipeline, half-close, reset, dawdle, smuggle, or come back while their first try still runs."""

import random
from unittest import mock

from swiftdeck.http.request_parser import RequestParser
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster
from tests.gateway.raw import RawClient, request_bytes
from tests.http.test_server import AMBIGUOUS

ROUTERS = ("router1", "router2", "router3")


class ClientsCase(SiteCase):
    def raw(self, cluster, router="router1"):
        """An open connection of a client that writes what it likes."""
        return cluster.operate(lambda: RawClient(cluster, router).open())

    def within(self, cluster, action):
        """Do something inside the clients' process."""
        cluster._do("operator", action)

    def assert_calm(self, cluster):
        """No rule is broken, and nothing is left of any request at any router."""
        cluster.world.run(4)
        self.assertEqual(cluster.breaches(), {})
        self.assertEqual(cluster.world.faults, [])
        self.assertEqual([cluster.up[name].open for name in cluster.routers()], [0] * 3)

    def test_pipelined_requests_get_their_own_answers_in_order(self):
        for seed in (41, 42):
            cluster = PlatformCluster(seed).start()
            cluster.up["app1"].quirk, cluster.up["app1"].quirk_share = "surplus", 0.5
            client = self.raw(cluster)

            def ask(client=client):
                for at, route in enumerate(("r-once", "r-safe", "r-once", "r-safe") * 3):
                    client.ask(f"p{at}", route, body=b"x" * (at * 700))

            self.within(cluster, ask)
            cluster.world.run(4)
            got = client.account()
            self.assertEqual([item["status"] for item in got], [200] * 12)
            self.assertEqual([item["ownId"] for item in got], client.asked)
            self.assert_calm(cluster)

    def test_half_closed_connections_get_their_answer(self):
        cluster = PlatformCluster(43).start()
        client = self.raw(cluster)

        def ask():
            client.ask("h1", "r-once")
            client.transport.write_eof()

        self.within(cluster, ask)
        cluster.world.run(2)
        self.assertEqual([item["status"] for item in client.account()], [200])
        self.assertTrue(client.is_over)
        self.assert_calm(cluster)

    def test_connections_that_are_reset_at_any_time_leave_nothing_behind(self):
        cluster, rng = self.cluster(44, rate=4), random.Random(44)
        for at in range(40):
            client, route = self.raw(cluster, rng.choice(ROUTERS)), rng.choice(("r-once", "r-safe"))
            data = request_bytes(f"x{at}", route, body=b"y" * 3000)
            cut = rng.choice((0, 10, 200, len(data) - 1, len(data), len(data)))

            def ask(client=client, route=route, data=data, at=at, cut=cut):
                client.tell(f"x{at}", route, body=b"y" * 3000)
                client.transport.write(data[:cut])

            self.within(cluster, ask)
            cluster.world.run(rng.choice((0, 0.001, 0.003, 0.02, 0.03)))
            self.within(cluster, client.transport.abort)
        self.assert_calm(cluster)
        self.assertTrue(
            any(item["id"].startswith("x") for item in cluster.records if item["kind"] == "run")
        )

    def smuggle(self, names=tuple(AMBIGUOUS)):
        """Requests whose body, read another way, holds a request of its own."""
        cluster = PlatformCluster(45).start()
        for at, name in enumerate(names):
            client = self.raw(cluster, ROUTERS[at % 3])
            outer = request_bytes(f"o{at}", "r-once", body=b"").replace(
                b"Content-Length: 0\r\n\r\n", b""
            )
            ambiguous = AMBIGUOUS[name].partition(b"Host: x\r\n")[2]
            inner = request_bytes(f"smuggled{at}", "r-once")
            self.within(
                cluster,
                lambda client=client, data=outer + ambiguous + inner: client.transport.write(data),
            )
            cluster.world.run(0.3)
        return cluster

    def test_no_smuggled_request_runs(self):
        cluster = self.smuggle()
        self.assertEqual([item for item in cluster.records if item["kind"] == "arrive"], [])
        self.assert_calm(cluster)
        self.assert_falls_without(
            mock.patch.object(RequestParser, "next_event", lambda self: self.conn.next_event()),
            self.smuggle,
            "UNASKED",
        )

    def test_slow_and_oversize_heads_end_with_an_answer_that_promises(self):
        cluster = PlatformCluster(46).start()
        slow, large = self.raw(cluster), self.raw(cluster)
        self.within(cluster, lambda: slow.transport.write(request_bytes("s1")[:60]))
        self.within(
            cluster,
            lambda: large.transport.write(request_bytes("l1", lines=["X: " + "a" * 40000])[:30000]),
        )
        cluster.world.run(3.5)
        self.assertTrue(slow.got.startswith(b"HTTP/1.1 408 "), slow.got)
        self.assertIn(b"retry-after: ", slow.got)
        self.assertTrue(large.got.startswith(b"HTTP/1.1 431 "), large.got)
        self.assertEqual([item for item in cluster.records if item["kind"] == "arrive"], [])
        self.assert_calm(cluster)

    def test_a_client_that_comes_back_under_a_new_id_runs_once_under_each(self):
        cluster = PlatformCluster(47).start()
        for name in ("app1", "app2"):
            cluster.up[name].quirk = "slow"
        first, second = self.raw(cluster, "router1"), self.raw(cluster, "router2")
        self.within(cluster, lambda: first.ask("f.0", "r-once"))
        cluster.world.run(0.3)
        self.within(cluster, first.transport.abort)
        self.within(cluster, lambda: second.ask("f.1", "r-once"))
        cluster.world.run(3)
        self.assertEqual([item["status"] for item in second.account()], [200])
        self.assert_calm(cluster)

    def test_a_frozen_router_wakes_with_requests_of_clients_that_are_gone_and_late_answers(self):
        for seed, for_s in ((48, 0.6), (49, 2.0), (50, 4.5)):
            cluster = self.cluster(seed, rate=10)
            for name in ("app1", "lm1"):
                cluster.up[name].quirk, cluster.up[name].quirk_share = "surplus", 0.5
            cluster.world.run(1)
            cluster.freeze("router1", for_s)
            client = self.raw(cluster)
            for at in range(6):
                self.within(cluster, lambda at=at, client=client: client.ask(f"z{at}", "r-once"))
                cluster.world.run(0.05)
            self.within(cluster, client.transport.abort)
            cluster.world.run(for_s + 2)
            cluster.rest()
            self.assert_calm(cluster)

    def reset_connections(self, seed):
        """All connections of a router are reset, again and again."""
        cluster = self.cluster(seed, rate=12)
        for _ in range(8):
            cluster.world.run(0.37)
            cluster.reset_connections("router2")
        cluster.world.run(1)
        return cluster

    def test_resets_of_all_connections_of_a_router_break_no_rule(self):
        for seed in (51, 52):
            self.assert_calm(self.reset_connections(seed))

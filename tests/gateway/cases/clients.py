"""Cases of clients that pipeline, half-close, reset, dawdle, smuggle, or come back while their first try still runs."""

import random
from unittest import mock

from swiftdeck.http.server import HttpConversation
from tests.gateway.case import SiteCase
from tests.gateway.raw import RawClient, request_bytes
from tests.gateway.town import PlatformTown
from tests.http.test_server import AMBIGUOUS

ROUTERS = ("router1", "router2", "router3")


class ClientsCase(SiteCase):
    def raw(self, town, router="router1"):
        """An open connection of a client that writes what it likes."""
        return town.operate(lambda: RawClient(town, router).open())

    def within(self, town, action):
        """Do something inside the clients' process."""
        town._do("operator", action)

    def assert_calm(self, town):
        """No rule is broken, and nothing is left of any request at any router."""
        town.world.run(4)
        self.assertEqual(town.breaches(), {})
        self.assertEqual(town.world.faults, [])
        self.assertEqual([town.up[name].open for name in town.routers()], [0] * 3)

    def test_pipelined_requests_get_their_own_answers_in_order(self):
        for seed in (41, 42):
            town = PlatformTown(seed).start()
            town.up["app1"].quirk, town.up["app1"].quirk_share = "surplus", 0.5
            client = self.raw(town)

            def ask(client=client):
                for at, route in enumerate(("r-once", "r-safe", "r-once", "r-safe") * 3):
                    client.ask(f"p{at}", route, body=b"x" * (at * 700))

            self.within(town, ask)
            town.world.run(4)
            got = client.account()
            self.assertEqual([item["status"] for item in got], [200] * 12)
            self.assertEqual([item["ownId"] for item in got], client.asked)
            self.assert_calm(town)

    def test_half_closed_connections_get_their_answer(self):
        town = PlatformTown(43).start()
        client = self.raw(town)

        def ask():
            client.ask("h1", "r-once")
            client.transport.write_eof()

        self.within(town, ask)
        town.world.run(2)
        self.assertEqual([item["status"] for item in client.account()], [200])
        self.assertTrue(client.is_over)
        self.assert_calm(town)

    def test_connections_that_are_reset_at_any_time_leave_nothing_behind(self):
        town, rng = self.town(44, rate=4), random.Random(44)
        for at in range(40):
            client, route = self.raw(town, rng.choice(ROUTERS)), rng.choice(("r-once", "r-safe"))
            data = request_bytes(f"x{at}", route, body=b"y" * 3000)
            cut = rng.choice((0, 10, 200, len(data) - 1, len(data), len(data)))

            def ask(client=client, route=route, data=data, at=at, cut=cut):
                client.tell(f"x{at}", route, body=b"y" * 3000)
                client.transport.write(data[:cut])

            self.within(town, ask)
            town.world.run(rng.choice((0, 0.001, 0.003, 0.02, 0.03)))
            self.within(town, client.transport.abort)
        self.assert_calm(town)
        self.assertTrue(
            any(item["id"].startswith("x") for item in town.records if item["kind"] == "run")
        )

    def smuggle(self, names=tuple(AMBIGUOUS)):
        """Requests whose body, read another way, holds a request of its own."""
        town = PlatformTown(45).start()
        for at, name in enumerate(names):
            client = self.raw(town, ROUTERS[at % 3])
            outer = request_bytes(f"o{at}", "r-once", body=b"").replace(
                b"Content-Length: 0\r\n\r\n", b""
            )
            ambiguous = AMBIGUOUS[name].partition(b"Host: x\r\n")[2]
            inner = request_bytes(f"smuggled{at}", "r-once")
            self.within(
                town,
                lambda client=client, data=outer + ambiguous + inner: client.transport.write(data),
            )
            town.world.run(0.3)
        return town

    def test_no_smuggled_request_runs(self):
        town = self.smuggle()
        self.assertEqual([item for item in town.records if item["kind"] == "arrive"], [])
        self.assert_calm(town)
        self.assert_falls_without(
            mock.patch.object(HttpConversation, "next_event", lambda self: self.conn.next_event()),
            self.smuggle,
            "UNASKED",
        )

    def test_slow_and_oversize_heads_end_with_an_answer_that_promises(self):
        town = PlatformTown(46).start()
        slow, large = self.raw(town), self.raw(town)
        self.within(town, lambda: slow.transport.write(request_bytes("s1")[:60]))
        self.within(
            town,
            lambda: large.transport.write(request_bytes("l1", lines=["X: " + "a" * 40000])[:30000]),
        )
        town.world.run(3.5)
        self.assertTrue(slow.got.startswith(b"HTTP/1.1 408 "), slow.got)
        self.assertIn(b"retry-after: ", slow.got)
        self.assertTrue(large.got.startswith(b"HTTP/1.1 431 "), large.got)
        self.assertEqual([item for item in town.records if item["kind"] == "arrive"], [])
        self.assert_calm(town)

    def test_a_client_that_comes_back_under_a_new_id_runs_once_under_each(self):
        town = PlatformTown(47).start()
        for name in ("app1", "app2"):
            town.up[name].quirk = "slow"
        first, second = self.raw(town, "router1"), self.raw(town, "router2")
        self.within(town, lambda: first.ask("f.0", "r-once"))
        town.world.run(0.3)
        self.within(town, first.transport.abort)
        self.within(town, lambda: second.ask("f.1", "r-once"))
        town.world.run(3)
        self.assertEqual([item["status"] for item in second.account()], [200])
        self.assert_calm(town)

    def test_a_frozen_router_wakes_with_requests_of_clients_that_are_gone_and_late_answers(self):
        for seed, for_s in ((48, 0.6), (49, 2.0), (50, 4.5)):
            town = self.town(seed, rate=10)
            for name in ("app1", "lm1"):
                town.up[name].quirk, town.up[name].quirk_share = "surplus", 0.5
            town.world.run(1)
            town.freeze("router1", for_s)
            client = self.raw(town)
            for at in range(6):
                self.within(town, lambda at=at, client=client: client.ask(f"z{at}", "r-once"))
                town.world.run(0.05)
            self.within(town, client.transport.abort)
            town.world.run(for_s + 2)
            town.rest()
            self.assert_calm(town)

    def reset_connections(self, seed):
        """All connections of a router are reset, again and again."""
        town = self.town(seed, rate=12)
        for _ in range(8):
            town.world.run(0.37)
            town.reset_connections("router2")
        town.world.run(1)
        return town

    def test_resets_of_all_connections_of_a_router_break_no_rule(self):
        for seed in (51, 52):
            self.assert_calm(self.reset_connections(seed))

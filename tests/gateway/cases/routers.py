"""Cases of routers that are killed, frozen, cut off or stopped."""

from unittest import mock

from swiftdeck.gateway.gateway import Gateway
from swiftdeck.traffic.lease import ConfigLease
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import HOST, PlatformCluster


async def stops_at_once(self):
    """A router that waits for nobody."""
    self.http.stop()
    self.mesh.close()


class RoutersCase(SiteCase):
    def test_a_router_is_killed_and_comes_back(self):
        cluster = self.cluster(1)
        cluster.kill("router1", back_s=3)
        cluster.world.run(8)
        self.assert_kept(cluster, 0.93)
        self.assertTrue(cluster.up["router1"].is_ready())

    def test_a_router_is_gone_for_good_and_its_places_come_back(self):
        cluster = self.cluster(2, rate=12)
        cluster.kill("router2", silent=True)
        cluster.world.run(10)
        self.assert_kept(cluster, 0.93)
        place_table = [
            book
            for name in cluster.routers()
            for book in cluster.up[name].admission.place_table.status().values()
        ]
        self.assertEqual(sum(book["open"] + book["line"] for book in place_table), 0, place_table)

    def test_a_frozen_router_wakes_with_what_came_meanwhile(self):
        cluster = self.cluster(3)
        cluster.freeze("router2", 1)
        cluster.world.run(4)
        cluster.freeze("router2", 4)
        cluster.world.run(7)
        self.assert_kept(cluster, 0.9)

    def test_a_router_that_is_cut_off_from_all_others_serves_on(self):
        cluster = self.cluster(5)
        others = [ip for name, ip in cluster.machines.items() if name != "router1"]
        cluster.trouble(
            "router1", lambda: cluster.world.net.cut([cluster.machines["router1"]], others), 8
        )
        cluster.world.run(8)
        self.assertEqual(
            [
                cluster.ask(name, door="router1")["status"]
                for name in ("r-safe", "r-once", "r-resume")
            ],
            [200] * 3,
        )
        cluster.world.net.heal()
        cluster.world.run(3)
        self.assert_kept(cluster)

    def test_routers_that_are_stopped_in_turn_lose_nothing(self):
        cluster = self.cluster(6, rate=10)
        for name in cluster.routers():
            task = cluster.beside(cluster.up[name].stop, name)
            self.assertTrue(cluster.world.run(until=task.done, limit_s=8))
            cluster.world.kill(name)
            cluster.world.run(0.3)
            cluster.start_router(name)
            cluster.world.run(1.5)
        cluster.rest()
        self.assertEqual(
            [
                item
                for item in cluster.records
                if item["kind"] == "result" and item["sent"] and not item["complete"]
            ],
            [],
        )
        self.assert_kept(cluster)

    def roll(self, rate=14):
        """Routers are told to stop in turn while they are busy, and come back."""
        cluster = self.cluster(17, rate)
        for name in ("router1", "router2"):
            stopping = cluster.terminate(name)
            cluster.world.run(until=stopping.done, limit_s=8)
            cluster.world.kill(name)
            cluster.world.run(0.3)
            cluster.start_router(name)
            cluster.world.run(1.5)
        return cluster

    def test_a_busy_router_that_is_told_to_stop_loses_nothing(self):
        self.assert_kept(self.roll())
        self.assert_falls_without(
            mock.patch.object(Gateway, "stop", stops_at_once), self.roll, "LOST"
        )

    def test_a_long_stream_is_finished_by_a_router_that_stops(self):
        def events():
            cluster = PlatformCluster(7).start()
            task = cluster.beside(
                lambda: cluster._asking("r-stream", door="router1", out=600, within_ms=6000),
                "clients",
            )
            cluster.world.run(0.5)
            stopping = cluster.beside(cluster.up["router1"].stop, "router1")
            cluster.world.run(until=stopping.done, limit_s=8)
            cluster.world.kill("router1")
            cluster.world.run(until=task.done, limit_s=8)
            self.assertEqual(cluster.breaches(), {})
            return len(task.result()["events"])

        self.assertEqual(events(), 600)
        with mock.patch.object(Gateway, "stop", stops_at_once):
            self.assertLess(events(), 600)

    def begin_without_lease(self):
        """A router starts while most cores are gone."""
        cluster = self.cluster(8)
        for name in cluster.cores()[:2]:
            cluster.kill(name)
        cluster.world.run(5)
        cluster.kill("router1", back_s=0.5)
        cluster.world.run(5)
        return cluster

    def test_a_router_that_starts_while_no_lease_is_to_be_had_takes_what_a_tail_has_synced(self):
        cluster = self.begin_without_lease()
        self.assertEqual(
            (cluster.up["router1"].is_ready(), cluster.up["router1"].lease.is_held()), (True, False)
        )
        self.assertEqual(
            [cluster.ask(name, door="router1")["status"] for name in ("r-safe", "r-resume")],
            [200, 200],
        )
        self.assertEqual(cluster.ask("none", start="/nowhere/", door="router1")["status"], 404)
        for name in ("core1", "core2"):
            cluster.start_core(name)
        cluster.world.run(8)
        self.assertTrue(cluster.up["router1"].lease.is_held())
        self.assert_kept(cluster, 0.95)

        async def peeks_at_nothing(self):
            return None

        with mock.patch.object(ConfigLease, "_peek_durable_config", peeks_at_nothing):
            self.assertFalse(self.begin_without_lease().up["router1"].is_ready())

    def test_clients_that_leave_take_nothing_with_them(self):
        cluster = PlatformCluster(9).start()
        for at in range(12):
            cluster.beside(
                lambda: cluster._asking("r-stream", f"x{at}", out=400, within_ms=200 + 20 * at),
                "clients",
            )
        cluster.world.run(8)
        self.assertEqual([cluster.up[name].open for name in cluster.routers()], [0, 0, 0])
        self.assertEqual(
            sum(
                worker.running + worker.running_long
                for name in cluster.routers()
                for worker in cluster.up[name].worker_registry.workers.values()
            ),
            0,
        )
        place_table = [
            book
            for name in cluster.routers()
            for book in cluster.up[name].admission.place_table.status().values()
        ]
        self.assertEqual(sum(book["open"] + book["line"] for book in place_table), 0, place_table)
        self.assertEqual(cluster.breaches(), {})
        self.assertTrue(
            all(item["host"] == HOST for item in cluster.records if item["kind"] == "try")
        )

"""Cases of routers that are killed, frozen, cut off or stopped."""

from unittest import mock

from swiftdeck.gateway.gateway import Gateway
from swiftdeck.traffic.lease import ConfigLease
from tests.gateway.case import SiteCase
from tests.gateway.town import HOST, PlatformTown


async def stops_at_once(self):
    """A router that waits for nobody."""
    self.http.stop()
    self.mesh.close()


class RoutersCase(SiteCase):
    def test_a_router_is_killed_and_comes_back(self):
        town = self.town(1)
        town.kill("router1", back_s=3)
        town.world.run(8)
        self.assert_kept(town, 0.93)
        self.assertTrue(town.up["router1"].is_ready())

    def test_a_router_is_gone_for_good_and_its_places_come_back(self):
        town = self.town(2, rate=12)
        town.kill("router2", silent=True)
        town.world.run(10)
        self.assert_kept(town, 0.93)
        books = [
            book
            for name in town.routers()
            for book in town.up[name].admission.books.status().values()
        ]
        self.assertEqual(sum(book["open"] + book["line"] for book in books), 0, books)

    def test_a_frozen_router_wakes_with_what_came_meanwhile(self):
        town = self.town(3)
        town.freeze("router2", 1)
        town.world.run(4)
        town.freeze("router2", 4)
        town.world.run(7)
        self.assert_kept(town, 0.9)

    def test_a_router_that_is_cut_off_from_all_others_serves_on(self):
        town = self.town(5)
        others = [ip for name, ip in town.machines.items() if name != "router1"]
        town.trouble("router1", lambda: town.world.net.cut([town.machines["router1"]], others), 8)
        town.world.run(8)
        self.assertEqual(
            [town.ask(name, door="router1")["status"] for name in ("r-safe", "r-once", "r-resume")],
            [200] * 3,
        )
        town.world.net.heal()
        town.world.run(3)
        self.assert_kept(town)

    def test_routers_that_are_stopped_in_turn_lose_nothing(self):
        town = self.town(6, rate=10)
        for name in town.routers():
            task = town.beside(town.up[name].stop, name)
            self.assertTrue(town.world.run(until=task.done, limit_s=8))
            town.world.kill(name)
            town.world.run(0.3)
            town.start_router(name)
            town.world.run(1.5)
        town.rest()
        self.assertEqual(
            [
                item
                for item in town.records
                if item["kind"] == "result" and item["sent"] and not item["complete"]
            ],
            [],
        )
        self.assert_kept(town)

    def roll(self, rate=14):
        """Routers are told to stop in turn while they are busy, and come back."""
        town = self.town(17, rate)
        for name in ("router1", "router2"):
            stopping = town.terminate(name)
            town.world.run(until=stopping.done, limit_s=8)
            town.world.kill(name)
            town.world.run(0.3)
            town.start_router(name)
            town.world.run(1.5)
        return town

    def test_a_busy_router_that_is_told_to_stop_loses_nothing(self):
        self.assert_kept(self.roll())
        self.assert_falls_without(
            mock.patch.object(Gateway, "stop", stops_at_once), self.roll, "LOST"
        )

    def test_a_long_stream_is_finished_by_a_router_that_stops(self):
        def events():
            town = PlatformTown(7).start()
            task = town.beside(
                lambda: town._asking("r-stream", door="router1", out=600, within_ms=6000), "clients"
            )
            town.world.run(0.5)
            stopping = town.beside(town.up["router1"].stop, "router1")
            town.world.run(until=stopping.done, limit_s=8)
            town.world.kill("router1")
            town.world.run(until=task.done, limit_s=8)
            self.assertEqual(town.breaches(), {})
            return len(task.result()["events"])

        self.assertEqual(events(), 600)
        with mock.patch.object(Gateway, "stop", stops_at_once):
            self.assertLess(events(), 600)

    def begin_without_lease(self):
        """A router starts while most cores are gone."""
        town = self.town(8)
        for name in town.cores()[:2]:
            town.kill(name)
        town.world.run(5)
        town.kill("router1", back_s=0.5)
        town.world.run(5)
        return town

    def test_a_router_that_starts_while_no_lease_is_to_be_had_takes_what_a_tail_has_synced(self):
        town = self.begin_without_lease()
        self.assertEqual(
            (town.up["router1"].is_ready(), town.up["router1"].lease.is_held()), (True, False)
        )
        self.assertEqual(
            [town.ask(name, door="router1")["status"] for name in ("r-safe", "r-resume")],
            [200, 200],
        )
        self.assertEqual(town.ask("none", start="/nowhere/", door="router1")["status"], 404)
        for name in ("core1", "core2"):
            town.start_core(name)
        town.world.run(8)
        self.assertTrue(town.up["router1"].lease.is_held())
        self.assert_kept(town, 0.95)

        async def peeks_at_nothing(self):
            return None

        with mock.patch.object(ConfigLease, "_peek", peeks_at_nothing):
            self.assertFalse(self.begin_without_lease().up["router1"].is_ready())

    def test_clients_that_leave_take_nothing_with_them(self):
        town = PlatformTown(9).start()
        for at in range(12):
            town.beside(
                lambda: town._asking("r-stream", f"x{at}", out=400, within_ms=200 + 20 * at),
                "clients",
            )
        town.world.run(8)
        self.assertEqual([town.up[name].open for name in town.routers()], [0, 0, 0])
        self.assertEqual(
            sum(
                worker.running + worker.running_long
                for name in town.routers()
                for worker in town.up[name].worker_registry.workers.values()
            ),
            0,
        )
        books = [
            book
            for name in town.routers()
            for book in town.up[name].admission.books.status().values()
        ]
        self.assertEqual(sum(book["open"] + book["line"] for book in books), 0, books)
        self.assertEqual(town.breaches(), {})
        self.assertTrue(all(item["host"] == HOST for item in town.records if item["kind"] == "try"))

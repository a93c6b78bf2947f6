"""Cases of clients that close their connection before they have their answer: their work ends with them."""

from tests.gateway.case import SiteCase
from tests.gateway.town import PlatformTown

LEAVES_S, SOON_S = 0.3, 0.5
MODELS, APPS = ("lm1", "lm2", "lm3", "lm4"), ("app1", "app2")


class LeavingClientsCase(SiteCase):
    def leave(self, route, workers, count=12, quirk="silence", town=None):
        """Clients ask for something that its workers hold back, and leave."""
        town = town or PlatformTown(61).start()
        for name in workers:
            town.up[name].quirk = quirk
        for at in range(count):
            town.beside(
                lambda at=at: town._asking(route, f"left{at}", leaves_s=LEAVES_S, keeps=False),
                "clients",
            )
        town.world.run(LEAVES_S + SOON_S + 0.1)
        return town

    def assert_nothing_is_left(self, town):
        """No request is open at a router, and nothing runs at a worker."""
        self.assertEqual([town.up[name].open for name in town.routers()], [0, 0, 0])
        self.assertEqual([len(town.up[name].active) for name in town.workers], [0] * 6)
        self.assertEqual(town.breaches(), {})
        self.assertEqual(town.world.faults, [])

    def test_work_that_a_worker_holds_back_ends_with_its_client(self):
        for route, workers in (("r-stream", MODELS), ("r-resume", MODELS), ("r-safe", APPS)):
            with self.subTest(route):
                self.assert_nothing_is_left(self.leave(route, workers))

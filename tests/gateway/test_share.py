"""Tests of the routers' shares of one retry budget."""

from swiftdeck.gateway.share import BudgetShare
from tests.gateway.parts import SimCase

RATIO, EXTRA, WINDOW_S = 0.2, 58, 10.0


class ShareTest(SimCase):
    def setUp(self):
        super().setUp()
        self.routers = [f"10.0.0.{index}:7000" for index in range(1, 10)]

    def make_shares(self, count):
        """Return the shares of routers that know each other and have each counted a request."""
        shares = [
            BudgetShare(lambda: self.routers[:count], RATIO, EXTRA, WINDOW_S) for _ in range(count)
        ]
        self.within(lambda: [share.call("s") for share in shares])
        return shares

    def drawn(self, shares, service="s"):
        return self.within(
            lambda: sum(share.draw(service) for share in shares for _ in range(1000))
        )

    def test_a_new_router_has_no_allowance_at_first(self):
        shares = self.make_shares(3)
        self.assertEqual(self.drawn(shares), 0)
        self.world.run(WINDOW_S + 2.1)
        self.assertGreater(self.drawn(shares), 0)

    def test_the_sum_over_all_routers_stays_within_the_budget(self):
        for count in (1, 2, 5, 9):
            shares = self.make_shares(count)
            self.world.run(WINDOW_S + 2.1)
            self.within(
                lambda: [
                    share.call("s") for index, share in enumerate(shares) for _ in range(10 * index)
                ]
            )
            calls = sum(10 * index for index in range(count))
            self.assertLessEqual(self.drawn(shares), RATIO * calls + EXTRA, count)
            self.assertEqual(self.drawn(shares), 0)

    def test_every_window_stays_within_the_budget(self):
        shares, drawn = self.make_shares(3), []
        for _ in range(400):
            self.world.run(0.1)
            self.within(lambda: [share.call("s") for share in shares])
            drawn.append(self.drawn(shares))
        max_drawn = max(sum(drawn[index : index + 100]) for index in range(300))
        self.assertLessEqual(max_drawn, RATIO * 300 + EXTRA)
        self.assertGreater(max_drawn, RATIO * 300 * 0.8)

    def test_each_service_has_its_own_budget(self):
        shares = self.make_shares(2)
        self.within(lambda: [shares[0].call("other") for _ in range(100)])
        self.assertEqual((self.drawn(shares[:1], "other"), self.drawn(shares)), (18, 0))

    def test_lost_routers_still_count(self):
        (share,) = self.make_shares(1)
        share.routers = lambda: self.routers
        self.world.run(WINDOW_S + 2.1)
        self.within(lambda: share.has("s"))
        share.routers = lambda: self.routers[:1]
        self.assertLessEqual(self.drawn([share]), EXTRA / 9)

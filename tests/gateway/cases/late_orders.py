"""Cases of orders that reach their workers long after they were given up: newer weights are not undone."""

from unittest import mock

from swiftdeck.platform.orders import PlatformOrders
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import MODEL

LATE = ("lm1", "lm2", "lm3")
DELAY_S, PAUSE_S, AFTER_S = 9.0, 3.0, 16.0


async def order_without_count(self, addr, model, version, owner, fence, worker, expected_count):
    """An order that doesn't say how many were taken before it."""
    return await ORDER(self, addr, model, version, owner, fence, worker)


ORDER = PlatformOrders.order


class LateOrdersCase(SiteCase):
    def name(self, cluster, version):
        """Name new weights; they are acknowledged when this returns."""
        self.assertEqual(cluster.operate(lambda: cluster.operator.name(MODEL, version)), 200)

    def name_twice(self, seed, delays_s):
        """Weights are named twice; orders for the first ones have no answer, and arrive late."""
        cluster = self.cluster(seed, models=6)
        for name, delay_s in zip(LATE, delays_s, strict=True):
            cluster.up[name].order_delays_s = [delay_s]
        self.name(cluster, 2)
        cluster.world.run(PAUSE_S)
        self.name(cluster, 3)
        cluster.world.run(AFTER_S)
        return cluster

    def versions(self, cluster):
        """What the workers of models have."""
        return {
            cluster.up[name].versions[MODEL] for name in cluster.workers if name.startswith("lm")
        }

    def assert_none_goes_back(self, cluster):
        """No worker loads older weights than it had."""
        newest = {}
        for item in cluster.records:
            if item["kind"] == "loaded":
                self.assertGreater(item["version"], newest.get(item["worker"], 1), item)
                newest[item["worker"]] = item["version"]

    def test_orders_that_were_given_up_do_not_take_workers_back(self):
        for seed in (71, 72):
            with self.subTest(seed):
                cluster = self.name_twice(seed, [DELAY_S] * len(LATE))
                self.assertEqual(self.versions(cluster), {3})
                self.assert_none_goes_back(cluster)
                self.assert_kept(cluster, 0.9)

    def test_delays_of_any_length_take_no_worker_back(self):
        for seed, delays_s in enumerate(((0.9, 2.0, 4.0), (3.1, 5.0, 7.0), (11.0, 13.0, 6.0)), 73):
            with self.subTest(delays_s):
                cluster = self.name_twice(seed, delays_s)
                self.assertEqual(self.versions(cluster), {3})
                self.assert_none_goes_back(cluster)
                self.assert_kept(cluster, 0.9)

    def test_without_the_count_a_late_order_takes_a_worker_back(self):
        with mock.patch.object(PlatformOrders, "order", order_without_count):
            cluster = self.name_twice(71, [DELAY_S] * len(LATE))
            with self.assertRaises(AssertionError):
                self.assert_none_goes_back(cluster)

    def test_a_worker_that_went_back_all_the_same_is_moved_again(self):
        cluster = self.cluster(77, models=6)
        self.name(cluster, 2)
        cluster.world.run(6.0)
        self.assertEqual(self.versions(cluster), {2})
        for name in LATE:
            cluster.up[name].versions[MODEL] = 1
        cluster.world.run(12.0)
        self.assertEqual(self.versions(cluster), {2})
        self.assert_kept(cluster, 0.9)

"""Cases of new weights and of tenants kept apart."""

import unittest

from swiftdeck.bench.checker import check
from swiftdeck.sim.sim_cluster import SimCluster


class WeightsCase(unittest.TestCase):
    """Prefixes made under other weights, or by tenants kept apart, are never read."""

    def test_a_switch_under_load_ends_the_old_weights(self):
        cluster = SimCluster(1, routers=3, workers=3).start(cap=4)
        box = [
            cluster.spawn(lambda tenant=tenant: cluster.caller.agents(tenant, rest_s=0.1))
            for tenant in cluster.site.keys
        ]
        cluster.world.run(6)
        self.assertEqual(
            cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})[0], 200
        )
        ack_ms = cluster.world.now * 1000
        cluster.world.run(25)
        runs = [item for item in cluster.records if item["kind"] == "run" and item["atMs"] > ack_ms]
        self.assertEqual({item["weights"] for item in runs}, {"w2"})
        self.assertGreater(len(runs), 20)
        self.assertEqual(
            {cluster.up[worker["name"]].weights for worker in cluster.site.workers}, {"w2"}
        )
        cluster.caller.stopping = True
        cluster.world.run(20)
        self.assertEqual(len(box), 8)
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})
        self.assertEqual(cluster.world.faults, [])

    def test_a_frozen_worker_begins_what_was_sent_before_on_the_weights_that_it_has(self):
        cluster = SimCluster(1, routers=2, workers=1).start(cap=4)
        cluster.world.freeze("worker1")
        box = cluster.spawn(lambda: cluster.caller.call("saga", "check", ["b", "x"]))
        cluster.world.run(0.3)
        self.assertEqual(
            cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})[0], 200
        )
        ack_ms = cluster.world.now * 1000
        later = cluster.spawn(lambda: cluster.caller.call("oita", "check", ["b", "y"]))
        cluster.world.run(0.2)
        cluster.world.thaw("worker1")
        cluster.world.run(until=lambda: box and later, limit_s=30)
        runs = [item for item in cluster.records if item["kind"] == "run" and item["atMs"] > ack_ms]
        self.assertEqual([item["weights"] for item in runs], ["w1", "w2"])
        self.assertTrue(all(item["weights"] == item["loaded"] for item in runs))
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})

    def test_an_open_conversation_keeps_its_admission_under_new_weights(self):
        cluster = SimCluster(1, routers=3, workers=1).start(cap=1, idleMs=60000, pauseMs=60000)
        got = cluster.call("saga", "check", ["b", "mine"])
        waiting = cluster.spawn(lambda: cluster.caller.call("oita", "check", ["b", "other"]))
        self.assertEqual(
            cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})[0], 200
        )
        cluster.world.run(3)
        again = cluster.call("saga", "check", [*got["parts"], "said", "more"], is_last=True)
        self.assertEqual(
            (again["whole"], again["waitedMs"], again["usage"]["hitParts"]), (True, 0, 0)
        )
        cluster.world.run(3)
        self.assertTrue(waiting and waiting[0]["whole"])
        self.assertEqual(
            {item["weights"] for item in cluster.records if item["kind"] == "run"}, {"w1", "w2"}
        )
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})

    def test_a_router_cut_off_at_the_moment_of_the_switch_starts_nothing_old(self):
        cluster = SimCluster(2, routers=3, workers=2).start(cap=4)
        coordinator = cluster.coordinator()
        alone = next(name for name in cluster.router_names() if name != coordinator)
        ip = cluster.addresses[alone]["inner"].rpartition(":")[0]
        rest = [
            node["inner"].rpartition(":")[0]
            for name, node in cluster.addresses.items()
            if name != alone
        ]
        cluster.world.net.cut([ip], rest)
        late = [
            cluster.spawn(
                lambda number=number: cluster.caller.call(
                    "saga", "check", ["b", str(number)], door=cluster.addresses[alone]["http"]
                )
            )
            for number in range(4)
        ]
        self.assertEqual(
            cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})[0], 200
        )
        ack_ms = cluster.world.now * 1000
        cluster.world.run(until=lambda: all(late), limit_s=30)
        self.assertTrue(all(each[0]["notRun"] for each in late))
        cluster.world.net.heal()
        cluster.world.run(5)
        self.assertTrue(
            cluster.call("saga", "check", ["b", "x"], door=cluster.addresses[alone]["http"])[
                "whole"
            ]
        )
        self.assertFalse(
            [
                item
                for item in cluster.records
                if item["kind"] == "run" and item["weights"] == "w1" and item["atMs"] > ack_ms
            ]
        )
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})

    def test_a_tenant_kept_apart_shares_nothing(self):
        cluster = SimCluster(3, routers=2, workers=1).start(cap=8)
        apart, others = (
            cluster.site.apart,
            [name for name in cluster.site.keys if name != cluster.site.apart],
        )
        first = cluster.call(others[0], "check", ["book " * 500, "x"])
        shared = cluster.call(others[1], "check", ["book " * 500, "y"])
        alone = cluster.call(apart, "check", ["book " * 500, "z"])
        again = cluster.call(apart, "check", ["book " * 500, "w"])
        self.assertEqual(
            [each["usage"]["hitParts"] for each in (first, shared, alone, again)], [0, 1, 0, 1]
        )
        self.assertEqual(
            cluster.change(
                "PATCH", {"tenants": {apart: {"apart": False}, others[0]: {"apart": True}}}
            )[0],
            200,
        )
        moved = cluster.call(others[0], "check", ["book " * 500, "v"])
        self.assertEqual(moved["usage"]["hitParts"], 0)
        self.assertEqual(
            check([item for item in cluster.records if item["kind"] != "change"], set()), {}
        )

    def patch_tenant(self, cluster, name, entry):
        self.assertEqual(cluster.change("PATCH", {"tenants": {name: entry}})[0], 200)

    def hits(self, cluster, tenant, own_part):
        """Send a call that begins with a part that all use; return how many parts were cached."""
        parts = ["book " * 500, own_part]
        return cluster.call(tenant, "check", parts, is_last=True)["usage"]["hitParts"]

    # Guards against prefixes of a tenant that stay among the shared ones once it is isolated.
    def test_prefixes_of_a_tenant_from_before_it_was_isolated_are_used_by_nobody(self):
        cluster = SimCluster(3, routers=2, workers=1).start(cap=8)
        maker, other, third = list(cluster.site.keys)[3:6]
        self.assertEqual(self.hits(cluster, maker, "x"), 0)
        self.patch_tenant(cluster, maker, {"apart": True})
        self.assertEqual([self.hits(cluster, other, "y"), self.hits(cluster, third, "y")], [0, 1])
        self.assertEqual([self.hits(cluster, maker, each) for each in ("y", "z")], [0, 1])

    # Guards against the same where the tenant was removed in between.
    def test_prefixes_of_a_tenant_that_went_and_came_back_isolated_are_used_by_nobody(self):
        cluster = SimCluster(3, routers=2, workers=1).start(cap=8)
        maker, other = list(cluster.site.keys)[3:5]
        entry = cluster.site.document()["tenants"][maker]
        self.assertEqual(self.hits(cluster, maker, "x"), 0)
        self.patch_tenant(cluster, maker, None)
        self.patch_tenant(cluster, maker, entry | {"apart": True})
        self.assertEqual(self.hits(cluster, other, "y"), 0)
        self.assertEqual([self.hits(cluster, maker, each) for each in ("y", "z")], [0, 1])

    # Guards against a call that was granted before its tenant was isolated and is sent after it.
    def test_a_call_whose_tenant_is_isolated_while_it_waits_uses_nothing_shared(self):
        cluster = SimCluster(3, routers=2, workers=1).start(cap=1, idleMs=300, pauseMs=300)
        holder, waiter = list(cluster.site.keys)[3:5]
        box = cluster.spawn(lambda: cluster.caller.call(holder, "check", ["book " * 500, "x"]))
        cluster.world.run(0.1)
        waiting = cluster.spawn(lambda: cluster.caller.call(waiter, "check", ["book " * 500, "y"]))
        cluster.world.run(0.1)
        self.patch_tenant(cluster, waiter, {"apart": True})
        cluster.world.run(until=lambda: box and waiting, limit_s=30)
        self.assertEqual([each[0]["usage"]["hitParts"] for each in (box, waiting)], [0, 0])

    def assert_keeps_admission(self, isolated_tenant):
        """Isolate a tenant while `saga` has the only slot; its next call must not wait."""
        cluster = SimCluster(1, routers=3, workers=1).start(cap=1, idleMs=60000, pauseMs=60000)
        got = cluster.call("saga", "check", ["b", "mine"])
        waiting = cluster.spawn(lambda: cluster.caller.call("oita", "check", ["b", "other"]))
        cluster.world.run(0.2)
        self.patch_tenant(cluster, isolated_tenant, {"apart": True})
        again = cluster.call("saga", "check", [*got["parts"], "said", "more"], is_last=True)
        self.assertEqual(
            (again["whole"], again["waitedMs"], again["usage"]["hitParts"]), (True, 0, 0)
        )
        cluster.world.run(3)
        self.assertTrue(waiting and waiting[0]["whole"])

    # Guards against an open conversation that loses its place when shared prefixes get new names.
    def test_an_open_conversation_keeps_its_admission_when_another_tenant_is_isolated(self):
        self.assert_keeps_admission("nagasaki")

    # Guards against an open conversation that loses its place when its own tenant turns.
    def test_an_open_conversation_keeps_its_admission_when_its_tenant_is_isolated(self):
        self.assert_keeps_admission("saga")

    def test_a_worker_back_with_old_weights_gets_nothing_until_it_has_loaded(self):
        cluster = SimCluster(4, routers=2, workers=2).start(cap=4)
        self.assertEqual(
            cluster.change("PATCH", {"models": {"screener": {"weights": "w2"}}})[0], 200
        )
        cluster.world.run(5)
        cluster.world.kill("worker1")
        cluster.world.run(1)
        cluster.start_worker("worker1", weights="w1", load_s=4.0)
        got = []
        for number in range(20):
            got.append(cluster.call("saga", "check", ["b", str(number)], is_last=True))
        self.assertTrue(all(each["whole"] for each in got))
        self.assertFalse([item for item in cluster.records if item["kind"] == "refused"])
        cluster.world.run(6)
        self.assertEqual(cluster.up["worker1"].weights, "w2")
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})

"""Tests that no cached part is shared between an isolated tenant and any other."""

import unittest

from tests.gateway import platform_cluster
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster

SHARED_PART = ("book", 13000)
APPLIED_S = 2.5
"""More than a new configuration takes until all routers obey it."""
WAITING_ROUTE = platform_cluster.route("r-stream", **{"target-ms": 6000})
"""A request of this route may wait 1.2 s for a place at a worker."""


def customer(name, is_isolated):
    """A tenant of the operator's configuration, whose key is `key-` and its name."""
    return {"name": name, "api-keys": [f"key-{name}"], "urgency": 1, "isolated": is_isolated}


class IsolationCase(SiteCase):
    """A site whose tenants come, go and turn."""

    def start(self, seed=6, **size):
        """Start a site without load."""
        self.site, self.version = PlatformCluster(seed, **size).start(), 3

    def change(self, put=(), remove=(), applied_s=APPLIED_S):
        """Put and remove tenants by one change of items, and wait until it is in force."""
        self.version += 2
        status = self.site.operate(
            lambda: self.site.operator.patch(
                self.version,
                put={"customers": list(put)} if put else None,
                remove={"customers": list(remove)} if remove else None,
            )
        )
        self.assertEqual(status, 200)
        self.site.world.run(applied_s)

    def replace(self, customers):
        """Put a whole configuration with other tenants, and wait until it is in force."""
        self.version += 2
        document = self.site.operator.document | {"customers": list(customers)}
        status = self.site.operate(lambda: self.site.operator.put(document, self.version))
        self.assertEqual(status, 200)
        self.site.world.run(APPLIED_S)

    def ask(self, tenant, own_part, **more):
        """Send one request of a tenant, which begins with a part that all tenants use, to its end."""
        return self.site.ask(
            "r-stream",
            path=own_part,
            tenant=None,
            key=f"key-{tenant}",
            **self.parts(own_part),
            **more,
        )

    @staticmethod
    def parts(own_part, own_tokens=3000):
        return {"parts": [SHARED_PART, (own_part, own_tokens)]}

    def send(self, tenant, own_part, own_tokens=3000, route="r-stream", **more):
        """Begin a request of a tenant beside all else; gives its task."""
        return self.site.beside(
            lambda: self.site._asking(
                route,
                own_part,
                None,
                None,
                key=f"key-{tenant}",
                aim_ms=6000,
                **self.parts(own_part, own_tokens),
                **more,
            ),
            "clients",
        )

    def runs(self, tenant):
        """The origins of the cached parts that each run of a tenant used, by request."""
        tenants = {
            item["run"]: item["tenant"] for item in self.site.records if item["kind"] == "run"
        }
        return [
            [origin for origin, _ in item["origins"]]
            for item in self.site.records
            if item["kind"] == "read" and tenants[item["run"]] == tenant
        ]


class WaitingRequestTest(IsolationCase):
    """A request waits for a place at the only worker, whose memory is full, while its tenant changes."""

    def start_with_waiting(self, tenant):
        """Fill the memory with a request of `open` and let one of a tenant wait."""
        self.start(models=1)
        self.start_waiting_behind("open", tenant)

    def start_waiting_behind(self, holder, tenant):
        """Fill the memory with a request of one tenant and let one of another wait."""
        self.site.operate(lambda: self.site.operator.patch(4, put={"routes": [WAITING_ROUTE]}))
        self.version = 4
        self.change([customer("open", False), customer("walled", True), customer("later", False)])
        self.held = self.send(holder, "bulk", 95000, out=60)
        self.site.world.run(0.9)
        self.waiting = self.send(tenant, "waits")
        self.site.world.run(0.1)

    def end_requests(self):
        """Let all requests come to their end."""
        self.site.world.run(until=lambda: self.held.done() and self.waiting.done(), limit_s=20)
        self.assertTrue(self.held.done() and self.waiting.done())

    # Guards against a waiting request that loses its isolation when its tenant is removed.
    def test_a_request_that_waits_while_its_isolated_tenant_is_removed_stays_isolated(self):
        self.start_with_waiting("walled")
        self.assertEqual(self.runs("walled"), [])
        self.change(remove=["walled"], applied_s=0.1)
        self.assertEqual(self.runs("walled"), [])
        self.end_requests()
        self.assertEqual(self.runs("walled"), [[]])
        self.ask("open", "after")
        self.assertEqual(self.site.breaches(), {})

    # Guards against a waiting request that runs as it was admitted, though its tenant is isolated by now.
    def test_a_request_that_waits_while_its_tenant_becomes_isolated_is_isolated(self):
        self.start_with_waiting("later")
        self.change([customer("later", True)], applied_s=0.1)
        self.assertEqual(self.runs("later"), [])
        self.end_requests()
        self.assertEqual(self.runs("later"), [[]])
        self.ask("open", "after")
        self.assertEqual(self.site.breaches(), {})

    # Guards against a waiting request that shares parts while other routers still hold its tenant for isolated.
    def test_a_request_that_waits_while_its_tenant_ceases_to_be_isolated_stays_isolated(self):
        self.start_with_waiting("walled")
        self.change([customer("walled", False)], applied_s=0.1)
        self.assertEqual(self.runs("walled"), [])
        self.end_requests()
        self.assertEqual(self.runs("walled"), [[]])

    # Guards against a waiting request that keeps the salt of its arrival and so reaches what an isolated tenant left.
    def test_a_request_that_waits_while_another_tenant_becomes_isolated_uses_none_of_its_parts(
        self,
    ):
        self.start(models=1)
        self.start_waiting_behind("later", "open")
        self.change([customer("later", True)], applied_s=0.1)
        self.assertEqual(self.runs("open"), [])
        self.end_requests()
        self.assertEqual(self.runs("open"), [[]])
        self.assertEqual(self.site.breaches(), {})

    # Guards against a second attempt that loses the isolation of the first when the tenant is removed between them.
    def test_a_request_that_is_tried_again_after_its_isolated_tenant_is_removed_stays_isolated(
        self,
    ):
        self.start(models=2, routers=1)
        self.change([customer("open", False), customer("walled", True)])
        for number in range(30):
            self.ask("open", f"warm{number}")
        for name in ("lm1", "lm2"):
            self.site.up[name].quirk = "cut"
        task = self.send("walled", "again", route="r-resume", out=200)
        self.site.world.run(0.4)
        self.change(remove=["walled"], applied_s=0.1)
        for name in ("lm1", "lm2"):
            self.site.up[name].quirk = ""
        self.site.world.run(until=task.done, limit_s=20)
        self.ask("open", "after")
        self.assertEqual(self.runs("walled"), [[], ["walled"]])
        self.assertEqual(self.site.breaches(), {})

    # Guards against a request that outlasts the removal of its tenant and leaves parts in the next generation.
    def test_a_request_that_waits_past_the_removal_of_its_tenant_and_an_isolation_leaves_nothing(
        self,
    ):
        self.start_with_waiting("later")
        self.change([customer("open", True)], remove=["later"], applied_s=0.1)
        self.assertEqual(self.runs("later"), [])
        self.end_requests()
        self.assertEqual(self.runs("later"), [[]])
        self.change([customer("later", True), customer("new", False)])
        self.ask("new", "after")
        self.assertEqual(self.runs("new"), [[]])


class ReturningTenantTest(IsolationCase):
    """A tenant leaves parts among the shared ones, goes, and comes back isolated."""

    def start_with_parts(self):
        """Let a tenant that is not isolated make the part that all use."""
        self.start()
        self.change([customer("open", False), customer("later", False)])
        self.ask("later", "before")

    def assert_isolated(self):
        """Nobody uses parts of the tenant any more, and it uses none of others."""
        self.ask("open", "after")
        self.ask("later", "after")
        self.assertEqual(self.runs("open"), [[]])
        self.assertEqual(self.site.breaches(), {})

    # Guards against a tenant that comes back isolated and leaves its earlier parts to others.
    def test_a_tenant_that_is_removed_and_comes_back_isolated_by_changes_of_items(self):
        self.start_with_parts()
        self.change(remove=["later"])
        self.change([customer("later", True)])
        self.assert_isolated()

    # Guards against the same by whole configurations.
    def test_a_tenant_that_is_removed_and_comes_back_isolated_by_whole_configurations(self):
        self.start_with_parts()
        self.replace([customer("open", False)])
        self.replace([customer("open", False), customer("later", True)])
        self.assert_isolated()

    # Guards against cores that forget who was removed when they are restarted one after another.
    def test_a_tenant_that_comes_back_isolated_after_all_cores_were_restarted_in_turn(self):
        self.start_with_parts()
        self.change(remove=["later"])
        for name in self.site.cores():
            self.site.kill(name, back_s=0.5)
            self.site.world.run(6)
        self.change([customer("later", True)])
        self.assert_isolated()

    # Guards against cores that forget who was removed when all lose power at once.
    def test_a_tenant_that_comes_back_isolated_after_all_cores_were_killed_at_once(self):
        self.start_with_parts()
        self.change(remove=["later"])
        for name in self.site.cores():
            self.site.kill(name, back_s=0.5)
        self.site.world.run(8)
        self.replace([customer("open", False), customer("later", True)])
        self.assert_isolated()


class CutRouterTest(IsolationCase):
    """A router that reaches workers and clients is cut off from the cores and from other routers."""

    def start_with_cut_router(self):
        """Let `later` make the part that all use, and cut off a router."""
        self.start()
        self.change([customer("open", False), customer("later", False)])
        self.ask("later", "before")
        ip = self.site.machines["router1"]
        others = [each for name, each in self.site.machines.items() if name != "router1"]
        self.site.trouble("router1", lambda: self.site.world.net.cut([ip], others), 30.0)

    def ask_cut_router(self, own_part):
        """Send a request of `open` to the router that is cut off; return what it used."""
        self.ask("open", own_part, door="router1")
        return self.runs("open")[-1]

    # Guards against a router whose lease has lapsed and that shares what an isolated tenant left.
    def test_a_router_without_a_lease_shares_no_parts(self):
        self.start_with_cut_router()
        self.change([customer("later", True)], applied_s=4.0)
        self.assertEqual(self.ask_cut_router("after"), [])
        self.site.world.net.heal()
        self.site.world.run(3.0)
        used = [self.ask_cut_router(f"healed{number}") for number in range(6)]
        self.assertIn(["open"], used)
        self.assertEqual(self.site.breaches(), {})

    # Guards against an acknowledgement of an isolation before each router with a lease obeys it.
    def test_an_isolation_is_acknowledged_once_no_router_may_share_any_more(self):
        self.start_with_cut_router()
        self.change([customer("later", True)], applied_s=0.0)
        self.assertEqual(self.ask_cut_router("after"), [])
        self.assertEqual(self.site.breaches(), {})

    def test_other_changes_are_acknowledged_without_a_router_that_is_cut_off(self):
        self.start_with_cut_router()
        begin_s = self.site.world.now
        self.change([customer("new", False)], applied_s=0.0)
        self.assertLess(self.site.world.now - begin_s, 1.0)


if __name__ == "__main__":
    unittest.main()

"""Fixtures that several cases share: sites, and what is asked of them again and again."""

import unittest

from swiftdeck.bench.checker import check
from swiftdeck.sim.sim_cluster import SimCluster


class SiteCase(unittest.TestCase):
    """A case with a simulated site."""

    def sound(self, cluster):
        """The records break no rule, and nothing raised."""
        self.assertEqual(check(cluster.records, {cluster.site.apart}), {})
        self.assertEqual(cluster.world.faults, [])


class ChangeCase(unittest.TestCase):
    """A case that changes the configuration; `TRIES` is how often a change is sent at most."""

    TRIES = 10

    def cap(self, number):
        """A change of the cap of the site's model."""
        return {"models": {"screener": {"cap": number}}}

    def insist(self, cluster, number, name=None):
        """Send one change under one id until it is acknowledged; gives how long that took."""
        base, start_s = cluster.version, cluster.world.now
        for _ in range(self.TRIES):
            got = cluster.change(
                "PATCH", self.cap(number), base, name, change_id=f"insist-{number}"
            )
            if got and got[0] == 200:
                return cluster.world.now - start_s
            self.assertNotIn(got[0] if got else 0, (409, 422), got)
        self.fail(f"never acknowledged: {got}")

    def member(self, cluster, position):
        """The name of the core at a place of the chain."""
        return next(
            name
            for name in cluster.core_names()
            if cluster.up[name].agreement.position() == position
        )


class ThreeCoresCase(ChangeCase):
    """A case with a site of three cores."""

    def cluster(self, seed=1, **more):
        cluster = SimCluster(seed, **({"routers": 2, "workers": 1} | more))
        return cluster.start()

    def settle(self, cluster, members=3):
        """Let the chain mend itself to so many members."""
        cluster.world.run(0.05)

        def is_mended():
            cores = [cluster.up[name] for name in cluster.core_names()]
            return all(
                len(core.agreement.decided.members) == members
                and core.chain.is_whole()
                and core.agreement.may_serve()
                for core in cores
                if core.agreement.position() >= 0
            ) and any(core.agreement.position() >= 0 for core in cores)

        self.assertTrue(cluster.world.run(until=is_mended, limit_s=40), "chain was not mended")


class OpenConversationsCase(SiteCase):
    """A case that counts open conversations against a cap."""

    def cluster(self, seed=1, cap=2, **more):
        settings = {
            name: more.pop(name)
            for name in list(more)
            if name in ("idleMs", "pauseMs", "lineMax", "adapts", "capLeast")
        }
        return SimCluster(seed, **({"routers": 3, "workers": 1} | more)).start(cap=cap, **settings)

    def most_open(self, cluster, until, limit_s=120):
        """Let time pass and give the most conversations that any book had open."""
        most = 0

        def look():
            nonlocal most
            if cluster.coordinator():
                most = max([most, *(len(book.open) for book in cluster.slot_table().values())])
            return until()

        for _ in range(int(limit_s / 0.05)):
            cluster.world.run(0.05)
            if look():
                return most
        self.fail("not done in time")

    def open(self, cluster):
        return sum(len(book.open) for book in cluster.slot_table().values())


class CallsOfWorkersCase(SiteCase):
    """A case that counts the runs of two workers."""

    def cluster(self, seed=1, **more):
        return SimCluster(seed, **({"routers": 2, "workers": 2} | more)).start()

    def runs(self, cluster):
        return [item for item in cluster.records if item["kind"] == "run"]

    def quirk(self, cluster, quirk):
        for worker in cluster.site.workers:
            cluster.up[worker["name"]].quirk = quirk
            cluster.up[worker["name"]].record("quirk", quirk=quirk)

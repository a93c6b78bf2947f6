"""Cases of a core that comes back, or comes new, while changes go on: it is whole in time and holds nothing up."""

import unittest
from unittest import mock

from swiftdeck.chain.state_transfer import StateTransfer
from tests.gateway.core_cluster import CoreCluster

NARROW_BYTES_PER_S, LINK_BYTES_PER_S = 4_000, 15_000_000
DETECTED_S = 4.0
"""Away for less, a core may still be waited for when it comes back."""
CALM_SYNC_S, SLOW_SYNC_S = 0.005, 0.15


class CatchUpCase(unittest.TestCase):
    def cluster(self, seed=1, cores=3, routes=0):
        cluster = CoreCluster(seed, cores).start()
        if routes:
            cluster.grow(routes)
        for name in cluster.cores():
            cluster.folders[name].stallS = CALM_SYNC_S
        return cluster

    def is_in(self, cluster, name):
        """Whether a core is a whole member with a vote."""
        core = cluster.up[name]
        return (
            core.agreement.position() >= 0 and core.chain.is_whole() and core.agreement.is_voter()
        )

    def whole_after(self, cluster, name, limit_s=30.0):
        """The seconds from now until a core is in; it never takes changes before it has all that was acknowledged."""
        begun_s = cluster.world.now
        cluster.world.run(0.01)
        while cluster.world.now - begun_s < limit_s and not self.is_in(cluster, name):
            cluster.world.run(0.02)
            chain = cluster.up[name].chain
            acknowledged = cluster.acknowledged_version()
            if chain.is_whole() and chain.agreement.may_serve():
                self.assertGreaterEqual(chain.state.stored.version, acknowledged, cluster.told())
        return cluster.world.now - begun_s

    def assert_well(self, cluster):
        if cluster.goes_on:
            self.assertTrue(cluster.stop_changing(), cluster.told())
        self.assertLess(cluster.change(), 4.0)
        self.assertEqual(cluster.breaches(), {})
        self.assertEqual(cluster.world.faults, [])

    def back(self, disk, away_s, seed, cores=3, routes=0):
        """A core is away while changes go on, and comes back with what its disk then has."""
        cluster = self.cluster(seed, cores, routes)
        cluster.keep_changing()
        cluster.world.run(1)
        name = cluster.world.random.choice(cluster.cores())
        old = {each: bytes(data) for each, data in cluster.folders[name].synced.items()}
        cluster.world.run(1)
        cluster.lose(name, wiped=disk == "empty")
        folder = cluster.folders[name]
        if disk == "older":
            folder.synced["chain.log"] = old["chain.log"]
            folder.written["chain.log"] = bytearray(old["chain.log"])
        if disk == "torn":
            folder.written["chain.log"] += b"\x00\x00\x10\x00torn"
        cluster.world.run(away_s)
        begun_s = cluster.world.now
        cluster.start_core(name)
        took_s = self.whole_after(cluster, name)
        cluster.world.run(1)
        self.assertTrue(cluster.stop_changing(), cluster.told())
        since_s = begun_s if away_s > DETECTED_S else cluster.acks[-1][0]
        longest_s = max(took for sent_s, took in cluster.acks if sent_s >= since_s)
        return cluster, name, took_s, longest_s

    def test_a_core_is_whole_in_time_whatever_its_disk_has(self):
        disks = ("kept", "older", "empty", "torn")
        for seed, disk in enumerate(disks, 1):
            for away_s in (1.0, 8.0):
                with self.subTest(disk=disk, away_s=away_s):
                    cluster, _, took_s, longest_s = self.back(disk, away_s, seed)
                    self.assertLess(took_s, cluster.catch_up_s)
                    self.assertLess(longest_s, 1.0 if away_s > DETECTED_S else 4.0)
                    self.assert_well(cluster)

    def test_a_core_of_a_grown_site_is_whole_in_time_after_a_minute_away(self):
        cluster, _, took_s, longest_s = self.back("empty", 60.0, 5, 5)
        self.assertLess(took_s, cluster.catch_up_s)
        self.assertLess(longest_s, 1.0)
        self.assert_well(cluster)

    def test_many_routes_a_slow_disk_and_the_link_of_a_small_machine(self):
        cluster = self.cluster(6, routes=1400)
        cluster.keep_changing(3)
        cluster.world.run(1)
        (name,) = cluster.replace_lost(cluster.member_names()[1])
        cluster.folders[name].stallS = SLOW_SYNC_S
        for core in cluster.cores():
            cluster.world.net.bytes_per_s[cluster.machines[core]] = LINK_BYTES_PER_S
        self.assertLess(self.whole_after(cluster, name), cluster.catch_up_s)
        cluster.world.run(1)
        self.assertLess(max(took for _, took in cluster.acks[-3:]), 1.5)
        self.assert_well(cluster)

    def copying_while_views_change(self, seed=7):
        """A new core copies over a narrow link while another one comes and goes."""
        cluster = self.cluster(seed, 5, 1400)
        cluster.keep_changing(1)
        flapping, lost = cluster.member_names()[1:3]
        (name,) = cluster.replace_lost(lost)
        cluster.world.net.bytes_per_s[cluster.machines[name]] = NARROW_BYTES_PER_S
        for at in range(6):
            cluster.world.call_after(3.0 * at, lambda: cluster.kill(flapping, back_s=1.5))
        return cluster, self.whole_after(cluster, name, 18.0)

    def test_a_copy_over_a_narrow_link_goes_on_where_it_was_though_views_change(self):
        cluster, took_s = self.copying_while_views_change()
        self.assertLess(took_s, 16.0)
        cluster.world.run(6)
        self.assert_well(cluster)
        receive = StateTransfer._receive

        async def begins_anew(self, addr):
            self.received = None
            return await receive(self, addr)

        with mock.patch.object(StateTransfer, "_receive", begins_anew):
            self.assertGreater(self.copying_while_views_change()[1], 17.0)

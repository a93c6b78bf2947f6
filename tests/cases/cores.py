"""Cases of founding, joining and losing cores, for sites of one, three and five."""

import functools

from swiftdeck.bench.checker import check
from swiftdeck.chain.agreement import ids
from swiftdeck.http.client import fetch_json
from swiftdeck.sim.sim_cluster import SimCluster
from tests.cases.bases import ChangeCase


class CoresCase(ChangeCase):
    """Views that are founded from the settings, grow and are mended."""

    TRIES = 20

    def cluster(self, cores=5, seed=1, **more):
        borne = {"lossesBorne": (cores - 1) // 2, "cores": cores}
        return SimCluster(
            seed,
            **({"routers": 2, "workers": 1, "cores": cores, "names_founders": True} | borne | more),
        )

    def started(self, cores=5, seed=1, **more):
        cluster = self.cluster(cores, seed, **more).start()
        self.settle(cluster)
        return cluster

    def is_settled(self, cluster, names=None):
        """Whether these cores are the members and the voters, whole and serving."""
        cores = [cluster.up[name] for name in names or cluster.core_names()]
        wanted = {core.agreement.core_id for core in cores}
        return all(
            set(ids(core.agreement.decided.members)) == wanted
            and core.agreement.is_voter()
            and core.chain.is_whole()
            and core.agreement.may_serve()
            for core in cores
        )

    def settle(self, cluster, names=None, limit_s=30):
        """How long it takes until these cores are the chain."""
        start_s = cluster.world.now
        cluster.world.run(0.01)
        self.assertTrue(
            cluster.world.run(until=lambda: self.is_settled(cluster, names), limit_s=limit_s),
            self.told(cluster),
        )
        return cluster.world.now - start_s

    def told(self, cluster):
        return [
            (
                name,
                core.agreement.decided.number,
                core.agreement.position(),
                core.agreement.is_voter(),
                core.chain.is_whole(),
                core.agreement.may_serve(),
            )
            for name, core in cluster.up.items()
            if name in cluster.core_names()
        ]

    def read(self, cluster, name=None):
        got = cluster.ask("GET", "/v1/config", name=name)
        return got[0] == 200 and (
            got[1]["version"],
            got[1]["document"]["models"]["screener"]["cap"],
        )

    def ips(self, cluster, names):
        return [cluster.addresses[name]["inner"].rpartition(":")[0] for name in names]

    def lose(self, cluster, names, wiped=False):
        for name in names:
            cluster.world.kill(name, silent=True)
            cluster.folders[name].lose_power()
            if wiped:
                cluster.folders[name].wipe()

    def voters_known(self, cluster):
        return {
            name: len(cluster.up[name].agreement.decided.voters) for name in cluster.core_names()
        }

    def test_five_cores_are_founded_by_three_and_all_join_and_vote(self):
        cluster = self.cluster()
        for name in ("core1", "core2"):
            cluster.start_core(name)
        cluster.world.run(3)
        self.assertEqual(
            {cluster.up[name].agreement.decided.number for name in ("core1", "core2")}, {0}
        )
        for name in ("core3", "core4", "core5"):
            cluster.start_core(name)
        cluster.world.run(0.01)
        self.assertTrue(
            cluster.world.run(until=lambda: self.is_settled(cluster), limit_s=8), self.told(cluster)
        )
        self.assertEqual(set(self.voters_known(cluster).values()), {5})

    def test_two_of_five_are_lost_at_once_in_any_places_and_come_back_with_their_disks(self):
        for seed, places in enumerate([(0, 1), (0, 4), (3, 4), (1, 3)], 1):
            cluster = self.started(seed=seed)
            order = [
                next(
                    name
                    for name in cluster.core_names()
                    if cluster.up[name].agreement.position() == at
                )
                for at in range(5)
            ]
            lost = [order[at] for at in places]
            self.assertEqual(cluster.change("PATCH", self.cap(7))[0], 200)
            self.lose(cluster, lost)
            near = cluster.core_names()[0]
            self.assertLess(self.insist(cluster, 8, near), 7)
            self.assertTrue(cluster.call("saga", "check", ["b", "x"])["whole"])
            for name in lost:
                cluster.start_core(name)
            self.settle(cluster)
            self.assertEqual(self.read(cluster, lost[0]), (cluster.version, 8))
            self.assertEqual(check(cluster.records), {})

    def test_two_of_five_are_wiped_at_once_and_their_places_are_taken_in_time(self):
        for seed in (1, 2):
            cluster = self.started(seed=seed)
            self.assertEqual(cluster.change("PATCH", self.cap(7))[0], 200)
            lost = ["core1", "core4"] if seed == 1 else ["core2", "core3"]
            self.lose(cluster, lost, wiped=True)
            near = cluster.core_names()[0]
            cluster.world.run(0.3 if seed == 1 else 5)
            for name in lost:
                cluster.start_core(name)
            self.assertLess(self.joined(cluster, lost), 4)
            others = [name for name in cluster.core_names() if name not in lost][:2]
            self.lose(cluster, others, wiped=True)
            self.assertLess(self.insist(cluster, 9, lost[0]), 7)
            self.assertEqual(self.read(cluster, lost[0]), (cluster.version, 9))
            self.assertNotIn(near if near in others else "", cluster.core_names())

    def joined(self, cluster, names):
        """How long until these cores are whole members and voters."""
        start_s = cluster.world.now

        def is_in(core):
            return (
                core.agreement.position() >= 0
                and core.agreement.is_voter()
                and core.chain.is_whole()
            )

        cluster.world.run(0.01)
        self.assertTrue(
            cluster.world.run(
                until=lambda: all(is_in(cluster.up[name]) for name in names), limit_s=30
            ),
            self.told(cluster),
        )
        return cluster.world.now - start_s

    def test_a_wiped_core_joins_in_time_also_when_another_is_just_lost(self):
        for cores, seed in ((3, 1), (3, 2), (5, 1), (5, 2)):
            for delay_s in (0.05, 1.0, 4.0):
                cluster = self.started(cores, seed)
                self.lose(cluster, ["core1"], wiped=True)
                cluster.world.run(delay_s)
                cluster.start_core("core1")
                if cores == 5:
                    self.lose(cluster, ["core2"])
                self.assertLess(self.joined(cluster, ["core1"]), 4, (cores, seed, delay_s))
                self.assertEqual(
                    cluster.up["core1"].agreement.decided.number,
                    cluster.up["core3"].agreement.decided.number,
                )

    def test_a_cut_of_two_from_three_leaves_the_three_serving(self):
        cluster = self.started(routers=3)
        far, near = ["core1", "core2"], ["core3", "core4", "core5"]
        rest = [name for name in cluster.addresses if name not in far]
        cluster.world.net.cut(self.ips(cluster, far), self.ips(cluster, rest))
        self.assertLess(self.insist(cluster, 9, "core3"), 8)
        for name in far:
            self.assertFalse(cluster.up[name].chain.may_tell())
        cluster.world.net.heal()
        self.settle(cluster)
        self.assertEqual(self.read(cluster, "core1"), (cluster.version, 9))
        cluster.world.net.cut(self.ips(cluster, near), self.ips(cluster, far))
        cluster.world.run(10)
        self.assertEqual(
            [name for name in cluster.core_names() if cluster.up[name].chain.may_tell()],
            [name for name in near if cluster.up[name].chain.is_last()],
        )
        cluster.world.net.heal()
        self.settle(cluster)

    def test_all_are_killed_and_all_lose_power(self):
        for cores in (3, 5):
            for torn in (None, 5):
                cluster = self.started(cores)
                self.assertEqual(cluster.change("PATCH", self.cap(11))[0], 200)
                names = cluster.core_names()
                for name in names:
                    cluster.world.kill(name)
                for name in names:
                    if torn:
                        cluster.folders[name].lose_power(torn=torn)
                    cluster.start_core(name)
                self.settle(cluster)
                self.assertEqual(self.read(cluster), (cluster.version, 11))

    def test_fewer_members_than_losses_borne_and_one_acknowledge_nothing(self):
        cluster = self.started()
        self.lose(cluster, ["core3", "core4", "core5"])
        self.assertNotEqual(
            cluster.change("PATCH", self.cap(10), name="core1", change_id="insist-10")[0], 200
        )
        for name in ("core3", "core4"):
            cluster.start_core(name)
        self.insist(cluster, 10, "core1")
        self.assertEqual(self.read(cluster), (cluster.version, 10))

    def test_one_core_founds_and_serves_and_keeps_its_state(self):
        cluster = self.cluster(1).start()
        self.assertEqual(cluster.change("PATCH", self.cap(9))[0], 200)
        cluster.world.kill("core1")
        cluster.folders["core1"].lose_power()
        cluster.start_core("core1")
        self.insist(cluster, 10)
        self.assertEqual(self.read(cluster), (cluster.version, 10))

    def test_a_seed_machine_is_replaced_at_a_new_address_and_the_seeds_are_exchanged(self):
        for name in ("core1", "core3"):
            cluster = self.started(3)
            self.assertEqual(cluster.change("PATCH", self.cap(9))[0], 200)
            self.lose(cluster, [name], wiped=True)
            cluster.addresses[name] |= {
                "inner": f"{cluster.ip('fresh')}:7000",
                "http": f"{cluster.ip('fresh')}:8000",
            }
            cluster.seeds = [core["inner"] for core in cluster.site.cores]
            cluster.start_core(name)
            for other in ("core1", "core2", "core3", "router1", "router2"):
                if other != name:
                    cluster.up[other].membership.set_seeds(cluster.seeds)
            self.assertLess(self.joined(cluster, [name]), 4)
            self.settle(cluster)
            cluster.world.run(4)
            self.lose(cluster, ["core2"], wiped=True)
            self.insist(cluster, 10, name)
            self.assertEqual(self.read(cluster, name), (cluster.version, 10))

    def test_wiped_right_after_an_acknowledgement_while_the_others_lose_power(self):
        for cores in (3, 5):
            for place in range(cores):
                cluster = self.started(cores)
                self.assertEqual(cluster.change("PATCH", self.cap(12))[0], 200)
                names = sorted(
                    cluster.core_names(), key=lambda name: cluster.up[name].agreement.position()
                )
                for name in names:
                    cluster.world.kill(name)
                    cluster.folders[name].lose_power(torn=3)
                cluster.folders[names[place]].wipe()
                if cores == 5:
                    cluster.folders[names[(place + 2) % 5]].wipe()
                for name in names:
                    cluster.start_core(name)
                self.settle(cluster)
                self.assertEqual(self.read(cluster), (cluster.version, 12), (cores, place))

    def test_an_answer_of_the_tail_waits_for_its_own_disk(self):
        cluster = self.started(3)
        names = sorted(cluster.core_names(), key=lambda name: cluster.up[name].agreement.position())
        cluster.folders[names[2]].stall_s = 0.9
        at_s = cluster.world.now
        self.assertEqual(cluster.change("PATCH", self.cap(13), name=names[0])[0], 200)
        self.assertGreater(cluster.world.now - at_s, 0.9)

    def tells_while_tail_syncs(self, cluster, head, tail):
        """Change the configuration while the tail's disk is slow.

        Gives the newest version told meanwhile.
        """
        cluster.folders[tail].stall_s = 0.9
        cluster.spawn(
            lambda: fetch_json(
                cluster.addresses[head]["http"],
                "PATCH",
                f"/v1/config?base={cluster.version}",
                self.cap(14),
                timeoutMs=800,
            )
        )
        told = []
        for _ in range(7):
            cluster.world.run(0.1)
            told.append(self.read(cluster, tail)[0])
        return max(*told, *(cluster.up[name].lease.held.version for name in cluster.router_names()))

    def serves_again(self, cluster):
        """Whether all routers hold a lease once more within the time that they need for one."""
        return cluster.world.run(
            until=lambda: all(cluster.up[name].lease.is_held() for name in cluster.router_names()),
            limit_s=10,
        )

    def test_a_core_alone_tells_no_version_that_the_power_may_take_back(self):
        cluster = self.started(1)
        told = self.tells_while_tail_syncs(cluster, "core1", "core1")
        cluster.world.kill("core1")
        cluster.folders["core1"].lose_power()
        cluster.folders["core1"].stall_s = 0.0
        cluster.start_core("core1")
        cluster.world.run(5)
        self.assertTrue(self.serves_again(cluster))
        self.assertLessEqual(told, self.read(cluster)[0])

    def test_the_tail_of_two_tells_no_version_that_its_power_may_take_back_with_the_other_wiped(
        self,
    ):
        cluster = self.started(3)
        head, other, tail = sorted(
            cluster.core_names(), key=lambda name: cluster.up[name].agreement.position()
        )
        self.lose(cluster, [other])
        self.settle(cluster, [head, tail])
        told = self.tells_while_tail_syncs(cluster, head, tail)
        self.lose(cluster, [head], wiped=True)
        self.lose(cluster, [tail])
        cluster.folders[tail].stall_s = 0.0
        for name in (head, other, tail):
            cluster.start_core(name)
        cluster.world.run(5)
        self.assertTrue(self.serves_again(cluster))
        self.assertLessEqual(told, self.read(cluster)[0])

    def test_a_core_alone_acknowledges_after_the_set_time_too(self):
        cluster = self.started(1, ackWaitMs=300)
        cluster.world.freeze("router2")
        self.assertLess(self.insist(cluster, 11), 0.6)

    def test_a_core_killed_before_the_first_view_still_founds(self):
        cluster = self.cluster(3)
        for name in ("core1", "core2"):
            cluster.start_core(name)
        cluster.world.run(2)
        cluster.world.kill("core1")
        cluster.is_first_start = False
        cluster.start_core("core1")
        cluster.world.run(1)
        cluster.is_first_start = True
        cluster.start_core("core3")
        self.settle(cluster)

    def test_a_founder_that_is_replaced_before_the_first_view_holds_nobody_up(self):
        cluster = self.cluster(3)
        for name in ("core1", "core2"):
            cluster.start_core(name)
        cluster.world.run(2)
        cluster.is_first_start = False
        cluster.start_core("core3")
        self.settle(cluster)

    def test_fresh_cores_that_may_not_found_never_do(self):
        cluster = self.cluster(3)
        cluster.is_first_start = False
        for node in cluster.site.cores:
            cluster.start_core(node["name"])
        cluster.world.run(20)
        self.assertEqual(
            {cluster.up[name].agreement.decided.number for name in cluster.core_names()}, {0}
        )

    def test_a_wiped_core_helps_none_that_missed_the_first_view_to_found_another(self):
        cluster = self.cluster(3)
        for name in ("core1", "core2", "core3"):
            cluster.start_core(name)
        cluster.world.run(0.02)
        agreements = [cluster.up[name].agreement for name in cluster.core_names()]
        cluster.world.run(until=lambda: any(each.decided.number for each in agreements), limit_s=10)
        knowing = next(
            name for name in cluster.core_names() if cluster.up[name].agreement.decided.number
        )
        unknowing = [
            name for name in cluster.core_names() if not cluster.up[name].agreement.decided.number
        ]
        cluster.is_first_start = False
        for name in cluster.core_names():
            cluster.world.kill(name)
        if unknowing:
            for name in [knowing, *unknowing[1:]]:
                cluster.folders[name].wipe()
                cluster.start_core(name)
            cluster.start_core(unknowing[0])
            cluster.world.run(15)
            founded = {
                tuple(ids(cluster.up[name].agreement.decided.members))
                for name in cluster.core_names()
            }
            self.assertLessEqual(len(founded - {()}), 1)

    def test_a_spare_member_takes_a_lost_voters_place(self):
        cluster = self.cluster(4, lossesBorne=1).start()
        self.assertTrue(
            cluster.world.run(
                until=lambda: all(
                    len(cluster.up[name].agreement.decided.members) == 4
                    for name in cluster.core_names()
                ),
                limit_s=10,
            )
        )
        self.assertEqual(set(self.voters_known(cluster).values()), {3})
        voters = [ref.core_id for ref in cluster.up["core1"].agreement.decided.voters]
        name = next(
            name for name in cluster.core_names() if cluster.up[name].agreement.core_id in voters
        )
        self.lose(cluster, [name])
        cluster.world.run(12)
        self.assertTrue(all(cluster.up[name].agreement.is_voter() for name in cluster.core_names()))

    def test_a_frozen_core_is_left_out_and_comes_back(self):
        for place in (0, 1, 2):
            cluster = self.started(3)
            name = next(
                name
                for name in cluster.core_names()
                if cluster.up[name].agreement.position() == place
            )
            near = next(other for other in cluster.core_names() if other != name)
            cluster.world.freeze(name)
            cluster.world.call_after(3.0, functools.partial(cluster.world.thaw, name))
            self.assertLess(self.insist(cluster, 5, near), 6.5 if place == 2 else 2.5)
            self.settle(cluster)
            self.assertEqual(check(cluster.records), {})

"""Cases of a chain whose cores are killed, cut off, frozen, or lose their disks."""

from swiftdeck.bench.checker import check
from swiftdeck.disk.journal import Journal
from swiftdeck.http.client import fetch_json
from swiftdeck.sim.sim_cluster import SimCluster
from tests.cases.bases import ThreeCoresCase


class ChainFaultsCase(ThreeCoresCase):
    """Changes through a chain whose members fail."""

    def test_each_member_may_be_killed_in_turn(self):
        cluster = self.cluster()
        for position in (2, 0, 1):
            self.settle(cluster)
            name = self.member(cluster, position)
            cluster.world.kill(name)
            cluster.folders[name].lose_power()
            self.assertLess(self.insist(cluster, 10 + position), 12)
            cluster.start_core(name)
        self.settle(cluster)
        self.assertEqual(
            len({cluster.up[name].chain.state.to_bytes() for name in cluster.core_names()}), 1
        )

    def test_all_cores_lose_power_and_the_configuration_is_read_back_whole(self):
        cluster = self.cluster()
        cluster.change("PATCH", self.cap(11))
        names = cluster.core_names()
        for name in names:
            cluster.world.kill(name)
        for name in names:
            cluster.folders[name].lose_power(torn=5)
            cluster.start_core(name)
        self.settle(cluster)
        got = cluster.ask("GET", "/v1/config")[1]
        self.assertEqual((got["version"], got["document"]["models"]["screener"]["cap"]), (2, 11))

    def test_a_lost_disk_after_an_ack_loses_nothing(self):
        cluster = self.cluster()
        for position in (0, 2):
            self.settle(cluster)
            self.assertEqual(cluster.change("PATCH", self.cap(20 + position))[0], 200)
            name = self.member(cluster, position)
            cluster.world.kill(name)
            cluster.folders[name].wipe()
            cluster.world.run(1)
            cluster.start_core(name)
            cluster.world.run(8)
            got = cluster.ask("GET", "/v1/config", name=name)[1]
            self.assertEqual(
                (got["version"], got["document"]["models"]["screener"]["cap"]),
                (cluster.version, 20 + position),
            )
        self.settle(cluster)

    def test_an_emptied_core_at_a_new_address_takes_the_lost_place_and_the_seeds_are_exchanged(
        self,
    ):
        cluster = self.cluster()
        cluster.world.kill("core1")
        node = cluster.addresses["core1"]
        node |= {"inner": f"{cluster.ip('core1b')}:7000", "http": f"{cluster.ip('core1b')}:8000"}
        cluster.folders["core1"].wipe()
        cluster.seeds = [core["inner"] for core in cluster.site.cores]
        for name in ("core2", "core3", "router1", "router2"):
            cluster.up[name].membership.set_seeds(cluster.seeds)
        cluster.world.run(3)
        cluster.start_core("core1")
        self.settle(cluster)
        voters = {ref.addr for ref in cluster.up["core2"].agreement.decided.voters}
        self.assertIn(node["inner"], voters)
        cluster.world.kill("core2")
        self.insist(cluster, 3, "core3")
        self.assertEqual(
            cluster.ask("GET", "/v1/config", name="core3")[1]["document"]["models"]["screener"][
                "cap"
            ],
            3,
        )

    def test_an_old_core_at_a_new_address_is_the_same_one(self):
        cluster = self.cluster()
        for position in (0, 1):
            name = self.member(cluster, position)
            cluster.world.kill(name)
            machine = f"moved-{name}"
            cluster.addresses[name] |= {
                "inner": f"{cluster.ip(machine)}:7000",
                "http": f"{cluster.ip(machine)}:8000",
            }
            cluster.seeds = [core["inner"] for core in cluster.site.cores]
            core_id = cluster.up[name].agreement.core_id
            cluster.start_core(name)
            cluster.world.run(1)
            self.insist(
                cluster,
                30 + position,
                next(other for other in cluster.core_names() if other != name),
            )
            self.settle(cluster)
            members = {ref.core_id: ref.addr for ref in cluster.up[name].agreement.decided.members}
            self.assertEqual(members[core_id], cluster.addresses[name]["inner"])

    def test_a_cut_core_serves_nothing_old_and_comes_back(self):
        cluster = self.cluster()
        tail = self.member(cluster, 2)
        others = [
            cluster.addresses[name]["inner"].rpartition(":")[0]
            for name in cluster.addresses
            if name != tail
        ]
        alone = cluster.addresses[tail]["inner"].rpartition(":")[0]
        cluster.world.net.cut([alone], others)
        cluster.world.run(8)
        near = next(name for name in cluster.core_names() if name != tail)
        self.assertEqual(cluster.change("PATCH", self.cap(13), name=near)[0], 200)
        self.assertNotEqual(cluster.ask("GET", "/v1/config", name=tail)[0], 200)
        self.assertFalse(cluster.up[tail].chain.may_tell())
        cluster.world.net.heal()
        self.settle(cluster)
        self.assertEqual(cluster.ask("GET", "/v1/config", name=tail)[1]["version"], cluster.version)

    def test_a_frozen_tail_wakes_holding_nothing(self):
        cluster = self.cluster()
        tail = self.member(cluster, 2)
        cluster.world.freeze(tail)
        near = next(name for name in cluster.core_names() if name != tail)
        self.insist(cluster, 14, near)
        self.assertFalse(cluster.up[tail].chain.may_tell())
        cluster.world.thaw(tail)
        self.assertFalse(cluster.up[tail].chain.may_tell())
        self.settle(cluster)

    def test_a_full_disk_refuses_and_a_stalled_one_leaves_the_chain(self):
        cluster = self.cluster()
        head = self.member(cluster, 0)
        cluster.folders[head].full = True
        self.insist(cluster, 15)
        cluster.world.run(3)
        self.assertLess(cluster.up[head].agreement.position(), 0)
        cluster.folders[head].full = False
        self.settle(cluster)
        middle = self.member(cluster, 1)
        cluster.folders[middle].stall_s = 30.0
        self.insist(cluster, 16)
        cluster.folders[middle].stall_s = 0.0
        cluster.world.run(40)
        self.settle(cluster)
        self.assertEqual(check(cluster.records), {})

    def spawn_change(self, cluster, kind, name):
        """Claim a key, or change the configuration through a core, without waiting for it."""
        if kind == "claim":
            cluster.spawn(
                lambda: cluster.caller.call("saga", "check", ["b", "x"], idempotency="bill")
            )
            return
        door = cluster.addresses[name]["http"]
        cluster.spawn(lambda: fetch_json(door, "PATCH", "/v1/config?base=1", self.cap(9)))

    def test_what_the_tail_answered_outlasts_a_head_that_loses_power_before_it_has_synced(self):
        for kind in ("configuration", "claim"):
            cluster = self.cluster()
            cluster.world.run(3)
            head, tail = self.member(cluster, 0), self.member(cluster, 2)
            cluster.folders[head].stall_s = 0.9
            self.spawn_change(cluster, kind, tail)
            cluster.world.run(0.7)
            known = cluster.up[tail].chain
            seen = (known.state.stored.version, len(known.state.stored.claims), known.serial)
            cluster.world.kill(head)
            cluster.folders[head].lose_power()
            cluster.folders[head].stall_s = 0.0
            cluster.start_core(head)
            cluster.world.run(3)
            self.settle(cluster)
            for name in cluster.core_names():
                stored, serial = cluster.up[name].chain.state.stored, cluster.up[name].chain.serial
                self.assertGreaterEqual(
                    (stored.version, len(stored.claims), serial), seen, (kind, name)
                )

    def test_a_damaged_last_record_is_not_taken_for_a_torn_one(self):
        for at in (-1, -20):
            cluster = self.cluster()
            self.assertEqual(cluster.change("PATCH", self.cap(9))[0], 200)
            head = self.member(cluster, 0)
            cluster.world.kill(head)
            cluster.folders[head].lose_power()
            records = Journal(cluster.folders[head], "chain.log").load()
            starts = len(cluster.folders[head].read("chain.log")) - len(Journal.frame(records[-1]))
            cluster.folders[head].written["chain.log"][at if at == -1 else starts + 1] ^= 255
            cluster.start_core(head)
            cluster.world.run(0.5)
            near = self.member(cluster, 1)
            cluster.change("PATCH", self.cap(10), base=2, name=near)
            cluster.world.run(5)
            self.settle(cluster)
            got = cluster.ask("GET", "/v1/config")[1]
            self.assertGreaterEqual(got["version"], 2, at)
            self.assertIn(got["document"]["models"]["screener"]["cap"], (9, 10))

    def test_a_head_that_lost_the_end_of_its_file_copies_from_the_longer_one(self):
        cluster = self.cluster()
        head = self.member(cluster, 0)
        cluster.world.run(2)
        short = bytes(cluster.folders[head].synced["chain.log"])
        self.assertEqual(cluster.change("PATCH", self.cap(9))[0], 200)
        cluster.world.kill(head)
        cluster.folders[head].written["chain.log"] = bytearray(short)
        cluster.start_core(head)
        cluster.world.run(3)
        self.settle(cluster)
        self.assertEqual(
            {cluster.up[name].chain.state.stored.version for name in cluster.core_names()}, {2}
        )

    def test_a_cold_start_serves_within_twelve_seconds_empty_and_with_its_data(self):
        for site in ("hinokuni", "serraria"):
            cluster = SimCluster(3, site, routers=9, workers=None).start()
            self.assertTrue(
                cluster.call(
                    "saga" if site == "hinokuni" else "ipe", "check", ["b", "x"], idempotency="k"
                )["whole"]
            )
            self.assertLess(cluster.world.now, 12, site)
            version = cluster.version
            names = list(cluster.world.loops)
            for name in names:
                if name not in ("operator", "callers"):
                    cluster.world.kill(name)
            for folder in cluster.folders.values():
                folder.lose_power(torn=7)
            start_s = cluster.world.now
            for node in cluster.site.cores:
                cluster.start_core(node["name"])
            cluster.world.start(
                "platform", cluster.site.platform.rpartition(":")[0], cluster.up["platform"].start
            )
            cluster.start_store()
            for worker in cluster.site.workers:
                cluster.start_worker(worker["name"])
            for node in cluster.site.routers:
                cluster.start_router(node["name"])
            got = {"whole": False}
            while not got["whole"] and cluster.world.now < start_s + 30:
                got = cluster.call(
                    "saga" if site == "hinokuni" else "ipe",
                    "check",
                    ["b", "y"],
                    idempotency="again",
                )
            self.assertLess(cluster.world.now - start_s, 12, site)
            self.assertEqual(cluster.ask("GET", "/v1/config")[1]["version"], version)

    def test_damage_on_disk_is_refused_and_mended_by_copying(self):
        cluster = self.cluster()
        for number in range(4):
            cluster.change("PATCH", self.cap(20 + number))
        name = self.member(cluster, 1)
        cluster.world.kill(name)
        data = cluster.folders[name].written["chain.log"]
        data[len(data) // 2] ^= 255
        cluster.start_core(name)
        cluster.world.run(5)
        self.settle(cluster)
        self.assertEqual(cluster.up[name].telemetry.count["copies"], 1)
        self.assertEqual(cluster.up[name].chain.state.stored.version, cluster.version)

    def test_a_sweep_mends_damage_before_any_restart_meets_it(self):
        cluster = self.cluster()
        for number in range(4):
            cluster.change("PATCH", self.cap(20 + number))
        name = self.member(cluster, 1)
        for file in ("chain.log", "agreement.log"):
            data = cluster.folders[name].written[file]
            data[len(data) // 2] ^= 255
            cluster.folders[name].synced[file] = bytes(data)
        cluster.world.run(90)
        core_id = cluster.up[name].agreement.core_id
        cluster.world.kill(name)
        cluster.start_core(name)
        cluster.world.run(3)
        self.settle(cluster)
        self.assertEqual(
            (cluster.up[name].agreement.core_id, cluster.up[name].telemetry.count["copies"]),
            (core_id, 0),
        )

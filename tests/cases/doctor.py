"""Cases of the doctor: each fault is brought about and found by its code."""

import copy
import unittest

from swiftdeck.control.client import OperatorClient
from swiftdeck.control.doctor import FINDINGS, diagnose, examine
from swiftdeck.sim.sim_cluster import SimCluster


class DoctorCase(unittest.TestCase):
    """A whole site is examined through one core."""

    def cluster(self):
        return SimCluster(7, routers=3, workers=2).start()

    def codes(self, cluster, core="core1", seeds=(), folder=""):
        client = OperatorClient(cluster.addresses[core]["http"])
        return {
            each["code"]
            for each in cluster.world.run_task(
                "operator", lambda: examine(client, seeds, folder), limit_s=60
            )
        }

    def test_a_sound_site_has_no_findings(self):
        cluster = self.cluster()
        self.assertEqual(self.codes(cluster, seeds=cluster.seeds), set())

    def test_a_silent_core_and_an_unreached_seed_are_found(self):
        cluster = self.cluster()
        cluster.world.kill("core3")
        found = self.codes(cluster, seeds=cluster.seeds)
        self.assertLessEqual({701, 702}, found)
        cluster.world.run(8)
        self.assertLessEqual({701, 706}, self.codes(cluster))
        cluster.world.kill("core1")
        self.assertEqual(self.codes(cluster), {700})
        cluster.world.run(8)
        self.assertLessEqual({707, 708}, self.codes(cluster, "core2"))

    def test_disks_are_found(self):
        cluster = self.cluster()
        cluster.folders["core2"].full = True
        cluster.change("PATCH", {"models": {"screener": {"cap": 3}}})
        cluster.world.run(6)
        self.assertLessEqual({703, 705}, self.codes(cluster))
        self.assertIn(704, self.codes(cluster, folder="/nonexistent"))

    def test_an_old_list_a_silent_worker_and_a_wild_clock_are_found(self):
        cluster = self.cluster()
        ip = cluster.addresses["router1"]["inner"].rpartition(":")[0]
        others = [
            cluster.addresses[name]["inner"].rpartition(":")[0] for name in ("router2", "router3")
        ]
        cluster.world.net.cut([ip], [cluster.site.platform.rpartition(":")[0], *others])
        cluster.world.kill("worker2")
        loop = cluster.world.loops["router2"]
        loop.clock_offset_s, loop.clock_rate = loop.time() - cluster.world.now * 1.2, 1.2
        cluster.world.run(4)
        self.assertLessEqual({709, 712, 715}, self.codes(cluster))

    def test_every_finding_that_statuses_show_is_made(self):
        cluster = self.cluster()
        statuses = {
            name: cluster.ask("GET", "/v1/status", name=name)[1] for name in cluster.addresses
        }
        self.assertEqual(diagnose(statuses), [])
        planted = {
            701: lambda s: s.update(router1=None),
            703: lambda s: s["core1"].update(diskFreeBytes=5),
            705: lambda s: s["core1"].update(trouble="305 full"),
            707: lambda s: s["core1"].update(mayServe=False),
            708: lambda s: s["router1"].update(lease=False),
            709: lambda s: s["router1"]["list"].update(fresh=False),
            706: lambda s: [each["view"].update(members=["a"]) for each in s.values()],
            710: lambda s: s["router1"].update(version=0),
            714: lambda s: s["router1"]["view"].update(number=0),
            716: lambda s: [each.update(version=0) for each in s.values()],
            711: lambda s: [each.update(keeps=[]) for each in s.values()],
            712: lambda s: self.book(s).update(up=False),
            713: lambda s: self.book(s).update(weights="w0"),
            717: lambda s: self.book(s).update(line=64),
            718: lambda s: s["core2"].update(claims=170000),
            719: lambda s: s["router2"]["shared"].update(grantMs=1),
        }
        for code, plant in planted.items():
            sick = copy.deepcopy(statuses)
            plant(sick)
            self.assertIn(code, {each["code"] for each in diagnose(sick)}, FINDINGS[code])
        self.assertEqual(set(FINDINGS) - set(planted), {700, 702, 704, 715})

    @staticmethod
    def book(statuses):
        return next(
            book
            for each in statuses.values()
            for keeps in each.get("keeps", [])
            for book in keeps["books"].values()
        )

    def test_operators_watch_and_explain_decisions(self):
        cluster, lines = self.cluster(), []
        cluster.change("PATCH", {"models": {"screener": {"cap": 1, "pauseMs": 1000}}})
        cluster.call("saga", "check", ["b", "x"])
        got = cluster.call("oita", "check", ["b", "y"])
        client = OperatorClient(cluster.addresses["core2"]["http"])
        status, told = cluster.world.run_task("operator", lambda: client.explain(got["call"]))
        kinds = [item["kind"] for item in told["decisions"]]
        self.assertEqual((status, told["silent"]), (200, []))
        self.assertLessEqual({"start"}, set(kinds))
        self.assertEqual(
            cluster.world.run_task("operator", lambda: client.watch(lines.append, follow=False)), 0
        )
        self.assertTrue(any('"kind":"start"' in line for line in lines))
        fleet = cluster.world.run_task("operator", lambda: client.fleet())
        self.assertEqual(fleet[1]["counters"]["callsServed"], 2)

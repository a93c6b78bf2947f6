"""Tests of the status that operators get from a site whose routers are gateways."""

from swiftdeck.control.client import OperatorClient
from swiftdeck.control.doctor import diagnose
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster


class OpsTest(SiteCase):
    def test_a_core_returns_the_status_of_every_process(self):
        cluster = PlatformCluster(7).start()
        cluster.ask("r-stream")
        core = cluster.up[cluster.cores()[0]]
        status, reports = cluster.operate(lambda: OperatorClient(core.settings.http).statuses())
        self.assertEqual(status, 200)
        self.assertEqual(
            set(reports),
            {node.me.name for node in map(cluster.up.get, [*cluster.cores(), *cluster.routers()])},
        )
        self.assertNotIn(None, reports.values())
        self.assertEqual([each["code"] for each in diagnose(reports) if each["code"] != 703], [])
        routers = [each for each in reports.values() if each["role"] == "router"]
        self.assertEqual(sum(each["counters"].get("callsServed", 0) for each in routers), 1)
        self.assertTrue(
            all(each["ready"] and each["lease"] and each["list"]["fresh"] for each in routers)
        )

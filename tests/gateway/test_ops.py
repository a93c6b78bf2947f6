"""What operators see of a site whose routers are gateways."""

from swiftdeck.control.client import OperatorClient
from swiftdeck.control.doctor import diagnose
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import PlatformCluster


class OpsTest(SiteCase):
    def test_a_core_leads_to_the_status_of_every_process(self):
        cluster = PlatformCluster(7).start()
        cluster.ask("r-stream")
        core = cluster.up[cluster.cores()[0]]
        status, told = cluster.operate(lambda: OperatorClient(core.settings.http).statuses())
        self.assertEqual(status, 200)
        self.assertEqual(
            set(told),
            {node.me.name for node in map(cluster.up.get, [*cluster.cores(), *cluster.routers()])},
        )
        self.assertNotIn(None, told.values())
        self.assertEqual([each["code"] for each in diagnose(told) if each["code"] != 703], [])
        routers = [each for each in told.values() if each["role"] == "router"]
        self.assertEqual(sum(each["counters"].get("callsServed", 0) for each in routers), 1)
        self.assertTrue(
            all(each["ready"] and each["lease"] and each["list"]["fresh"] for each in routers)
        )

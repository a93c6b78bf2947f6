"""Tests of gateways with one of their mechanisms switched off."""

import msgspec

from swiftdeck.config.policy import Policy
from swiftdeck.config.settings import read_settings
from swiftdeck.fault import BAD_SETTING
from tests.gateway.case import SiteCase
from tests.gateway.platform_cluster import MODEL

SWITCHES = [field.name for field in msgspec.structs.fields(Policy)]
FLAGS = {"name": "r1", "inner": "10.0.0.1:7000", "http": "10.0.0.1:8000"}


class PolicyTest(SiteCase):
    def test_no_invariant_breaks_without_a_mechanism(self):
        for switch in SWITCHES:
            with self.subTest(switch):
                cluster = self.cluster(4, policy=Policy(**{switch: False}))
                cluster.up["lm2"].quirk, cluster.up["lm2"].quirk_share = "reset", 0.3
                cluster.operate(lambda cluster=cluster: cluster.operator.name(MODEL, 2))
                cluster.world.run(3)
                cluster.rest()
                self.assert_kept(cluster, 0.8)

    def test_a_switch_is_a_setting_and_an_invalid_one_is_a_fault(self):
        settings = read_settings(flags=FLAGS | {"policy": {"lane": False}})
        self.assertEqual((settings.policy.lane, settings.policy.ring), (False, True))
        for invalid in ({"lanes": False}, {"lane": 3}, "lane"):
            self.assertEqual(
                read_settings(flags=FLAGS | {"policy": invalid}).code, BAD_SETTING.code, invalid
            )

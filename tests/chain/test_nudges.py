"""Tests of the notifications that tell routers about a newer configuration."""

import unittest

from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.messages import ConfigChanged


class ConfigChangedTest(unittest.TestCase):
    def test_each_router_is_notified_of_a_version_once(self):
        cluster = SimCluster(4, routers=6).start()
        notifications = []
        for name in cluster.core_names():
            mesh, send = cluster.up[name].mesh, cluster.up[name].mesh.send
            mesh.send = lambda addr, message, send=send: (
                notifications.append((addr, message.version))
                if isinstance(message, ConfigChanged)
                else None,
                send(addr, message),
            )
        for cap in (5, 6, 7):
            self.assertEqual(
                cluster.change("PATCH", {"models": {cluster.site.model: {"cap": cap}}})[0], 200
            )
        self.assertEqual(len(notifications), len(set(notifications)))
        self.assertEqual(len(notifications), 18)
        self.assertEqual(
            {cluster.up[name].lease.held.version for name in cluster.router_names()},
            {cluster.version},
        )

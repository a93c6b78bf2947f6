"""A change is announced to each router once."""

import unittest

from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.wire.messages import ConfigChanged


class NudgesTest(unittest.TestCase):
    def test_each_router_is_told_of_a_version_once(self):
        cluster = SimCluster(4, routers=6).start()
        told = []
        for name in cluster.core_names():
            mesh, tell = cluster.up[name].mesh, cluster.up[name].mesh.send
            mesh.send = lambda addr, message, tell=tell: (
                told.append((addr, message.version))
                if isinstance(message, ConfigChanged)
                else None,
                tell(addr, message),
            )
        for cap in (5, 6, 7):
            self.assertEqual(
                cluster.change("PATCH", {"models": {cluster.site.model: {"cap": cap}}})[0], 200
            )
        self.assertEqual(len(told), len(set(told)))
        self.assertEqual(len(told), 18)
        self.assertEqual(
            {cluster.up[name].lease.held.version for name in cluster.router_names()},
            {cluster.version},
        )

"""A change is announced to each router once."""

import unittest

from swiftdeck.sim.town import Town
from swiftdeck.wire.messages import ConfigChanged


class NudgesTest(unittest.TestCase):
    def test_each_router_is_told_of_a_version_once(self):
        town = Town(4, routers=6).start()
        told = []
        for name in town.core_names():
            mesh, tell = town.up[name].mesh, town.up[name].mesh.tell
            mesh.tell = lambda addr, message, tell=tell: (
                told.append((addr, message.version))
                if isinstance(message, ConfigChanged)
                else None,
                tell(addr, message),
            )
        for cap in (5, 6, 7):
            self.assertEqual(
                town.change("PATCH", {"models": {town.site.model: {"cap": cap}}})[0], 200
            )
        self.assertEqual(len(told), len(set(told)))
        self.assertEqual(len(told), 18)
        self.assertEqual(
            {town.up[name].lease.held.version for name in town.router_names()}, {town.version}
        )

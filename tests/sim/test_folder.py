"""Tests of `sim/folder.py`."""

import unittest

from swiftdeck.sim.folder import SimFolder
from swiftdeck.sim.world import World


class SimFolderTest(unittest.TestCase):
    def test_only_synced_bytes_survive_a_power_loss(self):
        world, folder = World(), SimFolder()

        async def main():
            folder.append("f", b"one")
            await folder.sync("f")
            folder.append("f", b"two")

        world.start("a", "10.0.0.1", main)
        world.run(1)
        folder.lose_power(torn=1)
        self.assertEqual(folder.read("f"), b"onet")

"""Entries of the chain reach the disk in one write for each sync."""

import asyncio
import unittest

from swiftdeck.chain.state import CLAIM
from swiftdeck.sim.sim_cluster import SimCluster

LOG = "chain.log"


class WritesSinceSync:
    """Counts how many writes to the log one loss of power could keep or lose separately."""

    def __init__(self, folder):
        self.open, self.most = 0, 0
        self.append, self.sync = folder.append, folder.sync
        folder.append, folder.sync = self.count_append, self.count_sync

    def count_append(self, name, data):
        """Stand in for `append`."""
        if name == LOG:
            self.open += 1
            self.most = max(self.most, self.open)
        self.append(name, data)

    async def count_sync(self, name):
        """Stand in for `sync`."""
        await self.sync(name)
        if name == LOG:
            self.open = 0


class BatchesTest(unittest.TestCase):
    def test_orders_that_come_at_once_are_one_write_at_every_member(self):
        cluster = SimCluster(4, routers=1).start()
        counts = {name: WritesSinceSync(cluster.folders[name]) for name in cluster.core_names()}
        writer = cluster.up["core1"].change_writer

        async def claim_many():
            claims = [
                {"t": "claims", "ops": [[f"key{number}", f"run{number}", b"", CLAIM]]}
                for number in range(8)
            ]
            return await asyncio.gather(
                *(writer.write(f"batch{at}", claim) for at, claim in enumerate(claims))
            )

        outcomes = cluster.world.run_task("core1", claim_many)
        self.assertEqual([outcome.results for outcome in outcomes], [[""]] * 8)
        self.assertEqual(
            {name: count.most for name, count in counts.items()}, dict.fromkeys(counts, 1)
        )

"""Tests that entries of the chain are written to disk in a single write per sync."""

import asyncio
import unittest

from swiftdeck.chain.state import CLAIM
from swiftdeck.sim.sim_cluster import SimCluster

LOG = "chain.log"


class WritesSinceSync:
    """Counts the writes to the log since its last sync; a power loss could keep any one alone."""

    def __init__(self, folder):
        self.open_writes, self.max_open = 0, 0
        self.append, self.sync = folder.append, folder.sync
        folder.append, folder.sync = self.count_append, self.count_sync

    def count_append(self, name, data):
        """Replace `append`."""
        if name == LOG:
            self.open_writes += 1
            self.max_open = max(self.max_open, self.open_writes)
        self.append(name, data)

    async def count_sync(self, name):
        """Replace `sync`."""
        await self.sync(name)
        if name == LOG:
            self.open_writes = 0


class SingleWriteTest(unittest.TestCase):
    def test_concurrent_changes_are_one_write_at_every_member(self):
        cluster = SimCluster(4, routers=1).start()
        counts = {name: WritesSinceSync(cluster.folders[name]) for name in cluster.core_names()}
        writer = cluster.up["core1"].change_writer

        async def claim_many():
            claims = [
                {"t": "claims", "ops": [[f"key{number}", f"run{number}", b"", CLAIM]]}
                for number in range(8)
            ]
            return await asyncio.gather(
                *(writer.write(f"batch{index}", claim) for index, claim in enumerate(claims))
            )

        outcomes = cluster.world.run_task("core1", claim_many)
        self.assertEqual([outcome.results for outcome in outcomes], [[""]] * 8)
        self.assertEqual(
            {name: count.max_open for name, count in counts.items()}, dict.fromkeys(counts, 1)
        )

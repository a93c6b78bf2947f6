"""Tests of `control/archive.py`."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec

from swiftdeck.control.archive import Archive
from swiftdeck.fault import is_fault


class ArchiveTest(unittest.TestCase):
    def test_versions_are_commits_and_a_damaged_store_harms_nobody(self):
        from swiftdeck.chain.state import ChainState
        from swiftdeck.config.configuration import Configuration
        from swiftdeck.runtime.telemetry import Telemetry

        held = Configuration.read(b'{"models":{}}')

        class Alone:
            state = ChainState()

        with tempfile.TemporaryDirectory() as path:
            archive = Archive(f"{path}/history", Alone(), None, Telemetry(), wall=lambda: 7)
            for version in (1, 2, 1):
                archive.keep(
                    {
                        "version": version,
                        "id": f"c{version}",
                        "author": "ana <x>\n",
                        "document": held,
                    }
                )
            self.assertEqual(
                [(each["version"], each["changeId"], each["author"]) for each in archive.log()],
                [(2, "c2", "ana  x"), (1, "c1", "ana  x")],
            )
            self.assertEqual(msgspec.json.decode(archive.document(1)), {"models": {}})
            self.assertTrue(is_fault(archive.document(9)))
            for each in Path(path, "history").rglob("*"):
                if each.is_file():
                    each.write_bytes(b"damage")

            async def main():
                return await archive.run(
                    archive.keep, {"version": 3, "id": "c", "author": "", "document": held}
                )

            self.assertIsNone(asyncio.run(main()))
            self.assertEqual(archive.telemetry.count["archiveFailures"], 1)
            archive.pool.shutdown()

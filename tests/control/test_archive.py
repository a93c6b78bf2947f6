"""Tests of `control/archive.py`."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec

from swiftdeck.control.archive import Archive
from swiftdeck.fault import is_fault


class ArchiveTest(unittest.TestCase):
    def test_versions_become_commits_and_a_damaged_repository_only_counts_a_failure(self):
        from swiftdeck.chain.state import ChainState
        from swiftdeck.config.configuration import Configuration
        from swiftdeck.runtime.telemetry import Telemetry

        configuration = Configuration.read(b'{"models":{}}')

        class FakeChain:
            state = ChainState()

        with tempfile.TemporaryDirectory() as directory:
            archive = Archive(
                f"{directory}/history", FakeChain(), None, Telemetry(), wall_clock=lambda: 7
            )
            for version in (1, 2, 1):
                archive.commit_version(
                    {
                        "version": version,
                        "id": f"c{version}",
                        "author": "ana <x>\n",
                        "document": configuration,
                    }
                )
            self.assertEqual(
                [
                    (each["version"], each["changeId"], each["author"])
                    for each in archive.list_versions()
                ],
                [(2, "c2", "ana  x"), (1, "c1", "ana  x")],
            )
            self.assertEqual(msgspec.json.decode(archive.read_document(1)), {"models": {}})
            self.assertTrue(is_fault(archive.read_document(9)))
            for each in Path(directory, "history").rglob("*"):
                if each.is_file():
                    each.write_bytes(b"damage")

            async def main():
                return await archive.run_in_thread(
                    archive.commit_version,
                    {"version": 3, "id": "c", "author": "", "document": configuration},
                )

            self.assertIsNone(asyncio.run(main()))
            self.assertEqual(archive.telemetry.count["archiveFailures"], 1)
            archive.executor.shutdown()

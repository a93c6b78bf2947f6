"""Tests of `disk/folder.py`."""

import asyncio
import os
import stat
import tempfile
import unittest
from unittest import mock

from swiftdeck.disk.folder import DataFolder


class DataFolderTest(unittest.TestCase):
    def test_append_after_replace_writes_to_the_new_file(self):
        with tempfile.TemporaryDirectory() as path:
            folder = DataFolder(path)

            async def main():
                folder.append("f", b"old")
                await folder.sync("f")
                await folder.replace("f", b"new")
                folder.append("f", b"er")
                await folder.sync("f")

            asyncio.run(main())
            self.assertEqual(folder.read("f"), b"newer")
            for file in folder.open_files.values():
                file.close()
            folder.executor.shutdown()

    def test_first_sync_of_a_file_in_each_run_also_syncs_the_directory(self):
        synced = []

        def record_fsync(descriptor):
            synced.append("directory" if stat.S_ISDIR(os.fstat(descriptor).st_mode) else "file")

        def run_process(path, run):
            synced.clear()
            folder = DataFolder(path)
            with mock.patch("os.fsync", record_fsync):
                asyncio.run(run(folder))
            for file in folder.open_files.values():
                file.close()
            folder.executor.shutdown()
            return list(synced)

        async def append_twice(folder):
            for _ in range(2):
                folder.append("f", b"x")
                await folder.sync("f")

        async def replace_then_append(folder):
            await folder.replace("f", b"y")
            folder.append("f", b"x")
            await folder.sync("f")

        with tempfile.TemporaryDirectory() as path:
            self.assertEqual(run_process(path, append_twice), ["file", "directory", "file"])
            self.assertEqual(run_process(path, append_twice), ["file", "directory", "file"])
            self.assertEqual(run_process(path, replace_then_append), ["file", "directory", "file"])

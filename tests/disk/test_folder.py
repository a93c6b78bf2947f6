"""Tests of `disk/folder.py`."""

import asyncio
import os
import stat
import tempfile
import unittest
from unittest import mock

from swiftdeck.disk.folder import DataFolder


class DataFolderTest(unittest.TestCase):
    def test_replace_then_append_goes_to_the_new_file(self):
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
            for file in folder.files.values():
                file.close()
            folder.pool.shutdown()

    def test_the_name_of_a_file_is_synced_with_the_first_sync_of_each_life(self):
        synced = []

        def record(descriptor):
            synced.append("folder" if stat.S_ISDIR(os.fstat(descriptor).st_mode) else "file")

        def life(path, work):
            synced.clear()
            folder = DataFolder(path)
            with mock.patch("os.fsync", record):
                asyncio.run(work(folder))
            for file in folder.files.values():
                file.close()
            folder.pool.shutdown()
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
            self.assertEqual(life(path, append_twice), ["file", "folder", "file"])
            self.assertEqual(life(path, append_twice), ["file", "folder", "file"])
            self.assertEqual(life(path, replace_then_append), ["file", "folder", "file"])

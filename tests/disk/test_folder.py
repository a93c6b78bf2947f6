"""Tests of `disk/folder.py`."""

import asyncio
import tempfile
import unittest

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

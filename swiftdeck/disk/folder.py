"""Files in the data folder of a process."""

import asyncio
import os
import typing
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


class Folder(typing.Protocol):
    """The file operations that a process needs from its data folder."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file; empty when it does not exist."""

    def append(self, name: str, data: bytes):
        """Append bytes to a file, which is created if missing; durable once `sync` has returned."""

    async def sync(self, name: str):
        """Flush a file to disk, so that what was written survives a loss of power."""

    async def replace(self, name: str, data: bytes):
        """Replace the contents of a file atomically and durably."""

    def truncate(self, name: str, length: int):
        """Truncate a file to a length in bytes."""

    def free_bytes(self) -> int:
        """Return the free space of the disk in bytes."""


class DataFolder:
    """The file operations of `Folder` on one directory of the file system.

    Files are synced and replaced on a thread of their own, so that a stalled disk does not block
    the event loop and the node stays reachable. The directory is synced with the first sync of
    each file in a run of the process.
    """

    def __init__(self, path):
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self.open_files = {}
        self.synced_names = set()
        self.executor = ThreadPoolExecutor(1)

    def read(self, name: str) -> bytes:
        """Return the contents of a file; empty when it does not exist."""
        target = self.path / name
        return target.read_bytes() if target.exists() else b""

    def _open(self, name):
        if name not in self.open_files:
            self.open_files[name] = open(self.path / name, "ab", buffering=0)
        return self.open_files[name]

    def append(self, name: str, data: bytes):
        """Append bytes to a file, which is created if missing."""
        view = memoryview(data)
        while view:
            view = view[self._open(name).write(view) :]

    async def sync(self, name: str):
        """Flush a file to disk, and its directory entry with the file's first sync in this run."""
        await asyncio.get_running_loop().run_in_executor(
            self.executor, self._sync, name, self._open(name).fileno()
        )

    def _sync(self, name, descriptor):
        os.fsync(descriptor)
        if name not in self.synced_names:
            self._sync_directory()
            self.synced_names.add(name)

    def _sync_directory(self):
        """Flush the directory; without this a new file may be gone after a loss of power."""
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def replace(self, name: str, data: bytes):
        """Replace the contents of a file atomically and durably, by renaming a new file."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self._replace, name, data)

    def _replace(self, name, data):
        new_path = self.path / (name + ".new")
        with open(new_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        old_file = self.open_files.pop(name, None)
        os.replace(new_path, self.path / name)
        self._sync_directory()
        self.synced_names.add(name)
        if old_file:
            old_file.close()

    def truncate(self, name: str, length: int):
        """Truncate a file to a length in bytes."""
        os.truncate(self.path / name, length)

    def free_bytes(self) -> int:
        """Return the free space of the file system in bytes."""
        stats = os.statvfs(self.path)
        return stats.f_bavail * stats.f_frsize

"""The data folder of a real process."""

import asyncio
import os
import typing
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


class Folder(typing.Protocol):
    """What a process asks of its disk."""

    def read(self, name: str) -> bytes:
        """Return all bytes of a file, none where there is no such file."""

    def append(self, name: str, data: bytes):
        """Write behind the end of a file."""

    async def sync(self, name: str):
        """Make what was written last through a loss of power."""

    async def replace(self, name: str, data: bytes):
        """Put new contents in place of a file, whole or not at all."""

    def truncate(self, name: str, length: int):
        """Cut a file to a length in bytes."""

    def free_bytes(self) -> int:
        """Return how many bytes the disk still takes."""


class DataFolder:
    """Files under one folder.

    Syncing waits on one helper thread, so that a stalled disk does not silence the node.
    """

    def __init__(self, path):
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self.files = {}
        self.named = set()
        self.pool = ThreadPoolExecutor(1)

    def read(self, name: str) -> bytes:
        """All bytes of a file; empty when there is none."""
        target = self.path / name
        return target.read_bytes() if target.exists() else b""

    def _open(self, name):
        if name not in self.files:
            self.files[name] = open(self.path / name, "ab", buffering=0)
        return self.files[name]

    def append(self, name: str, data: bytes):
        """Add bytes to the end of a file."""
        view = memoryview(data)
        while view:
            view = view[self._open(name).write(view) :]

    async def sync(self, name: str):
        """Make a file last, and its name with the first sync of each life of the process."""
        await asyncio.get_running_loop().run_in_executor(
            self.pool, self._sync, name, self._open(name).fileno()
        )

    def _sync(self, name, descriptor):
        os.fsync(descriptor)
        if name not in self.named:
            self._sync_names()
            self.named.add(name)

    def _sync_names(self):
        """Make the names of files last; a new file may else be gone after a loss of power."""
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    async def replace(self, name: str, data: bytes):
        """Put new contents in place of a file, whole or not at all."""
        await asyncio.get_running_loop().run_in_executor(self.pool, self._replace, name, data)

    def _replace(self, name, data):
        fresh = self.path / (name + ".new")
        with open(fresh, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        old = self.files.pop(name, None)
        os.replace(fresh, self.path / name)
        self._sync_names()
        self.named.add(name)
        if old:
            old.close()

    def truncate(self, name: str, length: int):
        """Cut a file off."""
        os.truncate(self.path / name, length)

    def free_bytes(self) -> int:
        """Room left."""
        room = os.statvfs(self.path)
        return room.f_bavail * room.f_frsize

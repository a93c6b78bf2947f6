"""A simulated data folder, which loses unsynced data when power is lost."""

import asyncio


class SimFolder:
    """A data folder in memory that outlives its process and can be made to fail.

    `written` has the contents that a running process sees, `synced` what survives a loss of power.
    `full` lets writes fail with ENOSPC, `failing` lets reads and writes fail with EIO. Each sync or
    replacement takes `stall_s` seconds; at 0.0 it takes the usual time.
    """

    def __init__(self):
        self.synced, self.written = {}, {}
        self.full = self.failing = False
        self.stall_s = 0.0

    def read(self, name: str) -> bytes:
        """Return the contents of a file; empty when it doesn't exist."""
        if self.failing:
            raise OSError(5, "input/output error")
        return bytes(self.written.get(name, b""))

    def append(self, name: str, data: bytes):
        """Append bytes to a file."""
        if self.failing:
            raise OSError(5, "input/output error")
        if self.full:
            raise OSError(28, "no space left on device")
        self.written.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str):
        """Sync a file, up to the bytes that were written when the call began."""
        data = bytes(self.written.get(name, b""))
        await asyncio.sleep(self.stall_s or 0.0005)
        if self.failing:
            raise OSError(5, "input/output error")
        self.synced[name] = max(self.synced.get(name, b""), data, key=len)

    async def replace(self, name: str, data: bytes):
        """Replace the contents of a file atomically and sync them."""
        if self.full:
            raise OSError(28, "no space left on device")
        await asyncio.sleep(self.stall_s or 0.001)
        if self.failing:
            raise OSError(5, "input/output error")
        self.written[name], self.synced[name] = bytearray(data), bytes(data)

    def truncate(self, name: str, length: int):
        """Truncate a file to `length` bytes and sync it."""
        del self.written[name][length:]
        self.synced[name] = bytes(self.written[name])

    def free_bytes(self) -> int:
        """Return the free space in bytes: none when full, else 1 GiB."""
        return 0 if self.full else 1 << 30

    def lose_power(self, torn=0):
        """Drop unsynced data, except for the first `torn` bytes of it in each file."""
        self.written = {
            name: bytearray(data + bytes(self.written.get(name, b""))[len(data) : len(data) + torn])
            for name, data in self.synced.items()
        }

    def wipe(self):
        """Delete all files."""
        self.synced, self.written = {}, {}

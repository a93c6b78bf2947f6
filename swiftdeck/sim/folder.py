"""A simulated data folder: what was not synced is lost with the power."""

import asyncio


class SimFolder:
    """A data folder in memory that outlives its process and can be made to fail."""

    def __init__(self):
        self.synced, self.written = {}, {}
        self.full = self.failing = False
        self.stall_s = 0.0

    def read(self, name: str) -> bytes:
        """All bytes of a file; empty when there is none."""
        if self.failing:
            raise OSError(5, "input/output error")
        return bytes(self.written.get(name, b""))

    def append(self, name: str, data: bytes):
        """Add bytes to the end of a file."""
        if self.failing:
            raise OSError(5, "input/output error")
        if self.full:
            raise OSError(28, "no space left on device")
        self.written.setdefault(name, bytearray()).extend(data)

    async def sync(self, name: str):
        """Make a file last."""
        data = bytes(self.written.get(name, b""))
        await asyncio.sleep(self.stall_s or 0.0005)
        if self.failing:
            raise OSError(5, "input/output error")
        self.synced[name] = max(self.synced.get(name, b""), data, key=len)

    async def replace(self, name: str, data: bytes):
        """Put new contents in place of a file, whole or not at all."""
        if self.full:
            raise OSError(28, "no space left on device")
        await asyncio.sleep(self.stall_s or 0.001)
        if self.failing:
            raise OSError(5, "input/output error")
        self.written[name], self.synced[name] = bytearray(data), bytes(data)

    def truncate(self, name: str, length: int):
        """Cut a file off."""
        del self.written[name][length:]
        self.synced[name] = bytes(self.written[name])

    def free_bytes(self) -> int:
        """Room left."""
        return 0 if self.full else 1 << 30

    def lose_power(self, torn=0):
        """Forget what was not synced, but for a torn first part of it."""
        self.written = {
            name: bytearray(data + bytes(self.written.get(name, b""))[len(data) : len(data) + torn])
            for name, data in self.synced.items()
        }

    def wipe(self):
        """Lose everything."""
        self.synced, self.written = {}, {}

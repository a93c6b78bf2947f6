"""An append-only file of checksummed records."""
import asyncio
import struct
import unittest
import zlib

import msgspec

from swiftdeck.fault import DAMAGED, isFault
from swiftdeck.sim.folder import SimFolder

HEADER = struct.Struct(">IIB")
MARK = 0xD5


class Journal:
    """Records in one file; a torn last one is cut off, damage before the end is refused."""

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.size, self.sinceS = 0, None

    @staticmethod
    def frame(record) -> bytes:
        """One record with its length and checksum."""
        body = msgspec.msgpack.encode(record)
        return HEADER.pack(len(body), zlib.crc32(body), MARK) + body

    def load(self):
        """All records, or a fault when one before the end is damaged."""
        data = self.folder.read(self.name)
        records, at = [], 0
        while at < len(data):
            found = self._recordAt(data, at)
            if found is None:
                if any(self._recordAt(data, later) for later in self._marks(data, at + 1)):
                    return DAMAGED.because(f"{self.name} at byte {at}")
                self.folder.truncate(self.name, at)
                break
            record, at = found
            records.append(record)
        self.size = at
        return records

    def isSound(self) -> bool:
        """Whether the file still reads back whole, as a sweep wants to know."""
        data, at = self.folder.read(self.name), 0
        while at < len(data):
            found = self._recordAt(data, at)
            if found is None:
                return False
            at = found[1]
        return at == self.size

    def _marks(self, data, start):
        at = data.find(MARK, start + HEADER.size - 1)
        while at >= 0:
            yield at - HEADER.size + 1
            at = data.find(MARK, at + 1)

    def _recordAt(self, data, at):
        if at + HEADER.size > len(data):
            return None
        length, checksum, mark = HEADER.unpack_from(data, at)
        end = at + HEADER.size + length
        if mark != MARK or end > len(data) or not length:
            return None
        body = data[at + HEADER.size:end]
        if zlib.crc32(body) != checksum:
            return None
        return msgspec.msgpack.decode(body), end

    def append(self, *records):
        """Write records; they last once `sync` has returned."""
        data = b"".join(self.frame(record) for record in records)
        try:
            self.folder.append(self.name, data)
        except OSError:
            self._cutBack()
            raise
        self.size += len(data)

    def _cutBack(self):
        try:
            self.folder.truncate(self.name, self.size)
        except (OSError, KeyError):
            pass

    async def sync(self):
        """Make what was appended last."""
        await self._timed(self.folder.sync(self.name))

    async def _timed(self, work):
        self.sinceS = asyncio.get_running_loop().time()
        try:
            await work
        finally:
            self.sinceS = None

    def stallMs(self) -> float:
        """How long the disk has been busy with what it does now."""
        return 0 if self.sinceS is None else (asyncio.get_running_loop().time() - self.sinceS) * 1000

    async def rewrite(self, records):
        """Put other records in place of the whole file."""
        data = b"".join(self.frame(record) for record in records)
        await self._timed(self.folder.replace(self.name, data))
        self.size = len(data)


class JournalTest(unittest.TestCase):
    def build(self):
        folder = SimFolder()
        Journal(folder, "j").append({"n": 1}, {"n": 2, "x": b"\xd5" * 40}, {"n": 3})
        return folder

    def testTornLastRecordIsCutOff(self):
        folder = self.build()
        del folder.written["j"][-1:]
        journal = Journal(folder, "j")
        self.assertEqual([record["n"] for record in journal.load()], [1, 2])
        journal.append({"n": 4})
        self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [1, 2, 4])

    def testASweepSeesDamage(self):
        folder = self.build()
        journal = Journal(folder, "j")
        journal.load()
        self.assertTrue(journal.isSound())
        folder.written["j"][HEADER.size + 1] ^= 1
        self.assertFalse(journal.isSound())

    def testDamageBeforeTheEndIsRefused(self):
        folder = self.build()
        folder.written["j"][HEADER.size + 1] ^= 1
        self.assertTrue(isFault(Journal(folder, "j").load()))

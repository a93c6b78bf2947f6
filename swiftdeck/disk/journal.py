"""An append-only file of checksummed records."""

import asyncio
import contextlib
import struct
import zlib

import msgspec

from swiftdeck.fault import CORRUPT_RECORD

HEADER, CHECK = struct.Struct(">IIB"), struct.Struct(">H")
MARK, OLD_MARK = 0xD6, 0xD5
SECTOR = 512
LEAD = HEADER.size + CHECK.size


def head_of(body) -> bytes:
    """What stands before a record: its length, its checksum, a mark, and a check of these."""
    head = HEADER.pack(len(body), zlib.crc32(body), MARK)
    return head + CHECK.pack(zlib.crc32(head) & 0xFFFF)


class Journal:
    """Records in one file; a torn last one is cut off, damage anywhere is refused.

    A write that the power cut short leaves the beginning of a record, and where the file had grown
    already, zeros from some sector on; a record that is all there but does not add up was whole
    once, and may have been acknowledged.
    """

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.size, self.since_s = 0, None

    @staticmethod
    def frame(record) -> bytes:
        """One record with its length and checksum."""
        body = msgspec.msgpack.encode(record)
        return head_of(body) + body

    def load(self):
        """All records, or a fault when one is damaged."""
        data = self.folder.read(self.name)
        records, at = [], 0
        while at < len(data):
            found = self._record_at(data, at)
            if found is None:
                if not self._is_torn(data, at) or any(
                    self._record_at(data, later) for later in self._marks(data, at + 1)
                ):
                    return CORRUPT_RECORD.with_reason(f"{self.name} at byte {at}")
                self.folder.truncate(self.name, at)
                break
            record, at = found
            records.append(record)
        self.size = at
        return records

    def is_sound(self) -> bool:
        """Whether the file still reads back whole, as a sweep wants to know."""
        data, at = self.folder.read(self.name), 0
        while at < len(data):
            found = self._record_at(data, at)
            if found is None:
                return False
            at = found[1]
        return at == self.size

    @staticmethod
    def _is_torn(data, at):
        """Whether what begins here can be the beginning of a record whose end was never written."""
        if len(data) - at < LEAD or not any(data[at:]):
            return True
        written = at + len(data[at:].rstrip(b"\0"))
        if -(-written // SECTOR) * SECTOR < len(data):
            return True
        length, _, mark = HEADER.unpack_from(data, at)
        is_head = (
            mark == OLD_MARK
            or zlib.crc32(data[at : at + HEADER.size]) & 0xFFFF
            == CHECK.unpack_from(data, at + HEADER.size)[0]
        )
        return is_head and at + LEAD + length > len(data)

    def _marks(self, data, start):
        for mark in (MARK, OLD_MARK):
            at = data.find(mark, start + HEADER.size - 1)
            while at >= 0:
                yield at - HEADER.size + 1
                at = data.find(mark, at + 1)

    def _record_at(self, data, at):
        if at + HEADER.size > len(data):
            return None
        length, checksum, mark = HEADER.unpack_from(data, at)
        start = at + (LEAD if mark == MARK else HEADER.size)
        end = start + length
        if mark not in (MARK, OLD_MARK) or end > len(data) or not length:
            return None
        if (
            mark == MARK
            and zlib.crc32(data[at : at + HEADER.size]) & 0xFFFF
            != CHECK.unpack_from(data, at + HEADER.size)[0]
        ):
            return None
        body = data[start:end]
        if zlib.crc32(body) != checksum:
            return None
        return msgspec.msgpack.decode(body), end

    def append(self, *records):
        """Write records; they last once `sync` has returned."""
        data = b"".join(self.frame(record) for record in records)
        try:
            self.folder.append(self.name, data)
        except OSError:
            self._cut_back()
            raise
        self.size += len(data)

    def _cut_back(self):
        with contextlib.suppress(OSError, KeyError):
            self.folder.truncate(self.name, self.size)

    async def sync(self):
        """Make what was appended last."""
        await self._timed(self.folder.sync(self.name))

    async def _timed(self, work):
        self.since_s = asyncio.get_running_loop().time()
        try:
            await work
        finally:
            self.since_s = None

    def stall_ms(self) -> float:
        """How long the disk has been busy with what it does now."""
        return (
            0 if self.since_s is None else (asyncio.get_running_loop().time() - self.since_s) * 1000
        )

    async def rewrite(self, records):
        """Put other records in place of the whole file."""
        data = b"".join(self.frame(record) for record in records)
        await self._timed(self.folder.replace(self.name, data))
        self.size = len(data)

"""An append-only file of checksummed records."""

import asyncio
import contextlib
import struct
import zlib

import msgspec

from swiftdeck.fault import CORRUPT_RECORD

# Body length, CRC-32 of the body and magic byte, followed by the low 16 bits of their CRC-32.
HEADER, HEADER_CHECK = struct.Struct(">IIB"), struct.Struct(">H")
# Records with the old magic byte have no header check; they are read but no longer written.
MAGIC, OLD_MAGIC = 0xD6, 0xD5
SECTOR_BYTES = 512
FULL_HEADER_BYTES = HEADER.size + HEADER_CHECK.size


def encode_header(body) -> bytes:
    """Return the header of a record: body length, body checksum, magic byte and header check."""
    header = HEADER.pack(len(body), zlib.crc32(body), MAGIC)
    return header + HEADER_CHECK.pack(zlib.crc32(header) & 0xFFFF)


class Journal:
    """An append-only file of MessagePack records with checksums.

    Loading truncates a torn last record and refuses a file that is damaged anywhere. A write that
    was interrupted by a loss of power leaves the beginning of a record or, if the file had already
    grown, zeros from some sector on. A complete record with a wrong checksum was whole once and
    may have been acknowledged, so it is never dropped.
    """

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.size, self.busy_since_s = 0, None

    @staticmethod
    def frame(record) -> bytes:
        """Encode one record with its header."""
        body = msgspec.msgpack.encode(record)
        return encode_header(body) + body

    def load(self):
        """Return all records, or a fault if one is damaged; truncate a torn last record.

        A record counts as torn only if no valid record follows it.
        """
        data = self.folder.read(self.name)
        records, offset = [], 0
        while offset < len(data):
            parsed = self._read_record(data, offset)
            if parsed is None:
                if not self._is_torn(data, offset) or any(
                    self._read_record(data, later_offset)
                    for later_offset in self._magic_offsets(data, offset + 1)
                ):
                    return CORRUPT_RECORD.with_reason(f"{self.name} at byte {offset}")
                self.folder.truncate(self.name, offset)
                break
            record, offset = parsed
            records.append(record)
        self.size = offset
        return records

    def is_sound(self) -> bool:
        """Return whether the file on disk still holds valid records up to the expected size.

        Called periodically to detect damage after the file was loaded.
        """
        data, offset = self.folder.read(self.name), 0
        while offset < len(data):
            parsed = self._read_record(data, offset)
            if parsed is None:
                return False
            offset = parsed[1]
        return offset == self.size

    @staticmethod
    def _is_torn(data, offset):
        """Return whether the data from an offset on can be a record whose write was cut short."""
        if len(data) - offset < FULL_HEADER_BYTES or not any(data[offset:]):
            return True
        written_end = offset + len(data[offset:].rstrip(b"\0"))
        if -(-written_end // SECTOR_BYTES) * SECTOR_BYTES < len(data):
            return True
        length, _, magic = HEADER.unpack_from(data, offset)
        is_header_valid = (
            magic == OLD_MAGIC
            or zlib.crc32(data[offset : offset + HEADER.size]) & 0xFFFF
            == HEADER_CHECK.unpack_from(data, offset + HEADER.size)[0]
        )
        return is_header_valid and offset + FULL_HEADER_BYTES + length > len(data)

    def _magic_offsets(self, data, start):
        for magic in (MAGIC, OLD_MAGIC):
            offset = data.find(magic, start + HEADER.size - 1)
            while offset >= 0:
                yield offset - HEADER.size + 1
                offset = data.find(magic, offset + 1)

    def _read_record(self, data, offset):
        if offset + HEADER.size > len(data):
            return None
        length, checksum, magic = HEADER.unpack_from(data, offset)
        start = offset + (FULL_HEADER_BYTES if magic == MAGIC else HEADER.size)
        end = start + length
        if magic not in (MAGIC, OLD_MAGIC) or end > len(data) or not length:
            return None
        if (
            magic == MAGIC
            and zlib.crc32(data[offset : offset + HEADER.size]) & 0xFFFF
            != HEADER_CHECK.unpack_from(data, offset + HEADER.size)[0]
        ):
            return None
        body = data[start:end]
        if zlib.crc32(body) != checksum:
            return None
        return msgspec.msgpack.decode(body), end

    def append(self, *records):
        """Append records, which are durable once `sync` has returned.

        After an OSError the file is truncated to its former size, if the disk allows it.
        """
        data = b"".join(self.frame(record) for record in records)
        try:
            self.folder.append(self.name, data)
        except OSError:
            self._truncate_to_size()
            raise
        self.size += len(data)

    def _truncate_to_size(self):
        with contextlib.suppress(OSError, KeyError):
            self.folder.truncate(self.name, self.size)

    async def sync(self):
        """Flush appended records to disk."""
        await self._run_timed(self.folder.sync(self.name))

    async def _run_timed(self, operation):
        self.busy_since_s = asyncio.get_running_loop().time()
        try:
            await operation
        finally:
            self.busy_since_s = None

    def stall_ms(self) -> float:
        """Return for how many ms the sync or rewrite in progress has been running, 0 if none is."""
        return (
            0
            if self.busy_since_s is None
            else (asyncio.get_running_loop().time() - self.busy_since_s) * 1000
        )

    async def rewrite(self, records):
        """Replace the whole file with other records."""
        data = b"".join(self.frame(record) for record in records)
        await self._run_timed(self.folder.replace(self.name, data))
        self.size = len(data)

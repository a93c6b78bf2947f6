"""Tests of `disk/journal.py`."""

import unittest
import zlib

import msgspec

from swiftdeck.disk.journal import HEADER, OLD_MAGIC, SECTOR_BYTES, Journal
from swiftdeck.fault import is_fault
from swiftdeck.sim.folder import SimFolder


class JournalTest(unittest.TestCase):
    def build(self):
        folder = SimFolder()
        Journal(folder, "j").append({"n": 1}, {"n": 2, "x": b"\xd5" * 40}, {"n": 3})
        return folder

    def test_torn_last_record_is_truncated(self):
        folder = self.build()
        del folder.written["j"][-1:]
        journal = Journal(folder, "j")
        self.assertEqual([record["n"] for record in journal.load()], [1, 2])
        journal.append({"n": 4})
        self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [1, 2, 4])

    def test_is_sound_detects_damage_after_loading(self):
        folder = self.build()
        journal = Journal(folder, "j")
        journal.load()
        self.assertTrue(journal.is_sound())
        folder.written["j"][HEADER.size + 1] ^= 1
        self.assertFalse(journal.is_sound())

    def test_load_refuses_a_flipped_bit_at_any_offset(self):
        for offset in range(len(self.build().written["j"])):
            folder = self.build()
            folder.written["j"][offset] ^= 1
            self.assertTrue(is_fault(Journal(folder, "j").load()), offset)

    def test_record_cut_at_any_byte_is_torn(self):
        size = len(self.build().written["j"])
        for cut in range(1, len(Journal.frame({"n": 3}))):
            folder = self.build()
            del folder.written["j"][size - cut :]
            self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [1, 2])

    def test_record_with_unwritten_sectors_is_torn(self):
        folder = self.build()
        size = len(folder.written["j"])
        Journal(folder, "j").append({"n": 4, "x": bytes(range(1, 256)) * 8})
        data, end = folder.written["j"], len(folder.written["j"])
        for start in range(SECTOR_BYTES, end, SECTOR_BYTES):
            cut = self.build()
            cut.written["j"] = bytearray(data[:start] + bytes(end - start))
            self.assertEqual([record["n"] for record in Journal(cut, "j").load()], [1, 2, 3], start)
            self.assertEqual(len(cut.written["j"]), size)

    def test_records_with_the_old_magic_byte_are_read(self):
        folder, body = SimFolder(), msgspec.msgpack.encode({"n": 0})
        folder.append("j", HEADER.pack(len(body), zlib.crc32(body), OLD_MAGIC) + body)
        Journal(folder, "j").append({"n": 1})
        self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [0, 1])

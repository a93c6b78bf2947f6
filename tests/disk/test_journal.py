"""Tests of `disk/journal.py`."""

import unittest
import zlib

import msgspec

from swiftdeck.disk.journal import HEADER, OLD_MARK, SECTOR, Journal
from swiftdeck.fault import isFault
from swiftdeck.sim.folder import SimFolder


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

    def testDamageAnywhereIsRefused(self):
        for at in range(len(self.build().written["j"])):
            folder = self.build()
            folder.written["j"][at] ^= 1
            self.assertTrue(isFault(Journal(folder, "j").load()), at)

    def testARecordCutAnywhereIsTorn(self):
        size = len(self.build().written["j"])
        for cut in range(1, len(Journal.frame({"n": 3}))):
            folder = self.build()
            del folder.written["j"][size - cut :]
            self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [1, 2])

    def testSectorsThatWereNeverWrittenAreTorn(self):
        folder = self.build()
        size = len(folder.written["j"])
        Journal(folder, "j").append({"n": 4, "x": bytes(range(1, 256)) * 8})
        data, whole = folder.written["j"], len(folder.written["j"])
        for start in range(SECTOR, whole, SECTOR):
            cut = self.build()
            cut.written["j"] = bytearray(data[:start] + bytes(whole - start))
            self.assertEqual([record["n"] for record in Journal(cut, "j").load()], [1, 2, 3], start)
            self.assertEqual(len(cut.written["j"]), size)

    def testRecordsOfTheEarlierFormStillRead(self):
        folder, body = SimFolder(), msgspec.msgpack.encode({"n": 0})
        folder.append("j", HEADER.pack(len(body), zlib.crc32(body), OLD_MARK) + body)
        Journal(folder, "j").append({"n": 1})
        self.assertEqual([record["n"] for record in Journal(folder, "j").load()], [0, 1])

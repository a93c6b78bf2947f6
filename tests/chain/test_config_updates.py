"""What routers are sent of a configuration, packed once."""

import unittest

import attrs

from swiftdeck.chain.config_updates import PACKED_KEPT, ConfigUpdates, unpack
from swiftdeck.fault import is_fault
from swiftdeck.runtime.telemetry import Telemetry
from swiftdeck.wire.messages import LeaseAsk, LeaseReturn

ROUTES = b'{"name": "r-%d", "hostname": "a.example", "path-start": "/%d/", "backend": "pool"}'
LARGE = b"".join(ROUTES % (number, number) for number in range(1640))


@attrs.frozen
class Config:
    text: bytes
    name: bytes = b"new"

    def bytes(self):
        return self.text

    def digest(self):
        return self.name


@attrs.frozen
class Durable:
    version: int
    config: Config


@attrs.frozen
class State:
    deltas: list

    def deltas_since(self, version, digest, newest):
        return self.deltas


class ConfigUpdatesTest(unittest.TestCase):
    def update(self, deltas, text=LARGE, updates=None, **ask):
        told = LeaseReturn(version=2)
        asked = LeaseAsk(**({"held": 1, "digest": b"old", "takes_packed": True} | ask))
        updates = updates or ConfigUpdates(Telemetry())
        updates.add_update(told, asked, State(deltas), Durable(2, Config(text)))
        return LeaseReturn().parse(bytes(told))

    def test_a_large_update_travels_compressed_and_comes_back_as_it_was(self):
        changed, whole = self.update([LARGE, b"second"]), self.update(None)
        for told in (changed, whole):
            self.assertLess(len(bytes(told)), len(LARGE) // 5)
        self.assertEqual(unpack(changed).deltas, [LARGE, b"second"])
        self.assertEqual(unpack(whole).document, LARGE)

    def test_a_whole_configuration_for_a_router_without_a_lease_is_packed_once(self):
        updates = ConfigUpdates(Telemetry())
        packed = updates.pack_whole(Config(LARGE))
        self.assertLess(len(packed), len(LARGE) // 5)
        self.assertIs(updates.pack_whole(Config(LARGE)), packed)
        told = LeaseReturn(packed=packed, is_whole=True)
        self.assertEqual(unpack(told).document, LARGE)
        self.assertEqual(updates.pack_whole(Config(b"{}")), b"")

    def test_small_updates_and_routers_that_take_none_packed_get_them_plain(self):
        for told in (self.update([b"small"]), self.update([LARGE], takes_packed=False)):
            self.assertEqual((told.packed, len(told.deltas)), (b"", 1))
        self.assertEqual(self.update(None, b"{}").document, b"{}")

    def test_a_router_that_has_the_newest_is_sent_nothing(self):
        told = self.update([LARGE], held=2, digest=b"new")
        self.assertEqual((told.packed, told.deltas, told.document), (b"", [], b""))

    def test_an_update_is_packed_once_and_few_are_kept(self):
        updates = ConfigUpdates(Telemetry())
        for _ in range(3):
            self.update([LARGE], updates=updates)
        self.assertEqual(len(updates.packed), 1)
        for held in range(2 * PACKED_KEPT):
            self.update([LARGE], updates=updates, held=0, digest=b"%d" % held)
        self.assertLessEqual(len(updates.packed), PACKED_KEPT)

    def test_what_does_not_unpack_is_a_fault(self):
        self.assertTrue(is_fault(unpack(LeaseReturn(packed=b"no"))))

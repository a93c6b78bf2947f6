"""Tests of the configuration updates sent to routers."""

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
        lease = LeaseReturn(version=2)
        ask_message = LeaseAsk(**({"held": 1, "digest": b"old", "takes_packed": True} | ask))
        updates = updates or ConfigUpdates(Telemetry())
        updates.add_update(lease, ask_message, State(deltas), Durable(2, Config(text)))
        return LeaseReturn().parse(bytes(lease))

    def test_a_large_update_is_compressed_and_unpacks_unchanged(self):
        changed, whole = self.update([LARGE, b"second"]), self.update(None)
        for lease in (changed, whole):
            self.assertLess(len(bytes(lease)), len(LARGE) // 5)
        self.assertEqual(unpack(changed).deltas, [LARGE, b"second"])
        self.assertEqual(unpack(whole).document, LARGE)

    def test_a_whole_configuration_for_a_router_without_a_lease_is_packed_once(self):
        updates = ConfigUpdates(Telemetry())
        packed = updates.pack_whole(Config(LARGE))
        self.assertLess(len(packed), len(LARGE) // 5)
        self.assertIs(updates.pack_whole(Config(LARGE)), packed)
        lease = LeaseReturn(packed=packed, is_whole=True)
        self.assertEqual(unpack(lease).document, LARGE)
        self.assertEqual(updates.pack_whole(Config(b"{}")), b"")

    def test_small_updates_and_routers_without_packing_get_plain_ones(self):
        for lease in (self.update([b"small"]), self.update([LARGE], takes_packed=False)):
            self.assertEqual((lease.packed, len(lease.deltas)), (b"", 1))
        self.assertEqual(self.update(None, b"{}").document, b"{}")

    def test_a_router_with_the_newest_version_is_sent_nothing(self):
        lease = self.update([LARGE], held=2, digest=b"new")
        self.assertEqual((lease.packed, lease.deltas, lease.document), (b"", [], b""))

    def test_an_update_is_packed_once_and_the_cache_is_bounded(self):
        updates = ConfigUpdates(Telemetry())
        for _ in range(3):
            self.update([LARGE], updates=updates)
        self.assertEqual(len(updates.packed), 1)
        for held in range(2 * PACKED_KEPT):
            self.update([LARGE], updates=updates, held=0, digest=b"%d" % held)
        self.assertLessEqual(len(updates.packed), PACKED_KEPT)

    def test_a_damaged_update_is_a_fault(self):
        self.assertTrue(is_fault(unpack(LeaseReturn(packed=b"no"))))

"""Tests of `chain/router_leases.py`."""

import unittest
from types import SimpleNamespace

from swiftdeck.chain.router_leases import RouterLeases
from swiftdeck.wire.messages import LeaseAsk

LEASE_MS, ACK_WAIT_MS = 2500, 400


class RouterLeasesTest(unittest.TestCase):
    """A tail that serves since 0 s, to which two routers confirmed version 1 at 10 s."""

    def setUp(self):
        self.now_s = 0.0
        self.leases = RouterLeases(LEASE_MS, ACK_WAIT_MS)
        self.leases.loop = SimpleNamespace(time=lambda: self.now_s)
        self.leases.begin(0.0)
        self.leases.record_version(1, 0)
        self.now_s = 10.0
        self.renew("quick", 1)
        self.renew("silent", 1)

    def renew(self, router, held, incarnation=1):
        self.leases.renew(LeaseAsk(router=f"{router}/{incarnation}", addr=router, held=held))

    def in_force_since_s(self, version):
        """Return when a version comes into force, as `quick` confirms it at once and renews."""
        while not self.leases.is_in_force(version):
            self.renew("quick", version)
            self.now_s = round(self.now_s + 0.1, 1)
        return self.now_s

    def test_a_silent_router_holds_up_a_usual_change_for_a_short_time(self):
        self.leases.record_version(2, 0)
        self.assertEqual(self.in_force_since_s(2), 10.4)

    # Guards against an isolation that is acknowledged while a router may still share parts.
    def test_a_silent_router_holds_up_an_isolation_until_its_lease_for_sharing_has_run_out(self):
        self.leases.record_version(2, 1)
        self.assertEqual(self.in_force_since_s(2), 16.0)

    def test_a_change_right_after_an_isolation_does_not_overtake_it(self):
        self.leases.record_version(2, 1)
        self.now_s = 10.2
        self.leases.record_version(3, 1)
        self.assertEqual(self.in_force_since_s(3), 16.0)

    def test_a_router_that_was_started_again_holds_up_nothing(self):
        self.leases.record_version(2, 1)
        self.renew("silent", 2, incarnation=2)
        self.assertEqual(self.in_force_since_s(2), 10.4)

    # Guards against the late return of an earlier incarnation's lease that ends the present one's.
    def test_a_late_hand_back_of_an_earlier_incarnation_ends_no_lease(self):
        self.renew("silent", 1, incarnation=2)
        self.leases.hand_back("silent/1")
        self.leases.record_version(2, 1)
        self.assertEqual(self.in_force_since_s(2), 16.0)
        self.leases.hand_back("silent/2")

    def test_leases_for_sharing_that_have_run_out_are_forgotten(self):
        self.now_s = 16.1
        self.renew("quick", 1)
        self.assertEqual(list(self.leases.sharing_leases), ["quick"])

    def test_routers_that_all_confirm_hold_up_nothing(self):
        self.leases.record_version(2, 1)
        self.renew("silent", 2)
        self.assertEqual(self.in_force_since_s(2), 10.1)

    def test_own_interface_waits_for_leases_as_for_each_change(self):
        self.leases.ack_wait_ms = 0
        self.leases.record_version(2, 1)
        self.assertEqual(self.in_force_since_s(2), 12.5)

    def test_a_new_tail_waits_for_the_leases_of_the_previous_one_after_an_isolation(self):
        self.leases.begin(10.0)
        self.leases.record_version(2, 1)
        self.assertEqual(self.in_force_since_s(2), 16.0)

    def test_a_new_tail_that_knew_the_generation_waits_for_none(self):
        self.leases.record_version(2, 1)
        self.now_s = 20.0
        self.leases.begin(20.0)
        self.leases.record_version(3, 1)
        self.assertEqual(self.in_force_since_s(3), 20.4)


if __name__ == "__main__":
    unittest.main()

"""Tests of the head's pause between two holders, and of how many workers it orders at once."""

import unittest
from types import SimpleNamespace

from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.gateway.swap import RESTART_S, SLOT_S, Swap, Swaps
from swiftdeck.gateway.worker_registry import WorkerRegistry

MODEL, LEASE_S, SEND_S = "m", 3.3, 5.5


class SwapTest(unittest.TestCase):
    def setUp(self):
        self.now_s, self.number, self.place, self.serves = 100.0, 4, 0, True
        agreement = SimpleNamespace(
            position=lambda: self.place,
            may_serve=lambda: self.serves,
            core_id="c",
            decided=SimpleNamespace(number=self.number),
        )
        self.agreement = agreement
        settings = SimpleNamespace(
            orderLeaseMs=LEASE_S * 1000, oldWeightsMs=SEND_S * 1000, weightsBoundMs=8000
        )
        core = SimpleNamespace(
            agreement=agreement,
            chain=SimpleNamespace(is_whole=lambda: True),
            settings=settings,
            worker_registry=WorkerRegistry(),
        )
        self.registry = core.worker_registry
        self.swaps = Swaps(core, None)
        self.swaps.loop = SimpleNamespace(time=lambda: self.now_s)
        self.swaps.started_s, self.swaps.started_in = 0.0, 1
        self.begun = []
        self.swaps._begin = self.begin

    def begin(self, worker, model, version):
        self.begun.append(worker.name)
        self.swaps.tried_s[worker.name] = self.now_s
        until_s = self.swaps.old_weights.sent_until_s(MODEL, worker.knows(MODEL))
        self.swaps.busy[worker.name] = Swap(model, self.now_s, until_s)

    def fence_after(self, seconds, number=None, place=0):
        self.now_s += seconds
        self.agreement.decided.number = number or self.agreement.decided.number
        self.place = place
        return self.swaps.fence()

    def lead(self):
        """Become the head and sit the pause out."""
        self.assertEqual(self.fence_after(0), 0)
        self.assertEqual(self.fence_after(LEASE_S - 0.01), 0)
        self.assertEqual(self.fence_after(0.02), 4)

    def test_a_head_waits_once_and_keeps_its_place_in_the_next_view(self):
        self.lead()
        self.assertEqual(self.fence_after(0.2, 5), 5)

    def test_a_head_goes_on_after_views_that_were_too_short_for_another_to_order(self):
        self.lead()
        self.assertEqual(self.fence_after(0.5, 5, place=1), 0)
        self.assertEqual(self.fence_after(1.0, 7), 7)

    def test_a_head_waits_again_where_another_may_have_ordered(self):
        self.lead()
        self.assertEqual(self.fence_after(LEASE_S - RESTART_S + 0.01, 7), 0)
        self.assertEqual(self.fence_after(LEASE_S + 0.01), 7)

    def test_two_heads_in_turn_never_order_within_the_time_that_holders_must_lie_apart(self):
        """A pause that was not over when another core became the head begins anew."""
        self.lead()
        other = Swaps(self.swaps.core, None)
        other.loop = self.swaps.loop
        other.started_s, other.started_in = 0.0, 1
        holders, last = [], (self.swaps, self.now_s)
        for number in range(5, 14):
            self.agreement.decided.number = number
            head = other if number % 2 else self.swaps
            for _ in range(10):
                self.now_s += 0.1
                if not head.fence():
                    continue
                holder, at_s = last
                if holder is not head and self.now_s - at_s < LEASE_S:
                    holders.append((number, round(self.now_s - at_s, 2)))
                last = (head, self.now_s)
        self.assertEqual(holders, [])

    def workers(self, *versions, leaving=()):
        listed = [
            WorkerListing(
                f"w{at}", f"10.0.0.{at}:80", "lm", "z", 4, at in leaving, {MODEL: version}, 0
            )
            for at, version in enumerate(versions)
        ]
        self.registry.apply_list(listed)
        models = {MODEL: SimpleNamespace(weights="2")}
        self.swaps.old_weights.ages.note(models, self.now_s)

    def ordered_after(self, seconds):
        """How many are ordered anew when so much time has passed."""
        self.now_s += seconds
        before = len(self.begun)
        self.swaps._order_some(MODEL, 2)
        return len(self.begun) - before

    def test_a_quarter_is_ordered_at_once_and_all_when_the_others_may_not_be_used_either(self):
        self.workers(*[1] * 12)
        self.assertEqual([self.ordered_after(each) for each in (0.0, 1.0, SEND_S)], [3, 0, 9])

    def test_a_worker_that_is_slow_holds_the_others_back_for_a_while_only(self):
        self.workers(*[1] * 4)
        times = (0.0, SLOT_S - 0.1, 0.2)
        self.assertEqual([self.ordered_after(each) for each in times], [1, 0, 1])

    def test_a_worker_whose_version_is_not_known_is_ordered(self):
        self.workers(0, 2, 2, 2)
        self.assertEqual((self.ordered_after(0.0), self.begun), (1, ["w0"]))

    def test_workers_that_leave_or_have_the_weights_are_not_ordered(self):
        self.workers(2, 2, 1, leaving=(2,))
        self.assertEqual(self.ordered_after(9.0), 0)

"""Tests of the pause before a new head gives orders, and of how many workers it orders."""

import unittest
from types import SimpleNamespace

from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.gateway.swap import RESTART_MARGIN_S, SWAP_SLOT_S, ActiveSwap, SwapScheduler
from swiftdeck.gateway.worker_registry import WorkerRegistry

MODEL, LEASE_S, SEND_S = "m", 3.3, 5.5


class SwapTest(unittest.TestCase):
    def setUp(self):
        self.now_s, self.number, self.position, self.serves = 100.0, 4, 0, True
        agreement = SimpleNamespace(
            position=lambda: self.position,
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
        self.scheduler = SwapScheduler(core, None)
        self.scheduler.loop = SimpleNamespace(time=lambda: self.now_s)
        self.scheduler.started_s, self.scheduler.start_view = 0.0, 1
        self.started = []
        self.scheduler._start_swap = self.start_swap

    def start_swap(self, worker, model, version):
        self.started.append(worker.name)
        self.scheduler.ordered_s[worker.name] = self.now_s
        until_s = self.scheduler.old_weights.sent_until_s(MODEL, worker.knows(MODEL))
        self.scheduler.active_swaps[worker.name] = ActiveSwap(model, self.now_s, until_s)

    def fence_after(self, seconds, number=None, position=0):
        self.now_s += seconds
        self.agreement.decided.number = number or self.agreement.decided.number
        self.position = position
        return self.scheduler.fence()

    def become_head(self):
        """Become the head and wait until the pause is over."""
        self.assertEqual(self.fence_after(0), 0)
        self.assertEqual(self.fence_after(LEASE_S - 0.01), 0)
        self.assertEqual(self.fence_after(0.02), 4)

    def test_a_head_pauses_once_and_goes_on_in_the_next_view(self):
        self.become_head()
        self.assertEqual(self.fence_after(0.2, 5), 5)

    def test_a_head_goes_on_after_views_that_were_too_short_for_another_to_order(self):
        self.become_head()
        self.assertEqual(self.fence_after(0.5, 5, position=1), 0)
        self.assertEqual(self.fence_after(1.0, 7), 7)

    def test_a_head_pauses_again_where_another_may_have_ordered(self):
        self.become_head()
        self.assertEqual(self.fence_after(LEASE_S - RESTART_MARGIN_S + 0.01, 7), 0)
        self.assertEqual(self.fence_after(LEASE_S + 0.01), 7)

    def test_alternating_heads_never_order_within_one_lease_of_each_other(self):
        """A pause that isn't over when another core becomes the head starts again."""
        self.become_head()
        other = SwapScheduler(self.scheduler.core, None)
        other.loop = self.scheduler.loop
        other.started_s, other.start_view = 0.0, 1
        violations, last_order = [], (self.scheduler, self.now_s)
        for number in range(5, 14):
            self.agreement.decided.number = number
            head = other if number % 2 else self.scheduler
            for _ in range(10):
                self.now_s += 0.1
                if not head.fence():
                    continue
                last_holder, at_s = last_order
                if last_holder is not head and self.now_s - at_s < LEASE_S:
                    violations.append((number, round(self.now_s - at_s, 2)))
                last_order = (head, self.now_s)
        self.assertEqual(violations, [])

    def set_workers(self, *versions, leaving=()):
        listed = [
            WorkerListing(
                f"w{index}",
                f"10.0.0.{index}:80",
                "lm",
                "z",
                4,
                index in leaving,
                {MODEL: version},
                0,
            )
            for index, version in enumerate(versions)
        ]
        self.registry.apply_list(listed)
        models = {MODEL: SimpleNamespace(weights="2")}
        self.scheduler.old_weights.ages.note(models, self.now_s)

    def ordered_after(self, seconds):
        """Return how many workers are newly ordered once the given time has passed."""
        self.now_s += seconds
        before = len(self.started)
        self.scheduler._order_next_workers(MODEL, 2)
        return len(self.started) - before

    def test_a_quarter_is_ordered_at_once_and_all_when_none_may_be_used(self):
        self.set_workers(*[1] * 12)
        self.assertEqual([self.ordered_after(wait_s) for wait_s in (0.0, 1.0, SEND_S)], [3, 0, 9])

    def test_a_slow_worker_delays_the_others_for_a_limited_time(self):
        self.set_workers(*[1] * 4)
        times = (0.0, SWAP_SLOT_S - 0.1, 0.2)
        self.assertEqual([self.ordered_after(wait_s) for wait_s in times], [1, 0, 1])

    def test_a_worker_of_unknown_version_is_ordered(self):
        self.set_workers(0, 2, 2, 2)
        self.assertEqual((self.ordered_after(0.0), self.started), (1, ["w0"]))

    def test_draining_and_up_to_date_workers_are_not_ordered(self):
        self.set_workers(2, 2, 1, leaving=(2,))
        self.assertEqual(self.ordered_after(9.0), 0)

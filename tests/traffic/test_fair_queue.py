"""Tests of `traffic/fair_queue.py`."""

import unittest

from swiftdeck.traffic.fair_queue import FairQueue, QueuedCall


class FairQueueTest(unittest.TestCase):
    def test_a_large_tenant_does_not_starve_a_small_one(self):
        queue = FairQueue()
        for number in range(50):
            queue.add(QueuedCall("large", number, None, 0))
        queue.add(QueuedCall("small", "s", None, 0))
        self.assertEqual([queue.take().ask for _ in range(4)], [0, "s", 1, 2])

    def test_a_call_that_waited_longer_elsewhere_goes_first(self):
        queue = FairQueue()
        for since_s in (5, 7, 3):
            queue.add(QueuedCall("t", since_s, None, since_s))
        self.assertEqual([queue.first().ask, *(queue.take().ask for _ in range(3))], [3, 3, 5, 7])

    def test_a_tenant_whose_first_call_waited_longer_goes_before_those_that_asked_earlier(self):
        queue = FairQueue()
        for tenant, since_s in (("late", 9), ("early", 2), ("middle", 5), ("new", 12)):
            queue.add(QueuedCall(tenant, tenant, None, since_s))
        self.assertEqual([queue.take().ask for _ in range(4)], ["early", "middle", "late", "new"])

    def test_a_served_tenant_stays_behind_those_that_wait_for_their_turn(self):
        queue = FairQueue()
        for since_s in range(3):
            queue.add(QueuedCall("large", since_s, None, since_s))
        queue.add(QueuedCall("small", "s", None, 10))
        self.assertEqual(queue.take().ask, 0)
        queue.add(QueuedCall("other", "o", None, 11))
        self.assertEqual([queue.take().ask for _ in range(4)], ["s", 1, "o", 2])

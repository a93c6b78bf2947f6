"""Tests of `traffic/fair_queue.py`."""

import unittest

from swiftdeck.traffic.fair_queue import FairQueue, QueuedCall


class LineTest(unittest.TestCase):
    def test_a_large_tenant_does_not_starve_a_small_one(self):
        line = FairQueue()
        for number in range(50):
            line.add(QueuedCall("large", number, None, 0))
        line.add(QueuedCall("small", "s", None, 0))
        self.assertEqual([line.take().ask for _ in range(4)], [0, "s", 1, 2])

    def test_who_has_waited_longer_elsewhere_stands_before(self):
        line = FairQueue()
        for since_s in (5, 7, 3):
            line.add(QueuedCall("t", since_s, None, since_s))
        self.assertEqual([line.first().ask, *(line.take().ask for _ in range(3))], [3, 3, 5, 7])

    def test_a_tenant_whose_first_has_waited_longer_comes_before_those_that_asked_earlier(self):
        line = FairQueue()
        for tenant, since_s in (("late", 9), ("early", 2), ("middle", 5), ("new", 12)):
            line.add(QueuedCall(tenant, tenant, None, since_s))
        self.assertEqual([line.take().ask for _ in range(4)], ["early", "middle", "late", "new"])

    def test_a_tenant_that_was_served_stays_behind_those_that_wait_for_their_turn(self):
        line = FairQueue()
        for since_s in range(3):
            line.add(QueuedCall("large", since_s, None, since_s))
        line.add(QueuedCall("small", "s", None, 10))
        self.assertEqual(line.take().ask, 0)
        line.add(QueuedCall("other", "o", None, 11))
        self.assertEqual([line.take().ask for _ in range(4)], ["s", 1, "o", 2])

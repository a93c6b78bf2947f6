"""Tests of `bench/history.py`: sound histories stand, a planted fault of each clause is found."""

import unittest

from swiftdeck.bench.history import (
    Attempt,
    ConsistencyRule,
    History,
    Observation,
    Order,
    Source,
    check_history,
)

FIRST, SECOND, RIVAL = Order(0, 3, "a"), Order(3, 5, "b"), Order(3, 5, "c")


def history(*events):
    """A history with its final read, from attempts and observations."""
    return History(
        [each for each in events if isinstance(each, Attempt)],
        [each for each in events if isinstance(each, Observation)],
    )


def sent(order, begin_s, status=200, took_s=0.1):
    """One attempt."""
    return Attempt(order, begin_s, begin_s + took_s, status)


def seen(order, begin_s, source=Source.READ, **more):
    """One observation."""
    return Observation(source, begin_s, begin_s + 0.1, order.number, order.body, **more)


def final(order):
    """The read at the end."""
    return seen(order, 90.0, Source.FINAL)


def broken(*events):
    """The clauses that a history breaks."""
    return {each.clause for each in check_history(history(*events))}


class SoundHistoryTest(unittest.TestCase):
    """Histories that some order explains."""

    def test_orders_one_after_another(self):
        """Each is acknowledged and read."""
        events = [sent(FIRST, 1), seen(FIRST, 2), sent(SECOND, 3), seen(SECOND, 4), final(SECOND)]
        self.assertEqual(broken(*events), set())

    def test_an_unclear_order_may_have_happened_or_not(self):
        """Either end is explained, also an effect long after the sending."""
        for last in (FIRST, SECOND):
            events = [sent(FIRST, 1), sent(SECOND, 2, 503), seen(FIRST, 8), final(last)]
            self.assertEqual(broken(*events), set(), last)

    def test_one_of_two_rivals_is_refused_and_the_other_acknowledged_again(self):
        """Sent again it is acknowledged, also after a later order."""
        later = Order(5, 8, "d")
        events = [sent(FIRST, 1), sent(SECOND, 2), sent(RIVAL, 2, 412), sent(later, 3)]
        self.assertEqual(broken(*events, sent(SECOND, 4), final(later)), set())

    def test_an_unclear_rival_that_took_effect_explains_a_refusal(self):
        """The refused one lost against an order without an answer."""
        events = [sent(FIRST, 1), sent(SECOND, 2, 0), sent(RIVAL, 2, 412), final(SECOND)]
        self.assertEqual(broken(*events), set())

    def test_an_old_lease_of_a_machine_out_of_touch_is_allowed(self):
        """Marked as out of touch it counts for nothing."""
        old = seen(FIRST, 5, Source.LEASE, in_touch=False)
        self.assertEqual(broken(sent(FIRST, 1), sent(SECOND, 3), old, final(SECOND)), set())


class PlantedFaultTest(unittest.TestCase):
    """A fault for each clause."""

    def test_two_bodies_under_one_number(self):
        """On different bases, so that the number alone tells."""
        other = Order(4, 5, "x")
        got = broken(sent(FIRST, 1), sent(SECOND, 2), sent(other, 3), final(SECOND))
        self.assertIn(ConsistencyRule.SAME_NUMBER, got)
        self.assertNotIn(ConsistencyRule.SAME_BASE, got)

    def test_two_orders_on_one_base(self):
        """With different numbers, so that the base alone tells."""
        other = Order(3, 6, "x")
        got = broken(sent(FIRST, 1), sent(SECOND, 2), sent(other, 2), final(other))
        self.assertIn(ConsistencyRule.SAME_BASE, got)
        self.assertNotIn(ConsistencyRule.SAME_NUMBER, got)

    def test_a_taken_order_that_is_refused_when_sent_again(self):
        """After its acknowledgement, and after it was only seen in force."""
        for first in (200, 0):
            got = broken(
                sent(FIRST, 1),
                sent(SECOND, 2, first),
                seen(SECOND, 3),
                sent(SECOND, 4, 412),
                final(SECOND),
            )
            self.assertIn(ConsistencyRule.REFUSED_AFTER_TAKEN, got, first)

    def test_an_old_read_and_an_old_lease(self):
        """Begun after the acknowledgement of a newer one."""
        for source, clause in (
            (Source.READ, ConsistencyRule.STALE_READ),
            (Source.LEASE, ConsistencyRule.STALE_LEASE),
        ):
            got = broken(sent(FIRST, 1), sent(SECOND, 2), seen(FIRST, 3, source), final(SECOND))
            self.assertEqual(got, {clause, ConsistencyRule.UNEXPLAINED})

    def test_an_acknowledged_order_that_is_gone_at_the_end(self):
        """Older, of another body, or not coming at all."""
        for ends in ([final(FIRST)], [final(RIVAL)], []):
            got = broken(sent(FIRST, 1), sent(SECOND, 2), *ends)
            self.assertIn(ConsistencyRule.LOST, got, ends)

    def test_a_read_of_what_nobody_sent(self):
        """Nothing else is wrong with it."""
        got = broken(sent(FIRST, 1), seen(Order(0, 4, "x"), 3), final(FIRST))
        self.assertEqual(got, {ConsistencyRule.UNEXPLAINED})

    def test_reads_that_go_back_without_any_acknowledgement(self):
        """An unclear order was seen, and then the one before it."""
        events = [sent(FIRST, 1), sent(SECOND, 2, 0), seen(SECOND, 3), seen(FIRST, 4)]
        self.assertEqual(broken(*events, final(SECOND)), {ConsistencyRule.UNEXPLAINED})

    def test_a_refusal_for_the_sake_of_a_rival_that_is_not_in_force_yet(self):
        """The base is read after the refusal; the rival takes effect later, or never."""
        for status, last in ((200, RIVAL), (0, FIRST)):
            got = broken(
                sent(FIRST, 1),
                sent(RIVAL, 2, status, took_s=9),
                sent(SECOND, 2, 412),
                seen(FIRST, 3),
                final(last),
            )
            self.assertEqual(got, {ConsistencyRule.REFUSED_EARLY}, status)

    def test_a_refusal_while_nothing_stood_against_the_order(self):
        """The base was in force all along and no other order was sent."""
        got = broken(sent(FIRST, 1), sent(SECOND, 2, 412), final(FIRST))
        self.assertEqual(got, {ConsistencyRule.UNEXPLAINED})

"""Tests of `traffic/ledger.py`."""

import unittest

from swiftdeck.fault import (
    NOT_COORDINATOR,
    QUEUE_FULL,
    RETRY_BUDGET_EXHAUSTED,
    WORKER_LOST,
    WORKER_UNREACHABLE,
)
from swiftdeck.traffic.ledger import Attempt, Ledger, NextAction, next_action


class LedgerTest(unittest.TestCase):
    def build(self, *attempts, **fields):
        return Ledger(
            **(
                {
                    "repeatable": False,
                    "needs_claim": False,
                    "wait_until_ms": 1000,
                    "horizon_ends_ms": 5000,
                }
                | fields
            ),
            attempts=list(attempts),
        )

    def action(self, *attempts, now_ms=0, **fields):
        return next_action(self.build(*attempts, **fields), now_ms)

    def test_a_call_that_is_not_repeatable_is_never_sent_twice(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.action(lost), (NextAction.GIVE_UP, WORKER_LOST))
        self.assertEqual(self.action(lost, repeatable=True)[0], NextAction.NOMINATE)
        self.assertEqual(
            self.action(Attempt(1, grant="g", fault=WORKER_UNREACHABLE))[0], NextAction.NOMINATE
        )

    def test_nothing_is_retried_once_a_piece_was_delivered(self):
        broken = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True, delivered=1)
        self.assertEqual(self.action(broken, repeatable=True), (NextAction.BREAK, WORKER_LOST))

    def test_not_run_is_promised_only_if_nothing_was_sent(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        for second in (Attempt(2, fault=RETRY_BUDGET_EXHAUSTED), Attempt(2, fault=QUEUE_FULL)):
            action, fault = self.action(lost, second, repeatable=True)
            self.assertEqual((action, fault.notRun), (NextAction.GIVE_UP, False))
        action, fault = self.action(Attempt(1, fault=NOT_COORDINATOR), now_ms=2000)
        self.assertEqual((action, fault.notRun), (NextAction.GIVE_UP, True))

    def test_a_retry_does_not_wait_until_the_deadline(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.action(lost, now_ms=1500, repeatable=True)[0], NextAction.NOMINATE)
        self.assertEqual(
            self.action(lost, Attempt(2, fault=NOT_COORDINATOR), now_ms=1500, repeatable=True),
            (NextAction.GIVE_UP, WORKER_LOST),
        )

    def test_the_claim_is_made_between_the_grant_and_the_first_byte(self):
        self.assertEqual(self.action(needs_claim=True)[0], NextAction.NOMINATE)
        self.assertEqual(self.action(Attempt(1, grant="g"), needs_claim=True)[0], NextAction.CLAIM)
        self.assertEqual(
            self.action(Attempt(1, grant="g"), needs_claim=True, claim=True)[0], NextAction.SEND
        )
        self.assertEqual(self.action(Attempt(1, grant="g"), now_ms=6000)[0], NextAction.GIVE_UP)

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
    def build(self, *attempts, **more):
        return Ledger(
            **(
                {"repeatable": False, "needsClaim": False, "waitUntilMs": 1000, "horizonMs": 5000}
                | more
            ),
            attempts=list(attempts),
        )

    def move(self, *attempts, now_ms=0, **more):
        return next_action(self.build(*attempts, **more), now_ms)

    def test_once_only_is_never_sent_twice(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.move(lost), (NextAction.GIVE_UP, WORKER_LOST))
        self.assertEqual(self.move(lost, repeatable=True)[0], NextAction.NOMINATE)
        self.assertEqual(
            self.move(Attempt(1, grant="g", fault=WORKER_UNREACHABLE))[0], NextAction.NOMINATE
        )

    def test_nothing_is_tried_again_once_a_piece_was_delivered(self):
        broken = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True, delivered=1)
        self.assertEqual(self.move(broken, repeatable=True), (NextAction.BREAK, WORKER_LOST))

    def test_not_run_is_promised_only_if_nothing_was_sent(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        for second in (Attempt(2, fault=RETRY_BUDGET_EXHAUSTED), Attempt(2, fault=QUEUE_FULL)):
            move, fault = self.move(lost, second, repeatable=True)
            self.assertEqual((move, fault.notRun), (NextAction.GIVE_UP, False))
        move, fault = self.move(Attempt(1, fault=NOT_COORDINATOR), now_ms=2000)
        self.assertEqual((move, fault.notRun), (NextAction.GIVE_UP, True))

    def test_another_attempt_is_not_waited_for_until_the_deadline(self):
        lost = Attempt(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.move(lost, now_ms=1500, repeatable=True)[0], NextAction.NOMINATE)
        self.assertEqual(
            self.move(lost, Attempt(2, fault=NOT_COORDINATOR), now_ms=1500, repeatable=True),
            (NextAction.GIVE_UP, WORKER_LOST),
        )

    def test_claim_goes_between_the_grant_and_the_first_byte(self):
        self.assertEqual(self.move(needsClaim=True)[0], NextAction.NOMINATE)
        self.assertEqual(self.move(Attempt(1, grant="g"), needsClaim=True)[0], NextAction.CLAIM)
        self.assertEqual(
            self.move(Attempt(1, grant="g"), needsClaim=True, claim=True)[0], NextAction.SEND
        )
        self.assertEqual(self.move(Attempt(1, grant="g"), now_ms=6000)[0], NextAction.GIVE_UP)

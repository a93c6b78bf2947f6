"""Tests of `traffic/ledger.py`."""

import unittest

from swiftdeck.fault import BUDGET_SPENT, LINE_FULL, NOT_KEEPER, UNREACHED, WORKER_LOST
from swiftdeck.traffic.ledger import Ledger, Leg, Move, next_move


class LedgerTest(unittest.TestCase):
    def build(self, *legs, **more):
        return Ledger(
            **(
                {"repeatable": False, "needsClaim": False, "waitUntilMs": 1000, "horizonMs": 5000}
                | more
            ),
            legs=list(legs),
        )

    def move(self, *legs, now_ms=0, **more):
        return next_move(self.build(*legs, **more), now_ms)

    def test_once_only_is_never_sent_twice(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.move(lost), (Move.GIVE_UP, WORKER_LOST))
        self.assertEqual(self.move(lost, repeatable=True)[0], Move.NOMINATE)
        self.assertEqual(self.move(Leg(1, grant="g", fault=UNREACHED))[0], Move.NOMINATE)

    def test_nothing_is_tried_again_once_a_piece_was_delivered(self):
        broken = Leg(1, grant="g", fault=WORKER_LOST, was_sent=True, delivered=1)
        self.assertEqual(self.move(broken, repeatable=True), (Move.BREAK, WORKER_LOST))

    def test_not_run_is_promised_only_if_nothing_was_sent(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, was_sent=True)
        for second in (Leg(2, fault=BUDGET_SPENT), Leg(2, fault=LINE_FULL)):
            move, fault = self.move(lost, second, repeatable=True)
            self.assertEqual((move, fault.notRun), (Move.GIVE_UP, False))
        move, fault = self.move(Leg(1, fault=NOT_KEEPER), now_ms=2000)
        self.assertEqual((move, fault.notRun), (Move.GIVE_UP, True))

    def test_another_leg_is_not_waited_for_until_the_horizon(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, was_sent=True)
        self.assertEqual(self.move(lost, now_ms=1500, repeatable=True)[0], Move.NOMINATE)
        self.assertEqual(
            self.move(lost, Leg(2, fault=NOT_KEEPER), now_ms=1500, repeatable=True),
            (Move.GIVE_UP, WORKER_LOST),
        )

    def test_claim_goes_between_the_grant_and_the_first_byte(self):
        self.assertEqual(self.move(needsClaim=True)[0], Move.NOMINATE)
        self.assertEqual(self.move(Leg(1, grant="g"), needsClaim=True)[0], Move.CLAIM)
        self.assertEqual(self.move(Leg(1, grant="g"), needsClaim=True, claim=True)[0], Move.SEND)
        self.assertEqual(self.move(Leg(1, grant="g"), now_ms=6000)[0], Move.GIVE_UP)

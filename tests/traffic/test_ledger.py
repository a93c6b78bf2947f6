"""Tests of `traffic/ledger.py`."""

import unittest

from swiftdeck.fault import BUDGET_SPENT, LINE_FULL, NOT_KEEPER, UNREACHED, WORKER_LOST
from swiftdeck.traffic.ledger import Ledger, Leg, Move, nextMove


class LedgerTest(unittest.TestCase):
    def build(self, *legs, **more):
        return Ledger(
            **(
                {"repeatable": False, "needsClaim": False, "waitUntilMs": 1000, "horizonMs": 5000}
                | more
            ),
            legs=list(legs),
        )

    def move(self, *legs, nowMs=0, **more):
        return nextMove(self.build(*legs, **more), nowMs)

    def testOnceOnlyIsNeverSentTwice(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, wasSent=True)
        self.assertEqual(self.move(lost), (Move.GIVE_UP, WORKER_LOST))
        self.assertEqual(self.move(lost, repeatable=True)[0], Move.NOMINATE)
        self.assertEqual(self.move(Leg(1, grant="g", fault=UNREACHED))[0], Move.NOMINATE)

    def testNothingIsTriedAgainOnceAPieceWasDelivered(self):
        broken = Leg(1, grant="g", fault=WORKER_LOST, wasSent=True, delivered=1)
        self.assertEqual(self.move(broken, repeatable=True), (Move.BREAK, WORKER_LOST))

    def testNotRunIsPromisedOnlyIfNothingWasSent(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, wasSent=True)
        for second in (Leg(2, fault=BUDGET_SPENT), Leg(2, fault=LINE_FULL)):
            move, fault = self.move(lost, second, repeatable=True)
            self.assertEqual((move, fault.notRun), (Move.GIVE_UP, False))
        move, fault = self.move(Leg(1, fault=NOT_KEEPER), nowMs=2000)
        self.assertEqual((move, fault.notRun), (Move.GIVE_UP, True))

    def testAnotherLegIsNotWaitedForUntilTheHorizon(self):
        lost = Leg(1, grant="g", fault=WORKER_LOST, wasSent=True)
        self.assertEqual(self.move(lost, nowMs=1500, repeatable=True)[0], Move.NOMINATE)
        self.assertEqual(
            self.move(lost, Leg(2, fault=NOT_KEEPER), nowMs=1500, repeatable=True),
            (Move.GIVE_UP, WORKER_LOST),
        )

    def testClaimGoesBetweenTheGrantAndTheFirstByte(self):
        self.assertEqual(self.move(needsClaim=True)[0], Move.NOMINATE)
        self.assertEqual(self.move(Leg(1, grant="g"), needsClaim=True)[0], Move.CLAIM)
        self.assertEqual(self.move(Leg(1, grant="g"), needsClaim=True, claim=True)[0], Move.SEND)
        self.assertEqual(self.move(Leg(1, grant="g"), nowMs=6000)[0], Move.GIVE_UP)

"""Each mechanism taken out in turn: the case that guards it must fail without it."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

import attrs

from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.mender import Mender
from swiftdeck.chain.state import ChainState
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import NO_LICENCE, OLD_VIEW, WAITED_OUT
from swiftdeck.http.server import HttpConversation
from swiftdeck.traffic.book import Book
from swiftdeck.traffic.books import Books
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.call import Call
from swiftdeck.traffic.claims import Claims
from swiftdeck.traffic.keeper import Keeper
from swiftdeck.traffic.ledger import Ledger, Move, nextMove
from swiftdeck.traffic.licence import ConfigLicence
from swiftdeck.traffic.line import Line
from swiftdeck.traffic.moves import Moves
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.traffic.workers import WorkerList
from swiftdeck.wire.messages import GrantAsk
from tests.cases import admission, calls, config, weights


async def _claimed(self, key, run, digest, untilS):
    return True


def _believes(self, line, expected):
    return (
        json.loads(line[5:])
        if line.strip().startswith(b'data: {"')
        else {"run": self.run(), "seq": expected, "text": "?"}
    )


async def _gathersNothing(self, addr, term):
    return True


def _serves(self):
    return self.decided.number > 0


def _takesFirstTenant(self):
    tenant = next(iter(self.tenants))
    first = self.tenants[tenant].popleft()
    if not self.tenants[tenant]:
        del self.tenants[tenant]
    return first


async def _syncsNothing(self):
    return None


async def _copiesNothingFromBehind(self, addr, above=-1, copyFrom=Chain._copyFrom):
    return OLD_VIEW if above >= 0 else await copyFrom(self, addr)


class _Endless:
    """Pieces that outlive their leg."""

    def __get__(self, call, kind=None):
        return call.__dict__.setdefault("kept", []) if call else self

    def __set__(self, call, pieces):
        pass


def _forgetsGrants(**fields):
    return GrantAsk(**fields | {"wasGranted": False})


async def _asIs(self, fault):
    return fault


async def _polls(self, sinceS, waitS):
    endS = self.loop.time() + waitS
    while not self.host.isReady() and self.loop.time() < endS:
        await asyncio.sleep(0.05)
    return self.host.isReady()


def _namedByWeights(**fields):
    return GrantAsk(**fields | {"talk": fields["chain"]})


def _untilTheHorizon(ledger, nowMs):
    move, fault = nextMove(ledger, nowMs)
    return (
        (Move.NOMINATE, None)
        if move is Move.GIVE_UP and fault.notRun and nowMs < ledger.horizonMs
        else (move, fault)
    )


def _waitsAnew(self, router, exchange, held, tenant, route, body, startS, init=Call.__init__):
    init(self, router, exchange, held, tenant, route, body, router.loop.time())


def _keepsItsKeys(self, got, install=ConfigLicence._install):
    old = self.held
    done = install(self, got)
    if old and old.tenantByKey:
        self.held = attrs.evolve(self.held, tenantByKey=old.tenantByKey)
    return done


def _anyBase(self, change, examine=ChainState.examine):
    return examine(
        self, change | ({"base": self.stored.version} if change["t"] == "config" else {})
    )


def _oldGroup(tenant, isApart):
    return "shared"


def _holds(self):
    return self.held is not None


async def _noNeighbour(self, ask):
    return NO_LICENCE


def _promises(self, fault):
    return WAITED_OUT


def _again(ledger, nowMs):
    move, fault = nextMove(ledger, nowMs)
    last = ledger.legs[-1] if ledger.legs else None
    return (
        (Move.NOMINATE, None)
        if move is Move.GIVE_UP and last and last.wasSent and len(ledger.legs) < 3
        else (move, fault)
    )


MUTATIONS = [
    (
        "claims in the chain",
        calls.CallsCase,
        "testAOnceOnlyCallIsClaimedAcrossRouters",
        [(Claims, "claim", _claimed)],
    ),
    (
        "once-only legs",
        calls.CallsCase,
        "testAHangingWorkerIsGivenUpAtTheBoundWithoutAPromise",
        [("swiftdeck.traffic.call", "nextMove", _again)],
    ),
    (
        "promise only when nothing was sent",
        calls.CallsCase,
        "testAHangingWorkerIsGivenUpAtTheBoundWithoutAPromise",
        [(Ledger, "verdict", _promises)],
    ),
    (
        "pieces checked by run and number",
        calls.CallsCase,
        "testMalformedForeignAndRepeatedPiecesNeverReachACaller",
        [(Call, "_read", _believes)],
    ),
    (
        "group of a tenant kept apart",
        weights.WeightsCase,
        "testATenantKeptApartSharesNothing",
        [("swiftdeck.traffic.call", "groupOf", _oldGroup)],
    ),
    (
        "licence before a leg",
        config.ConfigCase,
        "testARouterCutFromTheCoresHoldsItsLicenceThroughANeighbour",
        [(ConfigLicence, "isHeld", _holds), (ConfigLicence, "_throughOthers", _noNeighbour)],
    ),
    (
        "weights that a worker said",
        weights.WeightsCase,
        "testAWorkerBackWithOldWeightsGetsNothingUntilItHasLoaded",
        [("swiftdeck.traffic.index.PrefixIndex", "weights", lambda self, worker: "")],
    ),
    (
        "in force before an ack",
        config.ConfigCase,
        "testAckMeansInForceAtEveryRouterThatStillServes",
        [(Chain, "isInForce", lambda self, version: True)],
    ),
    (
        "view licence",
        config.ConfigCase,
        "testAFrozenTailWakesHoldingNothing",
        [(Agreement, "mayServe", _serves)],
    ),
    (
        "base version compared",
        config.ConfigCase,
        "testTwoOperatorsWritingAtOnceNeverBothWin",
        [(ChainState, "examine", _anyBase)],
    ),
    (
        "sync before an ack",
        config.ConfigCase,
        "testAllCoresLosePowerAndTheConfigurationIsReadBackWhole",
        [(Journal, "sync", _syncsNothing)],
    ),
    (
        "only synced entries are passed on",
        config.ConfigCase,
        "testWhatTheTailAnsweredWithOutlastsAHeadThatLosesPowerBeforeItsSlowDiskHasSynced",
        [
            (Chain, "lastToPass", lambda self: self.serial),
            (Chain, "_copyFrom", _copiesNothingFromBehind),
        ],
    ),
    (
        "damage told from a torn record",
        config.ConfigCase,
        "testADamagedLastRecordIsNotTakenForATornOne",
        [
            (Journal, "_isTorn", staticmethod(lambda data, at: True)),
            (Chain, "_copyFrom", _copiesNothingFromBehind),
        ],
    ),
    (
        "the shorter log copies from the longer",
        config.ConfigCase,
        "testAHeadThatLostTheEndOfItsFileCopiesFromTheLongerOne",
        [(Chain, "_copyFrom", _copiesNothingFromBehind)],
    ),
    (
        "key on each request",
        config.ConfigCase,
        "testARevokedKeyIsRefusedOnAKeptAliveConnection",
        [(ConfigLicence, "_install", _keepsItsKeys)],
    ),
    (
        "no call to a draining worker",
        admission.AdmissionCase,
        "testConversationsOfADrainingWorkerMoveAndKeepTheirAdmission",
        [
            (WorkerList, "mayTake", lambda self, name: name in self.workers),
            (Keeper, "onWorkers", lambda self: None),
        ],
    ),
    (
        "an old list stands for nobody",
        calls.CallsCase,
        "testAMajorityBehindACutDoesNotObeyItsOldListWhileTheOthersAreShownADrain",
        [(WorkerList, "isFresh", lambda self: bool(self.body))],
    ),
    (
        "claims in their own time",
        calls.CallsCase,
        "testACallerToldNotRunIsServedAtAnyRouterWithTheSameKey",
        [(Call, "_promised", _asIs)],
    ),
    (
        "who waited longest before a new keeper",
        admission.AdmissionCase,
        "testTheLineOfALostKeeperStandsAnewInTheOrderOfWaiting",
        [(Takeover, "gathered", _polls)],
    ),
    (
        "age of a grant",
        admission.AdmissionCase,
        "testAGrantThatOutlivedAFreezeIsNotActedOn",
        [("swiftdeck.traffic.router.Router", "isGrantValid", lambda self, name: True)],
    ),
    (
        "a lapsed grant is not revived by a hold",
        admission.AdmissionCase,
        "testAGrantThatOutlivedAFreezeIsNotActedOn",
        [
            (
                "swiftdeck.traffic.keeper.HoldReturn",
                "lost",
                property(lambda self: (), lambda self, value: None),
            )
        ],
    ),
    (
        "late requests at a worker",
        calls.CallsCase,
        "testWhatAProcessFrozenBetweenItsLookAndItsWriteSendsLaterIsNoRun",
        [("swiftdeck.bench.worker", "LATE_MS", 60000)],
    ),
    (
        "later calls pass the line",
        admission.AdmissionCase,
        "testALaterCallOfAnAdmittedConversationNeverWaitsBehindTheLine",
        [(Books, "continued", lambda self, ask: None)],
    ),
    (
        "conversations known without their weights",
        weights.WeightsCase,
        "testAnOpenConversationKeepsItsAdmissionUnderNewWeights",
        [("swiftdeck.traffic.call", "GrantAsk", _namedByWeights)],
    ),
    (
        "conversations of a draining worker move",
        admission.AdmissionCase,
        "testConversationsOfADrainingWorkerMoveAndKeepTheirAdmission",
        [(Moves, "settle", lambda self, conversation, ask: None)],
    ),
    (
        "the view is mended",
        config.ConfigCase,
        "testEachMemberMayBeKilledInTurn",
        [(Mender, "_mend", _syncsNothing)],
    ),
    (
        "routers renew often and are nudged",
        config.ConfigCase,
        "testChangesAreInForceWithinTwoSecondsWhileNothingFails",
        [
            (ConfigLicence, "onNudge", lambda self, nudge, sender: None),
            (
                "swiftdeck.traffic.licence.ConfigLicence",
                "renewMs",
                property(lambda self: 2900, lambda self, value: None),
            ),
        ],
    ),
    (
        "given up at once",
        admission.AdmissionCase,
        "testAFullLineAndALongWaitEndAtOnceWithATimeToComeBack",
        [("swiftdeck.traffic.call", "nextMove", _untilTheHorizon)],
    ),
    (
        "a worker's refusal is no run",
        weights.WeightsCase,
        "testASwitchUnderLoadEndsTheOldWeights",
        [("swiftdeck.traffic.call", "OTHER_WEIGHTS", NO_LICENCE)],
    ),
    (
        "what was served stays open",
        calls.CallsCase,
        "testAConversationWhoseGrantIsHandedBackAfterAChangeOfKeeperStaysOpen",
        [
            (
                "swiftdeck.traffic.book.Conversation",
                "isServed",
                property(lambda self: False, lambda self, value: None),
            )
        ],
    ),
    (
        "one wait for a whole call",
        calls.CallsCase,
        "testACallWaitsOnceForLicenceAndGrantTogether",
        [("swiftdeck.traffic.router.Call", "__init__", _waitsAnew)],
    ),
    (
        "cap",
        admission.AdmissionCase,
        "testStartsFromManyRoutersAtOnceNeverPassTheCap",
        [(Book, "hasRoom", lambda self: True)],
    ),
    (
        "open conversations gathered",
        admission.AdmissionCase,
        "testANewKeeperCountsOpenConversationsBeforeItGrantsAStart",
        [(Takeover, "gather", _gathersNothing)],
    ),
    (
        "tenants in turn",
        admission.AdmissionCase,
        "testTheLineServesTenantsInTurn",
        [
            (Line, "take", _takesFirstTenant),
            (Line, "first", lambda self: next((line[0] for line in self.tenants.values()), None)),
        ],
    ),
    (
        "silent routers' slots",
        admission.AdmissionCase,
        "testSlotsOfADeadRouterComeBackOnceItsLicenceHasRunOut",
        [(Books, "seen", lambda self, addr: None)],
    ),
    (
        "budget",
        calls.CallsCase,
        "testTheBudgetBoundsExtraTriesInAnOutage",
        [(Budget, "draw", lambda self, nowS, extra: True)],
    ),
    (
        "a call counts once",
        calls.CallsCase,
        "testACallCountsOnceHoweverOftenItsFirstLegIsGranted",
        [("swiftdeck.traffic.call", "GrantAsk", _forgetsGrants)],
    ),
    (
        "one allowance for all models",
        calls.CallsCase,
        "testExtraTriesOfAllModelsTogetherStayWithinOneAllowance",
        [(Keeper, "_allowance", lambda self: self.settings.budgetExtra)],
    ),
    (
        "text of the last run alone",
        calls.CallsCase,
        "testAReturnInOnePieceHoldsOnlyTheLastRun",
        [("swiftdeck.traffic.call.Call", "pieces", _Endless())],
    ),
    (
        "half-closed callers",
        calls.CallsCase,
        "testACallerThatHalfClosesItsConnectionGetsItsReturn",
        [(HttpConversation, "eof_received", lambda self: False)],
    ),
    (
        "slow callers",
        calls.CallsCase,
        "testASlowCallerIsBoundedAndCutOff",
        [(HttpConversation, "writable", _syncsNothing)],
    ),
]


def runWithout(changes, case, name) -> bool:
    """Whether a case passes with these parts replaced."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, other in changes:
            target = f"{owner}.{attribute}" if isinstance(owner, str) else None
            stack.enter_context(
                mock.patch(target, other, create=True)
                if target
                else mock.patch.object(owner, attribute, other)
            )
        result = unittest.TestResult()
        case(name).run(result)
        return result.wasSuccessful()


class MutationsTest(unittest.TestCase):
    def testEachMechanismIsMissedByItsCase(self):
        for what, case, name, changes in MUTATIONS:
            with self.subTest(what):
                self.assertFalse(runWithout(changes, case, name), f"{name} passes without: {what}")

"""Each mechanism taken out in turn: the case that guards it must fail without it."""

import asyncio
import contextlib
import json
import unittest
from collections import deque
from unittest import mock

import attrs

from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.state import ChainState
from swiftdeck.chain.view_manager import ViewManager
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import NO_LEASE, OLD_VIEW, WAITED_OUT
from swiftdeck.http.server import HttpConversation
from swiftdeck.traffic.book import Book
from swiftdeck.traffic.books import Books
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.call import Call
from swiftdeck.traffic.claims import Claims
from swiftdeck.traffic.keeper import Keeper
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.traffic.ledger import Ledger, Move, next_move
from swiftdeck.traffic.line import Line
from swiftdeck.traffic.moves import Moves
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.traffic.workers import WorkerList
from swiftdeck.wire.messages import GrantAsk
from tests.cases import admission, calls, config, weights


async def _claimed(self, key, run, digest, until_s):
    return True


def _believes(self, line, expected):
    return (
        json.loads(line[5:])
        if line.strip().startswith(b'data: {"')
        else {"run": self.run(), "seq": expected, "text": "?"}
    )


async def _gathers_nothing(self, addr, term):
    return True


def _serves(self):
    return self.decided.number > 0


def _adds_last(self, waiting):
    self.tenants[waiting.tenant] = deque([waiting])


def _takes_first_tenant(self):
    tenant = next(iter(self.tenants))
    first = self.tenants[tenant].popleft()
    if not self.tenants[tenant]:
        del self.tenants[tenant]
    return first


async def _syncs_nothing(self):
    return None


async def _copies_nothing_from_behind(self, addr, above=-1, copy_from=Chain._copy_from):
    return OLD_VIEW if above >= 0 else await copy_from(self, addr)


class _Endless:
    """Pieces that outlive their attempt."""

    def __get__(self, call, kind=None):
        return call.__dict__.setdefault("kept", []) if call else self

    def __set__(self, call, pieces):
        pass


def _forgets_grants(**fields):
    return GrantAsk(**fields | {"was_granted": False})


async def _as_is(self, fault):
    return fault


async def _polls(self, since_s, wait_s):
    end_s = self.loop.time() + wait_s
    while not self.host.is_ready() and self.loop.time() < end_s:
        await asyncio.sleep(0.05)
    return self.host.is_ready()


def _named_by_weights(**fields):
    return GrantAsk(**fields | {"talk": fields["chain"]})


def _until_the_deadline(ledger, now_ms):
    move, fault = next_move(ledger, now_ms)
    return (
        (Move.NOMINATE, None)
        if move is Move.GIVE_UP and fault.notRun and now_ms < ledger.horizonMs
        else (move, fault)
    )


def _waits_anew(self, router, exchange, held, tenant, route, body, start_s, init=Call.__init__):
    init(self, router, exchange, held, tenant, route, body, router.loop.time())


def _keeps_its_keys(self, got, install=ConfigLease._install):
    old = self.held
    done = install(self, got)
    if old and old.tenant_by_key:
        self.held = attrs.evolve(self.held, tenant_by_key=old.tenant_by_key)
    return done


def _any_base(self, change, examine=ChainState.examine):
    return examine(
        self, change | ({"base": self.stored.version} if change["t"] == "config" else {})
    )


def _old_group(tenant, is_apart):
    return "shared"


def _holds(self):
    return self.held is not None


async def _no_neighbour(self, ask):
    return NO_LEASE


def _promises(self, fault):
    return WAITED_OUT


def _again(ledger, now_ms):
    move, fault = next_move(ledger, now_ms)
    last = ledger.attempts[-1] if ledger.attempts else None
    return (
        (Move.NOMINATE, None)
        if move is Move.GIVE_UP and last and last.was_sent and len(ledger.attempts) < 3
        else (move, fault)
    )


MUTATIONS = [
    (
        "claims in the chain",
        calls.CallsCase,
        "test_a_once_only_call_is_claimed_across_routers",
        [(Claims, "claim", _claimed)],
    ),
    (
        "once-only legs",
        calls.CallsCase,
        "test_a_hanging_worker_is_given_up_at_the_bound_without_a_promise",
        [("swiftdeck.traffic.call", "next_move", _again)],
    ),
    (
        "promise only when nothing was sent",
        calls.CallsCase,
        "test_a_hanging_worker_is_given_up_at_the_bound_without_a_promise",
        [(Ledger, "verdict", _promises)],
    ),
    (
        "pieces checked by run and number",
        calls.CallsCase,
        "test_malformed_foreign_and_repeated_pieces_never_reach_a_caller",
        [(Call, "_read", _believes)],
    ),
    (
        "group of a tenant kept apart",
        weights.WeightsCase,
        "test_a_tenant_kept_apart_shares_nothing",
        [("swiftdeck.traffic.call", "group_of", _old_group)],
    ),
    (
        "lease before an attempt",
        config.ConfigCase,
        "test_a_router_cut_from_the_cores_holds_its_lease_through_a_neighbour",
        [(ConfigLease, "is_held", _holds), (ConfigLease, "_through_others", _no_neighbour)],
    ),
    (
        "weights that a worker said",
        weights.WeightsCase,
        "test_a_worker_back_with_old_weights_gets_nothing_until_it_has_loaded",
        [("swiftdeck.traffic.index.PrefixIndex", "weights", lambda self, worker: "")],
    ),
    (
        "in force before an ack",
        config.ConfigCase,
        "test_ack_means_in_force_at_every_router_that_still_serves",
        [(Chain, "is_in_force", lambda self, version: True)],
    ),
    (
        "view lease",
        config.ConfigCase,
        "test_a_frozen_tail_wakes_holding_nothing",
        [(Agreement, "mayServe", _serves)],
    ),
    (
        "base version compared",
        config.ConfigCase,
        "test_two_operators_writing_at_once_never_both_win",
        [(ChainState, "examine", _any_base)],
    ),
    (
        "sync before an ack",
        config.ConfigCase,
        "test_all_cores_lose_power_and_the_configuration_is_read_back_whole",
        [(Journal, "sync", _syncs_nothing)],
    ),
    (
        "only synced entries are passed on",
        config.ConfigCase,
        "test_what_the_tail_answered_outlasts_a_head_that_loses_power_before_it_has_synced",
        [
            (Chain, "last_to_pass", lambda self: self.serial),
            (Chain, "_copy_from", _copies_nothing_from_behind),
        ],
    ),
    (
        "damage told from a torn record",
        config.ConfigCase,
        "test_a_damaged_last_record_is_not_taken_for_a_torn_one",
        [
            (Journal, "_is_torn", staticmethod(lambda data, at: True)),
            (Chain, "_copy_from", _copies_nothing_from_behind),
        ],
    ),
    (
        "the shorter log copies from the longer",
        config.ConfigCase,
        "test_a_head_that_lost_the_end_of_its_file_copies_from_the_longer_one",
        [(Chain, "_copy_from", _copies_nothing_from_behind)],
    ),
    (
        "key on each request",
        config.ConfigCase,
        "test_a_revoked_key_is_refused_on_a_kept_alive_connection",
        [(ConfigLease, "_install", _keeps_its_keys)],
    ),
    (
        "no call to a draining worker",
        admission.AdmissionCase,
        "test_conversations_of_a_draining_worker_move_and_keep_their_admission",
        [
            (WorkerList, "may_take", lambda self, name: name in self.workers),
            (Keeper, "on_workers", lambda self: None),
        ],
    ),
    (
        "an old list stands for nobody",
        calls.CallsCase,
        "test_a_majority_behind_a_cut_does_not_obey_its_old_list_while_the_others_are_shown_a_drain",
        [(WorkerList, "is_fresh", lambda self: bool(self.body))],
    ),
    (
        "claims in their own time",
        calls.CallsCase,
        "test_a_caller_told_not_run_is_served_at_any_router_with_the_same_key",
        [(Call, "_promised", _as_is)],
    ),
    (
        "who waited longest before a new keeper",
        admission.AdmissionCase,
        "test_the_line_of_a_lost_keeper_stands_anew_in_the_order_of_waiting",
        [(Takeover, "gathered", _polls), (Line, "_add_tenant", _adds_last)],
    ),
    (
        "age of a grant",
        admission.AdmissionCase,
        "test_a_grant_that_outlived_a_freeze_is_not_acted_on",
        [("swiftdeck.traffic.router.Router", "is_grant_valid", lambda self, name: True)],
    ),
    (
        "a lapsed grant is not revived by a hold",
        admission.AdmissionCase,
        "test_a_grant_that_outlived_a_freeze_is_not_acted_on",
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
        "test_what_a_process_frozen_between_its_look_and_its_write_sends_later_is_no_run",
        [("swiftdeck.bench.worker", "LATE_MS", 60000)],
    ),
    (
        "later calls pass the line",
        admission.AdmissionCase,
        "test_a_later_call_of_an_admitted_conversation_never_waits_behind_the_line",
        [(Books, "continued", lambda self, ask: None)],
    ),
    (
        "conversations known without their weights",
        weights.WeightsCase,
        "test_an_open_conversation_keeps_its_admission_under_new_weights",
        [("swiftdeck.traffic.call", "GrantAsk", _named_by_weights)],
    ),
    (
        "conversations of a draining worker move",
        admission.AdmissionCase,
        "test_conversations_of_a_draining_worker_move_and_keep_their_admission",
        [(Moves, "settle", lambda self, conversation, ask: None)],
    ),
    (
        "the view is mended",
        config.ConfigCase,
        "test_each_member_may_be_killed_in_turn",
        [(ViewManager, "_mend", _syncs_nothing)],
    ),
    (
        "routers renew often and are nudged",
        config.ConfigCase,
        "test_changes_are_in_force_within_two_seconds_while_nothing_fails",
        [
            (ConfigLease, "on_nudge", lambda self, nudge, sender: None),
            (
                "swiftdeck.traffic.lease.ConfigLease",
                "renewMs",
                property(lambda self: 2900, lambda self, value: None),
            ),
        ],
    ),
    (
        "given up at once",
        admission.AdmissionCase,
        "test_a_full_line_and_a_long_wait_end_at_once_with_a_time_to_come_back",
        [("swiftdeck.traffic.call", "next_move", _until_the_deadline)],
    ),
    (
        "a worker's refusal is no run",
        weights.WeightsCase,
        "test_a_switch_under_load_ends_the_old_weights",
        [("swiftdeck.traffic.call", "OTHER_WEIGHTS", NO_LEASE)],
    ),
    (
        "what was served stays open",
        calls.CallsCase,
        "test_a_conversation_whose_grant_is_handed_back_after_a_change_of_keeper_stays_open",
        [
            (
                "swiftdeck.traffic.book.Conversation",
                "is_served",
                property(lambda self: False, lambda self, value: None),
            )
        ],
    ),
    (
        "one wait for a whole call",
        calls.CallsCase,
        "test_a_call_waits_once_for_lease_and_grant_together",
        [("swiftdeck.traffic.router.Call", "__init__", _waits_anew)],
    ),
    (
        "cap",
        admission.AdmissionCase,
        "test_starts_from_many_routers_at_once_never_pass_the_cap",
        [(Book, "has_room", lambda self: True)],
    ),
    (
        "open conversations gathered",
        admission.AdmissionCase,
        "test_a_new_keeper_counts_open_conversations_before_it_grants_a_start",
        [(Takeover, "gather", _gathers_nothing)],
    ),
    (
        "tenants in turn",
        admission.AdmissionCase,
        "test_the_line_serves_tenants_in_turn",
        [
            (Line, "take", _takes_first_tenant),
            (Line, "first", lambda self: next((line[0] for line in self.tenants.values()), None)),
        ],
    ),
    (
        "silent routers' slots",
        admission.AdmissionCase,
        "test_slots_of_a_dead_router_come_back_once_its_lease_has_run_out",
        [(Books, "renew_router", lambda self, router: None)],
    ),
    (
        "budget",
        calls.CallsCase,
        "test_the_budget_bounds_extra_tries_in_an_outage",
        [(Budget, "draw", lambda self, now_s, extra: True)],
    ),
    (
        "a call counts once",
        calls.CallsCase,
        "test_a_call_counts_once_however_often_its_first_attempt_is_granted",
        [("swiftdeck.traffic.call", "GrantAsk", _forgets_grants)],
    ),
    (
        "one allowance for all models",
        calls.CallsCase,
        "test_extra_tries_of_all_models_together_stay_within_one_allowance",
        [(Keeper, "_allowance", lambda self: self.settings.budgetExtra)],
    ),
    (
        "text of the last run alone",
        calls.CallsCase,
        "test_a_return_in_one_piece_holds_only_the_last_run",
        [("swiftdeck.traffic.call.Call", "pieces", _Endless())],
    ),
    (
        "half-closed callers",
        calls.CallsCase,
        "test_a_caller_that_half_closes_its_connection_gets_its_return",
        [(HttpConversation, "eof_received", lambda self: False)],
    ),
    (
        "slow callers",
        calls.CallsCase,
        "test_a_slow_caller_is_bounded_and_cut_off",
        [(HttpConversation, "writable", _syncs_nothing)],
    ),
]


def run_without(changes, case, name) -> bool:
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
    def test_each_mechanism_is_missed_by_its_case(self):
        for what, case, name, changes in MUTATIONS:
            with self.subTest(what):
                self.assertFalse(run_without(changes, case, name), f"{name} passes without: {what}")

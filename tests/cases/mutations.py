"""Each mechanism taken out in turn: the case that guards it must fail without it."""

import contextlib
import unittest
from collections import Counter
from unittest import mock

import attrs

from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.router_leases import RouterLeases
from swiftdeck.chain.state import ChainState
from swiftdeck.chain.view_manager import ViewManager
from swiftdeck.disk.journal import Journal
from swiftdeck.fault import HANDLER_FAILED, NO_LEASE
from swiftdeck.http.connection import HttpConnection
from swiftdeck.sim.sim_cluster import SimCluster
from swiftdeck.traffic.budget import Budget
from swiftdeck.traffic.call import Call
from swiftdeck.traffic.claims import Claims
from swiftdeck.traffic.conversation_mover import ConversationMover
from swiftdeck.traffic.coordinator import AdmissionCoordinator
from swiftdeck.traffic.fair_queue import FairQueue
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.traffic.ledger import Ledger
from swiftdeck.traffic.slot_table import SlotTable
from swiftdeck.traffic.takeover import Takeover
from swiftdeck.traffic.worker_slots import WorkerSlots
from swiftdeck.traffic.workers import WorkerList
from tests.cases import (
    admission,
    calls,
    chain_faults,
    config,
    coordinators,
    grants,
    replacements,
    weights,
)

MUTATIONS = [
    (
        "claims in the chain",
        calls.CallsCase,
        "test_a_once_only_call_is_claimed_across_routers",
        [(Claims, "claim", replacements.claimed)],
    ),
    (
        "once-only legs",
        calls.CallsCase,
        "test_a_hanging_worker_is_given_up_at_the_bound_without_a_promise",
        [("swiftdeck.traffic.call", "next_action", replacements.again)],
    ),
    (
        "promise only when nothing was sent",
        calls.CallsCase,
        "test_a_hanging_worker_is_given_up_at_the_bound_without_a_promise",
        [(Ledger, "final_fault", replacements.promises)],
    ),
    (
        "pieces checked by run and number",
        calls.CallsCase,
        "test_malformed_foreign_and_repeated_pieces_never_reach_a_caller",
        [(Call, "_parse_piece", replacements.believes)],
    ),
    (
        "group of a tenant kept apart",
        weights.WeightsCase,
        "test_a_tenant_kept_apart_shares_nothing",
        [("swiftdeck.traffic.call", "group_of", replacements.old_group)],
    ),
    (
        "generation in the names of shared prefixes",
        weights.WeightsCase,
        "test_prefixes_of_a_tenant_from_before_it_was_isolated_are_used_by_nobody",
        [("swiftdeck.traffic.call", "cache_group_of", lambda group, generation: group)],
    ),
    (
        "scope of prefixes looked at right before a leg",
        weights.WeightsCase,
        "test_a_call_whose_tenant_is_isolated_while_it_waits_uses_nothing_shared",
        [(Call, "_prefix_scope", replacements.first_scope)],
    ),
    (
        "lease before an attempt",
        config.ConfigCase,
        "test_a_router_cut_from_the_cores_holds_its_lease_through_a_neighbour",
        [
            (ConfigLease, "is_held", replacements.holds),
            (ConfigLease, "_renew_through_neighbours", replacements.no_neighbour),
        ],
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
        [(RouterLeases, "is_in_force", lambda self, version: True)],
    ),
    (
        "view lease",
        chain_faults.ChainFaultsCase,
        "test_a_frozen_tail_wakes_holding_nothing",
        [(Agreement, "may_serve", replacements.serves)],
    ),
    (
        "base version compared",
        config.ConfigCase,
        "test_two_operators_writing_at_once_never_both_win",
        [(ChainState, "examine", replacements.any_base)],
    ),
    (
        "sync before an ack",
        chain_faults.ChainFaultsCase,
        "test_all_cores_lose_power_and_the_configuration_is_read_back_whole",
        [(Journal, "sync", replacements.syncs_nothing)],
    ),
    (
        "only synced entries are passed on",
        chain_faults.ChainFaultsCase,
        "test_what_the_tail_answered_outlasts_a_head_that_loses_power_before_it_has_synced",
        [
            (Chain, "last_replicable_serial", lambda self: self.serial),
            (Chain, "_copy_state_from", replacements.copies_nothing_from_behind),
        ],
    ),
    (
        "damage told from a torn record",
        chain_faults.ChainFaultsCase,
        "test_a_damaged_last_record_is_not_taken_for_a_torn_one",
        [
            (Journal, "_is_torn", staticmethod(lambda data, at: True)),
            (Chain, "_copy_state_from", replacements.copies_nothing_from_behind),
        ],
    ),
    (
        "the shorter log copies from the longer",
        chain_faults.ChainFaultsCase,
        "test_a_head_that_lost_the_end_of_its_file_copies_from_the_longer_one",
        [(Chain, "_copy_state_from", replacements.copies_nothing_from_behind)],
    ),
    (
        "key on each request",
        config.ConfigCase,
        "test_a_revoked_key_is_refused_on_a_kept_alive_connection",
        [(ConfigLease, "_install", replacements.keeps_its_keys)],
    ),
    (
        "no call to a draining worker",
        admission.AdmissionCase,
        "test_conversations_of_a_draining_worker_move_and_keep_their_admission",
        [
            (WorkerList, "may_take", lambda self, name: name in self.workers),
            (AdmissionCoordinator, "on_workers", lambda self: None),
        ],
    ),
    (
        "an old list stands for nobody",
        grants.GrantsCase,
        "test_a_majority_behind_a_cut_does_not_obey_its_old_list_while_the_others_are_shown_a_drain",
        [(WorkerList, "is_fresh", lambda self: bool(self.body))],
    ),
    (
        "claims in their own time",
        calls.CallsCase,
        "test_a_caller_told_not_run_is_served_at_any_router_with_the_same_key",
        [(Call, "_confirm_not_run", replacements.as_is)],
    ),
    (
        "who waited longest before a new keeper",
        coordinators.CoordinatorsCase,
        "test_the_line_of_a_lost_keeper_stands_anew_in_the_order_of_waiting",
        [
            (Takeover, "wait_until_ready", replacements.polls),
            (FairQueue, "_add_tenant", replacements.adds_last),
        ],
    ),
    (
        "age of a grant",
        coordinators.CoordinatorsCase,
        "test_a_grant_that_outlived_a_freeze_is_not_acted_on",
        [("swiftdeck.traffic.router.Router", "is_grant_valid", lambda self, name: True)],
    ),
    (
        "a lapsed grant is not revived by a hold",
        coordinators.CoordinatorsCase,
        "test_a_grant_that_lapsed_is_not_revived_by_a_hold_before_its_worker_is_reached",
        [("swiftdeck.traffic.coordinator", "CallRenewalReturn", replacements.loses_nothing)],
    ),
    (
        "late requests at a worker",
        grants.GrantsCase,
        "test_what_a_process_frozen_between_its_look_and_its_write_sends_later_is_no_run",
        [("swiftdeck.bench.worker", "LATE_MS", 60000)],
    ),
    (
        "later calls pass the line",
        admission.AdmissionCase,
        "test_a_later_call_of_an_admitted_conversation_never_waits_behind_the_line",
        [(SlotTable, "find_conversation", lambda self, ask: None)],
    ),
    (
        "conversations known without their weights",
        weights.WeightsCase,
        "test_an_open_conversation_keeps_its_admission_under_new_weights",
        [("swiftdeck.traffic.call", "GrantAsk", replacements.named_by_weights)],
    ),
    (
        "conversations of a draining worker move",
        admission.AdmissionCase,
        "test_conversations_of_a_draining_worker_move_and_keep_their_admission",
        [(ConversationMover, "move_if_needed", lambda self, conversation, ask: None)],
    ),
    (
        "the view is mended",
        chain_faults.ChainFaultsCase,
        "test_each_member_may_be_killed_in_turn",
        [(ViewManager, "_repair_view", replacements.syncs_nothing)],
    ),
    (
        "routers renew often and are nudged",
        config.ConfigCase,
        "test_changes_are_in_force_within_two_seconds_while_nothing_fails",
        [
            (ConfigLease, "on_config_changed", lambda self, message, sender: None),
            (
                "swiftdeck.traffic.lease.ConfigLease",
                "renew_ms",
                property(lambda self: 2900, lambda self, value: None),
            ),
        ],
    ),
    (
        "given up at once",
        admission.AdmissionCase,
        "test_a_full_line_and_a_long_wait_end_at_once_with_a_time_to_come_back",
        [("swiftdeck.traffic.call", "next_action", replacements.until_the_deadline)],
    ),
    (
        "a worker's refusal is no run",
        weights.WeightsCase,
        "test_a_switch_under_load_ends_the_old_weights",
        [("swiftdeck.traffic.call", "WEIGHTS_MISMATCH", NO_LEASE)],
    ),
    (
        "what was served stays open",
        grants.GrantsCase,
        "test_a_conversation_whose_grant_is_handed_back_after_a_change_of_keeper_stays_open",
        [
            (
                "swiftdeck.traffic.worker_slots.Conversation",
                "is_served",
                property(lambda self: False, lambda self, value: None),
            )
        ],
    ),
    (
        "one wait for a whole call",
        grants.GrantsCase,
        "test_a_call_waits_once_for_lease_and_grant_together",
        [("swiftdeck.traffic.router.Call", "__init__", replacements.waits_anew)],
    ),
    (
        "cap",
        admission.AdmissionCase,
        "test_starts_from_many_routers_at_once_never_pass_the_cap",
        [(WorkerSlots, "has_room", lambda self: True)],
    ),
    (
        "open conversations gathered",
        coordinators.CoordinatorsCase,
        "test_a_new_keeper_counts_open_conversations_before_it_grants_a_start",
        [(Takeover, "gather", replacements.gathers_nothing)],
    ),
    (
        "tenants in turn",
        admission.AdmissionCase,
        "test_the_line_serves_tenants_in_turn",
        [
            (FairQueue, "take", replacements.takes_first_tenant),
            (
                FairQueue,
                "first",
                lambda self: next((line[0] for line in self.tenants.values()), None),
            ),
        ],
    ),
    (
        "silent routers' slots",
        coordinators.CoordinatorsCase,
        "test_slots_of_a_dead_router_come_back_once_its_lease_has_run_out",
        [(SlotTable, "renew_router", lambda self, router: None)],
    ),
    (
        "budget",
        grants.GrantsCase,
        "test_the_budget_bounds_extra_tries_in_an_outage",
        [(Budget, "draw", lambda self, now_s, extra: True)],
    ),
    (
        "a call counts once",
        grants.GrantsCase,
        "test_a_call_counts_once_however_often_its_first_attempt_is_granted",
        [("swiftdeck.traffic.call", "GrantAsk", replacements.forgets_grants)],
    ),
    (
        "one allowance for all models",
        grants.GrantsCase,
        "test_extra_tries_of_all_models_together_stay_within_one_allowance",
        [(AdmissionCoordinator, "_allowance", lambda self: self.settings.budgetExtra)],
    ),
    (
        "text of the last run alone",
        calls.CallsCase,
        "test_a_return_in_one_piece_holds_only_the_last_run",
        [("swiftdeck.traffic.call.Call", "pieces", replacements.Endless())],
    ),
    (
        "half-closed callers",
        calls.CallsCase,
        "test_a_caller_that_half_closes_its_connection_gets_its_return",
        [(HttpConnection, "eof_received", lambda self: False)],
    ),
    (
        "slow callers",
        calls.CallsCase,
        "test_a_slow_caller_is_bounded_and_cut_off",
        [(HttpConnection, "writable", replacements.syncs_nothing)],
    ),
]


@attrs.frozen
class Outcome:
    """How a case ends without a mechanism.

    `internal_faults` counts what raised in handlers and tasks of the site: a replacement that
    doesn't fit its place breaks a case too, which says nothing of the mechanism.
    """

    passes: bool
    internal_faults: int


@contextlib.contextmanager
def replaced(changes):
    """Put other parts in place of some, each named by its owner and its attribute."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, other in changes:
            target = f"{owner}.{attribute}" if isinstance(owner, str) else None
            stack.enter_context(
                mock.patch(target, other, create=True)
                if target
                else mock.patch.object(owner, attribute, other)
            )
        yield


@contextlib.contextmanager
def noted_sites():
    """Give a list that takes all sites that are made meanwhile."""
    sites, start = [], SimCluster.__init__

    def noted_start(site, *arguments, **settings):
        sites.append(site)
        start(site, *arguments, **settings)

    with mock.patch.object(SimCluster, "__init__", noted_start):
        yield sites


def run_without(changes, case, name) -> Outcome:
    """Run a case with these parts replaced."""
    result = unittest.TestResult()
    with replaced(changes), noted_sites() as sites:
        case(name).run(result)
    counters = sum((site.counters() for site in sites), Counter())
    internal_faults = (
        counters[f"faults.{HANDLER_FAILED.code}"]
        + counters[f"http.faults.{HANDLER_FAILED.code}"]
        + sum(len(site.world.faults) for site in sites)
    )
    return Outcome(result.wasSuccessful(), internal_faults)


class MutationsTest(unittest.TestCase):
    def test_each_mechanism_is_missed_by_its_case(self):
        for what, case, name, changes in MUTATIONS:
            with self.subTest(what):
                outcome = run_without(changes, case, name)
                self.assertFalse(outcome.passes, f"{name} passes without: {what}")
                self.assertEqual(outcome.internal_faults, 0, f"replacement fails for: {what}")

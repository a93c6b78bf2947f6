"""Judges a run by the records of stand-ins and operators alone: one check for each rule."""

from swiftdeck.bench.rules.calls import (
    not_cut_off,
    not_run_stays,
    pieces_belong,
    returned_at_once,
    runs_once,
    service_returns,
    tries_are_few,
)
from swiftdeck.bench.rules.configuration import (
    ack_is_quick,
    old_weights_end,
    read_back_whole,
    refused_is_not_obeyed,
    versions_stand,
)
from swiftdeck.bench.rules.placement import (
    apart_stays_apart,
    draining_is_left,
    later_calls_pass,
    starts_within_cap,
    weights_match,
)
from swiftdeck.bench.rules.records import Context

BREACHES_SHOWN = 20
RULES = {
    rule.__name__: rule
    for rule in (
        runs_once,
        not_run_stays,
        pieces_belong,
        apart_stays_apart,
        weights_match,
        old_weights_end,
        versions_stand,
        read_back_whole,
        ack_is_quick,
        refused_is_not_obeyed,
        draining_is_left,
        not_cut_off,
        later_calls_pass,
        starts_within_cap,
        returned_at_once,
        tries_are_few,
        service_returns,
    )
}


def check(records, apart=(), budget_extra=3) -> dict:
    """Breaches by rule, twenty at most of each; a rule without breaches is not there."""
    context = Context(frozenset(apart), budget_extra)
    found = {name: list(rule(records, context)) for name, rule in RULES.items()}
    return {name: breaches[:BREACHES_SHOWN] for name, breaches in found.items() if breaches}

"""Judges a history of orders and reads, as operators and routers saw it on their sockets.

The configuration is a register with compare-and-set: an order names the number it builds on and
the number it sets. A history stands when some order of its operations, each somewhere between its
begin and its end, explains every answer. An order without a clear answer may take effect at any
time after it was first sent, or never.
"""

import math
from collections import defaultdict
from enum import Enum

import attrs

ACKNOWLEDGED = 200
UNCLEAR = frozenset({0, 408, 429})
NEVER = math.inf


class ConsistencyRule(Enum):
    """What a history may break."""

    UNEXPLAINED = "no order of the operations explains the answers"
    SAME_NUMBER = "two bodies acknowledged under one number"
    SAME_BASE = "two orders acknowledged on one base"
    REFUSED_AFTER_TAKEN = "an order that was taken is refused"
    REFUSED_EARLY = "a refusal that rests on an order which was not in force yet"
    STALE_READ = "a read older than what was acknowledged before it began"
    STALE_LEASE = "a lease older than what was acknowledged before it began"
    LOST = "an acknowledged order is gone at the end"


class Source(Enum):
    """Where an observation of the configuration comes from."""

    READ = "read"
    LEASE = "lease"
    FINAL = "final"


@attrs.frozen
class Order:
    """A configuration that an operator wants in force; sent again it is the same order."""

    base: int
    number: int
    body: str


@attrs.frozen
class Attempt:
    """One sending of an order; status 0 stands for no answer."""

    order: Order
    begin_s: float
    end_s: float
    status: int

    def is_acknowledged(self) -> bool:
        """Whether the order was said to be taken."""
        return self.status == ACKNOWLEDGED

    def is_refused(self) -> bool:
        """Whether the order was said never to be taken."""
        return self.status < 500 and not self.is_acknowledged() and self.status not in UNCLEAR


@attrs.frozen
class Observation:
    """A configuration that was handed out; `in_touch` is false where the rules allow an old one."""

    source: Source
    begin_s: float
    end_s: float
    number: int
    body: str
    in_touch: bool = True


@attrs.frozen
class Violation:
    """A clause that a history breaks, and where."""

    clause: ConsistencyRule
    detail: str


@attrs.define
class History:
    """What was seen, in any order; a run without a final observation has lost everything."""

    attempts: list[Attempt] = attrs.Factory(list)
    observations: list[Observation] = attrs.Factory(list)
    initial: Order = Order(0, 0, "")

    def acknowledgements(self) -> dict[Order, float]:
        """When each acknowledged order was first acknowledged."""
        found = {}
        for each in self.attempts:
            if each.is_acknowledged():
                found[each.order] = min(each.end_s, found.get(each.order, NEVER))
        return found


class Kind(Enum):
    """What an operation demands of the register."""

    TAKE = "take"
    MAY_TAKE = "may take"
    REFUSE = "refuse"
    SHOW = "show"


@attrs.frozen
class Operation:
    """An operation on the register with the time in which it takes effect."""

    kind: Kind
    order: Order
    begin_s: float
    end_s: float

    def next(self, held: Order) -> Order | None:
        """The register after the operation, None where the operation can't follow."""
        fits = self.order.base == held.number and self.order.number > held.number
        if self.kind in (Kind.TAKE, Kind.MAY_TAKE):
            return self.order if fits else None
        if self.kind is Kind.REFUSE:
            return None if fits else held
        is_same = (self.order.number, self.order.body) == (held.number, held.body)
        return held if is_same else None


def check_history(history: History) -> list[Violation]:
    """All clauses that a history breaks."""
    found = [
        *_doubles(history),
        *_refused_after_taken(history),
        *_stale(history),
        *_lost(history),
    ]
    return [*found, *_unexplained(history)]


def _unexplained(history):
    """Whether nothing explains all answers; whether only refusals for a pending rival misfit."""
    operations = _operations(history)
    if _is_explained(operations, history.initial):
        return
    early = [each for each in operations if _has_rival(each, operations)]
    others = [each for each in operations if each not in early]
    if early and _is_explained(others, history.initial):
        yield Violation(ConsistencyRule.REFUSED_EARLY, ", ".join(str(each.order) for each in early))
    else:
        yield Violation(ConsistencyRule.UNEXPLAINED, f"{len(history.attempts)} attempts")


def _has_rival(refusal, operations):
    """Whether an operation is a refusal, and another order on its base was sent before it ended."""
    return refusal.kind is Kind.REFUSE and any(
        each.kind in (Kind.TAKE, Kind.MAY_TAKE)
        and each.order.base == refusal.order.base
        and each.begin_s < refusal.end_s
        for each in operations
    )


def _doubles(history):
    """Different orders that were acknowledged under one number or on one base."""
    for clause, key in (
        (ConsistencyRule.SAME_NUMBER, lambda order: order.number),
        (ConsistencyRule.SAME_BASE, lambda order: order.base),
    ):
        groups = defaultdict(set)
        for order in history.acknowledgements():
            groups[key(order)].add(order)
        for shared, orders in sorted(groups.items()):
            if len(orders) > 1:
                yield Violation(clause, f"{shared}: {sorted(each.body for each in orders)}")


def _taken(history):
    """Orders that were acknowledged or seen in force."""
    shown = {(each.number, each.body) for each in history.observations}
    acknowledged = history.acknowledgements()
    return {
        each.order
        for each in history.attempts
        if each.order in acknowledged or (each.order.number, each.order.body) in shown
    }


def _refused_after_taken(history):
    taken = _taken(history)
    for each in history.attempts:
        if each.is_refused() and each.order in taken:
            yield Violation(
                ConsistencyRule.REFUSED_AFTER_TAKEN,
                f"{each.order} refused with {each.status} at {each.end_s:.4f}",
            )


def _stale(history):
    clauses = {Source.READ: ConsistencyRule.STALE_READ, Source.LEASE: ConsistencyRule.STALE_LEASE}
    acknowledged = history.acknowledgements()
    for each in history.observations:
        if each.source not in clauses or not each.in_touch:
            continue
        known = [order.number for order, at_s in acknowledged.items() if at_s < each.begin_s]
        if known and each.number < max(known):
            yield Violation(
                clauses[each.source],
                f"number {each.number} from {each.begin_s:.4f}, {max(known)} acknowledged before",
            )


def _lost(history):
    acknowledged = list(history.acknowledgements())
    if not acknowledged:
        return
    finals = [each for each in history.observations if each.source is Source.FINAL]
    if not finals:
        yield Violation(ConsistencyRule.LOST, "the configuration does not come")
        return
    last, newest = finals[-1], max(acknowledged, key=lambda order: order.number)
    is_other = last.number == newest.number and last.body != newest.body
    if last.number < newest.number or is_other:
        yield Violation(
            ConsistencyRule.LOST, f"{newest} acknowledged, {last.number} {last.body} read back"
        )


def _operations(history):
    """The operations of a history, one for each order, refusal and observation in touch."""
    by_order = defaultdict(list)
    for each in history.attempts:
        by_order[each.order].append(each)
    found = [operation for tries in by_order.values() for operation in _of_order(tries)]
    found += [
        Operation(Kind.SHOW, Order(0, each.number, each.body), each.begin_s, each.end_s)
        for each in history.observations
        if each.in_touch
    ]
    return found


def _of_order(tries):
    begin_s = min(each.begin_s for each in tries)
    acknowledged = [each.end_s for each in tries if each.is_acknowledged()]
    refused = [each for each in tries if each.is_refused()]
    if acknowledged:
        return [Operation(Kind.TAKE, tries[0].order, begin_s, min(acknowledged))]
    if refused:
        return [Operation(Kind.REFUSE, each.order, begin_s, each.end_s) for each in refused]
    return [Operation(Kind.MAY_TAKE, tries[0].order, begin_s, NEVER)]


def _is_explained(operations, initial):
    """Whether some order explains all operations: depth first, each state visited once."""
    ordered = sorted(operations, key=lambda each: (each.begin_s, each.end_s))
    visited, waiting = set(), [(frozenset(range(len(ordered))), initial)]
    while waiting:
        left, held = waiting.pop()
        if all(ordered[at].kind is Kind.MAY_TAKE for at in left):
            return True
        if (left, held) in visited:
            continue
        visited.add((left, held))
        waiting.extend(_followers(ordered, left, held))
    return False


def _followers(ordered, left, held):
    """The states that one more operation can lead to.

    It began before any other one that is left had ended.
    """
    first_end_s = min(ordered[at].end_s for at in left)
    able = [at for at in sorted(left) if ordered[at].begin_s <= first_end_s]
    for at in able:
        is_free = ordered[at].kind in (Kind.SHOW, Kind.REFUSE)
        if is_free and ordered[at].next(held) is held:
            return [(left - {at}, held)]
    after = [(at, ordered[at].next(held)) for at in able]
    return [(left - {at}, then) for at, then in after if then is not None]

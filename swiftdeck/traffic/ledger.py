"""The ledger of a call's attempts, from which its next move is derived."""

import enum

import attrs

from swiftdeck.fault import (
    COORDINATOR_RECOVERING,
    HANDLER_FAILED,
    HORIZON_REACHED,
    NO_CLAIM,
    NO_COORDINATOR,
    NO_LEASE,
    NO_WORKER,
    NOT_COORDINATOR,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    QUEUE_TIMEOUT,
    STALE_TERM,
    STALE_WORKER_LIST,
    WORKER_LOST,
    WORKER_UNREACHABLE,
    Fault,
)

RETRY_MS = 1000
"""When a caller may come back after a call that reached no worker."""
RETRYABLE = {
    fault.code
    for fault in (
        QUEUE_TIMEOUT,
        NO_WORKER,
        NO_LEASE,
        STALE_WORKER_LIST,
        NO_COORDINATOR,
        NO_CLAIM,
        PEER_UNREACHABLE,
        PEER_TIMEOUT,
        HANDLER_FAILED,
        STALE_TERM,
        NOT_COORDINATOR,
        COORDINATOR_RECOVERING,
    )
}


class NextAction(enum.Enum):
    """What an exchange does next."""

    CLAIM = "claim"
    NOMINATE = "nominate"
    SEND = "send"
    FINISH = "finish"
    BREAK = "break"
    GIVE_UP = "give up"


@attrs.define
class Attempt:
    """One try: a grant, and what became of it at the worker.

    An attempt without a grant has the fault that refused it. `delivered` counts the pieces that the
    caller was given, `is_whole` says that it was given all.
    """

    number: int
    grant: object = None
    fault: Fault | None = None
    was_sent: bool = False
    delivered: int = 0
    is_whole: bool = False


@attrs.define
class Ledger:
    """What was done for one call so far.

    `waitUntilMs` ends the wait for a grant, `horizonMs` the whole call: both by the clock of the
    loop. `claim` is None while the key isn't claimed, true once it is, or the fault that says why
    it never will be. A call that is `repeatable` may be sent again after it was sent once.
    """

    repeatable: bool
    needsClaim: bool
    waitUntilMs: float
    horizonMs: float
    claim: Fault | bool | None = None
    attempts: list[Attempt] = attrs.Factory(list)

    def sent(self):
        """Return the attempts of which a byte may have reached a worker."""
        return [attempt for attempt in self.attempts if attempt.was_sent]

    def verdict(self, fault: Fault) -> Fault:
        """Return the final fault: it promises "not run" only if nothing was ever sent.

        Then it is `fault`, or WORKER_UNREACHABLE where that promises nothing. Otherwise it is the
        fault of the last attempt that was sent, or WORKER_LOST where that one promises "not run".
        """
        sent = self.sent()
        if not sent:
            if fault.notRun:
                return fault
            return WORKER_UNREACHABLE.with_reason(
                fault.reason or fault.name, fault.retry_ms or RETRY_MS
            )
        faults = [attempt.fault for attempt in sent if attempt.fault is not None]
        if faults and not faults[-1].notRun:
            return faults[-1]
        return WORKER_LOST.with_reason(fault.reason)


def next_action(ledger: Ledger, now_ms: float) -> tuple[NextAction, Fault | None]:
    """Return the next move and, when it ends the call, the fault to give.

    A pure function of the ledger and the time.
    """
    if isinstance(ledger.claim, Fault):
        return NextAction.GIVE_UP, ledger.claim
    if not ledger.attempts:
        return NextAction.NOMINATE, None
    last = ledger.attempts[-1]
    if last.is_whole:
        return NextAction.FINISH, None
    if last.delivered:
        return NextAction.BREAK, last.fault
    if last.grant is not None and last.fault is None and not last.was_sent:
        return _move_with_grant(ledger, now_ms)
    return _move_after_fault(ledger, last, now_ms)


def _move_with_grant(ledger: Ledger, now_ms: float):
    """Return the move of a call that holds a grant: claim its key, then send."""
    if now_ms >= ledger.horizonMs:
        return NextAction.GIVE_UP, ledger.verdict(QUEUE_TIMEOUT)
    is_claim_due = ledger.needsClaim and ledger.claim is None
    return (NextAction.CLAIM if is_claim_due else NextAction.SEND), None


def _move_after_fault(ledger: Ledger, last: Attempt, now_ms: float):
    """Return the move after an attempt that was refused or failed: try again, or give up."""
    is_refused_for_good = last.grant is None and last.fault.code not in RETRYABLE
    if is_refused_for_good or (last.was_sent and not ledger.repeatable):
        return NextAction.GIVE_UP, ledger.verdict(last.fault)
    is_waiting = last.grant is None or not last.was_sent
    is_wait_over = is_waiting and now_ms >= ledger.waitUntilMs
    if now_ms >= ledger.horizonMs or is_wait_over:
        return NextAction.GIVE_UP, ledger.verdict(HORIZON_REACHED if ledger.sent() else last.fault)
    return NextAction.NOMINATE, None

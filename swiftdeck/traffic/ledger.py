"""The ledger of a call's attempts, from which its next action is derived."""

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
"""When a client may retry a call that reached no worker."""
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
    """What a call does next."""

    CLAIM = "claim"
    NOMINATE = "nominate"
    SEND = "send"
    FINISH = "finish"
    BREAK = "break"
    GIVE_UP = "give up"


@attrs.define
class Attempt:
    """An attempt: its grant, and its outcome at the worker.

    An attempt without a grant has the fault by which it was refused. `delivered` counts the pieces
    that were passed on to the client; `is_whole` is set once the worker's output is complete.
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

    `wait_until_ms` ends the wait for a grant and `horizon_ends_ms` the whole call, both by the
    event loop's clock. `claim` is None while the key isn't claimed, True once it is, or the fault
    that says why it can't be. A `repeatable` call may be sent again after it was sent once.
    """

    repeatable: bool
    needs_claim: bool
    wait_until_ms: float
    horizon_ends_ms: float
    claim: Fault | bool | None = None
    attempts: list[Attempt] = attrs.Factory(list)

    def sent_attempts(self):
        """Return the attempts of which a byte may have reached a worker."""
        return [attempt for attempt in self.attempts if attempt.was_sent]

    def final_fault(self, fault: Fault) -> Fault:
        """Return the final fault of the call; it promises "not run" only if nothing was sent.

        If nothing was sent, it is `fault`, or WORKER_UNREACHABLE if `fault` doesn't promise that.
        Otherwise it is the fault of the last attempt that was sent, or WORKER_LOST if that one
        promises "not run".
        """
        sent_attempts = self.sent_attempts()
        if not sent_attempts:
            if fault.notRun:
                return fault
            return WORKER_UNREACHABLE.with_reason(
                fault.reason or fault.name, fault.retry_ms or RETRY_MS
            )
        faults = [attempt.fault for attempt in sent_attempts if attempt.fault is not None]
        if faults and not faults[-1].notRun:
            return faults[-1]
        return WORKER_LOST.with_reason(fault.reason)


def next_action(ledger: Ledger, now_ms: float) -> tuple[NextAction, Fault | None]:
    """Return the next action and, if it ends the call with a fault, that fault.

    A pure function of the ledger and the time.
    """
    if isinstance(ledger.claim, Fault):
        return NextAction.GIVE_UP, ledger.claim
    if not ledger.attempts:
        return NextAction.NOMINATE, None
    last_attempt = ledger.attempts[-1]
    if last_attempt.is_whole:
        return NextAction.FINISH, None
    if last_attempt.delivered:
        return NextAction.BREAK, last_attempt.fault
    if last_attempt.grant is not None and last_attempt.fault is None and not last_attempt.was_sent:
        return _action_with_grant(ledger, now_ms)
    return _action_after_fault(ledger, last_attempt, now_ms)


def _action_with_grant(ledger: Ledger, now_ms: float):
    """Return the next action of a call that holds a grant: claim its key, then send."""
    if now_ms >= ledger.horizon_ends_ms:
        return NextAction.GIVE_UP, ledger.final_fault(QUEUE_TIMEOUT)
    is_claim_due = ledger.needs_claim and ledger.claim is None
    return (NextAction.CLAIM if is_claim_due else NextAction.SEND), None


def _action_after_fault(ledger: Ledger, last_attempt: Attempt, now_ms: float):
    """Return the next action after a refused or failed attempt: try again, or give up."""
    is_refused_for_good = last_attempt.grant is None and last_attempt.fault.code not in RETRYABLE
    if is_refused_for_good or (last_attempt.was_sent and not ledger.repeatable):
        return NextAction.GIVE_UP, ledger.final_fault(last_attempt.fault)
    is_waiting = last_attempt.grant is None or not last_attempt.was_sent
    is_wait_over = is_waiting and now_ms >= ledger.wait_until_ms
    if now_ms >= ledger.horizon_ends_ms or is_wait_over:
        return NextAction.GIVE_UP, ledger.final_fault(
            HORIZON_REACHED if ledger.sent_attempts() else last_attempt.fault
        )
    return NextAction.NOMINATE, None

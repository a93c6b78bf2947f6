"""The ledger of a call's attempts, from which its next move is derived."""

import enum

import attrs

from swiftdeck.fault import (
    HANDLER_FAILED,
    HORIZON,
    NO_CLAIM,
    NO_KEEPER,
    NO_LEASE,
    NO_WORKER,
    NOT_KEEPER,
    OLD_TERM,
    RECOVERING,
    STALE_LIST,
    TIMED_OUT,
    UNREACHABLE,
    UNREACHED,
    WAITED_OUT,
    WORKER_LOST,
    Fault,
)

AGAIN = {
    each.code
    for each in (
        WAITED_OUT,
        NO_WORKER,
        NO_LEASE,
        STALE_LIST,
        NO_KEEPER,
        NO_CLAIM,
        UNREACHABLE,
        TIMED_OUT,
        HANDLER_FAILED,
        OLD_TERM,
        NOT_KEEPER,
        RECOVERING,
    )
}


class Move(enum.Enum):
    """What an exchange does next."""

    CLAIM = "claim"
    NOMINATE = "nominate"
    SEND = "send"
    FINISH = "finish"
    BREAK = "break"
    GIVE_UP = "give up"


@attrs.define
class Attempt:
    """One try: a grant, and what became of it at the worker."""

    number: int
    grant: object = None
    fault: Fault | None = None
    was_sent: bool = False
    delivered: int = 0
    is_whole: bool = False


@attrs.define
class Ledger:
    """What was done for one call so far."""

    repeatable: bool
    needsClaim: bool
    waitUntilMs: float
    horizonMs: float
    claim: Fault | bool | None = None
    attempts: list[Attempt] = attrs.Factory(list)

    def sent(self):
        """Attempts of which a byte may have reached a worker."""
        return [attempt for attempt in self.attempts if attempt.was_sent]

    def verdict(self, fault: Fault) -> Fault:
        """The final fault: one that promises "not run" only if nothing was ever sent."""
        sent = self.sent()
        if not sent:
            return (
                fault
                if fault.notRun
                else UNREACHED.because(fault.reason or fault.name, fault.retry_ms or 1000)
            )
        known = next(
            (attempt.fault for attempt in reversed(sent) if attempt.fault is not None), None
        )
        return (
            known if known is not None and not known.notRun else WORKER_LOST.because(fault.reason)
        )


def next_move(ledger: Ledger, now_ms: float):
    """The next move and, when it ends the call, the fault to give; a pure function of the ledger and the time."""
    if isinstance(ledger.claim, Fault):
        return Move.GIVE_UP, ledger.claim
    last = ledger.attempts[-1] if ledger.attempts else None
    if last and last.is_whole:
        return Move.FINISH, None
    if last and last.delivered:
        return Move.BREAK, last.fault
    if last and last.grant is not None and last.fault is None and not last.was_sent:
        if now_ms >= ledger.horizonMs:
            return Move.GIVE_UP, ledger.verdict(WAITED_OUT)
        return (Move.CLAIM if ledger.needsClaim and ledger.claim is None else Move.SEND), None
    if last is None:
        return Move.NOMINATE, None
    if last.grant is None and last.fault.code not in AGAIN:
        return Move.GIVE_UP, ledger.verdict(last.fault)
    if last.was_sent and not ledger.repeatable:
        return Move.GIVE_UP, ledger.verdict(last.fault)
    is_wait_over = now_ms >= ledger.waitUntilMs and (last.grant is None or not last.was_sent)
    if now_ms >= ledger.horizonMs or is_wait_over:
        return Move.GIVE_UP, ledger.verdict(HORIZON if ledger.sent() else last.fault)
    return Move.NOMINATE, None

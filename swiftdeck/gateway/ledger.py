"""The ledger of a request's attempts, from which its next move is derived."""

import enum

import attrs

from swiftdeck.fault import DEADLINE_PASSED, STREAM_BROKEN, WORKER_LOST, WORKER_UNREACHABLE, Fault


class NextAction(enum.Enum):
    """What a request does next."""

    PLACE = "place"
    SEND = "send"
    FINISH = "finish"
    BREAK = "break"
    GIVE_UP = "give up"


@attrs.define
class Attempt:
    """One worker that was chosen, and what became of it there."""

    number: int
    worker: object = None
    fault: Fault | None = None
    was_sent: bool = False
    has_not_run: bool = False
    is_whole: bool = False

    def may_have_run(self) -> bool:
        """Whether the worker could have begun on it."""
        return self.was_sent and not self.has_not_run


@attrs.define
class Ledger:
    """What was done for one request so far."""

    repeatable: bool
    resumable: bool
    tries: int
    deadline_s: float
    has_begun: bool = False
    attempts: list[Attempt] = attrs.Factory(list)

    def sent(self):
        """Attempts of which a byte may have reached a worker."""
        return [each for each in self.attempts if each.was_sent]

    def verdict(self, fault: Fault) -> Fault:
        """The final fault: one that promises "not run" only where no attempt may have run."""
        ran = [each for each in self.attempts if each.may_have_run()]
        if not ran:
            return (
                fault
                if fault.notRun
                else WORKER_UNREACHABLE.with_reason(fault.reason or fault.name)
            )
        known = ran[-1].fault
        return (
            known
            if known is not None and not known.notRun
            else WORKER_LOST.with_reason(fault.reason or fault.name)
        )


def next_action(ledger: Ledger, now_s: float):
    """The next move and, when it ends the request, the fault to give; a pure function of the ledger and the time."""
    last = ledger.attempts[-1] if ledger.attempts else None
    if last is None:
        return NextAction.PLACE, None
    if last.is_whole:
        return NextAction.FINISH, None
    if last.worker is None and last.fault is not None:
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            last.fault
        )
    if last.fault is None and not last.was_sent:
        return NextAction.SEND, None
    if ledger.has_begun and not ledger.resumable:
        return NextAction.BREAK, ledger.verdict(STREAM_BROKEN if last.fault is None else last.fault)
    is_spent = len(ledger.sent()) >= ledger.tries or len(ledger.attempts) >= ledger.tries + 3
    if not ledger.repeatable and any(each.may_have_run() for each in ledger.attempts) or is_spent:
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            last.fault
        )
    if now_s >= ledger.deadline_s:
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            DEADLINE_PASSED
        )
    return NextAction.PLACE, None

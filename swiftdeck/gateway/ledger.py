"""Derives the next action of a request from the ledger of its attempts."""

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
    """One attempt to place and send a request, and its outcome.

    `was_sent` says that a byte may have reached the worker, `has_not_run` that the worker said it
    didn't run the request, and `is_whole` that the answer is complete.
    """

    number: int
    worker: object = None
    fault: Fault | None = None
    was_sent: bool = False
    has_not_run: bool = False
    is_whole: bool = False

    def may_have_run(self) -> bool:
        """Return whether the worker could have begun to run the request."""
        return self.was_sent and not self.has_not_run


@attrs.define
class Ledger:
    """The attempts of one request, and the limits on further ones.

    `repeatable` says that the request may run more than once, `resumable` that a broken answer may
    be continued by another worker, and `has_begun` that the client has part of the answer.
    """

    repeatable: bool
    resumable: bool
    tries: int
    deadline_s: float
    has_begun: bool = False
    attempts: list[Attempt] = attrs.Factory(list)

    def sent(self):
        """Return the attempts of which a byte may have reached a worker."""
        return [attempt for attempt in self.attempts if attempt.was_sent]

    def verdict(self, fault: Fault) -> Fault:
        """Return the final fault; it promises "not run" only if no attempt may have run."""
        ran = [attempt for attempt in self.attempts if attempt.may_have_run()]
        if not ran:
            return (
                fault
                if fault.notRun
                else WORKER_UNREACHABLE.with_reason(fault.reason or fault.name)
            )
        last_fault = ran[-1].fault
        return (
            last_fault
            if last_fault is not None and not last_fault.notRun
            else WORKER_LOST.with_reason(fault.reason or fault.name)
        )


def next_action(ledger: Ledger, now_s: float):
    """Return the next action and, if it ends the request, the fault to report.

    This is a pure function of the ledger and the time.
    """
    last_attempt = ledger.attempts[-1] if ledger.attempts else None
    if last_attempt is None:
        return NextAction.PLACE, None
    if last_attempt.is_whole:
        return NextAction.FINISH, None
    if last_attempt.worker is None and last_attempt.fault is not None:
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            last_attempt.fault
        )
    if last_attempt.fault is None and not last_attempt.was_sent:
        return NextAction.SEND, None
    if ledger.has_begun and not ledger.resumable:
        return NextAction.BREAK, ledger.verdict(
            STREAM_BROKEN if last_attempt.fault is None else last_attempt.fault
        )
    is_spent = len(ledger.sent()) >= ledger.tries or len(ledger.attempts) >= ledger.tries + 3
    if (
        not ledger.repeatable
        and any(attempt.may_have_run() for attempt in ledger.attempts)
        or is_spent
    ):
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            last_attempt.fault
        )
    if now_s >= ledger.deadline_s:
        return (NextAction.BREAK if ledger.has_begun else NextAction.GIVE_UP), ledger.verdict(
            DEADLINE_PASSED
        )
    return NextAction.PLACE, None

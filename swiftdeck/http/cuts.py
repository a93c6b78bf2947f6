"""Reasons why a connection ended without a complete response to a fully read request."""

import enum


class CutReason(enum.Enum):
    """A reason; its value is the name in counters and logs."""

    CLIENT_LEFT = "clientLeft"
    CLIENT_STALLED = "clientStalled"
    CLIENT_FAULT = "clientFault"
    WORKER_BROKE_OFF = "workerBrokeOff"
    DEADLINE = "deadline"
    END_OF_WORK = "endOfWork"
    HANDLER_FAILED = "handlerFailed"
    UNANSWERED = "unanswered"

    def is_excused(self) -> bool:
        """Return whether this server is not at fault.

        Excused are ends that others caused, and ends of the time allowed for a request that was
        admitted early enough.
        """
        return self not in (CutReason.HANDLER_FAILED, CutReason.UNANSWERED)

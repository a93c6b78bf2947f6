"""Why the connection of a request that was read whole ended without a complete answer."""

import enum


class CutReason(enum.Enum):
    """A reason by its name in counters and logs."""

    CLIENT_LEFT = "clientLeft"
    CLIENT_STALLED = "clientStalled"
    CLIENT_FAULT = "clientFault"
    WORKER_BROKE_OFF = "workerBrokeOff"
    DEADLINE = "deadline"
    END_OF_WORK = "endOfWork"
    HANDLER_FAILED = "handlerFailed"
    UNANSWERED = "unanswered"

    def is_excused(self) -> bool:
        """Whether the end was due to others, or to the end of the time for a request that was taken early enough."""
        return self not in (CutReason.HANDLER_FAILED, CutReason.UNANSWERED)

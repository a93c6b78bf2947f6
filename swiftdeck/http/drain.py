"""Graceful shutdown of a server, in phases that end by the clock alone."""

import asyncio
import enum
import math

import attrs

ADMISSION_SHARE, ADMISSION_LIMIT_S = 1 / 3, 2.6
"""Requests are admitted for this share of the grace period, and no longer than the limit."""
WORK_SHARE = 31 / 36
"""The share of the grace period for work on requests: up to its last sixth plus a sixth of that."""


class Phase(enum.Enum):
    """What a server does with a request that it receives now."""

    SERVING = "serving"
    """It is admitted, and its connection is kept open."""
    DRAINING = "draining"
    """It is admitted, and its response closes the connection."""
    REFUSING = "refusing"
    """It is refused at once, with the guarantee that it has not run; admitted requests go on."""
    CLOSED = "closed"
    """No time is left to work on any request: those still open get their final response."""


@attrs.frozen
class DrainTimes:
    """How long requests are admitted and worked on, in seconds from the start of the drain."""

    admission_s: float
    work_s: float

    @classmethod
    def within(cls, grace_s: float):
        """Return the times of a process that is killed `grace_s` after it is told to stop."""
        return cls(min(ADMISSION_LIMIT_S, grace_s * ADMISSION_SHARE), grace_s * WORK_SHARE)

    @property
    def after_work_s(self) -> float:
        """The rest of the grace period after the end of the work, in seconds."""
        return self.work_s * (1 / WORK_SHARE - 1)


class Drain:
    """The phase of a server, computed from the current time.

    A process that resumes late, after a freeze or a long task, is therefore in the correct phase.
    """

    def __init__(self, times: DrainTimes):
        self.times = times
        self.admission_end_s = self.work_end_s = math.inf

    def begin(self, now_s: float):
        """Start the drain; further calls change nothing."""
        if not self.has_begun():
            self.admission_end_s = now_s + self.times.admission_s
            self.work_end_s = now_s + self.times.work_s

    def has_begun(self) -> bool:
        """Return whether the drain has begun."""
        return self.work_end_s < math.inf

    def admits(self, now_s: float) -> bool:
        """Return whether a request received at `now_s` is admitted."""
        return now_s < self.admission_end_s

    def phase(self, now_s: float) -> Phase:
        """Return the phase at a time."""
        if not self.has_begun():
            return Phase.SERVING
        if self.admits(now_s):
            return Phase.DRAINING
        return Phase.REFUSING if now_s < self.work_end_s else Phase.CLOSED


class OpenRequests:
    """The requests that a server works on, each of which can be interrupted for a final response.

    All are interrupted at the end of the work. `timeouts` has the timeout of each by its owner, any
    object that identifies the request.
    """

    def __init__(self, drain: Drain):
        self.drain = drain
        self.timeouts: dict[object, asyncio.Timeout] = {}

    def __len__(self):
        return len(self.timeouts)

    def begin_drain(self, now_s: float):
        """Start the drain, for requests that are open and for those still to come."""
        self.drain.begin(now_s)
        for owner in self.timeouts:
            self._end_at(owner, self.drain.work_end_s)

    def interrupt(self, owner):
        """End the work on one request now, so that it gets its final response."""
        if owner in self.timeouts:
            self._end_at(owner, asyncio.get_running_loop().time())

    def _end_at(self, owner, end_s: float):
        timeout = self.timeouts[owner]
        if not timeout.expired():
            timeout.reschedule(end_s)

    async def run(self, work, respond_finally, owner=None):
        """Await `work()` and return its result.

        Where it is interrupted, or runs up to the end of the work, it is cancelled, and the result
        of `respond_finally()` is returned instead.
        """
        owner = object() if owner is None else owner
        timeout = asyncio.timeout_at(self.drain.work_end_s if self.drain.has_begun() else None)
        self.timeouts[owner] = timeout
        try:
            async with timeout:
                return await work()
        except TimeoutError:
            if not timeout.expired():
                raise
            return await respond_finally()
        finally:
            del self.timeouts[owner]

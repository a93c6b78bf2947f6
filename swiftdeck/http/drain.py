"""How a server that is told to stop takes itself out of service: phases that the clock alone ends."""

import asyncio
import enum
import math

import attrs

ADMISSION_SHARE, ADMISSION_MOST_S = 1 / 3, 2.6
WORK_SHARE = 31 / 36
"""Requests are worked on into the last sixth of the time that a process is given, and a sixth of that sixth longer."""


class Phase(enum.Enum):
    """What a server does with a request that it reads now."""

    SERVING = "serving"
    """It is taken, and its connection is kept."""
    DRAINING = "draining"
    """It is taken, and its answer closes the connection."""
    REFUSING = "refusing"
    """It is refused at once with a promise that it has not run; what was taken before goes on."""
    CLOSED = "closed"
    """There is no time left to work on anything: what is open gets its final answer."""


@attrs.frozen
class DrainTimes:
    """How long requests are taken, and how long they are worked on, in seconds after the order to stop."""

    admission_s: float
    work_s: float

    @classmethod
    def within(cls, grace_s: float):
        """The times of a process that is killed so long after it is told to stop."""
        return cls(min(ADMISSION_MOST_S, grace_s * ADMISSION_SHARE), grace_s * WORK_SHARE)

    @property
    def after_work_s(self) -> float:
        """What is left, after the work, of the time that these were made from."""
        return self.work_s * (1 / WORK_SHARE - 1)


class Drain:
    """The phase of a server; one that wakes late from a freeze or a long task finds itself in the phase that is due."""

    def __init__(self, times: DrainTimes):
        self.times = times
        self.admission_end_s = self.work_end_s = math.inf

    def begin(self, now_s: float):
        """Take the order to stop; a further one changes nothing."""
        if not self.has_begun():
            self.admission_end_s = now_s + self.times.admission_s
            self.work_end_s = now_s + self.times.work_s

    def has_begun(self) -> bool:
        """Whether the order to stop was taken."""
        return self.work_end_s < math.inf

    def admits(self, now_s: float) -> bool:
        """Whether a request that is read now is taken."""
        return now_s < self.admission_end_s

    def phase(self, now_s: float) -> Phase:
        """The phase at a time."""
        if not self.has_begun():
            return Phase.SERVING
        if self.admits(now_s):
            return Phase.DRAINING
        return Phase.REFUSING if now_s < self.work_end_s else Phase.CLOSED


class OpenRequests:
    """The requests that a server works on, each of which may be interrupted to get its final answer.

    All are at the end of the work. `limits` has the timeout of each by its owner, any object that stands for the request.
    """

    def __init__(self, drain: Drain):
        self.drain = drain
        self.limits: dict[object, asyncio.Timeout] = {}

    def __len__(self):
        return len(self.limits)

    def begin_drain(self, now_s: float):
        """Take the order to stop, for what is open and for what still comes."""
        self.drain.begin(now_s)
        for owner in self.limits:
            self._end_at(owner, self.drain.work_end_s)

    def interrupt(self, owner):
        """End the work on one request now, so that it gets its final answer."""
        if owner in self.limits:
            self._end_at(owner, asyncio.get_running_loop().time())

    def _end_at(self, owner, end_s: float):
        limit = self.limits[owner]
        if not limit.expired():
            limit.reschedule(end_s)

    async def run(self, work, give_final_answer, owner=None):
        """Await `work()`; where the work ends before it, or is interrupted, `give_final_answer()` instead."""
        owner = object() if owner is None else owner
        limit = asyncio.timeout_at(self.drain.work_end_s if self.drain.has_begun() else None)
        self.limits[owner] = limit
        try:
            async with limit:
                return await work()
        except TimeoutError:
            if not limit.expired():
                raise
            return await give_final_answer()
        finally:
            del self.limits[owner]

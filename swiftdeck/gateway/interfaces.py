"""What the gateway asks of the manner of speaking of callers, workers, the list and the caches."""

import enum
import typing

import attrs


@attrs.frozen
class Part:
    """One part of a prompt, as its caller names it."""

    name: str
    tokens: int


@attrs.define
class Request:
    """One try of a client: what the gateway needs to know of it; its bytes go through untouched."""

    name: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list
    body: bytes
    key: str
    model: str
    parts: list[Part]
    prompt_tokens: int
    time_left_ms: float
    last_event: str = ""

    def shared(self):
        """The parts before the request's own."""
        return self.parts[:-1]


@attrs.frozen
class UpstreamRequest:
    """What an attempt tells its worker besides the request itself."""

    worker: str
    tenant: str
    time_left_ms: int
    urgency: int
    version: str = ""
    salt: str = ""
    source: str = ""
    target: str = ""
    last_event: str = ""


PROMISES = (408, 421, 429, 503)


class Verdict(enum.Enum):
    """What the head of a worker's answer says."""

    ANSWER = "answer"
    FAILURE = "failure"
    NOT_RUN = "not run"
    ELSEWHERE = "another worker or other weights"
    FOREIGN = "answer to another request"
    BAD = "not an answer of a worker"


@attrs.frozen
class Listed:
    """One worker as the platform's list has it."""

    name: str
    addr: str
    service: str
    zone: str
    slots: int
    draining: bool
    weights: dict[str, int] = attrs.Factory(dict)
    warmup_ms: int = 0


@attrs.frozen
class Kept:
    """One report of a cache: a part that is kept under a salt, or no longer."""

    number: int
    salt: str
    part: str
    tokens: int
    is_kept: bool


@attrs.frozen
class Reports:
    """Reports of one cache since a number."""

    epoch: int
    next_number: int
    lost: bool
    reports: list[Kept]


class CallerDialect(typing.Protocol):
    """How callers speak."""

    def read(self, exchange): ...
    def refusal(self, fault, request): ...


class WorkerDialect(typing.Protocol):
    """How workers are spoken to and how their answers read."""

    def head(self, request: Request, upstream_request: UpstreamRequest) -> list: ...
    def verdict(self, request: Request, status: int, headers: list) -> Verdict: ...
    def passed_on(self, headers: list) -> list: ...
    def version(self, headers: list) -> int | None: ...
    def worker(self, headers: list) -> str: ...
    def versions_in(self, data: bytes) -> int | None: ...


class ListSource(typing.Protocol):
    """Where the list of workers is read; a whole reading, or a fault."""

    async def read(self): ...


class CacheFollower(typing.Protocol):
    """Reads one cache's reports."""

    async def reports(self, since: int, wait_ms: int): ...
    def close(self): ...


class CacheSource(typing.Protocol):
    """Where caches' reports are read."""

    def follower(self, addr: str) -> CacheFollower: ...


class OrderTaker(typing.Protocol):
    """How a worker is told to take new weights, and asked how far it is."""

    async def order(self, addr: str, model: str, version: int, owner: str, fence: int): ...
    async def versions(self, addr: str): ...

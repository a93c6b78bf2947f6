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
class WorkerListing:
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
class CacheReport:
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
    reports: list[CacheReport]


class ClientCodec(typing.Protocol):
    """How requests of clients are read, and refusals written."""

    def read(self, exchange):
        """Return the Request that an exchange brings, or a fault."""

    def refusal(self, fault, request):
        """Return status, headers and body of a final answer of our own."""


class WorkerCodec(typing.Protocol):
    """How requests to workers are written, and their answers read."""

    def head(self, request: Request, upstream_request: UpstreamRequest) -> list:
        """Return the headers of an attempt."""

    def verdict(self, request: Request, status: int, headers: list) -> Verdict:
        """Judge the head of an answer."""

    def passed_on(self, headers: list) -> list:
        """Return the headers of an answer that go to the caller."""

    def version(self, headers: list) -> int | None:
        """Return the version of the weights that an answer names, or None."""

    def worker(self, headers: list) -> str:
        """Return the id of the worker that answered, empty where it names none."""

    def versions_in(self, data: bytes) -> int | None:
        """Return the newest version that events name, or None."""


class ListSource(typing.Protocol):
    """Where the list of workers is read; a whole reading, or a fault."""

    async def read(self):
        """Return all listed workers, or a fault."""


class CacheFollower(typing.Protocol):
    """Reads one cache's reports."""

    async def reports(self, since: int, wait_ms: int):
        """Return the Reports since a number, waiting for some, or a fault."""

    def close(self):
        """Follow no more."""


class CacheSource(typing.Protocol):
    """Where caches' reports are read."""

    def follower(self, addr: str) -> CacheFollower:
        """Return a follower of the cache at an address."""


@attrs.frozen
class WorkerReport:
    """What a worker says of itself, as of a moment ago.

    `order_count` is how many orders it has taken since it started, None where it doesn't say.
    """

    versions: dict[str, int]
    is_busy: bool
    order_count: int | None = None

    def holds(self, model: str, version: int) -> bool:
        """Whether the worker has such weights or newer ones, and no order is under way."""
        return not self.is_busy and self.versions.get(model, 0) >= version


class OrderTaker(typing.Protocol):
    """How a worker is told to take new weights, and asked how far it is."""

    async def order(
        self,
        addr: str,
        model: str,
        version: int,
        owner: str,
        fence: int,
        worker: str = "",
        expected_count: int | None = None,
    ):
        """Tell a worker to take new weights; returns what it answered, or a fault.

        With a worker's name another one refuses, and with an expected count one that has taken more orders than that.
        """

    async def report(self, addr: str):
        """Return the WorkerReport of a worker, or a fault."""

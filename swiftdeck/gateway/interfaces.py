"""Interfaces between the gateway and the platform's protocol: clients, workers, the worker list and caches."""

import enum
import typing

import attrs


@attrs.frozen
class Part:
    """One part of a prompt, as the client names it."""

    name: str
    tokens: int


@attrs.define
class Request:
    """A client's request: what the gateway has to know of it. Its body is forwarded unchanged."""

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
        """Return the parts that other requests may share: all but the last one."""
        return self.parts[:-1]


@attrs.frozen
class UpstreamRequest:
    """What an attempt sends to its worker besides the request itself."""

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
"""Statuses that promise the client that its request did not run."""


class Verdict(enum.Enum):
    """Classification of a worker's answer by its head."""

    ANSWER = "answer"
    FAILURE = "failure"
    NOT_RUN = "not run"
    ELSEWHERE = "another worker or other weights"
    FOREIGN = "answer to another request"
    BAD = "not an answer of a worker"


@attrs.frozen
class WorkerListing:
    """One worker in the platform's worker list."""

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
    """One report of a cache: a part was stored or evicted under a salt."""

    number: int
    salt: str
    part: str
    tokens: int
    is_kept: bool


@attrs.frozen
class Reports:
    """Reports of one cache since a number; `lost` says that earlier ones are missing."""

    epoch: int
    next_number: int
    lost: bool
    reports: list[CacheReport]


class ClientCodec(typing.Protocol):
    """Parses requests of clients and writes error answers."""

    def read(self, exchange):
        """Return the Request of an HTTP exchange, or a fault."""

    def refusal(self, fault, request):
        """Return status, headers and body of the router's own answer for a fault."""


class WorkerCodec(typing.Protocol):
    """Writes the headers of requests to workers and parses those of their answers."""

    def head(self, request: Request, upstream_request: UpstreamRequest) -> list:
        """Return the headers of an attempt."""

    def verdict(self, request: Request, status: int, headers: list) -> Verdict:
        """Classify an answer by its head."""

    def passed_on(self, headers: list) -> list:
        """Return the headers of an answer that are relayed to the client."""

    def version(self, headers: list) -> int | None:
        """Return the version of the weights that an answer names, or None."""

    def worker(self, headers: list) -> str:
        """Return the id of the worker that answered, empty where it names none."""

    def versions_in(self, data: bytes) -> int | None:
        """Return the newest version that events name, or None."""


class ListSource(typing.Protocol):
    """Source of the platform's worker list."""

    async def read(self):
        """Return the complete list of workers, or a fault."""


class CacheFollower(typing.Protocol):
    """Client of one cache's stream of reports."""

    async def reports(self, since: int, wait_ms: int):
        """Return the Reports since a number, waiting up to `wait_ms` for some, or a fault."""

    def close(self):
        """Stop following the cache."""


class CacheSource(typing.Protocol):
    """Creates followers of caches."""

    def follower(self, addr: str) -> CacheFollower:
        """Return a follower of the cache at an address."""


@attrs.frozen
class WorkerReport:
    """State that a worker reports of itself.

    `order_count` is the number of orders it has accepted since it started, None where it doesn't say.
    """

    versions: dict[str, int]
    is_busy: bool
    order_count: int | None = None

    def holds(self, model: str, version: int) -> bool:
        """Return whether the worker has these weights or newer ones, and no order is in progress."""
        return not self.is_busy and self.versions.get(model, 0) >= version


class OrderTaker(typing.Protocol):
    """Orders workers to load new weights and asks for their progress."""

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
        """Order a worker to load new weights; return its answer, or a fault.

        With `worker`, any other worker rejects the order; with `expected_count`, a worker that has accepted more orders does.
        """

    async def report(self, addr: str):
        """Return the WorkerReport of a worker, or a fault."""

"""Messages between gateway routers: places at workers, worker lists, and news."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class PlaceAsk(WireMessage):
    """Asks the router that admits calls to a worker for a place there."""

    router: str = bp.string_field(1)
    call: str = bp.string_field(2)
    episode: str = bp.string_field(3)
    tenant: str = bp.string_field(4)
    worker: str = bp.string_field(5)
    tokens: int = bp.uint32_field(6)
    wait_ms: int = bp.uint32_field(7)
    left_ms: int = bp.uint32_field(8)
    salt: str = bp.string_field(9)
    shared: list[str] = bp.string_field(10)
    sizes: list[int] = bp.uint32_field(11)
    missing: int = bp.uint32_field(12)
    unread_most: int = bp.uint32_field(13)


@message
class PlaceReturn(WireMessage):
    """Answers a request for a place.

    `is_busy` says that the worker has more tokens left to prefill than the request allowed;
    `unread` is how many tokens it had to prefill before this call.
    """

    granted: bool = bp.bool_field(1)
    is_busy: bool = bp.bool_field(2)
    unread: int = bp.uint32_field(3)


@message
class PlaceEnd(WireMessage):
    """Releases a place, or leaves the queue for it."""

    call: str = bp.string_field(1)
    first_event_ms: int = bp.uint32_field(2)


@message
class ListNews(WireMessage):
    """The age of the newest reading of the worker list, with its entries where they changed.

    `body` has all entries, or those that differ from the list with the digest `base`. The `number`
    of a reading is higher than those of all readings that its reader knew of.
    """

    age_ms: int = bp.uint64_field(1)
    digest: bytes = bp.bytes_field(2)
    body: bytes = bp.bytes_field(3)
    base: bytes = bp.bytes_field(4)
    gone: list[str] = bp.string_field(5)
    number: int = bp.uint64_field(6)


@message(kind_name="ListWish")
class FullListAsk(WireMessage):
    """Asks for the whole list, with the digest and newest reading number that the sender has."""

    digest: bytes = bp.bytes_field(1)
    number: int = bp.uint64_field(2)


@message
class WorkerNews(WireMessage):
    """Reports a failing worker, which is to get no calls for `for_ms`."""

    worker: str = bp.string_field(1)
    for_ms: int = bp.uint32_field(2)


@message
class SwapNews(WireMessage):
    """Reports workers that are loading new weights, or have loaded them."""

    workers: list[str] = bp.string_field(1)
    model: str = bp.string_field(2)
    version: int = bp.uint64_field(3)
    for_ms: int = bp.uint32_field(4)


@message
class KeptNews(WireMessage):
    """Reports prompt parts that a worker or a store has cached or evicted (`tokens` is 0).

    `forget` first discards what was known of the holder; `is_expected` marks parts that are only
    expected to be cached soon.
    """

    holder: str = bp.string_field(1)
    forget: bool = bp.bool_field(2)
    salts: list[str] = bp.string_field(3)
    parts: list[str] = bp.string_field(4)
    tokens: list[int] = bp.uint32_field(5)
    is_expected: bool = bp.bool_field(6)
    is_down: bool = bp.bool_field(7)


@message
class LoadNews(WireMessage):
    """The prefill backlog of a worker."""

    worker: str = bp.string_field(1)
    backlog: int = bp.uint32_field(2)
    running: int = bp.uint32_field(3)
    tokens_per_s: int = bp.uint32_field(4)


@message
class Section(WireMessage):
    """The news of one router for all others."""

    origin: str = bp.string_field(1)
    loads: list[LoadNews] = bp.message_field(2)
    kept: list[KeptNews] = bp.message_field(3)
    troubles: list[WorkerNews] = bp.message_field(4)


@message
class Bulletin(WireMessage):
    """News of several routers; `reach` says to whom the receiver forwards it."""

    sections: list[Section] = bp.message_field(1)
    reach: int = bp.uint32_field(2)

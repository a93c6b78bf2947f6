"""Messages between the platform's routers: places, lists, news."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class PlaceAsk(WireMessage):
    """Asks the owner of a worker's book for a place."""

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
    """What came of the question for a place.

    `is_busy` says that the worker has more to read than the question allowed, `unread` how many
    tokens it had to read before this call.
    """

    granted: bool = bp.bool_field(1)
    is_busy: bool = bp.bool_field(2)
    unread: int = bp.uint32_field(3)


@message
class PlaceEnd(WireMessage):
    """Gives a place back, or leaves the line for it."""

    call: str = bp.string_field(1)
    first_event_ms: int = bp.uint32_field(2)


@message
class ListNews(WireMessage):
    """How old the newest reading of the list is, with its entries where they changed.

    A body has all entries, or those that differ from a base.

    Each reading has a number above those of all readings that its reader knew of.
    """

    age_ms: int = bp.uint64_field(1)
    digest: bytes = bp.bytes_field(2)
    body: bytes = bp.bytes_field(3)
    base: bytes = bp.bytes_field(4)
    gone: list[str] = bp.string_field(5)
    number: int = bp.uint64_field(6)


@message(kind_name="ListWish")
class FullListAsk(WireMessage):
    """The list and the newest reading's number that a router holds; it wants another list whole."""

    digest: bytes = bp.bytes_field(1)
    number: int = bp.uint64_field(2)


@message
class WorkerNews(WireMessage):
    """A worker fails: it is to be left alone for a while."""

    worker: str = bp.string_field(1)
    for_ms: int = bp.uint32_field(2)


@message
class SwapNews(WireMessage):
    """Workers take new weights, or have taken them."""

    workers: list[str] = bp.string_field(1)
    model: str = bp.string_field(2)
    version: int = bp.uint64_field(3)
    for_ms: int = bp.uint32_field(4)


@message
class KeptNews(WireMessage):
    """What a worker or a store keeps, or has forgotten."""

    holder: str = bp.string_field(1)
    forget: bool = bp.bool_field(2)
    salts: list[str] = bp.string_field(3)
    parts: list[str] = bp.string_field(4)
    tokens: list[int] = bp.uint32_field(5)
    is_expected: bool = bp.bool_field(6)
    is_down: bool = bp.bool_field(7)


@message
class LoadNews(WireMessage):
    """How much is to be read at a worker."""

    worker: str = bp.string_field(1)
    backlog: int = bp.uint32_field(2)
    running: int = bp.uint32_field(3)
    tokens_per_s: int = bp.uint32_field(4)


@message
class Section(WireMessage):
    """What one router wants all others to know."""

    origin: str = bp.string_field(1)
    loads: list[LoadNews] = bp.message_field(2)
    kept: list[KeptNews] = bp.message_field(3)
    troubles: list[WorkerNews] = bp.message_field(4)


@message
class Bulletin(WireMessage):
    """What routers want all others to know; `reach` says whom the one that hears it is to tell."""

    sections: list[Section] = bp.message_field(1)
    reach: int = bp.uint32_field(2)

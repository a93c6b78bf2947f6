"""Messages of admission: grants of worker slots, and the list of workers."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class ListAsk(WireMessage):
    """Asks a router for its list of workers."""


@message
class ListReturn(WireMessage):
    """A list of workers and its age."""

    age_ms: int = bp.uint64_field(1)
    body: bytes = bp.bytes_field(2)


@message
class GrantAsk(WireMessage):
    """Asks the coordinator of a model to place an attempt at a worker."""

    router: str = bp.string_field(1)
    call: str = bp.string_field(2)
    attempt: int = bp.uint32_field(3)
    tenant: str = bp.string_field(4)
    model: str = bp.string_field(5)
    group: str = bp.string_field(6)
    chain: list[bytes] = bp.bytes_field(7)
    weights: str = bp.string_field(8)
    wait_ms: int = bp.uint32_field(9)
    avoid: list[str] = bp.string_field(10)
    conversation: str = bp.string_field(11)
    waited_ms: int = bp.uint64_field(12)
    size: int = bp.uint64_field(13)
    was_granted: bool = bp.bool_field(14)
    talk: list[bytes] = bp.bytes_field(15)


@message
class GrantReturn(WireMessage):
    """The worker that an attempt was granted."""

    term: int = bp.uint64_field(1)
    worker: str = bp.string_field(2)
    url: str = bp.string_field(3)
    conversation: str = bp.string_field(4)
    is_start: bool = bp.bool_field(5)
    fetch_from: str = bp.string_field(6)
    fetch_ms: int = bp.uint32_field(8)
    waited_ms: int = bp.uint32_field(9)
    earlier: int = bp.uint32_field(10)


@message
class AttemptEnd(WireMessage):
    """Reports the end of an attempt."""

    router: str = bp.string_field(1)
    call: str = bp.string_field(2)
    attempt: int = bp.uint32_field(3)
    conversation: str = bp.string_field(4)
    model: str = bp.string_field(5)
    is_over: bool = bp.bool_field(6)
    hits: int = bp.uint32_field(7)
    parts: int = bp.uint32_field(8)
    never_sent: bool = bp.bool_field(9)
    is_bad: bool = bp.bool_field(10)
    slow_from: str = bp.string_field(11)
    earlier: int = bp.uint32_field(12)


@message
class GrantDrop(WireMessage):
    """Withdraws a queued call that was abandoned."""

    router: str = bp.string_field(1)
    call: str = bp.string_field(2)
    model: str = bp.string_field(3)


@message
class OpenConversation(WireMessage):
    """A conversation that a router serves or served."""

    conversation: str = bp.string_field(1)
    tenant: str = bp.string_field(2)
    group: str = bp.string_field(3)
    worker: str = bp.string_field(4)
    last: bytes = bp.bytes_field(5)
    parts: int = bp.uint32_field(6)
    call: str = bp.string_field(7)
    idle_ms: int = bp.uint64_field(8)
    weights: str = bp.string_field(9)
    attempt: int = bp.uint32_field(10)
    turns: int = bp.uint32_field(11)
    is_sent: bool = bp.bool_field(12)


@message
class OpenAsk(WireMessage):
    """Asks a router, for a new coordinator, which conversations are open there."""

    term: int = bp.uint64_field(1)
    model: str = bp.string_field(2)
    keeper: str = bp.string_field(3)


@message
class OpenReturn(WireMessage):
    """The conversations open at a router."""

    conversations: list[OpenConversation] = bp.message_field(1)


@message(kind_name="Hold")
class CallRenewal(WireMessage):
    """Calls that a router runs, and when it last heard the coordinator, by the latter's clock."""

    router: str = bp.string_field(1)
    model: str = bp.string_field(2)
    calls: list[str] = bp.string_field(3)
    term: int = bp.uint64_field(4)
    heard_ms: int = bp.uint64_field(5)


@message(kind_name="HoldReturn")
class CallRenewalReturn(WireMessage):
    """The calls the coordinator doesn't know, and when it responded, by its own clock."""

    lost: list[str] = bp.string_field(1)
    stamp_ms: int = bp.uint64_field(2)

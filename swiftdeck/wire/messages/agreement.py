"""Messages by which the cores agree on views."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class CoreRef(WireMessage):
    """A core: the identity stored on its disk, and its address."""

    core_id: str = bp.string_field(1)
    addr: str = bp.string_field(2)


@message
class View(WireMessage):
    """The members of the chain in order, and the cores that vote on the next view."""

    number: int = bp.uint64_field(1)
    members: list[CoreRef] = bp.message_field(2)
    voters: list[CoreRef] = bp.message_field(3)


@message
class Prepare(WireMessage):
    """First phase of a ballot on the view with the number `slot`."""

    slot: int = bp.uint64_field(1)
    ballot: int = bp.uint64_field(2)
    core_id: str = bp.string_field(3)


@message
class Promise(WireMessage):
    """A voter's response to the first phase."""

    granted: bool = bp.bool_field(1)
    ballot: int = bp.uint64_field(2)
    accepted_ballot: int = bp.uint64_field(3)
    accepted: View = bp.message_field(4)
    decided: View = bp.message_field(5)
    core_id: str = bp.string_field(6)
    left_ms: int = bp.uint32_field(7)


@message
class Accept(WireMessage):
    """Second phase of a ballot: the view to accept."""

    slot: int = bp.uint64_field(1)
    ballot: int = bp.uint64_field(2)
    view: View = bp.message_field(3)


@message
class Decided(WireMessage):
    """Announces a view that was agreed on."""

    view: View = bp.message_field(1)
    is_timed: bool = bp.bool_field(2)
    wait_ms: int = bp.uint32_field(3)


@message
class ViewAsk(WireMessage):
    """Asks a core for the view that it knows and for its own state."""

    core_id: str = bp.string_field(1)
    addr: str = bp.string_field(2)


@message
class ViewReturn(WireMessage):
    """A core's view, its own state, and the cores that it hears from."""

    view: View = bp.message_field(1)
    core_id: str = bp.string_field(2)
    fresh: bool = bp.bool_field(3)
    fault: str = bp.string_field(4)
    may_found: bool = bp.bool_field(5)
    is_partial: bool = bp.bool_field(6)
    hears: list[str] = bp.string_field(7)


@message
class ViewLeaseAsk(WireMessage):
    """Asks a voter for the lease of a view's member, or releases it."""

    number: int = bp.uint64_field(1)
    core_id: str = bp.string_field(2)
    hand_back: bool = bp.bool_field(3)
    token: int = bp.uint64_field(4)


@message
class ViewLeaseReturn(WireMessage):
    """Says whether a voter grants the lease."""

    granted: bool = bp.bool_field(1)
    decided: View = bp.message_field(2)

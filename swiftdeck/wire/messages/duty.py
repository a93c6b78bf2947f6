"""Messages for the election of the one process that holds a duty."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class Nominate(WireMessage):
    """Asks for a vote for a candidate for a duty, or releases the vote."""

    view: int = bp.uint64_field(7)
    duty: str = bp.string_field(1)
    term: int = bp.uint64_field(2)
    holder: str = bp.string_field(3)
    addr: str = bp.string_field(4)
    lease_ms: int = bp.uint32_field(5)
    release: bool = bp.bool_field(6)


@message
class Vote(WireMessage):
    """Says whether a voter grants a duty, or else who holds it."""

    granted: bool = bp.bool_field(1)
    term: int = bp.uint64_field(2)
    holder: str = bp.string_field(3)
    addr: str = bp.string_field(4)
    left_ms: int = bp.uint32_field(5)

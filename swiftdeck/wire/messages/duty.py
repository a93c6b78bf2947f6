"""Messages by which a duty is given to one process."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class Nominate(WireMessage):
    """A candidate for a duty asks for a vote, or gives it back."""

    view: int = bp.uint64_field(7)
    duty: str = bp.string_field(1)
    term: int = bp.uint64_field(2)
    holder: str = bp.string_field(3)
    addr: str = bp.string_field(4)
    lease_ms: int = bp.uint32_field(5)
    release: bool = bp.bool_field(6)


@message
class Vote(WireMessage):
    """Whether a voter grants a duty, and who has it otherwise."""

    granted: bool = bp.bool_field(1)
    term: int = bp.uint64_field(2)
    holder: str = bp.string_field(3)
    addr: str = bp.string_field(4)
    left_ms: int = bp.uint32_field(5)

"""Returns that belong to no one kind of question."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class FaultReturn(WireMessage):
    """A fault in place of a return; see `fault.py` for the codes."""

    code: int = bp.uint32_field(1)
    reason: str = bp.string_field(2)
    retry_ms: int = bp.uint32_field(3)


@message
class Done(WireMessage):
    """A return without anything to say but that it was done, or how much."""

    count: int = bp.uint64_field(1)

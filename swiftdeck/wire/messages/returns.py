"""Responses that are shared by all kinds of requests."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class FaultReturn(WireMessage):
    """Carries a fault instead of a regular response; `fault.py` has the codes."""

    code: int = bp.uint32_field(1)
    reason: str = bp.string_field(2)
    retry_ms: int = bp.uint32_field(3)


@message
class Done(WireMessage):
    """Confirms a request, with a count where one applies."""

    count: int = bp.uint64_field(1)

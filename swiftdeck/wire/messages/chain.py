"""Messages of the chain: writes, copies of the state, members that come and go."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class ChainEntry(WireMessage):
    """One entry of the log by its serial number."""

    serial: int = bp.uint64_field(1)
    body: bytes = bp.bytes_field(2)


@message(kind_name="Pass")
class ReplicateAsk(WireMessage):
    """Entries for the next member of the chain."""

    view: int = bp.uint64_field(1)
    entries: list[ChainEntry] = bp.message_field(2)
    last: int = bp.uint64_field(3)
    must_copy: bool = bp.bool_field(4)


@message(kind_name="PassReturn")
class ReplicateReturn(WireMessage):
    """The last entry that a member has on its disk."""

    last: int = bp.uint64_field(1)


@message
class JoinAsk(WireMessage):
    """A core asks to be taken into the chain."""

    core_id: str = bp.string_field(1)
    addr: str = bp.string_field(2)
    view: int = bp.uint64_field(3)


@message
class LogAsk(WireMessage):
    """Asks a member for its log from a serial number on."""

    serial: int = bp.uint64_field(1)
    view: int = bp.uint64_field(2)


@message
class LogReturn(WireMessage):
    """Entries of a member's log."""

    entries: list[ChainEntry] = bp.message_field(1)
    last: int = bp.uint64_field(2)


@message
class LeaveAsk(WireMessage):
    """A member without a vote asks for a view without it."""

    core_id: str = bp.string_field(1)
    view: int = bp.uint64_field(2)


@message
class CopyAsk(WireMessage):
    """Asks a member for a piece of its state."""

    core_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    offset: int = bp.uint64_field(3)
    most: int = bp.uint32_field(4)


@message
class CopyReturn(WireMessage):
    """A piece of a snapshot of a member's state."""

    serial: int = bp.uint64_field(1)
    state: bytes = bp.bytes_field(2)
    view: int = bp.uint64_field(3)
    digest: bytes = bp.bytes_field(4)
    size: int = bp.uint64_field(5)


@message
class Write(WireMessage):
    """A change for the head of the chain."""

    change_id: str = bp.string_field(1)
    body: bytes = bp.bytes_field(2)


@message
class WriteReturn(WireMessage):
    """The entry that a change became."""

    serial: int = bp.uint64_field(1)
    view: int = bp.uint64_field(2)


@message
class OutcomeAsk(WireMessage):
    """Asks the tail what became of a change."""

    change_id: str = bp.string_field(1)
    wait_ms: int = bp.uint32_field(2)


@message
class OutcomeReturn(WireMessage):
    """What became of a change."""

    code: int = bp.uint32_field(1)
    reason: str = bp.string_field(2)
    version: int = bp.uint64_field(3)
    results: list[str] = bp.string_field(4)


@message
class CommitAsk(WireMessage):
    """Asks the tail whether it has all entries up to a serial number."""

    view: int = bp.uint64_field(1)
    serial: int = bp.uint64_field(2)
    wait_ms: int = bp.uint32_field(3)

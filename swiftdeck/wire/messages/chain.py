"""Messages of the replication chain: writes, state transfer, joining and leaving members."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class ChainEntry(WireMessage):
    """An entry of the log, with its serial number."""

    serial: int = bp.uint64_field(1)
    body: bytes = bp.bytes_field(2)


@message(kind_name="Pass")
class ReplicateAsk(WireMessage):
    """Replicates entries to the next member of the chain."""

    view: int = bp.uint64_field(1)
    entries: list[ChainEntry] = bp.message_field(2)
    last: int = bp.uint64_field(3)
    must_copy: bool = bp.bool_field(4)


@message(kind_name="PassReturn")
class ReplicateReturn(WireMessage):
    """The serial number of the last entry on a member's disk."""

    last: int = bp.uint64_field(1)


@message
class JoinAsk(WireMessage):
    """Asks for a core to be added to the chain."""

    core_id: str = bp.string_field(1)
    addr: str = bp.string_field(2)
    view: int = bp.uint64_field(3)


@message
class LogAsk(WireMessage):
    """Asks a member for its log, starting at a serial number."""

    serial: int = bp.uint64_field(1)
    view: int = bp.uint64_field(2)


@message
class LogReturn(WireMessage):
    """Entries of a member's log."""

    entries: list[ChainEntry] = bp.message_field(1)
    last: int = bp.uint64_field(2)


@message
class LeaveAsk(WireMessage):
    """Asks, on behalf of a member without a vote, for a view that excludes it."""

    core_id: str = bp.string_field(1)
    view: int = bp.uint64_field(2)


@message
class CopyAsk(WireMessage):
    """Asks a member for a piece of its state, up to `most` bytes from `offset`."""

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
    """Submits a change to the head of the chain."""

    change_id: str = bp.string_field(1)
    body: bytes = bp.bytes_field(2)


@message
class WriteReturn(WireMessage):
    """The serial number and the view under which a change was logged."""

    serial: int = bp.uint64_field(1)
    view: int = bp.uint64_field(2)


@message
class OutcomeAsk(WireMessage):
    """Asks the tail for the outcome of a change."""

    change_id: str = bp.string_field(1)
    wait_ms: int = bp.uint32_field(2)


@message
class OutcomeReturn(WireMessage):
    """The outcome of a change."""

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

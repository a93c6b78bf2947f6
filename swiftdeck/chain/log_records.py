"""The records of a member's log on disk."""

import msgspec


class Begin(msgspec.Struct, tag_field="k", tag="begin", frozen=True):
    """The first record of a core that knows no view yet; a log without any record is a lost file."""


class State(msgspec.Struct, tag_field="k", tag="state", frozen=True):
    """The whole state up to a serial; a partial one was copied while changes went on."""

    serial: int = msgspec.field(name="n")
    data: bytes = msgspec.field(name="state")
    is_partial: bool = msgspec.field(name="partial", default=False)


class Entry(msgspec.Struct, tag_field="k", tag="e", frozen=True):
    """One entry of the chain."""

    serial: int = msgspec.field(name="n")
    body: bytes = msgspec.field(name="b")


class Complete(msgspec.Struct, tag_field="k", tag="complete", frozen=True):
    """From here on this member has all committed entries, or gets them by replication."""


class CompleteIn(msgspec.Struct, tag_field="k", tag="complete-in", frozen=True):
    """The copy here is complete if the view with exactly this number has this core as a member.

    It was copied in the previous view, which was too small to acknowledge anything.
    """

    view: int


Record = Begin | State | Entry | Complete | CompleteIn


def read(records: list[dict]) -> list[Record]:
    """Convert the records of a log; raise `msgspec.ValidationError` if one has no known form."""
    return msgspec.convert(records, list[Record])

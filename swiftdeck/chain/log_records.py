"""The records of a member's log, as they stand on its disk."""

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
    """From here on this member has, or is passed, all that is committed."""


class CompleteIn(msgspec.Struct, tag_field="k", tag="complete-in", frozen=True):
    """The copy here is complete if the view of this very number has this core as a member.

    It was made of the view before, which was too small to acknowledge anything.
    """

    view: int


Record = Begin | State | Entry | Complete | CompleteIn


def read(records: list[dict]) -> list[Record]:
    """The records of a log; a `msgspec.ValidationError` where one is of no known form."""
    return msgspec.convert(records, list[Record])

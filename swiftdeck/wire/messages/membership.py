"""Messages of the membership and of news that spread through the fleet."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class Member(WireMessage):
    """A process of the fleet: one life of it, and what is thought of it."""

    addr: str = bp.string_field(1)
    name: str = bp.string_field(2)
    role: str = bp.string_field(3)
    zone: str = bp.string_field(4)
    http_addr: str = bp.string_field(5)
    incarnation: int = bp.uint64_field(6)
    refuted: int = bp.uint32_field(7)
    state: int = bp.uint32_field(8)
    core_id: str = bp.string_field(9)


@message
class Probe(WireMessage):
    """Asks a process whether it lives, or another one to find out."""

    sender: Member = bp.message_field(1)
    target: str = bp.string_field(2)
    serial: int = bp.uint64_field(3)
    about: list[Member] = bp.message_field(4)


@message
class ProbeReturn(WireMessage):
    """The answer to a probe, with the probe's number."""

    sender: Member = bp.message_field(1)
    target: str = bp.string_field(2)
    serial: int = bp.uint64_field(3)
    about: list[Member] = bp.message_field(4)


@message
class MemberList(WireMessage):
    """What a process knows of others, and its digest.

    One that is told is answered only where the digest differs.
    """

    members: list[Member] = bp.message_field(1)
    digest: int = bp.uint64_field(2)
    is_told: bool = bp.bool_field(3)


@message
class NewsItem(WireMessage):
    """One item of news; of two with one key the higher stamp stands."""

    key: str = bp.string_field(1)
    stamp: int = bp.uint64_field(2)
    body: bytes = bp.bytes_field(3)


@message
class News(WireMessage):
    """Items of news that the sender has taken in."""

    items: list[NewsItem] = bp.message_field(1)


@message
class NewsDigest(WireMessage):
    """The keys and stamps of all items that the sender has."""

    keys: list[str] = bp.string_field(1)
    stamps: list[int] = bp.uint64_field(2)

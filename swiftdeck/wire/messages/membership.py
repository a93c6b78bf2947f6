"""Messages of the fleet membership and of the gossip of news."""

import betterproto as bp

from swiftdeck.wire.messages.base import WireMessage, message


@message
class Member(WireMessage):
    """One incarnation of a process, and the state that the sender ascribes to it.

    `refuted` is a counter that the process raises to refute a report that it is suspected or gone;
    `state` is ALIVE, SUSPECT or GONE of `member/membership.py`.
    """

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
    """Asks a process whether it is alive, or to probe another one (`target`) for the sender."""

    sender: Member = bp.message_field(1)
    target: str = bp.string_field(2)
    serial: int = bp.uint64_field(3)
    about: list[Member] = bp.message_field(4)


@message
class ProbeReturn(WireMessage):
    """Answers a probe, with the serial number of that probe."""

    sender: Member = bp.message_field(1)
    target: str = bp.string_field(2)
    serial: int = bp.uint64_field(3)
    about: list[Member] = bp.message_field(4)


@message
class MemberList(WireMessage):
    """Members that a process knows, and the digest of its table.

    A one-way list (`is_told`) is answered only where the digests differ.
    """

    members: list[Member] = bp.message_field(1)
    digest: int = bp.uint64_field(2)
    is_told: bool = bp.bool_field(3)


@message
class NewsItem(WireMessage):
    """An item of news; of two with the same key the one with the higher stamp is valid."""

    key: str = bp.string_field(1)
    stamp: int = bp.uint64_field(2)
    body: bytes = bp.bytes_field(3)


@message
class News(WireMessage):
    """Items of news that were new to the sender."""

    items: list[NewsItem] = bp.message_field(1)


@message
class NewsDigest(WireMessage):
    """The keys and stamps of all items that the sender has."""

    keys: list[str] = bp.string_field(1)
    stamps: list[int] = bp.uint64_field(2)

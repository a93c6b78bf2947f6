"""Limits on what the links of a process may take of it."""

import attrs

from swiftdeck.runtime.descriptors import (
    MOST_ACCEPTS_PER_TURN,
    accepts_per_turn,
    shared_handles,
)
from swiftdeck.runtime.memory_pool import MEBIBYTE

PARTIAL_FRAMES_SHARE = 0.1
"""The share of the memory of a process that frames may take which have not arrived whole."""
HANDLED_MESSAGES_SHARE = 0.1
"""The share of the memory that messages may take whose handlers wait."""
UNREAD_MESSAGES_SHARE = 0.15
"""The share of the memory that sent messages may take which their receivers have not read."""
FREE_MESSAGE_BYTES = 4096
"""The size up to which a message needs no reservation while its handler waits."""
LINKS_PER_MB, LINKS_SHARE = 6, 0.5
"""How many links others may open, by memory and as a share of the shared descriptors."""


@attrs.frozen
class MeshLimits:
    """Limits of the links of one process, for all of them together.

    `partial_frame_bytes` is the memory for frames that have not arrived whole; a frame can't be
    larger than that. `handled_message_bytes` is the memory for received messages whose handlers
    wait, `unread_message_bytes` that for sent ones which their receivers have not read. `handlers`
    is how many handlers may wait, `link_handlers` how many for the messages of one link; of each
    link a few may always. `links` is how many links others may open, `accepts_per_turn` how many of
    them are accepted in one turn of the loop.
    """

    partial_frame_bytes: int = 64 * MEBIBYTE
    handled_message_bytes: int = 64 * MEBIBYTE
    unread_message_bytes: int = 128 * MEBIBYTE
    handlers: int = 4096
    link_handlers: int = 1024
    link_handlers_kept: int = 4
    links: int = 4096
    accepts_per_turn: int = MOST_ACCEPTS_PER_TURN

    @classmethod
    def within(cls, memory_mb: int, file_handles: int):
        """Return the limits of a process that may use so much memory and so many descriptors."""
        handles = int(shared_handles(file_handles) * LINKS_SHARE)
        return cls(
            partial_frame_bytes=int(memory_mb * PARTIAL_FRAMES_SHARE * MEBIBYTE),
            handled_message_bytes=int(memory_mb * HANDLED_MESSAGES_SHARE * MEBIBYTE),
            unread_message_bytes=int(memory_mb * UNREAD_MESSAGES_SHARE * MEBIBYTE),
            links=min(memory_mb * LINKS_PER_MB, handles),
            accepts_per_turn=accepts_per_turn(file_handles),
        )

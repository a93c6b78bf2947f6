"""Divides the descriptors of a process among what opens them."""

from swiftdeck.runtime.listeners import BACKLOG

RESERVED_HANDLES = 200
"""Descriptors of a process that are not for connections which others open."""
MOST_ACCEPTS_PER_TURN, LEAST_ACCEPTS_PER_TURN = BACKLOG, 8
ACCEPTS_SHARE = 1 / 16
"""How many connections a server accepts in a turn of the loop, as a share of these descriptors."""


def shared_handles(file_handles: int) -> int:
    """Return how many of the descriptors of a process are for connections that others open."""
    return file_handles - RESERVED_HANDLES


def accepts_per_turn(file_handles: int) -> int:
    """Return how many connections a server accepts in one turn of the loop.

    These are open beyond all limits until the next turn, in which others end for them.
    """
    accepts = int(shared_handles(file_handles) * ACCEPTS_SHARE)
    return min(max(accepts, LEAST_ACCEPTS_PER_TURN), MOST_ACCEPTS_PER_TURN)

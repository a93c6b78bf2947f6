"""Limits on what the clients of an HTTP server may take of its process."""

import attrs

from swiftdeck.runtime.descriptors import (
    MOST_ACCEPTS_PER_TURN,
    accepts_per_turn,
    shared_handles,
)
from swiftdeck.runtime.memory_pool import MEBIBYTE

BODY_MEMORY_SHARE = 0.2
"""The share of the memory of a process that large request bodies may take."""
LARGEST_BODY_SHARE = 0.5
"""The share of the memory that a single body may take with its copies, where it is allowed to."""
BODY_COPIES = 2
"""How often a body is in memory while it is passed on."""
CONNECTIONS_PER_MB = 1
CONNECTIONS_SHARE = 0.25
"""The share of the shared descriptors that the connections of clients may take."""
STALLED_SHARE = 0.25
"""The share of the connections whose clients may leave their responses unread at the same time."""
ENDING_SHARE = 0.25
"""How many connections may end at the same time in favour of others, as a share of the connections."""
RECEIVE_BUFFER_BYTES = 65536
"""How much the kernel keeps of what a client has sent and was not read yet."""
OPERATIONS_BODY_BYTES, OPERATIONS_CONNECTIONS = 65536, 32
OPERATIONS_MEMORY_BYTES = 8 * MEBIBYTE
"""The limits of a server whose requests have no body and come from few clients."""


@attrs.frozen
class ServerLimits:
    """Limits of one server, for all of its clients together.

    `body_memory_bytes` is the memory for large request bodies, counted with the copies that are
    made of them; it grows for a single body that takes more, of `largest_body_bytes` at the most.
    `stalled_connections` is how many clients may leave their responses unread at the same time.
    `ending_connections` is how many may stay open beyond `connections` until they have ended.
    `accepts_per_turn` is how many new ones are accepted in one turn of the loop.
    """

    body_memory_bytes: int = 256 * MEBIBYTE
    largest_body_bytes: int = 128 * MEBIBYTE
    connections: int = 4096
    stalled_connections: int = 1024
    ending_connections: int = 1024
    accepts_per_turn: int = MOST_ACCEPTS_PER_TURN

    def memory_for_bodies_of(self, size: int) -> int:
        """Return the memory for bodies of up to a size: the usual, or as much as one of them takes."""
        return max(self.body_memory_bytes, BODY_COPIES * size)

    @classmethod
    def within(cls, memory_mb: int, file_handles: int):
        """Return the limits of a process that may use so much memory and so many descriptors."""
        return cls(
            body_memory_bytes=int(memory_mb * BODY_MEMORY_SHARE * MEBIBYTE),
            largest_body_bytes=int(memory_mb * LARGEST_BODY_SHARE * MEBIBYTE) // BODY_COPIES,
            **_connection_limits(memory_mb * CONNECTIONS_PER_MB, file_handles),
        )

    @classmethod
    def of_operations(cls, file_handles: int):
        """Return the limits of a server for readiness and status alone."""
        return cls(
            body_memory_bytes=OPERATIONS_MEMORY_BYTES,
            largest_body_bytes=OPERATIONS_BODY_BYTES,
            **_connection_limits(OPERATIONS_CONNECTIONS, file_handles),
        )


def _connection_limits(most: int, file_handles: int) -> dict[str, int]:
    """Return the limits on connections by name, with `most` of them at the most."""
    connections = min(most, int(shared_handles(file_handles) * CONNECTIONS_SHARE))
    return {
        "connections": connections,
        "stalled_connections": max(1, int(connections * STALLED_SHARE)),
        "ending_connections": max(1, int(connections * ENDING_SHARE)),
        "accepts_per_turn": accepts_per_turn(file_handles),
    }

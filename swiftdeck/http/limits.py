"""Limits on what the clients of an HTTP server may take of its process."""

import attrs

MEBIBYTE = 1 << 20
BODY_MEMORY_SHARE = 0.2
"""The share of the memory of a process that large request bodies may take."""
BODY_COPIES = 2
"""How often a body is in memory while it is passed on."""
OPERATIONS_BODY_BYTES = 65536
"""The largest body that a server takes whose requests have none."""


@attrs.frozen
class ServerLimits:
    """Limits of one server, for all of its clients together.

    `body_memory_bytes` is the memory for large request bodies, counted with the copies that are
    made of them.
    """

    body_memory_bytes: int = 256 * MEBIBYTE

    def largest_body_bytes(self) -> int:
        """Return the size of the largest body that there is memory for."""
        return self.body_memory_bytes // BODY_COPIES

    @classmethod
    def within(cls, memory_mb: int):
        """Return the limits of a process that may use so much memory."""
        return cls(body_memory_bytes=int(memory_mb * BODY_MEMORY_SHARE * MEBIBYTE))

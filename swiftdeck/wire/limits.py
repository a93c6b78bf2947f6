"""Limits on what the links of a process may take of it."""

import attrs

MEBIBYTE = 1 << 20
PARTIAL_FRAMES_SHARE = 0.1
"""The share of the memory of a process that frames may take which have not arrived whole."""


@attrs.frozen
class MeshLimits:
    """Limits of the links of one process, for all of them together.

    `partial_frame_bytes` is the memory for frames that have not arrived whole; a frame can't be
    larger than that.
    """

    partial_frame_bytes: int = 64 * MEBIBYTE

    @classmethod
    def within(cls, memory_mb: int):
        """Return the limits of a process that may use so much memory."""
        return cls(partial_frame_bytes=int(memory_mb * PARTIAL_FRAMES_SHARE * MEBIBYTE))

"""Bounds how much asyncio reads from a connection at a time."""

READ_BYTES = 65536
"""A quarter of asyncio's own default."""


def limit_reads(transport):
    """Let a transport read no more than READ_BYTES at a time."""
    transport.max_size = READ_BYTES

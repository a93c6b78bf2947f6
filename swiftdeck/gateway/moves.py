"""Estimates the time to transfer cached prompt parts from one holder to a worker."""

import attrs

TRANSFER_SETUP_MS = 5.0
"""Duration of a transfer apart from its bytes."""
CROSS_ZONE_FACTOR = 2.0
"""Factor by which a transfer between zones takes longer."""


@attrs.frozen
class PrefixTransfer:
    """Parts that a worker could fetch: the address of their holder, their tokens, and the time."""

    source: str
    tokens: int
    ms: float


def transfer_ms(tokens: int, token_bytes: int, mbps: float, is_same_zone: bool) -> float | None:
    """Return the duration of a transfer over a link, in ms.

    Returns None if the size of a token or the speed of the link isn't known.
    """
    if token_bytes <= 0 or mbps <= 0:
        return None
    bytes_ms = tokens * token_bytes * 8 / (mbps * 1000)
    return TRANSFER_SETUP_MS + bytes_ms * (1.0 if is_same_zone else CROSS_ZONE_FACTOR)

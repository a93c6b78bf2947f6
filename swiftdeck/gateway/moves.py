"""What it takes to move kept parts of prompts from one holder to a worker."""

import attrs

SETUP_MS = 5.0
"""What a move takes beside its bytes."""
OTHER_ZONE = 2.0
"""How many times as long a move takes between zones."""


@attrs.frozen
class Move:
    """Parts that a worker could fetch: from which address, how many tokens, and for how long."""

    source: str
    tokens: int
    ms: float


def move_ms(tokens: int, token_bytes: int, mbps: float, is_same_zone: bool) -> float | None:
    """Return the milliseconds that a move takes over a link, None where its size or speed isn't known."""
    if token_bytes <= 0 or mbps <= 0:
        return None
    bytes_ms = tokens * token_bytes * 8 / (mbps * 1000)
    return SETUP_MS + bytes_ms * (1.0 if is_same_zone else OTHER_ZONE)

"""Reserves the memory that the requests and responses of one connection take."""

from swiftdeck.fault import NO_BODY_MEMORY, TOO_LARGE, Fault
from swiftdeck.http.limits import BODY_COPIES

FREE_BODY_BYTES = 32768
"""The size up to which a body needs no reservation of memory."""
BODY_STEP_BYTES = 1 << 18
"""The step in which the memory for a body of unknown length is reserved."""
DECODED_ITEM_BYTES, DECODED_FIELD_BYTES, FREE_DECODED_BYTES = 64, 96, 65536
"""What an item of JSON and a field of an object take once they are decoded, and up to which size that
needs no reservation."""


class ConnectionMemory:
    """The part of a server's memory for bodies that one of its connections has reserved.

    It doesn't refer to its connection, which is freed at once when it ends.
    """

    def __init__(self, server):
        self.server = server

    def _reserved_bytes(self) -> int:
        return self.server.body_memory.reserved.get(self, 0)

    def reserve_body(self, size: int) -> Fault | None:
        """Reserve the memory for a body of some size; return the fault that refuses it, or None.

        What is reserved already for a larger size stands. A small body needs no reservation.
        """
        if size > self.server.body_limit:
            return TOO_LARGE.with_reason(f"body is over {self.server.body_limit} bytes")
        if size <= FREE_BODY_BYTES or BODY_COPIES * size <= self._reserved_bytes():
            return None
        steps = -(-size // BODY_STEP_BYTES)
        if self.server.reserve(self, BODY_COPIES * steps * BODY_STEP_BYTES):
            return None
        return NO_BODY_MEMORY

    def reserve_decoding(self, data: bytes) -> Fault | None:
        """Reserve the memory for the objects that JSON text decodes to; return the fault, or None.

        It is estimated from the number of items in the text, of which a few bytes decode to many.
        """
        items = data.count(b",") + data.count(b"[") + data.count(b"{")
        decoded_bytes = items * DECODED_ITEM_BYTES + data.count(b":") * DECODED_FIELD_BYTES
        if decoded_bytes <= FREE_DECODED_BYTES:
            return None
        size = len(data) + decoded_bytes
        if size > self.server.body_memory.limit_bytes:
            return TOO_LARGE.with_reason(f"body has {items} items")
        if self.server.reserve(self, max(size, self._reserved_bytes())):
            return None
        return NO_BODY_MEMORY

    def reserve_response(self, size: int) -> bool:
        """Reserve the memory for a large response; return whether there is any."""
        return self.server.reserve(self, self._reserved_bytes() + size)

    def hand_over(self, new_owner):
        """Make what is reserved that of an owner that outlasts the request."""
        self.server.body_memory.hand_over(self, new_owner)

    def release(self):
        """Give back what is reserved."""
        self.server.body_memory.release(self)

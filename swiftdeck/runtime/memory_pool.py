"""A bounded amount of memory of which owners reserve parts."""

MEBIBYTE = 1 << 20


class MemoryPool:
    """Keeps account of bytes that are reserved; it allocates nothing itself.

    An owner is any hashable object. Its reservation stands until it is changed or released.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes, self.used_bytes = limit_bytes, 0
        self.reserved: dict[object, int] = {}

    def reserve(self, owner, size: int) -> bool:
        """Set the reservation of an owner to `size` bytes.

        Returns False, and leaves the reservation as it was, where the pool has no room for it.
        """
        used_bytes = self.used_bytes - self.reserved.get(owner, 0) + size
        if used_bytes > self.limit_bytes:
            return False
        self.reserved[owner], self.used_bytes = size, used_bytes
        return True

    def hand_over(self, owner, new_owner):
        """Make the reservation of an owner, if it has one, that of another one."""
        if owner in self.reserved:
            self.reserved[new_owner] = self.reserved.get(new_owner, 0) + self.reserved.pop(owner)

    def release(self, owner):
        """End the reservation of an owner, if it has one."""
        self.used_bytes -= self.reserved.pop(owner, 0)

"""Addresses of one site on loopback, which no other run on this machine uses at the same time."""

import random
import socket

import attrs

LOCK_HOST, LOCK_PORT = 250, 7999
INNER_PORT, FILTER_PORT, HTTP_PORT, READY_PORT = 7000, 7020, 8080, 8081
ATTEMPTS = 200
LIST_HOST, STORE_HOST = 240, 241
CORE_HOSTS, ROUTER_HOSTS, WORKER_HOSTS = 10, 50, 100


class LoopbackBlock:
    """A /24 of 127.0.0.0/8, claimed by a listening socket that ends with this process."""

    def __init__(self):
        self.prefix, self.lock = self._claim()

    @staticmethod
    def _claim():
        for _ in range(ATTEMPTS):
            prefix = f"127.{random.randrange(16, 240)}.{random.randrange(256)}"
            lock = socket.socket()
            try:
                lock.bind((f"{prefix}.{LOCK_HOST}", LOCK_PORT))
                lock.listen(1)
            except OSError:
                lock.close()
                continue
            return prefix, lock
        raise OSError("no free block of loopback addresses")

    def ip(self, host: int) -> str:
        """The address with such a last number."""
        return f"{self.prefix}.{host}"

    def release(self):
        """Let another run have the block."""
        self.lock.close()


@attrs.frozen
class Machine:
    """One machine of the site and the addresses that its process listens on."""

    name: str
    role: str
    zone: str
    ip: str

    @property
    def inner(self) -> str:
        """Where the other processes of the site reach it."""
        return f"{self.ip}:{INNER_PORT}"

    @property
    def http(self) -> str:
        """Where clients reach a router, and operators a core."""
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def operations(self) -> str:
        """Where its counters and its status are read."""
        return self.http if self.role == "core" else f"{self.ip}:{READY_PORT}"

    @property
    def link_filter(self) -> tuple[str, int]:
        """Where its link filter takes datagrams."""
        return self.ip, FILTER_PORT

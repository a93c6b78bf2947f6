"""Loopback addresses of one site, not shared with any other run on this host at the same time."""

import random
import socket

import attrs

CLAIM_HOST, CLAIM_PORT = 250, 7999
INNER_PORT, FILTER_PORT, HTTP_PORT, READY_PORT = 7000, 7020, 8080, 8081
CLAIM_ATTEMPTS = 200
LIST_HOST, STORE_HOST = 240, 241
CORE_HOSTS, ROUTER_HOSTS, WORKER_HOSTS = 10, 50, 100


class LoopbackBlock:
    """A /24 of 127.0.0.0/8, claimed by a listening socket that ends with this process."""

    def __init__(self):
        self.prefix, self.claim_socket = self._claim()

    @staticmethod
    def _claim():
        for _ in range(CLAIM_ATTEMPTS):
            prefix = f"127.{random.randrange(16, 240)}.{random.randrange(256)}"
            claim_socket = socket.socket()
            try:
                claim_socket.bind((f"{prefix}.{CLAIM_HOST}", CLAIM_PORT))
                claim_socket.listen(1)
            except OSError:
                claim_socket.close()
                continue
            return prefix, claim_socket
        raise OSError("no free block of loopback addresses")

    def ip(self, host: int) -> str:
        """Return the address whose last octet is `host`."""
        return f"{self.prefix}.{host}"

    def release(self):
        """Release the claim, so that another run can use the block."""
        self.claim_socket.close()


@attrs.frozen
class Machine:
    """A machine of the site and the addresses on which its process listens."""

    name: str
    role: str
    zone: str
    ip: str

    @property
    def inner(self) -> str:
        """Address for the other processes of the site."""
        return f"{self.ip}:{INNER_PORT}"

    @property
    def http(self) -> str:
        """Address for clients of a router, and for operators of a core."""
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def operations(self) -> str:
        """Address at which counters and status are read."""
        return self.http if self.role == "core" else f"{self.ip}:{READY_PORT}"

    @property
    def link_filter(self) -> tuple[str, int]:
        """Address at which the link filter receives its control datagrams."""
        return self.ip, FILTER_PORT

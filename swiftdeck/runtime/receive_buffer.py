"""Bounds what the kernel keeps for connections of bytes that were not read yet."""

import contextlib
import socket


def limit_receive_buffers(server, size: int):
    """Set the size in bytes of the receive buffers of connections that a server accepts.

    They inherit it from the listening socket, and no longer grow with what a client sends. A
    platform that refuses the option has buffers of its own size.
    """
    for listener in getattr(server, "sockets", ()):
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

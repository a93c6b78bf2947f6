"""Sets what the kernel keeps for listening sockets and for the connections that they accept."""

import contextlib
import os
import socket

BACKLOG = 100
"""How many connections the kernel keeps for a listening socket until they are accepted."""


def limit_receive_buffers(server, size: int):
    """Set the size in bytes of the receive buffers of connections that a server accepts.

    They inherit it from the listening socket, and no longer grow with what a client sends. A
    platform that refuses the option has buffers of its own size.
    """
    for listener in getattr(server, "sockets", ()):
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def set_backlog(server, size: int = BACKLOG):
    """Set how many connections the kernel keeps until a server accepts them.

    asyncio accepts as many in one turn of the loop as the `backlog` that it was given, and passes
    that on to the kernel. This sets the kernel's alone.
    """
    for listener in getattr(server, "sockets", ()):
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(listener.fileno())) as same:
            same.listen(size)

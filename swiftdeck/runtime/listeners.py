"""Listens, with bounds on what the kernel keeps for a listener and for what it accepts."""

import asyncio
import contextlib
import os
import socket

BACKLOG = 100
"""How many connections the kernel keeps for a listening socket until they are accepted."""


async def listen(make_protocol, ip: str, port, accepts_per_turn: int, receive_buffer_bytes: int):
    """Listen on an address, and return the server.

    It accepts up to `accepts_per_turn` connections in one turn of the loop. asyncio passes that on
    as the kernel's backlog, which is set apart where it is smaller than BACKLOG.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make_protocol, ip, port, backlog=accepts_per_turn)
    for listener in getattr(server, "sockets", ()):
        _limit_receive_buffers(listener, receive_buffer_bytes)
        if accepts_per_turn < BACKLOG:
            _set_backlog(listener)
    return server


def _limit_receive_buffers(listener, size: int):
    """Set the size in bytes of the receive buffers of the connections that are accepted.

    They inherit it from the listening socket, and no longer grow with what a client sends. A
    platform that refuses the option has buffers of its own size.
    """
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _set_backlog(listener):
    """Let the kernel keep BACKLOG connections until they are accepted."""
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(listener.fileno())) as same:
        same.listen(BACKLOG)

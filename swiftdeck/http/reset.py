"""Connections that are given up by a reset."""

import socket
import struct

LINGER_NONE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which closing a socket resets its connection."""


def reset(transport):
    """Cut a connection so that nothing of what was written reaches the other side any more.

    An ordinary close, also that of `transport.abort`, leaves bytes that were handed to the kernel
    with it: behind a cut they are sent again and again, and may arrive many seconds later.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()

"""Connections that are given up while something written to them may not have arrived."""

import fcntl
import socket
import struct
import termios

LINGER_NONE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which closing a socket resets its connection."""
COUNT = struct.Struct("i")


def reset(transport):
    """Cut a connection by a reset: what was written and has not arrived is dropped."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()


def give_up(transport):
    """Cut a connection so that nothing more of what was written arrives at the other side.

    An ordinary close, also that of `transport.abort`, leaves bytes that were handed to the kernel
    with it: behind a cut they are sent again and again, and may arrive many seconds later. A reset
    drops them, but is itself sent only once; so where all has arrived the connection is closed,
    which the kernel repeats until the other side knows of it.
    """
    if _unacknowledged(transport):
        reset(transport)
    else:
        transport.abort()


def _unacknowledged(transport) -> bool:
    """Whether the kernel holds bytes that the other side has not acknowledged, or can't tell."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return False
    try:
        held = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except OSError:
        return True
    return COUNT.unpack(held)[0] > 0

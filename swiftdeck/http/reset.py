"""Closes connections whose written bytes may not have arrived, so that they are not delivered late."""

import fcntl
import socket
import struct
import termios

NO_LINGER = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which closing a socket resets its connection."""
BYTE_COUNT = struct.Struct("i")


def reset(transport):
    """Reset a connection; written bytes that have not arrived are dropped."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def give_up(transport):
    """Close a connection so that no written byte still arrives at the other side.

    An ordinary close, including `transport.abort`, leaves written bytes in the kernel, which
    retransmits them during a network partition, so that they may arrive many seconds later. A reset
    drops them but is sent only once, and may be lost. Where everything has arrived, the connection
    is therefore closed normally, which the kernel retransmits until the other side has seen it.
    """
    if _unacknowledged(transport):
        reset(transport)
    else:
        transport.abort()


def _unacknowledged(transport) -> bool:
    """Return whether the kernel holds unacknowledged bytes, or can't tell."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return False
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(BYTE_COUNT.size))
    except OSError:
        return True
    return BYTE_COUNT.unpack(queued)[0] > 0

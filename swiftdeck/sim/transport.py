"""The ends of simulated streams and datagrams, as a process sees them."""

import asyncio

HIGH_WATER_BYTES = 65536
"""How much may be on its way before a writer is paused; it is resumed at a quarter of it."""

StreamItem = bytes | ConnectionResetError | None
"""What travels on a stream: bytes, a reset, or None for the end of what is written."""


def reset_error() -> ConnectionResetError:
    """Return the error that the other end of a reset stream gets."""
    return ConnectionResetError("reset by peer")


class SimTransport(asyncio.Transport):
    """One end of a simulated stream.

    `local` and `remote` are addresses as (IP, port); `other` is the other end. What has arrived and
    isn't taken yet stands in `inbox`; `outstanding` counts bytes that were written here and not
    taken there. Nothing of this end arrives before `ready_at`, in seconds of the world, so that
    what was sent keeps its order. `closing` says that this end was closed, `gone` that its protocol
    was told so.
    """

    def __init__(self, net, loop, local, remote):
        super().__init__({"sockname": local, "peername": remote})
        self.net, self.loop, self.local, self.remote = net, loop, local, remote
        self.protocol = self.other = None
        self.closing = self.gone = self.eof_sent = False
        self.read_paused = self.write_paused = False
        self.inbox: list[StreamItem] = []
        self.outstanding, self.ready_at = 0, 0.0

    def get_protocol(self):
        """Return the protocol that takes what arrives."""
        return self.protocol

    def set_protocol(self, protocol):
        """Let another protocol take what arrives."""
        self.protocol = protocol

    def is_closing(self):
        """Whether this end was closed or reset."""
        return self.closing

    def get_write_buffer_size(self):
        """Return the bytes that were written and not yet taken at the other end."""
        return self.outstanding

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing: the limits are fixed."""

    def write(self, data):
        """Send bytes; those of a frozen process are sent when it thaws."""
        if self.closing or not data:
            return
        if self.loop.frozen:
            self.loop.held.insert(0, asyncio.Handle(self.write, (bytes(data),), self.loop))
            return
        self.outstanding += len(data)
        self.post(bytes(data))
        if self.outstanding > HIGH_WATER_BYTES and not self.write_paused:
            self.write_paused = True
            self.protocol.pause_writing()

    def write_eof(self):
        """Say that nothing more will be sent."""
        if not self.closing and not self.eof_sent:
            self.eof_sent = True
            self.post(None)

    def can_write_eof(self):
        """Streams can be closed in one direction."""
        return True

    def post(self, item: StreamItem):
        """Put one item on the network, whatever state this end is in."""
        self.net.send(self, item)

    def close(self):
        """Close this end once all that was written is sent."""
        if not self.closing:
            self.closing = True
            if not self.eof_sent:
                self.post(None)
            self.loop.call_soon(self._lost, None)

    def abort(self):
        """Reset the stream."""
        if not self.closing:
            self.closing = True
            self.post(reset_error())
            self.loop.call_soon(self._lost, None)

    def _lost(self, error):
        if not self.gone:
            self.gone = self.closing = True
            self.net.open.pop(self, None)
            self.protocol.connection_lost(error)

    def pause_reading(self):
        """Hold what arrives back."""
        self.read_paused = True

    def resume_reading(self):
        """Hand on what was held back, and what arrives."""
        self.read_paused = False
        self.loop.call_soon(self.drain)

    def is_reading(self):
        """Whether what arrives is handed on."""
        return not self.read_paused

    def begin(self, protocol: asyncio.Protocol):
        """Hand this end to its protocol, with all that arrived before."""
        self.protocol = protocol
        protocol.connection_made(self)
        self.drain()

    def arrive(self, item: StreamItem):
        """Take what came over the network."""
        self.inbox.append(item)
        self.drain()

    def drain(self):
        """Hand on what arrived, as far as reading isn't paused."""
        while self.inbox and not self.gone and self.protocol is not None:
            item = self.inbox[0]
            if isinstance(item, bytes) and self.read_paused and not self.closing:
                return
            self.inbox.pop(0)
            if isinstance(item, bytes):
                self._receive(item)
            elif item is None:
                self._receive_eof()
            else:
                self._lost(item)

    def _receive(self, data: bytes):
        self.other.acknowledge(len(data))
        if not self.closing:
            self.protocol.data_received(data)

    def _receive_eof(self):
        if not self.closing and not self.protocol.eof_received():
            self.closing = True
            self.post(None)
            self._lost(None)

    def acknowledge(self, count: int):
        """Take in that so many bytes were taken at the other end."""
        self.outstanding -= count
        if self.write_paused and self.outstanding <= HIGH_WATER_BYTES // 4:
            self.write_paused = False
            if not self.gone and not self.loop.dead:
                self.loop.call_soon(self.protocol.resume_writing)


class SimDatagram(asyncio.DatagramTransport):
    """A simulated datagram endpoint."""

    def __init__(self, net, loop, local):
        super().__init__({"sockname": local})
        self.net, self.loop, self.local, self.closing = net, loop, local, False

    def sendto(self, data, addr=None):
        """Send one datagram."""
        self.net.send_datagram(self, bytes(data), addr)

    def close(self):
        """Close the endpoint."""
        self.closing = True
        self.net.datagrams.pop(self.local, None)

    abort = close

    def is_closing(self):
        """Whether the endpoint was closed."""
        return self.closing


class SimServer:
    """A simulated listener."""

    def __init__(self, net, address):
        self.net, self.address = net, address

    def close(self):
        """Stop listening; streams that are open stay so."""
        self.net.listeners.pop(self.address, None)

    async def wait_closed(self):
        """Return at once: a listener is closed without delay."""

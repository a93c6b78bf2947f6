"""Transports of simulated streams and datagrams."""

import asyncio

HIGH_WATER_BYTES = 65536
"""Unacknowledged bytes above which a writer is paused; it is resumed at a quarter."""

StreamItem = bytes | ConnectionResetError | None
"""An item of a stream: bytes, a reset, or None for end of file."""


def reset_error() -> ConnectionResetError:
    """Return the error that the peer of a reset stream receives."""
    return ConnectionResetError("reset by peer")


class SimTransport(asyncio.Transport):
    """One end of a simulated stream.

    `local` and `remote` are addresses as (IP, port); `peer` is the other end. `inbox` has the items
    that arrived and aren't delivered to the protocol yet; `unacknowledged_bytes` counts the bytes
    written here that the peer has not delivered yet. Items sent from this end arrive no earlier
    than `earliest_arrival_s`, in seconds of the world, so that they keep their order. `closing` is
    set once this end was closed, `gone` once its protocol was notified of it.
    """

    def __init__(self, net, loop, local, remote):
        super().__init__({"sockname": local, "peername": remote})
        self.net, self.loop, self.local, self.remote = net, loop, local, remote
        self.protocol = self.peer = None
        self.closing = self.gone = self.eof_sent = False
        self.read_paused = self.write_paused = False
        self.inbox: list[StreamItem] = []
        self.unacknowledged_bytes, self.earliest_arrival_s = 0, 0.0

    def get_protocol(self):
        """Return the protocol that receives the data."""
        return self.protocol

    def set_protocol(self, protocol):
        """Set the protocol that receives the data."""
        self.protocol = protocol

    def is_closing(self):
        """Return whether this end was closed or reset."""
        return self.closing

    def get_write_buffer_size(self):
        """Return how many written bytes the peer has not delivered yet."""
        return self.unacknowledged_bytes

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing: the limits are fixed."""

    def write(self, data):
        """Send bytes; those of a frozen process are sent when it is resumed."""
        if self.closing or not data:
            return
        if self.loop.frozen:
            self.loop.held_handles.insert(0, asyncio.Handle(self.write, (bytes(data),), self.loop))
            return
        self.unacknowledged_bytes += len(data)
        self.send_item(bytes(data))
        if self.unacknowledged_bytes > HIGH_WATER_BYTES and not self.write_paused:
            self.write_paused = True
            self.protocol.pause_writing()

    def write_eof(self):
        """Send end of file."""
        if not self.closing and not self.eof_sent:
            self.eof_sent = True
            self.send_item(None)

    def can_write_eof(self):
        """Return True: a stream can be closed in one direction."""
        return True

    def send_item(self, item: StreamItem):
        """Pass an item to the network, in whatever state this end is."""
        self.net.send(self, item)

    def close(self):
        """Close this end after sending what was written."""
        if not self.closing:
            self.closing = True
            if not self.eof_sent:
                self.send_item(None)
            self.loop.call_soon(self._notify_lost, None)

    def abort(self):
        """Reset the stream."""
        if not self.closing:
            self.closing = True
            self.send_item(reset_error())
            self.loop.call_soon(self._notify_lost, None)

    def _notify_lost(self, error):
        if not self.gone:
            self.gone = self.closing = True
            self.net.open.pop(self, None)
            self.protocol.connection_lost(error)

    def pause_reading(self):
        """Keep arriving data in the inbox."""
        self.read_paused = True

    def resume_reading(self):
        """Deliver the inbox and the data that arrives from now on."""
        self.read_paused = False
        self.loop.call_soon(self.deliver_inbox)

    def is_reading(self):
        """Return whether arriving data is delivered to the protocol."""
        return not self.read_paused

    def start(self, protocol: asyncio.Protocol):
        """Attach the protocol and deliver what arrived before."""
        self.protocol = protocol
        protocol.connection_made(self)
        self.deliver_inbox()

    def receive(self, item: StreamItem):
        """Queue an item from the network and deliver the inbox."""
        self.inbox.append(item)
        self.deliver_inbox()

    def deliver_inbox(self):
        """Deliver the inbox, up to the first bytes if reading is paused and this end open."""
        while self.inbox and not self.gone and self.protocol is not None:
            item = self.inbox[0]
            if isinstance(item, bytes) and self.read_paused and not self.closing:
                return
            self.inbox.pop(0)
            if isinstance(item, bytes):
                self._deliver_data(item)
            elif item is None:
                self._deliver_eof()
            else:
                self._notify_lost(item)

    def _deliver_data(self, data: bytes):
        self.peer.acknowledge(len(data))
        if not self.closing:
            self.protocol.data_received(data)

    def _deliver_eof(self):
        if not self.closing and not self.protocol.eof_received():
            self.closing = True
            self.send_item(None)
            self._notify_lost(None)

    def acknowledge(self, byte_count: int):
        """Count bytes as delivered by the peer; resume the writer if few enough are left."""
        self.unacknowledged_bytes -= byte_count
        if self.write_paused and self.unacknowledged_bytes <= HIGH_WATER_BYTES // 4:
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
        self.net.datagram_endpoints.pop(self.local, None)

    abort = close

    def is_closing(self):
        """Return whether the endpoint was closed."""
        return self.closing


class SimServer:
    """A simulated listener."""

    def __init__(self, net, address):
        self.net, self.address = net, address

    def close(self):
        """Stop listening; open streams stay open."""
        self.net.listeners.pop(self.address, None)

    async def wait_closed(self):
        """Return at once: `close` takes effect immediately."""

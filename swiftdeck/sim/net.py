"""The simulated network: streams and datagrams between processes, with cuts, delays and resets."""

import asyncio

import attrs

from swiftdeck.sim.transport import (
    SimDatagram,
    SimServer,
    SimTransport,
    StreamItem,
    reset_error,
)

PACKET_BYTES = 1024
"""Largest piece that a narrow link carries at a time, so that other streams get a turn."""
SAME_MACHINE_S = 0.0002
MIN_DELAY_S, MAX_DELAY_S = 0.0003, 0.0009
FIRST_PORT = 40000


@attrs.frozen(eq=False)
class Listener:
    """A listening process and the factory of its protocols."""

    loop: object
    factory: object


@attrs.frozen(eq=False)
class DatagramEndpoint:
    """A process that receives datagrams, and its protocol."""

    loop: object
    protocol: object


@attrs.frozen(eq=False)
class PendingConnection:
    """A stream that a process is opening; `done` resolves to its transport and protocol."""

    loop: object
    factory: object
    host: str
    port: int
    done: asyncio.Future


@attrs.frozen(eq=False)
class HeldItem:
    """An item of a stream that waits until a cut is healed."""

    transport: SimTransport
    item: StreamItem


class SimNet:
    """The network between simulated processes.

    `listeners` and `datagram_endpoints` are keyed by (IP, port). `open` has the ends of open
    streams in the order in which they were opened. `cuts` has the directed pairs of IPs (from, to)
    that are cut: datagrams between them are lost, stream items wait in `held_items`.
    `extra_delay_s` has the additional delay of a pair in seconds, `bytes_per_s` the rate of
    machines on a narrow link. `vanished` has the IPs of machines without power, which don't answer
    a connection attempt instead of refusing it.
    """

    def __init__(self, world):
        self.world = world
        self.listeners: dict[tuple, Listener] = {}
        self.datagram_endpoints: dict[tuple, DatagramEndpoint] = {}
        self.open: dict[SimTransport, None] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.held_items: list[HeldItem] = []
        self.extra_delay_s: dict[tuple[str, str], float] = {}
        self.bytes_per_s: dict[str, float] = {}
        self.loss_rate, self.next_port = 0.0, FIRST_PORT
        self.vanished: set[str] = set()

    def cut(self, sources, targets, both=True):
        """Cut the traffic from some IPs to others, with `both` also back; return the pairs cut."""
        pairs = {(source, target) for source in sources for target in targets if source != target}
        pairs |= {(target, source) for source, target in pairs} if both else set()
        self.cuts |= pairs
        return pairs

    def heal(self, pairs=None):
        """Undo the given cuts, or all; streams resume where they were held up."""
        self.cuts -= self.cuts if pairs is None else pairs
        items, self.held_items = self.held_items, []
        for held in items:
            self.send(held.transport, held.item)

    def is_cut(self, source, target):
        """Return whether the direction from `source` to `target` is cut."""
        return (source, target) in self.cuts

    def draw_delay_s(self, source, target):
        """Draw the delay in seconds of one item from `source` to `target`."""
        if source == target:
            delay_s = SAME_MACHINE_S
        else:
            delay_s = self.world.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        return self.extra_delay_s.get((source, target), 0.0) + delay_s

    def transmission_s(self, source, target, item):
        """Return for how many seconds an item occupies a narrow link; 0.0 without one."""
        rates = [self.bytes_per_s[ip] for ip in (source, target) if ip in self.bytes_per_s]
        return len(item) / min(rates) if rates and isinstance(item, bytes) else 0.0

    def listen(self, loop, factory, host, port):
        """Open a listener; port 0 picks the next free port.

        Raises OSError when the address is in use.
        """
        address = (host, port or self._new_port())
        if address in self.listeners:
            raise OSError(98, "address in use")
        self.listeners[address] = Listener(loop, factory)
        return SimServer(self, address)

    def _new_port(self) -> int:
        self.next_port += 1
        return self.next_port

    async def connect(self, loop, factory, host, port):
        """Open a stream from the process of `loop`; return its transport and protocol.

        Raises ConnectionRefusedError where nobody listens; across a cut it waits forever.
        """
        pending = PendingConnection(loop, factory, host, port, loop.create_future())
        if not self.is_cut(loop.ip, host):
            self.world.call_after(
                self.draw_delay_s(loop.ip, host), lambda: self._on_connect_attempt(pending)
            )
        return await pending.done

    def _on_connect_attempt(self, pending: PendingConnection):
        """Handle a connection attempt that arrives at its target machine."""
        loop, address = pending.loop, (pending.host, pending.port)
        if loop.dead or pending.done.done():
            return
        listener = self.listeners.get(address)
        if listener is None:
            if pending.host not in self.vanished:
                loop.call_soon(self._refuse, pending)
            return
        if self.is_cut(pending.host, loop.ip):
            return
        client_end, server_end = self._new_stream(pending, listener)
        listener.loop.call_soon(lambda: server_end.start(listener.factory()))
        self.world.call_after(
            self.draw_delay_s(pending.host, loop.ip),
            lambda: None if loop.dead else loop.call_soon(self._connected, pending, client_end),
        )

    def _new_stream(self, pending: PendingConnection, listener: Listener):
        """Return both ends of a new stream: the client's and the listener's."""
        local, remote = (pending.loop.ip, self._new_port()), (pending.host, pending.port)
        client_end = SimTransport(self, pending.loop, local, remote)
        server_end = SimTransport(self, listener.loop, remote, local)
        client_end.peer, server_end.peer = server_end, client_end
        self.open |= {client_end: None, server_end: None}
        return client_end, server_end

    @staticmethod
    def _refuse(pending: PendingConnection):
        if not pending.done.done():
            pending.done.set_exception(ConnectionRefusedError(111, "refused"))

    @staticmethod
    def _connected(pending: PendingConnection, client_end: SimTransport):
        """Hand a stream to the process that opened it; reset the stream if it gave up since."""
        if pending.done.done():
            client_end.protocol = asyncio.Protocol()
            client_end.abort()
            return
        protocol = pending.factory()
        client_end.protocol = protocol
        protocol.connection_made(client_end)
        pending.done.set_result((client_end, protocol))
        client_end.deliver_inbox()

    def send(self, transport: SimTransport, item: StreamItem):
        """Send one item of a stream to its peer, in order."""
        source, target = transport.local[0], transport.remote[0]
        transmission_s = self.transmission_s(source, target, item)
        if transmission_s and len(item) > PACKET_BYTES:
            for start in range(0, len(item), PACKET_BYTES):
                self.send(transport, item[start : start + PACKET_BYTES])
            return
        if self.is_cut(source, target) or any(
            held.transport is transport for held in self.held_items
        ):
            self.held_items.append(HeldItem(transport, item))
            return
        arrives_s = (
            max(transport.earliest_arrival_s, self.world.now + self.draw_delay_s(source, target))
            + transmission_s
        )
        transport.earliest_arrival_s = arrives_s
        self.world.call_after(
            arrives_s - self.world.now, lambda: self._deliver_to_peer(transport, item)
        )

    def _deliver_to_peer(self, transport: SimTransport, item: StreamItem):
        """Deliver an item to the peer; bytes for a peer that is gone reset the stream."""
        peer = transport.peer
        if peer.loop.dead:
            return
        if not peer.gone:
            peer.loop.call_soon(self._receive, peer, item)
        elif isinstance(item, bytes) and not transport.gone and not transport.loop.dead:
            delay_s = self.draw_delay_s(transport.remote[0], transport.local[0])
            self.world.call_after(delay_s, lambda: self._reset(transport))

    def _reset(self, transport: SimTransport):
        if not transport.loop.dead:
            transport.loop.call_soon(self._receive, transport, reset_error())

    def _receive(self, transport: SimTransport, item: StreamItem):
        if not transport.gone:
            transport.receive(item)

    def open_datagram_endpoint(self, loop, factory, local):
        """Open a datagram endpoint at the address `local`."""
        transport, protocol = SimDatagram(self, loop, local), factory()
        self.datagram_endpoints[local] = DatagramEndpoint(loop, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, transport: SimDatagram, data: bytes, addr):
        """Send one datagram, which a cut or random loss may drop."""
        source, target = transport.local[0], addr[0]
        if self.is_cut(source, target) or (
            self.loss_rate and self.world.random.random() < self.loss_rate
        ):
            return

        def deliver():
            endpoint = self.datagram_endpoints.get(tuple(addr))
            if endpoint and not endpoint.loop.dead:
                receive = endpoint.protocol.datagram_received
                endpoint.loop.call_soon(receive, data, transport.local)

        self.world.call_after(self.draw_delay_s(source, target), deliver)

    def remove_process(self, loop, silent):
        """Remove the listeners, endpoints and streams of a dead process.

        With `silent` its machine has lost power: peers get no reset and its held items are lost.
        """
        self.listeners = _without(self.listeners, loop)
        self.datagram_endpoints = _without(self.datagram_endpoints, loop)
        if silent:
            self.held_items = [held for held in self.held_items if held.transport.loop is not loop]
        for transport in [transport for transport in self.open if transport.loop is loop]:
            del self.open[transport]
            if not silent and not transport.gone and not transport.closing:
                transport.send_item(reset_error())
            transport.gone = transport.closing = True


def _without(entries: dict, loop) -> dict:
    """Return the entries that don't belong to the process of `loop`."""
    return {address: entry for address, entry in entries.items() if entry.loop is not loop}

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
"""Bytes that a narrow link carries at a time, so that others come between."""
SAME_MACHINE_S = 0.0002
LEAST_DELAY_S, MOST_DELAY_S = 0.0003, 0.0009
FIRST_PORT = 40000


@attrs.frozen(eq=False)
class Listener:
    """A process that listens, and the factory of its protocols."""

    loop: object
    factory: object


@attrs.frozen(eq=False)
class Endpoint:
    """A process that takes datagrams, and its protocol."""

    loop: object
    protocol: object


@attrs.frozen(eq=False)
class Connecting:
    """A stream that a process wants to open; `done` takes its transport and protocol."""

    loop: object
    factory: object
    host: str
    port: int
    done: asyncio.Future


@attrs.frozen(eq=False)
class Stuck:
    """An item of a stream that a cut holds up."""

    transport: SimTransport
    item: StreamItem


class SimNet:
    """The network between simulated processes.

    `listeners` and `datagrams` are by (IP, port), `open` has the ends of open streams in the order
    of their opening. `cuts` has the pairs of IPs (from, to) between which all is lost, `slow` their
    additional delay in seconds, `bytes_per_s` the rate of machines on a narrow link. `vanished` has
    the IPs of machines without power: they refuse no connection, they don't answer.
    """

    def __init__(self, world):
        self.world = world
        self.listeners: dict[tuple, Listener] = {}
        self.datagrams: dict[tuple, Endpoint] = {}
        self.open: dict[SimTransport, None] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.stuck: list[Stuck] = []
        self.slow: dict[tuple[str, str], float] = {}
        self.bytes_per_s: dict[str, float] = {}
        self.loss_rate, self.next_port = 0.0, FIRST_PORT
        self.vanished: set[str] = set()

    def cut(self, sources, targets, both=True):
        """Lose all that goes from some IPs to others; returns the pairs that were cut."""
        pairs = {(a, b) for a in sources for b in targets if a != b}
        pairs |= {(b, a) for a, b in pairs} if both else set()
        self.cuts |= pairs
        return pairs

    def heal(self, pairs=None):
        """Undo some cuts or all; streams go on where they stuck."""
        self.cuts -= self.cuts if pairs is None else pairs
        stuck, self.stuck = self.stuck, []
        for held in stuck:
            self.send(held.transport, held.item)

    def is_cut(self, a, b):
        """Whether what `a` sends to `b` is lost."""
        return (a, b) in self.cuts

    def delay_s(self, a, b):
        """Return how long one item takes from `a` to `b`."""
        if a == b:
            delay_s = SAME_MACHINE_S
        else:
            delay_s = self.world.random.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        return self.slow.get((a, b), 0.0) + delay_s

    def sending_s(self, a, b, item):
        """Return how long the bytes of an item keep a narrow link busy."""
        rates = [self.bytes_per_s[ip] for ip in (a, b) if ip in self.bytes_per_s]
        return len(item) / min(rates) if rates and isinstance(item, bytes) else 0.0

    def listen(self, loop, factory, host, port):
        """Open a listener; port 0 takes the next free one.

        Raises OSError when another process listens there.
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
        """Open a stream, as a process does; returns its transport and protocol.

        Raises ConnectionRefusedError where nobody listens; behind a cut it waits without end.
        """
        wanted = Connecting(loop, factory, host, port, loop.create_future())
        if not self.is_cut(loop.ip, host):
            self.world.call_after(self.delay_s(loop.ip, host), lambda: self._reach(wanted))
        return await wanted.done

    def _reach(self, wanted: Connecting):
        """Let a wish to connect arrive at the machine that it names."""
        loop, address = wanted.loop, (wanted.host, wanted.port)
        if loop.dead or wanted.done.done():
            return
        listener = self.listeners.get(address)
        if listener is None:
            if wanted.host not in self.vanished:
                loop.call_soon(self._refuse, wanted)
            return
        if self.is_cut(wanted.host, loop.ip):
            return
        near, far = self._new_stream(wanted, listener)
        listener.loop.call_soon(lambda: far.begin(listener.factory()))
        self.world.call_after(
            self.delay_s(wanted.host, loop.ip),
            lambda: None if loop.dead else loop.call_soon(self._connected, wanted, near),
        )

    def _new_stream(self, wanted: Connecting, listener: Listener):
        """Return both ends of a stream: that of the caller and that of the listener."""
        local, remote = (wanted.loop.ip, self._new_port()), (wanted.host, wanted.port)
        near = SimTransport(self, wanted.loop, local, remote)
        far = SimTransport(self, listener.loop, remote, local)
        near.other, far.other = far, near
        self.open |= {near: None, far: None}
        return near, far

    @staticmethod
    def _refuse(wanted: Connecting):
        if not wanted.done.done():
            wanted.done.set_exception(ConnectionRefusedError(111, "refused"))

    @staticmethod
    def _connected(wanted: Connecting, near: SimTransport):
        """Give a stream to the process that wanted it, which may have given up meanwhile."""
        if wanted.done.done():
            near.protocol = asyncio.Protocol()
            near.abort()
            return
        protocol = wanted.factory()
        near.protocol = protocol
        protocol.connection_made(near)
        wanted.done.set_result((near, protocol))
        near.drain()

    def send(self, transport: SimTransport, item: StreamItem):
        """Carry one item of a stream to its other end, in order."""
        a, b = transport.local[0], transport.remote[0]
        sending_s = self.sending_s(a, b, item)
        if sending_s and len(item) > PACKET_BYTES:
            for at in range(0, len(item), PACKET_BYTES):
                self.send(transport, item[at : at + PACKET_BYTES])
            return
        if self.is_cut(a, b) or any(held.transport is transport for held in self.stuck):
            self.stuck.append(Stuck(transport, item))
            return
        arrives_s = max(transport.ready_at, self.world.now + self.delay_s(a, b)) + sending_s
        transport.ready_at = arrives_s
        self.world.call_after(arrives_s - self.world.now, lambda: self._land(transport, item))

    def _land(self, transport: SimTransport, item: StreamItem):
        """Let an item arrive at the other end; an end that is gone resets the stream."""
        other = transport.other
        if other.loop.dead:
            return
        if not other.gone:
            other.loop.call_soon(self._arrive, other, item)
        elif isinstance(item, bytes) and not transport.gone and not transport.loop.dead:
            delay_s = self.delay_s(transport.remote[0], transport.local[0])
            self.world.call_after(delay_s, lambda: self._reset(transport))

    def _reset(self, transport: SimTransport):
        if not transport.loop.dead:
            transport.loop.call_soon(self._arrive, transport, reset_error())

    def _arrive(self, transport: SimTransport, item: StreamItem):
        if not transport.gone:
            transport.arrive(item)

    def datagram(self, loop, factory, local):
        """Open a datagram endpoint."""
        transport, protocol = SimDatagram(self, loop, local), factory()
        self.datagrams[local] = Endpoint(loop, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, transport: SimDatagram, data: bytes, addr):
        """Carry one datagram, or lose it."""
        a, b = transport.local[0], addr[0]
        if self.is_cut(a, b) or (self.loss_rate and self.world.random.random() < self.loss_rate):
            return

        def land():
            endpoint = self.datagrams.get(tuple(addr))
            if endpoint and not endpoint.loop.dead:
                receive = endpoint.protocol.datagram_received
                endpoint.loop.call_soon(receive, data, transport.local)

        self.world.call_after(self.delay_s(a, b), land)

    def drop(self, loop, silent):
        """Take all ends of a dead process away.

        A machine without power also loses what a cut held up.
        """
        self.listeners = _without(self.listeners, loop)
        self.datagrams = _without(self.datagrams, loop)
        if silent:
            self.stuck = [held for held in self.stuck if held.transport.loop is not loop]
        for transport in [transport for transport in self.open if transport.loop is loop]:
            del self.open[transport]
            if not silent and not transport.gone and not transport.closing:
                transport.post(reset_error())
            transport.gone = transport.closing = True


def _without(entries: dict, loop) -> dict:
    """Return the entries that don't belong to a process."""
    return {address: entry for address, entry in entries.items() if entry.loop is not loop}

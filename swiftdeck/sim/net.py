"""Simulated streams and datagrams, with cuts, delays and resets."""

import asyncio

HIGH_WATER, PACKET_BYTES = 65536, 1024


class SimTransport(asyncio.Transport):
    """One end of a simulated stream."""

    def __init__(self, net, loop, local, remote):
        super().__init__({"sockname": local, "peername": remote})
        self.net, self.loop, self.local, self.remote = net, loop, local, remote
        self.protocol = self.other = None
        self.closing = self.gone = self.read_paused = self.write_paused = self.eof_sent = False
        self.inbox, self.outstanding, self.ready_at = [], 0, 0.0

    def get_protocol(self):
        """The protocol that takes what arrives."""
        return self.protocol

    def set_protocol(self, protocol):
        """Let another protocol take what arrives."""
        self.protocol = protocol

    def is_closing(self):
        """Whether this end was closed or reset."""
        return self.closing

    def get_write_buffer_size(self):
        """Bytes that were written and not yet taken at the other end."""
        return self.outstanding

    def set_write_buffer_limits(self, high=None, low=None):
        """The limits are fixed."""
        pass

    def write(self, data):
        """Send bytes; those of a frozen process are sent when it thaws."""
        if self.closing or not data:
            return
        if self.loop.frozen:
            self.loop.held.insert(0, asyncio.Handle(self.write, (bytes(data),), self.loop))
            return
        self.outstanding += len(data)
        self._post(bytes(data))
        if self.outstanding > HIGH_WATER and not self.write_paused:
            self.write_paused = True
            self.protocol.pause_writing()

    def write_eof(self):
        """Say that nothing more will be sent."""
        if not self.closing and not self.eof_sent:
            self.eof_sent = True
            self._post(None)

    def can_write_eof(self):
        """Streams can be closed in one direction."""
        return True

    def _post(self, item):
        self.net.send(self, item)

    def close(self):
        """Close this end once all that was written is sent."""
        if not self.closing:
            self.closing = True
            if not self.eof_sent:
                self._post(None)
            self.loop.call_soon(self._lost, None)

    def abort(self):
        """Reset the stream."""
        if not self.closing:
            self.closing = True
            self._post(ConnectionResetError("reset by peer"))
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
        self.loop.call_soon(self._drain)

    def is_reading(self):
        """Whether what arrives is handed on."""
        return not self.read_paused

    def arrive(self, item):
        """Take what came over the network."""
        self.inbox.append(item)
        self._drain()

    def _drain(self):
        while self.inbox and not self.gone and self.protocol is not None:
            item = self.inbox[0]
            if isinstance(item, bytes) and self.read_paused and not self.closing:
                return
            self.inbox.pop(0)
            if isinstance(item, bytes):
                self.other._taken(len(item))
                if not self.closing:
                    self.protocol.data_received(item)
            elif item is None:
                if not self.closing and not self.protocol.eof_received():
                    self.closing = True
                    self._post(None)
                    self._lost(None)
            else:
                self._lost(item)

    def _taken(self, count):
        self.outstanding -= count
        if self.write_paused and self.outstanding <= HIGH_WATER // 4:
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

    def __init__(self, net, key):
        self.net, self.key = net, key

    def close(self):
        """Stop listening; streams that are open stay so."""
        self.net.listeners.pop(self.key, None)

    async def wait_closed(self):
        """A listener is closed at once."""
        return None


class SimNet:
    """The network between simulated processes."""

    def __init__(self, world):
        self.world = world
        self.listeners, self.datagrams, self.open = {}, {}, {}
        self.cuts, self.stuck, self.slow = set(), [], {}
        self.bytes_per_s = {}
        self.loss_rate, self.next_port, self.vanished = 0.0, 40000, set()

    def cut(self, sources, targets, both=True):
        """Lose all that goes from some addresses to others."""
        pairs = {(a, b) for a in sources for b in targets if a != b}
        pairs |= {(b, a) for a, b in pairs} if both else set()
        self.cuts |= pairs
        return pairs

    def heal(self, pairs=None):
        """Undo some cuts or all; streams go on where they stuck."""
        self.cuts -= self.cuts if pairs is None else pairs
        stuck, self.stuck = self.stuck, []
        for transport, item in stuck:
            self.send(transport, item)

    def is_cut(self, a, b):
        """Whether what `a` sends to `b` is lost."""
        return (a, b) in self.cuts

    def delay_s(self, a, b):
        """How long one piece takes from `a` to `b`."""
        return self.slow.get((a, b), 0.0) + (
            0.0002 if a == b else self.world.random.uniform(0.0003, 0.0009)
        )

    def sending_s(self, a, b, item):
        """How long the bytes of a piece keep a narrow link busy."""
        rates = [self.bytes_per_s[ip] for ip in (a, b) if ip in self.bytes_per_s]
        return len(item) / min(rates) if rates and isinstance(item, bytes) else 0.0

    def listen(self, loop, factory, host, port):
        """Open a listener; port 0 takes the next free one."""
        if not port:
            self.next_port += 1
            port = self.next_port
        if (host, port) in self.listeners:
            raise OSError(98, "address in use")
        self.listeners[(host, port)] = (loop, factory)
        server = SimServer(self, (host, port))
        return server

    async def connect(self, loop, factory, host, port):
        """Open a stream, as a process does."""
        done = loop.create_future()
        if not self.is_cut(loop.ip, host):
            self.world.at(
                self.delay_s(loop.ip, host), lambda: self._reach(loop, factory, host, port, done)
            )
        return await done

    def _reach(self, loop, factory, host, port, done):
        if loop.dead or done.done():
            return
        found = self.listeners.get((host, port))
        if found is None:
            if host not in self.vanished:
                loop.call_soon(self._finish, done, ConnectionRefusedError(111, "refused"))
            return
        if self.is_cut(host, loop.ip):
            return
        server, server_factory = found
        self.next_port += 1
        local, remote = (loop.ip, self.next_port), (host, port)
        near, far = (
            SimTransport(self, loop, local, remote),
            SimTransport(self, server, remote, local),
        )
        near.other, far.other = far, near
        self.open |= {near: None, far: None}

        def accept():
            far.protocol = server_factory()
            far.protocol.connection_made(far)
            far._drain()

        def made():
            if done.done():
                near.protocol = asyncio.Protocol()
                near.abort()
                return
            near.protocol = factory()
            near.protocol.connection_made(near)
            done.set_result((near, near.protocol))
            near._drain()

        server.call_soon(accept)
        self.world.at(
            self.delay_s(host, loop.ip), lambda: None if loop.dead else loop.call_soon(made)
        )

    def _finish(self, done, error):
        if not done.done():
            done.set_exception(error)

    def send(self, transport, item):
        """Carry one piece of a stream to its other end, in order."""
        a, b = transport.local[0], transport.remote[0]
        if self.sending_s(a, b, item) and len(item) > PACKET_BYTES:
            for at in range(0, len(item), PACKET_BYTES):
                self.send(transport, item[at : at + PACKET_BYTES])
            return
        if self.is_cut(a, b) or any(entry[0] is transport for entry in self.stuck):
            self.stuck.append((transport, item))
            return
        at = max(transport.ready_at, self.world.now + self.delay_s(a, b))
        at += self.sending_s(a, b, item)
        transport.ready_at = at
        other = transport.other

        def land():
            if not other.loop.dead and not other.gone:
                other.loop.call_soon(self._arrive, other, item)
            elif (
                not other.loop.dead
                and isinstance(item, bytes)
                and not transport.gone
                and not transport.loop.dead
            ):
                self.world.at(
                    self.delay_s(b, a),
                    lambda: (
                        None
                        if transport.loop.dead
                        else transport.loop.call_soon(
                            self._arrive, transport, ConnectionResetError("reset by peer")
                        )
                    ),
                )

        self.world.at(at - self.world.now, land)

    def _arrive(self, transport, item):
        if not transport.gone:
            transport.arrive(item)

    def datagram(self, loop, factory, local):
        """Open a datagram endpoint."""
        transport, protocol = SimDatagram(self, loop, local), factory()
        self.datagrams[local] = (loop, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, transport, data, addr):
        """Carry one datagram, or lose it."""
        a, b = transport.local[0], addr[0]
        if self.is_cut(a, b) or (self.loss_rate and self.world.random.random() < self.loss_rate):
            return

        def land():
            found = self.datagrams.get(tuple(addr))
            if found and not found[0].dead:
                found[0].call_soon(found[1].datagram_received, data, transport.local)

        self.world.at(self.delay_s(a, b), land)

    def drop(self, loop, silent):
        """Take all ends of a dead process away.

        A machine without power also loses what a cut held up.
        """
        self.listeners = {
            key: value for key, value in self.listeners.items() if value[0] is not loop
        }
        self.datagrams = {
            key: value for key, value in self.datagrams.items() if value[0] is not loop
        }
        if silent:
            self.stuck = [held for held in self.stuck if held[0].loop is not loop]
        for transport in [each for each in self.open if each.loop is loop]:
            del self.open[transport]
            if not silent and not transport.gone and not transport.closing:
                transport._post(ConnectionResetError("reset by peer"))
            transport.gone = transport.closing = True

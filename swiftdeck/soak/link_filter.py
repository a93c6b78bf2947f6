"""Cuts between processes without the help of the kernel: a filter over what a mesh receives."""

import asyncio
import random

import msgspec

from swiftdeck.wire.mesh import HEAD, split_addr

EXPIRES_S = 2.0
"""A cut that is not renewed for so long ends: no process stays cut off without a driver."""
LATE_LEAST_S, LATE_MOST_S = 0.1, 12.0
AGAIN_SHARE = 0.7
"""How many late messages had also come in time; the others come late only."""


class Cut(msgspec.Struct):
    """The senders whose messages a process may not hear; they are lost, or come late.

    Of all other messages `late_share` come late, one by one and out of their order.
    """

    senders: list[str] = []
    is_late: bool = False
    late_share: float = 0.0


class LinkFilter:
    """Holds back what comes from the senders of a cut.

    A stream over which something was held back either brings all of it in order at the end of the
    cut, as after retransmission, or is reset: TCP never loses the middle of a stream.
    """

    def __init__(self, mesh, control):
        self.mesh, self.control, self.cut = mesh, control, Cut()
        self.held, self.expiry, self.endpoint = {}, None, None
        self.chance = random.Random()
        self.take, self.start_mesh, self.close_mesh = mesh.receive, mesh.start, mesh.close

    def install(self):
        """Put the filter before the handlers of the mesh."""
        self.mesh.receive, self.mesh.start, self.mesh.close = self.filter, self.start, self.close
        return self

    async def start(self):
        """Listen for cuts, and start the mesh."""
        self.endpoint, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: ControlProtocol(self), local_addr=self.control
        )
        await self.start_mesh()

    def close(self):
        """Close the mesh, and listen no more."""
        self.endpoint.close()
        self.close_mesh()

    def apply(self, cut):
        """Replace the cut that holds."""
        if self.expiry:
            self.expiry.cancel()
        self.expiry = None
        ended = set(self.cut.senders) - set(cut.senders)
        was_late, self.cut = self.cut.is_late, cut
        if cut.senders or cut.late_share:
            loop = asyncio.get_running_loop()
            self.expiry = loop.call_later(EXPIRES_S, self.apply, Cut())
        if ended:
            self._release(ended, was_late)

    def filter(self, frame, link):
        """Handle one arrived frame, or hold it back; false when it does not parse."""
        if link in self.held:
            self.held[link][1].append(frame)
            return True
        sender = sender_of(frame)
        if sender not in self.cut.senders:
            return self._take_or_delay(frame, link)
        self.mesh.count["framesHeld"] += 1
        if link is not None:
            self.held[link] = (sender, [frame])
            link.transport.pause_reading()
        return True

    def _take_or_delay(self, frame, link):
        """Handle a frame now, later, or both."""
        if self.chance.random() >= self.cut.late_share:
            return self.take(frame, link)
        self.mesh.count["framesLate"] += 1
        late_s = self.chance.uniform(LATE_LEAST_S, LATE_MOST_S)
        asyncio.get_running_loop().call_later(late_s, self._take_late, frame, link)
        return self.take(frame, link) if self.chance.random() < AGAIN_SHARE else True

    def _take_late(self, frame, link):
        self.take(frame, None if link is not None and link.gone else link)

    def _release(self, senders, is_late):
        for link, (sender, frames) in list(self.held.items()):
            if sender not in senders:
                continue
            del self.held[link]
            if link.gone or link.transport.is_closing():
                continue
            if not is_late:
                link.transport.abort()
                continue
            link.transport.resume_reading()
            for frame in frames:
                self.take(frame, link)


def sender_of(frame) -> str:
    """The address that a frame gives as its sender's; empty when it does not parse."""
    try:
        *_, length = HEAD.unpack_from(frame)
        return frame[HEAD.size : HEAD.size + length].decode("ascii")
    except Exception:  # noqa: BLE001 - malformed frames are for the mesh to refuse
        return ""


class ControlProtocol(asyncio.DatagramProtocol):
    """Takes the cut that shall hold, whole, as often as it is sent."""

    def __init__(self, link_filter):
        self.link_filter = link_filter

    def datagram_received(self, data, address):
        """One cut."""
        self.link_filter.apply(msgspec.json.decode(data, type=Cut))


def filter_links(node, port):
    """Put a filter into a node; it listens on such a port of the node's own address."""
    ip, _ = split_addr(node.mesh.addr)
    LinkFilter(node.mesh, (ip, port)).install()
    return node

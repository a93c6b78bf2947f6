"""Cut links between processes in user space, with a filter over the frames that a mesh receives."""

import asyncio
import random

import msgspec

from swiftdeck.wire.mesh import HEAD, split_addr

CUT_EXPIRY_S = 2.0
"""A cut that is not renewed for this long ends, so no process stays cut off without a driver."""
MIN_LATE_S, MAX_LATE_S = 0.1, 12.0
DUPLICATE_SHARE = 0.7
"""Share of late messages that are also delivered in time; the others are only delivered late."""


class Cut(msgspec.Struct):
    """The senders whose messages to a process are held back, and then lost or delivered late.

    Of all other messages, a share of `late_share` is delivered late, individually and out of order.
    """

    senders: list[str] = []
    is_late: bool = False
    late_share: float = 0.0


class LinkFilter:
    """Holds back the frames from the senders of a cut.

    At the end of the cut, a stream with held frames either delivers all of them in order, as after
    a retransmission, or is reset, as TCP never loses the middle of a stream.
    """

    def __init__(self, mesh, control_address):
        self.mesh, self.control_address, self.cut = mesh, control_address, Cut()
        self.held_frames, self.expiry, self.endpoint = {}, None, None
        self.rng = random.Random()
        self.receive_frame, self.start_mesh, self.close_mesh = mesh.receive, mesh.start, mesh.close

    def install(self):
        """Replace receive, start and close of the mesh with the filter's; return the filter."""
        self.mesh.receive, self.mesh.start, self.mesh.close = (
            self.filter_frame,
            self.start,
            self.close,
        )
        return self

    async def start(self):
        """Listen for control datagrams, and start the mesh."""
        self.endpoint, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: ControlProtocol(self), local_addr=self.control_address
        )
        await self.start_mesh()

    def close(self):
        """Stop listening for control datagrams, and close the mesh."""
        self.endpoint.close()
        self.close_mesh()

    def apply(self, cut):
        """Replace the current cut, and release the frames of senders that are no longer cut off."""
        if self.expiry:
            self.expiry.cancel()
        self.expiry = None
        released_senders = set(self.cut.senders) - set(cut.senders)
        was_late, self.cut = self.cut.is_late, cut
        if cut.senders or cut.late_share:
            loop = asyncio.get_running_loop()
            self.expiry = loop.call_later(CUT_EXPIRY_S, self.apply, Cut())
        if released_senders:
            self._release(released_senders, was_late)

    def filter_frame(self, frame, link):
        """Deliver a received frame or hold it back; return False if it does not parse."""
        if link in self.held_frames:
            self.held_frames[link][1].append(frame)
            return True
        sender = parse_sender(frame)
        if sender not in self.cut.senders:
            return self._receive_or_delay(frame, link)
        self.mesh.count["framesHeld"] += 1
        if link is not None:
            self.held_frames[link] = (sender, [frame])
            link.transport.pause_reading()
        return True

    def _receive_or_delay(self, frame, link):
        """Deliver a frame now, later, or both."""
        if self.rng.random() >= self.cut.late_share:
            return self.receive_frame(frame, link)
        self.mesh.count["framesLate"] += 1
        late_s = self.rng.uniform(MIN_LATE_S, MAX_LATE_S)
        asyncio.get_running_loop().call_later(late_s, self._receive_late, frame, link)
        return self.receive_frame(frame, link) if self.rng.random() < DUPLICATE_SHARE else True

    def _receive_late(self, frame, link):
        self.receive_frame(frame, None if link is not None and link.gone else link)

    def _release(self, senders, is_late):
        for link, (sender, frames) in list(self.held_frames.items()):
            if sender not in senders:
                continue
            del self.held_frames[link]
            if link.gone or link.transport.is_closing():
                continue
            if not is_late:
                link.transport.abort()
                continue
            link.transport.resume_reading()
            for frame in frames:
                self.receive_frame(frame, link)


def parse_sender(frame) -> str:
    """Return the sender's address of a frame, or an empty string if the frame does not parse."""
    try:
        *_, length = HEAD.unpack_from(frame)
        return frame[HEAD.size : HEAD.size + length].decode("ascii")
    except Exception:  # noqa: BLE001 - the mesh rejects malformed frames
        return ""


class ControlProtocol(asyncio.DatagramProtocol):
    """Receives complete cuts, each of which replaces or renews the current one."""

    def __init__(self, link_filter):
        self.link_filter = link_filter

    def datagram_received(self, data, address):
        """Apply the cut in the datagram."""
        self.link_filter.apply(msgspec.json.decode(data, type=Cut))


def filter_links(node, port):
    """Install a filter that listens on a port of the node's own address; return the node."""
    ip, _ = split_addr(node.mesh.addr)
    LinkFilter(node.mesh, (ip, port)).install()
    return node

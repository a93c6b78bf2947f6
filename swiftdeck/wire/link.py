"""A TCP connection between two processes, which carries framed messages."""

import asyncio
import struct

import attrs

from swiftdeck.fault import BAD_FRAME, PEER_TIMEOUT
from swiftdeck.runtime.transports import limit_reads

FRAME_LIMIT_BYTES = 64 << 20
FRAMES_AT_ONCE, FRAMES_PER_TURN = 8, 32
"""How many frames of a link are handled as they arrive, and how many in a turn of its own."""
LENGTH = struct.Struct(">I")
"""Prefix of a frame on a stream: its length in bytes."""
PARTIAL_FRAME_S = 0.25
"""How long a link may pause within a frame that still counts as being received."""


@attrs.define(eq=False)
class RunningHandler:
    """The task that handles a message."""

    task: asyncio.Task
    is_bound: bool


class Link(asyncio.Protocol):
    """One TCP connection between two processes.

    `addr` is set only at the side that connected. `received_s` is when bytes were last received, by
    the clock of the loop. `running` has the running handlers of this link's messages, by the id of
    their task. `partial_since_s` is when the first byte of a frame came that is not whole yet,
    `has_received` is set once a frame was received that parses.
    """

    def __init__(self, mesh, addr=None):
        self.mesh, self.addr = mesh, addr
        self.transport, self.buffer = None, bytearray()
        self.running: dict[int, RunningHandler] = {}
        self.received_s = asyncio.get_running_loop().time()
        self.gone = self.is_queued = self.has_received = False
        self.partial_since_s = None

    def connection_made(self, transport):
        """Register the link with the mesh."""
        self.transport = transport
        limit_reads(transport)
        self.mesh.register_link(self)

    def pause_writing(self):
        """Note that the peer reads too slowly; `send` bounds what waits for it."""
        self.mesh.congested[self] = None

    def resume_writing(self):
        """Note that the peer has read again."""
        self.mesh.congested.pop(self, None)

    def unread_bytes(self) -> int:
        """Return how many bytes wait until the peer reads."""
        return self.transport.get_write_buffer_size()

    def eof_received(self):
        """Return False, so that the transport closes itself."""
        return False

    def data_received(self, data):
        """Handle the first frames that are complete; a malformed one closes the link."""
        self.received_s = asyncio.get_running_loop().time()
        self.buffer += data
        if not self.is_queued:
            self.handle_frames(FRAMES_AT_ONCE)

    def take_turn(self):
        """Handle further frames, in a turn that the mesh gives to one link at a time."""
        self.is_queued = False
        self.handle_frames(FRAMES_PER_TURN)

    def handle_frames(self, count):
        """Handle some of the frames that are complete, and the others when the turn comes."""
        offset = 0
        for _ in range(count):
            frame = self._next_frame(offset)
            if frame is None:
                break
            offset += LENGTH.size + len(frame)
            if not self.mesh.receive(frame, self):
                return self.reject("frame does not parse")
            self.has_received = True
        if offset:
            del self.buffer[:offset]
            self.partial_since_s = None
        self._await_turn()
        self._note_partial_frame()

    def _next_frame(self, offset) -> bytes | None:
        """Return the frame at an offset of the buffer, or None if it is not complete."""
        if len(self.buffer) - offset < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.buffer, offset)
        if length > self.mesh.frame_limit():
            self.reject("frame over the limit")
            return None
        start = offset + LENGTH.size
        return bytes(self.buffer[start : start + length]) if self._holds(start + length) else None

    def _holds(self, size) -> bool:
        return len(self.buffer) >= size

    def _await_turn(self):
        """Wait for a turn, and read nothing more, while complete frames are left."""
        if self._has_frame():
            self.is_queued = True
            self.transport.pause_reading()
            self.mesh.queue_turn(self)
        elif not self.transport.is_reading():
            self.transport.resume_reading()

    def _has_frame(self) -> bool:
        """Return whether the buffer begins with a complete frame."""
        if len(self.buffer) < LENGTH.size:
            return False
        return self._holds(LENGTH.size + LENGTH.unpack_from(self.buffer)[0])

    def _note_partial_frame(self):
        """Tell the mesh how much of a frame is waiting for the rest of it."""
        if self.gone or not self.buffer:
            return self.mesh.partial_frames.release(self)
        if self.partial_since_s is None:
            self.partial_since_s = self.received_s
        self.mesh.hold_partial_frame(self)

    def reject(self, reason):
        """Count and log a malformed frame, and close the link."""
        self.mesh.count[f"faults.{BAD_FRAME.code}"] += 1
        self.mesh.note("link refused", code=BAD_FRAME.code, reason=reason)
        self.drop()

    def drop(self):
        """Close the link at once, with what has arrived and was not handled."""
        self.buffer.clear()
        self.mesh.partial_frames.release(self)
        self.transport.abort()

    def is_receiving(self):
        """Return whether a frame is partly received and its last bytes came a moment ago."""
        is_fresh = asyncio.get_running_loop().time() - self.received_s < 2 * PARTIAL_FRAME_S
        return bool(self.buffer) and is_fresh and not self.gone

    def send(self, data):
        """Write one framed message; return False when the link is gone or its buffer is full."""
        if self.gone or self.transport.is_closing():
            return False
        if self in self.mesh.congested and not self.mesh.has_room_to_send(self, len(data)):
            return False
        self.transport.write(LENGTH.pack(len(data)) + data)
        return True

    def connection_lost(self, error):
        """Cancel the bound handlers of the link and fail its pending requests."""
        self.gone = True
        self.mesh.links.pop(self, None)
        self.mesh.partial_frames.release(self)
        self.mesh.congested.pop(self, None)
        for handler in list(self.running.values()):
            if handler.is_bound:
                handler.task.cancel()
        if self.addr and self.mesh.outgoing.get(self.addr) is self:
            del self.mesh.outgoing[self.addr]
        for pending in list(self.mesh.pending.values()):
            if pending.link is self and not pending.response.done():
                pending.response.set_result(PEER_TIMEOUT.with_reason("link lost"))

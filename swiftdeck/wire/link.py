"""A TCP connection between two processes, which carries framed messages."""

import asyncio
import struct

import attrs

from swiftdeck.fault import BAD_FRAME, PEER_TIMEOUT

FRAME_LIMIT_BYTES = 64 << 20
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
    their task.
    """

    def __init__(self, mesh, addr=None):
        self.mesh, self.addr = mesh, addr
        self.transport, self.buffer = None, bytearray()
        self.running: dict[int, RunningHandler] = {}
        self.received_s = asyncio.get_running_loop().time()
        self.gone = False

    def connection_made(self, transport):
        """Register the link with the mesh."""
        self.transport = transport
        self.mesh.links[self] = None

    def pause_writing(self):
        """Do nothing: `send` bounds the write buffer."""

    def resume_writing(self):
        """Do nothing: writing was never paused."""

    def eof_received(self):
        """Return False, so that the transport closes itself."""
        return False

    def data_received(self, data):
        """Handle the frames that are complete; a malformed one closes the link."""
        self.received_s = asyncio.get_running_loop().time()
        self.buffer += data
        offset = 0
        while len(self.buffer) - offset >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, offset)
            if length > FRAME_LIMIT_BYTES:
                return self.reject("frame over the limit")
            start = offset + LENGTH.size
            if len(self.buffer) - start < length:
                break
            frame = bytes(self.buffer[start : start + length])
            offset = start + length
            if not self.mesh.receive(frame, self):
                return self.reject("frame does not parse")
        del self.buffer[:offset]

    def reject(self, reason):
        """Count and log a malformed frame, and close the link."""
        self.mesh.count[f"faults.{BAD_FRAME.code}"] += 1
        self.mesh.note("link refused", code=BAD_FRAME.code, reason=reason)
        self.transport.abort()

    def is_receiving(self):
        """Return whether a frame is partly received and its last bytes came a moment ago."""
        is_fresh = asyncio.get_running_loop().time() - self.received_s < 2 * PARTIAL_FRAME_S
        return bool(self.buffer) and is_fresh and not self.gone

    def send(self, data):
        """Write one framed message; return False when the link is gone or its buffer is full."""
        if self.gone or self.transport.get_write_buffer_size() > 2 * FRAME_LIMIT_BYTES:
            return False
        self.transport.write(LENGTH.pack(len(data)) + data)
        return True

    def connection_lost(self, error):
        """Cancel the bound handlers of the link and fail its pending requests."""
        self.gone = True
        self.mesh.links.pop(self, None)
        for handler in list(self.running.values()):
            if handler.is_bound:
                handler.task.cancel()
        if self.addr and self.mesh.outgoing.get(self.addr) is self:
            del self.mesh.outgoing[self.addr]
        for pending in list(self.mesh.pending.values()):
            if pending.link is self and not pending.response.done():
                pending.response.set_result(PEER_TIMEOUT.with_reason("link lost"))

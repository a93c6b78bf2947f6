"""Parses the requests of a connection by h11, and rejects those whose end is ambiguous."""

import re

import h11

HEAD_END, CHUNKS_END = re.compile(rb"\n\r?\n"), b"\r\n\r\n"


def announced_length(request: h11.Request) -> int:
    """Return the length of the body that the head of a request announces, 0 where it gives none."""
    lengths = [int(value) for name, value in request.headers if name == b"content-length"]
    return lengths[0] if lengths else 0


def find_ambiguity(head: bytes):
    """Return why two parsers may disagree on where the request of a complete head ends, or None.

    h11 accepts bare line feeds and folded lines, as the standard permits. A proxy that doesn't
    would see another request in the same bytes (request smuggling).
    """
    if head.count(b"\n") != head.count(b"\r\n"):
        return "line ends without CR LF"
    if b"\n " in head or b"\n\t" in head:
        return "folded header line"
    return None


class RequestParser:
    """Passes bytes to an h11 connection, and returns its events.

    `previous_tail` and `latest_data` are the last bytes received, to check the end of chunks.
    """

    def __init__(self, conn: h11.Connection):
        self.conn = conn
        self.is_chunked = False
        self.previous_tail = self.latest_data = b""

    def receive(self, data: bytes):
        """Take received bytes, or none at the end of the stream."""
        if data:
            received = self.previous_tail + self.latest_data[-len(CHUNKS_END) :]
            self.previous_tail, self.latest_data = received[-len(CHUNKS_END) :], data
        self.conn.receive_data(data)

    def start_next_request(self):
        """Continue with the request behind one that was answered."""
        self.conn.start_next_cycle()
        self.previous_tail, self.latest_data = b"", self.conn.trailing_data[0]

    def next_event(self):
        """Return the next event of h11; raise h11.RemoteProtocolError for an ambiguous request."""
        head = self._complete_head()
        if ambiguity := find_ambiguity(head):
            raise h11.RemoteProtocolError(ambiguity)
        event = self.conn.next_event()
        if head and b"transfer-encoding" in head.lower() and isinstance(event, h11.Request):
            self._begin_chunks(event)
        elif self.is_chunked and isinstance(event, h11.EndOfMessage):
            self._end_chunks()
        return event

    def _complete_head(self) -> bytes:
        """Return the head of the next request if all of it has come, else no bytes."""
        raw = self.conn.trailing_data[0] if self.conn.their_state is h11.IDLE else b""
        match = HEAD_END.search(raw)
        return raw[: match.end()] if match else b""

    def _begin_chunks(self, request: h11.Request):
        names = [name for name, _ in request.headers]
        self.is_chunked = b"transfer-encoding" in names
        if self.is_chunked and b"content-length" in names:
            raise h11.RemoteProtocolError("both Content-Length and Transfer-Encoding")

    def _end_chunks(self):
        self.is_chunked = False
        received = self.previous_tail + self.latest_data
        if not received[: len(received) - len(self.conn.trailing_data[0])].endswith(CHUNKS_END):
            raise h11.RemoteProtocolError("chunks end without CR LF")

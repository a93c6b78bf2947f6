"""What misbehaving clients send: HTTP requests and frames that keep to no limit."""

import itertools

from swiftdeck.wire.link import LENGTH

BLOCK = b"x" * 65536
ENDLESS_BYTES = 1 << 30
"""An announced length that no receiver takes."""


def request_head(path: str, *lines: str, method: str = "POST", host: str = "site.example") -> bytes:
    """Return the complete head of a request."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {host}", *lines, "", ""]).encode()


def blocks(size: int):
    """Yield `size` bytes in large pieces."""
    for offset in range(0, size, len(BLOCK)):
        yield BLOCK[: min(len(BLOCK), size - offset)]


def repeated(data: bytes, count: int):
    """Yield the same bytes `count` times, in large pieces."""
    per_block = max(1, len(BLOCK) // len(data))
    for start in range(0, count, per_block):
        yield data * min(per_block, count - start)


def whole_body(path: str, size: int, *lines: str, method: str = "POST"):
    """Yield a complete request with a body of some size."""
    yield request_head(path, f"Content-Length: {size}", *lines, method=method)
    yield from blocks(size)


def body_short_of_its_end(path: str, size: int, *lines: str, method: str = "POST"):
    """Yield a request but for the last byte of its body."""
    yield request_head(path, f"Content-Length: {size}", *lines, method=method)
    yield from blocks(size - 1)


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunked_body_without_end(path: str, size: int, chunk_bytes: int, *lines: str):
    """Yield a chunked body in chunks of one size, but not its last chunk."""
    yield request_head(path, "Transfer-Encoding: chunked", *lines)
    per_block = max(1, len(BLOCK) // (chunk_bytes + 6))
    block = chunk(b"x" * chunk_bytes) * per_block
    for _ in range(0, size, per_block * chunk_bytes):
        yield block


def endless_body(path: str, *lines: str):
    """Yield a body whose announced length is far over any limit."""
    return itertools.chain(
        [request_head(path, f"Content-Length: {ENDLESS_BYTES}", *lines)], blocks(ENDLESS_BYTES)
    )


def endless_chunks(path: str, *lines: str):
    """Yield large chunks without end."""
    return chunked_body_without_end(path, ENDLESS_BYTES, 60000, *lines)


def endless_chunk_line(path: str, *lines: str):
    """Yield a chunk whose own line never ends."""
    yield request_head(path, "Transfer-Encoding: chunked", *lines)
    yield b"1;"
    yield from blocks(ENDLESS_BYTES)


def endless_trailers(path: str, *lines: str):
    """Yield trailers without end after a chunked body."""
    yield request_head(path, "Transfer-Encoding: chunked", *lines)
    yield chunk(b"x") + b"0\r\n"
    for number in itertools.count():
        yield f"Trailer-{number}: {'x' * 1000}\r\n".encode()


def endless_head():
    """Yield a request whose head never ends."""
    yield b"GET / HTTP/1.1\r\nHost: x\r\nA: "
    yield from blocks(ENDLESS_BYTES)


def requests_ahead(request: bytes, count: int):
    """Yield many complete requests without waiting for any answer."""
    yield from repeated(request, count)


def partial_head():
    """Yield the beginning of a request and nothing more."""
    yield b"POST /public/1 HTTP/1.1\r\nHost: "


def nothing():
    """Yield nothing: the connection is only open."""
    return ()


def frame_short_of_its_end(announced: int, sent: int):
    """Yield the announced length of a frame between nodes and fewer bytes than that."""
    yield LENGTH.pack(announced)
    yield from blocks(sent)


def frames(frame: bytes, count: int):
    """Yield the same frame between nodes again and again."""
    yield from repeated(LENGTH.pack(len(frame)) + frame, count)

"""Reads and writes the few HTTP/1.1 messages that the stand-ins need, without any library."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A message: the three words of its first line, its headers in lower case, and its body.

    `is_whole` says whether the body came to its end as its framing announced.
    """

    first_line: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = False


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, or None if the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(
        lines[0].split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs}
    )


async def read_body(reader: asyncio.StreamReader, message: Message):
    """Read the body of a message; `is_whole` stays False if it breaks off."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, message)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
        message.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return


async def _read_chunks(reader, message):
    while True:
        size = int((await reader.readline()).strip() or b"not a size", 16)
        data = await reader.readexactly(size + 2)
        message.body += data[:size]
        if not size:
            return


def encode(first_line: str, headers: dict, body: bytes = b"") -> bytes:
    """Return the bytes of a message; no header is added."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)

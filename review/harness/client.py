"""A stand-in for the platform's clients: one try of a request, over a connection of its own."""

import asyncio
import contextlib
import dataclasses

from harness.http_messages import encode, read_body, read_head


@dataclasses.dataclass
class Answer:
    """What a client saw of one try.

    `status` is 0 without an answer, and `is_whole` says whether the answer came to its end.
    """

    request: str
    status: int = 0
    is_whole: bool = False


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request of a client; `parts` are the names and sizes of the parts of its prompt."""

    request: str
    path: str
    key: str
    host: str = "site.example"
    deadline_s: float = 6.0
    model: str = ""
    parts: tuple[tuple[str, int], ...] = ()
    out_tokens: int = 4

    def head(self) -> dict:
        """Return the headers of the request."""
        headers = {
            "Host": self.host,
            "Swiftdeck-Request-Id": self.request,
            "Swiftdeck-Time-Left-Ms": int(self.deadline_s * 1000),
            "Authorization": f"Bearer {self.key}",
            "Content-Length": 2,
        }
        if self.model:
            tokens = sum(size for _, size in self.parts)
            headers |= {
                "Accept": "text/event-stream",
                "Swiftdeck-Model": self.model,
                "Swiftdeck-Token-Count": f"{tokens},{self.out_tokens}",
                "Swiftdeck-Prompt-Prefix": ",".join(f"{name}:{size}" for name, size in self.parts),
            }
        return headers


async def send(record, address: str, router: str, ask: Ask) -> Answer:
    """Send a request to a router and return the answer; the client leaves at its deadline."""
    answer, writer = Answer(ask.request), None
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(ask.deadline_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            record.add("sent", request=ask.request, router=router, path=ask.path, key=ask.key)
            writer.write(encode(f"POST {ask.path} HTTP/1.1", ask.head(), b"{}"))
            message = await read_head(reader)
            if message is not None:
                answer.status = int(message.first_line[1])
                await read_body(reader, message)
                answer.is_whole = message.is_whole
    except (TimeoutError, OSError) as error:
        record.add("not answered", request=ask.request, reason=repr(error))
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    record.add(
        "answered",
        request=ask.request,
        router=router,
        status=answer.status,
        whole=answer.is_whole,
    )
    return answer

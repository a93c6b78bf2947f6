"""One try of a call: its exchange with a router, and the check of what comes back."""

import asyncio

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

CONNECT_MS = 2000
TOKENS_OF_A_PIECE = 16
NOT_CONNECTED, NO_ANSWER = -1, -2
"""What stands as the status of a try that had no connection, or no answer."""
NAMES_OF_A_WHOLE_RETURN = ("code", "notRun", "call", "run", "reason")


class CallOptions(msgspec.Struct, frozen=True):
    """How one call is made.

    `leave_after` is the number of pieces after which the caller goes away, `slow_s` the pause
    before each piece is read.
    """

    max_tokens: int = 64
    idempotency: str = ""
    timeout_s: float = 90
    is_last: bool = False
    stream: bool = True
    talk: str = ""
    turn: int = 0
    leave_after: int | None = None
    slow_s: float = 0.0

    def headers(self, key: str) -> list[tuple[str, str]]:
        """Return the headers of the call for a tenant's key."""
        headers = [("authorization", f"Bearer {key}"), ("content-type", "application/json")]
        headers += [("idempotency-key", self.idempotency)] if self.idempotency else []
        headers += [("conversation-end", "1")] if self.is_last else []
        return headers

    def body(self, route: str, parts: list[str]) -> bytes:
        """Return the body of the call."""
        return msgspec.json.encode(
            {
                "model": route,
                "parts": parts,
                "maxTokens": self.max_tokens,
                "stream": self.stream,
            }
        )


class CallTry:
    """Sends a call and reads its return, each piece of which must show the marker of the call.

    `result` has what came back in the form of a record: `whole` says that the return came to its
    end, `wrong` what in it did not belong there.
    """

    def __init__(self, marker: str, options: CallOptions):
        self.marker, self.options = marker, options
        self.result = {
            "status": 0,
            "code": 0,
            "notRun": False,
            "call": "",
            "run": "",
            "whole": False,
            "pieces": 0,
            "wrong": "",
        }

    async def run(self, door: str, headers, body: bytes, link=None) -> dict:
        """Make the try at a router's door, within its time; returns the result.

        `link` is a connection that is kept open; without one the try has a connection of its own.
        """
        try:
            async with asyncio.timeout(self.options.timeout_s):
                await self._exchange(door, headers, body, link)
        except TimeoutError:
            self.result["gaveUp"] = True
        return self.result

    async def _exchange(self, door, headers, body, kept):
        ip, _, port = door.rpartition(":")
        link = kept or await connect(ip, int(port), CONNECT_MS)
        if is_fault(link):
            self.result["status"] = NOT_CONNECTED
            return
        try:
            response = await link.exchange("POST", "/v1/calls", headers, body, door)
            if is_fault(response):
                self.result["status"] = NO_ANSWER
                return
            await self._read(response)
        finally:
            if not kept:
                link.close()

    async def _read(self, response):
        self.result["status"] = response.status
        self.result["retryAfter"] = response.headers.get("retry-after", "")
        if response.headers.get("content-type") == "text/event-stream":
            await self._read_stream(response)
        else:
            await self._read_whole(response)

    async def _read_whole(self, response):
        body, result = await response.whole(), self.result
        answer = {} if is_fault(body) else msgspec.json.decode(body)
        for name in NAMES_OF_A_WHOLE_RETURN:
            if name in answer:
                result[name] = answer[name]
        result["whole"] = bool(answer.get("end"))
        result["sentTo"] = "" if result["whole"] else answer.get("worker", "")
        if result["whole"] and answer.get("text") != self._whole_text():
            result["wrong"] = f"text {answer.get('text', '')[:200]!r}"

    def _whole_text(self) -> str:
        """Return the text that the stand-in of a worker gives to this call."""
        pieces = max(1, self.options.max_tokens // TOKENS_OF_A_PIECE)
        return "".join(self._piece_text(number) for number in range(pieces))

    def _piece_text(self, number: int) -> str:
        return f"[[{self.marker}]]{number} "

    async def _read_stream(self, response):
        options, result = self.options, self.result
        async for line in response.lines():
            if not line.startswith(b"data:"):
                continue
            if options.leave_after is not None and result["pieces"] >= options.leave_after:
                result["left"] = True
                return
            if options.slow_s:
                await asyncio.sleep(options.slow_s)
            self._take_piece(msgspec.json.decode(line[5:]))

    def _take_piece(self, piece: dict):
        """Add one piece of a stream to the result, and check that it belongs there."""
        result = self.result
        if "code" in piece:
            result["code"], result["sentTo"] = piece["code"], piece.get("worker", "")
            return
        if result["run"] not in ("", piece["run"]):
            result["wrong"] = "piece of another run"
        result["run"], result["call"] = piece["run"], piece["call"]
        if piece.get("end"):
            result["whole"], result["usage"] = True, piece.get("usage", {})
            result["worker"] = piece.get("worker", "")
            result["waitedMs"] = piece.get("waitedMs", 0)
            return
        if piece["text"] != self._piece_text(result["pieces"]):
            result["wrong"] = f"piece {piece['text'][:60]!r} where {result['pieces']} was due"
        result["pieces"] += 1

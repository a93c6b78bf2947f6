"""A stand-in for the platform's clients, which keep to its page and record what they sent and got."""

import asyncio
import itertools
import re

import attrs

from swiftdeck.bench.platform_api.worker import digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)\n\n")
LEFT, SILENT, WHOLE, NOT_REACHED = "left", "silence or deadline", "whole", "not reached"
"""How a try ends that its client gives up, that has its answer, or that no router took."""
PROMISES, FINAL = (408, 421, 429, 503), (400, 401, 404, 413, 431)
STREAMING, SAFE = "streaming", "safe"
LEAST_SILENCE_S, SILENCE_AIMS, SILENCE_GAPS = 2.0, 4, 8
"""A stream is given up after a silence: the longest of a time, of some aims, and of some longest pauses."""
CONNECT_MS, NO_DOOR_PAUSE_S, AGAIN_S = 1000, 0.2, 0.05


@attrs.frozen
class Wanted:
    """What a client asks for, and how long and how often it tries.

    `door` is the name and the address of a router, where the client does not choose one. With `leaves_s` it closes its
    connection so long after it sent its request, and doesn't come back.
    """

    host: str
    path: str
    key: str = ""
    method: str = "POST"
    body: bytes = b"{}"
    kind: str = SAFE
    resumable: bool = False
    model: str = ""
    parts: tuple = ()
    out: int = 12
    within_ms: float = 6000
    aim_ms: float = 600
    gap_ms: float = 250
    tries: int = 3
    keeps: bool = True
    door: tuple[str, str] | None = None
    headers: tuple = ()
    leaves_s: float | None = None

    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.kind == STREAMING

    def silence_s(self) -> float:
        """After how long without anything a try is given up."""
        if not self.is_stream():
            return self.within_ms / 1000
        aims_s, gaps_s = SILENCE_AIMS * self.aim_ms / 1000, SILENCE_GAPS * self.gap_ms / 1000
        return max(LEAST_SILENCE_S, aims_s, gaps_s)

    def lines(self, name, left_ms, last_event) -> list:
        """The headers of one try."""
        lines = [
            ("Swiftdeck-Request-Id", name),
            ("Swiftdeck-Time-Left-Ms", str(left_ms)),
            *self.headers,
        ]
        if self.key:
            lines.append(("Authorization", f"Bearer {self.key}"))
        if self.is_stream():
            lines.append(("Accept", "text/event-stream"))
        if self.model:
            lines += self._prompt_lines()
        if last_event and self.resumable:
            lines.append(("Last-Event-Id", str(last_event)))
        return lines

    def _prompt_lines(self):
        tokens = sum(each for _, each in self.parts)
        prefix = ",".join(f"{part}:{count}" for part, count in self.parts)
        return [
            ("Swiftdeck-Model", self.model),
            ("Swiftdeck-Token-Count", f"{tokens},{self.out}"),
            ("Swiftdeck-Prompt-Prefix", prefix),
        ]

    def is_tried_again(self, got) -> bool:
        """Whether a further try may follow one that ended so."""
        if got["end"] == LEFT or got["complete"] and 200 <= got["status"] < 300:
            return False
        if got["status"] in FINAL:
            return False
        if self.kind == SAFE or not got["sent"] or got["status"] in PROMISES and got["complete"]:
            return True
        return self.is_stream() and self.resumable


def empty_result(name, router, kind) -> dict:
    """The result of a try of which nothing was sent and nothing has come."""
    return {
        "id": name,
        "router": router,
        "status": 0,
        "end": "",
        "sent": False,
        "complete": False,
        "seal": "",
        "events": [],
        "body": "",
        "ownId": "",
        "retryAfter": 0.0,
        "mode": kind,
    }


class Client:
    """Sends requests, each try under an id of its own."""

    def __init__(self, name, record, random, doors):
        self.name, self.record, self.random, self.doors = name, record, random, doors
        self.serial, self.kept = itertools.count(1), {}

    async def ask(self, host, path, **fields):
        """One request with its further tries, by the fields of `Wanted`; gives the last result."""
        wanted = Wanted(host, path, **fields)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wanted.within_ms / 1000
        root, events = f"{self.name}-{next(self.serial)}", []
        for turn in range(wanted.tries):
            door = wanted.door or self._door()
            if door is None:
                await asyncio.sleep(NO_DOOR_PAUSE_S)
                continue
            got = await self._one_try(wanted, door, root, turn, events, end_s)
            events += got["events"]
            if not wanted.is_tried_again(got) or loop.time() >= end_s:
                break
            pause_s = min(got["retryAfter"] or AGAIN_S, (end_s - loop.time()) / 3)
            await asyncio.sleep(max(0, pause_s))
        return got | {"allEvents": events}

    def _door(self):
        doors = self.doors()
        return self.random.choice(doors) if doors else None

    async def _one_try(self, wanted, door, root, turn, events, end_s):
        """Send a request once, and record it and what came of it."""
        name, last_event = f"{root}.{turn}", events[-1][0] if events else 0
        left_ms = max(1, int((end_s - asyncio.get_running_loop().time()) * 1000))
        self.record(
            "try",
            id=name,
            root=root,
            host=wanted.host,
            target=wanted.path,
            key=wanted.key,
            method=wanted.method,
            body=digest(wanted.body),
            router=door[0],
            mode=wanted.kind,
            resumable=wanted.resumable,
            end_ms=left_ms,
            after=last_event,
        )
        got = empty_result(name, door[0], wanted.kind)
        try:
            lines = wanted.lines(name, left_ms, last_event)
            await self._exchange(wanted, door[1], lines, got, end_s)
        finally:
            self.record("result", **got)
        return got

    async def _exchange(self, wanted, addr, lines, got, end_s):
        link = await self._link(wanted, addr, got)
        if link is None:
            got["end"] = NOT_REACHED
            return
        got["sent"] = True
        leaving = asyncio.timeout(wanted.leaves_s)
        try:
            async with leaving, asyncio.timeout_at(end_s):
                async with asyncio.timeout(wanted.silence_s()) as silence:
                    await self._read(wanted, link, lines, got, silence)
        except TimeoutError:
            got["end"] = LEFT if leaving.expired() else SILENT
        if got["end"] == WHOLE and wanted.keeps and got["keep"]:
            self.kept[addr] = link
        else:
            self._leave(link, got)

    async def _link(self, wanted, addr, got):
        """A connection to a router, kept or new, or None."""
        link = self.kept.pop(addr, None) if wanted.keeps else None
        if link is not None and link.conn.trailing_data[0]:
            self.record("surplus", data=repr(link.conn.trailing_data[0][:40]))
        elif link is not None and not link.gone:
            got["kept"] = True
            return link
        ip, _, port = addr.rpartition(":")
        link = await connect(ip, int(port), CONNECT_MS)
        return None if is_fault(link) else link

    def _leave(self, link, got):
        """Close a connection as clients do: by the end of the stream, not by a reset."""
        if got["end"] in (LEFT, SILENT) and not link.gone:
            self.record("left", id=got["id"], router=got["router"])
        link.transport.close()

    async def _read(self, wanted, link, lines, got, silence):
        """Send the request, and read its answer as it comes."""
        answer = await link.exchange(wanted.method, wanted.path, lines, wanted.body, wanted.host)
        got["keep"] = False
        if is_fault(answer):
            got["end"] = f"no answer: {answer.reason}"
            return
        head, data = answer.headers, bytearray()
        got |= {
            "status": answer.status,
            "seal": head.get("swiftdeck-server-seal", ""),
            "ownId": head.get("swiftdeck-request-id", ""),
            "retryAfter": float(head.get("retry-after", 0)),
            "keep": head.get("connection", "") != "close",
        }
        has_events = wanted.is_stream() and answer.status == 200
        async for piece in answer.pieces():
            data += piece
            silence.reschedule(asyncio.get_running_loop().time() + wanted.silence_s())
            if has_events:
                got["events"] += self._events(data)
        got["complete"] = answer.fault is None
        got["end"] = WHOLE if got["complete"] else f"cut: {answer.fault.reason}"
        got["body"] = "" if wanted.is_stream() else digest(bytes(data))
        got["rest"] = len(data) if has_events else 0

    @staticmethod
    def _events(data):
        """Take the whole events out of what has come: their number, name and run."""
        end = data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
        found = [
            [int(number), name.decode(), run.decode()]
            for number, name, _, run in EVENT.findall(data[:end])
        ]
        del data[:end]
        return found

"""A stand-in for the platform's clients, which keep to its page and record what they sent and got."""

import asyncio
import itertools
import re

from swiftdeck.bench.outer.worker import digest
from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)\n\n")
LEFT, SILENT = "left", "silence or deadline"
"""How a try ends that its client gives up."""
PROMISES, FINAL = (408, 421, 429, 503), (400, 401, 404, 413, 431)


class Client:
    """Sends requests, each try under an id of its own."""

    def __init__(self, name, record, random, doors):
        self.name, self.record, self.random, self.doors = name, record, random, doors
        self.serial, self.kept = itertools.count(1), {}

    async def ask(
        self,
        host,
        path,
        key="",
        method="POST",
        body=b"{}",
        kind="safe",
        resumable=False,
        model="",
        parts=(),
        out=12,
        within_ms=6000,
        aim_ms=600,
        gap_ms=250,
        tries=3,
        keeps=True,
        door=None,
        headers=(),
        leaves_s=None,
    ):
        """One request with its further tries; gives the last result.

        A client that leaves closes its connection so long after it sent its request, and doesn't come back.
        """
        loop = asyncio.get_running_loop()
        end_s, root, events = loop.time() + within_ms / 1000, f"{self.name}-{next(self.serial)}", []
        silence_s = (
            max(2.0, 4 * aim_ms / 1000, 8 * gap_ms / 1000)
            if kind == "streaming"
            else within_ms / 1000
        )
        for turn in range(tries):
            name = f"{root}.{turn}"
            left_ms = max(1, int((end_s - loop.time()) * 1000))
            lines = [
                ("Swiftdeck-Request-Id", name),
                ("Swiftdeck-Time-Left-Ms", str(left_ms)),
                *headers,
            ]
            lines += [("Authorization", f"Bearer {key}")] if key else []
            lines += [("Accept", "text/event-stream")] if kind == "streaming" else []
            lines += (
                [
                    ("Swiftdeck-Model", model),
                    ("Swiftdeck-Token-Count", f"{sum(each for _, each in parts)},{out}"),
                    (
                        "Swiftdeck-Prompt-Prefix",
                        ",".join(f"{part}:{tokens}" for part, tokens in parts),
                    ),
                ]
                if model
                else []
            )
            lines += [("Last-Event-Id", str(events[-1][0]))] if events and resumable else []
            chosen = door or self._door()
            if chosen is None:
                await asyncio.sleep(0.2)
                continue
            self.record(
                "try",
                id=name,
                root=root,
                host=host,
                target=path,
                key=key,
                method=method,
                body=digest(body),
                router=chosen[0],
                mode=kind,
                resumable=resumable,
                end_ms=left_ms,
                after=events[-1][0] if events else 0,
            )
            got = {
                "id": name,
                "router": chosen[0],
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
            try:
                await self._try(
                    chosen[1],
                    host,
                    path,
                    method,
                    body,
                    lines,
                    got,
                    end_s,
                    silence_s,
                    keeps,
                    leaves_s,
                )
            finally:
                self.record("result", **got)
            events += got["events"]
            if not self._again(got, kind, resumable) or loop.time() >= end_s:
                break
            if got["end"] == LEFT:
                break
            await asyncio.sleep(max(0, min(got["retryAfter"] or 0.05, (end_s - loop.time()) / 3)))
        return got | {"allEvents": events}

    def _door(self):
        doors = self.doors()
        return self.random.choice(doors) if doors else None

    @staticmethod
    def _again(got, kind, resumable):
        if got["complete"] and 200 <= got["status"] < 300 or got["status"] in FINAL:
            return False
        if kind == "safe" or not got["sent"] or got["status"] in PROMISES and got["complete"]:
            return True
        return kind == "streaming" and resumable

    async def _try(
        self, addr, host, path, method, body, headers, got, end_s, silence_s, keeps, leaves_s
    ):
        link = self.kept.pop(addr, None) if keeps else None
        if link is None or link.gone or link.conn.trailing_data[0]:
            if link is not None and link.conn.trailing_data[0]:
                self.record("surplus", data=repr(link.conn.trailing_data[0][:40]))
            ip, _, port = addr.rpartition(":")
            link = await connect(ip, int(port), 1000)
            if is_fault(link):
                got["end"] = "not reached"
                return
        else:
            got["kept"] = True
        got["sent"] = True
        leaving = asyncio.timeout(leaves_s)
        try:
            async with leaving, asyncio.timeout_at(end_s):
                async with asyncio.timeout(silence_s) as silence:
                    await self._read(
                        link, host, path, method, body, headers, got, silence, silence_s
                    )
        except TimeoutError:
            got["end"] = LEFT if leaving.expired() else SILENT
        if got["end"] == "whole" and keeps and got["keep"]:
            self.kept[addr] = link
        else:
            self._leave(link, got)

    def _leave(self, link, got):
        """Close a connection as clients do: by the end of the stream, not by a reset."""
        if got["end"] in (LEFT, SILENT) and not link.gone:
            self.record("left", id=got["id"], router=got["router"])
        link.transport.close()

    async def _read(self, link, host, path, method, body, headers, got, silence, silence_s):
        answer = await link.exchange(method, path, headers, body, host)
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
        async for piece in answer.pieces():
            data += piece
            silence.reschedule(asyncio.get_running_loop().time() + silence_s)
            if got["mode"] == "streaming" and answer.status == 200:
                end = data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
                got["events"] += [
                    [int(number), name.decode(), run.decode()]
                    for number, name, _, run in EVENT.findall(data[:end])
                ]
                del data[:end]
        got["complete"] = answer.fault is None
        got["end"] = "whole" if got["complete"] else f"cut: {answer.fault.reason}"
        got["body"] = digest(bytes(data)) if got["mode"] != "streaming" else ""
        got["rest"] = len(data) if got["mode"] == "streaming" and answer.status == 200 else 0

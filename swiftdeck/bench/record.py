"""What a stand-in saw, a line of JSON each."""

import time
import typing

import msgspec


class Sink(typing.Protocol):
    """Takes what a stand-in saw."""

    def __call__(self, kind: str, **fields):
        """Take one record of a kind."""
        ...


def boot_ms() -> int:
    """The clock that all processes of one machine share."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class FileRecord:
    """Appends to a file."""

    def __init__(self, path, who):
        self.who = who
        self.file = open(path, "ab", buffering=0)  # noqa: SIM115 - open for as long as its process

    def __call__(self, kind: str, **fields):
        """Append one record of a kind, at the time on the machine's clock."""
        self.file.write(
            msgspec.json.encode({"atMs": boot_ms(), "who": self.who, "kind": kind} | fields) + b"\n"
        )


class ListRecord:
    """Appends to a list that all simulated stand-ins share."""

    def __init__(self, items, who, clock):
        self.items, self.who, self.clock = items, who, clock

    def __call__(self, kind: str, **fields):
        """Append one record of a kind, at the time on the given clock in seconds."""
        self.items.append(
            {"atMs": int(self.clock() * 1000), "who": self.who, "kind": kind} | fields
        )


def read_records(paths):
    """All records of some files, in the order of their time; a torn last line is passed over."""

    def lines():
        for path in paths:
            with open(path, "rb") as file:
                yield from file

    return sorted(
        (msgspec.json.decode(line) for line in lines() if line.endswith(b"\n")),
        key=lambda item: item["atMs"],
    )

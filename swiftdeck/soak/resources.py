"""Measure what processes use of their machines: memory, unread bytes and descriptors."""

import asyncio
import contextlib
import os
import socket
import struct
from pathlib import Path

import attrs

SAMPLE_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LISTENING_STATE = "0A"
SOCKET_TABLES = ("/proc/net/tcp", "/proc/net/udp")


@attrs.define
class Usage:
    """The most that one process was seen to use.

    `memory_bytes` is its resident memory with the bytes that arrived at its sockets and are unread.
    """

    memory_bytes: int = 0
    descriptors: int = 0


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def peak_resident_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def descriptor_count(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes_by_ip() -> dict[str, int]:
    """Return the unread bytes of all sockets by the local IP of the socket."""
    unread = {}
    for table in SOCKET_TABLES:
        for line in Path(table).read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == LISTENING_STATE:
                continue
            packed_ip = struct.pack("=I", int(fields[1].partition(":")[0], 16))
            ip = socket.inet_ntoa(packed_ip)
            unread[ip] = unread.get(ip, 0) + int(fields[4].partition(":")[2], 16)
    return unread


class ResourceWatch:
    """Samples the processes of a site until it is stopped."""

    def __init__(self, processes):
        self.processes = processes
        self.usage = {process.machine.name: Usage() for process in processes}
        self.task = None

    def start(self):
        """Start to sample."""
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        """Take one sample of each process that runs."""
        unread = unread_bytes_by_ip()
        for process in self.processes:
            if process.is_running():
                with contextlib.suppress(OSError):
                    self._sample_process(process, unread.get(process.machine.ip, 0))

    def _sample_process(self, process, unread):
        pid, usage = process.child.pid, self.usage[process.machine.name]
        memory = max(resident_bytes(pid) + unread, peak_resident_bytes(pid))
        usage.memory_bytes = max(usage.memory_bytes, memory)
        usage.descriptors = max(usage.descriptors, descriptor_count(pid))

    def stop(self):
        """Take a last sample and stop."""
        self.sample()
        self.task.cancel()

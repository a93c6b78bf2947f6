"""The platform's list of workers."""

import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.http.client import fetch_json

PATH, WORKERS, NEXT, PAGE = "/workers", "app-servers", "next-token", "page-token"
PAGES_MOST = 200


class Weights(msgspec.Struct):
    """A model that a worker has."""

    name: str
    version: int = 0


class Entry(msgspec.Struct, rename="kebab"):
    """One worker as the list has it."""

    id: str
    backend: str
    address: str
    zone: str = ""
    capacity: int = 1
    server_state: str = "ready"
    warmup_left_ms: float = 0
    models: list[Weights] | None = None


class Page(msgspec.Struct):
    """One page of the list."""

    workers: list[Entry] = msgspec.field(name=WORKERS)
    next: str | None = msgspec.field(name=NEXT, default=None)


class PlatformList:
    """Reads the list whole, page after page; a page that can't be read makes the reading fail."""

    def __init__(self, addr: str):
        self.addr = addr

    async def read(self):
        """All workers, or a fault."""
        found, token, seen = [], None, set()
        while token not in seen and len(seen) < PAGES_MOST:
            seen.add(token)
            got = await fetch_json(
                self.addr, "GET", f"{PATH}?{PAGE}={token}" if token else PATH, timeoutMs=1000
            )
            if is_fault(got) or got[0] != 200:
                return (
                    got
                    if is_fault(got)
                    else BAD_BACKEND_RESPONSE.with_reason(f"list says {got[0]}")
                )
            try:
                page = msgspec.convert(got[1], Page)
            except msgspec.ValidationError as error:
                return BAD_BACKEND_RESPONSE.with_reason(f"list: {error}")
            found += page.workers
            token = page.next
            if token is None:
                return [
                    WorkerListing(
                        each.id,
                        each.address,
                        each.backend,
                        each.zone,
                        max(1, each.capacity),
                        each.server_state != "ready",
                        {one.name: one.version for one in each.models or ()},
                        int(each.warmup_left_ms),
                    )
                    for each in found
                ]
        return BAD_BACKEND_RESPONSE.with_reason("list goes round in circles")

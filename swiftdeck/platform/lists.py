"""Reads the platform's list of workers."""

import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import WorkerListing
from swiftdeck.http.client import fetch_json

PATH, WORKERS_FIELD, NEXT_FIELD, PAGE_PARAMETER = (
    "/workers",
    "app-servers",
    "next-token",
    "page-token",
)
MAX_PAGES = 200


class ListedModel(msgspec.Struct):
    """A model that a worker has loaded, and the version of its weights."""

    name: str
    version: int = 0


class ListEntry(msgspec.Struct, rename="kebab"):
    """A worker's entry in the list."""

    id: str
    backend: str
    address: str
    zone: str = ""
    capacity: int = 1
    server_state: str = "ready"
    warmup_left_ms: float = 0
    models: list[ListedModel] | None = None


class ListPage(msgspec.Struct):
    """A page of the list; `next` is the token of the following page."""

    workers: list[ListEntry] = msgspec.field(name=WORKERS_FIELD)
    next: str | None = msgspec.field(name=NEXT_FIELD, default=None)


class PlatformList:
    """Reads the whole list page by page; a page that can't be read fails the whole read."""

    def __init__(self, addr: str):
        self.addr = addr

    async def read(self):
        """Return a WorkerListing for each worker, or a fault.

        A page token that repeats, or more than `MAX_PAGES` pages, is a fault.
        """
        entries, token, seen_tokens = [], None, set()
        while token not in seen_tokens and len(seen_tokens) < MAX_PAGES:
            seen_tokens.add(token)
            response = await fetch_json(
                self.addr,
                "GET",
                f"{PATH}?{PAGE_PARAMETER}={token}" if token else PATH,
                timeoutMs=1000,
            )
            if is_fault(response) or response[0] != 200:
                return (
                    response
                    if is_fault(response)
                    else BAD_BACKEND_RESPONSE.with_reason(f"list says {response[0]}")
                )
            try:
                page = msgspec.convert(response[1], ListPage)
            except msgspec.ValidationError as error:
                return BAD_BACKEND_RESPONSE.with_reason(f"list: {error}")
            entries += page.workers
            token = page.next
            if token is None:
                return [
                    WorkerListing(
                        entry.id,
                        entry.address,
                        entry.backend,
                        entry.zone,
                        max(1, entry.capacity),
                        entry.server_state != "ready",
                        {model.name: model.version for model in entry.models or ()},
                        int(entry.warmup_left_ms),
                    )
                    for entry in entries
                ]
        return BAD_BACKEND_RESPONSE.with_reason("list goes round in circles")

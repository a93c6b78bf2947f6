"""Reads the event reports of the platform's caches."""

from typing import Annotated

import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import CacheReport, Reports
from swiftdeck.http.kept import KeptJson

PATH, WAIT_HEADER, NEXT_FIELD = "/swiftdeck/kv-events", "Wait-Ms", "next-token"
TokenCount = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class CacheResponse(msgspec.Struct):
    """Response of a cache: its events, the token to continue from, and whether events were lost."""

    epoch: int
    next: int = msgspec.field(name=NEXT_FIELD)
    events: list[tuple[int, str, str, str, TokenCount, str]]
    lost: bool = False


class PlatformCaches:
    """Creates followers that read cache reports by long polling."""

    def follower(self, addr: str):
        """Return a follower of the cache at `addr` with its own connection."""
        return PlatformFollower(addr)


class PlatformFollower:
    """Reads the reports of one cache over a persistent connection."""

    def __init__(self, addr: str):
        self.http_client = KeptJson(addr)

    def close(self):
        """Close the connection."""
        self.http_client.close()

    async def reports(self, since: int, wait_ms: int):
        """Return the reports after number `since`, or a fault.

        The cache holds the call for up to `wait_ms` until there are reports.
        """
        response = await self.http_client.fetch(
            "GET",
            f"{PATH}?since={since}",
            headers=[(WAIT_HEADER, str(wait_ms))],
            timeout_ms=wait_ms + 500,
        )
        if is_fault(response) or response[0] != 200:
            return (
                response
                if is_fault(response)
                else BAD_BACKEND_RESPONSE.with_reason(f"reports say {response[0]}")
            )
        try:
            report = msgspec.convert(response[1], CacheResponse)
        except msgspec.ValidationError as error:
            return BAD_BACKEND_RESPONSE.with_reason(f"reports: {error}")
        return Reports(
            report.epoch,
            report.next,
            report.lost,
            [
                CacheReport(number, salt, part, tokens, sign == "+")
                for number, sign, salt, part, tokens, _ in report.events
            ],
        )

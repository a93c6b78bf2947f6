"""Reports of the platform's caches."""

from typing import Annotated

import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import CacheReport, Reports
from swiftdeck.http.kept import KeptJson

PATH, WAIT, NEXT = "/swiftdeck/kv-events", "Wait-Ms", "next-token"
Tokens = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class Told(msgspec.Struct):
    """The answer of a cache."""

    epoch: int
    next: int = msgspec.field(name=NEXT)
    events: list[tuple[int, str, str, str, Tokens, str]]
    lost: bool = False


class PlatformCaches:
    """Asks a cache for its reports; the call is held there until there are some."""

    def follower(self, addr: str):
        """One follower with a connection of its own."""
        return PlatformFollower(addr)


class PlatformFollower:
    """Follows one cache."""

    def __init__(self, addr: str):
        self.kept = KeptJson(addr)

    def close(self):
        """Follow no more."""
        self.kept.close()

    async def reports(self, since: int, wait_ms: int):
        """Reports since a number, or a fault."""
        got = await self.kept.fetch(
            "GET", f"{PATH}?since={since}", headers=[(WAIT, str(wait_ms))], timeout_ms=wait_ms + 500
        )
        if is_fault(got) or got[0] != 200:
            return (
                got if is_fault(got) else BAD_BACKEND_RESPONSE.with_reason(f"reports say {got[0]}")
            )
        try:
            told = msgspec.convert(got[1], Told)
        except msgspec.ValidationError as error:
            return BAD_BACKEND_RESPONSE.with_reason(f"reports: {error}")
        return Reports(
            told.epoch,
            told.next,
            told.lost,
            [
                CacheReport(number, salt, part, tokens, sign == "+")
                for number, sign, salt, part, tokens, _ in told.events
            ],
        )

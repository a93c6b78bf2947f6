"""JSON over one connection that is kept from one exchange to the next."""

import asyncio

import h11
import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, PEER_TIMEOUT, is_fault
from swiftdeck.http.client import connect


class KeptJson:
    """Exchanges with one back end, one after another; a connection in doubt is closed and the next one opened."""

    def __init__(self, addr: str):
        self.addr, self.link = addr, None

    async def fetch(self, method: str, path: str, body=None, headers=(), timeout_ms: int = 2000):
        """(status, value), or a fault."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                got = await self._fetch(method, path, body, headers)
        except TimeoutError:
            got = PEER_TIMEOUT.with_reason(f"{method} {path} at {self.addr}")
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            got = BAD_BACKEND_RESPONSE.with_reason(str(error))
        if (
            is_fault(got)
            or self.link.conn.our_state is not h11.DONE
            or self.link.conn.their_state is not h11.DONE
        ):
            self.close()
        return got

    async def _fetch(self, method, path, body, headers):
        if self.link is not None and self.link.conn.trailing_data[0]:
            self.close()
        if self.link is None or self.link.gone:
            ip, _, port = self.addr.rpartition(":")
            link = await connect(ip, int(port), 1000)
            if is_fault(link):
                return link
            self.link = link
        data = b"" if body is None else msgspec.json.encode(body)
        got = await self.link.exchange(method, path, headers, data, self.addr)
        if is_fault(got):
            return got
        whole = await got.whole()
        return (
            whole
            if is_fault(whole)
            else (got.status, msgspec.json.decode(whole) if whole else None)
        )

    def close(self):
        """Drop the connection."""
        if self.link is not None:
            self.link.close()
            self.link = None

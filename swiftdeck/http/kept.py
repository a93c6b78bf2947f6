"""JSON requests over one connection that is kept open between exchanges."""

import asyncio

import h11
import msgspec

from swiftdeck.fault import BAD_BACKEND_RESPONSE, PEER_TIMEOUT, is_fault
from swiftdeck.http.client import connect


class KeptJson:
    """Exchanges JSON with one back end, one request at a time.

    A connection whose state is in doubt is closed, and the next exchange opens a new one.
    """

    def __init__(self, addr: str):
        self.addr, self.link = addr, None

    async def fetch(self, method: str, path: str, body=None, headers=(), timeout_ms: int = 2000):
        """Return (status, value) of a JSON exchange, or a fault."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                result = await self._fetch(method, path, body, headers)
        except TimeoutError:
            result = PEER_TIMEOUT.with_reason(f"{method} {path} at {self.addr}")
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            result = BAD_BACKEND_RESPONSE.with_reason(str(error))
        if (
            is_fault(result)
            or self.link.conn.our_state is not h11.DONE
            or self.link.conn.their_state is not h11.DONE
        ):
            self.close()
        return result

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
        response = await self.link.exchange(method, path, headers, data, self.addr)
        if is_fault(response):
            return response
        response_body = await response.whole()
        return (
            response_body
            if is_fault(response_body)
            else (response.status, msgspec.json.decode(response_body) if response_body else None)
        )

    def close(self):
        """Close the connection, if one is open."""
        if self.link is not None:
            self.link.close()
            self.link = None

"""A stand-in for the platform's operator."""

import asyncio
import json
import time

from harness.http_messages import encode, read_body, read_head

CONFIG_PATH = "/swiftdeck/config"


class NotAcknowledgedError(Exception):
    """A change of the configuration was not acknowledged in time."""


class Operator:
    """Sends changes of the configuration to one core after another until one is acknowledged."""

    def __init__(self, record, addresses):
        self.record, self.addresses, self.version = record, addresses, 0
        self.patience_s = 20.0

    async def put(self, document: dict):
        """Send a whole configuration."""
        await self._change("PUT", document)

    async def patch(self, put_items=None, remove_names=None):
        """Send a change of named items."""
        body = {"put-items": put_items} if put_items else {}
        await self._change("PATCH", body | ({"remove-names": remove_names} if remove_names else {}))

    async def _change(self, method: str, body: dict):
        """Send a change until it is acknowledged; raise NotAcknowledgedError otherwise."""
        version = self.version + 2
        data = json.dumps({"version": version} | body).encode()
        self.record.add("change sent", method=method, version=version, body=body)
        end_s, turn, status = time.monotonic() + self.patience_s, 0, 0
        while time.monotonic() < end_s:
            turn += 1
            status = await self._call(self.addresses[turn % len(self.addresses)], method, data)
            if status == 200:
                self.version = version
                return self.record.add("change acknowledged", version=version)
            if 400 <= status < 500 and status not in (408, 429):
                break
            await asyncio.sleep(0.2)
        raise NotAcknowledgedError(f"change {version} was not acknowledged: status {status}")

    async def _call(self, address: str, method: str, data: bytes) -> int:
        """Return the status of one call, 0 without an answer."""
        ip, _, port = address.rpartition(":")
        headers = {
            "Host": address,
            "If-Match": self.version,
            "Content-Type": "application/json",
            "Content-Length": len(data),
            "Connection": "close",
        }
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write(encode(f"{method} {CONFIG_PATH} HTTP/1.1", headers, data))
                    message = await read_head(reader)
                    if message is None:
                        return 0
                    await read_body(reader, message)
                    return int(message.first_line[1])
                finally:
                    writer.close()
        except (TimeoutError, OSError):
            return 0

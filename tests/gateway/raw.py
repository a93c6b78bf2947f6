"""A client that writes bytes as it likes, and an honest account of what it sent and got."""

import asyncio

import h11

from swiftdeck.bench.platform_api.client import SAFE, empty_result
from swiftdeck.bench.platform_api.worker import digest
from tests.gateway.platform_cluster import HOST, KEYS, ROUTES

OWN_KEY = KEYS["nowu640"][0]


def request_bytes(
    name, route="r-safe", path="1", body=b"{}", lines=(), method="POST", time_left_ms=3000
):
    """One proper request."""
    head = [
        f"{method} {ROUTES[route][0]}{path} HTTP/1.1",
        f"Host: {HOST}",
        f"Swiftdeck-Request-Id: {name}",
        f"Swiftdeck-Time-Left-Ms: {time_left_ms}",
        f"Authorization: Bearer {OWN_KEY}",
        *lines,
    ]
    framing = (
        ()
        if any("transfer-encoding" in each.lower() for each in lines)
        else (f"Content-Length: {len(body)}",)
    )
    return "\r\n".join([*head, *framing, "", ""]).encode() + body


class RawClient(asyncio.Protocol):
    """One connection of such a client."""

    def __init__(self, cluster, router):
        self.cluster, self.router, self.record = cluster, router, cluster.record("clients")
        self.asked, self.got, self.is_over = [], bytearray(), False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.got += data

    def eof_received(self):
        self.is_over = True

    def connection_lost(self, error):
        self.is_over = True

    async def open(self):
        """Connect to the router."""
        ip = self.cluster.machines[self.router]
        await asyncio.get_running_loop().create_connection(lambda: self, ip, 8080)
        return self

    def tell(self, name, route="r-safe", path="1", body=b"{}", time_left_ms=3000):
        """Note a request as one that this client means to send."""
        self.asked.append(name)
        self.record(
            "try",
            id=name,
            root=name,
            host=HOST,
            target=ROUTES[route][0] + path,
            key=OWN_KEY,
            method="POST",
            body=digest(body),
            router=self.router,
            mode=ROUTES[route][1],
            resumable=False,
            end_ms=time_left_ms,
            after=0,
        )

    def ask(self, name, route="r-safe", path="1", body=b"{}", lines=(), time_left_ms=3000):
        """Send a request, and note it."""
        self.tell(name, route, path, body, time_left_ms)
        self.transport.write(
            request_bytes(name, route, path, body, lines, time_left_ms=time_left_ms)
        )

    def account(self):
        """Read what came as answers to what was asked, in order, and note each and whatever is left over."""
        conn, results = h11.Connection(h11.CLIENT), []
        conn.receive_data(bytes(self.got))
        if self.is_over:
            conn.receive_data(b"")
        for name in self.asked:
            results.append(self._read(conn, name) | {"kept": bool(results)})
            self.record("result", **results[-1])
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                break
            conn.start_next_cycle()
        rest = conn.trailing_data[0]
        if rest:
            self.record("surplus", data=repr(rest[:40]))
        return results

    def _read(self, conn, name):
        conn.send(
            h11.Request(
                method="POST", target="/", headers=[("host", HOST), ("content-length", "0")]
            )
        )
        conn.send(h11.EndOfMessage())
        got = empty_result(name, self.router, SAFE) | {"sent": True}
        body = b""
        try:
            while (event := conn.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    head = {key.decode(): value.decode() for key, value in event.headers}
                    got |= {
                        "status": event.status_code,
                        "seal": head.get("swiftdeck-server-seal", ""),
                        "ownId": head.get("swiftdeck-request-id", ""),
                        "retryAfter": float(head.get("retry-after", 0)),
                    }
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    got |= {"complete": True, "end": "whole", "body": digest(body)}
                    break
                else:
                    break
        except h11.RemoteProtocolError as error:
            got["end"] = f"cut: {error}"
        return got

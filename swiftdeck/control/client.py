"""A client of the operators' HTTP API."""

import asyncio

import msgspec

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json


class OperatorClient:
    """Sends requests to one core and finds all other processes through its status.

    Methods that read return a pair of HTTP status and body, or a fault.
    """

    def __init__(self, address, operator_key=""):
        self.address = address
        self.headers = [("authorization", f"Bearer {operator_key}")] if operator_key else []

    async def ask(self, method, path, body=None, headers=(), address=None, timeout_ms=12000):
        """Send one request, to this client's core unless an address is given."""
        return await fetch_json(
            address or self.address, method, path, body, [*self.headers, *headers], timeout_ms
        )

    async def change(self, method, document, base, change_id="", author=""):
        """Send a change of the configuration that is based on a given version."""
        headers = [("change-id", change_id)] * bool(change_id) + [("author", author)] * bool(author)
        return await self.ask(method, f"/v1/config?base={base}", document, headers)

    async def change_newest(self, method, build_document, change_id="", author=""):
        """Send a change that `build_document` makes from the newest document, on its version."""
        response = await self.ask("GET", "/v1/config")
        if is_fault(response) or response[0] != 200:
            return response
        return await self.change(
            method,
            build_document(response[1]["document"]),
            response[1]["version"],
            change_id,
            author,
        )

    async def stream(self, lines, write_line) -> int:
        """Send changes, one JSON object a line, and write each result as a line.

        Return 1 if a line was malformed or a change was refused, else 0.
        """
        exit_status = 0
        for line in lines:
            if not line.strip():
                continue
            try:
                change = msgspec.json.decode(line)
            except msgspec.DecodeError as error:
                write_line(
                    msgspec.json.encode(
                        {"code": 100, "fault": "bad request", "reason": str(error)}
                    ).decode()
                )
                exit_status = 1
                continue
            response = await self.ask("POST", "/v1/changes", change, timeout_ms=15000)
            result = response.as_body() if is_fault(response) else response[1]
            exit_status |= int(bool(result.get("code")))
            write_line(msgspec.json.encode(result).decode())
        return exit_status

    async def statuses(self):
        """Return the status of each process by name, None for one that does not answer."""
        own_response = await self.ask("GET", "/v1/status", timeout_ms=3000)
        if is_fault(own_response) or own_response[0] != 200:
            return own_response
        neighbours = [
            neighbour for neighbour in own_response[1]["neighbours"] if neighbour["state"] != "gone"
        ]
        responses = await asyncio.gather(
            *(
                self.ask("GET", "/v1/status", address=neighbour["http"], timeout_ms=3000)
                for neighbour in neighbours
            )
        )
        return 200, {
            neighbour["name"]: None if is_fault(response) or response[0] != 200 else response[1]
            for neighbour, response in zip(neighbours, responses, strict=False)
        }

    async def fleet(self, full=False):
        """Return a short status of the whole fleet, with all counters or only the main ones."""
        response = await self.statuses()
        if is_fault(response) or response[0] != 200:
            return response
        totals = {}
        for status in response[1].values():
            for name, count in (status or {}).get("counters", {}).items():
                totals[name] = totals.get(name, 0) + count
        shown_fields = (
            "role",
            "zone",
            "version",
            "position",
            "mayServe",
            "trouble",
            "lease",
            "open",
            "running",
            "stopping",
        )
        processes = {
            name: {key: status[key] for key in shown_fields if key in status}
            if status
            else "silent"
            for name, status in sorted(response[1].items())
        }
        any_status = next((status for status in response[1].values() if status), {})
        counters = (
            totals
            if full
            else {
                name: count
                for name, count in sorted(totals.items())
                if name
                in (
                    "calls",
                    "callsServed",
                    "starts",
                    "waits",
                    "moves",
                    "lineFull",
                    "waitedOut",
                    "slotsReclaimed",
                    "fetches",
                    "legsSent",
                    "legsFailed",
                    "changesTaken",
                    "takeovers",
                )
            }
        )
        return 200, {
            "view": any_status.get("view"),
            "processes": processes,
            "counters": counters,
            "books": [
                book
                for status in response[1].values()
                if status
                for book in status.get("keeps", [])
            ],
        }

    async def routers(self):
        """Return the HTTP addresses of the routers; (status, body) or a fault on failure."""
        response = await self.ask("GET", "/v1/status", timeout_ms=3000)
        if is_fault(response) or response[0] != 200:
            return response
        return sorted(
            neighbour["http"]
            for neighbour in response[1]["neighbours"]
            if neighbour["role"] == "router" and neighbour["state"] != "gone"
        )

    async def explain(self, name):
        """Return all decisions of all routers about a call or a conversation, by time.

        `silent` in the body lists the addresses of routers that did not answer.
        """
        addresses = await self.routers()
        if not isinstance(addresses, list):
            return addresses
        responses = await asyncio.gather(
            *(
                self.ask("GET", f"/v1/explain/{name}", address=address, timeout_ms=3000)
                for address in addresses
            )
        )
        decisions = [
            item
            for response in responses
            if not is_fault(response) and response[0] == 200
            for item in response[1]["decisions"]
        ]
        silent = [
            address
            for address, response in zip(addresses, responses, strict=False)
            if is_fault(response) or response[0] != 200
        ]
        return 200, {
            "decisions": sorted(decisions, key=lambda item: item["atMs"]),
            "silent": silent,
        }

    async def watch(self, write_line, follow=True) -> int:
        """Write the decisions of all routers as lines, until cancelled if `follow` is set.

        Streams are reopened after at most 5 s, which finds new routers, and continue after the last
        decision number that was seen. Return 1 if the routers could not be found.
        """
        positions = {}
        while True:
            addresses = await self.routers()
            if not isinstance(addresses, list):
                write_line(
                    msgspec.json.encode(
                        addresses.as_body() if is_fault(addresses) else addresses[1]
                    ).decode()
                )
                return 1
            streams = [
                asyncio.ensure_future(self._watch_router(address, positions, write_line, follow))
                for address in addresses
            ]
            await asyncio.wait(streams, timeout=None if not follow else 5.0)
            for stream in streams:
                stream.cancel()
            if not follow:
                return 0

    async def _watch_router(self, address, positions, write_line, follow):
        ip, _, port = address.rpartition(":")
        connection = await connect(ip, int(port), 1000)
        if is_fault(connection):
            return
        try:
            process, number = positions.get(address, ("", 0))
            path = (
                f"/v1/decisions?since={number}&process={process}&follow={int(follow)}"
                if process
                else f"/v1/decisions?since={number}&follow={int(follow)}"
            )
            response = await connection.exchange("GET", path, self.headers, host=address)
            if is_fault(response) or response.status != 200:
                return
            router = ""
            async for line in response.lines():
                item = msgspec.json.decode(line) if line.strip() else {}
                if item.get("kind") == "process":
                    router, positions[address] = (
                        item["name"],
                        (item["process"], number if item["process"] == process else 0),
                    )
                elif item:
                    positions[address] = (
                        positions[address][0],
                        item.get("n", positions[address][1]),
                    )
                    write_line(msgspec.json.encode({"router": router} | item).decode())
        finally:
            connection.close()

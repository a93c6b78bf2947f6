"""What many routes cost on real processes: acknowledgements, and the longest stall of a loop."""

import asyncio
import time

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

ROUTES_OF_A_CHANGE = 5000
SETTLE_S, PROBE_BEFORE_S, CHANGE_EVERY_S = 2.0, 1.0, 0.3
PROBE_EVERY_S, CONNECT_MS, CHANGE_MS = 0.01, 3000, 30000


async def _probe(addr, took_ms):
    """Ask a process a small question a hundred times a second; adds the ms of each to a list."""
    ip, _, port = addr.rpartition(":")
    link = await connect(ip, int(port), CONNECT_MS)
    while not is_fault(link):
        start_s = time.monotonic()
        response = await link.exchange("GET", "/v1/nothing", host=addr)
        if is_fault(response) or is_fault(await response.whole()):
            return
        took_ms.append((time.monotonic() - start_s) * 1000)
        await asyncio.sleep(PROBE_EVERY_S)


class Operator:
    """Sends changes one after another; `version` is that of the newest one."""

    def __init__(self, fleet):
        self.fleet, self.version = fleet, 1

    async def patch(self, document) -> float:
        """Send a change; returns the ms that its acknowledgement took.

        Raises RuntimeError when it is not acknowledged.
        """
        start_s, path = time.monotonic(), f"/v1/config?base={self.version}"
        answer = await self.fleet.ask("PATCH", path, document, CHANGE_MS)
        if is_fault(answer) or answer[0] != 200:
            raise RuntimeError(f"change was not acknowledged: {answer}")
        self.version += 1
        return (time.monotonic() - start_s) * 1000


async def growth(fleet, routes, changes=12):
    """Grow to so many routes, then make small changes.

    Returns the least, median and most time of an acknowledgement, and stalls by process.
    """
    await fleet.configure()
    operator = Operator(fleet)
    grow_ms = await _add_routes(operator, routes)
    await asyncio.sleep(SETTLE_S)
    site = fleet.site
    nodes = [site.cores[0], site.cores[2], site.routers[0], site.routers[5]]
    took_ms = {node["name"]: [] for node in nodes}
    probes = [asyncio.ensure_future(_probe(node["http"], took_ms[node["name"]])) for node in nodes]
    await asyncio.sleep(PROBE_BEFORE_S)
    ack_ms = await _change_caps(operator, changes)
    for probe in probes:
        probe.cancel()
    return {
        "routes": routes,
        "ackMs": [round(ack_ms[0]), round(ack_ms[len(ack_ms) // 2]), round(ack_ms[-1])],
        "growMostMs": round(max(grow_ms, default=0)),
        "stallMs": {name: round(max(took, default=-1)) for name, took in took_ms.items()},
    }


async def _add_routes(operator, routes):
    """Add routes, some thousand with each change; returns the ms of each change."""
    model, took_ms = operator.fleet.site.model, []
    for start in range(0, routes, ROUTES_OF_A_CHANGE):
        numbers = range(start, min(routes, start + ROUTES_OF_A_CHANGE))
        added = {f"grown-{number}": {"model": model, "repeatable": True} for number in numbers}
        took_ms.append(await operator.patch({"routes": added}))
    return took_ms


async def _change_caps(operator, changes):
    """Make small changes; returns their ms in rising order."""
    model, took_ms = operator.fleet.site.model, []
    for number in range(changes):
        took_ms.append(await operator.patch({"models": {model: {"cap": 3 + number % 3}}}))
        await asyncio.sleep(CHANGE_EVERY_S)
    return sorted(took_ms)

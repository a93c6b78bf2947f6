"""What many routes cost on real processes: acknowledgements, and the longest stall of a loop."""

import asyncio
import time

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect

STEP = 5000


async def _stalls(addr, told):
    """The longest time that a process took for a small question, asked a hundred times a second."""
    link = await connect(addr.rpartition(":")[0], int(addr.rpartition(":")[2]), 3000)
    while not is_fault(link):
        start_s = time.monotonic()
        got = await link.exchange("GET", "/v1/nothing", host=addr)
        if is_fault(got) or is_fault(await got.whole()):
            return
        told.append((time.monotonic() - start_s) * 1000)
        await asyncio.sleep(0.01)


async def _patch(fleet, document, version):
    start_s = time.monotonic()
    got = await fleet.ask("PATCH", f"/v1/config?base={version}", document, 30000)
    if is_fault(got) or got[0] != 200:
        raise RuntimeError(f"change was not acknowledged: {got}")
    return (time.monotonic() - start_s) * 1000


async def growth(fleet, routes, changes=12):
    """Grow to so many routes, then make small changes.

    Returns the least, median and most time of an acknowledgement, and stalls by process.
    """
    await fleet.configure()
    version, model, grow_ms = 1, fleet.site.model, []
    for start in range(0, routes, STEP):
        part = {
            f"grown-{number}": {"model": model, "repeatable": True}
            for number in range(start, min(routes, start + STEP))
        }
        grow_ms.append(await _patch(fleet, {"routes": part}, version))
        version += 1
    await asyncio.sleep(2.0)
    nodes = [fleet.site.cores[0], fleet.site.cores[2], fleet.site.routers[0], fleet.site.routers[5]]
    told = {node["name"]: [] for node in nodes}
    watching = [asyncio.ensure_future(_stalls(node["http"], told[node["name"]])) for node in nodes]
    await asyncio.sleep(1.0)
    acks = []
    for number in range(changes):
        acks.append(await _patch(fleet, {"models": {model: {"cap": 3 + number % 3}}}, version))
        version += 1
        await asyncio.sleep(0.3)
    for task in watching:
        task.cancel()
    acks.sort()
    return {
        "routes": routes,
        "ackMs": [round(acks[0]), round(acks[len(acks) // 2]), round(acks[-1])],
        "growMostMs": round(max(grow_ms, default=0)),
        "stallMs": {name: round(max(each, default=-1)) for name, each in told.items()},
    }

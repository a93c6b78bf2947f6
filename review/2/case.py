"""WALL: removing a tenant takes its wall down, for a request that waits and for what it left."""

import asyncio
import sys
from pathlib import Path

from harness.client import Ask, send
from harness.deployment import MODEL, customer, run_case
from harness.walls import wall_violations

RULEBOOK, CONTRACT = ("5c1e07a2", 13300), ("e4402b7d", 13300)
BULK_TOKENS, OWN_TOKENS = 79000, 14000
TARGET_MS = 6000
"""The router lets a request wait for a place for a fifth of its route's target."""
APPLIED_S = 2.5
"""More than `apply-within-ms` and the time that the routers' lists and leases take at the start."""


def _check(request, tenant, shared, own, path="/check/"):
    return Ask(request, path, f"key-{tenant}", model=MODEL, parts=(shared, own))


async def _remove_while_waiting(site, is_trouble):
    """Fill both workers, let a request of an isolated tenant wait, and remove that tenant."""
    router = site.routers[0]

    def ask(request):
        return asyncio.ensure_future(send(site.record, router.http, router.name, request))

    held = [
        ask(_check(f"held-{n}", "open", RULEBOOK, (f"b01c{n}", BULK_TOKENS), "/check/hold"))
        for n in (1, 2)
    ]
    await asyncio.sleep(0.6)
    waiting = ask(_check("waiting", "walled", RULEBOOK, ("91bd3f06", OWN_TOKENS)))
    await asyncio.sleep(0.1)
    if is_trouble:
        await site.operator.patch(remove_names={"customers": ["walled"]})
    await asyncio.sleep(0.1)
    for worker in site.workers:
        worker.release.set()
    await asyncio.gather(*held, waiting)


async def _remove_and_isolate(site, is_trouble):
    """Set a tenant apart, with the disruption by removing it first, and let another one ask."""
    router = site.routers[0]
    for n in range(3):
        ask = _check(f"before-{n}", "later", CONTRACT, (f"aa0{n}", OWN_TOKENS))
        await send(site.record, router.http, router.name, ask)
    if is_trouble:
        await site.operator.patch(remove_names={"customers": ["later"]})
        await asyncio.sleep(APPLIED_S)
    await site.operator.patch(put_items={"customers": [customer("later", is_isolated=True)]})
    await asyncio.sleep(APPLIED_S)
    for n in range(3):
        ask = _check(f"after-{n}", "open", CONTRACT, (f"bb0{n}", OWN_TOKENS))
        await send(site.record, router.http, router.name, ask)


async def case(site, is_trouble):
    """Play both parts in one deployment and judge what the workers saw."""
    await site.start()
    customers = [customer("open"), customer("walled", is_isolated=True), customer("later")]
    await site.operator.put(site.document(customers, target_ms=TARGET_MS))
    await site.await_ready()
    await asyncio.sleep(APPLIED_S)
    await _remove_while_waiting(site, is_trouble)
    await _remove_and_isolate(site, is_trouble)
    return wall_violations(Path(__file__).with_name("record.txt"))


if __name__ == "__main__":
    sys.exit(run_case(case))

"""WALL: an isolated tenant is removed while a request of it waits for a place at a worker."""

import asyncio
import sys
from pathlib import Path

from harness.client import Ask, send
from harness.deployment import MODEL, customer, run_case
from harness.walls import wall_violations

RULEBOOK, BULK_TOKENS, OWN_TOKENS = ("5c1e07a2", 13300), 79000, 14000
TARGET_MS = 6000
"""The router lets a request wait for a place for a fifth of its route's target."""


def _check(request, tenant, own_part, own_tokens, path="/check/"):
    parts = (RULEBOOK, (own_part, own_tokens))
    return Ask(request, path, f"key-{tenant}", model=MODEL, parts=parts)


async def case(site, is_trouble):
    """Fill both workers, let a request of the isolated tenant wait, and remove the tenant."""
    customers = [customer("open"), customer("walled", is_isolated=True)]
    await site.start()
    await site.operator.put(site.document(customers, target_ms=TARGET_MS))
    await site.await_ready()
    await asyncio.sleep(2.0)
    router = site.routers[0]

    def ask(request):
        return asyncio.ensure_future(send(site.record, router.http, router.name, request))

    models = [worker for worker in site.workers if worker.plan.models]
    held = [
        ask(_check(f"held-{n}", "open", f"bu1c{n}", BULK_TOKENS, "/check/hold")) for n in (1, 2)
    ]
    await asyncio.sleep(0.6)
    waiting = ask(_check("waiting", "walled", "91bd3f06", OWN_TOKENS))
    await asyncio.sleep(0.1)
    if is_trouble:
        await site.operator.patch(remove_names={"customers": ["walled"]})
    await asyncio.sleep(0.1)
    for worker in models:
        worker.release.set()
    await asyncio.gather(*held, waiting)
    return wall_violations(Path(__file__).with_name("record.txt"))


if __name__ == "__main__":
    sys.exit(run_case(case))

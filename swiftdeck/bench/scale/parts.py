"""All parts of a router, a tail and a configuration, timed or weighed one by one."""

import asyncio
import time

from swiftdeck.bench.measures.figures import spread
from swiftdeck.bench.scale.configuration_parts import parts_by_tenants
from swiftdeck.bench.scale.hollow import hollow_router
from swiftdeck.bench.scale.message_parts import parts_of_messages
from swiftdeck.bench.scale.router_parts import parts_by_routers, parts_by_workers
from swiftdeck.bench.scale.timing import ROUNDS, held_bytes
from swiftdeck.gateway.kept import KeptTable
from swiftdeck.sim.world import World
from swiftdeck.wire.mesh import Mesh
from swiftdeck.wire.messages import LeaseAsk, LoadNews

HERE, THERE = "127.0.0.1:23811", "127.0.0.1:23812"
DATAGRAMS_AT_A_TIME = 50
LOOPBACK_TIMES = 1000


def _kept_table(count, holders):
    table = KeptTable()
    for at in range(count):
        for holder in range(holders):
            table.keep(f"i-lm-pool-{(at + holder) % 8:06}", "1", f"{at:032x}", 16)
    return table


def _held_row(part, make, count, things, **columns):
    return {"part": part, "count": count, **columns, "bytesHeldEach": held_bytes(make, things)[0]}


def parts_held():
    """Bytes that each thing known takes in a process."""
    for count in (400, 1600):
        yield _held_row("a neighbour known", lambda n=count: hollow_router(n), count, count)
    for count in (1500, 12000):
        yield _held_row("a worker known", lambda n=count: hollow_router(0, n), count, count)
    for count, holders in ((10_000, 1), (100_000, 1), (100_000, 4)):
        yield _held_row(
            "a part kept",
            lambda n=count, m=holders: _kept_table(n, m),
            count,
            count * holders,
            holders=holders,
        )


async def _send_datagrams(here, there, times):
    news = LoadNews(worker="i-lm-pool-000001", backlog=9000, running=2)
    start_s = time.process_time()
    for at in range(times):
        here.cast(there.addr, news)
        if at % DATAGRAMS_AT_A_TIME == DATAGRAMS_AT_A_TIME - 1:
            await asyncio.sleep(0.002)
    return (time.process_time() - start_s) / times * 1e6


async def _ask(here, there, times):
    ask = LeaseAsk(router="router1/1", addr="10.2.0.1:7000", held=7)
    start_s = time.process_time()
    for _ in range(times):
        await here.ask(there.addr, ask)
    return (time.process_time() - start_s) / times * 1e6


async def parts_over_loopback(times=LOOPBACK_TIMES):
    """Microseconds of a datagram and of a question with its answer, over real sockets."""
    here, there = Mesh(HERE), Mesh(THERE)
    there.on(LoadNews, lambda news, sender: None)
    there.on(LeaseAsk, lambda ask, sender: None)
    await here.start()
    await there.start()
    datagrams, questions = [], []
    for _ in range(ROUNDS):
        datagrams.append(await _send_datagrams(here, there, times))
        questions.append(await _ask(here, there, times))
    here.close()
    there.close()
    ends = "both sides, real sockets"
    return [
        {"part": f"datagram, sent and taken, {ends}", "us": spread(datagrams)},
        {"part": f"question and answer on a kept link, {ends}", "us": spread(questions)},
    ]


def _in_process(make):
    """The rows of a generator that needs the loop of a simulated process."""
    world = World(1)
    world.start("here", "10.0.0.1", lambda: asyncio.sleep(0))

    async def main():
        return list(make())

    return world.do("here", main, limit_s=600)


def parts():
    """Rows of all parts."""
    measurements = (
        parts_of_messages,
        parts_by_tenants,
        parts_by_workers,
        parts_by_routers,
        parts_held,
    )
    for make in measurements:
        yield from _in_process(make)
    yield from asyncio.run(parts_over_loopback())

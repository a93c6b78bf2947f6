"""How the service comes through the loss of a process, of a cache, and of all workers."""

from swiftdeck.sim.sim_cluster import SimCluster

CHAIN_POSITIONS = {"head": 0, "middle": 1, "tail": 2}
VICTIMS = ("keeper", *CHAIN_POSITIONS, "worker", "router")
CHANGE_TRIES = 8
LONG_PROMPT_PARTS = ["long " * 80000, "mine"]
SLOW_LINK_S = 30.0
OUTAGE_CALLS, OUTAGE_EVERY_S = 200, 0.1


def failover(seed):
    """Yield simulated seconds from a kill to the next call served and the next change taken."""
    for victim in VICTIMS:
        cluster = SimCluster(seed, routers=9, workers=6).start(cap=8)
        cluster.world.run(12)
        cluster.call("saga", "tag", ["a", "b"])
        cluster.world.kill(_victim_name(cluster, victim))
        cluster.caller.doors = [cluster.addresses[name]["http"] for name in cluster.router_names()]
        start_s = cluster.world.now
        _call_until_served(cluster)
        served_s = cluster.world.now - start_s
        _change_until_taken(cluster)
        yield {
            "killed": victim,
            "onceOnlyCallS": round(served_s, 2),
            "changeS": round(cluster.world.now - start_s, 2),
        }


def _victim_name(cluster, victim):
    """Return the process that has a role."""
    if victim == "worker":
        return "worker1"
    if victim == "keeper":
        return cluster.coordinator()
    if victim == "router":
        return next(name for name in cluster.router_names() if name != cluster.coordinator())
    position = CHAIN_POSITIONS[victim]
    return next(
        name for name in cluster.core_names() if cluster.up[name].agreement.position() == position
    )


def _call_until_served(cluster):
    """Make once-only calls, each with a key of its own, until one is served."""
    while True:
        now_s = cluster.world.now
        returned = cluster.call(
            "saga", "check", ["a", f"{now_s}"], idempotency=f"k{now_s}", is_last=True
        )
        if returned["whole"]:
            return
        cluster.world.run(0.1)


def _change_until_taken(cluster):
    """Send the same change until it is acknowledged."""
    base = cluster.version
    for _ in range(CHANGE_TRIES):
        answer = cluster.change(
            "PATCH", {"models": {"screener": {"cap": 9}}}, base, change_id="after"
        )
        if answer and answer[0] == 200:
            return


def fetch(seed):
    """Yield simulated milliseconds of the first turn after a 100,000-token conversation moved."""
    for how in ("recompute", "peer", "store", "slow peer"):
        cluster = SimCluster(seed, routers=2, workers=2, speed=1.0).start(
            cap=8, idleMs=60000, fetches=how != "recompute"
        )
        first = cluster.call("saga", "check", LONG_PROMPT_PARTS, is_last=False)
        cluster.world.run(2)
        _take_away(cluster, first["worker"], how)
        cluster.world.run(2)
        start_s = cluster.world.now
        moved = cluster.call("saga", "check", [*first["parts"], "said", "next"], max_tokens=16)
        yield {
            "from": how,
            "turnMs": int((cluster.world.now - start_s) * 1000),
            "hitParts": moved.get("usage", {}).get("hitParts"),
            "whole": moved["whole"],
        }


def _take_away(cluster, worker, how):
    """Let the list lose a worker, or show it as draining where its cache stays in reach."""
    if how == "store":
        cluster.world.kill(worker)
    if how == "slow peer":
        cluster.up[worker].link_s = SLOW_LINK_S
    platform = cluster.up["platform"]
    leave = platform.remove if how == "store" else platform.drain

    async def take_away():
        leave(worker)

    cluster.world.run_task("platform", take_away)


def outage(seed):
    """Yield attempts for each call while every worker dies midway, on a repeatable route."""
    cluster = SimCluster(seed, routers=3, workers=3).start(cap=50)
    cluster.world.run(11)
    for worker in cluster.site.workers:
        cluster.up[worker["name"]].quirk = "die midway"
    returned = []
    for number in range(OUTAGE_CALLS):
        parts = ["book", str(number)]
        returned.append(
            cluster.spawn(
                lambda parts=parts: cluster.caller.call("oita", "tag", parts, stream=False)
            )
        )
        cluster.world.run(OUTAGE_EVERY_S)
    cluster.world.run(until=lambda: all(returned), limit_s=60)
    runs = sum(item["kind"] == "run" for item in cluster.records)
    yield {"calls": OUTAGE_CALLS, "runs": runs, "amplification": round(runs / OUTAGE_CALLS, 3)}

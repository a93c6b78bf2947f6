"""Looks for common faults from outside, by what each process says of itself."""

import asyncio
import os
import tempfile

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json

ROOM_BYTES = 64 << 20
FINDINGS = {
    700: ("core does not answer", "Check that the core runs and that its HTTP address is right."),
    701: ("process is silent", "Start it, or look into its log; the fleet goes on without it."),
    702: ("seed is not reached", "Exchange the seed for a process that runs, and send SIGHUP."),
    703: ("disk has little room", "Make room in the data folder's file system."),
    704: (
        "disk cannot be written",
        "Look into the file system of the data folder; the core leaves the chain meanwhile.",
    ),
    705: (
        "core leaves the chain",
        "See the trouble that it names; an emptied data folder is filled from the chain.",
    ),
    706: (
        "view has too few members",
        "Start the missing core; while one member is alone nothing is acknowledged.",
    ),
    707: ("view lease is not held", "Bring back a majority of the voters."),
    708: ("configuration lease lapsed", "Check the links from this router to the cores."),
    709: ("workers' list is old", "Check the platform's address and its links."),
    710: (
        "configuration versions differ",
        "Wait two seconds; if it stays, look at the router that is behind.",
    ),
    711: ("no keeper for a model", "Check that routers and a majority of cores run."),
    712: (
        "worker's reports do not come",
        "Check the worker; it gets starts only when no other can take them.",
    ),
    713: (
        "worker has other weights",
        "It is asked to load them; look into the worker if this stays.",
    ),
    714: ("processes know different views", "Wait some seconds; if it stays, look at the links."),
    715: (
        "clock runs at another rate",
        "Mend the machine's clock source; leases allow for five in a hundred.",
    ),
    716: ("no configuration", "Put one with `swiftdeck ctl put`."),
    717: (
        "waiting line is nearly full",
        "Add workers, or raise cap or lineMax if the cache allows it.",
    ),
    718: (
        "once-only claims are nearly full",
        "Raise `claimsMost`, or shorten `claimKeepMs` if no caller comes back as late.",
    ),
    719: (
        "settings differ between processes",
        "Make them the same in all processes of the site but for names, addresses and folders.",
    ),
}


def finding(code, where):
    """One finding in its outward form."""
    what, advice = FINDINGS[code]
    return {"code": code, "what": what, "where": where, "advice": advice}


async def examine(client, seeds=(), folder="") -> list:
    """All findings, by code."""
    found = [*_folder(folder)] + await _seeds(seeds)
    got = await client.statuses()
    if is_fault(got) or got[0] != 200:
        reason = got.reason if is_fault(got) else f"status {got[0]}: {got[1]}"
        return [*found, finding(700, f"{client.door}: {reason}")]
    statuses = got[1]
    rates = await _rates(client, statuses)
    return sorted([*found, *rates, *diagnose(statuses)], key=lambda each: each["code"])


def _folder(folder):
    if folder:
        try:
            with tempfile.NamedTemporaryFile(dir=folder) as file:
                file.write(b"x" * 4096)
                file.flush()
                os.fsync(file.fileno())
        except OSError as error:
            yield finding(704, f"{folder}: {error}")


async def _seeds(seeds):
    async def one(seed):
        ip, _, port = seed.rpartition(":")
        link = await connect(ip, int(port), 1000)
        if is_fault(link):
            return [finding(702, seed)]
        link.close()
        return []

    return [
        each for found in await asyncio.gather(*(one(seed) for seed in seeds)) for each in found
    ]


async def _rates(client, statuses):
    loop = asyncio.get_running_loop()
    doors = {
        each["name"]: each["http"]
        for status in statuses.values()
        if status
        for each in status["neighbours"]
    }

    async def clock(name):
        start_s = loop.time()
        got = await fetch_json(doors[name], "GET", "/v1/status", None, client.headers, 3000)
        return (
            None
            if is_fault(got) or got[0] != 200
            else (got[1].get("clockMs"), start_s, loop.time())
        )

    names = [name for name, status in statuses.items() if status and name in doors]
    first = await asyncio.gather(*(clock(name) for name in names))
    await asyncio.sleep(1.0)
    second = await asyncio.gather(*(clock(name) for name in names))
    return [
        finding(715, name)
        for name, a, b in zip(names, first, second, strict=False)
        if a and b and a[0] is not None and _is_off((b[0] - a[0]) / 1000, b[1] - a[2], b[2] - a[1])
    ]


def _is_off(passed_s, least_s, most_s):
    return passed_s < least_s * 0.95 - 0.02 or passed_s > most_s * 1.05 + 0.02


def diagnose(statuses) -> list:
    """Findings from the statuses of all processes, None standing for a silent one."""
    return [
        each for check in (_silent, _cores, _routers, _fleet, _books) for each in check(statuses)
    ]


def _of(statuses, role):
    return {name: each for name, each in statuses.items() if each and each["role"] == role}


def _silent(statuses):
    yield from (finding(701, name) for name, each in statuses.items() if each is None)
    gone = {
        (other["name"], other["addr"])
        for each in statuses.values()
        if each
        for other in each["neighbours"]
        if other["state"] != "alive"
    }
    yield from (
        finding(701, f"{name} at {addr}") for name, addr in sorted(gone) if name not in statuses
    )


def _cores(statuses):
    for name, each in _of(statuses, "core").items():
        if each["diskFreeBytes"] < ROOM_BYTES:
            yield finding(703, f"{name}: {each['diskFreeBytes']} bytes")
        if each["trouble"]:
            yield finding(705, f"{name}: {each['trouble']}")
        if each["position"] >= 0 and not each["mayServe"]:
            yield finding(707, name)
        if each["claims"] > 0.8 * each.get("claimsMost", 1 << 30):
            yield finding(718, f"{name}: {each['claims']} of {each['claimsMost']}")


def _routers(statuses):
    for name, each in _of(statuses, "router").items():
        if not each["lease"]:
            yield finding(708, name)
        if not each["list"]["fresh"]:
            yield finding(709, f"{name}: {each['list']['ageMs']} ms")


def _fleet(statuses):
    present = [each for each in statuses.values() if each]
    views = {each["view"]["number"] for each in present}
    newest = max((each["view"] for each in present), key=lambda view: view["number"], default=None)
    if newest is None or len(newest["members"]) < 3:
        yield finding(706, f"{len(newest['members']) if newest else 0} members")
    if len(views) > 1:
        yield finding(714, f"numbers {sorted(views)}")
    shared = [each["shared"] for each in present if "shared" in each]
    differing = sorted(
        {name for each in shared for name in each if each[name] != shared[0].get(name)}
    )
    if differing:
        yield finding(719, ", ".join(differing))
    versions = {
        each["version"]
        for each in present
        if each["role"] == "router" or each.get("position", -1) >= 0
    }
    if len(versions) > 1:
        yield finding(710, f"versions {sorted(versions)}")
    if versions == {0}:
        yield finding(716, "version 0")


def _books(statuses):
    routers = _of(statuses, "router")
    kept = {book["model"]: book for each in routers.values() for book in each["keeps"]}
    wanted = {worker["model"] for each in routers.values() for worker in each["list"]["workers"]}
    yield from (finding(711, model) for model in sorted(wanted - set(kept)))
    for model, coordinator in kept.items():
        if not coordinator["ready"]:
            yield finding(711, f"{model}: still gathers")
        for name, book in coordinator["books"].items():
            if not book["up"]:
                yield finding(712, name)
            elif book["weights"] != coordinator.get("weights", book["weights"]):
                yield finding(713, f"{name}: {book['weights']}")
            if book["line"] > 0.9 * coordinator.get("lineMax", 1 << 30):
                yield finding(717, f"{name}: {book['line']} wait")

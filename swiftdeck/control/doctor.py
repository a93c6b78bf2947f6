"""Diagnosis of a fleet from outside, by the status of each process."""

import asyncio
import os
import tempfile

from swiftdeck.fault import is_fault
from swiftdeck.http.client import connect, fetch_json

MIN_FREE_BYTES = 64 << 20
# By code: what was found, and advice for operators.
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
    """Return a finding as the fields of a JSON object."""
    what, advice = FINDINGS[code]
    return {"code": code, "what": what, "where": where, "advice": advice}


async def examine(client, seeds=(), folder="") -> list:
    """Return all findings of a fleet, sorted by code.

    Checks the data folder and the seeds if given, the status and the clock of each process.
    """
    findings = [*_folder_findings(folder)] + await _seed_findings(seeds)
    response = await client.statuses()
    if is_fault(response) or response[0] != 200:
        reason = response.reason if is_fault(response) else f"status {response[0]}: {response[1]}"
        return [*findings, finding(700, f"{client.address}: {reason}")]
    statuses = response[1]
    clock_findings = await _clock_findings(client, statuses)
    return sorted([*findings, *clock_findings, *diagnose(statuses)], key=lambda item: item["code"])


def _folder_findings(folder):
    if folder:
        try:
            with tempfile.NamedTemporaryFile(dir=folder) as file:
                file.write(b"x" * 4096)
                file.flush()
                os.fsync(file.fileno())
        except OSError as error:
            yield finding(704, f"{folder}: {error}")


async def _seed_findings(seeds):
    async def check_seed(seed):
        ip, _, port = seed.rpartition(":")
        connection = await connect(ip, int(port), 1000)
        if is_fault(connection):
            return [finding(702, seed)]
        connection.close()
        return []

    return [
        item
        for findings in await asyncio.gather(*(check_seed(seed) for seed in seeds))
        for item in findings
    ]


async def _clock_findings(client, statuses):
    loop = asyncio.get_running_loop()
    address_of_process = {
        neighbour["name"]: neighbour["http"]
        for status in statuses.values()
        if status
        for neighbour in status["neighbours"]
    }

    async def read_clock(name):
        start_s = loop.time()
        response = await fetch_json(
            address_of_process[name], "GET", "/v1/status", None, client.headers, 3000
        )
        return (
            None
            if is_fault(response) or response[0] != 200
            else (response[1].get("clockMs"), start_s, loop.time())
        )

    names = [name for name, status in statuses.items() if status and name in address_of_process]
    first_readings = await asyncio.gather(*(read_clock(name) for name in names))
    await asyncio.sleep(1.0)
    second_readings = await asyncio.gather(*(read_clock(name) for name in names))
    return [
        finding(715, name)
        for name, first, second in zip(names, first_readings, second_readings, strict=False)
        if first
        and second
        and first[0] is not None
        and _is_clock_off((second[0] - first[0]) / 1000, second[1] - first[2], second[2] - first[1])
    ]


def _is_clock_off(passed_s, min_elapsed_s, max_elapsed_s):
    """Return whether a clock deviates by more than 5 percent, which leases allow for, and 20 ms."""
    return passed_s < min_elapsed_s * 0.95 - 0.02 or passed_s > max_elapsed_s * 1.05 + 0.02


def diagnose(statuses) -> list:
    """Return the findings from the statuses of all processes by name, None for a silent one."""
    return [
        item
        for find in (
            _silent_findings,
            _core_findings,
            _router_findings,
            _fleet_findings,
            _coordinator_findings,
        )
        for item in find(statuses)
    ]


def _statuses_of_role(statuses, role):
    return {name: status for name, status in statuses.items() if status and status["role"] == role}


def _silent_findings(statuses):
    yield from (finding(701, name) for name, status in statuses.items() if status is None)
    gone = {
        (neighbour["name"], neighbour["addr"])
        for status in statuses.values()
        if status
        for neighbour in status["neighbours"]
        if neighbour["state"] != "alive"
    }
    yield from (
        finding(701, f"{name} at {addr}") for name, addr in sorted(gone) if name not in statuses
    )


def _core_findings(statuses):
    for name, status in _statuses_of_role(statuses, "core").items():
        if status["diskFreeBytes"] < MIN_FREE_BYTES:
            yield finding(703, f"{name}: {status['diskFreeBytes']} bytes")
        if status["trouble"]:
            yield finding(705, f"{name}: {status['trouble']}")
        if status["position"] >= 0 and not status["mayServe"]:
            yield finding(707, name)
        if status["claims"] > 0.8 * status.get("claimsMost", 1 << 30):
            yield finding(718, f"{name}: {status['claims']} of {status['claimsMost']}")


def _router_findings(statuses):
    for name, status in _statuses_of_role(statuses, "router").items():
        if not status["lease"]:
            yield finding(708, name)
        if not status["list"]["fresh"]:
            yield finding(709, f"{name}: {status['list']['ageMs']} ms")


def _fleet_findings(statuses):
    known = [status for status in statuses.values() if status]
    view_numbers = {status["view"]["number"] for status in known}
    newest = max(
        (status["view"] for status in known), key=lambda view: view["number"], default=None
    )
    if newest is None or len(newest["members"]) < 3:
        yield finding(706, f"{len(newest['members']) if newest else 0} members")
    if len(view_numbers) > 1:
        yield finding(714, f"numbers {sorted(view_numbers)}")
    shared = [status["shared"] for status in known if "shared" in status]
    differing_settings = sorted(
        {name for settings in shared for name in settings if settings[name] != shared[0].get(name)}
    )
    if differing_settings:
        yield finding(719, ", ".join(differing_settings))
    versions = {
        status["version"]
        for status in known
        if status["role"] == "router" or status.get("position", -1) >= 0
    }
    if len(versions) > 1:
        yield finding(710, f"versions {sorted(versions)}")
    if versions == {0}:
        yield finding(716, "version 0")


def _coordinator_findings(statuses):
    routers = _statuses_of_role(statuses, "router")
    coordinators = {
        entry["model"]: entry for status in routers.values() for entry in status["keeps"]
    }
    served_models = {
        listing["model"] for status in routers.values() for listing in status["list"]["workers"]
    }
    yield from (finding(711, model) for model in sorted(served_models - set(coordinators)))
    for model, coordinator in coordinators.items():
        if not coordinator["ready"]:
            yield finding(711, f"{model}: still gathers")
        for worker, slots in coordinator["books"].items():
            if not slots["up"]:
                yield finding(712, worker)
            elif slots["weights"] != coordinator.get("weights", slots["weights"]):
                yield finding(713, f"{worker}: {slots['weights']}")
            if slots["line"] > 0.9 * coordinator.get("lineMax", 1 << 30):
                yield finding(717, f"{worker}: {slots['line']} wait")

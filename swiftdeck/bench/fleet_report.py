"""Sums of what a fleet served and spent, from the records of its run."""

from collections import Counter

GAP_WINDOW_MS = 12000
STEADY = ("residentKiB", "files", "tasks", "logBytes")
WARM_UP_SAMPLES = 2


def _longest_gap(from_ms, served):
    """The longest time without a whole return that began soon after a fault; -1 without returns."""
    after = [at_ms for at_ms in served if at_ms > from_ms]
    pairs = zip([from_ms, *after], after, strict=False)
    return max((b - a for a, b in pairs if a < from_ms + GAP_WINDOW_MS), default=-1)


def gaps(records, served):
    """The longest gap in service after each fault."""
    faults = [item for item in records if item["kind"] == "kill" and "asWhat" in item]
    return [
        {"fault": fault["asWhat"], "longestGapMs": _longest_gap(fault["atMs"], served)}
        for fault in faults
    ]


def _samples_by_name(records):
    samples = [item for item in records if item["kind"] == "sample"]
    names = sorted({item["name"] for item in samples})
    return {name: [item for item in samples if item["name"] == name] for name in names}


def router_cpu_ms(records):
    """Processor milliseconds that all routers spent, but for those between a restart's samples."""
    return sum(
        max(0, after["cpuMs"] - before["cpuMs"])
        for name, mine in _samples_by_name(records).items()
        for before, after in zip(mine, mine[1:], strict=False)
        if before["pid"] == after["pid"] and name.startswith("router")
    )


def steady(records):
    """First and last figures of each process since its last start, after it has warmed up."""
    figures = {}
    for name, mine in _samples_by_name(records).items():
        whole = [item for item in mine if item["pid"] == mine[-1]["pid"]][WARM_UP_SAMPLES:]
        if len(whole) > 1:
            figures[name] = {key: [whole[0][key], whole[-1][key]] for key in STEADY}
    return figures


def sums(records):
    """What was served, with which codes, gaps and costs."""
    returns = [item for item in records if item["kind"] == "return"]
    served = [item["atMs"] for item in returns if item["whole"]]
    versions = [item["seen"] for item in records if item["kind"] == "versions"]
    return {
        "routerCpuMsPerCall": round(router_cpu_ms(records) / max(1, len(served)), 2),
        "steady": steady(records),
        "returns": len(returns),
        "served": len(served),
        "codes": Counter(str(item["code"]) for item in returns),
        "agents": sum(item["kind"] == "agent" for item in records),
        "gaps": gaps(records, served),
        "versions": next(iter(versions), []),
    }

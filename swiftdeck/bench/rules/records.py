"""What the rules read from the records of a run."""

from collections import defaultdict

import msgspec

BACK_MS, OUTAGE_MS, FOREVER_MS = 3000, 20000, 1 << 60
REFUSED = (400, 409, 422)
NO_CAP = 1 << 30
CAP_LATE_MS = 3000


class Context(msgspec.Struct, frozen=True):
    """What the rules know besides the records: tenants kept apart, and extra tries allowed."""

    apart: frozenset = frozenset()
    budget_extra: int = 3


def of_kind(records, *kinds):
    """The records of some kinds, in their order."""
    return (item for item in records if item["kind"] in kinds)


def by_marker(records):
    """The last try of each marker."""
    return {item["marker"]: item for item in of_kind(records, "try")}


def models_of_workers(records):
    """The model of each worker that was ever listed."""
    return {
        worker["name"]: worker["model"]
        for item in of_kind(records, "list")
        for worker in item["workers"]
    }


def entries(item, table):
    """What a change says of the entries of a table; None for those that it removes."""
    return item["document"].get(table) or {}


class Outages:
    """When each process was down, frozen, cut off or made to misbehave.

    Read from what the operator and the stand-ins noted; times are in milliseconds.
    """

    def __init__(self, records):
        self.spans, self.coordinators, self.opened = defaultdict(list), [], {}
        for item in of_kind(records, "kill", "back", "quirk", "up"):
            getattr(self, f"_on_{item['kind']}")(item)

    def _on_kill(self, item):
        at_ms = item["atMs"]
        span = [at_ms, FOREVER_MS if "id" in item else at_ms + OUTAGE_MS]
        self.spans[item["target"]].append(span)
        if item.get("keeper"):
            self.coordinators.append(span)
        self.opened[item.get("id")] = span

    def _on_back(self, item):
        self.opened.get(item["id"], [0, 0])[1] = item["atMs"] + BACK_MS

    def _on_up(self, item):
        self.spans[item["who"]].append([item["atMs"], item["atMs"]])

    def _on_quirk(self, item):
        if item["quirk"]:
            self.spans[item["who"]].append([item["atMs"], FOREVER_MS])
            return
        for span in self.spans[item["who"]]:
            span[1] = min(span[1], item["atMs"] + BACK_MS)

    def fell(self, name, from_ms, to_ms) -> bool:
        """Whether a process was not well at some time between two."""
        return any(a <= to_ms and b >= from_ms for a, b in self.spans.get(name, ()))

    def chain_fell(self, from_ms, to_ms) -> bool:
        """Whether two cores were not well between two times, so that no claim could be made."""
        cores = [name for name in self.spans if name.startswith("core")]
        return sum(self.fell(name, from_ms, to_ms) for name in cores) > 1

    def coordinator_fell(self, from_ms, to_ms) -> bool:
        """Whether a coordinator was not well at some time between two."""
        return any(a <= to_ms and b >= from_ms for a, b in self.coordinators)


def acknowledged(records):
    """Changes that were acknowledged."""
    return [item for item in of_kind(records, "change") if item["status"] == 200]


def undecided(records):
    """Changes that may or may not be obeyed."""
    known = {item["answer"]["changeId"] for item in acknowledged(records)}
    return [
        item
        for item in of_kind(records, "change")
        if item["status"] not in (200, *REFUSED) and item["answer"].get("changeId") not in known
    ]


def caps_at(records):
    """A function that gives the largest cap of a model that may be in force at a time."""
    spans = defaultdict(list)
    for item in of_kind(records, "change"):
        for name, model in entries(item, "models").items():
            if model and "cap" in model and item["status"] not in REFUSED:
                asked_ms = item.get("askedMs", item["atMs"])
                ack_ms = item["atMs"] if item["status"] == 200 else FOREVER_MS
                spans[name].append((asked_ms, ack_ms, model["cap"]))

    def cap_of(name, at_ms):
        mine = spans[name]
        newest = max((ack for _, ack, _ in mine if ack <= at_ms - CAP_LATE_MS), default=0)
        caps = [cap for asked, ack, cap in mine if asked <= at_ms and ack >= newest]
        return max(caps, default=NO_CAP)

    return cap_of


def isolation_at(records, isolated_from_the_start):
    """A function that tells whether each configuration that may be in force isolates a tenant.

    These are the newest acknowledged one and those that were sent after it.
    """
    changes = defaultdict(list)
    for item in of_kind(records, "change"):
        for name, tenant in entries(item, "tenants").items():
            if tenant and "apart" in tenant and item["status"] not in REFUSED:
                asked_ms = item.get("askedMs", item["atMs"])
                is_known = item["status"] == 200
                ack_ms = item["atMs"] if is_known else FOREVER_MS
                version = item["answer"]["version"] if is_known else FOREVER_MS
                changes[name].append((version, asked_ms, ack_ms, tenant["apart"]))

    def is_isolated(name, at_ms):
        acknowledged_changes = [each for each in changes[name] if each[2] <= at_ms]
        first = (0, 0, 0, name in isolated_from_the_start)
        newest = max(acknowledged_changes, default=first)
        later = [each for each in changes[name] if each > newest and each[1] <= at_ms]
        return all(is_apart for _, _, _, is_apart in (newest, *later))

    return is_isolated

"""Judges a run of the platform's stand-ins by their records alone: one check for each rule of the platform's page."""

from bisect import bisect_left, bisect_right
from collections import defaultdict

import attrs

PROMISES, TURNED_AWAY = (408, 421, 429, 503), (401, 403, 404)
DENIED_MOST, DENIED_EACH, OVER_TRIES_MOST = 5, 500, 3
OWN_ENDS = ("silence or deadline", "left", "not reached")
FOREVER = 1 << 60
LINK, PROCESS = "link", "process"
"""What a trouble concerns: a machine's links, or its processes alone."""
LEFT_BEHIND_SHARE, LEFT_BEHIND_STRETCH = 0.1, 1.5
GONE_FEW, GONE_SHARE = 3, 0.25
"""How many requests of clients that left may reach a worker late, and how many or which share may still be worked on."""
ADMISSION_MS, LAST_SHARE, UNANSWERED_MOST = 3000, 1 / 6, 3
"""Until when after SIGTERM a request may be taken that is still run in the last share of the grace, and how many requests from kept
connections may be passed on and left without an answer."""


@attrs.frozen
class Bounds:
    """Figures of the rules, in milliseconds and shares, and when which machine was in trouble."""

    contact_ms: int = 3000
    drain_ms: int = 3000
    apply_within_ms: int = 2000
    lease_ms: int = 3000
    version_ms: int = 8000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10000
    extra_retries: int = 20
    checks_fences: bool = True
    troubles: list = attrs.Factory(list)
    grace_ms: int = 8000
    loss_slack_ms: int = 200
    recovery_ms: int = 12000
    gone_ms: int = 500

    def in_touch(self, machine, at_ms, since_ms=None):
        """Whether a machine and the core were calm for long enough before a time, and since another."""
        begin_ms = (at_ms if since_ms is None else since_ms) - self.contact_ms
        return not any(
            a <= at_ms and b >= begin_ms
            for name, a, b, *_ in self.troubles
            if name == machine or name.startswith("core")
        )

    def settled_stretches(self, begin_ms, end_ms):
        """Lengths of the stretches of a span in which the core was settled and no link was in trouble."""
        unsettled = sorted(
            (a, b + self.contact_ms)
            for name, a, b, *kind in self.troubles
            if name.startswith("core") or LINK in kind
        )
        lengths, since_ms = [], begin_ms
        for a, b in unsettled:
            if a > since_ms:
                lengths.append(min(a, end_ms) - since_ms)
            since_ms = max(since_ms, b)
            if since_ms >= end_ms:
                return [each for each in lengths if each > 0]
        return [each for each in [*lengths, end_ms - since_ms] if each > 0]


class Records:
    """The records by kind, and what follows from them for several rules."""

    def __init__(self, items):
        self.items = sorted(items, key=lambda item: item["atMs"])
        self.by_kind = defaultdict(list)
        for item in self.items:
            self.by_kind[item["kind"]].append(item)
        self.tries = {item["id"]: item for item in self.of("try")}
        self.runs = defaultdict(list)
        for item in self.of("run"):
            self.runs[item["id"]].append(item)
        told = {item["version"]: item["atMs"] for item in self.of("told") if item["status"] == 200}
        refused = {
            item["version"] for item in self.of("told") if item["status"] and item["status"] != 200
        }
        self.configs = [
            read_config(item, told.get(item["version"], FOREVER))
            for item in self.of("sent")
            if not item["bad"] and (item["version"] not in refused or item["version"] in told)
        ]

    def of(self, *kinds):
        """Records of some kinds."""
        return [item for kind in kinds for item in self.by_kind[kind]]

    def key_holders(self, key):
        """Tenants that any configuration gives a key to."""
        return {config.keys[key] for config in self.configs if key in config.keys}

    def route(self, asked):
        """A configuration's route of a try, the newest that has one."""
        return next(
            (
                found
                for config in reversed(self.configs)
                if (found := config.find(asked)) is not None
            ),
            None,
        )

    def may_repeat(self, asked):
        """Whether a try may run more than once."""
        route = self.route(asked)
        return route is not None and (route["route-type"] == "safe" or bool(route.get("resumable")))


@attrs.frozen
class Config:
    """One configuration that may be in force."""

    version: int
    sent_ms: int
    told_ms: int
    routes: list
    keys: dict
    apart: dict
    keyed: bool

    def find(self, asked):
        """The route of a try, or None."""
        fits = [
            each
            for each in self.routes
            if each["hostname"] == asked["host"] and asked["target"].startswith(each["path-start"])
        ]
        return max(fits, key=lambda each: len(each["path-start"]), default=None)

    def services(self, asked):
        """Services that may run a try."""
        route = self.find(asked)
        if (
            route is None
            or not route.get("public")
            and self.keyed
            and asked["key"] not in self.keys
        ):
            return set()
        return {
            each["backend"] for each in route.get("traffic-split") or () if each["share"] > 0
        } or {route["backend"]}


def read_config(item, told_ms):
    """A configuration from its record."""
    document = item["document"]
    customers = document.get("customers")
    return Config(
        item["version"],
        item["atMs"],
        told_ms,
        document["routes"],
        {key: each["name"] for each in customers or () for key in each["api-keys"]},
        {each["name"]: bool(each.get("isolated")) for each in customers or ()},
        customers is not None,
    )


def mixed(records, bounds):
    """A success without its seal, cut short or of another body; an answer to another request; bytes nobody asked for."""
    answers, whole = defaultdict(list), {item["run"]: item["whole"] for item in records.of("ran")}
    for item in records.of("answer"):
        answers[item["id"]].append(item)
    for item in records.of("result"):
        name, own = item["id"], answers[item["id"]]
        if item["status"] and item["ownId"] not in ("", name):
            yield f"{name} got an answer to {item['ownId']}"
        sealed = {each["status"] for each in own if each["seal"] == item["seal"]}
        if item["seal"] and item["status"] >= 300 and item["status"] not in sealed:
            yield f"{name} has a failure {item['status']} under the seal of {sorted(sealed)}"
        if not 200 <= item["status"] < 300 or not item["complete"]:
            continue
        made = next((each for each in own if each["seal"] == item["seal"] and item["seal"]), None)
        if made is None:
            yield f"{name} has a success without its worker's seal"
        elif made["status"] != item["status"] or made["body"] and made["body"] != item["body"]:
            yield f"{name} has a body or status that its worker did not send"
        elif item["mode"] != "streaming" and not whole.get(made["run"]):
            yield f"{name} looks complete, but its worker broke off"
    yield from (f"bytes that nobody asked for: {item['data']}" for item in records.of("surplus"))


def unasked(records, bounds):
    """A run that nobody asked for, or changed, or with another tenant, or with the key itself."""
    for item in records.of("run"):
        asked = records.tries.get(item["id"])
        if asked is None:
            yield f"{item['id']} was never sent"
            continue
        if (asked["method"], asked["target"], asked["body"]) != (
            item["method"],
            item["target"],
            item["body"],
        ):
            yield f"{item['id']} ran as something else"
        if item["keyed"]:
            yield f"{item['id']} ran with its key passed on"
        if item["tenant"] not in (records.key_holders(asked["key"]) or {""}) | (
            {""} if not asked["key"] else set()
        ):
            yield f"{item['id']} ran for tenant {item['tenant']!r}"


def twice(records, bounds):
    """A once-only request that ran more than once."""
    yield from (
        f"{name} ran {len(runs)} times"
        for name, runs in records.runs.items()
        if len(runs) > 1 and name in records.tries and not records.may_repeat(records.tries[name])
    )


def refused(records, bounds):
    """A once-only request that was promised not to run and has run, or runs later."""
    yield from (
        f"{item['id']} got {item['status']} and ran"
        for item in records.of("result")
        if item["status"] in PROMISES
        and item["id"] in records.runs
        and not records.may_repeat(records.tries[item["id"]])
    )


def route(records, bounds):
    """A service that runs what no configuration allows to go to it."""
    for item in records.of("run"):
        asked = records.tries.get(item["id"])
        if asked and not any(
            item["service"] in config.services(asked) for config in records.configs
        ):
            yield f"{item['id']} ran at service {item['service']}"


def stale(records, bounds):
    """A run on memory that was made under another version of its model."""
    runs = {item["run"]: item for item in records.of("run")}
    yield from (
        f"{runs[item['run']]['id']} ran on version {runs[item['run']]['version']} with parts of {version}"
        for item in records.of("read")
        for _, version in item["origins"]
        if version != runs[item["run"]]["version"]
    )


def wall(records, bounds):
    """A run on memory of another tenant where one of the two is kept apart."""
    runs = {item["run"]: item for item in records.of("run")}
    apart = {
        name for config in records.configs for name, is_apart in config.apart.items() if is_apart
    }
    yield from (
        f"{runs[item['run']]['id']} of {runs[item['run']]['tenant']} used parts of {tenant}"
        for item in records.of("read")
        for tenant, _ in item["origins"]
        if tenant != runs[item["run"]]["tenant"] and {tenant, runs[item["run"]]["tenant"]} & apart
    )


def order(records, bounds):
    """A stream that lacks a piece, repeats one, joins runs that may not be joined, or looks complete too early."""
    counts = {
        item["id"]: item.get("events", 0) for item in records.of("answer") if not item["body"]
    }
    after = {item["run"]: int(item["after"] or 0) for item in records.of("run")}
    for item in records.of("result"):
        if item["mode"] != "streaming" or item["status"] != 200:
            continue
        asked, events = records.tries[item["id"]], item["events"]
        numbers, begin = [number for number, _, _ in events], asked["after"]
        if numbers != list(range(begin + 1, begin + 1 + len(numbers))) or any(
            name != item["id"] for _, name, _ in events
        ):
            yield f"{item['id']} has pieces {numbers} after {begin}"
        if item["complete"] and (
            begin + len(numbers) != counts.get(item["id"]) or item.get("rest")
        ):
            yield f"{item['id']} is complete with {len(numbers)} pieces of {counts.get(item['id'])}"
        joins = [
            (one, two) for one, two in zip(events, events[1:], strict=False) if one[2] != two[2]
        ]
        if (
            any(after.get(two[2]) != one[0] for one, two in joins)
            or joins
            and not records.may_repeat(asked)
        ):
            yield f"{item['id']} joins pieces of several runs"


def budget(records, bounds):
    """More arrivals past the first of each request in a window than its requests and the allowance pay for.

    Or requests that ran on more workers than their route's tries.
    """
    sent, extra, seen, window = defaultdict(list), defaultdict(list), set(), bounds.retry_window_ms
    for item in records.of("try"):
        for service in {service for config in records.configs for service in config.services(item)}:
            sent[service].append(item["atMs"])
    for item in records.of("arrive"):
        if item["id"] in seen:
            extra[item["service"]].append(item["atMs"])
        seen.add(item["id"])
    for service, times in extra.items():
        asked = sent[service]

        def between(a, b):
            return bisect_right(asked, b) - bisect_left(asked, a)

        for at, end in enumerate(times):
            count = at + 1 - bisect_left(times, end - window + 1)
            most = max(
                between(end - window - back, end - back) for back in (0, window // 2, window)
            )
            if count > bounds.retry_ratio * most + bounds.extra_retries:
                yield f"{service} got {count} further tries for {most} requests up to {end}"
    over = []
    for name, runs in records.runs.items():
        found = records.route(records.tries[name]) if name in records.tries else None
        workers = {item["worker"] for item in runs}
        if found and len(workers) > found.get("tries", FOREVER):
            over.append(f"{name} ran on {len(workers)} workers with {found['tries']} tries")
    if len(over) > OVER_TRIES_MOST:
        yield from over


def one(records, bounds):
    """Orders of two holders under one fence, a lower fence after a higher one, or holders that take turns."""
    workers = defaultdict(list)
    for item in records.of("order"):
        workers[item["worker"]].append(item)
    for worker, orders in workers.items():
        for before, now in zip(orders, orders[1:], strict=False):
            if now["fence"] < before["fence"] and (
                not bounds.checks_fences or now["status"] in (200, 202)
            ):
                yield f"{worker} got fence {now['fence']} after {before['fence']}"
            apart_ms = abs(_given_ms(now) - _given_ms(before))
            if now["owner"] != before["owner"] and apart_ms < bounds.lease_ms:
                yield f"{worker} got orders of {before['owner']} and {now['owner']} at {before['atMs']} and {now['atMs']}"
        for fence in {item["fence"] for item in orders}:
            owners = {item["owner"] for item in orders if item["fence"] == fence}
            if len(owners) > 1:
                yield f"{worker} got orders of {sorted(owners)} under fence {fence}"


def _given_ms(order):
    """When an order was given: before it arrived by as long as it was held up on its way."""
    return order["atMs"] - order.get("heldMs", 0)


def version(records, bounds):
    """A run that begins on weights much older than what was acknowledged, or workers that are left behind."""
    named = records.of("named")
    for item in records.of("run"):
        asked = records.tries.get(item["id"])
        if asked is None or not bounds.in_touch(asked["router"], item["atMs"]):
            continue
        for each in named:
            if each["model"] != item["model"] or item["version"] >= each["version"]:
                continue
            longest_ms = max(bounds.settled_stretches(each["atMs"], item["atMs"]), default=0)
            if longest_ms > bounds.version_ms:
                late_ms = item["atMs"] - each["atMs"]
                yield (
                    f"{item['id']} began on version {item['version']}, "
                    f"{late_ms} ms after version {each['version']} was acknowledged"
                )
    yield from _left_behind(records, bounds)


def _left_behind(records, bounds):
    """Workers that still have older weights when the traffic ends, though there was time enough to move them."""
    for end in records.of("trafficEnds"):
        for model in {each["model"] for each in records.of("named")}:
            able = [each for each in end["workers"] if model in each["versions"]]
            behind = [each for each in able if _is_left_behind(records, bounds, end, each, model)]
            if len(behind) > max(1, LEFT_BEHIND_SHARE * len(able)):
                names = sorted(each["worker"] for each in behind)
                yield f"{names} still have old weights of {model} when the traffic ends"


def _is_left_behind(records, bounds, end, worker, model):
    up_ms = max(
        (item["atMs"] for item in records.of("up") if item.get("worker") == worker["worker"]),
        default=0,
    )
    return any(
        sum(bounds.settled_stretches(max(each["atMs"], up_ms), end["atMs"]))
        > LEFT_BEHIND_STRETCH * bounds.version_ms
        for each in records.of("named")
        if each["model"] == model and each["version"] > worker["versions"][model]
    )


def drain(records, bounds):
    """A request that reaches a worker long after the list showed it as leaving."""
    shown, turned = (
        {},
        {(item["id"], item["worker"]) for item in records.of("refused") if item["status"] == 421},
    )
    for item in records.of("shown"):
        shown.setdefault(item["worker"], item["atMs"])
    for item in records.of("arrive"):
        asked = records.tries.get(item["id"])
        if (
            asked
            and item["atMs"] > shown.get(item["worker"], FOREVER) + bounds.drain_ms
            and (item["id"], item["worker"]) not in turned
            and bounds.in_touch(asked["router"], item["atMs"])
        ):
            yield f"{item['id']} reached {item['worker']} {item['atMs'] - shown[item['worker']]} ms after it was shown as leaving"


def config(records, bounds):
    """A request handled as only an older configuration allows; what must not be in force; what was acknowledged and is gone."""
    results = {item["id"]: item for item in records.of("result")}
    for name, asked in records.tries.items():
        told = [
            each
            for each in records.configs
            if each.told_ms + bounds.apply_within_ms < asked["atMs"]
        ]
        if not told or not bounds.in_touch(asked["router"], asked["atMs"]):
            continue
        newest = max(told, key=lambda each: each.version)
        may = [each for each in records.configs if each.version >= newest.version]
        allowed = [each.services(asked) for each in may]
        if any(run["service"] not in set().union(*allowed) for run in records.runs.get(name, ())):
            yield f"{name} ran as only a configuration before {newest.version} allows"
        if results.get(name, {}).get("status") in TURNED_AWAY and all(allowed):
            yield f"{name} got {results[name]['status']}, while {newest.version} and all later ones allow it"
    yield from (
        f"{item['version']} is invalid and was acknowledged"
        for item in records.of("told")
        if item["bad"] and item["status"] == 200
    )
    bases = defaultdict(set)
    for item in records.of("told"):
        if item["status"] == 200:
            bases[item["base"]].add(item["version"])
    yield from (
        f"{sorted(versions)} were both acknowledged on top of {base}"
        for base, versions in bases.items()
        if len(versions) > 1
    )
    told = [each for each in records.configs if each.told_ms < FOREVER]
    sent = {item["version"]: item["document"] for item in records.of("sent")}
    for item in records.of("readBack")[-1:]:
        got, newest = item["document"], max((each.version for each in told), default=0)
        if got is None or got["version"] < newest or got != sent.get(got["version"], got):
            yield f"read back {got and got['version']}, acknowledged {newest}"


def denied(records, bounds):
    """Too many proper requests that machines in touch end with a 3xx or 4xx of their own, which is no promise."""
    made = {(item["id"], item["status"]) for item in records.of("answer")}
    found = []
    for item in records.of("result"):
        status, asked = item["status"], records.tries[item["id"]]
        if not 300 <= status < 500 or status in PROMISES or (item["id"], status) in made:
            continue
        settled_ms = asked["atMs"] - bounds.apply_within_ms
        newest = max(
            (each.version for each in records.configs if each.told_ms < settled_ms), default=0
        )
        may = [
            each.services(asked)
            for each in records.configs
            if each.version >= newest and each.sent_ms <= item["atMs"]
        ]
        if may and all(may) and bounds.in_touch(asked["router"], item["atMs"], asked["atMs"]):
            found.append(f"{item['id']} got {status}")
    if len(found) > DENIED_MOST + len(records.tries) / DENIED_EACH:
        yield from found


def lost(records, bounds):
    """A request that was cut off around planned work, after it was passed on or held for a while.

    Or, at any time, requests from kept connections that were passed on and left without an answer. A run that has no end in the
    records is one of a worker that died, and so broke off.
    """
    arrived, ended = {item["id"] for item in records.of("arrive")}, defaultdict(list)
    for item in records.of("ran"):
        ended[item["id"]].append(item["atMs"])
    over = {item["run"] for item in records.of("ran")}
    unanswered = []
    for item in records.of("result"):
        asked, end_ms = records.tries[item["id"]], item["atMs"]
        if item["complete"] or not item.get("sent") or item["end"] in OWN_ENDS:
            continue
        held_ms = end_ms - asked["atMs"]
        if (
            not bounds.in_touch(asked["router"], end_ms, asked["atMs"])
            or any(run.get("quirk") for run in records.runs[item["id"]])
            or any(run["run"] not in over for run in records.runs[item["id"]])
            or held_ms >= _held_ms(records, asked)
        ):
            continue
        if item.get("kept") and not item["status"] and item["id"] in ended:
            unanswered.append(f"{item['id']} was left without an answer by {asked['router']}")
        planned = [each for each in records.of("planned") if _bears_on(each, asked, end_ms, bounds)]
        last_ms = max(ended[item["id"]], default=0)
        if not planned or any(_may_be_cut(each, asked, last_ms, bounds) for each in planned):
            continue
        if item["id"] in arrived or held_ms > bounds.loss_slack_ms:
            yield f"{item['id']} was cut off by {asked['router']} after {held_ms} ms"
    if len(unanswered) > UNANSWERED_MOST:
        yield from unanswered


def _may_be_cut(planned, asked, last_ms, bounds):
    """Whether a worker was still at work, up to `last_ms`, at the end of the grace of a router that took the request soon enough."""
    if planned["what"] != "term":
        return False
    is_late_work = last_ms >= planned["atMs"] + bounds.grace_ms * (1 - LAST_SHARE)
    return is_late_work and asked["atMs"] <= planned["atMs"] + ADMISSION_MS


def _held_ms(records, asked):
    """How long a try may be held: what its client waits and its route's timeout."""
    found = records.route(asked)
    return min(asked.get("end_ms", FOREVER), found.get("timeout-ms", FOREVER) if found else FOREVER)


def _bears_on(planned, asked, end_ms, bounds):
    """Whether planned work at a machine may have cut a request off."""
    if planned["machine"] != asked["router"]:
        return False
    begin_ms = planned["atMs"]
    if planned["what"] == "hup":
        return begin_ms <= end_ms and asked["atMs"] <= begin_ms + bounds.apply_within_ms
    return begin_ms <= end_ms <= begin_ms + bounds.grace_ms + 1000


def recover(records, bounds):
    """Few requests are served after the closing fault, though many were before it."""
    for back in records.of("back"):
        served = {
            item["id"]
            for item in records.of("result")
            if item["complete"] and 200 <= item["status"] < 300
        }
        before = [each for each in records.tries.values() if each["atMs"] < back["downMs"]]
        late_ms = back["atMs"] + bounds.recovery_ms
        after = [each for each in records.tries.values() if each["atMs"] > late_ms]
        shares = [
            sum(each["id"] in served for each in some) / len(some)
            for some in (before, after)
            if some
        ]
        if len(shares) == 2 and shares[0] >= 0.25 > shares[1]:
            yield f"{shares[0]:.2f} served before {back['downMs']}, {shares[1]:.2f} after {late_ms}"


def gone(records, bounds):
    """Requests that reach a worker, or are worked on, long after their clients have closed the connection."""
    left = [
        item
        for item in records.of("left")
        if bounds.in_touch(item["router"], item["atMs"] + bounds.gone_ms, item["atMs"])
    ]
    arrivals = defaultdict(list)
    for item in records.of("arrive"):
        arrivals[item["id"]].append(item["atMs"])
    late = [
        f"{item['id']} reached a worker {at_ms - item['atMs']} ms after its client had left"
        for item in left
        for at_ms in arrivals[item["id"]]
        if at_ms > item["atMs"] + bounds.gone_ms
    ]
    if len(late) > GONE_FEW:
        yield from late
    open_runs = [found for item in left for found in _open_runs(records, bounds, item)]
    worked_on = [
        f"{run['id']} was worked on {end_ms - left_ms} ms after its client had left"
        for run, left_ms, end_ms in open_runs
        if end_ms > left_ms + bounds.gone_ms
    ]
    if len(worked_on) > max(GONE_FEW, GONE_SHARE * len(open_runs)):
        yield from worked_on


def _open_runs(records, bounds, left):
    """The runs of a request that are under way when its client leaves, with that time and their end.

    Left out are those that may not be repeated and are no streams, and those that come to their end soon by themselves.
    """
    asked = records.tries[left["id"]]
    if asked["mode"] != "streaming" and not records.may_repeat(asked):
        return
    ends = {item["run"]: item for item in records.of("ran")}
    left_ms = left["atMs"]
    for run in records.runs[left["id"]]:
        end = ends.get(run["run"])
        end_ms = end["atMs"] if end else FOREVER
        ends_soon = end is not None and end["whole"] and end_ms <= left_ms + bounds.gone_ms
        if run["atMs"] <= left_ms < end_ms and not ends_soon:
            yield run, left_ms, end_ms


RULES = {
    "MIXED": mixed,
    "UNASKED": unasked,
    "TWICE": twice,
    "REFUSED": refused,
    "ROUTE": route,
    "STALE": stale,
    "WALL": wall,
    "ORDER": order,
    "BUDGET": budget,
    "ONE": one,
    "VERSION": version,
    "DRAIN": drain,
    "CONFIG": config,
    "DENIED": denied,
    "LOST": lost,
    "GONE": gone,
    "RECOVER": recover,
}


def check(items, bounds=None) -> dict:
    """Breaches by rule; a rule without breaches is not there."""
    records, bounds = Records(items), bounds or Bounds()
    found = {name: list(rule(records, bounds)) for name, rule in RULES.items()}
    return {name: breaches[:20] for name, breaches in found.items() if breaches}

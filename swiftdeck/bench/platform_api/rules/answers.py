"""Rules on answers: whole, the worker's own, for the request that was sent, and run as often as it may."""

from collections import defaultdict

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""


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

"""Rules on responses: complete, from the worker that ran the request, for the request as sent, and not run too often."""

from collections import defaultdict

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell the client that its request was not run."""


def mixed(records, bounds):
    """Find successes without their seal, truncated or with another body, responses to other requests, and unsolicited bytes."""
    answers, is_whole_by_run = (
        defaultdict(list),
        {item["run"]: item["whole"] for item in records.of("ran")},
    )
    for item in records.of("answer"):
        answers[item["id"]].append(item)
    for item in records.of("result"):
        request_id, own_answers = item["id"], answers[item["id"]]
        if item["status"] and item["ownId"] not in ("", request_id):
            yield f"{request_id} got an answer to {item['ownId']}"
        sealed_statuses = {
            candidate["status"] for candidate in own_answers if candidate["seal"] == item["seal"]
        }
        if item["seal"] and item["status"] >= 300 and item["status"] not in sealed_statuses:
            yield f"{request_id} has a failure {item['status']} under the seal of {sorted(sealed_statuses)}"
        if not 200 <= item["status"] < 300 or not item["complete"]:
            continue
        answer = next(
            (
                candidate
                for candidate in own_answers
                if candidate["seal"] == item["seal"] and item["seal"]
            ),
            None,
        )
        if answer is None:
            yield f"{request_id} has a success without its worker's seal"
        elif (
            answer["status"] != item["status"] or answer["body"] and answer["body"] != item["body"]
        ):
            yield f"{request_id} has a body or status that its worker did not send"
        elif item["mode"] != "streaming" and not is_whole_by_run.get(answer["run"]):
            yield f"{request_id} looks complete, but its worker broke off"
    yield from (f"bytes that nobody asked for: {item['data']}" for item in records.of("surplus"))


def unasked(records, bounds):
    """Find runs of requests that were not sent or were altered, or that ran for another tenant or with the API key itself."""
    for item in records.of("run"):
        attempt = records.tries.get(item["id"])
        if attempt is None:
            yield f"{item['id']} was never sent"
            continue
        if (attempt["method"], attempt["target"], attempt["body"]) != (
            item["method"],
            item["target"],
            item["body"],
        ):
            yield f"{item['id']} ran as something else"
        if item["keyed"]:
            yield f"{item['id']} ran with its key passed on"
        if item["tenant"] not in (records.key_holders(attempt["key"]) or {""}) | (
            {""} if not attempt["key"] else set()
        ):
            yield f"{item['id']} ran for tenant {item['tenant']!r}"


def twice(records, bounds):
    """Find requests that ran more than once although they must not be repeated."""
    yield from (
        f"{request_id} ran {len(runs)} times"
        for request_id, runs in records.runs.items()
        if len(runs) > 1
        and request_id in records.tries
        and not records.may_repeat(records.tries[request_id])
    )


def refused(records, bounds):
    """Find requests that must not be repeated and ran, before or after the response, although the client was told that they were not run."""
    yield from (
        f"{item['id']} got {item['status']} and ran"
        for item in records.of("result")
        if item["status"] in NOT_RUN_STATUSES
        and item["id"] in records.runs
        and not records.may_repeat(records.tries[item["id"]])
    )


def order(records, bounds):
    """Find streams that miss or repeat an event, join runs that must not be joined, or look complete too early."""
    event_counts = {
        item["id"]: item.get("events", 0) for item in records.of("answer") if not item["body"]
    }
    resumed_after = {item["run"]: int(item["after"] or 0) for item in records.of("run")}
    for item in records.of("result"):
        if item["mode"] != "streaming" or item["status"] != 200:
            continue
        attempt, events = records.tries[item["id"]], item["events"]
        event_ids, last_event_id = [event_id for event_id, _, _ in events], attempt["after"]
        if event_ids != list(range(last_event_id + 1, last_event_id + 1 + len(event_ids))) or any(
            request_id != item["id"] for _, request_id, _ in events
        ):
            yield f"{item['id']} has pieces {event_ids} after {last_event_id}"
        if item["complete"] and (
            last_event_id + len(event_ids) != event_counts.get(item["id"]) or item.get("rest")
        ):
            yield f"{item['id']} is complete with {len(event_ids)} pieces of {event_counts.get(item['id'])}"
        joins = [
            (event, next_event)
            for event, next_event in zip(events, events[1:], strict=False)
            if event[2] != next_event[2]
        ]
        if (
            any(resumed_after.get(next_event[2]) != event[0] for event, next_event in joins)
            or joins
            and not records.may_repeat(attempt)
        ):
            yield f"{item['id']} joins pieces of several runs"

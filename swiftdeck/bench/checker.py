"""Judges a run by the records of stand-ins and operators alone: one check for each rule of the brief."""

from bisect import bisect_right
from collections import Counter, defaultdict

import msgspec

from swiftdeck.config.document import merge


def check(records, apart=(), budgetExtra=3) -> dict:
    """Breaches by rule; a rule without breaches is not there."""
    found = {name: list(rule(records, apart, budgetExtra)) for name, rule in RULES.items()}
    return {name: breaches[:20] for name, breaches in found.items() if breaches}


def _of(records, *kinds):
    return (item for item in records if item["kind"] in kinds)


class Falls:
    """When each process was down, frozen, cut off or made to misbehave, as the operator and the stand-ins noted it."""

    def __init__(self, records):
        self.spans, self.keepers, opened = defaultdict(list), [], {}
        for item in _of(records, "kill", "back", "quirk", "up"):
            atMs = item["atMs"]
            if item["kind"] == "kill":
                span = [atMs, 1 << 60 if "id" in item else atMs + 20000]
                self.spans[item["target"]].append(span)
                if item.get("keeper"):
                    self.keepers.append(span)
                opened[item.get("id")] = span
            elif item["kind"] == "back":
                opened.get(item["id"], [0, 0])[1] = atMs + BACK_MS
            elif item["kind"] == "up":
                self.spans[item["who"]].append([atMs, atMs])
            elif item["quirk"]:
                self.spans[item["who"]].append([atMs, 1 << 60])
            else:
                for span in self.spans[item["who"]]:
                    span[1] = min(span[1], atMs + BACK_MS)

    def fell(self, name, from_ms, to_ms) -> bool:
        """Whether a process was not well at some time between two."""
        return any(a <= to_ms and b >= from_ms for a, b in self.spans.get(name, ()))

    def chain_fell(self, from_ms, to_ms) -> bool:
        """Whether two cores were not well between two times, so that no claim could be made for a while."""
        return (
            sum(
                self.fell(name, from_ms, to_ms)
                for name in list(self.spans)
                if name.startswith("core")
            )
            > 1
        )

    def keeper_fell(self, from_ms, to_ms) -> bool:
        """Whether a keeper was not well at some time between two."""
        return any(a <= to_ms and b >= from_ms for a, b in self.keepers)


BACK_MS = 3000
WAIT_MS = {"check": 10000, "tag": 8000}
REFUSALS = range(110, 121)


def runs_once(records, apart, extra):
    """A once-only call, known by its Idempotency-Key, or else by its try, never runs twice."""
    tries = {item["marker"]: item for item in _of(records, "try")}
    runs = defaultdict(list)
    for item in _of(records, "run"):
        asked = tries.get(item["marker"])
        if asked and asked["route"] != "tag":
            runs[(asked["tenant"], asked["idempotency"] or item["marker"])].append(item["run"])
    yield from (
        f"{key} ran {len(names)} times: {names}" for key, names in runs.items() if len(names) > 1
    )


def not_run_stays(records, apart, extra):
    """What was promised not to run did not run, before or after."""
    ran = {item["call"]: item["atMs"] for item in _of(records, "run")}
    tries = Counter(item["marker"] for item in _of(records, "try"))
    markers = {
        item["marker"]: item["atMs"] for item in _of(records, "run") if tries[item["marker"]] == 1
    }
    for item in _of(records, "return"):
        atMs = ran.get(item.get("call") or None) or markers.get(item["marker"])
        if item["notRun"] and atMs is not None:
            yield f"{item['marker']} was refused at {item['atMs']} and ran at {atMs}"


def pieces_belong(records, apart, extra):
    """A caller gets pieces of its own call and of one run, in order, and a whole return only from a whole run."""
    whole = {item["run"] for item in _of(records, "ran") if item["whole"]}
    saw_workers = any(_of(records, "run"))
    for item in _of(records, "return"):
        if item["wrong"]:
            yield f"{item['marker']}: {item['wrong']}"
        if item["whole"] and saw_workers and item["run"] not in whole:
            yield f"{item['marker']}: whole return of run {item['run']}, which no worker finished"


def apart_stays_apart(records, apart, extra):
    """A tenant kept apart reads no other's prefixes, nor others its own."""
    runs = {item["run"]: item["tenant"] for item in _of(records, "run")}
    for item in _of(records, "prefill"):
        reader = runs.get(item["run"])
        yield from (
            f"{reader} read a prefix of {maker} in {item['run']}"
            for maker, _ in item["origins"]
            if maker != reader and (maker in apart or reader in apart)
        )


def weights_match(records, apart, extra):
    """No call runs on a prefix made under other weights, nor on a worker that has others loaded."""
    runs = {item["run"]: item for item in _of(records, "run")}
    for item in _of(records, "prefill"):
        run = runs.get(item["run"], {})
        yield from (
            f"{item['run']} under {run.get('weights')} read a prefix of {made}"
            for _, made in item["origins"]
            if made != run.get("weights")
        )
    yield from (
        f"{item['run']} asked {item['weights']}, loaded {item['loaded']}"
        for item in runs.values()
        if item["weights"] != item["loaded"]
    )


def _acknowledged(records):
    return [item for item in _of(records, "change") if item["status"] == 200]


def _undecided(records):
    """Changes that may or may not be obeyed."""
    known = {item["answer"]["changeId"] for item in _acknowledged(records)}
    return [
        item
        for item in _of(records, "change")
        if item["status"] not in (200, 400, 409, 422)
        and item["answer"].get("changeId") not in known
    ]


def _weights_in(item):
    """Weights that a change names, by model."""
    return {
        name: model["weights"]
        for name, model in (item["document"].get("models") or {}).items()
        if model and "weights" in model
    }


def old_weights_end(records, apart, extra):
    """Fifteen seconds after new weights are acknowledged no call starts on others; none runs that only a refusal named."""
    models = {
        worker["name"]: worker["model"]
        for item in _of(records, "list")
        for worker in item["workers"]
    }
    named = [
        (item["atMs"], item["answer"]["version"], *pair)
        for item in _acknowledged(records)
        for pair in _weights_in(item).items()
    ]
    maybe = {pair for item in _undecided(records) for pair in _weights_in(item).items()}
    for item in _of(records, "run"):
        model = models.get(item["who"], next(iter(models.values()), ""))
        mine = [(version, weights, atMs) for atMs, version, name, weights in named if name == model]
        late = max([version for version, _, atMs in mine if atMs + 15000 < item["atMs"]], default=0)
        allowed = {weights for version, weights, _ in mine if version >= late}
        if mine and item["weights"] not in allowed and (model, item["weights"]) not in maybe:
            yield f"{item['run']} started on {item['weights']} at {item['atMs']}, when version {late} had long been in force"


def versions_stand(records, apart, extra):
    """Acknowledged versions are read back and never go back; two changes never share one."""
    versions, newest = {}, (0, 0)
    for item in sorted(_of(records, "change", "read"), key=lambda item: item["atMs"]):
        if item["kind"] == "change" and item["status"] == 200:
            version, change = item["answer"]["version"], item["answer"]["changeId"]
            if versions.setdefault(version, change) != change:
                yield f"version {version} acknowledged for {versions[version]} and {change}"
            newest = max(newest, (version, item["atMs"]), key=lambda each: each[0])
        elif item["kind"] == "read" and item["status"] == 200:
            if item["version"] < newest[0] and item["askedMs"] > newest[1]:
                yield f"read version {item['version']} at {item['atMs']} after {newest[0]} was acknowledged"


def read_back_whole(records, apart, extra):
    """What is read is byte for byte what the acknowledged changes made, and the day ends with a reading."""
    changes = {item["answer"]["version"]: item for item in _acknowledged(records)}
    made, document = {}, {}
    for version in range(1, max(changes, default=0) + 1):
        if version not in changes:
            break
        item = changes[version]
        document = (
            merge(document, item["document"]) if item["method"] == "PATCH" else item["document"]
        )
        made[version] = msgspec.json.encode(document, order="sorted")
    reads = [item for item in _of(records, "read") if item["status"] == 200 and "document" in item]
    for item in reads:
        due = made.get(item["version"])
        if due is not None and due != msgspec.json.encode(item["document"], order="sorted"):
            yield f"version {item['version']} was read at {item['atMs']} otherwise than it was acknowledged"
    if any(_of(records, "dayEnds")) and not any(
        item["atMs"] >= max(each["atMs"] for each in _of(records, "dayEnds"))
        and item["version"] >= max(changes, default=0)
        for item in reads
    ):
        yield "the configuration was not read back at the end of the day"


def ack_is_quick(records, apart, extra):
    """While nothing fails a change is acknowledged within about two seconds."""
    quiet = [(item["atMs"], item["untilMs"]) for item in _of(records, "quiet")]
    for item in _of(records, "change"):
        if any(a <= item.get("askedMs", -1) and item["askedMs"] < b - 2000 for a, b in quiet):
            if item["status"] not in (200, 409, 422) or item["atMs"] - item["askedMs"] > 2000:
                yield f"change asked at {item['askedMs']} ended at {item['atMs']} with status {item['status']}"


def _keys_at(records):
    """(ack time, tenant, digests) of each acknowledged change of keys, in the order of versions."""
    return [
        (item["atMs"], name, set((tenant or {}).get("keys", [])), tenant is None)
        for item in sorted(_acknowledged(records), key=lambda item: item["answer"]["version"])
        for name, tenant in (item["document"].get("tenants") or {}).items()
        if tenant is None or "keys" in tenant
    ]


def refused_is_not_obeyed(records, apart, extra):
    """Nothing runs for tenants, routes or keys that no configuration in force names when the call is made."""
    sure, maybe = _acknowledged(records), _undecided(records)
    for table in ("tenants", "routes"):
        taken = {name for item in [*sure, *maybe] for name in item["document"].get(table) or {}}
        refused = {
            name
            for item in _of(records, "change")
            if item["status"] in (409, 422)
            for name in item["document"].get(table) or {}
        } - taken
        yield from (
            f"{item['run']} of {item[table[:-1]]}"
            for item in _of(records, "run")
            if item.get(table[:-1]) in refused
        )
    keys, gone = (
        _keys_at(records),
        [
            (item["atMs"], name)
            for item in sure
            for name, route in (item["document"].get("routes") or {}).items()
            if route is None
        ],
    )
    changing = {name for item in maybe for name in item["document"].get("tenants") or {}}
    tries = {item["marker"]: item for item in _of(records, "try")}
    for item in _of(records, "run"):
        asked = tries.get(item["marker"])
        if asked is None:
            continue
        mine = [(atMs, digests) for atMs, name, digests, _ in keys if name == asked["tenant"]]
        before = [digests for atMs, digests in mine if atMs < asked["atMs"]][-1:]
        after = [digests for atMs, digests in mine if asked["atMs"] <= atMs]
        if (
            "key" in asked
            and before
            and asked["tenant"] not in changing
            and not any(asked["key"] in digests for digests in [*before, *after])
        ):
            yield f"{item['run']} of {asked['tenant']} with a key that was taken before {asked['atMs']}"
        yield from (
            f"{item['run']} by route {name}, which was taken away at {atMs}"
            for atMs, name in gone
            if name == asked["route"] and atMs < asked["atMs"]
        )


def draining_is_left(records, apart, extra):
    """No call reaches a worker more than three seconds after the list shows it draining, or no longer shows it."""
    since = {}
    for item in records:
        if item["kind"] == "list":
            shown = {worker["name"]: worker for worker in item["workers"]}
            for name in set(since) | set(shown):
                if name in shown and not shown[name]["draining"]:
                    since[name] = None
                elif since.get(name) is None:
                    since[name] = item["atMs"]
        elif (
            item["kind"] == "run"
            and since.get(item["who"]) is not None
            and item["atMs"] > since[item["who"]] + 3000
        ):
            yield f"{item['run']} reached {item['who']} at {item['atMs']}, draining since {since[item['who']]}"


def not_cut_off(records, apart, extra):
    """A call is not lost while its own router and its own worker serve and its caller stays."""
    falls, tries = Falls(records), {}
    where = {item["run"]: item["who"] for item in _of(records, "run")}
    runs = defaultdict(list)
    for item in _of(records, "run"):
        runs[item["marker"]].append(item)
    for item in _of(records, "try", "return"):
        if item["kind"] == "try":
            tries[item["marker"]] = item
            continue
        asked = tries.get(item["marker"], {"atMs": item["atMs"], "door": ""})
        if item["whole"] or item.get("gaveUp") or item.get("left"):
            continue
        is_lost = item["status"] in (-1, -2) or 140 <= item["code"] < 145 or item["status"] == 200
        workers = {
            where.get(item["run"]),
            item.get("sentTo"),
            *(run["who"] for run in runs[item["marker"]] if run["atMs"] >= asked["atMs"]),
        } - {None, ""}
        if (
            is_lost
            and not falls.fell(asked.get("router", ""), asked["atMs"], item["atMs"])
            and not any(falls.fell(name, asked["atMs"], item["atMs"]) for name in workers)
        ):
            yield (
                f"{item['marker']} broke at {item['atMs']} with code {item['code']}, status {item['status']}, "
                f"while {sorted(workers)} and {asked.get('router')} served"
            )


def later_calls_pass(records, apart, extra):
    """A later call of an admitted conversation neither waits nor is refused for want of room while its worker serves."""
    falls, last, tries = Falls(records), {}, {}
    shown = [
        (item["atMs"], {worker["name"]: worker["draining"] for worker in item["workers"]})
        for item in _of(records, "list")
    ]

    def serves(name, from_ms, to_ms):
        seen = [workers for atMs, workers in shown if atMs <= from_ms][-1:] + [
            workers for atMs, workers in shown if from_ms < atMs <= to_ms
        ]
        return not falls.fell(name, from_ms - BACK_MS, to_ms) and all(
            not workers.get(name, True) for workers in seen
        )

    for back in _of(records, "try", "return"):
        if back["kind"] == "try":
            tries[back["marker"]] = back
            continue
        asked = tries.get(back["marker"], {})
        talk = asked.get("talk")
        if not talk:
            continue
        before, last[talk] = last.get(talk), back
        if (
            asked["turn"] < 1
            or before is None
            or not before["whole"]
            or asked["atMs"] - before["atMs"] > PAUSE_MS
        ):
            continue
        if (
            falls.chain_fell(before["atMs"], back["atMs"])
            or falls.keeper_fell(before["atMs"] - 10000, back["atMs"])
            or falls.fell(asked["router"], asked["atMs"], back["atMs"])
            or (falls.fell("platform", before["atMs"], back["atMs"]))
        ):
            continue
        is_held_up = (
            back["code"] in (110, 111, 112) or back["whole"] and back.get("waitedMs", 0) > 0
        )
        if is_held_up and serves(before.get("worker"), before["atMs"], back["atMs"]):
            yield (
                f"{asked['marker']}, turn {asked['turn']}, code {back['code']}, waited {back.get('waitedMs')} ms at "
                f"{back['atMs']} while {before.get('worker')} served"
            )


PAUSE_MS = 2500


def _caps_at(records):
    """For each model the caps that may be in force at a time."""
    spans = defaultdict(list)
    for item in _of(records, "change"):
        for name, model in (item["document"].get("models") or {}).items():
            if model and "cap" in model and item["status"] not in (400, 409, 422):
                spans[name].append(
                    (
                        item.get("askedMs", item["atMs"]),
                        item["atMs"] if item["status"] == 200 else 1 << 60,
                        model["cap"],
                    )
                )

    def cap_of(name, atMs):
        mine = spans[name]
        newest = max((ack for _, ack, _ in mine if ack <= atMs - LATE_MS), default=0)
        return max(
            (cap for asked, ack, cap in mine if asked <= atMs and ack >= newest), default=1 << 30
        )

    return cap_of


LATE_MS = 3000


def starts_within_cap(records, apart, extra):
    """No conversation starts on a worker that runs calls of K others, but for those that moved or whose router is cut off."""
    falls, cap_of, running = Falls(records), _caps_at(records), defaultdict(dict)
    models = {
        worker["name"]: worker["model"]
        for item in _of(records, "list")
        for worker in item["workers"]
    }
    tries = {item["marker"]: item for item in _of(records, "try")}
    ends = {item["run"]: item["atMs"] for item in _of(records, "ran")}
    homes = {}
    for item in _of(records, "run", "up"):
        if item["kind"] == "up":
            running[item["who"]].clear()
            continue
        asked = tries.get(item["marker"])
        if asked is None:
            continue
        talk, atMs, worker = asked.get("talk") or item["marker"], item["atMs"], item["who"]
        here = running[worker]
        for run in [run for run, (_, _, end_ms) in here.items() if end_ms <= atMs + 100]:
            del here[run]
        has_moved = homes.get(talk, worker) != worker or not item["run"].endswith("-1")
        is_start = talk not in homes
        homes[talk] = worker
        others = {
            other
            for other, router, _ in here.values()
            if other != talk and not falls.fell(router, atMs - 20000, atMs)
        }
        cap = cap_of(models.get(worker), atMs)
        if (
            is_start
            and not has_moved
            and len(others) >= cap
            and not falls.keeper_fell(atMs - 10000, atMs)
        ):
            yield f"{item['run']} started on {worker} at {atMs} beside {len(others)} others, cap {cap}"
        if not has_moved:
            here[item["run"]] = (talk, asked.get("router", ""), ends.get(item["run"], 1 << 60))


def returned_at_once(records, apart, extra):
    """A call that is given up has its return at once, with a time to come back, not near its deadline."""
    falls, tries = Falls(records), {}
    ended = defaultdict(int)
    for item in _of(records, "try", "ran", "return"):
        if item["kind"] == "try":
            tries[item["marker"]] = item
        elif item["kind"] == "ran":
            ended[item["call"]] = item["atMs"]
        elif not item["whole"] and item["code"]:
            asked = tries.get(item["marker"])
            if asked is None or falls.fell(asked.get("router", ""), asked["atMs"], item["atMs"]):
                continue
            took_ms, bound_ms = (
                item["atMs"] - asked["atMs"],
                WAIT_MS.get(asked["route"], 10000) + 1500,
            )
            if item["code"] in (*REFUSALS, 145):
                if not item.get("retryAfter"):
                    yield f"{item['marker']} was refused with {item['code']} and no time to come back"
                if took_ms > bound_ms:
                    yield f"{item['marker']} was refused with {item['code']} after {took_ms} ms"
            since_ms = item["atMs"] - ended[item["call"]]
            if item["code"] in (140, 142, 143) and ended[item["call"]] and since_ms > 4000:
                yield f"{item['marker']} was given up {since_ms} ms after its worker had ended it"


def tries_are_few(records, apart, extra):
    """Extra tries stay within one in five of the calls made or begun in ten seconds, plus the allowance, over all models."""
    runs = [
        (item["atMs"], item["marker"], int(item["run"].rsplit("-", 1)[1]))
        for item in _of(records, "run")
        if "-" in item["run"]
    ]
    extras = [atMs for atMs, _, attempt in runs if attempt > 1]
    seen = sorted(
        [(item["atMs"], item["marker"]) for item in _of(records, "try")]
        + [(atMs, marker) for atMs, marker, attempt in runs if attempt == 1]
    )
    times = [atMs for atMs, _ in seen]
    for atMs in extras:
        spent = bisect_right(extras, atMs) - bisect_right(extras, atMs - 10000)
        if spent > extra:
            calls = len(
                {
                    marker
                    for _, marker in seen[
                        bisect_right(times, atMs - 10000) : bisect_right(times, atMs)
                    ]
                }
            )
            if spent > 0.2 * calls + extra:
                yield f"{spent} extra tries in the ten seconds before {atMs}, of {calls} calls"


def service_returns(records, apart, extra):
    """Twelve seconds after a closing fault, calls are served again on each route that was served before."""
    ends = [item["atMs"] for item in _of(records, "closing")]
    served = [(item["atMs"], item["route"]) for item in _of(records, "return") if item["whole"]]
    last = max((item["atMs"] for item in records), default=0)
    for end_ms in ends:
        before = {route for atMs, route in served if end_ms - 30000 < atMs <= end_ms}
        after = {route for atMs, route in served if end_ms < atMs <= end_ms + 12000}
        if last > end_ms + 12000:
            yield from (
                f"no call of route {route} served from {end_ms} to {end_ms + 12000}"
                for route in sorted(before - after)
            )


RULES = {
    rule.__name__: rule
    for rule in (
        runs_once,
        not_run_stays,
        pieces_belong,
        apart_stays_apart,
        weights_match,
        old_weights_end,
        versions_stand,
        read_back_whole,
        ack_is_quick,
        refused_is_not_obeyed,
        draining_is_left,
        not_cut_off,
        later_calls_pass,
        starts_within_cap,
        returned_at_once,
        tries_are_few,
        service_returns,
    )
}

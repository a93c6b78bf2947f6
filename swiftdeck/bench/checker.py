"""Judges a run by the records of stand-ins and operators alone: one check for each rule of the brief."""
import unittest
from bisect import bisect_right
from collections import defaultdict


def check(records, apart=(), budgetExtra=3) -> dict:
    """Breaches by rule; a rule without breaches is not there."""
    found = {name: list(rule(records, apart, budgetExtra)) for name, rule in RULES.items()}
    return {name: breaches[:20] for name, breaches in found.items() if breaches}


def _of(records, *kinds):
    return (item for item in records if item["kind"] in kinds)


def runsOnce(records, apart, extra):
    """A once-only call, known by its Idempotency-Key, or else by its try, never runs twice."""
    tries = {item["marker"]: item for item in _of(records, "try")}
    runs = defaultdict(list)
    for item in _of(records, "run"):
        asked = tries.get(item["marker"])
        if asked and asked["route"] != "tag":
            runs[(asked["tenant"], asked["idempotency"] or item["marker"])].append(item["run"])
    yield from (f"{key} ran {len(names)} times: {names}" for key, names in runs.items() if len(names) > 1)


def notRunStays(records, apart, extra):
    """What was promised not to run did not run, before or after."""
    ran = {item["marker"]: item["atMs"] for item in _of(records, "run")}
    yield from (f"{item['marker']} was refused at {item['atMs']} and ran at {ran[item['marker']]}"
                for item in _of(records, "return") if item["notRun"] and item["marker"] in ran)


def piecesBelong(records, apart, extra):
    """A caller gets pieces of its own call and of one run, in order, and a whole return only from a whole run."""
    whole = {item["run"] for item in _of(records, "ran") if item["whole"]}
    sawWorkers = any(_of(records, "run"))
    for item in _of(records, "return"):
        if item["wrong"]:
            yield f"{item['marker']}: {item['wrong']}"
        if item["whole"] and sawWorkers and item["run"] not in whole:
            yield f"{item['marker']}: whole return of run {item['run']}, which no worker finished"


def apartStaysApart(records, apart, extra):
    """A tenant kept apart reads no other's prefixes, nor others its own."""
    runs = {item["run"]: item["tenant"] for item in _of(records, "run")}
    for item in _of(records, "prefill"):
        reader = runs.get(item["run"])
        yield from (f"{reader} read a prefix of {maker} in {item['run']}" for maker, _ in item["origins"]
                    if maker != reader and (maker in apart or reader in apart))


def weightsMatch(records, apart, extra):
    """No call runs on a prefix made under other weights, nor on a worker that has others loaded."""
    runs = {item["run"]: item for item in _of(records, "run")}
    for item in _of(records, "prefill"):
        run = runs.get(item["run"], {})
        yield from (f"{item['run']} under {run.get('weights')} read a prefix of {made}" for _, made in item["origins"]
                    if made != run.get("weights"))
    yield from (f"{item['run']} asked {item['weights']}, loaded {item['loaded']}" for item in runs.values()
                if item["weights"] != item["loaded"])


def _acknowledged(records):
    return [item for item in _of(records, "change") if item["status"] == 200]


def _weightsIn(item):
    models = item["document"].get("models") or {}
    return next((model["weights"] for model in models.values() if model and "weights" in model), None)


def oldWeightsEnd(records, apart, extra):
    """Fifteen seconds after new weights are acknowledged no call starts on the old ones."""
    named = [(item["atMs"], item["answer"]["version"], _weightsIn(item)) for item in _acknowledged(records) if _weightsIn(item)]
    for item in _of(records, "run"):
        late = [(version, weights) for atMs, version, weights in named if atMs + 15000 < item["atMs"]]
        if late:
            version, weights = max(late)
            since = {each for _, other, each in named if other >= version}
            if item["weights"] in {each for _, other, each in named if other < version} - since:
                yield f"{item['run']} started on {item['weights']} at {item['atMs']}, long after {weights}"


def versionsStand(records, apart, extra):
    """Acknowledged versions are read back and never go back; two changes never share one."""
    versions, newest = {}, 0
    for item in _of(records, "change", "read"):
        if item["kind"] == "change" and item["status"] == 200:
            version, change = item["answer"]["version"], item["answer"]["changeId"]
            if versions.setdefault(version, change) != change:
                yield f"version {version} acknowledged for {versions[version]} and {change}"
            newest = max(newest, version)
        elif item["kind"] == "read" and item["status"] == 200:
            if item["version"] < newest and item["askedMs"] > max(
                    (each["atMs"] for each in _acknowledged(records) if each["answer"]["version"] == newest), default=0):
                yield f"read version {item['version']} at {item['atMs']} after {newest} was acknowledged"


def refusedIsNotObeyed(records, apart, extra):
    """Nothing runs for a tenant that only refused configurations name, nor with a key that was taken away."""
    taken = {name for item in _acknowledged(records) for name in item["document"].get("tenants") or {}}
    refused = {name for item in _of(records, "change") if item["status"] in (409, 422)
               for name in item["document"].get("tenants") or {}} - taken
    yield from (f"{item['run']} of {item['tenant']}" for item in _of(records, "run") if item["tenant"] in refused)
    revoked = {}
    for item in _acknowledged(records):
        for name, tenant in (item["document"].get("tenants") or {}).items():
            if tenant is None or tenant.get("keys") == []:
                revoked[name] = item["atMs"]
            elif "keys" in tenant:
                revoked.pop(name, None)
    yield from (f"{item['run']} of {item['tenant']}, whose key was taken at {revoked[item['tenant']]}"
                for item in _of(records, "run") if item["atMs"] > revoked.get(item["tenant"], 1 << 60) + 2000)


def drainingIsLeft(records, apart, extra):
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
        elif item["kind"] == "run" and since.get(item["who"]) is not None and item["atMs"] > since[item["who"]] + 3000:
            yield f"{item['run']} reached {item['who']} at {item['atMs']}, draining since {since[item['who']]}"


def notCutOff(records, apart, extra):
    """A stream does not break while its worker serves and its caller stays."""
    fell = defaultdict(list)
    for item in _of(records, "up", "kill", "quirk"):
        fell[item["who"] if item["kind"] != "kill" else item["target"]].append(item["atMs"])
    routersFell = [item["atMs"] for item in _of(records, "kill") if item["target"].startswith("router")]
    where = {item["run"]: item["who"] for item in _of(records, "run")}
    for item in _of(records, "return"):
        if item["run"] and not item["whole"] and item["code"] in (140, 142) and not item.get("gaveUp"):
            near = [atMs for atMs in fell[where.get(item["run"])] + routersFell if abs(atMs - item["atMs"]) < 20000]
            if not near:
                yield f"{item['marker']} broke with code {item['code']} while {where.get(item['run'])} served"


def triesAreFew(records, apart, extra):
    """Extra tries stay within one in five of the calls made or begun in ten seconds, plus the allowance, over all models."""
    runs = [(item["atMs"], item["marker"], int(item["run"].rsplit("-", 1)[1])) for item in _of(records, "run") if "-" in item["run"]]
    extras = [atMs for atMs, _, leg in runs if leg > 1]
    seen = sorted([(item["atMs"], item["marker"]) for item in _of(records, "try")]
                  + [(atMs, marker) for atMs, marker, leg in runs if leg == 1])
    times = [atMs for atMs, _ in seen]
    for atMs in extras:
        spent = bisect_right(extras, atMs) - bisect_right(extras, atMs - 10000)
        if spent > extra:
            calls = len({marker for _, marker in seen[bisect_right(times, atMs - 10000):bisect_right(times, atMs)]})
            if spent > 0.2 * calls + extra:
                yield f"{spent} extra tries in the ten seconds before {atMs}, of {calls} calls"


def serviceReturns(records, apart, extra):
    """Twelve seconds after a closing fault, calls are served again on each route that was served before."""
    ends = [item["atMs"] for item in _of(records, "closing")]
    served = [(item["atMs"], item["route"]) for item in _of(records, "return") if item["whole"]]
    last = max((item["atMs"] for item in records), default=0)
    for endMs in ends:
        before = {route for atMs, route in served if endMs - 30000 < atMs <= endMs}
        after = {route for atMs, route in served if endMs < atMs <= endMs + 12000}
        if last > endMs + 12000:
            yield from (f"no call of route {route} served from {endMs} to {endMs + 12000}" for route in sorted(before - after))


RULES = {rule.__name__: rule for rule in (runsOnce, notRunStays, piecesBelong, apartStaysApart, weightsMatch, oldWeightsEnd,
                                          versionsStand, refusedIsNotObeyed, drainingIsLeft, notCutOff, triesAreFew,
                                          serviceReturns)}


class CheckerTest(unittest.TestCase):
    def good(self):
        document = {"models": {"m": {"weights": "w1"}}, "tenants": {"a": {"keys": ["k"]}, "b": {"keys": ["l"]}}}
        lines = [
            (0, "operator", "change", {"status": 200, "document": document, "answer": {"version": 1, "changeId": "c1"}}),
            (10, "platform", "list", {"workers": [{"name": "w", "draining": False}]}),
            (50, "caller", "try", {"marker": "1", "tenant": "a", "route": "check", "idempotency": "k1"}),
            (60, "w", "run", {"run": "r-1", "call": "r", "tenant": "a", "weights": "w1", "loaded": "w1", "marker": "1"}),
            (61, "w", "prefill", {"run": "r-1", "origins": [["a", "w1"]]}),
            (90, "w", "ran", {"run": "r-1", "whole": True}),
            (95, "caller", "return", {"marker": "1", "tenant": "a", "route": "check", "run": "r-1", "whole": True, "code": 0,
                                      "notRun": False, "wrong": "", "status": 200}),
        ]
        return [self.line(*each) for each in lines]

    @staticmethod
    def line(atMs, who, kind, fields):
        return {"atMs": atMs, "who": who, "kind": kind} | fields

    def run_(self, atMs, **fields):
        return self.line(atMs, "w", "run", {"run": "s-1", "call": "s", "tenant": "a", "weights": "w1", "loaded": "w1",
                                            "marker": "1"} | fields)

    def back(self, atMs, **fields):
        return self.line(atMs, "caller", "return", {"marker": "1", "tenant": "a", "route": "check", "run": "", "whole": False,
                                                    "code": 0, "notRun": False, "wrong": "", "status": 503} | fields)

    def ack(self, atMs, status=200, **fields):
        return self.line(atMs, "operator", "change", {"status": status, "document": {}, "answer": {"version": 2, "changeId": "c2"}} | fields)

    def testAGoodRunHasNoBreaches(self):
        self.assertEqual(check(self.good(), {"b"}), {})

    def testEachPlantedBreachIsCaught(self):
        planted = {
            "runsOnce": [self.run_(70)],
            "notRunStays": [self.back(80, notRun=True)],
            "piecesBelong": [self.back(80, wrong="piece of another run")],
            "apartStaysApart": [self.line(70, "w", "prefill", {"run": "r-1", "origins": [["b", "w1"]]})],
            "weightsMatch": [self.line(70, "w", "prefill", {"run": "r-1", "origins": [["a", "w0"]]})],
            "oldWeightsEnd": [self.ack(100, document={"models": {"m": {"weights": "w2"}}}), self.run_(15200, marker="9")],
            "versionsStand": [self.ack(100), self.line(200, "operator", "read", {"status": 200, "version": 1, "askedMs": 150})],
            "refusedIsNotObeyed": [self.ack(100, 409, document={"tenants": {"z": {}}}), self.run_(200, tenant="z", marker="9")],
            "drainingIsLeft": [self.line(100, "platform", "list", {"workers": [{"name": "w", "draining": True}]}),
                               self.run_(3200, marker="9")],
            "notCutOff": [self.back(200, run="r-1", code=140)],
            "triesAreFew": [self.run_(70 + n, run=f"x{n}-2", marker=f"m{n}") for n in range(4)],
            "serviceReturns": [self.line(100, "operator", "closing", {}), self.back(12200)],
        }
        self.assertEqual(set(planted), set(RULES))
        for name, lines in planted.items():
            records = sorted([*self.good(), *lines], key=lambda item: item["atMs"])
            self.assertIn(name, check(records, {"b"}), name)

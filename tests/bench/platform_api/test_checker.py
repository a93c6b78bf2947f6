"""Tests of the checker of the platform's rules: a good day has no breach, and each planted one is caught."""

import copy
import unittest

from swiftdeck.bench.platform_api.checker import RULES, check
from swiftdeck.bench.platform_api.rules.records import LINK, PROCESS, Bounds

DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "r1",
            "hostname": "h",
            "path-start": "/once/",
            "route-type": "unsafe",
            "backend": "app",
            "tries": 2,
        },
        {
            "name": "r2",
            "hostname": "h",
            "path-start": "/safe/",
            "route-type": "safe",
            "backend": "app",
            "tries": 2,
        },
        {
            "name": "r3",
            "hostname": "h",
            "path-start": "/lm/",
            "route-type": "streaming",
            "backend": "lm",
            "resumable": False,
        },
        {
            "name": "r4",
            "hostname": "h",
            "path-start": "/up/",
            "route-type": "streaming",
            "backend": "lm",
            "resumable": True,
        },
    ],
    "backends": [{"name": "app"}, {"name": "lm"}],
    "customers": [
        {"name": "t", "api-keys": ["k"]},
        {"name": "u", "api-keys": ["l"], "isolated": True},
    ],
}


def line(at_ms, kind, **fields):
    """One record."""
    return {"atMs": at_ms, "who": "x", "kind": kind} | fields


def asked(at_ms, name, target="/once/1", key="k", after=0):
    """A try."""
    return line(
        at_ms,
        "try",
        id=name,
        root=name,
        host="h",
        target=target,
        key=key,
        method="POST",
        body="b",
        router="router1",
        after=after,
        mode="streaming" if target[1] in "lu" else "safe",
        resumable=False,
    )


def ran(
    at_ms,
    name,
    run,
    target="/once/1",
    service="app",
    version=0,
    tenant="t",
    after="",
    worker="w",
    model="",
):
    """The lines of a run."""
    return [
        line(at_ms, "arrive", worker=worker, service=service, id=name),
        line(
            at_ms,
            "run",
            worker=worker,
            service=service,
            id=name,
            run=run,
            tenant=tenant,
            version=version,
            model=model,
            method="POST",
            target=target,
            body="b",
            keyed=False,
            after=after,
        ),
        line(at_ms + 9, "ran", worker=worker, id=name, run=run, whole=True),
    ]


def result(
    at_ms, name, status=200, seal="", complete=True, own=None, body="", mode="safe", events=()
):
    """What came back."""
    return line(
        at_ms,
        "result",
        id=name,
        status=status,
        seal=seal,
        complete=complete,
        ownId=name if own is None else own,
        body=body,
        mode=mode,
        events=[list(each) for each in events],
        rest=0,
    )


def answer(at_ms, name, run, seal, body="", events=0, status=200):
    """What a worker sends."""
    return line(
        at_ms, "answer", id=name, run=run, seal=seal, status=status, body=body, events=events
    )


def good():
    """A day on which nothing went wrong."""
    second = copy.deepcopy(DOCUMENT) | {"version": 2}
    pieces = [(number, "c", "w#3" if number < 3 else "w#4") for number in (1, 2, 3, 4)]
    return [
        line(0, "sent", version=1, base=0, document=DOCUMENT, bad=False),
        line(5, "told", version=1, base=0, status=200, bad=False),
        asked(100, "a"),
        *ran(110, "a", "w#1"),
        answer(115, "a", "w#1", "s1", "B"),
        result(120, "a", seal="s1", body="B"),
        asked(200, "b", "/lm/1"),
        *ran(210, "b", "w#2", "/lm/1", "lm", 1, model="m"),
        line(211, "read", run="w#2", new=5, origins=[["t", 1]]),
        answer(212, "b", "w#2", "s2", events=2),
        result(220, "b", seal="s2", mode="streaming", events=[(1, "b", "w#2"), (2, "b", "w#2")]),
        asked(300, "c", "/up/1"),
        *ran(310, "c", "w#3", "/up/1", "lm", 1, model="m"),
        answer(312, "c", "w#3", "s3", events=4),
        *ran(330, "c", "w#4", "/up/1", "lm", 1, after="2", model="m"),
        answer(332, "c", "w#4", "s4", events=4),
        result(350, "c", seal="s3", mode="streaming", events=pieces),
        line(400, "order", worker="w", owner="core1", fence=3, model="m", version=2, status=202),
        line(400, "naming", model="m", version=2),
        line(450, "named", model="m", version=2),
        asked(500, "d"),
        line(505, "arrive", worker="w", service="app", id="d"),
        line(506, "refused", worker="w", id="d", status=503),
        result(510, "d", status=503, seal=""),
        line(600, "sent", version=2, base=1, document=second, bad=False),
        line(605, "told", version=2, base=1, status=200, bad=False),
        line(610, "sent", version=3, base=1, document=DOCUMENT | {"version": 3}, bad=False),
        line(615, "told", version=3, base=1, status=412, bad=False),
        line(700, "shown", worker="v", state="draining"),
        line(9000, "readBack", document=second),
    ]


class CheckerTest(unittest.TestCase):
    def caught(self, rule, *more, change=None, **bounds):
        """The breaches of a good day with some records added or changed."""
        day = [*good(), *more]
        for fits, fields in change or ():
            found = [item for item in day if fits_all(item, fits)]
            self.assertTrue(found, fits)
            for item in found:
                item.update(fields)
        self.assertEqual(list(check(day, Bounds(**bounds))), [rule])

    def test_a_good_day(self):
        self.assertEqual(check(good()), {})

    def test_mixed(self):
        for fits, fields in [
            ({"kind": "result", "id": "a"}, {"seal": ""}),
            ({"kind": "result", "id": "a"}, {"seal": "s2"}),
            ({"kind": "result", "id": "a"}, {"body": "C"}),
            ({"kind": "result", "id": "a"}, {"ownId": "b"}),
            ({"kind": "ran", "id": "a"}, {"whole": False}),
            ({"kind": "answer", "id": "a"}, {"status": 500}),
        ]:
            self.caught("MIXED", change=[(fits, fields)])
        self.caught("MIXED", line(800, "surplus", data="HTTP"))
        for status in (500, 502, 404):
            sealed = result(820, "e", status=status, seal="s5")
            made = answer(815, "e", "w#9", "s5", status=503)
            self.caught("MIXED", asked(800, "e"), *ran(810, "e", "w#9"), made, sealed)
            honest = made | {"status": status}
            day = [*good(), asked(800, "e"), *ran(810, "e", "w#9"), honest, sealed]
            self.assertEqual(check(day), {})

    def test_unasked(self):
        for fields in (
            {"method": "PUT"},
            {"target": "/once/2"},
            {"body": "c"},
            {"keyed": True},
            {"tenant": "u"},
            {"tenant": ""},
        ):
            self.caught("UNASKED", change=[({"kind": "run", "id": "a"}, fields)])
        self.caught("UNASKED", *ran(800, "nobody", "w#9"))

    def test_twice(self):
        self.caught("TWICE", *ran(111, "a", "w#9"), extra_retries=5)
        self.caught("TWICE", *ran(111, "b", "w#9", "/lm/1", "lm"), extra_retries=5)

    def test_refused(self):
        for status in (408, 421, 429, 503):
            self.caught(
                "REFUSED",
                *ran(508, "d", "w#9"),
                change=[({"kind": "result", "id": "d"}, {"status": status})],
            )

    def test_route(self):
        self.caught("ROUTE", change=[({"kind": "run", "id": "a"}, {"service": "lm"})])
        self.caught("ROUTE", asked(800, "e", key="none"), *ran(801, "e", "w#9", tenant=""))
        self.caught("ROUTE", asked(800, "e", target="/no/"), *ran(801, "e", "w#9", target="/no/"))

    def test_stale(self):
        self.caught(
            "STALE", change=[({"kind": "read", "run": "w#2"}, {"origins": [["t", 1], ["t", 2]]})]
        )

    def test_wall(self):
        self.caught("WALL", change=[({"kind": "read", "run": "w#2"}, {"origins": [["u", 1]]})])
        self.caught(
            "WALL",
            change=[
                ({"kind": "try", "id": "b"}, {"key": "l"}),
                ({"kind": "run", "id": "b"}, {"tenant": "u"}),
            ],
        )

    def test_order(self):
        for events in (
            [(1, "b", "w#2")],
            [(2, "b", "w#2"), (1, "b", "w#2")],
            [(1, "b", "w#2")] * 2,
            [(1, "b", "w#2"), (3, "b", "w#2")],
            [(1, "b", "w#2"), (2, "b", "w#9")],
            [(1, "b", "w#2"), (2, "a", "w#2")],
            [],
        ):
            self.caught(
                "ORDER",
                change=[
                    ({"kind": "result", "id": "b"}, {"events": [list(each) for each in events]})
                ],
            )
        self.caught("ORDER", change=[({"kind": "run", "run": "w#4"}, {"after": "1"})])

    def test_budget(self):
        more = [line(500 + at, "arrive", worker="w", service="app", id="a") for at in range(8)]
        self.caught("BUDGET", *more, extra_retries=6)
        self.assertEqual(check([*good(), *more], Bounds(extra_retries=8)), {})

    def test_budget_counts_the_workers_of_a_try(self):
        def spread(count, workers):
            return [
                each
                for number in range(count)
                for each in (
                    asked(800, f"e{number}", "/safe/1"),
                    *(
                        item
                        for at in range(workers)
                        for item in ran(
                            801, f"e{number}", f"w{at}#{number}", "/safe/1", worker=f"w{at}"
                        )
                    ),
                )
            ]

        self.caught("BUDGET", *spread(4, 3), extra_retries=50)
        for count, workers in ((3, 3), (4, 2)):
            day = [*good(), *spread(count, workers)]
            self.assertEqual(check(day, Bounds(extra_retries=50)), {})

    def test_one(self):
        def order(at_ms, owner, fence, status=202):
            return line(
                at_ms,
                "order",
                worker="w",
                owner=owner,
                fence=fence,
                model="m",
                version=2,
                status=status,
            )

        self.caught("ONE", order(4000, "core2", 3))
        self.caught("ONE", order(4000, "core1", 2))
        self.caught("ONE", order(3000, "core2", 4))
        self.caught("ONE", order(4000, "core1", 2, 412), checks_fences=False)
        self.assertEqual(
            check([*good(), order(4000, "core1", 2, 412), order(8000, "core2", 5)]), {}
        )

    def test_version(self):
        late = [asked(8500, "e", "/lm/1"), *ran(8510, "e", "w#9", "/lm/1", "lm", 1, model="m")]
        self.caught("VERSION", *late)
        for kept_by, broken_by in (
            (["router1", 5600, 5600, PROCESS], ["router1", 5400, 5400, PROCESS]),
            (["core1", 2000, 2000, PROCESS], ["router2", 6000, 6000, PROCESS]),
            (["router2", 2000, 2000, LINK], ["router2", 460, 460, PROCESS]),
        ):
            self.assertEqual(check([*good(), *late], Bounds(troubles=[kept_by])), {})
            self.assertEqual(
                check([*good(), *late], Bounds(troubles=[broken_by])).keys(), {"VERSION"}
            )

    def test_version_counts_one_settled_stretch(self):
        late = [asked(14500, "e", "/lm/1"), *ran(14510, "e", "w#9", "/lm/1", "lm", 1, model="m")]
        troubled = Bounds(troubles=[["core1", 5000, 6000, PROCESS]])
        self.assertEqual(check([*good(), *late], troubled), {})
        later = [asked(17500, "e", "/lm/1"), *ran(17510, "e", "w#9", "/lm/1", "lm", 1, model="m")]
        self.assertEqual(check([*good(), *later], troubled).keys(), {"VERSION"})

    def test_version_looks_at_workers_left_behind(self):
        def end(at_ms, *versions):
            workers = [
                {"worker": f"w{at}", "versions": {"m": version}}
                for at, version in enumerate(versions)
            ]
            return line(at_ms, "trafficEnds", workers=workers)

        self.caught("VERSION", end(12460, 1, 1, 2, 2))
        for kept in (
            end(12440, 1, 1, 2, 2),
            end(12460, 1, 2, 2, 2),
            end(12460, 1, 1, *[2] * 20),
        ):
            self.assertEqual(check([*good(), kept]), {})
        troubled = Bounds(troubles=[["core1", 5000, 6000, PROCESS]])
        self.assertEqual(check([*good(), end(16440, 1, 1, 2, 2)], troubled), {})
        self.assertEqual(check([*good(), end(16460, 1, 1, 2, 2)], troubled).keys(), {"VERSION"})
        up = [line(460, "up", worker=f"w{at}", service="lm", versions={"m": 1}) for at in (0, 1)]
        self.assertEqual(check([*good(), *up, end(12455, 1, 1, 2, 2)]), {})

    def test_drain(self):
        late = [asked(3800, "e"), line(3801, "arrive", worker="v", service="app", id="e")]
        self.caught("DRAIN", *late)
        self.assertEqual(
            check([*good(), *late, line(3802, "refused", worker="v", id="e", status=421)]), {}
        )
        self.assertEqual(check([*good(), *late], Bounds(troubles=[["router1", 1000, 1000]])), {})

    def test_config(self):
        moved = copy.deepcopy(DOCUMENT) | {"version": 4}
        moved["routes"][0]["backend"], moved["customers"][1]["api-keys"] = "lm", []
        change = [
            line(700, "sent", version=4, base=2, document=moved, bad=False),
            line(705, "told", version=4, base=2, status=200, bad=False),
            line(9001, "readBack", document=moved),
        ]
        self.caught("CONFIG", *change, asked(3000, "e"), *ran(3001, "e", "w#9"))
        self.caught(
            "CONFIG",
            *change,
            asked(3000, "e", "/safe/1", key="l"),
            *ran(3001, "e", "w#9", "/safe/1", tenant="u"),
        )
        self.assertEqual(check([*good(), *change, asked(2000, "e"), *ran(3001, "e", "w#9")]), {})
        for status in (401, 403, 404):
            self.caught("CONFIG", asked(3000, "e"), result(3010, "e", status=status))
        self.caught("CONFIG", line(800, "told", version=9, base=2, status=200, bad=True))
        self.caught(
            "CONFIG",
            change=[
                ({"kind": "told", "version": 3}, {"status": 200}),
                ({"kind": "readBack"}, {"document": DOCUMENT | {"version": 3}}),
            ],
        )
        for back in (None, DOCUMENT, DOCUMENT | {"version": 2, "routes": []}):
            self.caught("CONFIG", change=[({"kind": "readBack"}, {"document": back})])

    def turned_away(self, count, status, at_ms=1000, **more):
        """So many requests, each ended with a status."""
        return [
            each
            for number in range(count)
            for each in (
                asked(at_ms + number, f"e{number}", **more),
                result(at_ms + number + 5, f"e{number}", status=status),
            )
        ]

    def test_denied(self):
        for status in (301, 400, 405, 409, 431, 499):
            self.caught("DENIED", *self.turned_away(6, status))
            self.assertEqual(check([*good(), *self.turned_away(5, status)]), {})
        for status in (408, 421, 429, 503, 502):
            self.assertEqual(check([*good(), *self.turned_away(6, status)]), {})
        troubled = Bounds(troubles=[["router1", 900, 900]])
        self.assertEqual(check([*good(), *self.turned_away(6, 400)], troubled), {})
        self.assertEqual(check([*good(), *self.turned_away(6, 404, target="/no/")]), {})
        own = [answer(1002 + at, f"e{at}", "w#9", "", status=400) for at in range(6)]
        self.assertEqual(check([*good(), *self.turned_away(6, 400), *own]), {})

    def cut(self, at_ms, end_ms, runs=(), **more):
        """A request that is cut off."""
        got = result(end_ms, "e", status=0, complete=False) | {"sent": True, "end": "cut"}
        return [asked(at_ms, "e"), *runs, got | more]

    def test_lost(self):
        term = line(1000, "planned", machine="router1", what="term")
        hup = line(1000, "planned", machine="router1", what="hup")
        run = ran(1005, "e", "w#9")
        self.caught("LOST", term, *self.cut(990, 1020, run))
        self.caught("LOST", hup, *self.cut(2900, 2920, ran(2905, "e", "w#9")))
        self.caught("LOST", term, *self.cut(990, 1300))
        self.caught("LOST", term, *self.cut(4000, 9000, ran(4100, "e", "w#9")))
        for more in (
            self.cut(990, 1100),
            self.cut(990, 1300, end="silence or deadline"),
            self.cut(990, 1300, sent=False, end="not reached"),
            self.cut(990, 1300, run, complete=True),
            self.cut(10100, 10400, ran(10200, "e", "w#9")),
            self.cut(990, 1020, [each | {"quirk": "cut"} for each in run]),
            self.cut(990, 1020, [each for each in run if each["kind"] != "ran"]),
            self.cut(990, 7900, ran(7700, "e", "w#9")),
            self.cut(4000, 7900, ran(7700, "e", "w#9")),
        ):
            self.assertEqual(check([*good(), term, *more]), {}, more)
        for more in (
            self.cut(990, 7900, ran(7600, "e", "w#9")),
            self.cut(4010, 7900, ran(7700, "e", "w#9")),
            self.cut(990, 6000, ran(5500, "e", "w#9")),
            self.cut(990, 1020, [each for each in run if each["kind"] == "arrive"]),
        ):
            self.caught("LOST", term, *more)
        self.caught("LOST", hup, *self.cut(990, 7900, ran(7700, "e", "w#9")))
        elsewhere = term | {"machine": "router2"}
        self.assertEqual(check([*good(), elsewhere, *self.cut(990, 1020, run)]), {})
        troubled = Bounds(troubles=[["router1", 0, 500]])
        self.assertEqual(check([*good(), term, *self.cut(990, 1020, run)], troubled), {})

    def unanswered(self, count, **more):
        """So many requests from kept connections that a worker has run and that end without an answer."""
        return [
            each
            for at in range(count)
            for each in (
                asked(1000, f"k{at}"),
                *ran(1005, f"k{at}", f"w#{at + 20}"),
                result(1100, f"k{at}", status=0, complete=False)
                | {"sent": True, "end": "cut", "kept": True}
                | more,
            )
        ]

    def test_lost_without_planned_work(self):
        self.caught("LOST", *self.unanswered(4))
        for more in (
            self.unanswered(3),
            self.unanswered(4, kept=False),
            self.unanswered(4, end="silence or deadline"),
            [each for each in self.unanswered(4) if each["kind"] not in ("arrive", "run", "ran")],
            [
                each | ({"quirk": "reset"} if each["kind"] == "run" else {})
                for each in self.unanswered(4)
            ],
        ):
            self.assertEqual(check([*good(), *more]), {}, more)
        troubled = Bounds(troubles=[["router1", 0, 500]])
        self.assertEqual(check([*good(), *self.unanswered(4)], troubled), {})

    def test_recover(self):
        back = line(2000, "back", downMs=900)
        late = self.turned_away(8, 503, at_ms=20000)
        self.caught("RECOVER", back, *late)
        served = [
            *self.turned_away(6, 503, at_ms=20000),
            *(asked(20100 + at, f"f{at}") for at in range(2)),
            *(each for at in range(2) for each in ran(20105 + at, f"f{at}", f"w#{20 + at}")),
            *(answer(20110 + at, f"f{at}", f"w#{20 + at}", f"t{at}", body="B") for at in range(2)),
            *(result(20120 + at, f"f{at}", seal=f"t{at}", body="B") for at in range(2)),
        ]
        self.assertEqual(check([*good(), back, *served]), {})
        soon = self.turned_away(8, 503, at_ms=13000)
        self.assertEqual(check([*good(), back, *soon]), {})

    def leavers(self, count, target="/lm/1", end_ms=1900, whole=False, sent_ms=1010):
        """Clients that leave at 1,200, and what became of their requests."""
        for at in range(count):
            name, run = f"left{at}", f"w#{40 + at}"
            yield asked(1000, name, target)
            yield line(1200, "left", id=name, router="router1")
            yield line(1200, "result", id=name, status=0, end="left", **self.nothing)
            arrived, begun, ended = ran(sent_ms, name, run, target, "lm", model="m")
            yield from (arrived, begun, ended | {"atMs": end_ms, "whole": whole})

    nothing = {
        "sent": True,
        "complete": False,
        "seal": "",
        "events": [],
        "body": "",
        "ownId": "",
        "mode": "streaming",
    }

    def test_gone(self):
        self.caught("GONE", *self.leavers(4))
        self.caught("GONE", *self.leavers(4, end_ms=2000, whole=True, sent_ms=1800))
        unended = [each for each in self.leavers(4) if each["kind"] != "ran"]
        self.caught("GONE", *unended)
        for few in (
            self.leavers(3),
            self.leavers(9, end_ms=1600),
            self.leavers(4, target="/once/1"),
            self.leavers(3, end_ms=2000, sent_ms=1800),
        ):
            found = check([*good(), *few])
            self.assertNotIn("GONE", found)
        troubled = Bounds(troubles=[["router1", 0, 900]])
        self.assertNotIn("GONE", check([*good(), *self.leavers(4)], troubled))

    def test_each_rule_has_a_planted_breach(self):
        self.assertEqual(
            {name.lower() for name in RULES} - {name.removeprefix("test_") for name in dir(self)},
            set(),
        )


def fits_all(item, fields):
    """Whether a record has such fields."""
    return all(item.get(name) == value for name, value in fields.items())

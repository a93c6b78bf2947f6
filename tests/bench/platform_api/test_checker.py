"""Tests of the checker of the platform's rules: records of a fault-free run have no breach, and each planted one is found."""

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


def record(at_ms, kind, **fields):
    """Return one record."""
    return {"atMs": at_ms, "who": "x", "kind": kind} | fields


def attempt(at_ms, request_id, target="/once/1", key="k", after=0):
    """Return the record of an attempt of a client."""
    return record(
        at_ms,
        "try",
        id=request_id,
        root=request_id,
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


def run_records(
    at_ms,
    request_id,
    run_id,
    target="/once/1",
    service="app",
    version=0,
    tenant="t",
    after="",
    worker="w",
    model="",
):
    """Return the records of a run at a worker."""
    return [
        record(at_ms, "arrive", worker=worker, service=service, id=request_id),
        record(
            at_ms,
            "run",
            worker=worker,
            service=service,
            id=request_id,
            run=run_id,
            tenant=tenant,
            version=version,
            model=model,
            method="POST",
            target=target,
            body="b",
            keyed=False,
            after=after,
        ),
        record(at_ms + 9, "ran", worker=worker, id=request_id, run=run_id, whole=True),
    ]


def result(
    at_ms,
    request_id,
    status=200,
    seal="",
    complete=True,
    own_id=None,
    body="",
    mode="safe",
    events=(),
):
    """Return the record of the result that a client got."""
    return record(
        at_ms,
        "result",
        id=request_id,
        status=status,
        seal=seal,
        complete=complete,
        ownId=request_id if own_id is None else own_id,
        body=body,
        mode=mode,
        events=[list(event) for event in events],
        rest=0,
    )


def answer(at_ms, request_id, run_id, seal, body="", events=0, status=200):
    """Return the record of a response that a worker sent."""
    return record(
        at_ms,
        "answer",
        id=request_id,
        run=run_id,
        seal=seal,
        status=status,
        body=body,
        events=events,
    )


def clean_records():
    """Return the records of a run without any breach."""
    second_document = copy.deepcopy(DOCUMENT) | {"version": 2}
    events = [(event_id, "c", "w#3" if event_id < 3 else "w#4") for event_id in (1, 2, 3, 4)]
    return [
        record(0, "sent", version=1, base=0, document=DOCUMENT, bad=False),
        record(5, "told", version=1, base=0, status=200, bad=False),
        attempt(100, "a"),
        *run_records(110, "a", "w#1"),
        answer(115, "a", "w#1", "s1", "B"),
        result(120, "a", seal="s1", body="B"),
        attempt(200, "b", "/lm/1"),
        *run_records(210, "b", "w#2", "/lm/1", "lm", 1, model="m"),
        record(211, "read", run="w#2", new=5, origins=[["t", 1]]),
        answer(212, "b", "w#2", "s2", events=2),
        result(220, "b", seal="s2", mode="streaming", events=[(1, "b", "w#2"), (2, "b", "w#2")]),
        attempt(300, "c", "/up/1"),
        *run_records(310, "c", "w#3", "/up/1", "lm", 1, model="m"),
        answer(312, "c", "w#3", "s3", events=4),
        *run_records(330, "c", "w#4", "/up/1", "lm", 1, after="2", model="m"),
        answer(332, "c", "w#4", "s4", events=4),
        result(350, "c", seal="s3", mode="streaming", events=events),
        record(400, "order", worker="w", owner="core1", fence=3, model="m", version=2, status=202),
        record(400, "naming", model="m", version=2),
        record(450, "named", model="m", version=2),
        attempt(500, "d"),
        record(505, "arrive", worker="w", service="app", id="d"),
        record(506, "refused", worker="w", id="d", status=503),
        result(510, "d", status=503, seal=""),
        record(600, "sent", version=2, base=1, document=second_document, bad=False),
        record(605, "told", version=2, base=1, status=200, bad=False),
        record(610, "sent", version=3, base=1, document=DOCUMENT | {"version": 3}, bad=False),
        record(615, "told", version=3, base=1, status=412, bad=False),
        record(700, "shown", worker="v", state="draining"),
        record(9000, "readBack", document=second_document),
    ]


class CheckerTest(unittest.TestCase):
    def assert_only_breach(self, rule, *added, change=None, **bounds):
        """Assert that clean records with some added or changed breach this rule alone."""
        records = [*clean_records(), *added]
        for expected_fields, new_fields in change or ():
            matching = [item for item in records if has_fields(item, expected_fields)]
            self.assertTrue(matching, expected_fields)
            for item in matching:
                item.update(new_fields)
        self.assertEqual(list(check(records, Bounds(**bounds))), [rule])

    def test_clean_records_have_no_breach(self):
        self.assertEqual(check(clean_records()), {})

    def test_mixed(self):
        for expected_fields, new_fields in [
            ({"kind": "result", "id": "a"}, {"seal": ""}),
            ({"kind": "result", "id": "a"}, {"seal": "s2"}),
            ({"kind": "result", "id": "a"}, {"body": "C"}),
            ({"kind": "result", "id": "a"}, {"ownId": "b"}),
            ({"kind": "ran", "id": "a"}, {"whole": False}),
            ({"kind": "answer", "id": "a"}, {"status": 500}),
        ]:
            self.assert_only_breach("MIXED", change=[(expected_fields, new_fields)])
        self.assert_only_breach("MIXED", record(800, "surplus", data="HTTP"))
        for status in (500, 502, 404):
            sealed_result = result(820, "e", status=status, seal="s5")
            worker_answer = answer(815, "e", "w#9", "s5", status=503)
            self.assert_only_breach(
                "MIXED",
                attempt(800, "e"),
                *run_records(810, "e", "w#9"),
                worker_answer,
                sealed_result,
            )
            matching_answer = worker_answer | {"status": status}
            records = [
                *clean_records(),
                attempt(800, "e"),
                *run_records(810, "e", "w#9"),
                matching_answer,
                sealed_result,
            ]
            self.assertEqual(check(records), {})

    def test_unasked(self):
        for fields in (
            {"method": "PUT"},
            {"target": "/once/2"},
            {"body": "c"},
            {"keyed": True},
            {"tenant": "u"},
            {"tenant": ""},
        ):
            self.assert_only_breach("UNASKED", change=[({"kind": "run", "id": "a"}, fields)])
        self.assert_only_breach("UNASKED", *run_records(800, "nobody", "w#9"))

    def test_twice(self):
        self.assert_only_breach("TWICE", *run_records(111, "a", "w#9"), extra_retries=5)
        self.assert_only_breach(
            "TWICE", *run_records(111, "b", "w#9", "/lm/1", "lm"), extra_retries=5
        )

    def test_refused(self):
        for status in (408, 421, 429, 503):
            self.assert_only_breach(
                "REFUSED",
                *run_records(508, "d", "w#9"),
                change=[({"kind": "result", "id": "d"}, {"status": status})],
            )

    def test_route(self):
        self.assert_only_breach("ROUTE", change=[({"kind": "run", "id": "a"}, {"service": "lm"})])
        self.assert_only_breach(
            "ROUTE", attempt(800, "e", key="none"), *run_records(801, "e", "w#9", tenant="")
        )
        self.assert_only_breach(
            "ROUTE", attempt(800, "e", target="/no/"), *run_records(801, "e", "w#9", target="/no/")
        )

    def test_stale(self):
        self.assert_only_breach(
            "STALE", change=[({"kind": "read", "run": "w#2"}, {"origins": [["t", 1], ["t", 2]]})]
        )

    def test_wall(self):
        self.assert_only_breach(
            "WALL", change=[({"kind": "read", "run": "w#2"}, {"origins": [["u", 1]]})]
        )
        self.assert_only_breach(
            "WALL",
            change=[
                ({"kind": "try", "id": "b"}, {"key": "l"}),
                ({"kind": "run", "id": "b"}, {"tenant": "u"}),
            ],
        )

    def test_wall_where_a_tenant_turns(self):
        shares, isolated, gone = [False], [True], []
        for is_breach, *changes in (
            (False, (shares, 100, 110)),
            (True, (isolated, 100, 110)),
            (True, (shares, 100, 110), (isolated, 150, 209)),
            (True, (shares, 100, 110), (gone, 150, 160), (isolated, 170, 209)),
            (True, (isolated, 100, 110), (gone, 150, 160)),
            (True, (isolated, 100, 110), (shares, 215, 220)),
            (True, (isolated, 100, 300)),
            (False, (shares, 100, 110), (isolated, 150, 215)),
            (False, (shares, 100, 110), (isolated, 150, 211)),
            (True, (shares, 100, 110), (isolated, 150, 210)),
            (False, (isolated, 100, 110), (shares, 150, 300)),
            (False, (shares, 100, 110), (gone, 150, 160)),
        ):
            with self.subTest(changes):
                self.assertEqual(bool(self.wall_breaches(changes)), is_breach)

    def wall_breaches(self, changes):
        """Let a run of `t` that begins at 210 ms read a part of `v` at 211 ms, after some changes.

        Each one names tenant `v` once, isolated or not, or not at all, and was sent and acknowledged.
        """
        items = [item for item in clean_records() if item["atMs"] < 600]
        items = [
            item | {"origins": [["v", 1]]} if item["kind"] == "read" else item for item in items
        ]
        for version, (isolation, sent_ms, told_ms) in enumerate(changes, 2):
            tenants = [{"name": "v", "api-keys": ["m"], "isolated": each} for each in isolation]
            customers = DOCUMENT["customers"] + tenants
            document = DOCUMENT | {"version": version, "customers": customers}
            fields = {"version": version, "base": version - 1, "bad": False}
            items.append(record(sent_ms, "sent", document=document, **fields))
            items.append(record(told_ms, "told", status=200, **fields))
        return check(items).get("WALL")

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
            self.assert_only_breach(
                "ORDER",
                change=[
                    ({"kind": "result", "id": "b"}, {"events": [list(each) for each in events]})
                ],
            )
        self.assert_only_breach("ORDER", change=[({"kind": "run", "run": "w#4"}, {"after": "1"})])

    def test_budget(self):
        retries = [
            record(500 + index, "arrive", worker="w", service="app", id="a") for index in range(8)
        ]
        self.assert_only_breach("BUDGET", *retries, extra_retries=6)
        self.assertEqual(check([*clean_records(), *retries], Bounds(extra_retries=8)), {})

    def test_budget_counts_the_workers_of_an_attempt(self):
        def spread_requests(count, worker_count):
            return [
                entry
                for number in range(count)
                for entry in (
                    attempt(800, f"e{number}", "/safe/1"),
                    *(
                        item
                        for index in range(worker_count)
                        for item in run_records(
                            801, f"e{number}", f"w{index}#{number}", "/safe/1", worker=f"w{index}"
                        )
                    ),
                )
            ]

        self.assert_only_breach("BUDGET", *spread_requests(4, 3), extra_retries=50)
        for count, worker_count in ((3, 3), (4, 2)):
            records = [*clean_records(), *spread_requests(count, worker_count)]
            self.assertEqual(check(records, Bounds(extra_retries=50)), {})

    def test_one(self):
        def order(at_ms, owner, fence, status=202):
            return record(
                at_ms,
                "order",
                worker="w",
                owner=owner,
                fence=fence,
                model="m",
                version=2,
                status=status,
            )

        self.assert_only_breach("ONE", order(4000, "core2", 3))
        self.assert_only_breach("ONE", order(4000, "core1", 2))
        self.assert_only_breach("ONE", order(3000, "core2", 4))
        self.assert_only_breach("ONE", order(4000, "core1", 2, 412), checks_fences=False)
        self.assertEqual(
            check([*clean_records(), order(4000, "core1", 2, 412), order(8000, "core2", 5)]), {}
        )

    def test_version(self):
        late = [
            attempt(8500, "e", "/lm/1"),
            *run_records(8510, "e", "w#9", "/lm/1", "lm", 1, model="m"),
        ]
        self.assert_only_breach("VERSION", *late)
        for excusing_fault, unrelated_fault in (
            (["router1", 5600, 5600, PROCESS], ["router1", 5400, 5400, PROCESS]),
            (["core1", 2000, 2000, PROCESS], ["router2", 6000, 6000, PROCESS]),
            (["router2", 2000, 2000, LINK], ["router2", 460, 460, PROCESS]),
        ):
            self.assertEqual(
                check([*clean_records(), *late], Bounds(troubles=[excusing_fault])), {}
            )
            self.assertEqual(
                check([*clean_records(), *late], Bounds(troubles=[unrelated_fault])).keys(),
                {"VERSION"},
            )

    def test_version_counts_one_fault_free_span(self):
        late = [
            attempt(14500, "e", "/lm/1"),
            *run_records(14510, "e", "w#9", "/lm/1", "lm", 1, model="m"),
        ]
        troubled = Bounds(troubles=[["core1", 5000, 6000, PROCESS]])
        self.assertEqual(check([*clean_records(), *late], troubled), {})
        later = [
            attempt(17500, "e", "/lm/1"),
            *run_records(17510, "e", "w#9", "/lm/1", "lm", 1, model="m"),
        ]
        self.assertEqual(check([*clean_records(), *later], troubled).keys(), {"VERSION"})

    def test_version_finds_workers_left_behind(self):
        def traffic_end(at_ms, *versions):
            workers = [
                {"worker": f"w{index}", "versions": {"m": version}}
                for index, version in enumerate(versions)
            ]
            return record(at_ms, "trafficEnds", workers=workers)

        self.assert_only_breach("VERSION", traffic_end(12460, 1, 1, 2, 2))
        for accepted in (
            traffic_end(12440, 1, 1, 2, 2),
            traffic_end(12460, 1, 2, 2, 2),
            traffic_end(12460, 1, 1, *[2] * 20),
        ):
            self.assertEqual(check([*clean_records(), accepted]), {})
        troubled = Bounds(troubles=[["core1", 5000, 6000, PROCESS]])
        self.assertEqual(check([*clean_records(), traffic_end(16440, 1, 1, 2, 2)], troubled), {})
        self.assertEqual(
            check([*clean_records(), traffic_end(16460, 1, 1, 2, 2)], troubled).keys(), {"VERSION"}
        )
        restarts = [
            record(460, "up", worker=f"w{index}", service="lm", versions={"m": 1})
            for index in (0, 1)
        ]
        self.assertEqual(check([*clean_records(), *restarts, traffic_end(12455, 1, 1, 2, 2)]), {})

    def test_drain(self):
        late = [attempt(3800, "e"), record(3801, "arrive", worker="v", service="app", id="e")]
        self.assert_only_breach("DRAIN", *late)
        self.assertEqual(
            check(
                [*clean_records(), *late, record(3802, "refused", worker="v", id="e", status=421)]
            ),
            {},
        )
        self.assertEqual(
            check([*clean_records(), *late], Bounds(troubles=[["router1", 1000, 1000]])), {}
        )

    def test_config(self):
        moved = copy.deepcopy(DOCUMENT) | {"version": 4}
        moved["routes"][0]["backend"], moved["customers"][1]["api-keys"] = "lm", []
        changes = [
            record(700, "sent", version=4, base=2, document=moved, bad=False),
            record(705, "told", version=4, base=2, status=200, bad=False),
            record(9001, "readBack", document=moved),
        ]
        self.assert_only_breach(
            "CONFIG", *changes, attempt(3000, "e"), *run_records(3001, "e", "w#9")
        )
        self.assert_only_breach(
            "CONFIG",
            *changes,
            attempt(3000, "e", "/safe/1", key="l"),
            *run_records(3001, "e", "w#9", "/safe/1", tenant="u"),
        )
        self.assertEqual(
            check([*clean_records(), *changes, attempt(2000, "e"), *run_records(3001, "e", "w#9")]),
            {},
        )
        for status in (401, 403, 404):
            self.assert_only_breach("CONFIG", attempt(3000, "e"), result(3010, "e", status=status))
        self.assert_only_breach(
            "CONFIG", record(800, "told", version=9, base=2, status=200, bad=True)
        )
        self.assert_only_breach(
            "CONFIG",
            change=[
                ({"kind": "told", "version": 3}, {"status": 200}),
                ({"kind": "readBack"}, {"document": DOCUMENT | {"version": 3}}),
            ],
        )
        for document in (None, DOCUMENT, DOCUMENT | {"version": 2, "routes": []}):
            self.assert_only_breach(
                "CONFIG", change=[({"kind": "readBack"}, {"document": document})]
            )

    def denied_requests(self, count, status, at_ms=1000, **more):
        """Return the records of `count` requests, each of which ends with this status."""
        return [
            entry
            for number in range(count)
            for entry in (
                attempt(at_ms + number, f"e{number}", **more),
                result(at_ms + number + 5, f"e{number}", status=status),
            )
        ]

    def test_denied(self):
        for status in (301, 400, 405, 409, 431, 499):
            self.assert_only_breach("DENIED", *self.denied_requests(6, status))
            self.assertEqual(check([*clean_records(), *self.denied_requests(5, status)]), {})
        for status in (408, 421, 429, 503, 502):
            self.assertEqual(check([*clean_records(), *self.denied_requests(6, status)]), {})
        troubled = Bounds(troubles=[["router1", 900, 900]])
        self.assertEqual(check([*clean_records(), *self.denied_requests(6, 400)], troubled), {})
        self.assertEqual(
            check([*clean_records(), *self.denied_requests(6, 404, target="/no/")]), {}
        )
        worker_answers = [
            answer(1002 + index, f"e{index}", "w#9", "", status=400) for index in range(6)
        ]
        self.assertEqual(
            check([*clean_records(), *self.denied_requests(6, 400), *worker_answers]), {}
        )

    def cut_off_request(self, at_ms, end_ms, runs=(), **more):
        """Return the records of a request that is cut off."""
        cut_result = result(end_ms, "e", status=0, complete=False) | {"sent": True, "end": "cut"}
        return [attempt(at_ms, "e"), *runs, cut_result | more]

    def test_lost(self):
        term = record(1000, "planned", machine="router1", what="term")
        hup = record(1000, "planned", machine="router1", what="hup")
        run = run_records(1005, "e", "w#9")
        self.assert_only_breach("LOST", term, *self.cut_off_request(990, 1020, run))
        self.assert_only_breach(
            "LOST", hup, *self.cut_off_request(2900, 2920, run_records(2905, "e", "w#9"))
        )
        self.assert_only_breach("LOST", term, *self.cut_off_request(990, 1300))
        self.assert_only_breach(
            "LOST", term, *self.cut_off_request(4000, 9000, run_records(4100, "e", "w#9"))
        )
        for added in (
            self.cut_off_request(990, 1100),
            self.cut_off_request(990, 1300, end="silence or deadline"),
            self.cut_off_request(990, 1300, sent=False, end="not reached"),
            self.cut_off_request(990, 1300, run, complete=True),
            self.cut_off_request(10100, 10400, run_records(10200, "e", "w#9")),
            self.cut_off_request(990, 1020, [entry | {"quirk": "cut"} for entry in run]),
            self.cut_off_request(990, 1020, [entry for entry in run if entry["kind"] != "ran"]),
            self.cut_off_request(990, 7900, run_records(7700, "e", "w#9")),
            self.cut_off_request(4000, 7900, run_records(7700, "e", "w#9")),
        ):
            self.assertEqual(check([*clean_records(), term, *added]), {}, added)
        for added in (
            self.cut_off_request(990, 7900, run_records(7600, "e", "w#9")),
            self.cut_off_request(4010, 7900, run_records(7700, "e", "w#9")),
            self.cut_off_request(990, 6000, run_records(5500, "e", "w#9")),
            self.cut_off_request(990, 1020, [entry for entry in run if entry["kind"] == "arrive"]),
        ):
            self.assert_only_breach("LOST", term, *added)
        self.assert_only_breach(
            "LOST", hup, *self.cut_off_request(990, 7900, run_records(7700, "e", "w#9"))
        )
        elsewhere = term | {"machine": "router2"}
        self.assertEqual(
            check([*clean_records(), elsewhere, *self.cut_off_request(990, 1020, run)]), {}
        )
        troubled = Bounds(troubles=[["router1", 0, 500]])
        self.assertEqual(
            check([*clean_records(), term, *self.cut_off_request(990, 1020, run)], troubled), {}
        )

    def unanswered_requests(self, count, **more):
        """Return the records of `count` requests on reused connections that a worker ran and that end without an answer."""
        return [
            entry
            for index in range(count)
            for entry in (
                attempt(1000, f"k{index}"),
                *run_records(1005, f"k{index}", f"w#{index + 20}"),
                result(1100, f"k{index}", status=0, complete=False)
                | {"sent": True, "end": "cut", "kept": True}
                | more,
            )
        ]

    def test_lost_without_planned_work(self):
        self.assert_only_breach("LOST", *self.unanswered_requests(4))
        for added in (
            self.unanswered_requests(3),
            self.unanswered_requests(4, kept=False),
            self.unanswered_requests(4, end="silence or deadline"),
            [
                entry
                for entry in self.unanswered_requests(4)
                if entry["kind"] not in ("arrive", "run", "ran")
            ],
            [
                entry | ({"quirk": "reset"} if entry["kind"] == "run" else {})
                for entry in self.unanswered_requests(4)
            ],
        ):
            self.assertEqual(check([*clean_records(), *added]), {}, added)
        troubled = Bounds(troubles=[["router1", 0, 500]])
        self.assertEqual(check([*clean_records(), *self.unanswered_requests(4)], troubled), {})

    def test_recover(self):
        recovery = record(2000, "back", downMs=900)
        late = self.denied_requests(8, 503, at_ms=20000)
        self.assert_only_breach("RECOVER", recovery, *late)
        served = [
            *self.denied_requests(6, 503, at_ms=20000),
            *(attempt(20100 + index, f"f{index}") for index in range(2)),
            *(
                entry
                for index in range(2)
                for entry in run_records(20105 + index, f"f{index}", f"w#{20 + index}")
            ),
            *(
                answer(20110 + index, f"f{index}", f"w#{20 + index}", f"t{index}", body="B")
                for index in range(2)
            ),
            *(result(20120 + index, f"f{index}", seal=f"t{index}", body="B") for index in range(2)),
        ]
        self.assertEqual(check([*clean_records(), recovery, *served]), {})
        early = self.denied_requests(8, 503, at_ms=13000)
        self.assertEqual(check([*clean_records(), recovery, *early]), {})

    def closed_by_client(self, count, target="/lm/1", end_ms=1900, whole=False, sent_ms=1010):
        """Yield the records of `count` requests whose clients close at 1,200 ms, and of their runs."""
        for index in range(count):
            request_id, run_id = f"left{index}", f"w#{40 + index}"
            yield attempt(1000, request_id, target)
            yield record(1200, "left", id=request_id, router="router1")
            yield record(1200, "result", id=request_id, status=0, end="left", **self.empty_result)
            arrival, begin, end = run_records(sent_ms, request_id, run_id, target, "lm", model="m")
            yield from (arrival, begin, end | {"atMs": end_ms, "whole": whole})

    empty_result = {
        "sent": True,
        "complete": False,
        "seal": "",
        "events": [],
        "body": "",
        "ownId": "",
        "mode": "streaming",
    }

    def test_gone(self):
        self.assert_only_breach("GONE", *self.closed_by_client(4))
        self.assert_only_breach(
            "GONE", *self.closed_by_client(4, end_ms=2000, whole=True, sent_ms=1800)
        )
        unended = [entry for entry in self.closed_by_client(4) if entry["kind"] != "ran"]
        self.assert_only_breach("GONE", *unended)
        for accepted in (
            self.closed_by_client(3),
            self.closed_by_client(9, end_ms=1600),
            self.closed_by_client(4, target="/once/1"),
            self.closed_by_client(3, end_ms=2000, sent_ms=1800),
        ):
            breaches = check([*clean_records(), *accepted])
            self.assertNotIn("GONE", breaches)
        troubled = Bounds(troubles=[["router1", 0, 900]])
        self.assertNotIn("GONE", check([*clean_records(), *self.closed_by_client(4)], troubled))

    def test_each_rule_has_a_planted_breach(self):
        self.assertEqual(
            {key.lower() for key in RULES} - {key.removeprefix("test_") for key in dir(self)},
            set(),
        )


def has_fields(item, fields):
    """Return whether a record has these field values."""
    return all(item.get(key) == value for key, value in fields.items())

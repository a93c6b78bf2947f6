"""Tests of `bench/checker.py`."""

import unittest

from swiftdeck.bench.checker import RULES, check


class CheckerTest(unittest.TestCase):
    DOCUMENT = {
        "models": {"m": {"weights": "w1", "cap": 2}},
        "tenants": {"a": {"keys": ["k"]}, "b": {"keys": ["l"]}},
        "routes": {"check": {"model": "m"}},
    }

    def good(self):
        """A day on which nothing went wrong."""
        lines = [
            (
                0,
                "operator",
                "change",
                {
                    "status": 200,
                    "method": "PUT",
                    "document": self.DOCUMENT,
                    "askedMs": 0,
                    "answer": {"version": 1, "changeId": "c1"},
                },
            ),
            (
                10,
                "platform",
                "list",
                {
                    "workers": [
                        {"name": "w", "model": "m", "draining": False},
                        {"name": "v", "model": "m", "draining": False},
                    ]
                },
            ),
            (95_000, "operator", "dayEnds", {}),
            (
                95_500,
                "operator",
                "read",
                {"status": 200, "version": 1, "askedMs": 95_400, "document": self.DOCUMENT},
            ),
        ]
        return [
            *(self.line(*each) for each in lines),
            *self.served(50, "1", "r-1", talk="t", turn=0),
        ]

    def served(self, at_ms, marker, run, **more):
        """The lines of one call that is served whole."""
        call = run.split("-")[0]
        return [
            self.try_(at_ms, marker, **more),
            self.run_(at_ms + 10, run=run, call=call, marker=marker),
            self.line(at_ms + 11, "w", "prefill", {"run": run, "origins": [["a", "w1"]]}),
            self.line(
                at_ms + 40, "w", "ran", {"run": run, "call": call, "marker": marker, "whole": True}
            ),
            self.back(
                at_ms + 45,
                marker,
                run=run,
                call=call,
                whole=True,
                status=200,
                worker="w",
                waitedMs=0,
            ),
        ]

    @staticmethod
    def line(at_ms, who, kind, fields):
        return {"atMs": at_ms, "who": who, "kind": kind} | fields

    def try_(self, at_ms, marker, **fields):
        return self.line(
            at_ms,
            "caller",
            "try",
            {
                "marker": marker,
                "tenant": "a",
                "route": "check",
                "idempotency": f"k{marker}",
                "router": "router1",
                "key": "k",
                "talk": "",
                "turn": 0,
            }
            | fields,
        )

    def run_(self, at_ms, who="w", **fields):
        return self.line(
            at_ms,
            who,
            "run",
            {
                "run": "s-1",
                "call": "s",
                "tenant": "a",
                "weights": "w1",
                "loaded": "w1",
                "marker": "1",
                "route": "check",
            }
            | fields,
        )

    def back(self, at_ms, marker="1", **fields):
        return self.line(
            at_ms,
            "caller",
            "return",
            {
                "marker": marker,
                "tenant": "a",
                "route": "check",
                "run": "",
                "whole": False,
                "code": 0,
                "notRun": False,
                "wrong": "",
                "status": 503,
                "call": "",
            }
            | fields,
        )

    def ack(self, at_ms, status=200, version=2, asked_ms=None, **fields):
        return self.line(
            at_ms,
            "operator",
            "change",
            {
                "status": status,
                "document": {},
                "method": "PATCH",
                "answer": {"version": version, "changeId": f"c{version}"},
                "askedMs": at_ms - 10 if asked_ms is None else asked_ms,
            }
            | fields,
        )

    def read(self, at_ms, **fields):
        return self.line(
            at_ms, "operator", "read", {"status": 200, "version": 1, "askedMs": at_ms - 50} | fields
        )

    def found(self, *lines):
        return check(sorted([*self.good(), *lines], key=lambda item: item["atMs"]), {"b"})

    def test_a_good_run_has_no_breaches(self):
        self.assertEqual(self.found(), {})
        self.assertEqual(self.found(*self.served(1000, "2", "q-1", talk="t", turn=1)), {})

    def test_each_planted_breach_is_caught(self):
        keys = {"tenants": {"a": {"keys": ["other"]}}}
        planted = {
            "runs_once": [
                [self.run_(70)],
                [self.try_(3000, "1"), self.run_(3010, run="z-1", call="z")],
            ],
            "not_run_stays": [[self.back(80, notRun=True)], [self.back(80, call="r", notRun=True)]],
            "pieces_belong": [[self.back(80, wrong="piece of another run")]],
            "apart_stays_apart": [
                [self.line(70, "w", "prefill", {"run": "r-1", "origins": [["b", "w1"]]})]
            ],
            "weights_match": [
                [self.line(70, "w", "prefill", {"run": "r-1", "origins": [["a", "w0"]]})]
            ],
            "old_weights_end": [
                [
                    self.ack(100, document={"models": {"m": {"weights": "w2"}}}),
                    self.run_(15200, marker="9"),
                ],
                [
                    self.ack(100, 409, document={"models": {"m": {"weights": "w2"}}}),
                    self.run_(200, weights="w2"),
                ],
                [
                    self.ack(100, document={"models": {"m": {"weights": "w2"}}}),
                    self.run_(5000, weights="w2"),
                    self.ack(6000, version=3, document={"models": {"m": {"weights": "w1"}}}),
                    self.run_(21_500, weights="w2", marker="9"),
                ],
            ],
            "versions_stand": [
                [self.ack(100), self.read(200)],
                [self.ack(100), self.ack(200, answer={"version": 2, "changeId": "x"})],
            ],
            "read_back_whole": [
                [self.read(300, document={"models": {}})],
                [self.ack(95_200, asked_ms=95_100)],
                [
                    self.ack(100, document={"models": {"m": {"cap": 3}}}),
                    self.read(300, version=2, document=self.DOCUMENT),
                ],
            ],
            "ack_is_quick": [
                [
                    self.line(0, "operator", "quiet", {"untilMs": 9000}),
                    self.ack(4000, asked_ms=1900),
                ],
                [self.line(0, "operator", "quiet", {"untilMs": 9000}), self.ack(2000, 504)],
            ],
            "refused_is_not_obeyed": [
                [
                    self.ack(100, 409, document={"tenants": {"z": {}}}),
                    self.run_(200, tenant="z", marker="9"),
                ],
                [
                    self.ack(100, 422, document={"routes": {"z": {}}}),
                    self.run_(200, route="z", marker="9"),
                ],
                [self.ack(100, document=keys), self.try_(101, "9"), self.run_(110, marker="9")],
                [
                    self.ack(100, document={"routes": {"check": None}}),
                    self.try_(101, "9"),
                    self.run_(110, marker="9"),
                ],
            ],
            "draining_is_left": [
                [
                    self.line(
                        100,
                        "platform",
                        "list",
                        {"workers": [{"name": "w", "model": "m", "draining": True}]},
                    ),
                    self.run_(3200, marker="9"),
                ]
            ],
            "not_cut_off": [
                [self.back(200, run="r-1", code=140)],
                [self.try_(200, "2"), self.back(300, "2", status=-2)],
                [
                    self.line(90, "operator", "kill", {"target": "router2", "id": 1}),
                    self.back(200, run="r-1", code=144),
                ],
            ],
            "later_calls_pass": [
                [
                    *self.served(1000, "2", "q-1", talk="t", turn=1)[:-1],
                    self.back(
                        1100,
                        "2",
                        run="q-1",
                        call="q",
                        whole=True,
                        status=200,
                        worker="w",
                        waitedMs=40,
                    ),
                ],
                [
                    self.try_(1000, "2", talk="t", turn=1),
                    self.back(1100, "2", code=110, notRun=True, retryAfter="2"),
                ],
            ],
            "starts_within_cap": [
                [
                    each
                    for at in range(3)
                    for each in (
                        self.try_(500 + at, f"m{at}"),
                        self.run_(510 + at, run=f"n{at}-1", call=f"n{at}", marker=f"m{at}"),
                    )
                ]
            ],
            "returned_at_once": [
                [self.try_(1000, "2"), self.back(1100, "2", code=111, notRun=True)],
                [
                    self.try_(1000, "2"),
                    self.back(13_000, "2", code=111, notRun=True, retryAfter="2"),
                ],
                [self.back(9000, call="r", code=140)],
            ],
            "tries_are_few": [
                [self.run_(70 + n, run=f"x{n}-2", call=f"x{n}", marker=f"m{n}") for n in range(4)]
            ],
            "service_returns": [[self.line(100, "operator", "closing", {}), self.back(12200)]],
        }
        self.assertEqual(set(planted), set(RULES))
        for name, sets in planted.items():
            for lines in sets:
                self.assertIn(name, self.found(*lines), (name, lines[:2]))

    def test_a_pardon_is_tied_to_the_router_and_the_worker_of_the_run(self):
        def kill(target, **more):
            return self.line(90, "operator", "kill", {"target": target, "id": 7} | more)

        broken = self.back(200, run="r-1", code=140)
        for target, is_pardoned in (
            ("w", True),
            ("v", False),
            ("router1", True),
            ("router2", False),
        ):
            self.assertEqual(
                "not_cut_off" not in self.found(kill(target), broken), is_pardoned, target
            )
        unseen = [self.try_(80, "9"), self.back(200, "9", code=140, sentTo="u")]
        for target, is_pardoned in (("u", True), ("w", False), ("router2", False)):
            self.assertEqual(
                "not_cut_off" not in self.found(kill(target), *unseen), is_pardoned, target
            )
        back = self.line(95, "operator", "back", {"id": 7})
        late = [self.try_(9000, "2"), self.back(9100, "2", status=-2)]
        self.assertIn("not_cut_off", self.found(kill("router1"), back, *late))
        self.assertNotIn("not_cut_off", self.found(kill("router1"), *late))

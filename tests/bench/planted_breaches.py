"""Records that break a rule of the checker, each set added to a good day."""

from tests.bench.day_records import (
    DOCUMENT,
    WORKERS,
    changed,
    listed,
    operated,
    prefilled,
    ran,
    read,
    returned,
    served,
    tried,
)

NEW_WEIGHTS = {"models": {"m": {"weights": "w2"}}}


def _runs_once():
    return [
        [ran(70)],
        [tried(3000, "1"), ran(3010, run="z-1", call="z")],
    ]


def _not_run_stays():
    return [[returned(80, notRun=True)], [returned(80, call="r", notRun=True)]]


def _pieces_belong():
    return [[returned(80, wrong="piece of another run")]]


def _apart_stays_apart():
    isolated, shares = ({"tenants": {"c": {"apart": each}}} for each in (True, False))
    return [
        [prefilled(70, "r-1", "b", "w1")],
        [changed(15, document=isolated), prefilled(70, "r-1", "c", "w1")],
        [
            changed(15, document=isolated),
            changed(200, version=3, asked_ms=150, document=shares),
            prefilled(70, "r-1", "c", "w1"),
        ],
    ]


def _weights_match():
    return [[prefilled(70, "r-1", "a", "w0")]]


def _old_weights_end():
    back = {"models": {"m": {"weights": "w1"}}}
    return [
        [changed(100, document=NEW_WEIGHTS), ran(15200, marker="9")],
        [changed(100, 409, document=NEW_WEIGHTS), ran(200, weights="w2")],
        [
            changed(100, document=NEW_WEIGHTS),
            ran(5000, weights="w2"),
            changed(6000, version=3, document=back),
            ran(21_500, weights="w2", marker="9"),
        ],
    ]


def _versions_stand():
    return [
        [changed(100), read(200)],
        [changed(100), changed(200, answer={"version": 2, "changeId": "x"})],
    ]


def _read_back_whole():
    return [
        [read(300, document={"models": {}})],
        [changed(95_200, asked_ms=95_100)],
        [
            changed(100, document={"models": {"m": {"cap": 3}}}),
            read(300, version=2, document=DOCUMENT),
        ],
    ]


def _ack_is_quick():
    quiet = operated(0, "quiet", untilMs=9000)
    return [[quiet, changed(4000, asked_ms=1900)], [quiet, changed(2000, 504)]]


def _refused_is_not_obeyed():
    keys = {"tenants": {"a": {"keys": ["other"]}}}
    no_route = {"routes": {"check": None}}
    return [
        [changed(100, 409, document={"tenants": {"z": {}}}), ran(200, tenant="z", marker="9")],
        [changed(100, 422, document={"routes": {"z": {}}}), ran(200, route="z", marker="9")],
        [changed(100, document=keys), tried(101, "9"), ran(110, marker="9")],
        [changed(100, document=no_route), tried(101, "9"), ran(110, marker="9")],
    ]


def _draining_is_left():
    return [[listed(100, WORKERS[0] | {"draining": True}), ran(3200, marker="9")]]


def _not_cut_off():
    return [
        [returned(200, run="r-1", code=140)],
        [tried(200, "2"), returned(300, "2", status=-2)],
        [operated(90, "kill", target="router2", id=1), returned(200, run="r-1", code=144)],
    ]


def _later_calls_pass():
    begun = served(1000, "2", "q-1", talk="t", turn=1)[:-1]
    whole = {"run": "q-1", "call": "q", "whole": True, "status": 200, "worker": "w"}
    return [
        [*begun, returned(1100, "2", **whole, waitedMs=40)],
        [
            tried(1000, "2", talk="t", turn=1),
            returned(1100, "2", code=110, notRun=True, retryAfter="2"),
        ],
    ]


def _starts_within_cap():
    tries = [tried(500 + at, f"m{at}") for at in range(3)]
    runs = [ran(510 + at, run=f"n{at}-1", call=f"n{at}", marker=f"m{at}") for at in range(3)]
    return [[*tries, *runs]]


def _returned_at_once():
    refused = {"code": 111, "notRun": True}
    return [
        [tried(1000, "2"), returned(1100, "2", **refused)],
        [tried(1000, "2"), returned(13_000, "2", **refused, retryAfter="2")],
        [returned(9000, call="r", code=140)],
    ]


def _tries_are_few():
    return [[ran(70 + at, run=f"x{at}-2", call=f"x{at}", marker=f"m{at}") for at in range(4)]]


def _service_returns():
    return [[operated(100, "closing"), returned(12200)]]


BREACHES = {
    breaches.__name__.removeprefix("_"): breaches()
    for breaches in (
        _runs_once,
        _not_run_stays,
        _pieces_belong,
        _apart_stays_apart,
        _weights_match,
        _old_weights_end,
        _versions_stand,
        _read_back_whole,
        _ack_is_quick,
        _refused_is_not_obeyed,
        _draining_is_left,
        _not_cut_off,
        _later_calls_pass,
        _starts_within_cap,
        _returned_at_once,
        _tries_are_few,
        _service_returns,
    )
}
"""Sets of records by the rule that each of them breaks."""

"""Records of a day as the stand-ins write them, for tests of the checker."""

DOCUMENT = {
    "models": {"m": {"weights": "w1", "cap": 2}},
    "tenants": {"a": {"keys": ["k"]}, "b": {"keys": ["l"]}},
    "routes": {"check": {"model": "m"}},
}
APART = {"b"}
WORKERS = [
    {"name": "w", "model": "m", "draining": False},
    {"name": "v", "model": "m", "draining": False},
]


def line(at_ms, who, kind, **fields):
    """Return one record."""
    return {"atMs": at_ms, "who": who, "kind": kind} | fields


def tried(at_ms, marker, **fields):
    """Return the record of a caller that tries."""
    usual = {
        "marker": marker,
        "tenant": "a",
        "route": "check",
        "idempotency": f"k{marker}",
        "router": "router1",
        "key": "k",
        "talk": "",
        "turn": 0,
    }
    return line(at_ms, "caller", "try", **usual | fields)


def ran(at_ms, who="w", **fields):
    """Return the record of a worker that begins a run."""
    usual = {
        "run": "s-1",
        "call": "s",
        "tenant": "a",
        "weights": "w1",
        "loaded": "w1",
        "marker": "1",
        "route": "check",
    }
    return line(at_ms, who, "run", **usual | fields)


def returned(at_ms, marker="1", **fields):
    """Return the record of a caller that has its return."""
    usual = {
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
    return line(at_ms, "caller", "return", **usual | fields)


def prefilled(at_ms, run, tenant, weights):
    """Return the record of a worker that reads a prefix which a tenant brought."""
    return line(at_ms, "w", "prefill", run=run, origins=[[tenant, weights]])


def changed(at_ms, status=200, version=2, asked_ms=None, **fields):
    """Return the record of an operator that has the answer to a change."""
    usual = {
        "status": status,
        "document": {},
        "method": "PATCH",
        "answer": {"version": version, "changeId": f"c{version}"},
        "askedMs": at_ms - 10 if asked_ms is None else asked_ms,
    }
    return line(at_ms, "operator", "change", **usual | fields)


def read(at_ms, **fields):
    """Return the record of an operator that read the configuration."""
    usual = {"status": 200, "version": 1, "askedMs": at_ms - 50}
    return line(at_ms, "operator", "read", **usual | fields)


def listed(at_ms, *workers):
    """Return the record of a platform that shows its list."""
    return line(at_ms, "platform", "list", workers=list(workers))


def operated(at_ms, kind, **fields):
    """Return a record of the operator of a run."""
    return line(at_ms, "operator", kind, **fields)


def served(at_ms, marker, run, **fields):
    """Return the records of one call that is served whole; `fields` are those of its try."""
    call = run.split("-")[0]
    return [
        tried(at_ms, marker, **fields),
        ran(at_ms + 10, run=run, call=call, marker=marker),
        prefilled(at_ms + 11, run, "a", "w1"),
        line(at_ms + 40, "w", "ran", run=run, call=call, marker=marker, whole=True),
        returned(
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


def good_day():
    """Return the records of a day on which nothing went wrong."""
    return [
        changed(0, method="PUT", document=DOCUMENT, version=1, asked_ms=0),
        listed(10, *WORKERS),
        operated(95_000, "dayEnds"),
        read(95_500, askedMs=95_400, document=DOCUMENT),
        *served(50, "1", "r-1", talk="t", turn=0),
    ]

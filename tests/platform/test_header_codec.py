"""Tests of what clients and workers say."""

import unittest
from types import SimpleNamespace

from swiftdeck.fault import (
    BAD_API_KEY,
    BAD_REQUEST,
    FAULTS_BY_CODE,
    NO_ROUTE,
    NO_WORKER_CAPACITY,
    RETRY_BUDGET_EXHAUSTED,
    STREAM_BROKEN,
    WEIGHTS_MISMATCH,
    WORKER_LOST,
    WORKER_SILENT,
    is_fault,
)
from swiftdeck.gateway.interfaces import Part, UpstreamRequest, Verdict
from swiftdeck.platform.header_codec import (
    FOREVER_MS,
    ClientHeaderCodec,
    WorkerHeaderCodec,
    parse_parts,
)

SENT = [
    (b"Host", b"ficu95.example"),
    (b"Swiftdeck-Request-Id", b"9c41d07be2a35f68"),
    (b"Swiftdeck-Model", b"daka510000"),
    (b"Swiftdeck-Token-Count", b"1460,80"),
    (b"Swiftdeck-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Swiftdeck-Time-Left-Ms", b"6000"),
    (b"Authorization", b"Bearer 3d3zji9n73hh2b9wu3fe"),
]
ERRAND = UpstreamRequest(
    "i-7f3a91c2", "nowu640", 5300, 1, "3", "3/nowu640", "10.2.64.3:8080", "172.20.0.2:8080", "17"
)
SEALED = [
    (b"Swiftdeck-Request-Id", b"9c41d07be2a35f68"),
    (b"Swiftdeck-Server-Seal", b"3e1b.07"),
    (b"Content-Length", b"2"),
]


def exchange(headers=SENT, method=b"POST", target=b"/lohu930/2f?q=%2F", body=b"{}"):
    """What the door hands over."""
    return SimpleNamespace(raw_headers=list(headers), raw_method=method, target=target, body=body)


def changed(headers, name, value):
    """Headers with one exchanged, or left out where the value is None."""
    return [
        (each, value if each.lower() == name else old)
        for each, old in headers
        if value is not None or each.lower() != name
    ]


class CallersTest(unittest.TestCase):
    def read(self, *args, **more):
        return ClientHeaderCodec().read(exchange(*args, **more))

    def test_a_request_as_the_page_shows_it(self):
        got = self.read()
        self.assertEqual(
            (got.name, got.method, got.target, got.host, got.path, got.key, got.model, got.body),
            (
                "9c41d07be2a35f68",
                b"POST",
                b"/lohu930/2f?q=%2F",
                "ficu95.example",
                "/lohu930/2f",
                "3d3zji9n73hh2b9wu3fe",
                "daka510000",
                b"{}",
            ),
        )
        self.assertEqual(
            got.parts, [Part("5c1e07a2", 800), Part("91bd3f06", 410), Part("e4402b7d", 250)]
        )
        self.assertEqual(
            (got.shared(), got.prompt_tokens, got.time_left_ms, got.last_event),
            (got.parts[:2], 1460, 6000.0, ""),
        )
        self.assertEqual(self.read([*SENT, (b"last-event-id", b"12")]).last_event, "12")

    def test_a_request_without_an_id_is_refused(self):
        for value in (None, b"", b"  "):
            got = self.read(changed(SENT, b"swiftdeck-request-id", value))
            self.assertTrue(is_fault(got) and got.code == BAD_REQUEST.code, value)
        got = self.read([*SENT, (b"swiftdeck-request-id", b"another")])
        self.assertTrue(is_fault(got) and got.code == BAD_REQUEST.code)

    def test_what_cannot_be_read_is_left_out(self):
        for name, value, field, wanted in [
            (b"swiftdeck-time-left-ms", None, "time_left_ms", FOREVER_MS),
            (b"swiftdeck-time-left-ms", b"soon", "time_left_ms", FOREVER_MS),
            (b"swiftdeck-time-left-ms", b"-5", "time_left_ms", FOREVER_MS),
            (b"swiftdeck-time-left-ms", b"nan", "time_left_ms", FOREVER_MS),
            (b"swiftdeck-token-count", b"x", "prompt_tokens", 1460),
            (b"swiftdeck-token-count", None, "prompt_tokens", 1460),
            (b"swiftdeck-prompt-prefix", b",a:,:3,b:x,c:-1, d:7 ,", "parts", [Part("d", 7)]),
            (b"swiftdeck-prompt-prefix", None, "parts", []),
            (b"authorization", b"Basic abc", "key", ""),
            (b"authorization", None, "key", ""),
            (b"authorization", b"bearer  k ", "key", "k"),
            (b"swiftdeck-model", None, "model", ""),
            (b"host", None, "host", ""),
        ]:
            self.assertEqual(
                getattr(self.read(changed(SENT, name, value)), field), wanted, (name, value)
            )
        self.assertEqual(parse_parts("a:b:3"), [Part("a:b", 3)])

    def test_a_refusal_promises_only_what_its_fault_does(self):
        request = self.read()
        for fault in FAULTS_BY_CODE.values():
            status, headers, _ = ClientHeaderCodec().refusal(fault, request)
            if not fault.notRun:
                self.assertNotIn(status, (408, 421, 429), fault)
        for fault, status in (
            (NO_WORKER_CAPACITY, 503),
            (RETRY_BUDGET_EXHAUSTED, 503),
            (BAD_API_KEY, 401),
            (NO_ROUTE, 404),
            (WORKER_LOST, 502),
            (WORKER_SILENT, 504),
            (STREAM_BROKEN, 502),
            (WEIGHTS_MISMATCH, 502),
        ):
            got, headers, body = ClientHeaderCodec().refusal(fault, request)
            named = dict(headers)
            self.assertEqual(
                (got, named["Swiftdeck-Request-Id"], "Retry-After" in named),
                (status, request.name, bool(fault.retry_ms) and status in (429, 503)),
                fault,
            )
            self.assertIn(b'"code":%d' % fault.code, body)
        self.assertEqual(
            dict(ClientHeaderCodec().refusal(NO_WORKER_CAPACITY.with_reason("", 1250), None)[1])[
                "Retry-After"
            ],
            "1.250",
        )


class WorkersTest(unittest.TestCase):
    def head(self, headers=SENT, upstream_request=ERRAND, **more):
        """The headers of an attempt by their names in lower case, each of which is there once."""
        got = WorkerHeaderCodec().head(
            ClientHeaderCodec().read(exchange(headers, **more)), upstream_request
        )
        names = [name.lower() for name, _ in got]
        self.assertEqual(sorted(names), sorted(set(names)))
        return {name.lower(): value for name, value in got}

    def test_an_attempt_as_the_page_shows_it(self):
        self.assertEqual(
            self.head(),
            {
                b"host": b"ficu95.example",
                b"swiftdeck-request-id": b"9c41d07be2a35f68",
                b"swiftdeck-model": b"daka510000",
                b"swiftdeck-token-count": b"1460,80",
                b"swiftdeck-prompt-prefix": b"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                b"swiftdeck-time-left-ms": b"5300",
                b"swiftdeck-expected-worker": b"i-7f3a91c2",
                b"swiftdeck-urgency": b"1",
                b"swiftdeck-tenant": b"nowu640",
                b"swiftdeck-expected-version": b"3",
                b"swiftdeck-cache-salt": b"3/nowu640",
                b"swiftdeck-cache-source": b"10.2.64.3:8080",
                b"swiftdeck-cache-target": b"172.20.0.2:8080",
                b"last-event-id": b"17",
                b"content-length": b"2",
            },
        )

    def test_the_key_is_never_passed_on(self):
        for name in (b"Authorization", b"authorization", b"AUTHORIZATION"):
            got = WorkerHeaderCodec().head(
                ClientHeaderCodec().read(
                    exchange([*SENT[:-1], (name, b"Bearer 3d3zji9n73hh2b9wu3fe")])
                ),
                ERRAND,
            )
            self.assertFalse([each for each in got if b"3d3zji9n73hh2b9wu3fe" in each[1]])
        self.assertNotIn(b"proxy-authorization", self.head([*SENT, (b"Proxy-Authorization", b"x")]))

    def test_what_the_system_sets_is_replaced_whatever_the_client_sent(self):
        names = (
            b"Swiftdeck-Tenant",
            b"Swiftdeck-Urgency",
            b"Swiftdeck-Expected-Worker",
            b"Swiftdeck-Expected-Version",
            b"Swiftdeck-Cache-Salt",
            b"Swiftdeck-Cache-Source",
            b"Swiftdeck-Cache-Target",
        )
        for change in (bytes, bytes.lower, bytes.upper):
            sent = [
                *SENT,
                *((change(name), b"forged") for name in names),
                (change(names[0]), b"twice"),
            ]
            self.assertEqual(self.head(sent), self.head())
            bare = self.head(sent, UpstreamRequest("i-1", "", 10, 5))
            self.assertFalse(b"forged" in bare.values() or b"twice" in bare.values())
            self.assertEqual(
                set(bare) - {name.lower() for name, _ in SENT},
                {b"swiftdeck-expected-worker", b"swiftdeck-urgency", b"content-length"},
            )

    def test_what_concerns_one_connection_is_dropped_and_the_rest_goes_through(self):
        hops = [
            (b"Connection", b"keep-alive"),
            (b"Keep-Alive", b"timeout=5"),
            (b"TE", b"trailers"),
            (b"Trailer", b"x"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Upgrade", b"h2c"),
            (b"Proxy-Connection", b"close"),
            (b"Expect", b"100-continue"),
            (b"Content-Length", b"999"),
        ]
        more = [
            (b"X-Own", b"1"),
            (b"Accept", b"text/event-stream"),
            (b"Content-Type", b"application/json"),
        ]
        self.assertEqual(
            self.head([*SENT, *hops, *more]),
            self.head() | {name.lower(): value for name, value in more},
        )

    def test_a_body_has_its_length_and_a_request_without_one_none(self):
        for method, body, wanted in (
            (b"GET", b"", None),
            (b"POST", b"", b"0"),
            (b"GET", b"abc", b"3"),
            (b"PUT", b"", b"0"),
        ):
            self.assertEqual(
                self.head(method=method, body=body).get(b"content-length"), wanted, method
            )

    def verdict(self, status, headers):
        return WorkerHeaderCodec().verdict(ClientHeaderCodec().read(exchange()), status, headers)

    def test_verdicts(self):
        name, seal = SEALED[:2]
        foreign, not_run = (b"Swiftdeck-Request-Id", b"other"), (b"Swiftdeck-Not-Run", b"1")
        for status, headers, wanted in [
            (200, SEALED, Verdict.ANSWER),
            (204, SEALED, Verdict.ANSWER),
            (200, [name], Verdict.BAD),
            (200, [seal], Verdict.BAD),
            (200, [], Verdict.BAD),
            (200, [foreign, seal], Verdict.FOREIGN),
            (503, [foreign, not_run], Verdict.FOREIGN),
            (421, [foreign], Verdict.FOREIGN),
            (503, [name, not_run], Verdict.NOT_RUN),
            (429, [name, not_run], Verdict.NOT_RUN),
            (200, [*SEALED, not_run], Verdict.BAD),
            (400, [name, not_run], Verdict.NOT_RUN),
            (421, [name, not_run], Verdict.ELSEWHERE),
            (421, [name], Verdict.ELSEWHERE),
            (500, [name], Verdict.FAILURE),
            (504, [name], Verdict.FAILURE),
            (503, [name], Verdict.FAILURE),
            (502, [name], Verdict.FAILURE),
            (404, [name], Verdict.ANSWER),
            (400, [name], Verdict.ANSWER),
            (404, [], Verdict.BAD),
            (301, [], Verdict.BAD),
            *((status, [], Verdict.BAD) for status in (421, 500, 502, 503, 504)),
            *((status, [not_run], Verdict.BAD) for status in (400, 421, 429, 503)),
            (200, [*SEALED, (b"Content-Encoding", b"gzip")], Verdict.BAD),
            (200, [*SEALED, (b"Content-Encoding", b"identity")], Verdict.ANSWER),
            (200, [*SEALED, (b"Transfer-Encoding", b"chunked")], Verdict.BAD),
            (200, [*SEALED, foreign], Verdict.BAD),
            (200, [foreign, *SEALED], Verdict.BAD),
            (200, [*SEALED, (b"Swiftdeck-Server-Seal", b"other")], Verdict.BAD),
            (200, [*SEALED, name], Verdict.ANSWER),
        ]:
            self.assertIs(self.verdict(status, headers), wanted, (status, headers))
            self.assertIs(
                self.verdict(status, [(each.lower(), value) for each, value in headers]),
                wanted,
                (status, headers),
            )

    def test_an_answer_goes_on_with_its_seal_and_a_way_to_tell_its_end(self):
        got = WorkerHeaderCodec().passed_on(
            [*SEALED, (b"Connection", b"close"), (b"Keep-Alive", b"timeout=3"), (b"X-Own", b"1")]
        )
        self.assertEqual(got, [*SEALED, (b"X-Own", b"1")])
        stream = [(b"Transfer-Encoding", b"chunked"), *SEALED[:2]]
        self.assertEqual(
            WorkerHeaderCodec().passed_on(stream), [*SEALED[:2], (b"Transfer-Encoding", b"chunked")]
        )

    def test_versions_and_lives_are_read_where_they_are_told(self):
        workers = WorkerHeaderCodec()
        self.assertEqual(
            [
                workers.version([(b"Swiftdeck-Weight-Versions", value)])
                for value in (b"3", b" 12 ", b"", b"x", b"-1")
            ],
            [3, 12, None, None, None],
        )
        self.assertEqual(
            (
                workers.version([]),
                workers.worker([(b"Swiftdeck-Worker-Id", b"i-2")]),
                workers.worker([]),
            ),
            (None, "i-2", ""),
        )
        events = b"swiftdeck-weight-versions: 4\nid: 7\ndata: swiftdeck-weight-versions:9\n\nswiftdeck-weight-versions:5\r\nid: 8\n\n"
        self.assertEqual(
            [
                workers.versions_in(data)
                for data in (events, b"data: x\n\n", b"swiftdeck-weight-versions:\n\n")
            ],
            [5, None, None],
        )

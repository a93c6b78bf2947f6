"""Tests of the headers of client requests and worker responses."""

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
    MAX_TIME_LEFT_MS,
    ClientHeaderCodec,
    WorkerHeaderCodec,
    parse_parts,
)

REQUEST_HEADERS = [
    (b"Host", b"ficu95.example"),
    (b"Swiftdeck-Request-Id", b"9c41d07be2a35f68"),
    (b"Swiftdeck-Model", b"daka510000"),
    (b"Swiftdeck-Token-Count", b"1460,80"),
    (b"Swiftdeck-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Swiftdeck-Time-Left-Ms", b"6000"),
    (b"Authorization", b"Bearer 3d3zji9n73hh2b9wu3fe"),
]
UPSTREAM_REQUEST = UpstreamRequest(
    "i-7f3a91c2", "nowu640", 5300, 1, "3", "3/nowu640", "10.2.64.3:8080", "172.20.0.2:8080", "17"
)
SEALED_HEADERS = [
    (b"Swiftdeck-Request-Id", b"9c41d07be2a35f68"),
    (b"Swiftdeck-Server-Seal", b"3e1b.07"),
    (b"Content-Length", b"2"),
]


def exchange(headers=REQUEST_HEADERS, method=b"POST", target=b"/lohu930/2f?q=%2F", body=b"{}"):
    """Return a stand-in for the HTTP server's exchange."""
    return SimpleNamespace(raw_headers=list(headers), raw_method=method, target=target, body=body)


def with_header(headers, name, value):
    """Return headers with one value replaced, or left out if the value is None."""
    return [
        (header, value if header.lower() == name else old)
        for header, old in headers
        if value is not None or header.lower() != name
    ]


class ClientHeaderCodecTest(unittest.TestCase):
    def read(self, *args, **more):
        return ClientHeaderCodec().read(exchange(*args, **more))

    def test_a_request_is_parsed(self):
        request = self.read()
        self.assertEqual(
            (
                request.name,
                request.method,
                request.target,
                request.host,
                request.path,
                request.key,
                request.model,
                request.body,
            ),
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
            request.parts, [Part("5c1e07a2", 800), Part("91bd3f06", 410), Part("e4402b7d", 250)]
        )
        self.assertEqual(
            (request.shared(), request.prompt_tokens, request.time_left_ms, request.last_event),
            (request.parts[:2], 1460, 6000.0, ""),
        )
        self.assertEqual(self.read([*REQUEST_HEADERS, (b"last-event-id", b"12")]).last_event, "12")

    def test_a_request_without_an_id_is_refused(self):
        for value in (None, b"", b"  "):
            result = self.read(with_header(REQUEST_HEADERS, b"swiftdeck-request-id", value))
            self.assertTrue(is_fault(result) and result.code == BAD_REQUEST.code, value)
        result = self.read([*REQUEST_HEADERS, (b"swiftdeck-request-id", b"another")])
        self.assertTrue(is_fault(result) and result.code == BAD_REQUEST.code)

    def test_malformed_headers_get_defaults(self):
        for name, value, field, wanted in [
            (b"swiftdeck-time-left-ms", None, "time_left_ms", MAX_TIME_LEFT_MS),
            (b"swiftdeck-time-left-ms", b"soon", "time_left_ms", MAX_TIME_LEFT_MS),
            (b"swiftdeck-time-left-ms", b"-5", "time_left_ms", MAX_TIME_LEFT_MS),
            (b"swiftdeck-time-left-ms", b"nan", "time_left_ms", MAX_TIME_LEFT_MS),
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
                getattr(self.read(with_header(REQUEST_HEADERS, name, value)), field),
                wanted,
                (name, value),
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
            actual_status, headers, body = ClientHeaderCodec().refusal(fault, request)
            headers_by_name = dict(headers)
            self.assertEqual(
                (
                    actual_status,
                    headers_by_name["Swiftdeck-Request-Id"],
                    "Retry-After" in headers_by_name,
                ),
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


class WorkerHeaderCodecTest(unittest.TestCase):
    def head(self, headers=REQUEST_HEADERS, upstream_request=UPSTREAM_REQUEST, **more):
        """Return an attempt's headers by lower-case name, checking that none occurs twice."""
        headers_sent = WorkerHeaderCodec().head(
            ClientHeaderCodec().read(exchange(headers, **more)), upstream_request
        )
        names = [name.lower() for name, _ in headers_sent]
        self.assertEqual(sorted(names), sorted(set(names)))
        return {name.lower(): value for name, value in headers_sent}

    def test_the_headers_of_an_attempt(self):
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

    def test_the_api_key_is_never_forwarded(self):
        for name in (b"Authorization", b"authorization", b"AUTHORIZATION"):
            headers = WorkerHeaderCodec().head(
                ClientHeaderCodec().read(
                    exchange([*REQUEST_HEADERS[:-1], (name, b"Bearer 3d3zji9n73hh2b9wu3fe")])
                ),
                UPSTREAM_REQUEST,
            )
            self.assertFalse([header for header in headers if b"3d3zji9n73hh2b9wu3fe" in header[1]])
        self.assertNotIn(
            b"proxy-authorization", self.head([*REQUEST_HEADERS, (b"Proxy-Authorization", b"x")])
        )

    def test_headers_that_routers_set_replace_those_of_the_client(self):
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
                *REQUEST_HEADERS,
                *((change(name), b"forged") for name in names),
                (change(names[0]), b"twice"),
            ]
            self.assertEqual(self.head(sent), self.head())
            bare = self.head(sent, UpstreamRequest("i-1", "", 10, 5))
            self.assertFalse(b"forged" in bare.values() or b"twice" in bare.values())
            self.assertEqual(
                set(bare) - {name.lower() for name, _ in REQUEST_HEADERS},
                {b"swiftdeck-expected-worker", b"swiftdeck-urgency", b"content-length"},
            )

    def test_hop_by_hop_headers_are_dropped_and_others_forwarded(self):
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
            self.head([*REQUEST_HEADERS, *hops, *more]),
            self.head() | {name.lower(): value for name, value in more},
        )

    def test_the_content_length_of_requests_with_and_without_a_body(self):
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
        name, seal = SEALED_HEADERS[:2]
        foreign, not_run = (b"Swiftdeck-Request-Id", b"other"), (b"Swiftdeck-Not-Run", b"1")
        for status, headers, wanted in [
            (200, SEALED_HEADERS, Verdict.ANSWER),
            (204, SEALED_HEADERS, Verdict.ANSWER),
            (200, [name], Verdict.BAD),
            (200, [seal], Verdict.BAD),
            (200, [], Verdict.BAD),
            (200, [foreign, seal], Verdict.FOREIGN),
            (503, [foreign, not_run], Verdict.FOREIGN),
            (421, [foreign], Verdict.FOREIGN),
            (503, [name, not_run], Verdict.NOT_RUN),
            (429, [name, not_run], Verdict.NOT_RUN),
            (200, [*SEALED_HEADERS, not_run], Verdict.BAD),
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
            (200, [*SEALED_HEADERS, (b"Content-Encoding", b"gzip")], Verdict.BAD),
            (200, [*SEALED_HEADERS, (b"Content-Encoding", b"identity")], Verdict.ANSWER),
            (200, [*SEALED_HEADERS, (b"Transfer-Encoding", b"chunked")], Verdict.BAD),
            (200, [*SEALED_HEADERS, foreign], Verdict.BAD),
            (200, [foreign, *SEALED_HEADERS], Verdict.BAD),
            (200, [*SEALED_HEADERS, (b"Swiftdeck-Server-Seal", b"other")], Verdict.BAD),
            (200, [*SEALED_HEADERS, name], Verdict.ANSWER),
        ]:
            self.assertIs(self.verdict(status, headers), wanted, (status, headers))
            self.assertIs(
                self.verdict(status, [(header.lower(), value) for header, value in headers]),
                wanted,
                (status, headers),
            )

    def test_a_forwarded_response_keeps_its_seal_and_is_framed(self):
        forwarded = WorkerHeaderCodec().passed_on(
            [
                *SEALED_HEADERS,
                (b"Connection", b"close"),
                (b"Keep-Alive", b"timeout=3"),
                (b"X-Own", b"1"),
            ]
        )
        self.assertEqual(forwarded, [*SEALED_HEADERS, (b"X-Own", b"1")])
        stream = [(b"Transfer-Encoding", b"chunked"), *SEALED_HEADERS[:2]]
        self.assertEqual(
            WorkerHeaderCodec().passed_on(stream),
            [*SEALED_HEADERS[:2], (b"Transfer-Encoding", b"chunked")],
        )

    def test_versions_and_worker_ids_are_parsed(self):
        codec = WorkerHeaderCodec()
        self.assertEqual(
            [
                codec.version([(b"Swiftdeck-Weight-Versions", value)])
                for value in (b"3", b" 12 ", b"", b"x", b"-1")
            ],
            [3, 12, None, None, None],
        )
        self.assertEqual(
            (
                codec.version([]),
                codec.worker([(b"Swiftdeck-Worker-Id", b"i-2")]),
                codec.worker([]),
            ),
            (None, "i-2", ""),
        )
        events = b"swiftdeck-weight-versions: 4\nid: 7\ndata: swiftdeck-weight-versions:9\n\nswiftdeck-weight-versions:5\r\nid: 8\n\n"
        self.assertEqual(
            [
                codec.versions_in(data)
                for data in (events, b"data: x\n\n", b"swiftdeck-weight-versions:\n\n")
            ],
            [5, None, None],
        )

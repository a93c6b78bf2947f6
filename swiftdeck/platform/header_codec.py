"""Reads and writes the platform's HTTP headers of client requests and worker responses."""

import msgspec

from swiftdeck.fault import BAD_REQUEST
from swiftdeck.gateway.interfaces import PROMISES, Part, Request, UpstreamRequest, Verdict

REQUEST_ID, SERVER_SEAL, TIME_LEFT_MS = (
    b"swiftdeck-request-id",
    b"swiftdeck-server-seal",
    b"swiftdeck-time-left-ms",
)
MODEL, TOKEN_COUNT, PROMPT_PREFIX = (
    b"swiftdeck-model",
    b"swiftdeck-token-count",
    b"swiftdeck-prompt-prefix",
)
EXPECTED_WORKER, EXPECTED_VERSION = b"Swiftdeck-Expected-Worker", b"Swiftdeck-Expected-Version"
TENANT, URGENCY, CACHE_SALT = b"Swiftdeck-Tenant", b"Swiftdeck-Urgency", b"Swiftdeck-Cache-Salt"
CACHE_SOURCE, CACHE_TARGET, LAST_EVENT_ID = (
    b"Swiftdeck-Cache-Source",
    b"Swiftdeck-Cache-Target",
    b"Last-Event-Id",
)
NOT_RUN, WORKER_ID, WEIGHT_VERSIONS = (
    b"swiftdeck-not-run",
    b"swiftdeck-worker-id",
    b"swiftdeck-weight-versions",
)
AUTHORIZATION, HOST, RETRY_AFTER = b"authorization", b"host", "Retry-After"
CONTENT_LENGTH, TRANSFER_ENCODING, CONTENT_ENCODING = (
    b"content-length",
    b"transfer-encoding",
    b"content-encoding",
)
MISDIRECTED_STATUS = 421
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"proxy-authenticate",
    b"proxy-authorization",
}
SET_BY_ROUTER = {
    name.lower()
    for name in (
        EXPECTED_WORKER,
        EXPECTED_VERSION,
        TENANT,
        URGENCY,
        CACHE_SALT,
        CACHE_SOURCE,
        CACHE_TARGET,
        TIME_LEFT_MS,
        LAST_EVENT_ID,
    )
}
NOT_FORWARDED = HOP_BY_HOP | SET_BY_ROUTER | {AUTHORIZATION, b"content-length", b"expect"}
MAX_TIME_LEFT_MS = 3600000.0


def _header_text(headers, name):
    return headers.get(name, b"").decode("latin-1").strip()


def _parse_number(text, default):
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < MAX_TIME_LEFT_MS else default


def _connection_headers(headers):
    """Return the lower-case names that a Connection header lists.

    The request id, the seal and the content length are left out, so that listing them doesn't drop
    them from a forwarded message.
    """
    connection_values = [value for name, value in headers if name.lower() == b"connection"]
    return {token.strip().lower() for value in connection_values for token in value.split(b",")} - {
        REQUEST_ID,
        SERVER_SEAL,
        b"content-length",
    }


def _is_ambiguous(headers):
    """Return whether headers hold several different request ids or several different seals."""
    ids_and_seals = {
        (name.lower(), value.strip())
        for name, value in headers
        if name.lower() in (REQUEST_ID, SERVER_SEAL)
    }
    return len(ids_and_seals) > len({name for name, _ in ids_and_seals})


def _has_content_encoding(headers):
    return _header_text(headers, CONTENT_ENCODING).lower() not in ("", "identity")


def parse_parts(text: str) -> list[Part]:
    """Parse comma-separated ID:TOKENS pairs; malformed pairs are left out."""
    pairs = (pair.strip().rpartition(":") for pair in text.split(",") if pair.strip())
    return [Part(name, int(tokens)) for name, _, tokens in pairs if name and tokens.isdecimal()]


class ClientHeaderCodec:
    """Reads client requests and writes refusals."""

    def read(self, exchange):
        """Return the Request of an exchange, or a fault.

        It is a fault to have no request id, or several different ids or seals. Other headers that
        are missing or malformed get defaults.
        """
        headers = {name.lower(): value for name, value in exchange.raw_headers}
        name = _header_text(headers, REQUEST_ID)
        if not name:
            return BAD_REQUEST.with_reason("request without an id")
        if len(headers) < len(exchange.raw_headers) and _is_ambiguous(exchange.raw_headers):
            return BAD_REQUEST.with_reason("request with several ids")
        scheme, _, key = _header_text(headers, AUTHORIZATION).partition(" ")
        parts, tokens = (
            parse_parts(_header_text(headers, PROMPT_PREFIX)),
            _header_text(headers, TOKEN_COUNT).partition(",")[0],
        )
        host, target = _header_text(headers, HOST), exchange.target
        return Request(
            name,
            exchange.raw_method,
            target,
            host,
            target.partition(b"?")[0].decode("latin-1"),
            exchange.raw_headers,
            exchange.body,
            key.strip() if scheme.lower() == "bearer" else "",
            _header_text(headers, MODEL),
            parts,
            int(_parse_number(tokens, sum(part.tokens for part in parts))),
            _parse_number(_header_text(headers, TIME_LEFT_MS), MAX_TIME_LEFT_MS),
            _header_text(headers, LAST_EVENT_ID.lower()),
        )

    def refusal(self, fault, request):
        """Return status, headers and body of a router's own response.

        Clients get 502 for statuses 409 and 422. `Retry-After` goes only with 429 and 503.
        """
        status = fault.status if fault.status not in (409, 422) else 502
        headers = [("Content-Type", "application/json")]
        headers += [("Swiftdeck-Request-Id", request.name)] if request is not None else []
        headers += (
            [(RETRY_AFTER, f"{fault.retry_ms / 1000:.3f}")]
            if fault.retry_ms and status in (429, 503)
            else []
        )
        return status, headers, msgspec.json.encode(fault.as_body())


class WorkerHeaderCodec:
    """Writes request headers for workers and reads the headers of their responses."""

    def head(self, request: Request, upstream_request: UpstreamRequest) -> list:
        """Return the headers of an attempt.

        These are the client's headers without the hop-by-hop ones, and those that routers set.
        """
        dropped = NOT_FORWARDED | _connection_headers(request.headers)
        headers = [(name, value) for name, value in request.headers if name.lower() not in dropped]
        headers += [
            (TIME_LEFT_MS, b"%d" % upstream_request.time_left_ms),
            (EXPECTED_WORKER, upstream_request.worker.encode()),
            (URGENCY, b"%d" % upstream_request.urgency),
        ]
        optional_headers = (
            (TENANT, upstream_request.tenant),
            (EXPECTED_VERSION, upstream_request.version),
            (CACHE_SALT, upstream_request.salt),
            (CACHE_SOURCE, upstream_request.source),
            (CACHE_TARGET, upstream_request.target),
            (LAST_EVENT_ID, upstream_request.last_event),
        )
        headers += [(name, value.encode("latin-1")) for name, value in optional_headers if value]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return headers

    def verdict(self, request: Request, status: int, headers: list) -> Verdict:
        """Classify the head of a response.

        A response without the request's own id says nothing about the request.
        """
        headers_by_name = {name.lower(): value for name, value in headers}
        if len(headers_by_name) < len(headers) and _is_ambiguous(headers):
            return Verdict.BAD
        if (
            REQUEST_ID not in headers_by_name
            or CONTENT_LENGTH in headers_by_name
            and TRANSFER_ENCODING in headers_by_name
        ):
            return Verdict.BAD
        if _header_text(headers_by_name, REQUEST_ID) != request.name:
            return Verdict.FOREIGN
        if 200 <= status < 300:
            is_valid = (
                headers_by_name.get(SERVER_SEAL)
                and NOT_RUN not in headers_by_name
                and not _has_content_encoding(headers_by_name)
            )
            return Verdict.ANSWER if is_valid else Verdict.BAD
        if status == MISDIRECTED_STATUS:
            return Verdict.ELSEWHERE
        if NOT_RUN in headers_by_name:
            return Verdict.NOT_RUN
        return Verdict.FAILURE if status >= 500 or status in PROMISES else Verdict.ANSWER

    def passed_on(self, headers: list) -> list:
        """Return the headers of a response that go to the client."""
        dropped = HOP_BY_HOP | _connection_headers(headers)
        forwarded = [(name, value) for name, value in headers if name.lower() not in dropped]
        has_length = any(name.lower() == b"content-length" for name, _ in forwarded)
        return forwarded if has_length else [*forwarded, (b"Transfer-Encoding", b"chunked")]

    def version(self, headers: list) -> int | None:
        """Return the version of the weights that produced a response, or None."""
        value = next(
            (value for name, value in headers if name.lower() == WEIGHT_VERSIONS), b""
        ).strip()
        return int(value) if value.isdigit() else None

    def worker(self, headers: list) -> str:
        """Return the id of the worker that answered, empty if the response names none."""
        return next(
            (
                value.decode("latin-1").strip()
                for name, value in headers
                if name.lower() == WORKER_ID
            ),
            "",
        )

    def versions_in(self, data: bytes) -> int | None:
        """Return the weights version of the last version line in event data, or None."""
        versions = [
            line.partition(b":")[2].strip()
            for line in data.split(b"\n")
            if line.startswith(WEIGHT_VERSIONS + b":")
        ]
        return int(versions[-1]) if versions and versions[-1].isdigit() else None

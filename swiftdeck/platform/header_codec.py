"""Requests of the platform's clients and answers of its workers, read and written."""

import msgspec

from swiftdeck.fault import BAD_REQUEST
from swiftdeck.gateway.interfaces import PROMISES, Part, Request, UpstreamRequest, Verdict

ID, SEAL, TIME_LEFT = b"swiftdeck-request-id", b"swiftdeck-server-seal", b"swiftdeck-time-left-ms"
MODEL, TOKENS, PREFIX = b"swiftdeck-model", b"swiftdeck-token-count", b"swiftdeck-prompt-prefix"
EXPECTED_WORKER, EXPECTED_VERSION = b"Swiftdeck-Expected-Worker", b"Swiftdeck-Expected-Version"
TENANT, URGENCY, SALT = b"Swiftdeck-Tenant", b"Swiftdeck-Urgency", b"Swiftdeck-Cache-Salt"
SOURCE, TARGET, LAST_EVENT = b"Swiftdeck-Cache-Source", b"Swiftdeck-Cache-Target", b"Last-Event-Id"
NOT_RUN, WORKER, VERSIONS = (
    b"swiftdeck-not-run",
    b"swiftdeck-worker-id",
    b"swiftdeck-weight-versions",
)
AUTHORIZATION, HOST, RETRY_AFTER = b"authorization", b"host", "Retry-After"
LENGTH, CODED, ENCODING = b"content-length", b"transfer-encoding", b"content-encoding"
ELSEWHERE = 421
PER_CONNECTION = {
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
SET_HERE = {
    each.lower()
    for each in (
        EXPECTED_WORKER,
        EXPECTED_VERSION,
        TENANT,
        URGENCY,
        SALT,
        SOURCE,
        TARGET,
        TIME_LEFT,
        LAST_EVENT,
    )
}
KEPT_BACK = PER_CONNECTION | SET_HERE | {AUTHORIZATION, b"content-length", b"expect"}
FOREVER_MS = 3600000.0


def _text(found, name):
    return found.get(name, b"").decode("latin-1").strip()


def _number(text, otherwise):
    try:
        value = float(text)
    except ValueError:
        return otherwise
    return value if 0 <= value < FOREVER_MS else otherwise


def _named(headers):
    """Headers that a Connection header names as its own."""
    told = [value for name, value in headers if name.lower() == b"connection"]
    return {each.strip().lower() for value in told for each in value.split(b",")} - {
        ID,
        SEAL,
        b"content-length",
    }


def _is_ambiguous(headers):
    """Whether an answer names several requests or several seals."""
    named = {(name.lower(), value.strip()) for name, value in headers if name.lower() in (ID, SEAL)}
    return len(named) > len({name for name, _ in named})


def _is_encoded(found):
    return _text(found, ENCODING).lower() not in ("", "identity")


def parse_parts(text: str) -> list[Part]:
    """ID:TOKENS split by commas; what can't be read is left out."""
    pairs = (each.strip().rpartition(":") for each in text.split(",") if each.strip())
    return [Part(name, int(tokens)) for name, _, tokens in pairs if name and tokens.isdecimal()]


class ClientHeaderCodec:
    """Headers of the platform's clients, read and answered."""

    def read(self, exchange):
        """A request, or a fault where it can't be one."""
        found = {name.lower(): value for name, value in exchange.raw_headers}
        name = _text(found, ID)
        if not name:
            return BAD_REQUEST.with_reason("request without an id")
        if len(found) < len(exchange.raw_headers) and _is_ambiguous(exchange.raw_headers):
            return BAD_REQUEST.with_reason("request with several ids")
        scheme, _, key = _text(found, AUTHORIZATION).partition(" ")
        parts, tokens = parse_parts(_text(found, PREFIX)), _text(found, TOKENS).partition(",")[0]
        host, target = _text(found, HOST), exchange.target
        return Request(
            name,
            exchange.raw_method,
            target,
            host,
            target.partition(b"?")[0].decode("latin-1"),
            exchange.raw_headers,
            exchange.body,
            key.strip() if scheme.lower() == "bearer" else "",
            _text(found, MODEL),
            parts,
            int(_number(tokens, sum(part.tokens for part in parts))),
            _number(_text(found, TIME_LEFT), FOREVER_MS),
            _text(found, LAST_EVENT.lower()),
        )

    def refusal(self, fault, request):
        """Status, headers and body of a final answer of our own."""
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
    """How the platform's workers are spoken to, and how their answers read."""

    def head(self, request: Request, upstream_request: UpstreamRequest) -> list:
        """Headers of an attempt: the client's own, less its connection's, and those set here."""
        kept_back = KEPT_BACK | _named(request.headers)
        headers = [
            (name, value) for name, value in request.headers if name.lower() not in kept_back
        ]
        headers += [
            (TIME_LEFT, b"%d" % upstream_request.time_left_ms),
            (EXPECTED_WORKER, upstream_request.worker.encode()),
            (URGENCY, b"%d" % upstream_request.urgency),
        ]
        more = (
            (TENANT, upstream_request.tenant),
            (EXPECTED_VERSION, upstream_request.version),
            (SALT, upstream_request.salt),
            (SOURCE, upstream_request.source),
            (TARGET, upstream_request.target),
            (LAST_EVENT, upstream_request.last_event),
        )
        headers += [(name, value.encode("latin-1")) for name, value in more if value]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return headers

    def verdict(self, request: Request, status: int, headers: list) -> Verdict:
        """What the head of an answer says; without the request's own id, nothing about it."""
        found = {name.lower(): value for name, value in headers}
        if len(found) < len(headers) and _is_ambiguous(headers):
            return Verdict.BAD
        if ID not in found or LENGTH in found and CODED in found:
            return Verdict.BAD
        if _text(found, ID) != request.name:
            return Verdict.FOREIGN
        if 200 <= status < 300:
            is_own = found.get(SEAL) and NOT_RUN not in found and not _is_encoded(found)
            return Verdict.ANSWER if is_own else Verdict.BAD
        if status == ELSEWHERE:
            return Verdict.ELSEWHERE
        if NOT_RUN in found:
            return Verdict.NOT_RUN
        return Verdict.FAILURE if status >= 500 or status in PROMISES else Verdict.ANSWER

    def passed_on(self, headers: list) -> list:
        """Headers of an answer for the client."""
        kept_back = PER_CONNECTION | _named(headers)
        kept = [(name, value) for name, value in headers if name.lower() not in kept_back]
        has_length = any(name.lower() == b"content-length" for name, _ in kept)
        return kept if has_length else [*kept, (b"Transfer-Encoding", b"chunked")]

    def version(self, headers: list) -> int | None:
        """The version of the weights that an answer was made on."""
        value = next((value for name, value in headers if name.lower() == VERSIONS), b"").strip()
        return int(value) if value.isdigit() else None

    def worker(self, headers: list) -> str:
        """The id of the worker that answered, where it says so."""
        return next(
            (value.decode("latin-1").strip() for name, value in headers if name.lower() == WORKER),
            "",
        )

    def versions_in(self, data: bytes) -> int | None:
        """The newest version that events name in a first line of theirs."""
        found = [
            line.partition(b":")[2].strip()
            for line in data.split(b"\n")
            if line.startswith(VERSIONS + b":")
        ]
        return int(found[-1]) if found and found[-1].isdigit() else None

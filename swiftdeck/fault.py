"""Faults: error values with a numeric code and a reason, which functions return."""

import attrs


@attrs.frozen
class Fault:
    """An error that is returned rather than raised; it is false in a condition.

    Attributes:
        code: Number of the kind of fault.
        name: Text of the kind of fault.
        status: HTTP status of an answer with this fault.
        reason: What was wrong in this case.
        retry_ms: After how many ms a client may try again; 0 gives no advice.
        notRun: Whether it is certain that the call was not run by a worker.
    """

    code: int
    name: str
    status: int
    reason: str = ""
    retry_ms: int = 0
    notRun: bool = False

    def with_reason(self, reason: str, retry_ms: int | None = None) -> "Fault":
        """Return the fault with a reason, cut to 500 characters, and a retry delay if given."""
        return attrs.evolve(
            self, reason=str(reason)[:500], retry_ms=self.retry_ms if retry_ms is None else retry_ms
        )

    def as_body(self) -> dict:
        """Return the fault as the fields of a JSON body."""
        body = {"code": self.code, "fault": self.name, "reason": self.reason}
        body |= {"notRun": True} if self.notRun else {}
        return body | ({"retryAfterMs": self.retry_ms} if self.retry_ms else {})

    def __bool__(self):
        return False


def is_fault(value) -> bool:
    """Return whether a value is a fault."""
    return isinstance(value, Fault)


FAULTS_BY_CODE: dict[int, Fault] = {}


def _define_fault(code, name, status, **fields):
    FAULTS_BY_CODE[code] = Fault(code, name, status, **fields)
    return FAULTS_BY_CODE[code]


BAD_REQUEST = _define_fault(100, "bad request", 400, notRun=True)
BAD_API_KEY = _define_fault(101, "unknown or revoked key", 401, notRun=True)
NO_ROUTE = _define_fault(102, "no route matches", 404, notRun=True)
TOO_LARGE = _define_fault(103, "too large", 413, notRun=True)
NOT_FOUND = _define_fault(104, "no such resource", 404, notRun=True)
BAD_METHOD = _define_fault(105, "method not allowed", 405, notRun=True)
SLOW_REQUEST = _define_fault(106, "request came too slowly", 408, notRun=True, retry_ms=1000)
QUEUE_FULL = _define_fault(110, "waiting line is full", 429, notRun=True, retry_ms=2000)
QUEUE_TIMEOUT = _define_fault(111, "no room within the wait bound", 503, notRun=True, retry_ms=2000)
NO_WORKER = _define_fault(112, "no worker serves the model", 503, notRun=True, retry_ms=1000)
NO_LEASE = _define_fault(113, "configuration lease lapsed", 503, notRun=True, retry_ms=2000)
STALE_WORKER_LIST = _define_fault(114, "workers' list is too old", 503, notRun=True, retry_ms=2000)
NO_COORDINATOR = _define_fault(115, "no keeper holds the duty", 503, notRun=True, retry_ms=2000)
RETRY_BUDGET_EXHAUSTED = _define_fault(
    116, "retry budget is spent", 503, notRun=True, retry_ms=5000
)
ROUTER_STOPPING = _define_fault(117, "router is stopping", 503, notRun=True, retry_ms=50)
NO_CLAIM = _define_fault(118, "once-only claim could not be made", 503, notRun=True, retry_ms=2000)
WORKER_UNREACHABLE = _define_fault(
    119, "worker could not be reached", 503, notRun=True, retry_ms=1000
)
TOO_MANY_CALLS = _define_fault(
    120, "router has too many calls open", 503, notRun=True, retry_ms=1000
)
NO_WORKER_CAPACITY = _define_fault(
    121, "no worker has room for the prompt", 503, notRun=True, retry_ms=120
)
WORKER_FULL = _define_fault(122, "worker turned the request away", 503, notRun=True, retry_ms=60)
DEADLINE_PASSED = _define_fault(
    123, "deadline passed before a worker had it", 503, notRun=True, retry_ms=200
)
NO_CONNECTION = _define_fault(
    124, "as many connections to the worker are open as may be", 503, notRun=True, retry_ms=100
)
CLIENT_CLOSED = _define_fault(
    125, "client ended its side of the connection", 503, notRun=True, retry_ms=50
)
NO_BODY_MEMORY = _define_fault(
    126, "no memory is left for the body of the request", 503, notRun=True, retry_ms=1000
)
TOO_MANY_CONNECTIONS = _define_fault(
    127, "too many connections are open", 503, notRun=True, retry_ms=1000
)
CLAIMED = _define_fault(130, "call was already claimed", 409)
WORKER_LOST = _define_fault(140, "worker failed after dispatch, outcome unknown", 502)
WORKER_SILENT = _define_fault(141, "worker sent nothing in time, outcome unknown", 504)
BAD_WORKER_OUTPUT = _define_fault(142, "worker sent pieces that are not of this run", 502)
WORKER_REFUSED = _define_fault(143, "worker refused the run", 502)
HORIZON_REACHED = _define_fault(144, "horizon reached after dispatch, outcome unknown", 504)
CLAIM_UNRELEASED = _define_fault(
    145, "nothing was sent, but the once-only claim may still stand", 503, retry_ms=2000
)
STREAM_BROKEN = _define_fault(146, "stream broke off and could not be taken up elsewhere", 502)
VERSION_CONFLICT = _define_fault(200, "base version is not the newest", 409)
INVALID_CONFIG = _define_fault(201, "configuration is invalid", 422)
OUTCOME_UNDECIDED = _define_fault(202, "outcome is undecided, ask by change id", 504, retry_ms=1000)
UNKNOWN_CHANGE = _define_fault(203, "change id is not known", 404)
CHANGE_ID_REUSED = _define_fault(204, "change id was used for another change", 409)
BAD_OPERATOR_KEY = _define_fault(205, "operator key is wrong", 401)
BASE_VERSION_AHEAD = _define_fault(206, "base version is not there yet", 503, retry_ms=300)
CHANGE_FORGOTTEN = _define_fault(
    207, "change is too old to tell what became of it", 503, retry_ms=1000
)
NOT_HEAD = _define_fault(300, "not the head of the present view", 503, retry_ms=500)
NOT_TAIL = _define_fault(301, "not the tail of the present view", 503, retry_ms=500)
NO_VIEW = _define_fault(302, "no view is in force", 503, retry_ms=1000)
STALE_VIEW = _define_fault(303, "view is not the present one", 409)
DISK_FAILED = _define_fault(304, "disk failed", 503)
DISK_FULL = _define_fault(305, "disk is full", 503)
CORRUPT_RECORD = _define_fault(306, "record is damaged", 500)
MISSING_ENTRIES = _define_fault(307, "entries are missing", 409)
NOT_VOTER = _define_fault(308, "not a voter", 409)
DISK_STALLED = _define_fault(309, "disk stalls", 503)
PEER_UNREACHABLE = _define_fault(400, "neighbour not reached", 503, retry_ms=500)
PEER_TIMEOUT = _define_fault(401, "neighbour gave no return in time", 503, retry_ms=500)
BAD_FRAME = _define_fault(402, "frame is malformed", 400)
UNKNOWN_KIND = _define_fault(403, "message kind is unknown", 400)
HANDLER_FAILED = _define_fault(404, "internal fault", 500)
NO_RESPONSE_MEMORY = _define_fault(405, "no memory is left for the response", 500)
STALE_TERM = _define_fault(500, "term is not the newest", 409)
NOT_COORDINATOR = _define_fault(501, "not the keeper of the model", 409, retry_ms=200)
COORDINATOR_RECOVERING = _define_fault(
    503, "keeper still gathers open conversations", 503, retry_ms=10
)
BAD_SETTING = _define_fault(600, "setting is invalid", 400)
WEIGHTS_MISMATCH = _define_fault(602, "worker has other weights loaded", 409)
BAD_BACKEND_RESPONSE = _define_fault(601, "back end sent something malformed", 502)


def fault_from_code(code: int, reason: str = "", retry_ms: int | None = None) -> Fault:
    """Return the fault of a code from a message; an unknown code gives HANDLER_FAILED."""
    return FAULTS_BY_CODE.get(code, HANDLER_FAILED).with_reason(reason, retry_ms)

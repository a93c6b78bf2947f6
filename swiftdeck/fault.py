"""Faults: sentinel values with a numbered code and a reason."""

import attrs


@attrs.frozen
class Fault:
    """A numbered failure that is returned, not raised; it is false in a condition."""

    code: int
    name: str
    status: int
    reason: str = ""
    retry_ms: int = 0
    notRun: bool = False

    def with_reason(self, reason: str, retry_ms: int | None = None) -> "Fault":
        """The same fault with a reason and, if given, a time to come back after."""
        return attrs.evolve(
            self, reason=str(reason)[:500], retry_ms=self.retry_ms if retry_ms is None else retry_ms
        )

    def as_body(self) -> dict:
        """The outward form, as JSON fields."""
        body = {"code": self.code, "fault": self.name, "reason": self.reason}
        body |= {"notRun": True} if self.notRun else {}
        return body | ({"retryAfterMs": self.retry_ms} if self.retry_ms else {})

    def __bool__(self):
        return False


def is_fault(value) -> bool:
    """Whether a returned value is a fault."""
    return isinstance(value, Fault)


FAULTS_BY_CODE: dict[int, Fault] = {}


def _fault(code, name, status, **more):
    FAULTS_BY_CODE[code] = Fault(code, name, status, **more)
    return FAULTS_BY_CODE[code]


BAD_REQUEST = _fault(100, "bad request", 400, notRun=True)
BAD_API_KEY = _fault(101, "unknown or revoked key", 401, notRun=True)
NO_ROUTE = _fault(102, "no route matches", 404, notRun=True)
TOO_LARGE = _fault(103, "too large", 413, notRun=True)
NOT_FOUND = _fault(104, "no such resource", 404, notRun=True)
BAD_METHOD = _fault(105, "method not allowed", 405, notRun=True)
SLOW_REQUEST = _fault(106, "request came too slowly", 408, notRun=True, retry_ms=1000)
QUEUE_FULL = _fault(110, "waiting line is full", 429, notRun=True, retry_ms=2000)
QUEUE_TIMEOUT = _fault(111, "no room within the wait bound", 503, notRun=True, retry_ms=2000)
NO_WORKER = _fault(112, "no worker serves the model", 503, notRun=True, retry_ms=1000)
NO_LEASE = _fault(113, "configuration lease lapsed", 503, notRun=True, retry_ms=2000)
STALE_WORKER_LIST = _fault(114, "workers' list is too old", 503, notRun=True, retry_ms=2000)
NO_COORDINATOR = _fault(115, "no keeper holds the duty", 503, notRun=True, retry_ms=2000)
RETRY_BUDGET_EXHAUSTED = _fault(116, "retry budget is spent", 503, notRun=True, retry_ms=5000)
ROUTER_STOPPING = _fault(117, "router is stopping", 503, notRun=True, retry_ms=50)
NO_CLAIM = _fault(118, "once-only claim could not be made", 503, notRun=True, retry_ms=2000)
WORKER_UNREACHABLE = _fault(119, "worker could not be reached", 503, notRun=True, retry_ms=1000)
TOO_MANY_CALLS = _fault(120, "router has too many calls open", 503, notRun=True, retry_ms=1000)
NO_WORKER_CAPACITY = _fault(
    121, "no worker has room for the prompt", 503, notRun=True, retry_ms=120
)
WORKER_FULL = _fault(122, "worker turned the request away", 503, notRun=True, retry_ms=60)
DEADLINE_PASSED = _fault(
    123, "deadline passed before a worker had it", 503, notRun=True, retry_ms=200
)
NO_CONNECTION = _fault(
    124, "as many connections to the worker are open as may be", 503, notRun=True, retry_ms=100
)
CLIENT_CLOSED = _fault(
    125, "client ended its side of the connection", 503, notRun=True, retry_ms=50
)
CLAIMED = _fault(130, "call was already claimed", 409)
WORKER_LOST = _fault(140, "worker failed after dispatch, outcome unknown", 502)
WORKER_SILENT = _fault(141, "worker sent nothing in time, outcome unknown", 504)
BAD_WORKER_OUTPUT = _fault(142, "worker sent pieces that are not of this run", 502)
WORKER_REFUSED = _fault(143, "worker refused the run", 502)
HORIZON_REACHED = _fault(144, "horizon reached after dispatch, outcome unknown", 504)
CLAIM_UNRELEASED = _fault(
    145, "nothing was sent, but the once-only claim may still stand", 503, retry_ms=2000
)
STREAM_BROKEN = _fault(146, "stream broke off and could not be taken up elsewhere", 502)
VERSION_CONFLICT = _fault(200, "base version is not the newest", 409)
INVALID_CONFIG = _fault(201, "configuration is invalid", 422)
OUTCOME_UNDECIDED = _fault(202, "outcome is undecided, ask by change id", 504, retry_ms=1000)
UNKNOWN_CHANGE = _fault(203, "change id is not known", 404)
CHANGE_ID_REUSED = _fault(204, "change id was used for another change", 409)
BAD_OPERATOR_KEY = _fault(205, "operator key is wrong", 401)
BASE_VERSION_AHEAD = _fault(206, "base version is not there yet", 503, retry_ms=300)
CHANGE_FORGOTTEN = _fault(207, "change is too old to tell what became of it", 503, retry_ms=1000)
NOT_HEAD = _fault(300, "not the head of the present view", 503, retry_ms=500)
NOT_TAIL = _fault(301, "not the tail of the present view", 503, retry_ms=500)
NO_VIEW = _fault(302, "no view is in force", 503, retry_ms=1000)
STALE_VIEW = _fault(303, "view is not the present one", 409)
DISK_FAILED = _fault(304, "disk failed", 503)
DISK_FULL = _fault(305, "disk is full", 503)
CORRUPT_RECORD = _fault(306, "record is damaged", 500)
MISSING_ENTRIES = _fault(307, "entries are missing", 409)
NOT_VOTER = _fault(308, "not a voter", 409)
DISK_STALLED = _fault(309, "disk stalls", 503)
PEER_UNREACHABLE = _fault(400, "neighbour not reached", 503, retry_ms=500)
PEER_TIMEOUT = _fault(401, "neighbour gave no return in time", 503, retry_ms=500)
BAD_FRAME = _fault(402, "frame is malformed", 400)
UNKNOWN_KIND = _fault(403, "message kind is unknown", 400)
HANDLER_FAILED = _fault(404, "internal fault", 500)
STALE_TERM = _fault(500, "term is not the newest", 409)
NOT_COORDINATOR = _fault(501, "not the keeper of the model", 409, retry_ms=200)
COORDINATOR_RECOVERING = _fault(503, "keeper still gathers open conversations", 503, retry_ms=10)
BAD_SETTING = _fault(600, "setting is invalid", 400)
WEIGHTS_MISMATCH = _fault(602, "worker has other weights loaded", 409)
BAD_BACKEND_RESPONSE = _fault(601, "back end sent something malformed", 502)


def fault_from_code(code: int, reason: str = "", retry_ms: int | None = None) -> Fault:
    """The fault with a code, as read from a message."""
    return FAULTS_BY_CODE.get(code, HANDLER_FAILED).with_reason(reason, retry_ms)

"""Records the estimates and decisions behind a long call for one line of the log."""

import attrs

MAX_CANDIDATES = 3


@attrs.define
class CallTrace:
    """The trace of one long call; attempt fields describe the last attempt.

    Times are in milliseconds since the request was read, -1 for never.
    """

    tokens: int = 0
    shared_tokens: int = 0
    candidates: list[str] = attrs.Factory(list)
    attempts: int = 0
    owners_asked: int = 0
    placed_ms: int = -1
    worker: str = ""
    salt: str = ""
    part: str = ""
    kept_here: int = 0
    kept_elsewhere: int = 0
    source: str = ""
    target: str = ""
    sent_ms: int = -1
    first_event_ms: int = -1
    whole_ms: int = -1
    ended_ms: int = -1

    def record_candidates(self, costs):
        """Record the cheapest workers with the terms of their costs in milliseconds.

        Each one has the form WORKER:TOTAL=BACKLOG+OWN+SHARED+TRANSFER+AFFINITY.
        """
        self.candidates = [_format_cost(cost) for cost in costs[:MAX_CANDIDATES]]

    def fields(self) -> dict:
        """Return the fields of the log line."""
        return attrs.asdict(self)


def _format_cost(cost) -> str:
    terms_ms = (cost.backlog_ms, cost.own_ms, cost.shared_ms, cost.transfer_ms, cost.affinity_ms)
    return f"{cost.worker.name}:{cost.total_ms:.0f}=" + "+".join(
        f"{term_ms:.0f}" for term_ms in terms_ms
    )

"""What was believed and decided about a long call, as one line of the log for whoever asks where its time went."""

import attrs

CANDIDATES_MOST = 3


@attrs.define
class CallTrace:
    """One long call; the attempt that is described is the last one that was made."""

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

    def see_candidates(self, costs):
        """Note the cheapest workers as WORKER:TOTAL=UNREAD+OWN+AGAIN+MOVED+ELSEWHERE, in milliseconds."""
        self.candidates = [_as_text(cost) for cost in costs[:CANDIDATES_MOST]]

    def fields(self) -> dict:
        """The fields of the log line; times are milliseconds since the request was read, -1 for never."""
        return attrs.asdict(self)


def _as_text(cost) -> str:
    terms = (cost.unread, cost.own, cost.again, cost.moved, cost.elsewhere)
    return f"{cost.worker.name}:{cost.total:.0f}=" + "+".join(f"{term:.0f}" for term in terms)

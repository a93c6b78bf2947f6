"""The admission book of one worker: its open conversations, its cap, and its waiting line."""

from collections import deque

import attrs

from swiftdeck.traffic.fair_queue import FairQueue

PROMPTS_REMEMBERED = 4
RETURNS_FOR_SURVIVAL = 5
LOW_SURVIVAL, HIGH_SURVIVAL = 0.8, 0.95


@attrs.frozen
class RunningAttempt:
    """An attempt that a router holds a grant for.

    `router` is the inner address of the router, `granted_s` the clock of the loop in seconds,
    `number` counts the attempts of its call from 1.
    """

    router: str
    granted_s: float
    number: int = 1


@attrs.define(eq=False)
class Conversation:
    """An admitted conversation: a growing prompt, from its first call until it has been idle.

    `lasts` holds the digests of its newest prompts, oldest first. `parts` is the number of parts of
    its longest prompt, `turns` the number of its calls. `running` has the attempts under way by the
    id of their call; `idle_since_s` counts while it is empty. `is_over` says that a call was its
    last one, `is_served` that a byte may have reached a worker.
    """

    name: str
    tenant: str
    group: str
    worker: str
    weights: str
    lasts: deque = attrs.Factory(lambda: deque(maxlen=PROMPTS_REMEMBERED))
    parts: int = 0
    turns: int = 0
    running: dict = attrs.Factory(dict)
    idle_since_s: float = 0.0
    is_over: bool = False
    is_served: bool = False

    def idle_s(self, now_s: float) -> float:
        """Seconds for which nothing has run; below zero while an attempt runs."""
        return -1.0 if self.running else now_s - self.idle_since_s


@attrs.define(eq=False)
class WorkerSlots:
    """Counts open conversations of one worker; only starts look at the cap.

    `returns` counts later calls of conversations since the cap was last adapted, and `hits` those
    of them whose earlier prompt was still in the worker's cache. No start is placed at the worker
    before `shunned_until_s`.
    """

    worker: str
    cap: int
    queue: FairQueue = attrs.Factory(FairQueue)
    open: dict = attrs.Factory(dict)
    hits: int = 0
    returns: int = 0
    shunned_until_s: float = -1.0

    def has_room(self) -> bool:
        """Whether one more conversation may start."""
        return len(self.open) < self.cap

    def entry(self, conversation: Conversation):
        """Enter a conversation; a move may go over the cap, a start may not."""
        self.open[conversation.name] = conversation
        conversation.worker = self.worker

    def leave(self, conversation: Conversation):
        """Take a conversation out."""
        self.open.pop(conversation.name, None)

    def ended(self, now_s: float, idle_ms: float) -> list[Conversation]:
        """Return the conversations that are over: closed by their caller, or idle for long."""
        return [
            conversation
            for conversation in self.open.values()
            if not conversation.running
            and (conversation.is_over or conversation.idle_s(now_s) > idle_ms / 1000)
        ]

    def longest_paused(self, now_s: float, pause_ms: float) -> Conversation | None:
        """Return the conversation to end first when others wait, if one has paused long enough."""
        paused = [
            conversation
            for conversation in self.open.values()
            if conversation.idle_s(now_s) > pause_ms / 1000
        ]
        return min(paused, key=lambda conversation: conversation.idle_since_s, default=None)

    def survival(self) -> float | None:
        """Return the share of returning calls that found their earlier prompt; None if unknown."""
        return self.hits / self.returns if self.returns >= RETURNS_FOR_SURVIVAL else None

    def adapt(self, model):
        """Move the cap by prefix survival, not by how full the cache is.

        A measured share is used up by it: counting begins anew.
        """
        survival = self.survival()
        if survival is not None:
            self.hits = self.returns = 0
        if not model.adapts:
            self.cap = model.cap
        elif survival is not None and survival < LOW_SURVIVAL:
            self.cap = max(model.capLeast, self.cap * 3 // 4)
        elif survival is not None and survival > HIGH_SURVIVAL and len(self.queue):
            self.cap = min(model.cap, self.cap + 1)

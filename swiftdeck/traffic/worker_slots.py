"""The admission slots of one worker: its open conversations, its cap and its queue."""

from collections import deque

import attrs

from swiftdeck.traffic.fair_queue import FairQueue

PROMPTS_REMEMBERED = 4
RETURNS_FOR_SURVIVAL = 5
"""Later calls without which the survival of prefixes is not computed."""
LOW_SURVIVAL, HIGH_SURVIVAL = 0.8, 0.95


@attrs.frozen
class RunningAttempt:
    """An attempt for which a router holds a grant.

    `router` is the router's inner address, `granted_s` the event loop's time in seconds, and
    `number` the number of the attempt within its call, from 1.
    """

    router: str
    granted_s: float
    number: int = 1


@attrs.define(eq=False)
class Conversation:
    """An admitted conversation: calls with a growing prompt, until it ends or idles too long.

    `prompt_digests` has the digests of its newest prompts, oldest first. `parts` is the number of
    parts of its longest prompt, `turns` the number of its calls. `running` has the running attempts
    by the id of their call; `idle_since_s` counts while it is empty. `is_over` is set once a call
    said that it is the last one, `is_served` once a byte may have reached a worker.
    """

    name: str
    tenant: str
    group: str
    worker: str
    weights: str
    prompt_digests: deque = attrs.Factory(lambda: deque(maxlen=PROMPTS_REMEMBERED))
    parts: int = 0
    turns: int = 0
    running: dict = attrs.Factory(dict)
    idle_since_s: float = 0.0
    is_over: bool = False
    is_served: bool = False

    def idle_s(self, now_s: float) -> float:
        """Return for how many seconds no attempt has run; negative while one runs."""
        return -1.0 if self.running else now_s - self.idle_since_s


@attrs.define(eq=False)
class WorkerSlots:
    """The open conversations of one worker; the cap limits only the start of new ones.

    `returns` counts later calls of conversations since the cap was last updated, and `hits` those
    of them whose earlier prompt was still in the worker's cache. Before `shunned_until_s` a
    conversation starts at the worker only if no other can take it.
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
        """Add a conversation; a moved one may exceed the cap, a new one must not."""
        self.open[conversation.name] = conversation
        conversation.worker = self.worker

    def leave(self, conversation: Conversation):
        """Remove a conversation."""
        self.open.pop(conversation.name, None)

    def ended(self, now_s: float, idle_ms: float) -> list[Conversation]:
        """Return the conversations that were ended by their client or idle for over `idle_ms`."""
        return [
            conversation
            for conversation in self.open.values()
            if not conversation.running
            and (conversation.is_over or conversation.idle_s(now_s) > idle_ms / 1000)
        ]

    def longest_paused(self, now_s: float, pause_ms: float) -> Conversation | None:
        """Return the conversation that has been idle longest, if for over `pause_ms`, or None.

        It is closed first when other calls wait.
        """
        paused = [
            conversation
            for conversation in self.open.values()
            if conversation.idle_s(now_s) > pause_ms / 1000
        ]
        return min(paused, key=lambda conversation: conversation.idle_since_s, default=None)

    def survival(self) -> float | None:
        """Return the share of later calls that found their earlier prompt in the worker's cache.

        None while there were fewer than RETURNS_FOR_SURVIVAL such calls.
        """
        return self.hits / self.returns if self.returns >= RETURNS_FOR_SURVIVAL else None

    def update_cap(self, model):
        """Update the cap from the survival of prefixes, not from how full the cache is.

        Counting restarts after each computed share. `model` is the model's configuration.
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

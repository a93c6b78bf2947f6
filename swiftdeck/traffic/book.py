"""The admission book of one worker: its open conversations, its cap, and its waiting line."""

from collections import deque

import attrs

from swiftdeck.traffic.line import Line


@attrs.define(eq=False)
class Conversation:
    """An admitted conversation: a growing prompt, from its first call until it has been idle."""

    name: str
    tenant: str
    group: str
    worker: str
    weights: str
    lasts: deque = attrs.Factory(lambda: deque(maxlen=4))
    parts: int = 0
    turns: int = 0
    running: dict = attrs.Factory(dict)
    idle_since_s: float = 0.0
    is_over: bool = False
    is_served: bool = False


@attrs.define(eq=False)
class Book:
    """Counts open conversations of one worker; only starts look at the cap."""

    worker: str
    cap: int
    line: Line = attrs.Factory(Line)
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

    def ended(self, now_s: float, idleMs: float):
        """Conversations that are over: said to be so, or idle for long."""
        return [
            each
            for each in self.open.values()
            if not each.running and (each.is_over or now_s - each.idle_since_s > idleMs / 1000)
        ]

    def longest_paused(self, now_s: float, pauseMs: float):
        """The conversation to end first when others wait, if one has paused long enough."""
        paused = [
            each
            for each in self.open.values()
            if not each.running and now_s - each.idle_since_s > pauseMs / 1000
        ]
        return min(paused, key=lambda each: each.idle_since_s, default=None)

    def survival(self):
        """The share of returning calls whose earlier prompt was still kept; None if unknown."""
        return self.hits / self.returns if self.returns >= 5 else None

    def adapt(self, model):
        """Move the cap by prefix survival, not by how full the cache is."""
        share, self.hits, self.returns = (
            self.survival(),
            *((0, 0) if self.returns >= 5 else (self.hits, self.returns)),
        )
        if not model.adapts:
            self.cap = model.cap
        elif share is not None and share < 0.8:
            self.cap = max(model.capLeast, self.cap * 3 // 4)
        elif share is not None and share > 0.95 and len(self.line):
            self.cap = min(model.cap, self.cap + 1)

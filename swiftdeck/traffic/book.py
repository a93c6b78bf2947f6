"""The admission book of one worker: its open conversations, its cap, and its waiting line."""

from collections import deque

import attrs

from swiftdeck.traffic.line import Line


@attrs.define(eq=False)
class Conversation:
    """An admitted conversation: a growing prompt, from its first call until it has been idle for long."""

    name: str
    tenant: str
    group: str
    worker: str
    weights: str
    lasts: deque = attrs.Factory(lambda: deque(maxlen=4))
    parts: int = 0
    turns: int = 0
    running: dict = attrs.Factory(dict)
    idleSinceS: float = 0.0
    isOver: bool = False
    isServed: bool = False


@attrs.define(eq=False)
class Book:
    """Counts open conversations of one worker; only starts look at the cap."""

    worker: str
    cap: int
    line: Line = attrs.Factory(Line)
    open: dict = attrs.Factory(dict)
    hits: int = 0
    returns: int = 0
    shunnedUntilS: float = -1.0

    def hasRoom(self) -> bool:
        """Whether one more conversation may start."""
        return len(self.open) < self.cap

    def entry(self, conversation: Conversation):
        """Enter a conversation; a move may go over the cap, a start may not."""
        self.open[conversation.name] = conversation
        conversation.worker = self.worker

    def leave(self, conversation: Conversation):
        """Take a conversation out."""
        self.open.pop(conversation.name, None)

    def ended(self, nowS: float, idleMs: float):
        """Conversations that are over: said to be so, or idle for long."""
        return [
            each
            for each in self.open.values()
            if not each.running and (each.isOver or nowS - each.idleSinceS > idleMs / 1000)
        ]

    def longestPaused(self, nowS: float, pauseMs: float):
        """The conversation to end first when others wait, if one has paused long enough."""
        paused = [
            each
            for each in self.open.values()
            if not each.running and nowS - each.idleSinceS > pauseMs / 1000
        ]
        return min(paused, key=lambda each: each.idleSinceS, default=None)

    def survival(self):
        """The share of returning calls whose whole earlier prompt was still kept, None while too few are known."""
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

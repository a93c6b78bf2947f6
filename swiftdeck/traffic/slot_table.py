"""The admission books of one model: who is open where, and which conversation a prompt extends."""

import asyncio
import typing

import attrs

from swiftdeck.traffic.worker_slots import Conversation, RunningAttempt, WorkerSlots

SHUN_S = 2.0
"""How long a worker that could not be reached gets no starts."""


class Coordinator(typing.Protocol):
    """What the parts of an admission coordinator ask of it."""

    model: str
    term: int

    def config(self):
        """Return the model's entry in the configuration held, or None."""

    def is_ready(self) -> bool:
        """Whether starts may be granted, all routers having been asked."""

    def listed_workers(self) -> list:
        """Return the listed workers of the model."""


@attrs.frozen
class RunningCall:
    """An attempt that runs, with its call and its conversation."""

    conversation: Conversation
    call: str
    attempt: RunningAttempt


class SlotTable:
    """Owner of the books: the other parts read them, and change them only by its commands.

    `table` has the book of each worker by its name, `conversations` those that are open by their
    name. `by_last` finds the names of conversations by a tenant and the digest of a prompt, and
    `routers` has the time until which the slots of each router are held for it, by its address.
    """

    def __init__(self, coordinator: Coordinator, telemetry, decisions, hold_lease_ms=3000):
        self.coordinator, self.telemetry, self.decisions = coordinator, telemetry, decisions
        self.hold_lease_ms = hold_lease_ms
        self.loop = asyncio.get_running_loop()
        self.clear()

    def clear(self):
        """Begin with empty books."""
        self.table: dict[str, WorkerSlots] = {}
        self.conversations: dict[str, Conversation] = {}
        self.by_last: dict[tuple[str, bytes], set[str]] = {}
        self.routers: dict[str, float] = {}

    def of(self, worker: str) -> WorkerSlots:
        """Return the book of a worker, a new one if it has none."""
        if worker not in self.table:
            self.table[worker] = WorkerSlots(worker, self._first_cap())
        return self.table[worker]

    def _first_cap(self) -> int:
        """Return the cap that a new book begins with: the least one where it adapts."""
        config = self.coordinator.config()
        if config is None:
            return 1
        return config.capLeast if config.adapts else config.cap

    def all(self) -> list[WorkerSlots]:
        """Return the books as they are now, safe to change meanwhile."""
        return list(self.table.values())

    def open(self, conversation: Conversation):
        """Enter a new conversation."""
        self.conversations[conversation.name] = conversation
        self.of(conversation.worker).entry(conversation)

    def move(self, conversation: Conversation, worker: str):
        """Enter a conversation at another worker, over the cap if need be."""
        self.of(conversation.worker).leave(conversation)
        self.of(worker).entry(conversation)

    def adopt(self, reported, router: str, idle_floor_s: float):
        """Take over what a router reports of a conversation that it serves or served.

        `reported` is an OpenConversation; `idle_floor_s` is the earliest time since which the
        conversation counts as idle. Of reports that name different workers the newest stands.
        """
        now_s = self.loop.time()
        idle_since_s = max(now_s - reported.idle_ms / 1000, idle_floor_s)
        conversation = self.conversations.get(reported.conversation)
        if conversation is None:
            conversation = self._open_reported(reported, idle_since_s)
        elif idle_since_s > conversation.idle_since_s and reported.worker != conversation.worker:
            self.move(conversation, reported.worker)
        conversation.is_served = True
        conversation.parts = max(conversation.parts, reported.parts)
        conversation.turns = max(conversation.turns, reported.turns)
        conversation.idle_since_s = max(conversation.idle_since_s, idle_since_s)
        self.remember(conversation, reported.last)
        if reported.call and reported.is_sent:
            conversation.running[reported.call] = RunningAttempt(router, now_s, reported.attempt)
            self.renew_router(router)

    def _open_reported(self, reported, idle_since_s: float) -> Conversation:
        """Enter a conversation that only a router knew of."""
        conversation = Conversation(
            reported.conversation,
            reported.tenant,
            reported.group,
            reported.worker,
            reported.weights,
            idle_since_s=idle_since_s,
        )
        self.open(conversation)
        return conversation

    def attempt_granted(self, conversation: Conversation, ask, router: str) -> bool:
        """Count a granted attempt; returns whether its call is a new one."""
        is_new = ask.attempt <= 1 and not ask.was_granted and ask.call not in conversation.running
        conversation.running[ask.call] = RunningAttempt(router, self.loop.time(), ask.attempt)
        conversation.turns += is_new
        self.remember(conversation, ask.talk[-1])
        conversation.weights = ask.weights
        conversation.parts = max(conversation.parts, len(ask.chain))
        conversation.is_over = False
        self.renew_router(router)
        return is_new

    def attempt_ended(self, conversation: Conversation, end) -> WorkerSlots:
        """Take in an AttemptEnd, close its conversation if that ends too, and return its book.

        One that comes after its call's next attempt was granted changes nothing.
        """
        book = self.of(conversation.worker)
        running = conversation.running.get(end.call)
        if running is not None and running.number > end.attempt:
            self.telemetry.count["attemptEndsLate"] += 1
            return book
        conversation.is_over = conversation.is_over or end.is_over
        if end.parts and conversation.turns > 1:
            book.returns += 1
            book.hits += end.hits >= end.earlier
        if end.never_sent and end.is_bad:
            book.shunned_until_s = self.loop.time() + SHUN_S
        self._stop_running(conversation, end.call)
        conversation.is_served = conversation.is_served or not end.never_sent
        if conversation.running:
            return book
        if not conversation.is_served:
            self.close(conversation, "never sent")
        elif conversation.is_over:
            self.close(conversation, "said so")
        return book

    def _stop_running(self, conversation: Conversation, call: str):
        """Take an attempt out; the conversation is idle from now on when it was the last."""
        attempt = conversation.running.pop(call, None)
        if attempt is not None and not conversation.running:
            conversation.idle_since_s = self.loop.time()

    def close(self, conversation: Conversation, why: str):
        """End a conversation."""
        self.of(conversation.worker).leave(conversation)
        self.conversations.pop(conversation.name, None)
        for last in conversation.lasts:
            self._forget(conversation, last)
        self.telemetry.count["conversationsEnded"] += 1
        self.decisions.add(
            "end",
            conversation=conversation.name,
            worker=conversation.worker,
            why=why,
            turns=conversation.turns,
        )

    def _forget(self, conversation: Conversation, last: bytes):
        names = self.by_last.get((conversation.tenant, last))
        if names:
            names.discard(conversation.name)
            if not names:
                del self.by_last[(conversation.tenant, last)]

    def remember(self, conversation: Conversation, last: bytes):
        """Know a conversation again by the digest of one of its prompts."""
        if last in conversation.lasts:
            return
        if len(conversation.lasts) == conversation.lasts.maxlen:
            self._forget(conversation, conversation.lasts[0])
        conversation.lasts.append(last)
        self.by_last.setdefault((conversation.tenant, last), set()).add(conversation.name)

    def continued(self, ask) -> Conversation | None:
        """Return the open conversation that a prompt extends, under whatever weights it was begun.

        A prompt that the conversation already had extends it only when no other call of it runs:
        two equal prompts at once are two conversations.
        """
        for last in reversed(ask.talk):
            for name in sorted(self.by_last.get((ask.tenant, last), ())):
                conversation = self.conversations[name]
                is_equal = last == ask.talk[-1]
                is_busy = conversation.running and ask.call not in conversation.running
                if conversation.group == ask.group and not (is_equal and is_busy):
                    return conversation
        return None

    def renew_router(self, router: str):
        """Hold the slots of a router that was heard for another lease."""
        self.routers[router] = self.loop.time() + self.hold_lease_ms / 1000

    def reclaim(self):
        """Give the slots of silent routers back."""
        now_s = self.loop.time()
        silent = [router for router, until_s in self.routers.items() if until_s < now_s]
        for router in silent:
            del self.routers[router]
            for found in self._running_at(router):
                self._stop_running(found.conversation, found.call)
                self.telemetry.count["legsReclaimed"] += 1

    def reconcile(self, router: str, calls: set[str], settled_s: float) -> set[str]:
        """End what a router no longer runs; returns those of its calls that are not known here.

        An attempt that was granted at `settled_s` or later is left alone: the router may not have
        had its grant yet when it listed its calls, however long ago that was.
        """
        for found in self._running_at(router):
            if found.call not in calls and found.attempt.granted_s < settled_s:
                self._stop_running(found.conversation, found.call)
                self.telemetry.count["legEndsMended"] += 1
        return calls - {found.call for found in self._running_at(router)}

    def _running_at(self, router: str) -> list[RunningCall]:
        """Return the attempts for which a router holds a grant."""
        return [
            RunningCall(conversation, call, attempt)
            for conversation in self.conversations.values()
            for call, attempt in conversation.running.items()
            if attempt.router == router
        ]

    def end_idle(self, book: WorkerSlots, config):
        """Close what has been idle for long, and follow the configuration's cap."""
        for conversation in book.ended(self.loop.time(), config.idleMs):
            self.close(conversation, "over" if conversation.is_over else "idle")
        if not config.adapts:
            book.cap = config.cap

    def drop_unlisted(self, listed: set[str]):
        """Forget the books of workers that are no longer listed and have nothing open."""
        for book in self.all():
            if book.worker not in listed and not book.open and not len(book.queue):
                del self.table[book.worker]

    def status(self, index) -> dict:
        """Return the books in their outward form, by worker."""
        for worker in self.coordinator.listed_workers():
            self.of(worker.name)
        return {
            name: {
                "open": len(book.open),
                "cap": book.cap,
                "line": len(book.queue),
                "up": index.is_up(name),
                "weights": index.weights(name),
                "running": sum(len(conversation.running) for conversation in book.open.values()),
            }
            for name, book in sorted(self.table.items())
        }

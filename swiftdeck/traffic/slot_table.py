"""The slot table of one model: its open conversations, their workers and running attempts."""

import asyncio
import typing

import attrs

from swiftdeck.traffic.worker_slots import Conversation, RunningAttempt, WorkerSlots

SHUN_S = 2.0
"""How long no conversation is started at a worker that could not be reached."""


class Coordinator(typing.Protocol):
    """What the components of an admission coordinator use of it."""

    model: str
    term: int

    def config(self):
        """Return the model's entry in the configuration held, or None."""

    def is_ready(self) -> bool:
        """Whether conversations may be started, all routers having been asked for theirs."""

    def listed_workers(self) -> list:
        """Return the listed workers of the model."""


@attrs.frozen
class RunningCall:
    """A running attempt with its call and conversation."""

    conversation: Conversation
    call: str
    attempt: RunningAttempt


class SlotTable:
    """Owns the slots of all workers; other components may read them but change them only by it.

    `table` has the slots of each worker by its name, and `conversations` the open conversations by
    their name. `names_by_digest` has the names of conversations by tenant and digest of a prompt.
    `router_lease_ends_s` has the time until which the slots of a router are held, by its address.
    """

    def __init__(self, coordinator: Coordinator, telemetry, decisions, hold_lease_ms=3000):
        self.coordinator, self.telemetry, self.decisions = coordinator, telemetry, decisions
        self.hold_lease_ms = hold_lease_ms
        self.loop = asyncio.get_running_loop()
        self.clear()

    def clear(self):
        """Forget all slots and conversations."""
        self.table: dict[str, WorkerSlots] = {}
        self.conversations: dict[str, Conversation] = {}
        self.names_by_digest: dict[tuple[str, bytes], set[str]] = {}
        self.router_lease_ends_s: dict[str, float] = {}

    def slots_of(self, worker: str) -> WorkerSlots:
        """Return the slots of a worker, which are created on first use."""
        if worker not in self.table:
            self.table[worker] = WorkerSlots(worker, self._first_cap())
        return self.table[worker]

    def _first_cap(self) -> int:
        """Return the initial cap of a worker: the lower limit where caps adapt."""
        config = self.coordinator.config()
        if config is None:
            return 1
        return config.capLeast if config.adapts else config.cap

    def all_slots(self) -> list[WorkerSlots]:
        """Return the slots of all workers in a copy, so that the table may change meanwhile."""
        return list(self.table.values())

    def open(self, conversation: Conversation):
        """Add a new conversation and take a slot at its worker."""
        self.conversations[conversation.name] = conversation
        self.slots_of(conversation.worker).entry(conversation)

    def move(self, conversation: Conversation, worker: str):
        """Move a conversation to another worker, exceeding its cap if need be."""
        self.slots_of(conversation.worker).leave(conversation)
        self.slots_of(worker).entry(conversation)

    def adopt(self, reported, router: str, idle_floor_s: float):
        """Merge a router's report of a conversation that it serves or served.

        `reported` is an OpenConversation; `idle_floor_s` is the earliest time since which the
        conversation counts as idle. Where reports name different workers, the newest wins.
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
        self.add_prompt_digest(conversation, reported.last)
        if reported.call and reported.is_sent:
            conversation.running[reported.call] = RunningAttempt(router, now_s, reported.attempt)
            self.renew_router(router)

    def _open_reported(self, reported, idle_since_s: float) -> Conversation:
        """Add a conversation that is known only from a router's report."""
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

    def record_grant(self, conversation: Conversation, ask, router: str) -> bool:
        """Record a granted attempt; return whether it is the first grant of its call."""
        is_new = ask.attempt <= 1 and not ask.was_granted and ask.call not in conversation.running
        conversation.running[ask.call] = RunningAttempt(router, self.loop.time(), ask.attempt)
        conversation.turns += is_new
        self.add_prompt_digest(conversation, ask.talk[-1])
        conversation.weights = ask.weights
        conversation.parts = max(conversation.parts, len(ask.chain))
        conversation.is_over = False
        self.renew_router(router)
        return is_new

    def record_attempt_end(self, conversation: Conversation, end) -> WorkerSlots:
        """Apply an AttemptEnd, close its conversation if that ends too; return the worker's slots.

        One that arrives after the next attempt of its call was granted is ignored.
        """
        slots = self.slots_of(conversation.worker)
        running = conversation.running.get(end.call)
        if running is not None and running.number > end.attempt:
            self.telemetry.count["attemptEndsLate"] += 1
            return slots
        conversation.is_over = conversation.is_over or end.is_over
        if end.parts and conversation.turns > 1:
            slots.returns += 1
            slots.hits += end.hits >= end.earlier
        if end.never_sent and end.is_bad:
            slots.shunned_until_s = self.loop.time() + SHUN_S
        self._stop_running(conversation, end.call)
        conversation.is_served = conversation.is_served or not end.never_sent
        if conversation.running:
            return slots
        if not conversation.is_served:
            self.close(conversation, "never sent")
        elif conversation.is_over:
            self.close(conversation, "said so")
        return slots

    def _stop_running(self, conversation: Conversation, call: str):
        """Remove a running attempt; after the last one the conversation is idle."""
        attempt = conversation.running.pop(call, None)
        if attempt is not None and not conversation.running:
            conversation.idle_since_s = self.loop.time()

    def close(self, conversation: Conversation, why: str):
        """Close a conversation and free its slot."""
        self.slots_of(conversation.worker).leave(conversation)
        self.conversations.pop(conversation.name, None)
        for digest in conversation.prompt_digests:
            self._drop_prompt_digest(conversation, digest)
        self.telemetry.count["conversationsEnded"] += 1
        self.decisions.add(
            "end",
            conversation=conversation.name,
            worker=conversation.worker,
            why=why,
            turns=conversation.turns,
        )

    def _drop_prompt_digest(self, conversation: Conversation, digest: bytes):
        names = self.names_by_digest.get((conversation.tenant, digest))
        if names:
            names.discard(conversation.name)
            if not names:
                del self.names_by_digest[(conversation.tenant, digest)]

    def add_prompt_digest(self, conversation: Conversation, digest: bytes):
        """Remember the digest of a prompt, by which later calls find the conversation.

        When the limit is reached, the oldest digest is dropped.
        """
        if digest in conversation.prompt_digests:
            return
        if len(conversation.prompt_digests) == conversation.prompt_digests.maxlen:
            self._drop_prompt_digest(conversation, conversation.prompt_digests[0])
        conversation.prompt_digests.append(digest)
        self.names_by_digest.setdefault((conversation.tenant, digest), set()).add(conversation.name)

    def find_conversation(self, ask) -> Conversation | None:
        """Return the open conversation of its tenant that a prompt extends, or None.

        Its weights and its isolation group may differ from those of the prompt's call. Longer
        prefixes of the prompt are matched first. A prompt that the conversation already had matches
        only while no other call of the conversation runs: two equal prompts at the same time are
        two conversations.
        """
        for digest in reversed(ask.talk):
            for name in sorted(self.names_by_digest.get((ask.tenant, digest), ())):
                conversation = self.conversations[name]
                is_repeated = digest == ask.talk[-1]
                is_busy = conversation.running and ask.call not in conversation.running
                if not (is_repeated and is_busy):
                    return conversation
        return None

    def renew_router(self, router: str):
        """Extend by a lease the time for which the slots of a router are held."""
        self.router_lease_ends_s[router] = self.loop.time() + self.hold_lease_ms / 1000

    def reclaim(self):
        """End the running attempts of routers that did not renew within their lease."""
        now_s = self.loop.time()
        silent = [router for router, until_s in self.router_lease_ends_s.items() if until_s < now_s]
        for router in silent:
            del self.router_lease_ends_s[router]
            for running_call in self._running_at(router):
                self._stop_running(running_call.conversation, running_call.call)
                self.telemetry.count["legsReclaimed"] += 1

    def reconcile(self, router: str, calls: set[str], settled_before_s: float) -> set[str]:
        """End the attempts that a router no longer runs; return its calls that are unknown here.

        An attempt that was granted at `settled_before_s` or later is left alone: the router may
        have listed its calls before it received the grant, even if the list arrives much later.
        """
        for running_call in self._running_at(router):
            if running_call.call not in calls and running_call.attempt.granted_s < settled_before_s:
                self._stop_running(running_call.conversation, running_call.call)
                self.telemetry.count["legEndsMended"] += 1
        return calls - {running_call.call for running_call in self._running_at(router)}

    def _running_at(self, router: str) -> list[RunningCall]:
        """Return the running attempts of a router."""
        return [
            RunningCall(conversation, call, attempt)
            for conversation in self.conversations.values()
            for call, attempt in conversation.running.items()
            if attempt.router == router
        ]

    def close_idle(self, slots: WorkerSlots, config):
        """Close the ended and idle conversations of a worker, and apply a fixed cap."""
        for conversation in slots.ended(self.loop.time(), config.idleMs):
            self.close(conversation, "over" if conversation.is_over else "idle")
        if not config.adapts:
            slots.cap = config.cap

    def drop_unlisted(self, listed: set[str]):
        """Remove workers that are no longer listed and have no conversations or queued calls."""
        for slots in self.all_slots():
            if slots.worker not in listed and not slots.open and not len(slots.queue):
                del self.table[slots.worker]

    def status(self, index) -> dict:
        """Return the state of each worker by its name, as reported by the router's status."""
        for worker in self.coordinator.listed_workers():
            self.slots_of(worker.name)
        return {
            name: {
                "open": len(slots.open),
                "cap": slots.cap,
                "line": len(slots.queue),
                "up": index.is_up(name),
                "weights": index.weights(name),
                "running": sum(len(conversation.running) for conversation in slots.open.values()),
            }
            for name, slots in sorted(self.table.items())
        }

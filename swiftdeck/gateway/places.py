"""Admission of long calls to the workers that this router owns."""

import asyncio

import attrs

from swiftdeck.config.policy import ALL_ON
from swiftdeck.gateway.pace import PRIOR_TOKENS_PER_MS
from swiftdeck.traffic.fair_queue import QueuedCall
from swiftdeck.traffic.ring import Ring
from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots

FILL = 0.85
"""Share of a worker's memory that open episodes may fill."""
ALONE_TOKENS = 512
"""A prompt counts as read alone if no more than this is unread before it."""
RECLAIM_GRACE_S, EARLY_END_KEPT_S = 0.5, 2.0
"""Time after the deadline of a call until its place is reclaimed, and for how long an end that
arrives before its request is remembered.
"""


@attrs.frozen
class Wish:
    """A request for a place at a worker for one call of an episode.

    `tokens` are those of the prompt, `missing` those of them that the worker has to read.
    """

    call: str
    episode: str
    tenant: str
    worker: str
    tokens: int
    deadline_s: float
    missing: int = 0


class PlaceTable:
    """Admits calls to workers by the tokens that their open episodes keep there.

    The bound is what the worker's memory holds; `cap` expresses it in episodes of the recent mean
    size. Later calls of an open episode aren't subject to it, and nothing admitted is revoked.

    A place of a router that is gone is reclaimed at the deadline of its call, since nobody can run
    the call for longer.
    """

    def __init__(
        self,
        telemetry,
        decisions,
        memory_of,
        pause_ms=400,
        max_queue_length=64,
        pace_of=lambda worker: PRIOR_TOKENS_PER_MS,
        policy=ALL_ON,
    ):
        self.policy = policy
        self.telemetry, self.decisions, self.memory_of = telemetry, decisions, memory_of
        self.pause_ms, self.max_queue_length = pause_ms, max_queue_length
        (
            self.slots_by_worker,
            self.mean_tokens,
            self.place_by_call,
            self.queued_calls,
            self.early_ends,
        ) = {}, {}, {}, {}, {}
        self.episode_tokens, self.backlogs, self.reading_alone, self.pace_of = {}, {}, {}, pace_of
        self.on_load = lambda worker, backlog, running: None
        self.on_reading = lambda worker, tokens, elapsed_ms: None

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def slots_of(self, worker) -> WorkerSlots:
        """Return the slots of a worker, creating them if necessary."""
        if worker not in self.slots_by_worker:
            self.slots_by_worker[worker], self.mean_tokens[worker] = WorkerSlots(worker, 1), 0.0
        return self.slots_by_worker[worker]

    def _update_cap(self, slots, tokens):
        """Update the mean size of an episode and the cap derived from it."""
        mean = self.mean_tokens[slots.worker]
        self.mean_tokens[slots.worker] = mean = (
            mean + 0.1 * (tokens - mean) if mean else float(tokens)
        )
        slots.cap = max(1, int(self.memory_of(slots.worker) * FILL / max(1.0, mean)))

    def _has_room(self, slots, tokens):
        """Return whether the worker's memory holds the prompt beside those of its open episodes.

        A prompt is always admitted if no other episode is open.
        """
        if not self.policy.admission:
            return True
        held_tokens = sum(self.episode_tokens.get((slots.worker, name), 0) for name in slots.open)
        return not slots.open or held_tokens + tokens <= self.memory_of(slots.worker) * FILL

    async def ask(self, wish: Wish, wait_ms: int):
        """Return whether the call is admitted to the worker.

        It may wait in the queue for up to `wait_ms` for that.
        """
        if self.early_ends.pop(wish.call, None) is not None:
            return False
        slots = self.slots_of(wish.worker)
        self._reclaim(slots)
        episode = slots.open.get(wish.episode)
        if episode is not None:
            self._start_call(slots, episode, wish)
            return True
        self._update_cap(slots, wish.tokens)
        if not self._has_room(slots, wish.tokens):
            self._close_idle(slots, 0)
        if self._has_room(slots, wish.tokens) and not len(slots.queue):
            self._admit(slots, wish)
            return True
        if len(slots.queue) >= self.max_queue_length or wait_ms <= 0 or not self.policy.lines:
            self.telemetry.count["linesFull"] += 1
            return False
        return await self._wait_in_queue(slots, wish, wait_ms)

    async def _wait_in_queue(self, slots, wish, wait_ms):
        queued_call = QueuedCall(
            wish.tenant if self.policy.turns else "",
            wish,
            asyncio.get_running_loop().create_future(),
            self._now_s(),
        )
        slots.queue.add(queued_call)
        self.queued_calls[wish.call] = queued_call
        self.telemetry.count["waits"] += 1
        try:
            await asyncio.wait([queued_call.done], timeout=wait_ms / 1000)
        finally:
            self.queued_calls.pop(wish.call, None)
            if not queued_call.done.done() or queued_call.done.cancelled():
                slots.queue.remove(queued_call)
                queued_call.done.cancel()
        self.telemetry.count["waitedOut"] += queued_call.done.cancelled()
        return not queued_call.done.cancelled()

    def _admit(self, slots, wish):
        episode = Conversation(wish.episode, wish.tenant, "", slots.worker, "")
        slots.entry(episode)
        self.telemetry.count["starts"] += 1
        self._start_call(slots, episode, wish)

    def _start_call(self, slots, episode, wish):
        episode.running[wish.call] = wish.deadline_s
        self.episode_tokens[(slots.worker, episode.name)] = max(
            wish.tokens, self.episode_tokens.get((slots.worker, episode.name), 0)
        )
        episode.turns += 1
        self.place_by_call[wish.call] = (slots.worker, episode.name)
        self._add_to_backlog(slots, wish)
        self._report_load(slots)

    def _add_to_backlog(self, slots, wish):
        """Add what a call has to read to the backlog.

        The time until its first event shows the worker's pace if it is read alone.
        """
        unread = self._backlog(slots)
        if unread < ALONE_TOKENS:
            self.reading_alone[wish.call] = wish.missing
        else:
            for call, (worker, _) in self.place_by_call.items():
                if worker == slots.worker:
                    self.reading_alone.pop(call, None)
        self.backlogs[slots.worker] = (unread + wish.missing, self._now_s())

    def is_open(self, wish: Wish) -> bool:
        """Return whether a call belongs to an episode that was admitted and isn't over."""
        slots = self.slots_by_worker.get(wish.worker)
        return slots is not None and wish.episode in slots.open

    def unread_at(self, worker: str) -> float:
        """Return how many tokens the calls admitted to a worker still have to read there."""
        slots = self.slots_by_worker.get(worker)
        return self._backlog(slots) if slots is not None else 0.0

    def _backlog(self, slots):
        """Return the unread tokens of admitted calls, estimated from the worker's usual pace."""
        tokens, since_s = self.backlogs.get(slots.worker, (0, 0.0))
        return max(0.0, tokens - (self._now_s() - since_s) * 1000 * self.pace_of(slots.worker))

    def _report_load(self, slots):
        self.on_load(
            slots.worker,
            self._backlog(slots),
            sum(worker == slots.worker for worker, _ in self.place_by_call.values()),
        )

    def ended(self, call: str, is_kept: bool = True, first_event_ms: int = 0):
        """End a call; its episode stays open for a short pause, as the next call may follow.

        A call that isn't running either waits in a queue, which it leaves, or its request for a
        place hasn't arrived yet and will be refused. `first_event_ms` is the time from sending the
        call to its first event, 0 if there was none.
        """
        if call not in self.place_by_call:
            queued_call = self.queued_calls.get(call)
            if queued_call is not None:
                queued_call.done.cancel()
            else:
                self.early_ends[call] = self._now_s() + EARLY_END_KEPT_S
            return
        worker, name = self.place_by_call.pop(call, ("", ""))
        alone_tokens = self.reading_alone.pop(call, 0)
        if first_event_ms and alone_tokens:
            self.on_reading(worker, alone_tokens, first_event_ms)
        slots = self.slots_by_worker.get(worker)
        episode = slots.open.get(name) if slots else None
        if episode is None:
            return
        episode.running.pop(call, None)
        if not episode.running:
            episode.idle_since_s = self._now_s()
            if not is_kept:
                self._close(slots, episode)
        self._report_load(slots)
        self.admit_queued(slots)

    def _reclaim(self, slots):
        now_s = self._now_s()
        for episode in list(slots.open.values()):
            for call in [
                call
                for call, until_s in episode.running.items()
                if until_s + RECLAIM_GRACE_S < now_s
            ]:
                del episode.running[call]
                self.place_by_call.pop(call, None)
                self.reading_alone.pop(call, None)
                self.telemetry.count["placesReclaimed"] += 1
                episode.idle_since_s = now_s
        self._close_idle(slots, 0 if len(slots.queue) else self.pause_ms)

    def _close_idle(self, slots, pause_ms):
        for episode in slots.ended(self._now_s(), pause_ms):
            self._close(slots, episode)
            self.telemetry.count["episodesEnded"] += 1

    def _close(self, slots, episode):
        slots.leave(episode)
        self.episode_tokens.pop((slots.worker, episode.name), None)

    def admit_queued(self, slots):
        """Admit queued calls in their order while there is room."""
        self._reclaim(slots)
        while len(slots.queue) and self._has_room(slots, slots.queue.first().ask.tokens):
            queued_call = slots.queue.take()
            if queued_call.is_asking():
                self._admit(slots, queued_call.ask)
                queued_call.done.set_result(True)

    def tick(self, names):
        """Reclaim what has expired, and drop the slots of workers that are gone.

        Slots that are now owned elsewhere are dropped as well, in both cases only if nothing is
        open or queued.
        """
        self.early_ends = {
            call: until_s for call, until_s in self.early_ends.items() if until_s > self._now_s()
        }
        for worker, slots in list(self.slots_by_worker.items()):
            self.admit_queued(slots)
            if worker not in names and not slots.open and not len(slots.queue):
                del self.slots_by_worker[worker], self.mean_tokens[worker]
                self.backlogs.pop(worker, None)

    def status(self):
        """Return the slots as shown in the router's status."""
        return {
            name: {"open": len(slots.open), "cap": slots.cap, "line": len(slots.queue)}
            for name, slots in sorted(self.slots_by_worker.items())
        }


class Owners:
    """Maps each worker to the router that owns its slots.

    Results are cached while the list of routers stays the same.
    """

    def __init__(self):
        self.routers, self.ring, self.owner_by_worker = [], Ring([]), {}

    def of(self, worker: str, routers: list) -> str:
        """Return the address of the owner, empty without routers."""
        if routers is not self.routers and routers != self.routers:
            self.routers, self.ring, self.owner_by_worker = routers, Ring(routers, 16), {}
        if worker not in self.owner_by_worker:
            self.owner_by_worker[worker] = next(self.ring.walk(worker.encode()), "")
        return self.owner_by_worker[worker]

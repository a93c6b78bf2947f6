"""The queues of one model: calls that wait for a slot at a worker, and the start of the next."""

import asyncio

from swiftdeck.fault import NO_WORKER, QUEUE_FULL, QUEUE_TIMEOUT, is_fault
from swiftdeck.traffic.fair_queue import QueuedCall
from swiftdeck.traffic.worker_slots import Conversation, WorkerSlots

HEAD_TIMEOUT_S = 2.0
"""How long the first call of a queue keeps its position without a request of its router."""


class AdmissionQueues:
    """Owns the queued calls, and starts their conversations through the slot table.

    `queued_calls` has the waiting calls by their id. `grant(conversation, ask, sender, is_start)`
    returns the grant for a conversation that starts, or a fault.
    """

    def __init__(self, coordinator, slot_table, placement, router, grant):
        self.coordinator, self.slot_table, self.placement = coordinator, slot_table, placement
        self.router, self.grant = router, grant
        self.telemetry, self.loop = router.telemetry, asyncio.get_running_loop()
        self.queued_calls: dict[str, QueuedCall] = {}

    def clear(self, fault):
        """Answer all queued calls with a fault, because this process no longer holds the duty."""
        for slots in self.slot_table.table.values():
            for queued_call in slots.queue:
                self._answer(queued_call, fault)
        self.queued_calls = {}

    async def wait(self, ask, sender: str, start_s: float):
        """Return the grant of a new conversation, at once or within `ask.wait_ms`, or a fault.

        A waiting call asks repeatedly, and keeps the position of its first request.
        """
        queued_call = self.queued_calls.get(ask.call)
        if queued_call is None:
            queued_call = self._add_call(ask, sender, start_s)
        else:
            self._update_ask(queued_call, ask, sender, start_s)
        return await self._wait_for_answer(
            queued_call, queued_call.done, start_s + ask.wait_ms / 1000
        )

    def _add_call(self, ask, sender: str, now_s: float) -> QueuedCall:
        """Queue or start a call that asks for the first time."""
        queued_call = QueuedCall(
            tenant=ask.tenant,
            ask=ask,
            done=self.loop.create_future(),
            since_s=now_s - ask.waited_ms / 1000,
            sender=sender,
            seen_s=now_s,
        )
        self.queued_calls[ask.call] = queued_call
        self.place(queued_call)
        return queued_call

    def _update_ask(self, queued_call: QueuedCall, ask, sender: str, now_s: float):
        """Replace the request of a queued call, and start it if it is first and has room."""
        queued_call.ask, queued_call.done = ask, self.loop.create_future()
        queued_call.sender, queued_call.seen_s = sender, now_s
        for slots in self.slot_table.all_slots():
            if slots.queue.first() is queued_call:
                self.start_queued(slots)

    async def _wait_for_answer(self, queued_call: QueuedCall, done: asyncio.Future, end_s: float):
        """Wait for the answer to one request.

        The call keeps its position in the queue afterwards. Waiting in short requests keeps a
        grant from being too old when it arrives.
        """
        try:
            await asyncio.wait([done], timeout=max(0, end_s - self.loop.time()))
        finally:
            if not done.done():
                done.cancel()
        if done.cancelled():
            return QUEUE_TIMEOUT
        if self.queued_calls.get(queued_call.ask.call) is queued_call:
            del self.queued_calls[queued_call.ask.call]
        return done.result()

    def place(self, queued_call: QueuedCall):
        """Start a call at the worker that placement selects, or add it to that worker's queue."""
        name = self.placement.nominate(queued_call.ask)
        if name is None:
            return self._answer(queued_call, NO_WORKER)
        slots = self.slot_table.slots_of(name)
        if slots.has_room() and not len(slots.queue) and queued_call.is_asking():
            return self._start_conversation(slots, queued_call)
        if len(slots.queue) >= self.coordinator.config().lineMax:
            return self._refuse(slots, queued_call)
        self._enqueue(slots, queued_call)
        self.start_queued(slots)

    def _refuse(self, slots: WorkerSlots, queued_call: QueuedCall):
        """Answer that the queue is full."""
        self.telemetry.count["lineFull"] += 1
        self.router.decisions.add(
            "refuse",
            call=queued_call.ask.call,
            tenant=queued_call.ask.tenant,
            worker=slots.worker,
            why="line full",
        )
        self._answer(queued_call, QUEUE_FULL)

    def _enqueue(self, slots: WorkerSlots, queued_call: QueuedCall):
        """Add a call to the queue of a worker."""
        slots.queue.add(queued_call)
        self.telemetry.count["waits"] += 1
        self.router.decisions.add(
            "wait",
            call=queued_call.ask.call,
            tenant=queued_call.ask.tenant,
            worker=slots.worker,
            line=len(slots.queue),
            open=len(slots.open),
            cap=slots.cap,
        )

    def start_queued(self, slots: WorkerSlots):
        """Start queued calls of a worker while it has room.

        A first call without a pending request blocks the queue for up to HEAD_TIMEOUT_S, and is
        dropped then.
        """
        if not self._may_start(slots):
            return
        while len(slots.queue):
            first = slots.queue.first()
            if not first.is_asking():
                if self.loop.time() - first.seen_s < HEAD_TIMEOUT_S:
                    return
                self._forget(slots.queue.take())
                continue
            if not slots.has_room() and not self._make_room(slots):
                return
            self._start_conversation(slots, slots.queue.take())

    def _may_start(self, slots: WorkerSlots) -> bool:
        """Whether conversations may start at a worker at all."""
        return (
            self.coordinator.is_ready()
            and self.coordinator.config() is not None
            and self.router.workers.may_take(slots.worker)
        )

    def _make_room(self, slots: WorkerSlots) -> bool:
        """Close the conversation that has paused longest.

        Returns False if there is none, or if closing one would not suffice.
        """
        paused = slots.longest_paused(self.loop.time(), self.coordinator.config().pauseMs)
        if paused is None or len(slots.open) > slots.cap:
            return False
        self.telemetry.count["slotsReclaimed"] += 1
        self.slot_table.close(paused, "paused while others wait")
        return True

    def start_all_queued(self):
        """Start queued calls of all workers that have room."""
        for slots in self.slot_table.all_slots():
            self.start_queued(slots)

    def reassign(self, serving: list[str]):
        """Place the calls anew that wait for a worker which no longer serves."""
        stranded = [
            (slots, queued_call)
            for name, slots in self.slot_table.table.items()
            if name not in serving
            for queued_call in slots.queue
        ]
        for slots, queued_call in stranded:
            slots.queue.remove(queued_call)
            self.place(queued_call)

    def remove_call(self, call: str):
        """Remove a call from its queue, because its client went away."""
        for slots in self.slot_table.all_slots():
            for queued_call in slots.queue:
                if queued_call.ask.call == call:
                    slots.queue.remove(queued_call)
                    self._forget(queued_call)
                    self._answer(queued_call, QUEUE_TIMEOUT.with_reason("caller went away"))
                    return

    def _forget(self, queued_call: QueuedCall):
        self.queued_calls.pop(queued_call.ask.call, None)

    def _start_conversation(self, slots: WorkerSlots, queued_call: QueuedCall):
        """Open a conversation at a worker and answer the call with its first grant."""
        ask = queued_call.ask
        name = f"{self.router.random.getrandbits(64):016x}"
        conversation = Conversation(name, ask.tenant, ask.group, slots.worker, ask.weights)
        self.slot_table.open(conversation)
        self.telemetry.count["starts"] += 1
        waited_ms = int((self.loop.time() - queued_call.since_s) * 1000)
        self.router.decisions.add(
            "start",
            call=ask.call,
            tenant=ask.tenant,
            conversation=name,
            worker=slots.worker,
            waitedMs=waited_ms,
            open=len(slots.open),
            cap=slots.cap,
        )
        grant = self.grant(conversation, ask, queued_call.sender, True)
        if not is_fault(grant):
            grant.waited_ms = waited_ms
        self._answer(queued_call, grant)

    def _answer(self, queued_call: QueuedCall, answer):
        """Answer the pending request of a call; without one the call is dropped."""
        if queued_call.is_asking():
            queued_call.done.set_result(answer)
        else:
            self._forget(queued_call)

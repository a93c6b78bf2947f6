"""Virtual time: many simulated processes, each with an event loop, in one test process."""

import asyncio
import heapq
import random
import warnings


class SimLoop(asyncio.AbstractEventLoop):
    """The asyncio loop of one simulated process, driven by the event queue of a `World`.

    Its clock reads `clock_offset_s` plus the time of the world times `clock_rate`. `held_handles`
    are the callbacks that came due while the process was frozen, `faults` the contexts of unhandled
    exceptions.
    """

    def __init__(self, world, name, ip):
        self.world, self.name, self.ip = world, name, ip
        self.dead = self.frozen = False
        self.held_handles = []
        self.clock_offset_s = world.random.uniform(1000, 100000)
        self.clock_rate = 1.0
        self.faults = []

    def time(self):
        """Return this process's clock in seconds; it starts at a random value and may drift."""
        return self.clock_offset_s + self.world.now * self.clock_rate

    def call_soon(self, callback, *args, context=None):
        """Queue a callback for the current time."""
        handle = asyncio.Handle(callback, args, self, context)
        self.world.push_event(self.world.now, self, handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *args, context=None):
        """Queue a callback that is due in `delay` seconds of this process's clock."""
        return self.call_at(self.time() + max(0, delay), callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        """Queue a callback for `when`, in seconds of this process's clock."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.world.push_event(
            max(self.world.now, (when - self.clock_offset_s) / self.clock_rate), self, handle
        )
        return handle

    def _timer_handle_cancelled(self, handle):
        pass

    def create_future(self):
        """Return a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None):
        """Return a new task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self):
        """Return False: debug mode is always off."""
        return False

    def is_running(self):
        """Return True: a simulated loop always counts as running."""
        return True

    def is_closed(self):
        """Return whether the process was killed."""
        return self.dead

    def call_exception_handler(self, context):
        """Record an unhandled exception here and in the world, unless the process was killed."""
        if not self.dead and "was destroyed" not in context.get("message", ""):
            self.faults.append(context)
            self.world.faults.append((self.name, context))

    async def create_server(self, factory, host=None, port=None, **_):
        """Open a listener on the simulated network."""
        return self.world.net.listen(self, factory, host, port)

    async def create_connection(self, factory, host=None, port=None, **_):
        """Open a stream on the simulated network."""
        return await self.world.net.connect(self, factory, host, port)

    async def create_datagram_endpoint(self, factory, local_addr=None, **_):
        """Open a datagram endpoint on the simulated network."""
        return self.world.net.open_datagram_endpoint(self, factory, local_addr)


class World:
    """The clock, event queue and random generator that all simulated processes share.

    `now` is in seconds. `event_heap` holds (time, sequence number, loop, handle); the sequence
    number keeps events of the same time in the order in which they were queued. `loops` has the
    running processes by name, `faults` the unhandled exceptions of all processes, `steps` the
    number of events run.
    """

    def __init__(self, seed=1):
        from swiftdeck.sim.net import SimNet

        warnings.filterwarnings("ignore", "coroutine .* was never awaited")
        self.now, self.sequence_number, self.event_heap = 0.0, 0, []
        self.random = random.Random(seed)
        self.loops, self.faults, self.steps = {}, [], 0
        self.net = SimNet(self)

    def push_event(self, when, loop, handle):
        """Queue a handle of a process, or a plain function when `loop` is None."""
        self.sequence_number += 1
        heapq.heappush(self.event_heap, (when, self.sequence_number, loop, handle))

    def start(self, name, ip, main) -> SimLoop:
        """Start a process on the machine `ip`; `main` is a function that returns a coroutine."""
        loop = SimLoop(self, name, ip)
        self.net.vanished.discard(ip)
        self.loops[name] = loop
        self._within(loop, lambda: setattr(loop, "main", loop.create_task(main())))
        return loop

    def run_in(self, name, action):
        """Call a plain function at once, with the loop of the named process as the running loop."""
        self._within(self.loops[name], action)

    def _within(self, loop, action):
        asyncio._set_running_loop(loop)
        try:
            action()
        finally:
            asyncio._set_running_loop(None)

    def kill(self, name, silent=False):
        """End a process at once; with `silent` its machine loses power and sends no reset."""
        loop = self.loops.pop(name, None)
        if loop:
            loop.dead = True
            self.net.remove_process(loop, silent)
            if silent:
                self.net.vanished.add(loop.ip)

    def freeze(self, name):
        """Suspend a process; its clock keeps running."""
        self.loops[name].frozen = True

    def thaw(self, name):
        """Resume a frozen process and queue the callbacks that came due meanwhile."""
        loop = self.loops[name]
        loop.frozen, handles, loop.held_handles = False, loop.held_handles, []
        for handle in handles:
            self.push_event(self.now, loop, handle)

    def call_after(self, delay_s, action):
        """Call a plain function in `delay_s` simulated seconds, outside any process."""
        self.push_event(self.now + delay_s, None, action)

    def run(self, seconds=None, until=None, limit_s=600.0):
        """Run events until `until` returns true, `seconds` have passed or `limit_s` is reached.

        `until` is checked after each event. Returns whether it came true; without `until`, True.
        """
        end = self.now + (limit_s if seconds is None else seconds)
        while self.event_heap and self.event_heap[0][0] <= end:
            when, _, loop, handle = heapq.heappop(self.event_heap)
            self.now = max(self.now, when)
            if loop is None:
                handle()
            elif loop.dead or handle.cancelled():
                continue
            elif loop.frozen:
                loop.held_handles.append(handle)
                continue
            else:
                self._within(loop, handle._run)
            self.steps += 1
            if until is not None and until():
                return True
        self.now = max(self.now, end)
        return until is None

    def run_task(self, name, make, limit_s=60.0):
        """Run a coroutine in a process until it is done, and return its result.

        `make` returns the coroutine. Raises TimeoutError after `limit_s` simulated seconds.
        """
        loop, tasks = self.loops[name], []
        self._within(loop, lambda: tasks.append(loop.create_task(make())))
        if not self.run(until=tasks[0].done, limit_s=limit_s):
            raise TimeoutError(f"{name} did not finish within {limit_s} simulated seconds")
        return tasks[0].result()

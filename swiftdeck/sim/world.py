"""Virtual time: many simulated processes, each with a loop of its own, in one test process."""

import asyncio
import heapq
import random
import warnings


class SimLoop(asyncio.AbstractEventLoop):
    """The asyncio loop of one simulated process; its clock and its callbacks belong to a world."""

    def __init__(self, world, name, ip):
        self.world, self.name, self.ip = world, name, ip
        self.dead = self.frozen = False
        self.held = []
        self.offset = world.random.uniform(1000, 100000)
        self.rate = 1.0
        self.faults = []

    def time(self):
        """Seconds on the clock of this process, which starts anywhere and may drift."""
        return self.offset + self.world.now * self.rate

    def call_soon(self, callback, *args, context=None):
        """Queue a callback for now."""
        handle = asyncio.Handle(callback, args, self, context)
        self.world.push(self.world.now, self, handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *args, context=None):
        """Queue a callback for some seconds from now, on the clock of this process."""
        return self.call_at(self.time() + max(0, delay), callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        """Queue a callback for a time on the clock of this process."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.world.push(max(self.world.now, (when - self.offset) / self.rate), self, handle)
        return handle

    def _timer_handle_cancelled(self, handle):
        pass

    def create_future(self):
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None):
        """A task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self):
        """Debug mode is always off."""
        return False

    def is_running(self):
        """The loop counts as running as long as its world does."""
        return True

    def is_closed(self):
        """Whether the process was killed."""
        return self.dead

    def call_exception_handler(self, context):
        """Note an unhandled exception, here and in the world, unless the process was killed."""
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
        return self.world.net.datagram(self, factory, local_addr)


class World:
    """The clock, the queue of events and the randomness that all simulated processes share."""

    def __init__(self, seed=1):
        from swiftdeck.sim.net import SimNet

        warnings.filterwarnings("ignore", "coroutine .* was never awaited")
        self.now, self.serial, self.heap = 0.0, 0, []
        self.random = random.Random(seed)
        self.loops, self.faults, self.steps = {}, [], 0
        self.net = SimNet(self)

    def push(self, when, loop, handle):
        """Queue a callback of one process."""
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, loop, handle))

    def start(self, name, ip, main) -> SimLoop:
        """Start a process: `main` is a function that returns a coroutine."""
        loop = SimLoop(self, name, ip)
        self.net.vanished.discard(ip)
        self.loops[name] = loop
        self._within(loop, lambda: setattr(loop, "main", loop.create_task(main())))
        return loop

    def run_in(self, name, action):
        """Call a plain function at once, with the loop of a process as the running one."""
        self._within(self.loops[name], action)

    def _within(self, loop, action):
        asyncio._set_running_loop(loop)
        try:
            action()
        finally:
            asyncio._set_running_loop(None)

    def kill(self, name, silent=False):
        """End a process at once; `silent` when its machine vanishes, so that no reset is sent."""
        loop = self.loops.pop(name, None)
        if loop:
            loop.dead = True
            self.net.drop(loop, silent)
            if silent:
                self.net.vanished.add(loop.ip)

    def freeze(self, name):
        """Stop a process in its tracks; its clock goes on."""
        self.loops[name].frozen = True

    def thaw(self, name):
        """Wake a frozen process with all that came meanwhile."""
        loop = self.loops[name]
        loop.frozen, held, loop.held = False, loop.held, []
        for handle in held:
            self.push(self.now, loop, handle)

    def call_after(self, delay_s, action):
        """Run a plain function later, outside any process."""
        self.push(self.now + delay_s, None, action)

    def run(self, seconds=None, until=None, limit_s=600.0):
        """Let time pass; returns whether `until` came true (or the time has passed)."""
        end = self.now + (limit_s if seconds is None else seconds)
        while self.heap and self.heap[0][0] <= end:
            when, _, loop, handle = heapq.heappop(self.heap)
            self.now = max(self.now, when)
            if loop is None:
                handle()
            elif loop.dead or handle.cancelled():
                continue
            elif loop.frozen:
                loop.held.append(handle)
                continue
            else:
                self._within(loop, handle._run)
            self.steps += 1
            if until is not None and until():
                return True
        self.now = max(self.now, end)
        return until is None

    def run_task(self, name, make, limit_s=60.0):
        """Run a coroutine inside a process until it is done and give its result."""
        loop, box = self.loops[name], []
        self._within(loop, lambda: box.append(loop.create_task(make())))
        if not self.run(until=box[0].done, limit_s=limit_s):
            raise TimeoutError(f"{name} did not finish within {limit_s} simulated seconds")
        return box[0].result()

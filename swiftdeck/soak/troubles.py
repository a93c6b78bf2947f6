"""Does to the site what the schedule says, and notes it for the checker."""

import asyncio
import signal

import msgspec

from swiftdeck.bench.platform_api.rules.records import LINK, PROCESS
from swiftdeck.bench.platform_api.site_forms import READY_PATH
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.link_filter import LATE_MOST_S, Cut
from swiftdeck.soak.schedule import Kind
from swiftdeck.soak.site import GRACE_S

FOREVER_MS = 1 << 50
EVERY_MACHINE = "core: driver stalled"
"""All machines at once; the checker counts trouble of any core against contact with all of them."""
ASK_MS, ASK_PAUSE_S, UP_WITHIN_S = 1000, 0.1, 30.0
FORGOTTEN_S, DRAINED_S = 3.0, 4.6
CUT_REPEAT_S = 0.2


class Troubles:
    """The troubles under way, and those of the past in the checker's form."""

    def __init__(self, site, processes, stand_ins, operators, record, now_ms, slack=1.0):
        self.site, self.processes, self.stand_ins = site, processes, stand_ins
        self.grace_s = slack * GRACE_S
        self.operators, self.plan, self.now_ms = operators, record("plan"), now_ms
        self.noted, self.planned, self.cuts, self.late_stops, self.done = [], [], {}, [], []
        self.late_shares: dict[int, tuple[str, float]] = {}
        self.actions = {
            Kind.TERMINATE: self._terminate,
            Kind.HANG_UP: self._hang_up,
            Kind.KILL: self._kill,
            Kind.KILL_CORES: self._kill_cores,
            Kind.PAUSE: self._pause,
            Kind.CUT: self._cut,
            Kind.DELAY_MESSAGES: self._delay_messages,
            Kind.CRASH_WORKER: self._crash_worker,
            Kind.DRAIN_WORKER: self._drain_worker,
            Kind.WORKER_QUIRK: self._worker_quirk,
            Kind.LOSE_ORDERS: self._lose_orders,
            Kind.DELAY_ORDERS: self._delay_orders,
            Kind.LOSE_ANSWERS: self._lose_answers,
            Kind.SECOND_OPERATOR: self._second_operator,
        }

    async def play(self, schedule):
        """Bring about each trouble in its time, and wait for the end of all."""
        loop = asyncio.get_running_loop()
        start_s, tasks = loop.time(), []
        sending = asyncio.ensure_future(self._send_cuts())
        for trouble in schedule.troubles:
            await asyncio.sleep(max(0.0, start_s + trouble.at_s - loop.time()))
            tasks.append(asyncio.ensure_future(self.actions[trouble.kind](trouble)))
            self.done.append((round(loop.time() - start_s, 2), trouble))
        await asyncio.sleep(max(0.0, start_s + schedule.seconds - loop.time()))
        await asyncio.gather(*tasks)
        sending.cancel()

    def note(self, machine, kind=PROCESS):
        """Note the begin of unplanned trouble at a machine; its end is noted by `end`."""
        self.noted.append([machine, self.now_ms(), FOREVER_MS, kind])
        return self.noted[-1]

    def end(self, noted):
        """Note that such trouble is over."""
        noted[2] = self.now_ms()

    def stuck(self):
        """Planned stops that took longer than their grace, with no trouble there to explain it."""
        return [
            f"{machine} did not end within its grace"
            for machine, begin_ms, end_ms in self.late_stops
            if not self._is_troubled(machine, begin_ms, end_ms)
        ]

    def _is_troubled(self, machine, begin_ms, end_ms):
        """Whether a machine had unplanned trouble meanwhile, or all stood still together."""
        return any(
            name in (machine, EVERY_MACHINE) and begin <= end_ms and end >= begin_ms
            for name, begin, end, _ in self.noted
        )

    async def await_up(self, machine):
        """Wait until a machine's process answers at all; whether it does in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + UP_WITHIN_S
        while loop.time() < end_s:
            path = READY_PATH if machine.role == "router" else "/v1/counters"
            if await fetch_json(machine.operations, "GET", path, timeoutMs=ASK_MS):
                return True
            await asyncio.sleep(ASK_PAUSE_S)
        return False

    async def _start_again(self, process):
        process.start()
        process.is_replaced = False
        return await self.await_up(process.machine)

    async def _terminate(self, trouble):
        process = self.processes.by_name[trouble.target]
        if process.is_replaced:
            return
        process.is_replaced, begin_ms = True, self.now_ms()
        stop = [trouble.target, begin_ms, FOREVER_MS, PROCESS]
        self.planned.append(stop)
        self.plan("planned", machine=trouble.target, what="term")
        process.send(signal.SIGTERM)
        if not await process.ended(self.grace_s):
            self.late_stops.append((trouble.target, begin_ms, self.now_ms()))
            process.kill()
        await asyncio.sleep(trouble.rest_s)
        await self._start_again(process)
        self.end(stop)

    async def _hang_up(self, trouble):
        machine = self.site.machines[trouble.target]
        seed_order = self.now_ms() % len(self.site.cores)
        self.site.write_settings(self.processes.folder, machine, seed_order=seed_order)
        self.plan("planned", machine=trouble.target, what="hup")
        self.processes.by_name[trouble.target].send(signal.SIGHUP)

    async def _kill(self, trouble):
        process = self.processes.by_name[trouble.target]
        noted = self.note(trouble.target)
        was_replaced, process.is_replaced = process.is_replaced, True
        process.kill()
        await asyncio.sleep(trouble.for_s)
        if not was_replaced:
            await self._start_again(process)
        self.end(noted)

    async def _kill_cores(self, trouble):
        processes = [self.processes.by_name[each.name] for each in self.site.cores]
        ours = [each for each in processes if not each.is_replaced]
        noted = [self.note(each.machine.name) for each in processes]
        for process in ours:
            process.is_replaced = True
        for process in processes:
            process.kill()
        await asyncio.sleep(trouble.for_s)
        await asyncio.gather(*(self._start_again(process) for process in ours))
        for each in noted:
            self.end(each)

    async def _pause(self, trouble):
        process, noted = self.processes.by_name[trouble.target], self.note(trouble.target)
        life = process.life
        process.pause()
        await asyncio.sleep(trouble.for_s)
        if process.life == life:
            process.resume()
        self.end(noted)

    async def _cut(self, trouble):
        """Cut a machine off from others: both ways, or only what comes in, or what goes out."""
        way, end = trouble.how.split()
        noted, names = self.note(trouble.target, LINK), []
        own, others = (
            self.site.machines[trouble.target],
            [self.site.machines[name] for name in trouble.others],
        )
        if way in ("both", "in"):
            names += [(own, other) for other in others]
        if way in ("both", "out"):
            names += [(other, own) for other in others]
        self.cuts[id(trouble)] = (names, end == "late")
        await asyncio.sleep(trouble.for_s)
        del self.cuts[id(trouble)]
        self.end(noted)

    async def _delay_messages(self, trouble):
        """Let a share of what a machine hears come late, also after this trouble's end."""
        noted = self.note(trouble.target, LINK)
        self.late_shares[id(trouble)] = (trouble.target, trouble.share)
        await asyncio.sleep(trouble.for_s)
        del self.late_shares[id(trouble)]
        await asyncio.sleep(LATE_MOST_S)
        self.end(noted)

    async def _send_cuts(self):
        """Tell each process again and again from whom it may not hear."""
        loop = asyncio.get_running_loop()
        endpoint, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(self.site.block.ip(1), 0)
        )
        try:
            while True:
                for machine in self.site.machines.values():
                    endpoint.sendto(msgspec.json.encode(self._cut_of(machine)), machine.link_filter)
                await asyncio.sleep(CUT_REPEAT_S)
        finally:
            endpoint.close()

    def _cut_of(self, machine):
        """From whom a machine may not hear now, after all cuts that hold."""
        holding = [
            (other.inner, is_late)
            for names, is_late in self.cuts.values()
            for hearer, other in names
            if hearer is machine
        ]
        senders = sorted({sender for sender, _ in holding})
        shares = [share for name, share in self.late_shares.values() if name == machine.name]
        return Cut(
            senders,
            bool(holding) and all(is_late for _, is_late in holding),
            max(shares, default=0.0),
        )

    async def _crash_worker(self, trouble):
        name, life = trouble.target, self.stand_ins.workers[trouble.target]
        self.stand_ins.crash_worker(name)
        await asyncio.sleep(min(FORGOTTEN_S, trouble.for_s))
        if self.stand_ins.workers[name] is life:
            self.stand_ins.forget_worker(name)
            await asyncio.sleep(max(0.5, trouble.for_s - FORGOTTEN_S))
            await self._renew(name, life)

    async def _drain_worker(self, trouble):
        name, life = trouble.target, self.stand_ins.workers[trouble.target]
        life.is_leaving = True
        await asyncio.sleep(DRAINED_S)
        if self.stand_ins.workers[name] is life:
            self.stand_ins.crash_worker(name)
            self.stand_ins.forget_worker(name)
            await asyncio.sleep(max(0.5, trouble.for_s - DRAINED_S))
            await self._renew(name, life)

    async def _renew(self, name, life):
        if self.stand_ins.workers[name] is life:
            await self.stand_ins.start_worker(name)

    async def _worker_quirk(self, trouble):
        worker = self.stand_ins.workers[trouble.target]
        worker.quirk, worker.quirk_share = trouble.how, trouble.share
        await asyncio.sleep(trouble.for_s)
        worker.quirk = ""

    async def _lose_orders(self, trouble):
        workers = list(self.stand_ins.workers.values())
        for worker in workers:
            worker.lost_answers_share = trouble.share
        await asyncio.sleep(trouble.for_s)
        for worker in workers:
            worker.lost_answers_share = 0.0

    async def _delay_orders(self, trouble):
        workers = self.stand_ins.delay_orders(trouble.share)
        await asyncio.sleep(trouble.for_s)
        for worker in workers:
            worker.order_delays_s = []

    async def _lose_answers(self, trouble):
        self.operators.lose_answers(trouble.share)
        await asyncio.sleep(trouble.for_s)
        self.operators.lose_answers(0.0)

    async def _second_operator(self, trouble):
        self.operators.let_second_change(trouble.for_s)
        await asyncio.sleep(trouble.for_s)

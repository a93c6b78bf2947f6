"""Inject the scheduled troubles into the site, and record when each applied for the checker."""

import asyncio
import signal

import msgspec

from swiftdeck.bench.platform_api.rules.records import LINK, PROCESS
from swiftdeck.bench.platform_api.site_forms import READY_PATH
from swiftdeck.http.client import fetch_json
from swiftdeck.soak.crowd_kinds import KINDS_BY_ROLE
from swiftdeck.soak.link_filter import MAX_LATE_S, Cut
from swiftdeck.soak.schedule import Kind
from swiftdeck.soak.site import GRACE_S

FOREVER_MS = 1 << 50
EVERY_MACHINE = "core: driver stalled"
"""Stands for all machines, as the checker takes trouble of any core as trouble of every machine."""
POLL_TIMEOUT_MS, POLL_PAUSE_S, START_TIMEOUT_S = 1000, 0.1, 30.0
CRASH_UNNOTICED_S, DRAIN_S = 3.0, 4.6
"""Time until a crashed worker leaves the platform's list, and until a draining worker is ended."""
CUT_RENEWAL_S = 0.2
CHOKED_S = 5.0
"""How long a machine counts as in trouble after clients pressed beyond the usual."""


class Troubles:
    """Runs the troubles of a schedule and keeps the periods of trouble in the checker's form.

    `noted` holds unplanned and `planned` planned trouble, as [machine, begin ms, end ms, kind].
    """

    def __init__(self, site, processes, stand_ins, operators, record, now_ms, slack=1.0):
        self.site, self.processes, self.stand_ins = site, processes, stand_ins
        self.grace_s = slack * GRACE_S
        self.operators, self.record_plan, self.now_ms = operators, record("plan"), now_ms
        self.noted, self.planned, self.cuts, self.late_stops, self.started = [], [], {}, [], []
        self.late_shares: dict[int, tuple[str, float]] = {}
        self.crowd_connections = 0
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
            Kind.CROWD: self._crowd,
        }

    async def play(self, schedule):
        """Start each trouble at its time, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        start_s, tasks = loop.time(), []
        cuts_task = asyncio.ensure_future(self._send_cuts())
        for trouble in schedule.troubles:
            await asyncio.sleep(max(0.0, start_s + trouble.at_s - loop.time()))
            tasks.append(asyncio.ensure_future(self.actions[trouble.kind](trouble)))
            self.started.append((round(loop.time() - start_s, 2), trouble))
        await asyncio.sleep(max(0.0, start_s + schedule.seconds - loop.time()))
        await asyncio.gather(*tasks)
        cuts_task.cancel()

    def begin_trouble(self, machine, kind=PROCESS):
        """Record the begin of unplanned trouble at a machine; `end_trouble` records its end."""
        self.noted.append([machine, self.now_ms(), FOREVER_MS, kind])
        return self.noted[-1]

    def end_trouble(self, period):
        """Set the end of a period of trouble to now."""
        period[2] = self.now_ms()

    def unexplained_late_stops(self):
        """Describe planned stops that exceeded their grace without unplanned trouble there."""
        return [
            f"{machine} did not end within its grace"
            for machine, begin_ms, end_ms in self.late_stops
            if not self._had_trouble(machine, begin_ms, end_ms)
        ]

    def _had_trouble(self, machine, begin_ms, end_ms):
        """Return whether unplanned trouble of the machine or of all machines overlaps this time."""
        return any(
            name in (machine, EVERY_MACHINE) and begin <= end_ms and end >= begin_ms
            for name, begin, end, _ in self.noted
        )

    async def wait_answering(self, machine):
        """Poll a machine until it answers with any status; return whether it did in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + START_TIMEOUT_S
        while loop.time() < end_s:
            path = READY_PATH if machine.role == "router" else "/v1/counters"
            if await fetch_json(machine.operations, "GET", path, timeoutMs=POLL_TIMEOUT_MS):
                return True
            await asyncio.sleep(POLL_PAUSE_S)
        return False

    async def _restart(self, process):
        process.start()
        process.is_replaced = False
        return await self.wait_answering(process.machine)

    async def _terminate(self, trouble):
        process = self.processes.by_name[trouble.target]
        if process.is_replaced:
            return
        process.is_replaced, begin_ms = True, self.now_ms()
        stop = [trouble.target, begin_ms, FOREVER_MS, PROCESS]
        self.planned.append(stop)
        self.record_plan("planned", machine=trouble.target, what="term")
        process.send(signal.SIGTERM)
        if not await process.wait_ended(self.grace_s):
            self.late_stops.append((trouble.target, begin_ms, self.now_ms()))
            process.kill()
        await asyncio.sleep(trouble.rest_s)
        await self._restart(process)
        self.end_trouble(stop)

    async def _hang_up(self, trouble):
        machine = self.site.machines[trouble.target]
        seed_order = self.now_ms() % len(self.site.cores)
        self.site.write_settings(self.processes.folder, machine, seed_order=seed_order)
        self.record_plan("planned", machine=trouble.target, what="hup")
        self.processes.by_name[trouble.target].send(signal.SIGHUP)

    async def _kill(self, trouble):
        process = self.processes.by_name[trouble.target]
        period = self.begin_trouble(trouble.target)
        was_replaced, process.is_replaced = process.is_replaced, True
        process.kill()
        await asyncio.sleep(trouble.for_s)
        if not was_replaced:
            await self._restart(process)
        self.end_trouble(period)

    async def _kill_cores(self, trouble):
        processes = [self.processes.by_name[core.name] for core in self.site.cores]
        to_restart = [process for process in processes if not process.is_replaced]
        periods = [self.begin_trouble(process.machine.name) for process in processes]
        for process in to_restart:
            process.is_replaced = True
        for process in processes:
            process.kill()
        await asyncio.sleep(trouble.for_s)
        await asyncio.gather(*(self._restart(process) for process in to_restart))
        for period in periods:
            self.end_trouble(period)

    async def _pause(self, trouble):
        process, period = self.processes.by_name[trouble.target], self.begin_trouble(trouble.target)
        life = process.life
        process.pause()
        await asyncio.sleep(trouble.for_s)
        if process.life == life:
            process.resume()
        self.end_trouble(period)

    async def _cut(self, trouble):
        """Cut the links between a machine and others: inbound, outbound or both."""
        direction, outcome = trouble.how.split()
        period, links = self.begin_trouble(trouble.target, LINK), []
        own, others = (
            self.site.machines[trouble.target],
            [self.site.machines[name] for name in trouble.others],
        )
        if direction in ("both", "in"):
            links += [(own, other) for other in others]
        if direction in ("both", "out"):
            links += [(other, own) for other in others]
        self.cuts[id(trouble)] = (links, outcome == "late")
        await asyncio.sleep(trouble.for_s)
        del self.cuts[id(trouble)]
        self.end_trouble(period)

    async def _delay_messages(self, trouble):
        """Delay a share of the messages to a machine.

        Delayed messages still arrive up to `MAX_LATE_S` after the delaying has ended, so the
        trouble is recorded as lasting that much longer.
        """
        period = self.begin_trouble(trouble.target, LINK)
        self.late_shares[id(trouble)] = (trouble.target, trouble.share)
        await asyncio.sleep(trouble.for_s)
        del self.late_shares[id(trouble)]
        await asyncio.sleep(MAX_LATE_S)
        self.end_trouble(period)

    async def _send_cuts(self):
        """Send each process its current cut repeatedly, as a cut that is not renewed expires."""
        loop = asyncio.get_running_loop()
        endpoint, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(self.site.block.ip(1), 0)
        )
        try:
            while True:
                for machine in self.site.machines.values():
                    endpoint.sendto(
                        msgspec.json.encode(self._current_cut(machine)), machine.link_filter
                    )
                await asyncio.sleep(CUT_RENEWAL_S)
        finally:
            endpoint.close()

    def _current_cut(self, machine):
        """Return the senders to cut off from a machine now, merged over all active cuts.

        Held messages arrive late only if every cut for this machine says so, else they are lost.
        """
        active = [
            (other.inner, is_late)
            for links, is_late in self.cuts.values()
            for receiver, other in links
            if receiver is machine
        ]
        senders = sorted({sender for sender, _ in active})
        shares = [share for name, share in self.late_shares.values() if name == machine.name]
        return Cut(
            senders,
            bool(active) and all(is_late for _, is_late in active),
            max(shares, default=0.0),
        )

    async def _crash_worker(self, trouble):
        name, worker = trouble.target, self.stand_ins.workers[trouble.target]
        self.stand_ins.crash_worker(name)
        await asyncio.sleep(min(CRASH_UNNOTICED_S, trouble.for_s))
        if self.stand_ins.workers[name] is worker:
            self.stand_ins.unlist_worker(name)
            await asyncio.sleep(max(0.5, trouble.for_s - CRASH_UNNOTICED_S))
            await self._restart_worker(name, worker)

    async def _drain_worker(self, trouble):
        name, worker = trouble.target, self.stand_ins.workers[trouble.target]
        worker.is_leaving = True
        await asyncio.sleep(DRAIN_S)
        if self.stand_ins.workers[name] is worker:
            self.stand_ins.crash_worker(name)
            self.stand_ins.unlist_worker(name)
            await asyncio.sleep(max(0.5, trouble.for_s - DRAIN_S))
            await self._restart_worker(name, worker)

    async def _restart_worker(self, name, worker):
        if self.stand_ins.workers[name] is worker:
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
        self.operators.enable_second_operator(trouble.for_s)
        await asyncio.sleep(trouble.for_s)

    async def _crowd(self, trouble):
        """Let misbehaving clients come to a machine, which is in trouble until CHOKED_S later."""
        machine = self.site.machines[trouble.target]
        period = self.begin_trouble(machine.name)
        crowd = KINDS_BY_ROLE[machine.role][trouble.how].crowd(machine)
        crowd.start()
        await asyncio.sleep(trouble.for_s)
        self.crowd_connections += crowd.opened
        await crowd.close()
        await asyncio.sleep(CHOKED_S)
        self.end_trouble(period)

"""Run one soak test: a site of real processes under traffic and scheduled faults, then judge it."""

import asyncio
import itertools
import random
from pathlib import Path

import attrs

from swiftdeck.bench.platform_api.site_forms import MachineLimits
from swiftdeck.bench.record import ListRecord, boot_ms
from swiftdeck.soak.addresses import LoopbackBlock
from swiftdeck.soak.final_look import FinalCheck
from swiftdeck.soak.invariants import InvariantWatch
from swiftdeck.soak.operators import Operators
from swiftdeck.soak.processes import PROGRAM, SiteProcesses
from swiftdeck.soak.resources import ResourceWatch
from swiftdeck.soak.schedule import draw_schedule
from swiftdeck.soak.site import BOUNDS, Site
from swiftdeck.soak.stalls import StallWatch
from swiftdeck.soak.stand_ins import StandIns
from swiftdeck.soak.traffic import Traffic, TrafficSize
from swiftdeck.soak.troubles import Troubles
from swiftdeck.soak.verdict import Verdict, judge

READY_TIMEOUT_S, FINAL_CHECK_TIMEOUT_S, SETTLE_S, READY_POLL_S = 40.0, 30.0, 1.0, 0.5
WATCH_INTERVAL_S, WATCHES_PER_COUNTER_READ = 0.25, 8
OPERATORS_TIMEOUT_S, STOP_TIMEOUT_S = 45.0, 4.0


@attrs.frozen
class SoakSize:
    """Size of a soak run.

    `slack` is the factor by which time bounds are widened on a busy machine. With `crowds`
    misbehaving clients come as well.
    """

    seconds: float = 60.0
    routers: int = 3
    traffic: TrafficSize = TrafficSize()
    slack: float = 1.0
    crowds: bool = False


LIMITS = {"router": MachineLimits(160, 400), "core": MachineLimits(296, 400)}
SHORT = SoakSize(seconds=7.0, traffic=TrafficSize(4.0, 4, 2), slack=2.0)


class Soak:
    """Starts the site and its surroundings, plays the schedule of troubles and judges the run."""

    def __init__(self, seed, folder, size=None, program=PROGRAM, say=print, schedule=None):
        self.seed, self.folder, self.size, self.say = seed, Path(folder), size or SoakSize(), say
        self.folder.mkdir(parents=True, exist_ok=True)
        self.items, rng = [], random.Random(seed)
        self.site = Site(LoopbackBlock(), routers=self.size.routers, limits=LIMITS)
        drawn_schedule = draw_schedule(rng.random(), self.size.seconds, self.site, self.size.crowds)
        self.schedule = schedule or drawn_schedule
        self.processes = SiteProcesses(self.site, self.folder, program)
        self.stand_ins = StandIns(self.site, self._record, rng.random())
        self.operators = Operators(self.site, self._record, rng.random(), self.stand_ins.named)
        self.traffic = Traffic(
            self._record,
            rng.random(),
            self.stand_ins.balancer.doors,
            self.operators.recent_paths,
            self.size.traffic,
        )
        self.troubles = Troubles(
            self.site,
            self.processes,
            self.stand_ins,
            self.operators,
            self._record,
            boot_ms,
            self.size.slack,
        )
        self.invariants = InvariantWatch(self.processes)
        self.stalls = StallWatch(self.troubles)
        self.resources = ResourceWatch(self.processes.by_name.values())
        self.problems, self.start_ms = [], boot_ms()

    def _record(self, source):
        return ListRecord(self.items, source, lambda: boot_ms() / 1000)

    async def run(self) -> Verdict:
        """Run the whole soak; all site processes have ended on return, also after an error."""
        self.say(f"seed {self.seed}, addresses {self.site.block.prefix}.0/24, troubles:")
        for line in self.schedule.lines():
            self.say(line)
        self.start_ms = boot_ms()
        try:
            await self._run()
        finally:
            self._report_step("stops")
            self.processes.stop_all(STOP_TIMEOUT_S)
            self.stand_ins.stop()
            self.site.block.release()
        self.invariants.read_logs()
        return judge(self)

    async def _run(self):
        self.processes.start_all()
        await self.stand_ins.start()
        if not await self._is_up():
            self.problems.append("the site did not come up")
            return
        self._report_step("is up")
        self.processes.write_joining_settings()
        watch_task = asyncio.ensure_future(self._watch())
        self.resources.start()
        self.operators.start()
        self.traffic.start()
        await self.troubles.play(self.schedule)
        await self._settle_and_check()
        watch_task.cancel()
        self.resources.stop()

    def _report_step(self, step):
        self.say(f"after {(boot_ms() - self.start_ms) / 1000:.1f} s the site {step}")

    async def _is_up(self):
        """Send the first configuration; return whether all routers became ready in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        if await self.operators.configure() != 200:
            return False
        while loop.time() < end_s:
            if len(self.stand_ins.balancer.ready()) == len(self.site.routers):
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def _watch(self):
        """Poll for unexpected exits, invariant counters and stalls of this process."""
        for iteration in itertools.count():
            self.processes.note_unexpected_ends()
            if iteration % WATCHES_PER_COUNTER_READ == 0:
                counters_task = asyncio.ensure_future(self.invariants.collect_counters())
                counters_task.add_done_callback(lambda task: task.cancelled() or task.exception())
            await self.stalls.sleep(WATCH_INTERVAL_S)

    async def _settle_and_check(self):
        """Keep traffic on the last configuration, then end it and run the final check."""
        self._report_step("is calm")
        if not await self.operators.finish(OPERATORS_TIMEOUT_S):
            self.problems.append("an operator had no answer for long")
        await asyncio.sleep(self.size.slack * BOUNDS.apply_within_ms / 1000 + SETTLE_S)
        self._report_step("gets no more requests")
        self._record("clients")("trafficEnds", workers=self.stand_ins.staying_workers())
        if not await self.traffic.finish():
            self.problems.append("requests stayed open past their timeouts")
        self._report_step("is looked at")
        check = FinalCheck(self.site, self.stand_ins, self.operators, self.items)
        self.problems += await check.problems_after(FINAL_CHECK_TIMEOUT_S)
        await self.operators.configuration_operators[0].read()
        await self.invariants.collect_counters()
        self.processes.note_unexpected_ends()

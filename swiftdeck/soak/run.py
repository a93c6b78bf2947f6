"""One soak: a site of real processes, its traffic and its troubles, and the verdict over them."""

import asyncio
import itertools
import random
from pathlib import Path

import attrs

from swiftdeck.bench.record import ListRecord, boot_ms
from swiftdeck.soak.addresses import LoopbackBlock
from swiftdeck.soak.final_look import FinalLook
from swiftdeck.soak.invariants import InvariantWatch
from swiftdeck.soak.operators import Operators
from swiftdeck.soak.processes import PROGRAM, SiteProcesses
from swiftdeck.soak.schedule import draw
from swiftdeck.soak.site import BOUNDS, Site
from swiftdeck.soak.stalls import StallWatch
from swiftdeck.soak.stand_ins import StandIns
from swiftdeck.soak.traffic import Traffic, TrafficSize
from swiftdeck.soak.troubles import Troubles
from swiftdeck.soak.verdict import Verdict, judge

READY_WITHIN_S, CALM_WITHIN_S, CALM_S, LOOK_S = 40.0, 30.0, 1.0, 0.5
WATCH_S, ASK_EVERY = 0.25, 8
OPERATORS_WITHIN_S, STOP_WITHIN_S = 45.0, 4.0


@attrs.frozen
class SoakSize:
    """How large a soak is, and how far bounds of time are widened on a busy machine."""

    seconds: float = 60.0
    routers: int = 3
    traffic: TrafficSize = TrafficSize()
    slack: float = 1.0


SHORT = SoakSize(seconds=7.0, traffic=TrafficSize(4.0, 4, 2), slack=2.0)


class Soak:
    """Starts everything, lets the troubles pass, and judges."""

    def __init__(self, seed, folder, size=None, program=PROGRAM, say=print, schedule=None):
        self.seed, self.folder, self.size, self.say = seed, Path(folder), size or SoakSize(), say
        self.folder.mkdir(parents=True, exist_ok=True)
        self.items, seeds = [], random.Random(seed)
        self.site = Site(LoopbackBlock(), routers=self.size.routers)
        drawn = draw(seeds.random(), self.size.seconds, self.site)
        self.schedule = schedule or drawn
        self.processes = SiteProcesses(self.site, self.folder, program)
        self.stand_ins = StandIns(self.site, self._record, seeds.random())
        self.operators = Operators(self.site, self._record, seeds.random(), self.stand_ins.named)
        self.traffic = Traffic(
            self._record,
            seeds.random(),
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
        self.wrong, self.start_ms = [], boot_ms()

    def _record(self, who):
        return ListRecord(self.items, who, lambda: boot_ms() / 1000)

    async def run(self) -> Verdict:
        """The whole run; all processes have ended when it returns, whatever happens."""
        self.say(f"seed {self.seed}, addresses {self.site.block.prefix}.0/24, troubles:")
        for line in self.schedule.lines():
            self.say(line)
        self.start_ms = boot_ms()
        try:
            await self._run()
        finally:
            self._say_step("stops")
            self.processes.stop_all(STOP_WITHIN_S)
            self.stand_ins.stop()
            self.site.block.release()
        self.invariants.read_logs()
        return judge(self)

    async def _run(self):
        self.processes.start_all()
        await self.stand_ins.start()
        if not await self._is_up():
            self.wrong.append("the site did not come up")
            return
        self._say_step("is up")
        self.processes.end_founding()
        watching = asyncio.ensure_future(self._watch())
        self.operators.start()
        self.traffic.start()
        await self.troubles.play(self.schedule)
        await self._calm_down()
        watching.cancel()

    def _say_step(self, what):
        self.say(f"after {(boot_ms() - self.start_ms) / 1000:.1f} s the site {what}")

    async def _is_up(self):
        """Put the first configuration, and wait until all routers are ready."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_WITHIN_S
        if await self.operators.configure() != 200:
            return False
        while loop.time() < end_s:
            if len(self.stand_ins.balancer.ready()) == len(self.site.routers):
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def _watch(self):
        """Look after processes, invariants and this process' own pauses."""
        for turn in itertools.count():
            self.processes.watch()
            if turn % ASK_EVERY == 0:
                asking = asyncio.ensure_future(self.invariants.ask_all())
                asking.add_done_callback(lambda done: done.cancelled() or done.exception())
            await self.stalls.sleep(WATCH_S)

    async def _calm_down(self):
        """Traffic on the last configuration alone, then none, then the final look."""
        self._say_step("is calm")
        if not await self.operators.finish(OPERATORS_WITHIN_S):
            self.wrong.append("an operator had no answer for long")
        await asyncio.sleep(self.size.slack * BOUNDS.apply_within_ms / 1000 + CALM_S)
        self._say_step("gets no more requests")
        self._record("clients")("trafficEnds", workers=self.stand_ins.staying_workers())
        if not await self.traffic.finish():
            self.wrong.append("requests stayed open past their timeouts")
        self._say_step("is looked at")
        look = FinalLook(self.site, self.stand_ins, self.operators, self.items)
        self.wrong += await look.wrong_after(CALM_WITHIN_S)
        await self.operators.changers[0].read()
        await self.invariants.ask_all()
        self.processes.watch()

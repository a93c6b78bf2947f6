"""A core process: a chain member and voter, with the HTTP API for operators."""

import asyncio
from collections import Counter

from swiftdeck.chain.agreement import Agreement
from swiftdeck.chain.chain import Chain
from swiftdeck.chain.change_writer import ChangeWriter
from swiftdeck.chain.cluster_map import ClusterMap
from swiftdeck.chain.departure import Departure
from swiftdeck.chain.view_manager import ViewManager
from swiftdeck.control.archive import Archive
from swiftdeck.control.node import Node
from swiftdeck.control.operators import OperatorHttpApi
from swiftdeck.duty.ballots import Ballots
from swiftdeck.fault import CORRUPT_RECORD, OUTCOME_UNDECIDED, is_fault
from swiftdeck.http.server import HttpServer
from swiftdeck.member.core_watch import CoreWatch

OPERATOR_BODY_FACTOR = 4
"""How much larger a body of an operator may be than one of a client."""
OPERATOR_DRAIN_S = 2.0
"""How long open requests of operators may take after the process was told to stop."""


class Core(Node):
    """A process that stores the control state on its disk and replicates it with other cores."""

    def __init__(self, settings, folder, random, log=None):
        super().__init__(settings, "core", random, log)
        self.folder = folder
        self.agreement = Agreement(
            folder,
            self.mesh,
            settings.inner,
            random,
            settings.viewLicenceMs,
            self.telemetry,
            settings.founders,
            settings.mayFound,
        )
        self.chain = Chain(
            folder,
            self.mesh,
            self.agreement,
            self.telemetry,
            settings.configLicenceMs,
            ack_wait_ms=settings.ackWaitMs,
            losses_borne=settings.lossesBorne,
            keepMs=settings.claimKeepMs,
            claimsMost=settings.claimsMost,
        )
        self.core_watch = CoreWatch(self.me, self.membership)
        self.chain.core_calm_ms = self.core_watch.calm_ms
        self.ballots = Ballots(self.mesh, self.agreement, settings.dutyLicenceMs)
        self.cluster_map = ClusterMap(self.mesh, self.membership, self.news)
        self.change_writer = ChangeWriter(self.mesh, self.cluster_map)
        self.view_manager = ViewManager(
            self.me,
            self.mesh,
            self.membership,
            self.agreement,
            self.chain,
            self.telemetry,
            random,
            settings.cores,
            losses_borne=settings.lossesBorne,
        )
        self.departure = Departure(
            self.mesh,
            self.agreement,
            self.chain,
            self.view_manager,
            self.telemetry,
            settings.lossesBorne,
        )
        folder_path = getattr(folder, "path", None)
        self.archive = (
            Archive(str(folder_path / "history"), self.chain, self.change_writer, self.telemetry)
            if folder_path and settings.archive
            else None
        )
        self.operators = OperatorHttpApi(self)
        self.http = HttpServer(
            self.operators.handle,
            settings.bodyBytes * OPERATOR_BODY_FACTOR,
            note=self.telemetry.log_event,
            streams=(b"/v1/changes",),
            limits=settings.server_limits(),
        )
        self.agreement.watchers.append(self.on_view)

    async def start(self):
        """Load the state on disk and join the fleet; return a fault if it cannot be used.

        With a corrupt agreement journal the process starts as a new core and may not found a view.
        """
        fault = await self.agreement.start()
        if is_fault(fault) and fault.code == CORRUPT_RECORD.code:
            self.telemetry.log_event("agreement damaged, begins as a new core", reason=fault.reason)
            await self.agreement.journal.rewrite([])
            self.agreement.may_found = False
            fault = await self.agreement.start()
        if is_fault(fault):
            return fault
        self.me.core_id = self.agreement.core_id
        await self.chain.start()
        self.ballots.start()
        await self.mesh.start()
        self.membership.start()
        self.core_watch.start()
        self.news.start()
        self.cluster_map.learn(self.agreement.decided)
        self.cluster_map.start()
        self.view_manager.start()
        if self.archive:
            self.archive.start()
        ip, _, port = self.settings.http.rpartition(":")
        await self.http.start(ip, int(port))
        self.telemetry.log_event(
            "core started", core_id=self.agreement.core_id, addr=self.settings.inner
        )
        return None

    def on_view(self, view):
        """Announce a new view to the fleet."""
        self.cluster_map.learn(view)
        self.news.post("view", view.number, bytes(view))

    async def stop(self):
        """Finish the requests of operators, hand over chain position and vote, then leave."""
        self.http.stop()
        await asyncio.gather(
            self.http.finish(OPERATOR_DRAIN_S, OUTCOME_UNDECIDED),
            self.departure.leave(self.settings.stopMs / 1000),
        )
        self.membership.leave()
        self.mesh.close()

    def counters(self):
        """Return all counters of the process by name."""
        return dict(Counter(super().counters()) + self.http.count)

    def status(self):
        """Return the status of this process as JSON fields, for operators and the diagnosis."""
        view, chain = self.agreement.decided, self.chain
        return {
            "name": self.me.name,
            "role": "core",
            "zone": self.me.zone,
            "coreId": self.agreement.core_id,
            "view": {
                "number": view.number,
                "members": [ref.addr for ref in view.members],
                "voters": [ref.addr for ref in view.voters],
            },
            "position": self.agreement.position(),
            "mayServe": self.agreement.may_serve(),
            "whole": chain.is_whole(),
            "serial": chain.serial,
            "version": chain.state.stored.version,
            "trouble": self.agreement.trouble(),
            "diskFreeBytes": self.folder.free_bytes(),
            "logBytes": chain.journal.size,
            "claims": len(chain.state.stored.claims),
            "claimsMost": self.settings.claimsMost,
            "shared": self.settings.shared(),
            "licences": len(chain.leases.holders),
            "clockMs": self.clockMs(),
            "tasks": self.task_count(),
            "neighbours": self.neighbours(),
            "seeds": self.membership.seeds,
            "counters": self.counters(),
        }

"""HTTP API of a core for the platform's operator."""

import asyncio

import msgspec

from swiftdeck.chain.state import invalid_by_itself
from swiftdeck.fault import (
    BAD_METHOD,
    BAD_REQUEST,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    NO_BODY_MEMORY,
    NO_VIEW,
    OUTCOME_UNDECIDED,
    PEER_TIMEOUT,
    TOO_LARGE,
    VERSION_CONFLICT,
    is_fault,
)
from swiftdeck.platform import configs
from swiftdeck.wire.messages import ConfigAsk

CONFIG_PATH, WEIGHTS_PATH = "/swiftdeck/config", "/swiftdeck/version-put"
BASE_HEADER = "if-match"
STATUS_BY_FAULT_CODE = {
    VERSION_CONFLICT.code: 412,
    INVALID_CONFIG.code: 400,
    BAD_REQUEST.code: 400,
    BAD_METHOD.code: 405,
    TOO_LARGE.code: 413,
}
MAX_BASE_DIGITS, ANSWER_WITHIN_MS = 15, 850
MAX_PENDING_WRITES = 256
RETRY_AFTER_S = "0.3"


class OperatorApi:
    """Serves the platform operator's paths and passes all other paths to the core's own API."""

    def __init__(self, core):
        self.core, self.pending_writes = core, {}

    async def handle(self, exchange):
        """Answer one HTTP exchange."""
        path, method = exchange.path.rstrip("/"), exchange.method
        if path not in (CONFIG_PATH, WEIGHTS_PATH):
            return await self.core.operators.handle(exchange)
        self.core.telemetry.count["operatorExchanges"] += 1
        if path == CONFIG_PATH and method == "GET":
            return await self._show(exchange)
        if method not in (("PUT", "PATCH") if path == CONFIG_PATH else ("POST",)):
            return await self._refuse(exchange, BAD_METHOD)
        id_and_change = self._parse(exchange, path)
        outcome = (
            id_and_change
            if is_fault(id_and_change)
            else await self._outcome(exchange, *id_and_change)
        )
        if is_fault(outcome):
            return await self._refuse(exchange, outcome)
        self.core.telemetry.count["changesTaken"] += 1
        return await exchange.send_json(200, {"code": 0, "changeId": id_and_change[0]})

    def _parse(self, exchange, path):
        """Return the change id and the change that a request asks for, or a fault."""
        fault = exchange.reserve_decoding(exchange.body)
        if fault is not None:
            return fault
        if path == WEIGHTS_PATH:
            return configs.parse_weights(exchange.body)
        return self._parse_change(exchange)

    def _parse_change(self, exchange):
        base = exchange.headers.get(BASE_HEADER, "").strip().strip('"')
        if not (base.isascii() and base.isdecimal()) or len(base) > MAX_BASE_DIGITS:
            return BAD_REQUEST.with_reason("If-Match is the number that the change builds on")
        return (configs.parse_whole if exchange.method == "PUT" else configs.parse_items)(
            exchange.body, int(base)
        )

    async def _outcome(self, exchange, change_id, change):
        """Return the outcome of a change, or a fault when it is undecided in time for an answer.

        The write goes on after that, and a repeat of the call joins it. A change that is invalid by
        itself gets that fault even when it is undecided. While too many writes go on, a new one is
        refused before it begins.
        """
        task = self.pending_writes.get(change_id)
        if task is None:
            if len(self.pending_writes) >= MAX_PENDING_WRITES:
                return NO_BODY_MEMORY
            task = self._begin_write(exchange, change_id, change)
        await asyncio.wait([task], timeout=ANSWER_WITHIN_MS / 1000)
        outcome = task.result() if task.done() else OUTCOME_UNDECIDED.with_reason(change_id)
        is_undecided = is_fault(outcome) and outcome.code not in STATUS_BY_FAULT_CODE
        fault = invalid_by_itself(change) if is_undecided else None
        return outcome if fault is None else fault

    def _begin_write(self, exchange, change_id, change):
        """Start the task that writes a change, and leave it the memory of the request."""
        task = asyncio.ensure_future(self._write(change_id, change))
        self.pending_writes[change_id] = task
        exchange.hand_over_memory(task)
        task.add_done_callback(lambda _: self._end_write(task, change_id))
        return task

    def _end_write(self, task, change_id):
        self.pending_writes.pop(change_id)
        self.core.http.body_memory.release(task)

    async def _write(self, change_id, change):
        outcome = await self.core.change_writer.write(change_id, change)
        is_id_reused = is_fault(outcome) and outcome.code == CHANGE_ID_REUSED.code
        return await self.core.change_writer.outcome(change_id) if is_id_reused else outcome

    async def _show(self, exchange):
        try:
            async with asyncio.timeout(ANSWER_WITHIN_MS / 1000):
                response = await self.core.change_writer.read_tail(ConfigAsk())
        except TimeoutError:
            response = PEER_TIMEOUT
        if is_fault(response):
            return await self._refuse(exchange, response)
        return await exchange.send_json(
            200, configs.shown(msgspec.json.decode(response.document or b"{}"))
        )

    async def _refuse(self, exchange, fault):
        self.core.telemetry.count[f"faults.{fault.code}"] += 1
        status = STATUS_BY_FAULT_CODE.get(fault.code, NO_VIEW.status)
        await exchange.send_json(
            status,
            fault.as_body(),
            [] if fault.code in STATUS_BY_FAULT_CODE else [("retry-after", RETRY_AFTER_S)],
        )

"""The platform's operator at a core: its calls in, the chain's outcomes out."""

import asyncio

import msgspec

from swiftdeck.chain.state import invalid_by_itself
from swiftdeck.fault import (
    BAD_METHOD,
    BAD_REQUEST,
    CHANGE_ID_REUSED,
    INVALID_CONFIG,
    NO_VIEW,
    OUTCOME_UNDECIDED,
    PEER_TIMEOUT,
    VERSION_CONFLICT,
    is_fault,
)
from swiftdeck.platform import configs
from swiftdeck.wire.messages import ConfigAsk

CONFIG_PATH, WEIGHTS_PATH = "/swiftdeck/config", "/swiftdeck/version-put"
BASE_HEADER = "if-match"
STATUSES = {
    VERSION_CONFLICT.code: 412,
    INVALID_CONFIG.code: 400,
    BAD_REQUEST.code: 400,
    BAD_METHOD.code: 405,
}
BASE_DIGITS, ANSWER_WITHIN_MS = 15, 850
WAIT_S = "0.3"


class OperatorApi:
    """Answers the platform's operator, and leaves all other paths to the operators' own API."""

    def __init__(self, core):
        self.core, self.under_way = core, {}

    async def handle(self, exchange):
        """One exchange with an operator."""
        path, method = exchange.path.rstrip("/"), exchange.method
        if path not in (CONFIG_PATH, WEIGHTS_PATH):
            return await self.core.operators.handle(exchange)
        self.core.telemetry.count["operatorExchanges"] += 1
        if path == CONFIG_PATH and method == "GET":
            return await self._show(exchange)
        if method not in (("PUT", "PATCH") if path == CONFIG_PATH else ("POST",)):
            return await self._refuse(exchange, BAD_METHOD)
        asked = configs.weights(exchange.body) if path == WEIGHTS_PATH else self._asked(exchange)
        got = asked if is_fault(asked) else await self._outcome(*asked)
        if is_fault(got):
            return await self._refuse(exchange, got)
        self.core.telemetry.count["changesTaken"] += 1
        return await exchange.send_json(200, {"code": 0, "changeId": asked[0]})

    def _asked(self, exchange):
        base = exchange.headers.get(BASE_HEADER, "").strip().strip('"')
        if not (base.isascii() and base.isdecimal()) or len(base) > BASE_DIGITS:
            return BAD_REQUEST.with_reason("If-Match is the number that the change builds on")
        return (configs.whole if exchange.method == "PUT" else configs.items)(
            exchange.body, int(base)
        )

    async def _outcome(self, change_id, change):
        """What is known of a change in time for an answer; it goes on where that isn't its end."""
        task = self.under_way.get(change_id)
        if task is None:
            task = self.under_way[change_id] = asyncio.ensure_future(self._write(change_id, change))
            task.add_done_callback(lambda _: self.under_way.pop(change_id))
        await asyncio.wait([task], timeout=ANSWER_WITHIN_MS / 1000)
        got = task.result() if task.done() else OUTCOME_UNDECIDED.with_reason(change_id)
        is_open = is_fault(got) and got.code not in STATUSES
        fault = invalid_by_itself(change) if is_open else None
        return got if fault is None else fault

    async def _write(self, change_id, change):
        got = await self.core.change_writer.write(change_id, change)
        is_other = is_fault(got) and got.code == CHANGE_ID_REUSED.code
        return await self.core.change_writer.outcome(change_id) if is_other else got

    async def _show(self, exchange):
        try:
            async with asyncio.timeout(ANSWER_WITHIN_MS / 1000):
                got = await self.core.change_writer.read_tail(ConfigAsk())
        except TimeoutError:
            got = PEER_TIMEOUT
        if is_fault(got):
            return await self._refuse(exchange, got)
        return await exchange.send_json(
            200, configs.shown(msgspec.json.decode(got.document or b"{}"))
        )

    async def _refuse(self, exchange, fault):
        self.core.telemetry.count[f"faults.{fault.code}"] += 1
        status = STATUSES.get(fault.code, NO_VIEW.status)
        await exchange.send_json(
            status, fault.as_body(), [] if fault.code in STATUSES else [("retry-after", WAIT_S)]
        )

"""Orders the platform's workers to load new weights."""

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import WorkerReport
from swiftdeck.http.client import fetch_json
from swiftdeck.platform.header_codec import EXPECTED_WORKER

ORDER_PATH, REPORT_PATH, WAIT_METHOD = "/swiftdeck/order", "/swiftdeck/report", "wait"
EXPECTED_COUNT_FIELD, ORDER_COUNT_FIELD = "expected-count", "call-count"
TIMEOUT_MS = 800


class PlatformOrders:
    """Orders workers to load weights once their runs have ended, and reads their reports."""

    async def order(
        self,
        addr: str,
        model: str,
        version: int,
        owner: str,
        fence: int,
        worker: str = "",
        expected_count: int | None = None,
    ):
        """Send an order and return its HTTP status, or a fault.

        After a fault the worker may still accept the order, now or later. An order that names its
        worker and an expected count of orders is refused once the worker accepted another one.
        """
        body = {
            "operation": "version",
            "model": model,
            "version": version,
            "method": WAIT_METHOD,
            "owner": owner,
            "fence": fence,
        }
        if expected_count is not None:
            body[EXPECTED_COUNT_FIELD] = expected_count
        headers = [(EXPECTED_WORKER.decode(), worker)] if worker else []
        response = await fetch_json(addr, "POST", ORDER_PATH, body, headers, timeoutMs=TIMEOUT_MS)
        return response if is_fault(response) else response[0]

    async def report(self, addr: str):
        """Return the WorkerReport of the worker at `addr`, or a fault."""
        response = await fetch_json(addr, "GET", REPORT_PATH, timeoutMs=TIMEOUT_MS)
        if is_fault(response) or response[0] != 200 or not isinstance(response[1], dict):
            return (
                response
                if is_fault(response)
                else BAD_BACKEND_RESPONSE.with_reason("report can't be read")
            )
        models = [
            model
            for model in response[1].get("models") or ()
            if isinstance(model, dict) and isinstance(model.get("version"), int)
        ]
        versions = {model.get("name"): model["version"] for model in models}
        order_count = response[1].get(ORDER_COUNT_FIELD)
        has_order_count = isinstance(order_count, int) and not isinstance(order_count, bool)
        return WorkerReport(
            versions, bool(response[1].get("busy")), order_count if has_order_count else None
        )

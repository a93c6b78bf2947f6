"""Orders to the platform's workers to take new weights."""

from swiftdeck.fault import BAD_BACKEND_RESPONSE, is_fault
from swiftdeck.gateway.interfaces import WorkerReport
from swiftdeck.http.client import fetch_json
from swiftdeck.platform.header_codec import EXPECTED_WORKER

ORDER, REPORT, METHOD = "/swiftdeck/order", "/swiftdeck/report", "wait"
EXPECTED_COUNT, ORDER_COUNT = "expected-count", "call-count"
TIMEOUT_MS = 800


class PlatformOrders:
    """Tells a worker to take weights once its runs have ended, and asks it what it has."""

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
        """The status of the order, or a fault; with a fault it may be taken, now or later.

        One that names its worker and a count of orders is refused once another one was taken.
        """
        body = {
            "operation": "version",
            "model": model,
            "version": version,
            "method": METHOD,
            "owner": owner,
            "fence": fence,
        }
        if expected_count is not None:
            body[EXPECTED_COUNT] = expected_count
        headers = [(EXPECTED_WORKER.decode(), worker)] if worker else []
        got = await fetch_json(addr, "POST", ORDER, body, headers, timeoutMs=TIMEOUT_MS)
        return got if is_fault(got) else got[0]

    async def report(self, addr: str):
        """The worker's report, or a fault."""
        got = await fetch_json(addr, "GET", REPORT, timeoutMs=TIMEOUT_MS)
        if is_fault(got) or got[0] != 200 or not isinstance(got[1], dict):
            return (
                got if is_fault(got) else BAD_BACKEND_RESPONSE.with_reason("report can't be read")
            )
        models = [
            each
            for each in got[1].get("models") or ()
            if isinstance(each, dict) and isinstance(each.get("version"), int)
        ]
        versions = {each.get("name"): each["version"] for each in models}
        count = got[1].get(ORDER_COUNT)
        is_count = isinstance(count, int) and not isinstance(count, bool)
        return WorkerReport(versions, bool(got[1].get("busy")), count if is_count else None)

"""Orders to the platform's workers to take new weights."""

from swiftdeck.fault import BAD_RETURN, is_fault
from swiftdeck.http.client import fetch_json

ORDER, REPORT, METHOD = "/swiftdeck/order", "/swiftdeck/report", "wait"


class PlatformOrders:
    """Tells a worker to take weights once its runs have ended, and asks it what it has."""

    async def order(self, addr: str, model: str, version: int, owner: str, fence: int):
        """The status of the order, or a fault; with a fault it may have been taken."""
        got = await fetch_json(
            addr,
            "POST",
            ORDER,
            {
                "operation": "version",
                "model": model,
                "version": version,
                "method": METHOD,
                "owner": owner,
                "fence": fence,
            },
            timeoutMs=800,
        )
        return got if is_fault(got) else got[0]

    async def versions(self, addr: str):
        """(Versions by model, whether an order is under way), or a fault."""
        got = await fetch_json(addr, "GET", REPORT, timeoutMs=800)
        if is_fault(got) or got[0] != 200 or not isinstance(got[1], dict):
            return got if is_fault(got) else BAD_RETURN.because("report can't be read")
        models = [
            each
            for each in got[1].get("models") or ()
            if isinstance(each, dict) and isinstance(each.get("version"), int)
        ]
        return {each.get("name"): each["version"] for each in models}, bool(got[1].get("busy"))

"""A stand-in for the platform: the list of workers, and what it says of them."""

from swiftdeck.fault import BAD_REQUEST, NOT_FOUND, is_fault
from swiftdeck.http.server import HttpServer


class Platform:
    """Keeps the list of workers and records each change of it."""

    def __init__(self, addr, record, workers):
        self.addr, self.record = addr, record
        self.workers, self.is_shown = {worker["name"]: worker for worker in workers}, False
        self.http = HttpServer(self.handle)

    async def start(self):
        """Listen."""
        ip, _, port = self.addr.rpartition(":")
        await self.http.start(ip, int(port))

    def _note(self):
        self.is_shown = False

    def _show(self):
        """A change counts from when the list first showed it to somebody."""
        if not self.is_shown:
            self.is_shown = True
            self.record("list", workers=list(self.workers.values()))

    def drain(self, name, is_draining=True):
        """Show a worker as draining, or not any more."""
        self.workers[name] = self.workers[name] | {"draining": is_draining}
        self._note()

    def remove(self, name):
        """Take a worker off the list."""
        self.workers.pop(name, None)
        self._note()

    def add(self, worker):
        """Put a worker on the list."""
        self.workers[worker["name"]] = worker
        self._note()

    async def handle(self, exchange):
        """One exchange of the platform's protocol, and of the bench with it."""
        if exchange.path == "/v1/workers" and exchange.method == "GET":
            self._show()
            return await exchange.send_json(200, {"workers": list(self.workers.values())})
        body = exchange.json()
        if is_fault(body) or not isinstance(body, dict):
            return BAD_REQUEST
        if exchange.path == "/v1/drain":
            self.drain(body["name"], body.get("draining", True))
        elif exchange.path == "/v1/remove":
            self.remove(body["name"])
        elif exchange.path == "/v1/add":
            self.add(body)
        else:
            return NOT_FOUND
        return await exchange.send_json(200, {})

"""Operators of a simulated run: changes, races between them, and reads."""

from swiftdeck.config.document import key_digest
from swiftdeck.http.client import fetch_json
from swiftdeck.sim.faults.injector import FaultGroup

CHANGE_TIMEOUT_MS, READ_TIMEOUT_MS = 14000, 5000
DECIDED_STATUSES = (200, 409, 422)
GROWN_ROUTES = 400


class SimOperator:
    """An operator whose changes and reads go to a random core and are recorded."""

    def __init__(self, injector):
        self.injector, self.cluster, self.random = injector, injector.cluster, injector.random

    def cap_change(self):
        """Return a change of the cap of the site's model."""
        return {"models": {self.cluster.site.model: {"cap": self.random.randint(2, 8)}}}

    def line_change(self):
        """Return a change of the maximum queue length of the site's model."""
        return {"models": {self.cluster.site.model: {"lineMax": self.random.randint(20, 90)}}}

    def patch(self, document, on_success=lambda: None, name=None):
        """Send a merge patch based on the newest known version, and record the response.

        It goes to the core `name` or to a random one; `on_success` is called on status 200.
        """
        cluster = self.cluster
        name, base = name or self.injector.pick(cluster.core_names()), cluster.version
        if name is None:
            return
        change_id = f"storm-{len(cluster.records)}-{self.random.getrandbits(32)}"
        sent_ms = self._now_ms()

        async def send():
            path, headers = f"/v1/config?base={base}", [("change-id", change_id)]
            addr = cluster.addresses[name]["http"]
            answer = await fetch_json(addr, "PATCH", path, document, headers, CHANGE_TIMEOUT_MS)
            status, body = answer or (0, {"changeId": change_id})
            if status == 200:
                cluster.version = max(cluster.version, body["version"])
                on_success()
            cluster.record("operator")(
                "change",
                method="PATCH",
                base=base,
                document=document,
                status=status,
                answer=body,
                askedMs=sent_ms,
            )

        cluster.spawn(send)

    def read(self):
        """Read the configuration from a random core, and record the response."""
        name, sent_ms = self.injector.pick(self.cluster.core_names()), self._now_ms()
        if name is None:
            return

        async def send():
            addr = self.cluster.addresses[name]["http"]
            answer = await fetch_json(addr, "GET", "/v1/config", timeoutMs=READ_TIMEOUT_MS)
            self._record_read(answer, sent_ms)

        self.cluster.spawn(send)

    def read_back(self):
        """Query the outcome of each undecided change, then read the whole configuration."""
        cluster = self.cluster
        cluster.record("operator")("dayEnds")
        changes = [item for item in cluster.records if item["kind"] == "change"]
        known = {item["answer"].get("changeId") for item in changes if item["status"] == 200}
        for item in [change for change in changes if change["status"] not in DECIDED_STATUSES]:
            change_id = item["answer"].get("changeId", "")
            if change_id and change_id not in known:
                self._record_outcome(item, cluster.ask("GET", f"/v1/changes/{change_id}"))
        sent_ms = self._now_ms()
        self._record_read(cluster.ask("GET", "/v1/config"), sent_ms)

    def _now_ms(self):
        return int(self.cluster.world.now * 1000)

    def _record_outcome(self, change, answer):
        """Complete the record of an undecided change that was accepted after all."""
        if answer and answer[0] == 200:
            change |= {
                "status": 200,
                "answer": answer[1],
                "atMs": self._now_ms(),
                "settled": True,
            }

    def _record_read(self, answer, sent_ms):
        status, body = answer or (0, {})
        is_good = status == 200
        self.cluster.record("operator")(
            "read",
            status=status,
            version=body["version"] if is_good else 0,
            askedMs=sent_ms,
            **({"document": body["document"]} if is_good else {}),
        )


class OperatorFaults(FaultGroup):
    """Changes that race, are invalid, or are sent to both sides of a cut."""

    def __init__(self, injector, operator):
        super().__init__(injector, operator)
        self.key_count = 0

    def patch(self):
        """Change the cap of the site's model."""
        self.operator.patch(self.operator.cap_change())

    def race(self):
        """Send three changes at once, of which at most one can become the next version."""
        for _ in range(3):
            self.patch()

    def invalid(self):
        """Send a change that all cores must reject: a route to a model that doesn't exist."""
        document = {
            "tenants": {"nobody": {"keys": ["sha256:" + "0" * 64]}},
            "routes": {"check": {"model": "nobody"}},
        }
        self.operator.patch(document)

    def rekey(self):
        """Replace a tenant's key; its callers use the new one once the change is accepted."""
        cluster, tenant = self.cluster, self.injector.pick(self.cluster.site.keys)
        self.key_count += 1
        key = f"key-{tenant}-{self.key_count}"
        self.operator.patch(
            {"tenants": {tenant: {"keys": [key_digest(key)]}}},
            lambda: cluster.caller.keys.update({tenant: key}),
        )
        self.injector.log(f"rekey {tenant}")

    def turn_tenant(self):
        """Isolate a tenant that is not isolated from the start, or let it share prefixes again."""
        site = self.cluster.site
        tenant = self.injector.pick([name for name in site.keys if name != site.apart])
        is_isolated = self.random.random() < 0.5
        self.operator.patch({"tenants": {tenant: {"apart": is_isolated}}})
        self.injector.log(f"turn {tenant}: isolated {is_isolated}")

    def route(self):
        """Add a route, or remove one that an earlier change added."""
        added = [
            name
            for item in self.cluster.records
            if item["kind"] == "change" and item["status"] == 200
            for name, route in (item["document"].get("routes") or {}).items()
            if route and name.startswith("extra-")
        ]
        if added and self.random.random() < 0.5:
            self.operator.patch({"routes": {self.random.choice(added): None}})
        else:
            name = f"extra-{len(self.cluster.records)}"
            self.operator.patch({"routes": {name: {"model": self.cluster.site.model}}})

    def grow(self):
        """Add some hundred routes in one change."""
        prefix, route = len(self.injector.trace), {"model": self.cluster.site.model}
        routes = {f"grown-{prefix}-{number}": route for number in range(GROWN_ROUTES)}
        self.operator.patch({"routes": routes})

    def new_weights(self):
        """Set new weights for the site's model, or at times roll back to the previous ones."""
        number = int(self.injector.weights[1:])
        is_rollback = number > 2 and self.random.random() < 0.25
        weights = f"w{number - 1}" if is_rollback else f"w{number + 1}"
        self.injector.weights = weights
        self.operator.patch({"models": {self.cluster.site.model: {"weights": weights}}})
        self.injector.log(f"weights {weights}")

    def write_both_sides(self):
        """Cut one core and half of the routers off, and send a change to each side."""
        names = self.cluster.core_names()
        if not self.injector.all_cores_run():
            return
        core = self.injector.pick(names)
        routers = self.cluster.router_names()
        minority = [core, *self.random.sample(routers, len(routers) // 2)]
        self.injector.cut([self.injector.address(name) for name in minority], True)
        for name in (core, next(name for name in names if name != core)):
            self.operator.patch(self.operator.cap_change(), name=name)

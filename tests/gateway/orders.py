"""Operators that lose answers and send again, on a site whose cores are broken meanwhile, and what must hold for their orders."""

import asyncio

import attrs
import msgspec

from swiftdeck.http.client import fetch_json
from swiftdeck.platform import configs
from swiftdeck.platform.operator_api import CONFIG_PATH
from tests.gateway.platform_cluster import PlatformCluster, document, route

TAKEN, VERSION_CONFLICT, INVALID, TRY_AGAIN = 200, 412, 400, 503
FINAL = (200, 400, 409, 412, 413, 422)
ANSWER_MS = 1000


@attrs.define
class Answer:
    """What a core said to one sending of an order, whether or not it reached the operator."""

    sent_ms: int
    told_ms: int
    door: str
    status: int
    retry_after: bool


@attrs.define(eq=False)
class Order:
    """One change of an operator: the same bytes each time it is sent."""

    method: str
    body: dict
    base: int
    number: int
    is_bad: bool = False
    is_given_up: bool = False
    answers: list = attrs.Factory(list)

    def change_id(self):
        """The id that a core gives it."""
        read = configs.parse_whole if self.method == "PUT" else configs.parse_items
        return read(msgspec.json.encode(self.body), self.base)[0]

    def statuses(self):
        """All that was said about it."""
        return {answer.status for answer in self.answers}


class OrderCluster(PlatformCluster):
    """A small site, and what operators sent to it and were told."""

    def __init__(self, seed=1, cores=3, routers=1):
        super().__init__(seed, routers=routers, cores=cores, models=1, apps=1)
        self.orders, self.reads, self.lost_share = [], [], 0.0
        self.order_rng = self.rng()

    def patch(self, number, base, name=None):
        """An order that adds a route."""
        name = name or f"r-{number}-{len(self.orders)}"
        put = {"routes": [route(name, f"/{name}/", "app")]}
        return self._noted(Order("PATCH", {"version": number, "put-items": put}, base, number))

    def put(self, number, base, **more):
        """An order that brings a whole configuration."""
        return self._noted(Order("PUT", document() | {"version": number} | more, base, number))

    def bad(self, method, body, base):
        """An order that is invalid."""
        return self._noted(Order(method, body, base, 0, is_bad=True))

    def _noted(self, order):
        self.orders.append(order)
        return order

    async def sending(self, order, door):
        """Send an order to a core once; gives the status that reaches the operator, 0 for none."""
        sent_ms, addr = self.now_ms(), f"{self.machines[door]}:8080"
        headers = [("If-Match", str(order.base))]
        got = await fetch_json(addr, order.method, CONFIG_PATH, order.body, headers, ANSWER_MS)
        if not got:
            return 0
        says_when = "retryAfterMs" in got[1] if isinstance(got[1], dict) else False
        order.answers.append(Answer(sent_ms, self.now_ms(), door, got[0], says_when))
        return 0 if self.order_rng.random() < self.lost_share else got[0]

    def send(self, order, door):
        """Send an order to a core once, to its end."""
        return self.operate(lambda: self.sending(order, door))

    async def sending_to_all(self, order):
        """Send an order to all running cores at once; gives the statuses that reach the operator."""
        return await asyncio.gather(*(self.sending(order, door) for door in self.cores()))

    async def insisting(self, order, limit_s=60.0, at_all=False):
        """Send an order again and again, to one core after the other or to all at once, until it has a final answer."""
        loop, pause_s = asyncio.get_running_loop(), 0.1
        end_s = loop.time() + limit_s
        while loop.time() < end_s:
            if at_all:
                got = await self.sending_to_all(order)
            else:
                doors = [name for name in self.machines if name.startswith("core")]
                got = [await self.sending(order, self.order_rng.choice(doors))]
            final = [status for status in got if status in FINAL]
            if final:
                return final[0]
            await asyncio.sleep(pause_s * self.order_rng.uniform(0.5, 1.0))
            pause_s = min(1.0, pause_s * 1.5)
        return 0

    async def reading(self, door):
        """Read the configuration at a core once; gives its number, or None."""
        sent_ms, addr = self.now_ms(), f"{self.machines[door]}:8080"
        got = await fetch_json(addr, "GET", CONFIG_PATH, timeoutMs=ANSWER_MS)
        if not got or got[0] != 200:
            return None
        self.reads.append((sent_ms, door, got[1]["version"]))
        return got[1]["version"]

    def read(self, door):
        """Read the configuration at a core once, to its end."""
        return self.operate(lambda: self.reading(door))

    def member(self, position):
        """The name of the core at a place of the view, -1 for the tail."""
        members = self.up[self.head()].agreement.decided.members
        ip = members[position].addr.rpartition(":")[0]
        return next(name for name, addr in self.machines.items() if addr == ip)

    def sides(self, name, others="all"):
        """The address of a machine, and those of the others of a kind."""
        ips = [
            ip
            for each, ip in self.machines.items()
            if each != name and (others == "all" or each.startswith(others))
        ]
        return [self.machines[name]], ips

    def cut(self, name, others="all", way="both"):
        """Cut a machine off from others of a kind: both ways, or what goes `in` to it, or `out` of it; gives the pairs."""
        own, ips = self.sides(name, others)
        pairs = {"both": (own, ips, True), "out": (own, ips, False), "in": (ips, own, False)}[way]
        return self.world.net.cut(*pairs)

    def settle(self, limit_s=30.0):
        """Let the cores come to rest: one view, all members of it with the same entries."""
        assert self.world.run(until=self.is_settled, limit_s=limit_s), "cores do not settle"

    def is_settled(self):
        """Whether all cores are members of one view, whole and with the same entries."""
        cores = [self.up[name] for name in self.cores()]
        return (
            len(cores) == sum(name.startswith("core") for name in self.machines)
            and len({core.agreement.decided.number for core in cores}) == 1
            and len({core.chain.serial for core in cores}) == 1
            and all(core.chain.is_whole() and core.agreement.may_serve() for core in cores)
        )

    def taken(self):
        """Ids of all orders that the chain has taken."""
        find = self.up[self.member(-1)].chain.state.outcomes.find
        ids = {order.change_id() for order in self.orders if not order.is_bad}
        return {change_id for change_id in ids if find(change_id)}

    def wrong(self):
        """What is wrong with the answers, judged when the cores have settled."""
        taken, found, by_base = self.taken(), [], {}
        for order in self.orders:
            said = order.statuses()
            refused = said & set(FINAL) - {TAKEN}
            if order.is_bad:
                found += [f"invalid {order.body} was acknowledged"] * (TAKEN in said)
                continue
            is_taken = order.change_id() in taken
            found += [f"{order.number} on {order.base} lost"] * (TAKEN in said and not is_taken)
            found += [f"{order.number} on {order.base} refused, in force"] * (
                bool(refused) and is_taken
            )
            if is_taken:
                by_base.setdefault(order.base, set()).add(order.change_id())
        found += [
            f"{order.number} on {order.base} was refused for a change that never was"
            for order in self.orders
            if VERSION_CONFLICT in order.statuses() and order.base not in by_base
        ]
        found += [f"{len(ids)} taken on {base}" for base, ids in by_base.items() if len(ids) > 1]
        return found + self._old_reads()

    def _old_reads(self):
        told = [
            (min(a.told_ms for a in order.answers if a.status == TAKEN), order.number)
            for order in self.orders
            if TAKEN in order.statuses()
        ]
        return [
            f"{door} showed {number} at {sent_ms}, {newest} was acknowledged"
            for sent_ms, door, number in self.reads
            for newest in [max((told_n for at, told_n in told if at <= sent_ms), default=0)]
            if number < newest
        ]

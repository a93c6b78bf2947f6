"""What stands in for a mechanism that is taken out, each with the signature of what it replaces."""

import asyncio
import json
from collections import deque

import attrs

from swiftdeck.chain.chain import Chain
from swiftdeck.chain.state import ChainState
from swiftdeck.fault import NO_LEASE, QUEUE_TIMEOUT, STALE_VIEW
from swiftdeck.traffic.call import Call
from swiftdeck.traffic.lease import ConfigLease
from swiftdeck.traffic.ledger import NextAction, next_action
from swiftdeck.wire.messages import CallRenewalReturn, GrantAsk


def claimed(self, key, run, digest):
    done = self.loop.create_future()
    done.set_result(True)
    return done


def believes(self, line, expected):
    return (
        json.loads(line[5:])
        if line.strip().startswith(b'data: {"')
        else {"run": self.run_id(), "seq": expected, "text": "?"}
    )


def loses_nothing(**fields):
    return CallRenewalReturn(**fields | {"lost": []})


async def gathers_nothing(self, addr, term):
    return True


def serves(self):
    return self.decided.number > 0


def adds_last(self, waiting):
    self.tenants[waiting.tenant] = deque([waiting])


def takes_first_tenant(self):
    tenant = next(iter(self.tenants))
    first = self.tenants[tenant].popleft()
    if not self.tenants[tenant]:
        del self.tenants[tenant]
    return first


async def syncs_nothing(self):
    return None


async def copies_nothing_from_behind(self, addr, above=-1, copy_from=Chain._copy_state_from):
    return STALE_VIEW if above >= 0 else await copy_from(self, addr)


class Endless:
    """Pieces that outlive their attempt."""

    def __get__(self, call, kind=None):
        return call.__dict__.setdefault("kept", []) if call else self

    def __set__(self, call, pieces):
        pass


def forgets_grants(**fields):
    return GrantAsk(**fields | {"was_granted": False})


async def as_is(self, fault):
    return fault


async def polls(self, since_s, wait_s):
    end_s = self.loop.time() + wait_s
    while not self.coordinator.is_ready() and self.loop.time() < end_s:
        await asyncio.sleep(0.05)
    return self.coordinator.is_ready()


def named_by_weights(**fields):
    return GrantAsk(**fields | {"talk": fields["chain"]})


def until_the_deadline(ledger, now_ms):
    move, fault = next_action(ledger, now_ms)
    return (
        (NextAction.NOMINATE, None)
        if move is NextAction.GIVE_UP and fault.notRun and now_ms < ledger.horizon_ends_ms
        else (move, fault)
    )


def waits_anew(self, router, exchange, held, tenant, route, body, start_s, init=Call.__init__):
    init(self, router, exchange, held, tenant, route, body, router.loop.time())


def keeps_its_keys(self, got, install=ConfigLease._install):
    old = self.held
    done = install(self, got)
    if old and old.tenant_by_key:
        self.held = attrs.evolve(self.held, tenant_by_key=old.tenant_by_key)
    return done


def any_base(self, change, examine=ChainState.examine):
    return examine(
        self, change | ({"base": self.stored.version} if change["t"] == "config" else {})
    )


def old_group(tenant, is_apart):
    return "shared"


def first_scope(self, document, prefix_scope=Call._prefix_scope):
    return self.scope or prefix_scope(self, document)


def holds(self):
    return self.held is not None


async def no_neighbour(self, ask):
    return NO_LEASE


def promises(self, fault):
    return QUEUE_TIMEOUT


def again(ledger, now_ms):
    move, fault = next_action(ledger, now_ms)
    last = ledger.attempts[-1] if ledger.attempts else None
    return (
        (NextAction.NOMINATE, None)
        if move is NextAction.GIVE_UP and last and last.was_sent and len(ledger.attempts) < 3
        else (move, fault)
    )

"""Cases of messages between processes that come seconds late, twice and out of order, as a cut lets them go after it heals."""

import asyncio
import random
import unittest
from unittest import mock

from swiftdeck.wire.mesh import HEAD, Mesh
from swiftdeck.wire.messages import (
    NUMBERS,
    Accept,
    CommitAsk,
    ConfigAsk,
    CopyAsk,
    Decided,
    JoinAsk,
    LeaseAsk,
    LeaseReturn,
    Nudge,
    OutcomeAsk,
    Pass,
    Prepare,
    Promise,
    Relay,
    ViewLeaseAsk,
    ViewLeaseReturn,
    Write,
)
from tests.gateway.cases.orders import OrderStorm

KINDS = (
    Accept,
    CommitAsk,
    ConfigAsk,
    CopyAsk,
    Decided,
    JoinAsk,
    LeaseAsk,
    LeaseReturn,
    Nudge,
    OutcomeAsk,
    Pass,
    Prepare,
    Promise,
    Relay,
    ViewLeaseAsk,
    ViewLeaseReturn,
    Write,
)
SHARE, LATEST_S = 0.25, 12.0


def late_copies(seed, kinds=KINDS, share=SHARE):
    """A patch under which a share of messages comes again up to twelve seconds later, some of them only then."""
    rng, numbers, take = random.Random(seed), {NUMBERS[kind] for kind in kinds}, Mesh.take

    def taken(self, frame, link):
        number, *_ = HEAD.unpack_from(frame)
        if number not in numbers or rng.random() > share:
            return take(self, frame, link)
        late_s = LATEST_S * rng.random() ** 2
        asyncio.get_running_loop().call_later(late_s, take, self, frame, link)
        return rng.random() < 0.1 or take(self, frame, link)

    return mock.patch.object(Mesh, "take", taken)


class LateMessagesCase(unittest.TestCase):
    def test_storms_with_messages_that_come_late_and_twice(self):
        for seed in (1, 2):
            with late_copies(seed):
                self.assertEqual(OrderStorm(seed, (3, 5)[seed % 2], rounds=4).found(), [], seed)

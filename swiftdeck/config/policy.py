"""Switches for the mechanisms by which a gateway decides, so that each can be measured."""

import msgspec


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The table `policy` of the settings: which mechanisms of a gateway are on.

    Mechanisms that correctness depends on have no switch.

    Attributes:
        admission: Count the tokens of open episodes against a worker's memory.
        lines: Let calls wait in a queue for a place at a worker.
        turns: Serve the tenants of a queue in turn.
        lane: Reserve some workers for short calls.
        ring: Give each shared prompt part a home worker on a hash ring.
        warmth: Prefer workers that have cached parts of the prompt.
        expectations: Count parts that a worker is reading at present as cached.
        peers: Copy cached parts from other workers.
        store: Copy cached parts from the prefix store.
        pace: Learn the speed of each worker.
        judge: Avoid a worker for some time after failures.
        sharing: Tell other routers of failed workers.
        short_first: Give short calls the higher urgency.
        patience: Allow a worker the time to read a prompt before it counts as silent.
        declines: Let the owner of a worker's slots pass a call to the next candidate while the
            worker has more to read than the router knew.
        connections: Prefer workers with an open idle connection for short calls.
    """

    admission: bool = True
    lines: bool = True
    turns: bool = True
    lane: bool = True
    ring: bool = True
    warmth: bool = True
    expectations: bool = True
    peers: bool = True
    store: bool = True
    pace: bool = True
    judge: bool = True
    sharing: bool = True
    short_first: bool = True
    patience: bool = True
    declines: bool = True
    connections: bool = True


ALL_ON = Policy()
"""All mechanisms on, the default of a fleet."""

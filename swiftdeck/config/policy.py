"""Switches of the mechanisms by which a gateway decides: each can be measured without it."""

import msgspec


class Policy(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Which mechanisms are on: the table `policy` of the settings.

    What guards a rule has no switch. `admission` counts the tokens of open episodes against a
    worker's memory, `lines` lets calls wait for a place, `turns` serves the tenants of a line in
    turn. `lane` keeps some workers for short calls, `ring` gives each shared part a place of its
    own, `warmth` prefers workers that keep parts, `expectations` counts on parts that are being
    read. `peers` and `store` are where parts are moved from, `pace` is learned of each worker,
    `judge` leaves workers alone after failures, `sharing` tells other routers of them.
    `declines` lets the owner of a book send a call to the next candidate while its worker has more
    to read than the router knew. `short_first` gives short calls the higher urgency, `patience`
    gives a worker the time to read a prompt before it counts as silent, `connections` prefers
    workers with a kept connection for short calls.
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
"""Every mechanism, as a fleet runs."""

"""Scenarios of simulated runs: the faults each draws from, and the counters they must raise."""

CONTROL = ["patch", "race", "invalid", "rekey", "route"]
SCENARIOS = {
    "workers": ["crash_worker", "vanish_worker", "freeze_worker", "drain", "quirk", "slow_links"],
    "release": ["drain", "drain", "crash_worker", "roll_workers"],
    "rolling": ["roll_nodes", "roll_nodes", "patch", "rekey"],
    "routers": ["kill_router", "kill_keeper", "kill_router", "kill_many"],
    "cores": ["kill_core", "kill_all_cores", "power_after_ack", "kill_after_fault", *CONTROL],
    "freezes": [
        "freeze",
        "freeze_busy",
        "freeze_busy",
        "freeze_keeper",
        "freeze_worker",
        "patch",
        "new_weights",
        "slow_clock",
        "jump_wall",
    ],
    "disks": [
        "lose_disk",
        "fill_disk",
        "stall_disk",
        "slow_disk",
        "power_after_ack",
        "power_before_sync",
        "power_before_sync",
        "kill_after_fault",
        *CONTROL,
    ],
    "cuts": ["cut_router", "cut_core", "one_way", "write_both_sides", "lose_datagrams", *CONTROL],
    "late": [
        "delay_messages",
        "delay_messages",
        "kill_router",
        "kill_keeper",
        "kill_core",
        "freeze",
        "cut_router",
        "cut_core",
        "drain",
        "crash_worker",
        "new_weights",
        *CONTROL,
    ],
    "addresses": ["new_address", "patch", "kill_router"],
    "operators": [
        "race",
        "invalid",
        "grow",
        "patch",
        "rekey",
        "route",
        "kill_core",
        "freeze",
        "write_both_sides",
    ],
    "weights": [
        "new_weights",
        "new_weights",
        "kill_keeper",
        "cut_router",
        "crash_worker",
        "freeze",
    ],
    "store": ["lose_store", "slow_links", "drain", "quirk"],
    "tenants": [
        "turn_tenant",
        "turn_tenant",
        "turn_tenant",
        "kill_router",
        "kill_keeper",
        "kill_core",
        "cut_router",
        "freeze",
        "drain",
    ],
    "platform": [
        "lose_platform",
        "cut_platform",
        "split_list",
        "split_list",
        "drain",
        "cut_router",
        "crash_worker",
    ],
}
SCENARIOS["mix"] = sorted(
    {name for names in SCENARIOS.values() for name in names}
    - {"new_address", "roll_nodes", "roll_workers", "delay_messages", "turn_tenant"}
)

EXPECTED_COUNTERS = {
    "workers": ["legsFailed", "moves", "faults.142"],
    "release": ["moves", "fetches"],
    "rolling": ["takeovers", "views", "copies"],
    "routers": ["takeovers", "legsReclaimed"],
    "cores": ["views", "copies", "acksHeld", "claimBatchesAgain", "slotsHandedBack"],
    "freezes": ["takeovers", "legsReclaimed", "grantsLapsed"],
    "disks": ["copies", "views", "slotsHandedBack"],
    "cuts": ["licencesRelayed", "listsFromNeighbours", "views", "acksHeld", "legsReclaimed"],
    "late": ["late.Hold", "late.AttemptEnd", "late.LeaseAsk", "late.Pass", "late.Probe", "views"],
    "addresses": ["copies", "views"],
    "operators": ["faults.200", "faults.201", "faults.101"],
    "weights": ["weightsAsked", "takeovers"],
    "store": ["fetches", "fetchesBounded"],
    "tenants": ["takeovers", "looks.113"],
    "platform": ["listsFromNeighbours", "moves", "faults.114"],
    "mix": ["faults.130", "slotsReclaimed", "waits", "budgetRefusals"],
}


def unexercised(scenario, counters):
    """Return the expected counters of a scenario that stayed at zero in all its runs."""
    return [name for name in EXPECTED_COUNTERS[scenario] if not counters.get(name)]

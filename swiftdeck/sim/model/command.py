"""The command `swiftdeck-bench model`: plays a schedule, explores, or searches at random."""

import json
from concurrent.futures import ProcessPoolExecutor
from enum import StrEnum
from typing import Annotated

import typer

from swiftdeck.sim.model.explore import explore
from swiftdeck.sim.model.run import play
from swiftdeck.sim.model.schedule import BadFaultPointError, Kind, Schedule, parse_fault_point

DEFAULT_ORDERS_S = (0.0, 0.0)
MAX_SHOWN = 20
CHUNK_SIZE = 4


class Mode(StrEnum):
    """Modes of the command."""

    PLAY = "play"
    EXPLORE = "explore"
    RANDOM = "random"


def _show_play(schedule, trace):
    outcome = play(schedule)
    if trace:
        for number, label in enumerate(outcome.labels):
            typer.echo(f"{number} {label}")
        for attempt in outcome.history.attempts:
            typer.echo(attempt)
    for fault in outcome.describe_faults():
        typer.echo(fault)
    skipped = [str(action) for action in outcome.skipped]
    figures = {"points": len(outcome.labels), "states": len(set(outcome.states))}
    figures |= {"simulatedS": round(outcome.simulated_s, 3), "skipped": skipped}
    typer.echo(json.dumps(figures | {"failed": len(outcome.faults)}))
    return bool(outcome.faults)


def _show_failed(failed):
    for played in failed[:MAX_SHOWN]:
        typer.echo(f"{played.schedule.command()}: {'; '.join(played.faults)}")


def _show_exploration(schedule, depth, max_schedules, kinds, jobs):
    with ProcessPoolExecutor(jobs) as pool:
        result = explore(
            schedule,
            depth,
            max_schedules,
            kinds,
            lambda function, schedules: pool.map(function, schedules, chunksize=CHUNK_SIZE),
        )
    _show_failed(result.failed())
    typer.echo(json.dumps(result.to_dict()))
    return bool(result.failed())


def _show_search(cores, seed, count):
    from swiftdeck.sim.model.draw import search

    result = search(cores, seed, count)
    _show_failed([result.failed] if result.failed else [])
    typer.echo(json.dumps(result.to_dict()))
    return result.failed is not None


def model(
    mode: Annotated[
        Mode, typer.Argument(help="Replay one schedule, explore all, or draw.")
    ] = Mode.EXPLORE,
    cores: Annotated[int, typer.Option(help="How many cores: 3 or 5.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of delays and drawing.")] = 1,
    order: Annotated[
        list[float] | None, typer.Option(help="Seconds until an operator begins; repeatable.")
    ] = None,
    strike: Annotated[
        list[str] | None, typer.Option(help="POINT:KIND:CORE:SECONDS; repeatable.")
    ] = None,
    cold: Annotated[bool, typer.Option(help="Points count from the founding.")] = False,
    router: Annotated[bool, typer.Option(help="Whether a router holds a lease.")] = True,
    kind: Annotated[
        list[Kind] | None, typer.Option(help="Kinds of faults to explore; all by default.")
    ] = None,
    depth: Annotated[int, typer.Option(help="Strikes of an explored schedule at most.")] = 1,
    most: Annotated[int, typer.Option(help="Schedules played on one level at most.")] = 2000,
    count: Annotated[int, typer.Option(help="Schedules that are drawn.")] = 200,
    jobs: Annotated[int, typer.Option(help="Processes side by side.")] = 1,
    trace: Annotated[bool, typer.Option(help="Show the points and attempts of a replay.")] = False,
):
    """Check the control side under schedules of faults; the status is 1 when something broke."""
    try:
        strikes = tuple(parse_fault_point(text) for text in strike or ())
    except BadFaultPointError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    schedule = Schedule(cores, seed, tuple(order or DEFAULT_ORDERS_S), strikes, cold, router)
    if mode is Mode.PLAY:
        failed = _show_play(schedule, trace)
    elif mode is Mode.EXPLORE:
        failed = _show_exploration(schedule, depth, most, tuple(kind or Kind), jobs)
    else:
        failed = _show_search(cores, seed, count)
    raise typer.Exit(int(failed))

"""The command line of the stand-ins, the measurements and the one-machine fleet."""

import asyncio
import json
import random
import signal
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import attrs
import msgspec
import typer

from swiftdeck.bench.account import read_calls, read_report, tell
from swiftdeck.bench.caller import Caller
from swiftdeck.bench.days.command import days
from swiftdeck.bench.days.errors import DaysError
from swiftdeck.bench.fleet import Fleet
from swiftdeck.bench.growth import growth
from swiftdeck.bench.long_day_shapes import SHAPES
from swiftdeck.bench.long_days import shown, write_long_day
from swiftdeck.bench.measure import MEASURES
from swiftdeck.bench.platform import Platform
from swiftdeck.bench.record import FileRecord
from swiftdeck.bench.store import Store
from swiftdeck.bench.sweep import Sweep, run_measure
from swiftdeck.bench.worker import Worker
from swiftdeck.programs.loop import BootLoop, run_until_signal
from swiftdeck.sim.faults.scenarios import SCENARIOS
from swiftdeck.sim.model.command import model
from swiftdeck.soak.run import SHORT as SHORT_SOAK
from swiftdeck.soak.run import Soak, SoakSize

GROWTH_ROUTES = [0, 1000, 5000]

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Stand-ins for callers, workers, store and platform, and a whole site on one machine.",
)
app.command()(model)
app.add_typer(days, name="days")
Address = Annotated[str, typer.Option(help="IP:PORT to listen on.")]
RecordFile = Annotated[str, typer.Option(help="File that takes what the stand-in saw.")]


def _serve(stand_in):
    async def stop():
        stand_in.http.stop()

    raise typer.Exit(run_until_signal(stand_in.start, stop))


@app.command()
def worker(
    addr: Address,
    name: str = "worker1",
    weights: str = "w1",
    store: str = "",
    speed: float = 1.0,
    room: Annotated[int, typer.Option(help="Tokens that the prefix cache holds.")] = 1_000_000,
    record: RecordFile = "/dev/null",
):
    """Run a stand-in for a model worker."""
    _serve(
        Worker(name, addr, FileRecord(record, name), random.Random(), weights, store, room, speed)
    )


@app.command()
def store(addr: Address, record: RecordFile = "/dev/null"):
    """Run a stand-in for the store of prefixes."""
    _serve(Store(addr, FileRecord(record, "store")))


@app.command()
def platform(
    addr: Address,
    workers: Annotated[str, typer.Option(help="JSON file with the list of workers.")],
    record: RecordFile = "/dev/null",
):
    """Run a stand-in for the platform."""
    _serve(Platform(addr, FileRecord(record, "platform"), json.loads(Path(workers).read_text())))


@app.command()
def caller(
    door: Annotated[
        list[str], typer.Option(help="HTTP IP:PORT of a router; may be given several times.")
    ],
    key: str,
    route: str = "check",
    turns: int = 3,
    record: RecordFile = "/dev/null",
):
    """Run one conversation of some turns, and print how many were served."""

    async def main():
        client = Caller(
            "caller", door, FileRecord(record, "caller"), random.Random(), {"tenant": key}
        )
        return await client.agent("tenant", route, turns)

    served = asyncio.run(main())
    typer.echo(f"{served} of {turns} turns served")
    raise typer.Exit(0 if served == turns else 1)


@app.command()
def fleet(
    folder: Annotated[str, typer.Option(help="Folder for data, records and logs.")],
    site: str = "hinokuni",
    seconds: Annotated[
        float, typer.Option(help="How long the traffic goes on; 0 serves until a signal.")
    ] = 60.0,
    faults: Annotated[
        bool, typer.Option(help="Kill a worker, a router, a core and the keeper.")
    ] = False,
    base_port: int = 21000,
    routers: int = 9,
    short_every_s: float = 0.8,
):
    """Run a whole site on loopback, drive its traffic, and check the records."""
    running_fleet = Fleet(folder, site, base_port, routers)
    status = 1
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with asyncio.Runner(loop_factory=BootLoop) as runner:
            status = runner.run(_run_fleet(running_fleet, seconds, faults, short_every_s))
    except KeyboardInterrupt:
        status = 0
    finally:
        running_fleet.stop_all()
    raise typer.Exit(_show_verdict(running_fleet, status) if seconds else status)


async def _run_fleet(running_fleet, seconds, faults, short_every_s):
    """Start a fleet and drive its traffic, or serve until cancelled; return the exit status."""
    running_fleet.start_all()
    response = await running_fleet.configure()
    typer.echo(f"configured: {response}")
    if response is None:
        return 1
    if not seconds:
        typer.echo(
            f"serving: core {running_fleet.site.cores[0]['http']}, "
            f"router {running_fleet.site.routers[0]['http']}, "
            f"key {next(iter(running_fleet.site.keys.values()))}"
        )
        await asyncio.Event().wait()
    await running_fleet.drive(seconds, faults, short_every_s)
    return 0


def _show_verdict(running_fleet, status):
    """Print the sums and breaches of a run; return the exit status, 1 if a rule was broken."""
    breaches, sums = running_fleet.verdict()
    typer.echo(json.dumps(sums))
    typer.echo(json.dumps({"breaches": breaches}, indent=1))
    return status or int(bool(breaches))


@app.command()
def soak(
    seed: int = 1,
    seconds: Annotated[float, typer.Option(help="How long the troubles go on.")] = 60.0,
    short: Annotated[bool, typer.Option(help="The size that CI runs.")] = False,
    routers: int = 3,
    slack: Annotated[
        float, typer.Option(help="By how much bounds of time are widened on a busy machine.")
    ] = 1.0,
    crowds: Annotated[
        bool, typer.Option(help="Whether clients that keep to no limit come as well.")
    ] = False,
    folder: Annotated[
        str, typer.Option(help="Folder for logs and records; by default one that is removed.")
    ] = "",
):
    """Run a site of real processes under overlapping faults drawn from a seed, and check it.

    The status is 1 when a rule or an invariant was broken, or the site did not recover.
    """
    size = SHORT_SOAK if short else SoakSize(seconds=seconds, routers=routers, slack=slack)
    size = attrs.evolve(size, crowds=crowds)
    with (
        tempfile.TemporaryDirectory() as temporary_folder,
        asyncio.Runner(loop_factory=BootLoop) as runner,
    ):
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        verdict = runner.run(Soak(seed, folder or temporary_folder, size, say=typer.echo).run())
    typer.echo(json.dumps(attrs.asdict(verdict), indent=1))
    typer.echo(verdict.line())
    raise typer.Exit(0 if verdict.is_clean() else 1)


@app.command()
def sim(
    scenario: Annotated[str, typer.Option(help="One of the scenarios, or all.")] = "mix",
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many.")] = 1,
    seconds: Annotated[float, typer.Option(help="Simulated time under faults.")] = 60.0,
    jobs: Annotated[int, typer.Option(help="Seeds at a time, each in a process of its own.")] = 4,
    trace: Annotated[bool, typer.Option(help="Show the faults of each seed.")] = False,
):
    """Run fault scenarios over a range of seeds in virtual time.

    The status is 1 when a rule was broken.
    """
    names = sorted(SCENARIOS) if scenario == "all" else [scenario]
    if not set(names) <= set(SCENARIOS):
        typer.echo(f"scenarios: {', '.join(sorted(SCENARIOS))}", err=True)
        raise typer.Exit(2)
    sweep = Sweep(names, range(seed, seed + seeds), seconds)
    sweep.run(jobs, trace, typer.echo)
    raise typer.Exit(0 if sweep.is_clean() else 1)


@app.command("growth")
def growth_command(
    folder: Annotated[str, typer.Option(help="Folder for data, records and logs.")],
    routes: Annotated[
        list[int], typer.Option(help="How many routes; may be given several times.")
    ] = GROWTH_ROUTES,
    base_port: int = 22000,
):
    """Measure acknowledgement times and stalls of real processes with many routes configured."""
    for index, count in enumerate(routes):
        running_fleet = Fleet(f"{folder}/{count}", base_port=base_port + 100 * index)
        running_fleet.start_all()
        try:
            with asyncio.Runner(loop_factory=BootLoop) as runner:
                typer.echo(json.dumps(runner.run(growth(running_fleet, count))))
        finally:
            running_fleet.stop_all()


@app.command()
def measure(
    name: Annotated[
        str, typer.Argument(help="thrash, ring, failover, acks, fetch, outage, warm or day.")
    ],
    seed: int = 1,
    seeds: int = 3,
    jobs: int = 4,
):
    """Measure the design in virtual time; print a line of figures for each case and seed."""
    if name not in MEASURES:
        typer.echo(f"measures: {', '.join(sorted(MEASURES))}", err=True)
        raise typer.Exit(2)
    seeds_run = range(seed, seed + seeds)
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(run_measure, [(name, run_seed) for run_seed in seeds_run])
        for number, rows in zip(seeds_run, results, strict=False):
            for row in rows:
                typer.echo(json.dumps({"seed": number} | row))


@app.command()
def account(
    reports: Annotated[list[Path], typer.Argument(help="Reports of the users' bench.")],
    log: Annotated[
        Path | None, typer.Option(help="What the bench printed with --log, for the last report.")
    ] = None,
    aim: Annotated[float, typer.Option(help="Aim of long calls in milliseconds.")] = 600.0,
):
    """Show where a day's worth was lost, and why long calls were late or read again."""
    for path in reports:
        try:
            report = read_report(path)
            calls = read_calls(log.read_text().splitlines()) if log and path == reports[-1] else []
        except (OSError, UnicodeDecodeError, msgspec.DecodeError) as error:
            typer.echo(f"{path}: {error}", err=True)
            raise typer.Exit(2) from error
        typer.echo("\n".join([str(path), *tell(report, calls, aim)]))


@app.command("long-day")
def long_day(
    site: Annotated[Path, typer.Argument(help="Site file of the users' bench.")],
    out: Annotated[Path, typer.Option(help="Folder for the longer site and the day.")],
    shape: Annotated[str, typer.Option(help=f"One of {', '.join(SHAPES)}.")] = "mixed",
    seed: int = 1,
    length: Annotated[float, typer.Option(help="Seconds of traffic.")] = 120.0,
):
    """Write a long day for the users' bench, with a copy of the site that lasts as long."""
    if shape not in SHAPES:
        typer.echo(f"shapes: {', '.join(SHAPES)}", err=True)
        raise typer.Exit(2)
    try:
        files = write_long_day(site, out, shape, seed, length)
    except DaysError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    typer.echo(shown(files))


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

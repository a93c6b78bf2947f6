"""The command line of swiftdeck."""

import asyncio
import contextlib
import difflib
import random
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from swiftdeck.config.document import key_digest
from swiftdeck.config.settings import read_settings
from swiftdeck.control.client import OperatorClient
from swiftdeck.control.core import Core
from swiftdeck.control.doctor import examine
from swiftdeck.disk.folder import DataFolder
from swiftdeck.fault import is_fault
from swiftdeck.programs.loop import make_log, run_until_signal
from swiftdeck.traffic.router import Router

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A fleet of routers that admits long conversations by what workers can keep "
    "in their KV cache.",
)
ctl = typer.Typer(no_args_is_help=True, help="Drive the fleet through any core.")
app.add_typer(ctl, name="ctl")
keys = typer.Typer(no_args_is_help=True, help="Tenants' keys.")
ctl.add_typer(keys, name="keys")

SettingsFile = Annotated[
    str, typer.Option("--settings", help="Settings file (TOML); flags go before it.")
]
Name = Annotated[str | None, typer.Option(help="Name of the process.")]
Inner = Annotated[str | None, typer.Option(help="IP:PORT towards other processes, TCP and UDP.")]
Http = Annotated[str | None, typer.Option(help="IP:PORT of HTTP.")]
Seeds = Annotated[
    list[str] | None,
    typer.Option("--seed", help="Inner IP:PORT of another process; give three."),
]
Zone = Annotated[str | None, typer.Option(help="Zone of the machine.")]
ShownKey = Annotated[
    str | None, typer.Option("--operatorKey", help="Key that operators must show.")
]
Level = Annotated[str, typer.Option(help="debug, info, warning or error.")]
Door = Annotated[
    str, typer.Option("--core", envvar="SWIFTDECK_CORE", help="HTTP IP:PORT of a core.")
]
Operator = Annotated[
    str, typer.Option("--operator-key", envvar="SWIFTDECK_OPERATOR_KEY", help="Key of operators.")
]


def _settings(path, flags):
    settings = read_settings(path, flags)
    if is_fault(settings):
        typer.echo(f"fault {settings.code} {settings.name}: {settings.reason}", err=True)
        raise typer.Exit(2)
    return settings


def _seeds_again(path, flags, node, log):
    """A function that reads the seeds anew from the settings and tells a node."""

    def again():
        settings = read_settings(path, flags)
        if is_fault(settings):
            log.warning("settings not taken", reason=settings.reason)
        else:
            node.membership.set_seeds(settings.seeds)
            log.info("seeds exchanged", seeds=settings.seeds)

    return again


@app.command()
def core(
    settings: SettingsFile = "",
    name: Name = None,
    inner: Inner = None,
    http: Http = None,
    seed: Seeds = None,
    zone: Zone = None,
    data: Annotated[str | None, typer.Option(help="Data folder.")] = None,
    operator_key: ShownKey = None,
    level: Level = "info",
):
    """Run a core: a member of the chain, with a data folder.

    SIGHUP reads the seeds anew, SIGTERM ends it.
    """
    flags = {
        "name": name,
        "inner": inner,
        "http": http,
        "seeds": seed,
        "zone": zone,
        "dataFolder": data,
        "operatorKey": operator_key,
    }
    checked = _settings(settings, flags)
    if not checked.dataFolder:
        typer.echo("fault 600 setting is invalid: a core needs dataFolder (--data)", err=True)
        raise typer.Exit(2)
    log = make_log(checked.name, level)
    try:
        folder = DataFolder(checked.dataFolder)
    except OSError as error:
        typer.echo(f"fault 304 disk failed: {error}", err=True)
        raise typer.Exit(1) from error
    box = []

    async def start():
        box.append(Core(checked, folder, random.SystemRandom(), log))
        return await box[0].start()

    raise typer.Exit(
        run_until_signal(
            start, lambda: box[0].stop(), lambda: _seeds_again(settings, flags, box[0], log)()
        )
    )


@app.command()
def router(
    settings: SettingsFile = "",
    name: Name = None,
    inner: Inner = None,
    http: Http = None,
    seed: Seeds = None,
    zone: Zone = None,
    platform: Annotated[str | None, typer.Option(help="IP:PORT of the platform's list.")] = None,
    store: Annotated[str | None, typer.Option(help="IP:PORT of the store of prefixes.")] = None,
    operator_key: ShownKey = None,
    level: Level = "info",
):
    """Run a router: callers' HTTP and attempts towards workers.

    SIGHUP reads the seeds anew, SIGTERM drains.
    """
    flags = {
        "name": name,
        "inner": inner,
        "http": http,
        "seeds": seed,
        "zone": zone,
        "platform": platform,
        "store": store,
        "operatorKey": operator_key,
    }
    checked = _settings(settings, flags)
    log = make_log(checked.name, level)
    box = []

    async def start():
        box.append(Router(checked, random.SystemRandom(), log))
        await box[0].start()

    raise typer.Exit(
        run_until_signal(
            start, lambda: box[0].stop(), lambda: _seeds_again(settings, flags, box[0], log)()
        )
    )


def _show(got):
    """Print an answer; ends with status 1 on a fault."""
    if is_fault(got):
        typer.echo(f"fault {got.code} {got.name}: {got.reason}", err=True)
        raise typer.Exit(1)
    status, body = got
    typer.echo(msgspec.json.format(msgspec.json.encode(body)).decode())
    if status != 200:
        raise typer.Exit(1)


def _read(file):
    try:
        data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        return msgspec.json.decode(data)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        typer.echo(f"fault 201 configuration is invalid: {file}: {error}", err=True)
        raise typer.Exit(2) from error


def _change(method, file, base, change_id, author, door, operator):
    client, document = OperatorClient(door, operator), _read(file)
    _show(
        asyncio.run(
            client.change_newest(method, lambda _: document, change_id, author)
            if base is None
            else client.change(method, document, base, change_id, author)
        )
    )


File = Annotated[str, typer.Argument(help="JSON file, - for standard input.")]
Base = Annotated[
    int | None, typer.Option(help="Version that the change builds on; default: the newest.")
]
ChangeId = Annotated[
    str,
    typer.Option("--changeId", help="Id of the change; say it again to repeat a change safely."),
]
Author = Annotated[str, typer.Option(help="Who asks for the change.")]


@ctl.command()
def put(
    file: File,
    base: Base = None,
    change_id: ChangeId = "",
    author: Author = "",
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Put a whole configuration; returns once it is in force."""
    _change("PUT", file, base, change_id, author, core, operator_key)


@ctl.command()
def patch(
    file: File,
    base: Base = None,
    change_id: ChangeId = "",
    author: Author = "",
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Put a partial configuration (JSON merge patch); returns once it is in force."""
    _change("PATCH", file, base, change_id, author, core, operator_key)


@ctl.command()
def get(core: Door = "127.0.0.1:8000", operator_key: Operator = ""):
    """Read the configuration back, with its version."""
    _show(asyncio.run(OperatorClient(core, operator_key).ask("GET", "/v1/config")))


@ctl.command()
def changes(file: File, core: Door = "127.0.0.1:8000", operator_key: Operator = ""):
    """Send a stream of changes (NDJSON) in; an answer line comes out for each."""
    client = OperatorClient(core, operator_key)
    with contextlib.ExitStack() as stack:
        lines = sys.stdin.buffer if file == "-" else stack.enter_context(open(file, "rb"))
        status = asyncio.run(client.stream(lines, typer.echo))
    raise typer.Exit(status)


@ctl.command()
def change(
    change_id: Annotated[str, typer.Argument(help="Id of the change.")],
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Ask what became of a change."""
    _show(asyncio.run(OperatorClient(core, operator_key).ask("GET", f"/v1/changes/{change_id}")))


@ctl.command()
def watch(
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
    follow: Annotated[bool, typer.Option(help="Go on as decisions are made.")] = True,
):
    """Watch the stream of decisions of all routers."""
    try:
        raise typer.Exit(asyncio.run(OperatorClient(core, operator_key).watch(typer.echo, follow)))
    except KeyboardInterrupt as error:
        raise typer.Exit(0) from error


@ctl.command()
def status(
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
    full: Annotated[bool, typer.Option(help="Show all counters.")] = False,
):
    """Show every process of the fleet, the chain, the books and the counters."""
    _show(asyncio.run(OperatorClient(core, operator_key).fleet(full)))


@ctl.command()
def explain(
    name: Annotated[str, typer.Argument(help="Id of a call or of a conversation.")],
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Tell why a call waited, moved, was refused or ended as it did."""
    _show(asyncio.run(OperatorClient(core, operator_key).explain(name)))


@ctl.command()
def log(core: Door = "127.0.0.1:8000", operator_key: Operator = ""):
    """List the acknowledged versions that this core's archive keeps."""
    _show(asyncio.run(OperatorClient(core, operator_key).ask("GET", "/v1/history")))


@ctl.command()
def diff(old: int, new: int, core: Door = "127.0.0.1:8000", operator_key: Operator = ""):
    """Show what changed between two acknowledged versions."""
    client = OperatorClient(core, operator_key)

    async def work():
        return [await client.ask("GET", f"/v1/history/{version}") for version in (old, new)]

    texts = asyncio.run(work())
    for got in texts:
        if is_fault(got) or got[0] != 200:
            _show(got)
    lines = [got[1]["text"].splitlines() for got in texts]
    typer.echo(
        "\n".join(difflib.unified_diff(*lines, f"version {old}", f"version {new}", lineterm=""))
    )


@ctl.command()
def weights(
    model: Annotated[str, typer.Argument(help="Model.")],
    version: Annotated[str, typer.Argument(help="Weights.")],
    author: Author = "",
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Name new weights for a model; once this returns, no router sends a call to old ones.

    A worker that stands still meanwhile may still begin a call that was sent to it before.
    """
    client, patch = OperatorClient(core, operator_key), {"models": {model: {"weights": version}}}
    _show(asyncio.run(client.change_newest("PATCH", lambda _: patch, author=author)))


@keys.command()
def digest(key: Annotated[str, typer.Argument(help="A tenant's key.")]):
    """Show how a key stands in a configuration."""
    typer.echo(key_digest(key))


@keys.command()
def revoke(
    tenant: Annotated[str, typer.Argument(help="Tenant.")],
    key: Annotated[str, typer.Argument(help="The key, or its sha256: digest.")],
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
):
    """Take a key from a tenant; connected clients lose it too."""
    client, gone = (
        OperatorClient(core, operator_key),
        key if key.startswith("sha256:") else key_digest(key),
    )

    def without(document):
        kept = [
            each
            for each in document.get("tenants", {}).get(tenant, {}).get("keys", [])
            if each != gone
        ]
        return {"tenants": {tenant: {"keys": kept}}}

    _show(asyncio.run(client.change_newest("PATCH", without)))


@app.command()
def doctor(
    core: Door = "127.0.0.1:8000",
    operator_key: Operator = "",
    settings: SettingsFile = "",
    as_json: Annotated[bool, typer.Option("--json", help="Findings as JSON.")] = False,
):
    """Look for common faults; each finding has a code and what to do.

    The status is 1 when one was found.
    """
    seeds, folder = [], ""
    if settings:
        checked = _settings(settings, {})
        seeds, folder = checked.seeds, checked.dataFolder
    findings = asyncio.run(examine(OperatorClient(core, operator_key), seeds, folder))
    if as_json:
        typer.echo(msgspec.json.encode(findings).decode())
    else:
        for each in findings:
            typer.echo(f"{each['code']} {each['what']}: {each['where']}\n    do: {each['advice']}")
        typer.echo(
            f"{len(findings)} fault{'s' * (len(findings) > 1)} found"
            if findings
            else "no faults found"
        )
    raise typer.Exit(1 if findings else 0)


def main():
    """Entry of the program."""
    app()


if __name__ == "__main__":
    main()

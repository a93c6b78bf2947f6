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
RequiredOperatorKey = Annotated[
    str | None, typer.Option("--operatorKey", help="Key that operators must show.")
]
LogLevel = Annotated[str, typer.Option(help="debug, info, warning or error.")]
CoreAddress = Annotated[
    str, typer.Option("--core", envvar="SWIFTDECK_CORE", help="HTTP IP:PORT of a core.")
]
OperatorKey = Annotated[
    str, typer.Option("--operator-key", envvar="SWIFTDECK_OPERATOR_KEY", help="Key of operators.")
]


def _read_settings_or_exit(path, flags):
    settings = read_settings(path, flags)
    if is_fault(settings):
        typer.echo(f"fault {settings.code} {settings.name}: {settings.reason}", err=True)
        raise typer.Exit(2)
    return settings


def _make_seed_reload(path, flags, node, log):
    """Return a function that rereads the settings and passes their seeds to a node."""

    def reload_seeds():
        settings = read_settings(path, flags)
        if is_fault(settings):
            log.warning("settings not taken", reason=settings.reason)
        else:
            node.membership.set_seeds(settings.seeds)
            log.info("seeds exchanged", seeds=settings.seeds)

    return reload_seeds


@app.command()
def core(
    settings: SettingsFile = "",
    name: Name = None,
    inner: Inner = None,
    http: Http = None,
    seed: Seeds = None,
    zone: Zone = None,
    data: Annotated[str | None, typer.Option(help="Data folder.")] = None,
    operator_key: RequiredOperatorKey = None,
    level: LogLevel = "info",
):
    """Run a core: a member of the chain, with a data folder.

    SIGHUP rereads the seeds, SIGTERM stops the core.
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
    checked_settings = _read_settings_or_exit(settings, flags)
    if not checked_settings.dataFolder:
        typer.echo("fault 600 setting is invalid: a core needs dataFolder (--data)", err=True)
        raise typer.Exit(2)
    log = make_log(checked_settings.name, level)
    try:
        folder = DataFolder(checked_settings.dataFolder)
    except OSError as error:
        typer.echo(f"fault 304 disk failed: {error}", err=True)
        raise typer.Exit(1) from error
    nodes = []

    async def start():
        nodes.append(Core(checked_settings, folder, random.SystemRandom(), log))
        return await nodes[0].start()

    raise typer.Exit(
        run_until_signal(
            start,
            lambda: nodes[0].stop(),
            lambda: _make_seed_reload(settings, flags, nodes[0], log)(),
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
    operator_key: RequiredOperatorKey = None,
    level: LogLevel = "info",
):
    """Run a router: serves callers over HTTP and sends their calls to workers.

    SIGHUP rereads the seeds, SIGTERM drains the router and stops it.
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
    checked_settings = _read_settings_or_exit(settings, flags)
    log = make_log(checked_settings.name, level)
    nodes = []

    async def start():
        nodes.append(Router(checked_settings, random.SystemRandom(), log))
        await nodes[0].start()

    raise typer.Exit(
        run_until_signal(
            start,
            lambda: nodes[0].stop(),
            lambda: _make_seed_reload(settings, flags, nodes[0], log)(),
        )
    )


def _show_response(response):
    """Print a response; exit with status 1 on a fault or an HTTP status other than 200."""
    if is_fault(response):
        typer.echo(f"fault {response.code} {response.name}: {response.reason}", err=True)
        raise typer.Exit(1)
    status, body = response
    typer.echo(msgspec.json.format(msgspec.json.encode(body)).decode())
    if status != 200:
        raise typer.Exit(1)


def _read_json(path):
    try:
        data = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
        return msgspec.json.decode(data)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        typer.echo(f"fault 201 configuration is invalid: {path}: {error}", err=True)
        raise typer.Exit(2) from error


def _send_change(method, file, base, change_id, author, core_address, operator_key):
    client, document = OperatorClient(core_address, operator_key), _read_json(file)
    _show_response(
        asyncio.run(
            client.change_newest(method, lambda _: document, change_id, author)
            if base is None
            else client.change(method, document, base, change_id, author)
        )
    )


JsonFile = Annotated[str, typer.Argument(help="JSON file, - for standard input.")]
BaseVersion = Annotated[
    int | None, typer.Option(help="Version that the change builds on; default: the newest.")
]
ChangeId = Annotated[
    str,
    typer.Option("--changeId", help="Id of the change; say it again to repeat a change safely."),
]
Author = Annotated[str, typer.Option(help="Who asks for the change.")]


@ctl.command()
def put(
    file: JsonFile,
    base: BaseVersion = None,
    change_id: ChangeId = "",
    author: Author = "",
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Replace the whole configuration; returns once it is in force."""
    _send_change("PUT", file, base, change_id, author, core, operator_key)


@ctl.command()
def patch(
    file: JsonFile,
    base: BaseVersion = None,
    change_id: ChangeId = "",
    author: Author = "",
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Apply a partial configuration (JSON merge patch); returns once it is in force."""
    _send_change("PATCH", file, base, change_id, author, core, operator_key)


@ctl.command()
def get(core: CoreAddress = "127.0.0.1:8000", operator_key: OperatorKey = ""):
    """Show the configuration and its version."""
    _show_response(asyncio.run(OperatorClient(core, operator_key).ask("GET", "/v1/config")))


@ctl.command()
def changes(file: JsonFile, core: CoreAddress = "127.0.0.1:8000", operator_key: OperatorKey = ""):
    """Send a stream of changes (NDJSON) and print a line with the answer to each."""
    client = OperatorClient(core, operator_key)
    with contextlib.ExitStack() as stack:
        lines = sys.stdin.buffer if file == "-" else stack.enter_context(open(file, "rb"))
        status = asyncio.run(client.stream(lines, typer.echo))
    raise typer.Exit(status)


@ctl.command()
def change(
    change_id: Annotated[str, typer.Argument(help="Id of the change.")],
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Show the outcome of a change."""
    _show_response(
        asyncio.run(OperatorClient(core, operator_key).ask("GET", f"/v1/changes/{change_id}"))
    )


@ctl.command()
def watch(
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
    follow: Annotated[bool, typer.Option(help="Go on as decisions are made.")] = True,
):
    """Watch the stream of decisions of all routers."""
    try:
        raise typer.Exit(asyncio.run(OperatorClient(core, operator_key).watch(typer.echo, follow)))
    except KeyboardInterrupt as error:
        raise typer.Exit(0) from error


@ctl.command()
def status(
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
    full: Annotated[bool, typer.Option(help="Show all counters.")] = False,
):
    """Show every process of the fleet, the chain, the slot tables and the counters."""
    _show_response(asyncio.run(OperatorClient(core, operator_key).fleet(full)))


@ctl.command()
def explain(
    name: Annotated[str, typer.Argument(help="Id of a call or of a conversation.")],
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Explain why a call waited, moved, was refused or ended as it did."""
    _show_response(asyncio.run(OperatorClient(core, operator_key).explain(name)))


@ctl.command()
def log(core: CoreAddress = "127.0.0.1:8000", operator_key: OperatorKey = ""):
    """List the acknowledged versions that this core's archive keeps."""
    _show_response(asyncio.run(OperatorClient(core, operator_key).ask("GET", "/v1/history")))


@ctl.command()
def diff(old: int, new: int, core: CoreAddress = "127.0.0.1:8000", operator_key: OperatorKey = ""):
    """Show what changed between two acknowledged versions."""
    client = OperatorClient(core, operator_key)

    async def fetch_versions():
        return [await client.ask("GET", f"/v1/history/{version}") for version in (old, new)]

    responses = asyncio.run(fetch_versions())
    for response in responses:
        if is_fault(response) or response[0] != 200:
            _show_response(response)
    lines = [response[1]["text"].splitlines() for response in responses]
    typer.echo(
        "\n".join(difflib.unified_diff(*lines, f"version {old}", f"version {new}", lineterm=""))
    )


@ctl.command()
def weights(
    model: Annotated[str, typer.Argument(help="Model.")],
    version: Annotated[str, typer.Argument(help="Weights.")],
    author: Author = "",
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Set new weights for a model; once this returns, no router sends a call to old ones.

    A worker that is paused meanwhile may still begin a call that was sent to it before.
    """
    client, patch = OperatorClient(core, operator_key), {"models": {model: {"weights": version}}}
    _show_response(asyncio.run(client.change_newest("PATCH", lambda _: patch, author=author)))


@keys.command()
def digest(key: Annotated[str, typer.Argument(help="A tenant's key.")]):
    """Show the digest under which a configuration stores a key."""
    typer.echo(key_digest(key))


@keys.command()
def revoke(
    tenant: Annotated[str, typer.Argument(help="Tenant.")],
    key: Annotated[str, typer.Argument(help="The key, or its sha256: digest.")],
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
):
    """Remove a key from a tenant; it stops working for connected clients as well."""
    client, revoked_key = (
        OperatorClient(core, operator_key),
        key if key.startswith("sha256:") else key_digest(key),
    )

    def patch_without_key(document):
        remaining_keys = [
            stored_key
            for stored_key in document.get("tenants", {}).get(tenant, {}).get("keys", [])
            if stored_key != revoked_key
        ]
        return {"tenants": {tenant: {"keys": remaining_keys}}}

    _show_response(asyncio.run(client.change_newest("PATCH", patch_without_key)))


@app.command()
def doctor(
    core: CoreAddress = "127.0.0.1:8000",
    operator_key: OperatorKey = "",
    settings: SettingsFile = "",
    as_json: Annotated[bool, typer.Option("--json", help="Findings as JSON.")] = False,
):
    """Look for common faults; each finding has a code and advice.

    The exit status is 1 when a fault was found.
    """
    seeds, folder = [], ""
    if settings:
        checked_settings = _read_settings_or_exit(settings, {})
        seeds, folder = checked_settings.seeds, checked_settings.dataFolder
    findings = asyncio.run(examine(OperatorClient(core, operator_key), seeds, folder))
    if as_json:
        typer.echo(msgspec.json.encode(findings).decode())
    else:
        for finding in findings:
            typer.echo(
                f"{finding['code']} {finding['what']}: {finding['where']}\n"
                f"    do: {finding['advice']}"
            )
        typer.echo(
            f"{len(findings)} fault{'s' * (len(findings) > 1)} found"
            if findings
            else "no faults found"
        )
    raise typer.Exit(1 if findings else 0)


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

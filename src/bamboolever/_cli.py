"""The ``bamboolever`` command line.

Exit codes: 0 success; 1 the outcome is wrong or incomplete, or `diff` found
differences; 2 invalid input; 3 another operator changed the document first; 4 the
platform cannot be reached or did not confirm a write.
"""

import dataclasses
import getpass
import json
from pathlib import Path
from typing import Annotated, Any

import typer
from returns.result import Failure

from bamboolever._clilocal import bench_app, stand_in_app
from bamboolever.reports.cli import explain, report
from bamboolever.reports.wherecli import where

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4

EXIT_CODES = (
    "Exit codes: 0 success; 1 the outcome is wrong or incomplete, or diff found "
    "differences; 2 invalid input; 3 another operator changed the document first; "
    "4 the platform cannot be reached or did not confirm a write."
)

app = typer.Typer(
    help="Distribute model weights to a live fleet and route its calls.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(stand_in_app, name="stand-in")
app.add_typer(bench_app, name="bench")
app.command(epilog=EXIT_CODES)(explain)
app.command(epilog=EXIT_CODES)(report)
app.command(epilog=EXIT_CODES)(where)

SettingsFile = Annotated[Path, typer.Option("--settings", help="TOML settings file.")]
PlatformUrl = Annotated[
    str,
    typer.Option(
        "--platform", envvar="BAMBOOLEVER_PLATFORM", help="URL of the object API."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Operator = Annotated[
    str, typer.Option("--operator", help="Your name, shown to other operators.")
]
Files = Annotated[
    list[Path], typer.Argument(help="TOML files; JSON for the platform's settings.")
]
LogLevel = Annotated[str, typer.Option("--log-level")]

DEFAULT_PLATFORM = "http://127.0.0.1:7000"


def _make_platform_client(url: str) -> Any:
    from bamboolever._platform import HttpPlatform

    return HttpPlatform(url, timeout_s=5.0, calls_per_second=100.0)


def _fail(message: str, code: int) -> typer.Exit:
    """Print an error message and return the exception to raise."""
    typer.echo(f"bamboolever: {message}", err=True)
    return typer.Exit(code)


def _fail_with_faults(faults: list[Any]) -> typer.Exit:
    for fault in faults:
        typer.echo(f"bamboolever: {fault}", err=True)
    return typer.Exit(EXIT_BAD_INPUT)


def _run_daemon(settings: Path, role: str, log_level: str) -> None:
    from bamboolever._daemon import load_daemon
    from bamboolever._telemetry import configure_logging

    configure_logging(log_level)
    loaded = load_daemon(settings, role)
    if isinstance(loaded, Failure):
        raise _fail_with_faults(loaded.failure())
    raise typer.Exit(loaded.unwrap().run())


@app.command(epilog=EXIT_CODES)
def entry(settings: SettingsFile, log_level: LogLevel = "INFO") -> None:
    """Run an entry, which accepts callers over HTTP and routes their calls."""
    _run_daemon(settings, "entry", log_level)


@app.command(epilog=EXIT_CODES)
def agent(settings: SettingsFile, log_level: LogLevel = "INFO") -> None:
    """Run an agent next to one upstream."""
    _run_daemon(settings, "agent", log_level)


@app.command(epilog=EXIT_CODES)
def check(
    files: Files,
    kind: Annotated[
        str | None,
        typer.Option(
            help="documents, entry, agent, deploy or platform; detected if omitted."
        ),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Validate documents, settings and deploy files without applying them."""
    from bamboolever._check import FileKind, check_files

    known_kinds = ", ".join(item.value for item in FileKind)
    if kind is not None and kind not in known_kinds.split(", "):
        raise _fail(f"unknown kind {kind!r}; use one of {known_kinds}", EXIT_BAD_INPUT)
    faults = check_files(files, None if kind is None else FileKind(kind))
    if as_json:
        rows = [dataclasses.asdict(fault) for fault in faults]
        typer.echo(json.dumps({"faults": rows}))
        raise typer.Exit(EXIT_BAD_INPUT if faults else EXIT_OK)
    if faults:
        raise _fail_with_faults(faults)
    typer.echo(f"{len(files)} file(s) without faults")


def _load_and_plan(files: list[Path], platform: Any) -> list[Any]:
    from bamboolever._operator import load_document_files, plan_changes
    from bamboolever._platform import PlatformError

    loaded = load_document_files(files)
    if isinstance(loaded, Failure):
        raise _fail_with_faults(loaded.failure())
    try:
        return plan_changes(platform, loaded.unwrap())
    except PlatformError as error:
        raise _fail(f"the platform cannot be read: {error}", EXIT_PLATFORM) from error


def _print_changes(changes: list[Any], *, as_json: bool, written: int) -> None:
    if as_json:
        rows = [
            {
                "kind": change.key.kind,
                "name": change.key.name,
                "differences": list(change.differences),
            }
            for change in changes
        ]
        typer.echo(json.dumps({"changes": rows, "written": written}))
        return
    for change in changes:
        marker = "~" if change.is_needed else "="
        typer.echo(f"{marker} {change.key.kind}/{change.key.name}")
        for difference in change.differences:
            typer.echo(f"    {difference}")


@app.command(epilog=EXIT_CODES)
def diff(
    files: Files, platform: PlatformUrl = DEFAULT_PLATFORM, as_json: AsJson = False
) -> None:
    """Show what apply would change; exit with 1 if there are differences."""
    changes = _load_and_plan(files, _make_platform_client(platform))
    _print_changes(changes, as_json=as_json, written=0)
    is_needed = any(change.is_needed for change in changes)
    raise typer.Exit(EXIT_FAILURE if is_needed else EXIT_OK)


@app.command(epilog=EXIT_CODES)
def apply(
    files: Files,
    platform: PlatformUrl = DEFAULT_PLATFORM,
    operator: Operator = "",
    as_json: AsJson = False,
) -> None:
    """Write contracts and services to the platform; safe to repeat."""
    from bamboolever._operator import ChangeConflict, apply_changes
    from bamboolever._platform import PlatformError

    store = _make_platform_client(platform)
    changes = _load_and_plan(files, store)
    try:
        written = apply_changes(store, changes, operator or getpass.getuser())
    except ChangeConflict as error:
        raise _fail(str(error), EXIT_CONFLICT) from error
    except PlatformError as error:
        message = f"the platform did not confirm the write ({error}); apply again"
        raise _fail(message, EXIT_PLATFORM) from error
    _print_changes(changes, as_json=as_json, written=written)


@app.command(epilog=EXIT_CODES)
def get(
    kind: Annotated[str, typer.Argument(help="contracts, services or rollouts.")],
    name: str,
    platform: PlatformUrl = DEFAULT_PLATFORM,
) -> None:
    """Print one stored document as JSON, with its revision."""
    from bamboolever._documents import CONFIGURATION_KINDS
    from bamboolever._platform import PlatformError

    if kind not in CONFIGURATION_KINDS:
        known_kinds = ", ".join(CONFIGURATION_KINDS)
        raise _fail(f"unknown kind {kind!r}; use one of {known_kinds}", EXIT_BAD_INPUT)
    try:
        stored = _make_platform_client(platform).get(kind, name)
    except PlatformError as error:
        raise _fail(f"the platform cannot be read: {error}", EXIT_PLATFORM) from error
    if stored is None:
        raise _fail(f"there is no {kind}/{name}", EXIT_FAILURE)
    document = json.loads(stored.value)
    typer.echo(json.dumps({"revision": stored.revision, "document": document}))


@app.command(epilog=EXIT_CODES)
def status(platform: PlatformUrl = DEFAULT_PLATFORM, as_json: AsJson = False) -> None:
    """Show the last reported state of services, agents and entries."""
    from bamboolever._operator import read_status
    from bamboolever._platform import PlatformError
    from bamboolever._statustable import print_status

    try:
        fleet_status = read_status(_make_platform_client(platform))
    except PlatformError as error:
        raise _fail(f"the platform cannot be read: {error}", EXIT_PLATFORM) from error
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(fleet_status)))
        return
    print_status(fleet_status)


@app.command(epilog=EXIT_CODES)
def rollout(
    service: str,
    model: str,
    version: str,
    origin: Annotated[str, typer.Option(help="URL of the origin of weights.")],
    platform: PlatformUrl = DEFAULT_PLATFORM,
    operator: Operator = "",
    as_json: AsJson = False,
) -> None:
    """Make VERSION the one that every instance of SERVICE has to serve."""
    from bamboolever._manifest import ManifestError
    from bamboolever._operator import ChangeConflict, start_rollout
    from bamboolever._origin import HttpOrigin, OriginError
    from bamboolever._platform import PlatformError

    try:
        revision = start_rollout(
            _make_platform_client(platform),
            HttpOrigin(origin),
            service=service,
            model=model,
            version=version,
            operator=operator or getpass.getuser(),
        )
    except (OriginError, ManifestError) as error:
        raise _fail(f"the manifest cannot be used: {error}", EXIT_FAILURE) from error
    except ChangeConflict as error:
        raise _fail(str(error), EXIT_CONFLICT) from error
    except PlatformError as error:
        message = (
            f"the platform did not confirm the rollout ({error}); check the status, "
            "then repeat"
        )
        raise _fail(message, EXIT_PLATFORM) from error
    if as_json:
        typer.echo(json.dumps({"service": service, "revision": revision}))
        return
    typer.echo(f"{service}: {model} {version} is the target at revision {revision}")


@app.command(epilog=EXIT_CODES)
def drain(
    instance_id: str,
    platform: PlatformUrl = DEFAULT_PLATFORM,
    operator: Operator = "",
) -> None:
    """Make the entries send no new calls to an instance."""
    from bamboolever._operator import set_drain
    from bamboolever._platform import PlatformError

    try:
        set_drain(
            _make_platform_client(platform), instance_id, operator or getpass.getuser()
        )
    except PlatformError as error:
        raise _fail(
            f"the platform did not confirm the drain: {error}", EXIT_PLATFORM
        ) from error
    typer.echo(f"{instance_id} gets no new calls; its running calls are not cancelled")


@app.command(epilog=EXIT_CODES)
def demo(
    instances: Annotated[int, typer.Option(min=1, max=64)] = 6,
    regions: Annotated[int, typer.Option(min=1, max=5)] = 3,
    weights_mb: Annotated[int, typer.Option(min=1, max=256)] = 8,
    policy: str = "budgeted",
    aim: str = "time-to-n",
    seed: int = 1,
    fault: Annotated[list[str] | None, typer.Option()] = None,
    as_json: AsJson = False,
) -> None:
    """Run a rollout under live calls on this machine, with stand-ins."""
    from bamboolever._demo import FAULTS, DemoOptions, run_demo

    faults = tuple(fault or ())
    unknown = [name for name in faults if name not in FAULTS]
    if unknown:
        known_faults = ", ".join(FAULTS)
        raise _fail(
            f"unknown fault {unknown[0]!r}; use one of {known_faults}", EXIT_BAD_INPUT
        )
    options = DemoOptions(instances, regions, weights_mb, policy, aim, seed, faults)
    is_successful = run_demo(options, as_json=as_json)
    raise typer.Exit(EXIT_OK if is_successful else EXIT_FAILURE)


def main() -> None:
    """Run the command line; the entry point of the ``bamboolever`` script."""
    app(prog_name="bamboolever")


if __name__ == "__main__":
    main()

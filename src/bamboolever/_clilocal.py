"""Commands for local use: benchmarks, and stand-ins for the external systems."""

import json
from typing import Annotated, Any

import typer

EXIT_CODES = "Exit codes: 0 success; 2 invalid input."

AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]

stand_in_app = typer.Typer(
    help="Run stand-ins for the external systems, for trials.", no_args_is_help=True
)
bench_app = typer.Typer(help="Run benchmarks on this machine.", no_args_is_help=True)


def _wait_for_stop_signal() -> None:
    from bamboolever._signals import StopRequest

    stop = StopRequest()
    stop.set_on_signals()
    stop.wait()


@bench_app.command("distribution", epilog=EXIT_CODES)
def bench_distribution(quick: bool = False, as_json: AsJson = False) -> None:
    """Distribute weights with every policy over rate-limited links."""
    from bamboolever._benchdistribution import run_distribution_bench

    _run_bench(run_distribution_bench, is_quick=quick, as_json=as_json)


@bench_app.command("control", epilog=EXIT_CODES)
def bench_control(quick: bool = False, as_json: AsJson = False) -> None:
    """Measure the cost of decisions and messages as the fleet grows."""
    from bamboolever._benchcontrol import run_control_bench

    result = run_control_bench(is_quick=quick, print_line=_print_line)
    if as_json:
        typer.echo(json.dumps(result))


@bench_app.command("configuration", epilog=EXIT_CODES)
def bench_configuration(quick: bool = False, as_json: AsJson = False) -> None:
    """Measure how long a configuration change takes to reach every entry."""
    from bamboolever._benchpropagation import run_propagation_bench

    _run_bench(run_propagation_bench, is_quick=quick, as_json=as_json)


def _run_bench(run: Any, *, is_quick: bool, as_json: bool) -> None:
    import logging

    logging.basicConfig(level=logging.ERROR)
    rows = run(is_quick=is_quick, print_line=_print_line)
    if as_json:
        typer.echo(json.dumps({"rows": rows}))


def _print_line(line: str) -> None:
    typer.echo(line, err=True)


@stand_in_app.command("platform")
def stand_in_platform(port: int = 7000) -> None:
    """Run a stand-in for the platform's object API."""
    from bamboolever._standins.platform import StandInPlatform

    server = StandInPlatform(port=port)
    server.start()
    typer.echo(server.url)
    _wait_for_stop_signal()


@stand_in_app.command("origin")
def stand_in_origin(
    port: int = 7100, rate_mb_s: float = 100.0, chunk_kb: int = 256
) -> None:
    """Run a stand-in for the weight origin; POST /_versions adds a version."""
    from bamboolever._standins.origin import StandInOrigin

    server = StandInOrigin(
        port=port, rate_bytes_per_s=rate_mb_s * 1e6, chunk_bytes=chunk_kb * 1024
    )
    server.start()
    typer.echo(server.url)
    _wait_for_stop_signal()


@stand_in_app.command("engine")
def stand_in_engine(port: int = 7200, kind: str = "model") -> None:
    """Run a stand-in for a model engine or a plain service."""
    from bamboolever._standins.engine import StandInEngine

    server = StandInEngine(kind, port=port)
    server.start()
    typer.echo(server.url)
    _wait_for_stop_signal()

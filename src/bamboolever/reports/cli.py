"""Commands that read logs and journals."""

import dataclasses
import json
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from bamboolever.reports.explain import find_walk, format_walk, read_lines
from bamboolever.reports.journal import DayScore, list_rounds, read_entry
from bamboolever.reports.plots import PlotError, draw_worth

EXIT_NOT_FOUND = 1
EXIT_BAD_INPUT = 2


def explain(
    attempt: Annotated[str, typer.Argument(help="Attempt id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of daemons.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Walk through the log lines of one request, from its arrival to its end."""
    walk = find_walk(read_lines(logs), attempt)
    if as_json:
        rows = [dataclasses.asdict(line) for line in walk]
        typer.echo(json.dumps({"attempt": attempt, "lines": rows}))
    elif walk:
        typer.echo(format_walk(walk))
    if not walk:
        typer.echo(
            f"bamboolever: no line has the attempt {attempt!r}; served calls may "
            "have been left out under load, see log_sampled_out",
            err=True,
        )
        raise typer.Exit(EXIT_NOT_FOUND)


def report(
    entries: Annotated[list[Path], typer.Argument(help="Journal entries.")],
    plot: Annotated[
        Path | None, typer.Option(help="Draw worth by run into this file.")
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Show the worth of the days in journal entries, by run."""
    days, faults = _read_entries(entries)
    for fault in faults:
        typer.echo(f"bamboolever: {fault}", err=True)
    if faults:
        raise typer.Exit(EXIT_BAD_INPUT)
    if as_json:
        typer.echo(json.dumps({"days": [dataclasses.asdict(day) for day in days]}))
    else:
        for line in _format_days(days):
            typer.echo(line)
    if plot is not None:
        _draw(days, plot)


def _read_entries(entries: list[Path]) -> tuple[list[DayScore], list[str]]:
    days: list[DayScore] = []
    faults: list[str] = []
    for path in entries:
        read = read_entry(path)
        if isinstance(read, Failure):
            faults.append(read.failure())
        else:
            days += read.unwrap()
    return days, faults


def _format_days(days: list[DayScore]) -> list[str]:
    lines = []
    for (site, day), runs in list_rounds(days).items():
        lines.append(f"{site} {day}")
        for run in runs:
            broken = f"  BROKEN: {', '.join(run.broken_rules)}"
            lines.append(
                f"  {run.began_at} {run.commit} {run.worth:6.3f}  "
                f"dearest: {run.dearest_price}{broken if run.broken_rules else ''}"
            )
    return lines


def _draw(days: list[DayScore], path: Path) -> None:
    try:
        draw_worth(days, path)
    except PlotError as error:
        typer.echo(f"bamboolever: {error}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND) from error

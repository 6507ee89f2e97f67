"""The commands ``explain`` and ``report``, which read logs and journal entries."""

import dataclasses
import json
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from bamboolever.reports.explain import find_request_lines, format_lines, read_lines
from bamboolever.reports.journal import DayScore, group_by_day, read_entry
from bamboolever.reports.plots import PlotError, plot_worth

EXIT_NOT_FOUND = 1
EXIT_BAD_INPUT = 2


def explain(
    attempt: Annotated[str, typer.Argument(help="Attempt id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of daemons.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Show the log lines of one request, from its arrival to its end."""
    lines = find_request_lines(read_lines(logs), attempt)
    if as_json:
        rows = [dataclasses.asdict(line) for line in lines]
        typer.echo(json.dumps({"attempt": attempt, "lines": rows}))
    elif lines:
        typer.echo(format_lines(lines))
    if not lines:
        typer.echo(
            f"bamboolever: no log line has the attempt id {attempt!r}; under load, "
            "lines of served calls are dropped and counted in log_sampled_out",
            err=True,
        )
        raise typer.Exit(EXIT_NOT_FOUND)


def report(
    entries: Annotated[list[Path], typer.Argument(help="Journal entries.")],
    plot: Annotated[
        Path | None, typer.Option(help="Plot the worth of each run into this file.")
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Show the worth of each day in journal entries, by run."""
    days, errors = _read_entries(entries)
    for error in errors:
        typer.echo(f"bamboolever: {error}", err=True)
    if errors:
        raise typer.Exit(EXIT_BAD_INPUT)
    if as_json:
        typer.echo(json.dumps({"days": [dataclasses.asdict(day) for day in days]}))
    else:
        for line in _format_days(days):
            typer.echo(line)
    if plot is not None:
        _plot(days, plot)


def _read_entries(entries: list[Path]) -> tuple[list[DayScore], list[str]]:
    days: list[DayScore] = []
    errors: list[str] = []
    for path in entries:
        result = read_entry(path)
        if isinstance(result, Failure):
            errors.append(result.failure())
        else:
            days += result.unwrap()
    return days, errors


def _format_days(days: list[DayScore]) -> list[str]:
    lines = []
    for (site, day), runs in group_by_day(days).items():
        lines.append(f"{site} {day}")
        for run in runs:
            broken = f"  BROKEN: {', '.join(run.broken_rules)}"
            lines.append(
                f"  {run.began_at} {run.commit} {run.worth:6.3f}  "
                f"dearest: {run.dearest_price}{broken if run.broken_rules else ''}"
            )
    return lines


def _plot(days: list[DayScore], path: Path) -> None:
    try:
        plot_worth(days, path)
    except PlotError as error:
        typer.echo(f"bamboolever: {error}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND) from error

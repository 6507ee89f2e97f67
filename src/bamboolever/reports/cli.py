"""Commands that read logs."""

import dataclasses
import json
from pathlib import Path
from typing import Annotated

import typer

from bamboolever.reports.explain import find_walk, format_walk, read_lines

EXIT_NOT_FOUND = 1


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

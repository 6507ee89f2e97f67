"""The command ``where``, which asks a running entry where a request would go now."""

import http.client
import json
from typing import Annotated, Any

import typer

from bamboolever.net.addresses import Address, parse_address
from bamboolever.platform.where import (
    WHERE_PATH,
    QuestionError,
    WhereAnswer,
    decode_answer,
)

EXIT_NOT_SERVED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 4
TIMEOUT_S = 5.0
# An answer names each upstream of a service once.
MAX_ANSWER_BYTES = 4 * 2**20
# Maximum number of upstreams named in a line of text; --json prints all.
MAX_NAMES = 6


def where(
    host: Annotated[str, typer.Argument(help="Host of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request, from the slash.")],
    entry: Annotated[
        str, typer.Option(help="HOST:PORT of an entry's metrics; 9464 on a platform.")
    ],
    key: Annotated[
        str | None,
        typer.Option(
            envvar="BAMBOOLEVER_KEY",
            help="API key; better given in the environment, where no other user sees "
            "it.",
        ),
    ] = None,
    workspace: Annotated[
        str | None, typer.Option(help="Name of a workspace, in place of a key.")
    ] = None,
    model: Annotated[str | None, typer.Option(help="Model of the request.")] = None,
    prompt_tokens: Annotated[int, typer.Option(min=0)] = 0,
    output_tokens: Annotated[int, typer.Option(min=0)] = 0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Show where an entry would send a request now, and why, without sending it.

    Exits with 1 if the request would be refused or rejected.
    """
    question = {
        "host": host,
        "path": path,
        "key": key,
        "workspace": workspace,
        "model": model,
        "prompt_tokens": prompt_tokens,
        "output_tokens": output_tokens,
    }
    if workspace is not None and key is not None:
        raise _fail("give --workspace or a key, not both", EXIT_BAD_INPUT)
    try:
        address = parse_address(entry)
    except ValueError:
        message = f"--entry is HOST:PORT of an entry's metrics, not {entry!r}"
        raise _fail(message, EXIT_BAD_INPUT) from None
    answer = _ask(address, question)
    if as_json:
        typer.echo(answer.model_dump_json())
    else:
        for line in format_answer(answer):
            typer.echo(line)
    if answer.decision in ("refused", "rejected"):
        raise typer.Exit(EXIT_NOT_SERVED)


def format_answer(answer: WhereAnswer) -> list[str]:
    """Return the lines of text that show an answer."""
    lines = [
        f"entry      {answer.entry}, configuration {answer.configuration}",
        f"route      {answer.route or 'none'}",
        f"workspace  {answer.workspace or 'none'}",
    ]
    if answer.route is not None:
        lines.append(f"priority   {answer.priority}")
        lines.append(f"regions    {_format_regions(answer.regions)}")
    if answer.service is not None:
        lines.append(f"service    {answer.service}{_format_shares(answer)}")
    for step in answer.steps:
        line = f"  {step.rule:12} {step.left:4} left"
        if step.excluded:
            line += f"; {len(step.excluded)} out: {_join(step.excluded)}"
        if step.waived:
            line += "; waived, too few upstreams meet it"
        lines.append(line)
    for number, choice in enumerate(answer.best, 1):
        place = f"{choice.zone}, {choice.region or 'region unknown'}"
        predicted_ms = choice.predicted_s * 1000
        lines.append(f"  {number}. {choice.upstream} ({place}) {predicted_ms:.1f} ms")
    if answer.held_back:
        lines.append(f"held back  {_join(answer.held_back)}")
    if answer.left_regions:
        lines.append(f"left room  in {', '.join(answer.left_regions)}")
    return [*lines, _format_decision(answer)]


def _ask(address: Address, question: dict[str, Any]) -> WhereAnswer:
    body = json.dumps({k: v for k, v in question.items() if v is not None})
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request("POST", WHERE_PATH.decode(), body)
        response = connection.getresponse()
        content = response.read(MAX_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as error:
        message = f"no answer from {address} ({error}); does the entry run there?"
        raise _fail(message, EXIT_UNREACHABLE) from error
    finally:
        connection.close()
    if response.status in (400, 413):
        message = f"the entry refused the question: {_read_error(content)}"
        raise _fail(message, EXIT_BAD_INPUT)
    if response.status == 429:
        raise _fail(f"the entry is busy: {_read_error(content)}", EXIT_UNREACHABLE)
    try:
        if response.status == 200:
            return decode_answer(content)
    except QuestionError:
        pass
    message = (
        f"{address} gave no such answer (status {response.status}); give the address "
        "of an entry's /metrics, and the version that the entry runs"
    )
    raise _fail(message, EXIT_UNREACHABLE)


def _read_error(content: bytes) -> str:
    try:
        return str(json.loads(content)["error"])
    except (ValueError, TypeError, KeyError):
        return content.decode("latin-1")


def _fail(message: str, code: int) -> typer.Exit:
    """Print an error message and return the exception to raise."""
    typer.echo(f"bamboolever: {message}", err=True)
    return typer.Exit(code)


def _format_regions(regions: tuple[str, ...] | None) -> str:
    return "all" if regions is None else ", ".join(regions) or "none"


def _format_shares(answer: WhereAnswer) -> str:
    if not answer.shares:
        return ""
    shares = ", ".join(f"{name} {share:g}" for name, share in answer.shares.items())
    return f" (by attempt id, of {shares})"


def _join(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_NAMES])
    more = len(names) - MAX_NAMES
    return f"{shown} and {more} more" if more > 0 else shown


def _format_decision(answer: WhereAnswer) -> str:
    if answer.decision == "placed":
        notes = ""
        if answer.uses_permit:
            notes += ", uses a permit"
        if answer.uses_token:
            notes += ", uses a token"
        if answer.is_last_resort:
            notes += ", in an evacuated zone as a last resort"
        return f"placed     {answer.best[0].upstream}{notes}"
    if answer.decision == "queued":
        return (
            f"queued     behind {answer.queued_before}, "
            f"for {(answer.waits_s or 0.0) * 1000:.0f} ms at most"
        )
    retry = "no Retry-After"
    if answer.retry_after_s is not None:
        retry = f"Retry-After {answer.retry_after_s:.2f} s"
    return f"{answer.decision:10} {answer.status} {answer.reason}, {retry}"

"""Finds the log lines of one request, across the logs of entries and agents.

Lines about the request's upstreams from shortly before are included, as they may show
the cause of a failure.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Fields that the logging library adds, or that are shown without their key.
_HIDDEN_FIELDS = frozenset({"asctime", "levelname", "name", "message", "attempt"})
# Lines without an attempt id are included from this long before the request's first
# line.
CONTEXT_S = 5.0
# What an entry logs when an upstream names a limit, changes or ends it.
LIMIT_LINE = "upstream limit"
# What an entry logs when the evacuation of a zone begins or ends.
EVACUATION_LINE = "evacuation"


@dataclass(frozen=True)
class LogLine:
    """One structured log line.

    ``source`` is the name of the file, or the instance if the line starts with one.
    ``time`` is the timestamp as written. ``fields`` is the complete JSON object.
    """

    source: str
    time: str
    message: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the structured lines of log files; other lines are skipped.

    Raises `OSError` if a file cannot be read.
    """
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text, path.name)
                if line is not None:
                    yield line


def parse_line(text: str, source: str) -> LogLine | None:
    """Return the structured line in ``text``, or None if it is not structured.

    The JSON object may have a prefix of a time and an instance. Without one, the
    line's source is ``source``.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "message" not in fields:
        return None
    prefix = text[:start].split()
    if len(prefix) >= 2:
        return LogLine(prefix[1], prefix[0], fields["message"], fields)
    return LogLine(source, str(fields.get("asctime", "")), fields["message"], fields)


def find_request_lines(lines: Iterable[LogLine], attempt: str) -> list[LogLine]:
    """Return the lines with an attempt id and their context, in the given order.

    Context lines come from the same source, concern one of the request's upstreams
    or the process as a whole, and are from `CONTEXT_S` before the request's first
    line up to its last one. The limits in force of upstreams that held it back may be
    older, and so may the lines about evacuations in force. The list is empty if no
    line has the attempt id.
    """
    all_lines = list(lines)
    own = [line for line in all_lines if line.fields.get("attempt") == attempt]
    if not own:
        return []
    upstreams = _upstream_ids(own)
    first, last = own[0], own[-1]
    local = [
        line
        for line in all_lines
        if line.source == last.source
        and _is_context(line, upstreams)
        and _is_before(line, last)
    ]
    limits = {
        line.fields["upstream"]: id(line)
        for line in local
        if line.message == LIMIT_LINE
    }
    evacuations = {
        line.fields.get("zone"): line
        for line in local
        if line.message == EVACUATION_LINE
    }
    in_force = {
        id(line) for line in evacuations.values() if line.fields.get("event") == "begun"
    }
    context = {id(line) for line in local if not _is_old(line, first)}
    shown = context | set(limits.values()) | in_force | {id(line) for line in own}
    return [line for line in all_lines if id(line) in shown]


def format_lines(lines: list[LogLine]) -> str:
    """Return the lines as text, one row for each, without empty fields."""
    rows = []
    for line in lines:
        shown = {
            key: value
            for key, value in line.fields.items()
            if key not in _HIDDEN_FIELDS and value not in (None, "", [], {})
        }
        details = ", ".join(f"{key}={value}" for key, value in shown.items())
        rows.append(f"{line.time}  {line.source}  {line.message}: {details}")
    return "\n".join(rows)


def _upstream_ids(lines: list[LogLine]) -> set[str]:
    found: set[str] = set()
    for line in lines:
        found.update(line.fields.get("upstreams") or [])
        found.update(line.fields.get("held_back") or [])
        if line.fields.get("upstream"):
            found.add(line.fields["upstream"])
    return found


def _is_context(line: LogLine, upstreams: set[str]) -> bool:
    if "attempt" in line.fields:
        return False
    if line.fields.get("upstream") in upstreams:
        return True
    return line.message in (
        "configuration in force",
        EVACUATION_LINE,
        "version named",
        "store lost",
        "store reached",
        "stopping",
    )


def _is_before(line: LogLine, last: LogLine) -> bool:
    return line.fields.get("asctime", "") <= last.fields.get("asctime", "")


def _is_old(line: LogLine, first: LogLine) -> bool:
    return _seconds(first) - _seconds(line) > CONTEXT_S


def _seconds(line: LogLine) -> float:
    text = str(line.fields.get("asctime", ""))
    clock = text.rpartition(" ")[2].replace(",", ".")
    parts = clock.split(":")
    if len(parts) != 3:
        return 0.0
    hours, minutes, seconds = parts
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)

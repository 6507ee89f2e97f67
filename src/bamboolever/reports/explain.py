"""Walks through the log lines of one request, across entries and agents."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Fields that the logging library adds or that the walk shows by themselves.
_HIDDEN_FIELDS = frozenset({"asctime", "levelname", "name", "message", "attempt"})
# Lines about an upstream this long before the request's last line belong to it.
CONTEXT_S = 5.0


@dataclass(frozen=True)
class LogLine:
    """One structured line and where it stood.

    ``source`` is the file, or the instance where the line begins with one.
    """

    source: str
    time: str
    message: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the structured lines of log files; other lines are passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text, path.name)
                if line is not None:
                    yield line


def parse_line(text: str, source: str) -> LogLine | None:
    """Return the line, which may stand behind a time and an instance's name."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "message" not in fields:
        return None
    words = text[:start].split()
    if len(words) >= 2:
        return LogLine(words[1], words[0], fields["message"], fields)
    return LogLine(source, str(fields.get("asctime", "")), fields["message"], fields)


def find_walk(lines: Iterable[LogLine], attempt: str) -> list[LogLine]:
    """Return the lines of a request, and what happened to its upstreams' agents."""
    every = list(lines)
    own = [line for line in every if line.fields.get("attempt") == attempt]
    if not own:
        return []
    upstreams = _upstreams(own)
    first, last = own[0], own[-1]
    walk = []
    for line in every:
        is_own = line.fields.get("attempt") == attempt
        is_near = line.source == last.source and _is_context(line, upstreams)
        if is_own or (is_near and _is_before(line, last) and not _is_old(line, first)):
            walk.append(line)
    return walk


def format_walk(walk: list[LogLine]) -> str:
    """Return the walk as text, a line each."""
    rows = []
    for line in walk:
        shown = {
            key: value
            for key, value in line.fields.items()
            if key not in _HIDDEN_FIELDS and value not in (None, "", [])
        }
        details = ", ".join(f"{key}={value}" for key, value in shown.items())
        rows.append(f"{line.time}  {line.source}  {line.message}: {details}")
    return "\n".join(rows)


def _upstreams(lines: list[LogLine]) -> set[str]:
    found: set[str] = set()
    for line in lines:
        found.update(line.fields.get("upstreams") or [])
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

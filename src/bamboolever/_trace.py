"""Records the events of a `CallCoordinator` as a trace, and replays traces.

A trace is a file of JSON lines. The first holds the arguments of the coordinator,
each of the others one event: a method's name and its arguments. A replay shows what
the current code decides on recorded events. A trace contains names of methods, classes
and fields, so a replay fails after one of them is renamed.
"""

import base64
import json
from collections.abc import Iterable
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any, TextIO, final

from bamboolever._calls import CallAction, CallRequest, RunOutcome
from bamboolever._claims import ClaimRecord, ClaimResult, ClaimState, ClaimVerdict
from bamboolever._coordinator import CallCoordinator
from bamboolever._documents import Contract, ServiceDocument
from bamboolever._routing import UpstreamView

RECORDED_EVENTS = frozenset(
    {
        "arrive",
        "on_caller_gone",
        "on_claim",
        "on_end",
        "on_head",
        "on_piece",
        "on_report",
        "on_upstream_death",
        "on_upstream_lost",
        "set_share",
        "set_upstream",
        "tick",
    }
)
_DATA_CLASSES: dict[str, type] = {
    cls.__name__: cls for cls in (CallRequest, ClaimRecord, ClaimResult, UpstreamView)
}
_MODELS: dict[str, Any] = {
    model.__name__: model for model in (Contract, ServiceDocument)
}
_ENUMS: dict[str, Any] = {
    cls.__name__: cls for cls in (ClaimState, ClaimVerdict, RunOutcome)
}
#: Fields of a view that the coordinator fills, so they are not recorded.
_UNRECORDED_FIELDS = frozenset({"prefixes"})


class TraceError(ValueError):
    """A line of a trace cannot be decoded."""


@final
class RecordingCoordinator:
    """Behaves like a `CallCoordinator` and writes its events to ``output``."""

    def __init__(
        self, region: str, availability_zone: str, *, seed: int, output: TextIO
    ):
        self._coordinator = CallCoordinator(region, availability_zone, seed=seed)
        self._output = output
        self._write({"region": region, "zone": availability_zone, "seed": seed})

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._coordinator, name)
        if name not in RECORDED_EVENTS:
            return attribute

        def record(*args: Any, **kwargs: Any) -> Any:
            event = {
                "event": name,
                "args": [encode_value(value) for value in args],
                "kwargs": {key: encode_value(v) for key, v in kwargs.items()},
            }
            self._write(event)
            return attribute(*args, **kwargs)

        return record

    def _write(self, content: dict[str, Any]) -> None:
        self._output.write(json.dumps(content, separators=(",", ":")) + "\n")


def replay_trace(lines: Iterable[str]) -> list[CallAction]:
    """Return all actions that the current code decides on for the events of a trace.

    Raises `TraceError` on a line that cannot be decoded.
    """
    iterator = iter(lines)
    header = _load(next(iterator))
    coordinator = CallCoordinator(header["region"], header["zone"], seed=header["seed"])
    actions: list[CallAction] = []
    for line in iterator:
        event = _load(line)
        if event.get("event") not in RECORDED_EVENTS:
            raise TraceError(f"unknown event {event.get('event')!r}")
        method = getattr(coordinator, event["event"])
        args = [decode_value(value) for value in event["args"]]
        kwargs = {key: decode_value(v) for key, v in event["kwargs"].items()}
        actions += method(*args, **kwargs) or []
    return actions


def encode_value(value: Any) -> Any:
    """Return an event's argument as a value that JSON can represent."""
    if isinstance(value, bytes):
        return {"bytes": base64.b64encode(value).decode()}
    if isinstance(value, set):
        return {"set": sorted(value)}
    if isinstance(value, Enum):
        return {"enum": type(value).__name__, "value": value.value}
    if type(value).__name__ in _MODELS:
        content = value.model_dump(mode="json")
        return {"model": type(value).__name__, "content": content}
    if is_dataclass(value):
        content = {
            field.name: encode_value(getattr(value, field.name))
            for field in fields(value)
            if field.name not in _UNRECORDED_FIELDS
        }
        return {"data": type(value).__name__, "content": content}
    if isinstance(value, float) and value in (float("inf"), float("-inf")):
        return {"float": str(value)}
    return value


def decode_value(value: Any) -> Any:
    """Return the argument that `encode_value` encoded.

    Raises `TraceError` on an unknown form.
    """
    if not isinstance(value, dict):
        return value
    if "bytes" in value:
        return base64.b64decode(value["bytes"])
    if "set" in value:
        return set(value["set"])
    if "float" in value:
        return float(value["float"])
    if "enum" in value:
        return _ENUMS[value["enum"]](value["value"])
    if "model" in value:
        model = _MODELS[value["model"]]
        return model.model_validate(value["content"], context={"is_stored": True})
    if "data" in value:
        content = {key: decode_value(v) for key, v in value["content"].items()}
        return _DATA_CLASSES[value["data"]](**content)
    raise TraceError(f"unknown value {value!r}")


def _load(line: str) -> dict[str, Any]:
    try:
        content = json.loads(line)
    except ValueError as error:
        raise TraceError("a trace line is not JSON") from error
    if not isinstance(content, dict):
        raise TraceError("a trace line is not a JSON object")
    return content

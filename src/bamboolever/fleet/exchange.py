"""Encodes and decodes the datagrams between entries and agents."""

import math
import zlib
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bamboolever._exchange_protocol import ttypes
from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet import limitcodec
from bamboolever.fleet.echoes import Echo
from bamboolever.fleet.messages import (
    AgentState,
    CellSummary,
    CrashReport,
    EntryLoad,
    Hello,
    Message,
    NamedLimits,
    PermitGrants,
    PermitRequests,
    PieceMap,
    Rejections,
    ReportedCrash,
    RolloutAge,
    StoreUpdate,
    UpstreamSummary,
)
from bamboolever.net.addresses import parse_address

_FACTORY = TCompactProtocolAcceleratedFactory()
_UNKNOWN_AGE_MS = -1
_UNKNOWN_VERSION = -1
# A store's response that expands to more is not decoded.
UNKNOWN_AGE_MS = -1
MAX_AGE_MS = 2**31 - 1
MAX_TRIED_PARTS = 127
MAX_CHANGES_BYTES = 2**20


class ExchangeError(Exception):
    """Raised when a datagram does not decode."""


def encode(message: Message) -> bytes:
    """Return a message as the bytes of a datagram."""
    return serialize(ttypes.Datagram(**_to_wire(message)), _FACTORY)


def decode(data: bytes) -> Message:
    """Return the message in the bytes of a datagram.

    Raises `ExchangeError` if the bytes do not decode.
    """
    try:
        datagram = deserialize(ttypes.Datagram(), data, _FACTORY)
        return _from_wire(datagram)
    except ExchangeError:
        raise
    except Exception as error:
        raise ExchangeError(f"undecodable datagram of {len(data)} bytes") from error


def _to_wire(message: Message) -> dict[str, Any]:
    if isinstance(message, EntryLoad):
        return {"entry_load": _load_to_wire(message)}
    if isinstance(message, Hello):
        hello = ttypes.Hello(
            message.instance_id,
            message.cell,
            message.agent_cell,
            _rollouts_to_wire(message.rollouts),
            **_echo_to_wire(message),
        )
        return {"hello": hello}
    if isinstance(message, AgentState):
        return {"agent_state": _state_to_wire(message)}
    if isinstance(message, CrashReport):
        return {"crash_report": _report_to_wire(message)}
    if isinstance(message, CellSummary):
        return {"cell_summary": _summary_to_wire(message)}
    if isinstance(message, StoreUpdate):
        return {"store_update": _update_to_wire(message)}
    if isinstance(message, NamedLimits):
        return {"named_limits": limitcodec.limits_to_wire(message)}
    if isinstance(message, PermitRequests):
        return {"permit_requests": limitcodec.requests_to_wire(message)}
    if isinstance(message, PermitGrants):
        return {"permit_grants": limitcodec.grants_to_wire(message)}
    if isinstance(message, Rejections):
        rejected = [
            ttypes.Rejected(digest, int(age_s * 1000))
            for digest, age_s in message.ages_s.items()
        ]
        return {"rejections": ttypes.Rejections(rejected)}
    return {"piece_map": _map_to_wire(message)}


def _load_to_wire(message: EntryLoad) -> Any:
    wire_loads = [
        ttypes.UpstreamUse(key, load.writing, load.waiting, load.waiting_tokens)
        for key, load in message.loads.items()
    ]
    return ttypes.EntryLoad(
        message.instance_id,
        message.started_ms,
        message.sequence,
        wire_loads,
        message.is_ready,
        message.cell,
        list(message.leaving),
        message.summary_cell,
        message.store_era,
        list(message.store_revisions),
        message.has_lost_store,
    )


def _rollouts_to_wire(rollouts: tuple[RolloutAge, ...]) -> list[Any]:
    return [
        ttypes.RolloutAge(
            rollout.model,
            rollout.version,
            _UNKNOWN_AGE_MS
            if rollout.age_s is None
            else math.ceil(rollout.age_s * 1000),
        )
        for rollout in rollouts
    ]


def _state_to_wire(message: AgentState) -> Any:
    return ttypes.AgentState(
        str(message.upstream),
        message.is_switching,
        _UNKNOWN_VERSION if message.version is None else message.version,
        message.slowdown,
        [str(address) for address in message.entries],
        _rollouts_to_wire(message.rollouts),
        message.model,
        message.cell,
        message.active,
        message.started_ms,
        message.is_down,
        **_echo_to_wire(message),
    )


def _report_to_wire(message: CrashReport) -> Any:
    return ttypes.CrashReport(
        _crashes_to_wire(message.crashes),
        _completions_to_wire(message.completed_ages_s),
        list(message.ended),
        _crashes_to_wire(message.part_crashes),
        _completions_to_wire(message.part_completed_ages_s),
        list(message.trials),
        list(message.ended_trials),
    )


def _crashes_to_wire(crashes: tuple[ReportedCrash, ...]) -> list[Any]:
    return [
        ttypes.Crash(
            crash.digest,
            crash.upstream,
            min(MAX_AGE_MS, int(crash.age_s * 1000)),
            min(MAX_TRIED_PARTS, crash.tried_parts),
        )
        for crash in crashes
    ]


def _completions_to_wire(ages_s: dict[int, float]) -> list[Any]:
    return [
        ttypes.Completion(digest, min(MAX_AGE_MS, int(age_s * 1000)))
        for digest, age_s in ages_s.items()
    ]


def _summary_to_wire(message: CellSummary) -> Any:
    upstreams = [
        ttypes.UpstreamSummary(
            key,
            summary.load.writing,
            summary.load.waiting,
            summary.load.waiting_tokens,
            summary.model,
            summary.version,
            summary.load.slowdown,
            summary.takes_requests,
        )
        for key, summary in message.upstreams.items()
    ]
    return ttypes.CellSummary(message.cell, upstreams)


def _age_to_wire(age_s: float | None) -> int:
    if age_s is None:
        return UNKNOWN_AGE_MS
    return min(MAX_AGE_MS, math.ceil(age_s * 1000))


def _update_to_wire(message: StoreUpdate) -> Any:
    changes = message.changes
    return ttypes.StoreUpdate(
        message.kind,
        message.era,
        message.from_revision,
        message.revision,
        zlib.compress(changes) if changes else b"",
        changes is not None,
        _age_to_wire(message.confirmed_age_s),
        message.echo_started_ms,
        message.echo_sequence,
        int(message.echo_age_s * 1000),
        message.is_after_outage,
    )


def _map_to_wire(message: PieceMap) -> Any:
    size = max(1, (message.bitmap.bit_length() + 7) // 8)
    return ttypes.PieceMap(
        message.model,
        message.version,
        message.bitmap.to_bytes(size, "big"),
        message.is_reply_wanted,
        message.uploads,
        message.is_retained,
    )


def _from_wire(datagram: Any) -> Message:
    if datagram.entry_load is not None:
        return _load_from_wire(datagram.entry_load)
    if datagram.hello is not None:
        wire = datagram.hello
        return Hello(
            wire.instance_id,
            wire.cell or "",
            wire.agent_cell or "",
            _rollouts_from_wire(wire.rollouts or ()),
            sequence=wire.sequence or 0,
            echo=_echo_from_wire(wire),
        )
    if datagram.agent_state is not None:
        return _state_from_wire(datagram.agent_state)
    if datagram.piece_map is not None:
        return _map_from_wire(datagram.piece_map)
    if datagram.cell_summary is not None:
        return _summary_from_wire(datagram.cell_summary)
    if datagram.store_update is not None:
        return _update_from_wire(datagram.store_update)
    if datagram.crash_report is not None:
        return _report_from_wire(datagram.crash_report)
    if datagram.rejections is not None:
        rejected = datagram.rejections.rejected
        return Rejections(
            {rejection.digest: rejection.age_ms / 1000 for rejection in rejected}
        )
    if datagram.named_limits is not None:
        return limitcodec.limits_from_wire(datagram.named_limits)
    if datagram.permit_requests is not None:
        return limitcodec.requests_from_wire(datagram.permit_requests)
    if datagram.permit_grants is not None:
        return limitcodec.grants_from_wire(datagram.permit_grants)
    raise ExchangeError("datagram holds no message")


def _load_from_wire(wire: Any) -> EntryLoad:
    loads = {
        load.upstream_key: EngineLoad(load.writing, load.waiting, load.waiting_tokens)
        for load in wire.uses
    }
    return EntryLoad(
        wire.instance_id,
        wire.started_ms,
        wire.sequence,
        loads,
        bool(wire.is_ready),
        wire.cell or "",
        tuple(wire.leaving or ()),
        wire.summary_cell or "",
        wire.store_era or 0,
        tuple(wire.store_revisions or ()),
        bool(wire.has_lost_store),
    )


def _rollouts_from_wire(rollouts: Any) -> tuple[RolloutAge, ...]:
    return tuple(
        RolloutAge(
            rollout.model,
            rollout.version,
            None if rollout.age_ms == _UNKNOWN_AGE_MS else rollout.age_ms / 1000,
        )
        for rollout in rollouts
    )


def _state_from_wire(wire: Any) -> AgentState:
    return AgentState(
        parse_address(wire.upstream_address),
        wire.is_switching,
        None if wire.version == _UNKNOWN_VERSION else wire.version,
        wire.pace,
        tuple(parse_address(text) for text in wire.entries),
        _rollouts_from_wire(wire.rollouts),
        wire.model or "",
        wire.cell or "",
        wire.active or 0,
        started_ms=wire.upstream_started_ms or 0,
        is_down=bool(wire.is_down),
        sequence=wire.sequence or 0,
        echo=_echo_from_wire(wire),
    )


def _echo_to_wire(message: Hello | AgentState) -> dict[str, int]:
    echo = message.echo
    return {
        "sequence": message.sequence,
        "echo_sequence": echo.sequence,
        "echo_age_ms": int(echo.age_s * 1000),
    }


def _echo_from_wire(wire: Any) -> Echo:
    return Echo(wire.echo_sequence or 0, (wire.echo_age_ms or 0) / 1000)


def _map_from_wire(wire: Any) -> PieceMap:
    return PieceMap(
        wire.model,
        wire.version,
        int.from_bytes(wire.bitmap, "big"),
        bool(wire.is_reply_wanted),
        wire.uploads or 0,
        bool(wire.is_retained),
    )


def _report_from_wire(wire: Any) -> CrashReport:
    return CrashReport(
        _crashes_from_wire(wire.crashes),
        _completions_from_wire(wire.completions),
        tuple(wire.ended or ()),
        _crashes_from_wire(wire.part_crashes),
        _completions_from_wire(wire.part_completions),
        tuple(wire.trials or ()),
        tuple(wire.ended_trials or ()),
    )


def _crashes_from_wire(wire: Any) -> tuple[ReportedCrash, ...]:
    return tuple(
        ReportedCrash(
            crash.digest,
            crash.upstream_key,
            crash.age_ms / 1000,
            crash.tried_parts or 0,
        )
        for crash in wire or ()
    )


def _completions_from_wire(wire: Any) -> dict[int, float]:
    return {each.digest: each.age_ms / 1000 for each in wire or ()}


def _summary_from_wire(wire: Any) -> CellSummary:
    upstreams = {
        each.upstream_key: UpstreamSummary(
            EngineLoad(each.writing, each.waiting, each.waiting_tokens, each.pace),
            each.model,
            each.version,
            bool(each.takes_requests),
        )
        for each in wire.upstreams
    }
    return CellSummary(wire.cell, upstreams)


def _update_from_wire(wire: Any) -> StoreUpdate:
    changes = None
    if wire.is_complete:
        changes = _decompress(wire.changes) if wire.changes else b""
    return StoreUpdate(
        wire.kind,
        wire.era,
        wire.from_revision,
        wire.revision,
        changes,
        None if wire.confirmed_age_ms < 0 else wire.confirmed_age_ms / 1000,
        wire.echo_started_ms,
        wire.echo_sequence,
        wire.echo_age_ms / 1000,
        bool(wire.is_after_outage),
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    changes = decompressor.decompress(data, MAX_CHANGES_BYTES)
    if not decompressor.eof:
        raise ExchangeError("a store update is incomplete or too large")
    return changes

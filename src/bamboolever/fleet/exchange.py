"""Encodes and decodes the datagrams between entries and agents."""

import zlib
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bamboolever._exchange_protocol import ttypes
from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet import crashcodec, limitcodec
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
    RolloutAge,
    StoreUpdate,
    UpstreamSummary,
)
from bamboolever.fleet.wirevalues import (
    age_from_wire,
    age_to_wire,
    count_from_wire,
    count_to_wire,
    oldest_age_from_wire,
    oldest_age_to_wire,
    slowdown_from_wire,
)
from bamboolever.net.addresses import parse_address

_FACTORY = TCompactProtocolAcceleratedFactory()
_UNKNOWN_VERSION = -1
# A store's response that expands to more is not decoded.
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
        return {"crash_report": crashcodec.report_to_wire(message)}
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
            ttypes.Rejected(digest, age_to_wire(age_s))
            for digest, age_s in message.ages_s.items()
        ]
        return {"rejections": ttypes.Rejections(rejected)}
    return {"piece_map": _map_to_wire(message)}


def _load_to_wire(message: EntryLoad) -> Any:
    wire_loads = [
        ttypes.UpstreamUse(
            key, load.writing, load.waiting, count_to_wire(load.waiting_tokens)
        )
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
            oldest_age_to_wire(rollout.age_s),
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
        count_to_wire(message.active),
        message.started_ms,
        message.is_down,
        **_echo_to_wire(message),
    )


def _summary_to_wire(message: CellSummary) -> Any:
    upstreams = [
        ttypes.UpstreamSummary(
            key,
            summary.load.writing,
            summary.load.waiting,
            count_to_wire(summary.load.waiting_tokens),
            summary.model,
            summary.version,
            summary.load.slowdown,
            summary.takes_requests,
        )
        for key, summary in message.upstreams.items()
    ]
    return ttypes.CellSummary(message.cell, upstreams)


def _update_to_wire(message: StoreUpdate) -> Any:
    changes = message.changes
    return ttypes.StoreUpdate(
        message.kind,
        message.era,
        message.from_revision,
        message.revision,
        zlib.compress(changes) if changes else b"",
        changes is not None,
        oldest_age_to_wire(message.confirmed_age_s),
        message.echo_started_ms,
        message.echo_sequence,
        age_to_wire(message.echo_age_s),
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
        message.is_named,
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
        return crashcodec.report_from_wire(datagram.crash_report)
    if datagram.rejections is not None:
        rejected = datagram.rejections.rejected
        return Rejections(
            {each.digest: age_from_wire(each.age_ms) for each in rejected}
        )
    if datagram.named_limits is not None:
        return limitcodec.limits_from_wire(datagram.named_limits)
    if datagram.permit_requests is not None:
        return limitcodec.requests_from_wire(datagram.permit_requests)
    if datagram.permit_grants is not None:
        return limitcodec.grants_from_wire(datagram.permit_grants)
    raise ExchangeError("datagram holds no message")


def _load_from_wire(wire: Any) -> EntryLoad:
    loads = {load.upstream_key: _engine_load_from_wire(load) for load in wire.uses}
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


def _engine_load_from_wire(wire: Any, slowdown: float = 1.0) -> EngineLoad:
    return EngineLoad(
        count_from_wire(wire.writing),
        count_from_wire(wire.waiting),
        count_from_wire(wire.waiting_tokens),
        slowdown,
    )


def _rollouts_from_wire(rollouts: Any) -> tuple[RolloutAge, ...]:
    return tuple(
        RolloutAge(
            rollout.model,
            rollout.version,
            oldest_age_from_wire(rollout.age_ms),
        )
        for rollout in rollouts
    )


def _state_from_wire(wire: Any) -> AgentState:
    return AgentState(
        parse_address(wire.upstream_address),
        wire.is_switching,
        None if wire.version == _UNKNOWN_VERSION else wire.version,
        slowdown_from_wire(wire.pace),
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
        "echo_age_ms": age_to_wire(echo.age_s),
    }


def _echo_from_wire(wire: Any) -> Echo:
    return Echo(wire.echo_sequence or 0, age_from_wire(wire.echo_age_ms or 0))


def _map_from_wire(wire: Any) -> PieceMap:
    return PieceMap(
        wire.model,
        wire.version,
        int.from_bytes(wire.bitmap, "big"),
        bool(wire.is_reply_wanted),
        wire.uploads or 0,
        bool(wire.is_retained),
        bool(wire.is_named),
    )


def _summary_from_wire(wire: Any) -> CellSummary:
    upstreams = {
        each.upstream_key: UpstreamSummary(
            _engine_load_from_wire(each, slowdown_from_wire(each.pace)),
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
        oldest_age_from_wire(wire.confirmed_age_ms),
        wire.echo_started_ms,
        wire.echo_sequence,
        age_from_wire(wire.echo_age_ms),
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    changes = decompressor.decompress(data, MAX_CHANGES_BYTES)
    if not decompressor.eof:
        raise ExchangeError("a store update is incomplete or too large")
    return changes

"""Encodes and decodes the datagrams between entries and agents.

A datagram may be lost, duplicated or delayed. Each therefore carries the sender's
complete state, not a change to it.
"""

import zlib
from dataclasses import dataclass
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bamboolever._exchange_protocol import ttypes
from bamboolever.calls.engine import EngineLoad
from bamboolever.net.addresses import Address, parse_address

_FACTORY = TCompactProtocolAcceleratedFactory()


class ExchangeError(Exception):
    """Raised when a datagram does not decode."""


@dataclass(frozen=True)
class Hello:
    """Sent by an entry to subscribe to an agent's state; the agent responds with it."""

    instance_id: str


@dataclass(frozen=True)
class EntryLoad:
    """An entry's load at each upstream where it has requests, by `upstream_key`.

    ``started_ms`` is the Unix time of the entry's start in milliseconds; with
    ``sequence`` it orders the loads of one entry. ``is_ready`` means that the
    entry may serve requests that carry an API key.
    """

    instance_id: str
    started_ms: int
    sequence: int
    loads: dict[int, EngineLoad]
    is_ready: bool = True


@dataclass(frozen=True)
class RolloutAge:
    """A version of a model and the seconds since its rollout started."""

    model: str
    version: int
    age_s: float


@dataclass(frozen=True)
class AgentState:
    """An agent's report on its upstream, with the entries and rollouts it knows.

    ``model`` and ``version`` name what the upstream serves with all layers; version 0
    means nothing. ``is_switching`` means that the upstream takes no requests because
    it changes its version. ``slowdown`` is the factor by which it is slower than its
    profile.
    """

    upstream: Address
    is_switching: bool
    version: int
    slowdown: float
    entries: tuple[Address, ...]
    rollouts: tuple[RolloutAge, ...] = ()
    model: str = ""


@dataclass(frozen=True)
class PieceMap:
    """The pieces of a version that an agent has verified.

    Bit N of ``bitmap`` stands for piece N. ``uploads`` is the number of pieces that
    the agent is sending or has queued. ``is_reply_wanted`` asks the receiver for its
    own piece map.
    """

    model: str
    version: int
    bitmap: int
    is_reply_wanted: bool = False
    uploads: int = 0


@dataclass(frozen=True)
class CrashReport:
    """Digests of the requests that an entry suspects of crashing an upstream."""

    digests: tuple[int, ...]


@dataclass(frozen=True)
class Rejections:
    """Rejected requests by digest, with the seconds since each first arrived."""

    ages_s: dict[int, float]


Message = Hello | EntryLoad | AgentState | PieceMap | CrashReport | Rejections


def upstream_key(instance_id: str, started_ms: int | None) -> int:
    """Return a signed 32-bit key of an upstream, which changes when it restarts.

    ``started_ms`` is the Unix time of the upstream's start in milliseconds.
    """
    key = zlib.crc32(f"{instance_id}\0{started_ms}".encode())
    return key - 2**32 if key >= 2**31 else key


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
    if isinstance(message, Hello):
        return {"hello": ttypes.Hello(message.instance_id)}
    if isinstance(message, EntryLoad):
        wire_loads = [
            ttypes.UpstreamUse(key, load.writing, load.waiting, load.waiting_tokens)
            for key, load in message.loads.items()
        ]
        wire = ttypes.EntryLoad(
            message.instance_id,
            message.started_ms,
            message.sequence,
            wire_loads,
            message.is_ready,
        )
        return {"entry_load": wire}
    if isinstance(message, AgentState):
        return {
            "agent_state": ttypes.AgentState(
                str(message.upstream),
                message.is_switching,
                message.version,
                message.slowdown,
                [str(address) for address in message.entries],
                [
                    ttypes.Naming(
                        rollout.model, rollout.version, int(rollout.age_s * 1000)
                    )
                    for rollout in message.rollouts
                ],
                message.model,
            )
        }
    if isinstance(message, CrashReport):
        return {"blame": ttypes.Blame(list(message.digests))}
    if isinstance(message, Rejections):
        rejected = [
            ttypes.Rejected(digest, int(age_s * 1000))
            for digest, age_s in message.ages_s.items()
        ]
        return {"rejections": ttypes.Rejections(rejected)}
    size = max(1, (message.bitmap.bit_length() + 7) // 8)
    return {
        "piece_map": ttypes.PieceMap(
            message.model,
            message.version,
            message.bitmap.to_bytes(size, "big"),
            message.is_reply_wanted,
            message.uploads,
        )
    }


def _from_wire(datagram: Any) -> Message:
    if datagram.hello is not None:
        return Hello(datagram.hello.instance_id)
    if datagram.entry_load is not None:
        wire = datagram.entry_load
        loads = {
            load.upstream_key: EngineLoad(
                load.writing, load.waiting, load.waiting_tokens
            )
            for load in wire.uses
        }
        return EntryLoad(
            wire.instance_id,
            wire.started_ms,
            wire.sequence,
            loads,
            bool(wire.is_ready),
        )
    if datagram.agent_state is not None:
        state = datagram.agent_state
        return AgentState(
            parse_address(state.upstream_address),
            state.is_switching,
            state.version,
            state.pace,
            tuple(parse_address(text) for text in state.entries),
            tuple(
                RolloutAge(rollout.model, rollout.version, rollout.age_ms / 1000)
                for rollout in state.namings
            ),
            state.model or "",
        )
    if datagram.piece_map is not None:
        pieces = datagram.piece_map
        return PieceMap(
            pieces.model,
            pieces.version,
            int.from_bytes(pieces.bitmap, "big"),
            bool(pieces.is_reply_wanted),
            pieces.uploads or 0,
        )
    if datagram.blame is not None:
        return CrashReport(tuple(datagram.blame.digests))
    if datagram.rejections is not None:
        rejected = datagram.rejections.rejected
        return Rejections(
            {rejection.digest: rejection.age_ms / 1000 for rejection in rejected}
        )
    raise ExchangeError("datagram holds no message")

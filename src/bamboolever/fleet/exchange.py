"""Codec of the datagrams between entries and agents.

Datagrams may be lost, doubled or late: each holds a whole state, not a change.
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
    """A datagram does not decode."""


@dataclass(frozen=True)
class Hello:
    """An entry makes itself known to an agent."""

    instance_id: str


@dataclass(frozen=True)
class EntryLoad:
    """An entry's requests at upstreams, by `upstream_key`.

    ``is_ready`` tells whether it may serve requests that carry a key.
    """

    instance_id: str
    started_ms: int
    sequence: int
    loads: dict[int, EngineLoad]
    is_ready: bool = True


@dataclass(frozen=True)
class RolloutAge:
    """A named version of a model and the seconds since it was named."""

    model: str
    version: int
    age_s: float


@dataclass(frozen=True)
class AgentState:
    """What an agent says of its upstream, the entries and namings it knows.

    ``version`` is of the model that the upstream serves whole; 0 is none.
    """

    upstream: Address
    is_switching: bool
    version: int
    pace: float
    entries: tuple[Address, ...]
    rollouts: tuple[RolloutAge, ...] = ()
    model: str = ""


@dataclass(frozen=True)
class PieceMap:
    """Which pieces of a version an agent has verified, as a bit set."""

    model: str
    version: int
    bitmap: int
    is_reply_wanted: bool = False
    uploads: int = 0


@dataclass(frozen=True)
class CrashReport:
    """Requests that an entry blames for the crash of an upstream, by digest."""

    digests: tuple[int, ...]


@dataclass(frozen=True)
class Rejections:
    """Rejected requests by digest, with the seconds since each first arrived."""

    ages_s: dict[int, float]


Message = Hello | EntryLoad | AgentState | PieceMap | CrashReport | Rejections


def upstream_key(instance_id: str, started_ms: int | None) -> int:
    """Return a short key for one incarnation of an upstream."""
    key = zlib.crc32(f"{instance_id}\0{started_ms}".encode())
    return key - 2**32 if key >= 2**31 else key


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return serialize(ttypes.Datagram(**_fields(message)), _FACTORY)


def decode(data: bytes) -> Message:
    """Return the message of a datagram.

    Raises `ExchangeError` when the bytes do not decode.
    """
    try:
        datagram = deserialize(ttypes.Datagram(), data, _FACTORY)
        return _message(datagram)
    except ExchangeError:
        raise
    except Exception as error:
        raise ExchangeError(f"undecodable datagram of {len(data)} bytes") from error


def _fields(message: Message) -> dict[str, Any]:
    if isinstance(message, Hello):
        return {"hello": ttypes.Hello(message.instance_id)}
    if isinstance(message, EntryLoad):
        uses = [
            ttypes.UpstreamUse(key, load.writing, load.waiting, load.waiting_tokens)
            for key, load in message.loads.items()
        ]
        wire = ttypes.EntryLoad(
            message.instance_id,
            message.started_ms,
            message.sequence,
            uses,
            message.is_ready,
        )
        return {"entry_load": wire}
    if isinstance(message, AgentState):
        return {
            "agent_state": ttypes.AgentState(
                str(message.upstream),
                message.is_switching,
                message.version,
                message.pace,
                [str(address) for address in message.entries],
                [
                    ttypes.Naming(item.model, item.version, int(item.age_s * 1000))
                    for item in message.rollouts
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


def _message(datagram: Any) -> Message:
    if datagram.hello is not None:
        return Hello(datagram.hello.instance_id)
    if datagram.entry_load is not None:
        wire = datagram.entry_load
        uses = {
            use.upstream_key: EngineLoad(use.writing, use.waiting, use.waiting_tokens)
            for use in wire.uses
        }
        return EntryLoad(
            wire.instance_id,
            wire.started_ms,
            wire.sequence,
            uses,
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
                RolloutAge(item.model, item.version, item.age_ms / 1000)
                for item in state.namings
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
        return Rejections({item.digest: item.age_ms / 1000 for item in rejected})
    raise ExchangeError("an empty datagram")

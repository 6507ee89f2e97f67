"""Framing, codec and peer authentication of the project's own protocol.

A frame is a four-byte big-endian length followed by one `Frame` in thrift's
binary encoding. Peers prove knowledge of a shared key with HMAC-SHA256 over
both sides' nonces; several keys may be valid while one is rotated out.
"""

import hashlib
import hmac
import struct
from collections.abc import Iterator
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bamboolever._protocol.ttypes import Frame

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 2**20
MAX_UNAUTHENTICATED_FRAME_BYTES = 4096
NONCE_BYTES = 16

_FACTORY = TBinaryProtocolAcceleratedFactory()
_LENGTH = struct.Struct(">I")


class WireError(Exception):
    """The peer sent bytes that are no frame of this protocol."""


def encode_frame(**message: Any) -> bytes:
    """Return the wire bytes of a frame with one message, named by its field."""
    body = serialize(Frame(**message), _FACTORY)
    return _LENGTH.pack(len(body)) + body


def decode_frame(body: bytes) -> Frame:
    """Return the frame in ``body``.

    Raises `WireError` when the bytes do not decode.
    """
    try:
        return deserialize(Frame(), body, _FACTORY)
    except Exception as error:
        raise WireError(f"undecodable frame of {len(body)} bytes") from error


class FrameDecoder:
    """Collects received bytes and yields whole frames; memory is bounded."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.max_frame_bytes = MAX_UNAUTHENTICATED_FRAME_BYTES

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each frame they complete.

        Raises `WireError` on an oversized or undecodable frame.
        """
        self._data += data
        while len(self._data) >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(self._data)
            if length > self.max_frame_bytes:
                raise WireError(f"a frame of {length} bytes is over the limit")
            end = LENGTH_BYTES + length
            if len(self._data) < end:
                return
            body = bytes(self._data[LENGTH_BYTES:end])
            del self._data[:end]
            yield decode_frame(body)


def prove_key(key: bytes, role: str, nonces: tuple[bytes, bytes]) -> bytes:
    """Return the proof that a peer in ``role`` knows ``key``."""
    message = b"\0".join([role.encode(), nonces[0].hex().encode(), nonces[1]])
    return hmac.new(key, message, hashlib.sha256).digest()


def is_proof_valid(
    keys: list[bytes], role: str, nonces: tuple[bytes, bytes], proof: bytes
) -> bool:
    """Tell whether ``proof`` was made with one of ``keys``."""
    return any(hmac.compare_digest(prove_key(key, role, nonces), proof) for key in keys)

"""Framing, codec and authentication of the protocol between entries and agents.

A frame is a four-byte big-endian length followed by one `Frame` in thrift's
binary encoding. Peers prove that they know a shared key with HMAC-SHA256 over both
sides' nonces. Several keys are valid while one is rotated out.
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


class ProtocolError(Exception):
    """The peer sent an invalid or unexpected frame, or failed to authenticate."""


def encode_frame(**message: Any) -> bytes:
    """Return the bytes of a frame, including its length.

    ``message`` is one field of `Frame` and its value.
    """
    body = serialize(Frame(**message), _FACTORY)
    return _LENGTH.pack(len(body)) + body


def decode_frame(body: bytes) -> Frame:
    """Return the frame in ``body``, the bytes after the length.

    Raises `ProtocolError` when they cannot be decoded.
    """
    try:
        return deserialize(Frame(), body, _FACTORY)
    except Exception as error:
        raise ProtocolError(f"undecodable frame of {len(body)} bytes") from error


class FrameDecoder:
    """Splits a stream of received bytes into frames.

    ``max_frame_bytes`` bounds the memory that a peer can take up. It starts low and
    is raised once the peer is authenticated.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self.max_frame_bytes = MAX_UNAUTHENTICATED_FRAME_BYTES

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each frame that is complete.

        Raises `ProtocolError` for an oversized or undecodable frame.
        """
        self._data += data
        while len(self._data) >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(self._data)
            if length > self.max_frame_bytes:
                raise ProtocolError(f"a frame of {length} bytes is over the limit")
            end = LENGTH_BYTES + length
            if len(self._data) < end:
                return
            body = bytes(self._data[LENGTH_BYTES:end])
            del self._data[:end]
            yield decode_frame(body)


def compute_proof(key: bytes, role: str, nonces: tuple[bytes, bytes]) -> bytes:
    """Return the proof of a peer that it knows ``key``.

    ``role`` is "client" or "server". ``nonces`` are the server's and the client's,
    in this order.
    """
    message = b"\0".join([role.encode(), nonces[0].hex().encode(), nonces[1]])
    return hmac.new(key, message, hashlib.sha256).digest()


def is_proof_valid(
    keys: list[bytes], role: str, nonces: tuple[bytes, bytes], proof: bytes
) -> bool:
    """Return whether ``proof`` was computed with one of ``keys``.

    ``role`` and ``nonces`` are those of `compute_proof`.
    """
    return any(
        hmac.compare_digest(compute_proof(key, role, nonces), proof) for key in keys
    )

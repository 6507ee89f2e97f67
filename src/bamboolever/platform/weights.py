"""Requests to model engines and to the origin of weights, and their responses."""

import json
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from pydantic import Field

from bamboolever.fleet.records import EngineReport
from bamboolever.net.addresses import Address
from bamboolever.net.messages import Request
from bamboolever.platform import names
from bamboolever.platform.calls import host_header
from bamboolever.platform.documents import decode_report
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.jsontext import decode_json
from bamboolever.platform.models import DeferredModel, validate
from bamboolever.platform.values import MAX_PIECES, Name, Ordinal, PieceNumber

ORDER_ACCEPTED_STATUS = 202
ORDER_IN_EFFECT_STATUS = 200
ORDER_CONFLICT_STATUS = 409
VERSION_GONE_STATUS = 410
SHA256_BYTES = 32


class _Manifest(DeferredModel):
    model: Name
    version: Ordinal
    digests: list[str] = Field(max_length=MAX_PIECES)


class _StagedList(DeferredModel):
    held: list[PieceNumber]


@dataclass(frozen=True)
class PieceDigests:
    """SHA-256 digests of a version's pieces, in the order of their numbers."""

    model: str
    version: int
    digests: tuple[bytes, ...]


def report_request(address: Address) -> Request:
    """Return the request for an engine's report."""
    return Request(b"GET", names.REPORT_PATH, (host_header(address),))


def decode_report_body(body: bytes) -> EngineReport:
    """Decode the response body of `report_request`.

    Raises `AdapterError` when it does not decode.
    """
    return decode_report(decode_json(body))


def manifest_request(address: Address, model: str, version: int | None) -> Request:
    """Return the request to the origin for the digests of a version.

    None stands for the newest version.
    """
    query = "" if version is None else "?" + urlencode({"version": version})
    return _get(address, f"{names.MANIFEST_PATH}{quote(model)}{query}")


def decode_manifest(body: bytes) -> PieceDigests:
    """Decode the response body of `manifest_request`.

    Raises `AdapterError` when it does not decode or a digest is not of 32 bytes.
    """
    try:
        wire = validate(_Manifest, decode_json(body))
        digests = tuple(bytes.fromhex(text) for text in wire.digests)
    except ValueError as error:
        raise AdapterError(f"manifest does not decode: {error}") from error
    if any(len(digest) != SHA256_BYTES for digest in digests):
        raise AdapterError(f"a SHA-256 digest must have {SHA256_BYTES} bytes")
    return PieceDigests(wire.model, wire.version, digests)


def piece_request(address: Address, model: str, version: int, number: int) -> Request:
    """Return the request to the origin for one piece."""
    query = urlencode({"number": number, "version": version})
    return _get(address, f"{names.PIECE_PATH}{quote(model)}?{query}")


def stage_request(address: Address, model: str, number: int, data: bytes) -> Request:
    """Return the request that writes one piece to an engine's staging area."""
    path = f"{names.STAGE_PUT_PATH}{quote(model)}?{urlencode({'number': number})}"
    return Request(b"PUT", path.encode(), (host_header(address),), data)


def staged_piece_request(address: Address, model: str, number: int) -> Request:
    """Return the request that reads one piece from an engine's staging area."""
    query = urlencode({"number": number})
    return _get(address, f"{names.STAGE_GET_PATH}{quote(model)}?{query}")


def staged_list_request(address: Address, model: str) -> Request:
    """Return the request that lists the pieces in an engine's staging area."""
    return _get(address, f"{names.STAGE_GET_PATH}{quote(model)}")


def decode_staged_list(body: bytes) -> frozenset[int]:
    """Decode the response body of `staged_list_request` to piece numbers.

    Raises `AdapterError` when it does not decode.
    """
    try:
        return frozenset(validate(_StagedList, decode_json(body)).held)
    except ValueError as error:
        raise AdapterError(f"staged list does not decode: {error}") from error


def start_order_request(
    address: Address, model: str, version: int, *, is_immediate: bool
) -> Request:
    """Return the request that orders an engine to load the staged pieces.

    When ``is_immediate`` is true, the engine aborts its running requests; otherwise
    it waits for them.
    """
    order = {
        "operation": "start",
        "model": model,
        "version": version,
        "switchMode": "cut_off" if is_immediate else "wait",
    }
    headers = (host_header(address), (b"Content-Type", b"application/json"))
    return Request(b"POST", names.ORDER_PATH, headers, json.dumps(order).encode())


def _get(address: Address, target: str) -> Request:
    return Request(b"GET", target.encode(), (host_header(address),))

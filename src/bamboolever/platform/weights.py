"""Formats of the calls to model engines and to the origin of weights."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from bamboolever.fleet.records import EngineReport
from bamboolever.net.addresses import Address
from bamboolever.net.messages import Request
from bamboolever.platform import names
from bamboolever.platform.calls import host_header
from bamboolever.platform.documents import decode_report
from bamboolever.platform.errors import AdapterError

ORDER_ACCEPTED_STATUS = 202
ORDER_IN_EFFECT_STATUS = 200
ORDER_CONFLICT_STATUS = 409
VERSION_GONE_STATUS = 410


@dataclass(frozen=True)
class PieceDigests:
    """SHA-256 digests of a version's pieces, in their order."""

    model: str
    version: int
    digests: tuple[bytes, ...]


def report_request(address: Address) -> Request:
    """Return the call that asks an engine for its report."""
    return Request(b"GET", names.REPORT_PATH, (host_header(address),))


def decode_report_body(body: bytes) -> EngineReport:
    """Return an engine's report.

    Raises `AdapterError` when it does not decode.
    """
    return decode_report(_json(body))


def manifest_request(address: Address, model: str, version: int | None) -> Request:
    """Return the call that asks the origin for digests; None is the newest."""
    query = "" if version is None else "?" + urlencode({"version": version})
    return _get(address, f"{names.MANIFEST_PATH}{quote(model)}{query}")


def decode_manifest(body: bytes) -> PieceDigests:
    """Return the digests of a version; raises `AdapterError`."""
    answer = _json(body)
    try:
        digests = tuple(bytes.fromhex(text) for text in answer["digests"])
        if any(len(digest) != 32 for digest in digests):
            raise ValueError("a digest has another length")
        return PieceDigests(str(answer["model"]), int(answer["version"]), digests)
    except (ValueError, KeyError, TypeError) as error:
        raise AdapterError(f"manifest does not decode: {error}") from error


def piece_request(address: Address, model: str, version: int, number: int) -> Request:
    """Return the call that asks the origin for one piece."""
    query = urlencode({"number": number, "version": version})
    return _get(address, f"{names.PIECE_PATH}{quote(model)}?{query}")


def stage_request(address: Address, model: str, number: int, data: bytes) -> Request:
    """Return the call that lays one piece beside an engine."""
    path = f"{names.STAGE_PUT_PATH}{quote(model)}?{urlencode({'number': number})}"
    return Request(b"PUT", path.encode(), (host_header(address),), data)


def staged_piece_request(address: Address, model: str, number: int) -> Request:
    """Return the call that reads one piece back."""
    query = urlencode({"number": number})
    return _get(address, f"{names.STAGE_GET_PATH}{quote(model)}?{query}")


def staged_list_request(address: Address, model: str) -> Request:
    """Return the call that lists which pieces lie beside an engine."""
    return _get(address, f"{names.STAGE_GET_PATH}{quote(model)}")


def decode_staged_list(body: bytes) -> frozenset[int]:
    """Return the numbers of the staged pieces; raises `AdapterError`."""
    try:
        return frozenset(int(number) for number in _json(body)["held"])
    except (ValueError, KeyError, TypeError) as error:
        raise AdapterError(f"staged list does not decode: {error}") from error


def start_order_request(
    address: Address, model: str, version: int, *, is_immediate: bool
) -> Request:
    """Return the order to load the staged pieces.

    ``is_immediate`` ends running work at once; else the engine waits for it.
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


def _json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise AdapterError(f"not JSON: {error}") from error

"""Requests that list and watch the platform's object store, and their responses."""

import json
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote, urlencode

from bamboolever.net.messages import Request, ResponseHead
from bamboolever.net.numbers import parse_whole_number
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.jsontext import decode_json_members
from bamboolever.platform.names import OBJECTS_PATH, STORE_ERA
from bamboolever.platform.values import MAX_INT64, is_name

logger = logging.getLogger(__name__)

HISTORY_GONE_STATUS = 410
# How deep the metadata and the specification of an object lie in a response.
_LISTING_LEVELS = 3
_CHANGES_LEVELS = 4
_HOST = (b"Host", b"store")


@dataclass(frozen=True)
class StoredDocument:
    """One object of the store; ``value`` is None when it was deleted.

    ``revision`` is that of its last change, or None if it is not stated.
    """

    name: str
    value: Any
    revision: int | None = None


@dataclass(frozen=True)
class StoreListing:
    """Objects of one kind, as of a revision of the store.

    When ``has_more`` is true, the response is one page: the next request continues
    after the last name.
    """

    documents: tuple[StoredDocument, ...]
    revision: int
    has_more: bool = False


def list_request(kind: str, *, after: str = "", is_stale_ok: bool = False) -> Request:
    """Return the request for a kind's objects with names that sort after ``after``.

    With ``is_stale_ok`` the objects may be seconds old, and the call costs less.
    """
    parameters = {}
    if after:
        parameters["after"] = after
    if is_stale_ok:
        parameters["allowStale"] = "1"
    query = "?" + urlencode(parameters) if parameters else ""
    return _get(f"{OBJECTS_PATH}{quote(kind)}{query}")


def watch_request(kind: str, *, revision: int, wait_s: float) -> Request:
    """Return the request that waits for changes of a kind's objects after a revision.

    The store responds with the first changes, or with none after ``wait_s`` seconds.
    """
    query = urlencode({"watch": revision, "waitMs": int(wait_s * 1000)})
    return _get(f"{OBJECTS_PATH}{quote(kind)}?{query}")


def decode_listing(body: bytes) -> StoreListing:
    """Decode the response body of `list_request`.

    Objects that do not decode are left out, or have an empty value if their name does.
    Raises `AdapterError` when the body itself does not decode.
    """
    content = _decode_page(body, _LISTING_LEVELS)
    return StoreListing(
        tuple(_parse_all(content, "items", _parse_object)),
        _parse_position(content),
        bool(content.get("hasMore", False)),
    )


def response_era(head: ResponseHead) -> int | None:
    """Return how often the store was restored from a copy, or None if not stated."""
    return parse_whole_number(head.get(STORE_ERA.lower()))


def split_changes(body: bytes, max_bytes: int) -> list[tuple[int, bytes]]:
    """Split the response body of `watch_request` into parts of at most ``max_bytes``.

    Returns each part with the revision that it leads to, oldest first. Returns an
    empty list if a single change is larger. Raises `AdapterError` when the body does
    not decode.
    """
    content = _decode_page(body, _CHANGES_LEVELS)
    at = _parse_position(content)
    parts: list[tuple[int, list[Any]]] = []
    size = 0
    for event in _parse_list(content, "events"):
        document = _parse_event(event)
        if document is None or document.revision is None:
            continue
        revision = document.revision
        event_size = len(json.dumps(event, separators=(",", ":")))
        if event_size > max_bytes:
            return []
        if not parts or size + event_size > max_bytes:
            parts.append((max([revision, *(last for last, _ in parts[-1:])]), []))
            size = 0
        # A deletion may state the revision of an earlier change.
        parts[-1] = (max(revision, parts[-1][0]), [*parts[-1][1], event])
        size += event_size
    if parts:
        parts[-1] = (at, parts[-1][1])
    return [
        (revision, json.dumps({"events": part, "at": revision}).encode())
        for revision, part in parts
    ]


def decode_changes(body: bytes) -> StoreListing:
    """Decode the response body of `watch_request`, oldest change first.

    Objects that do not decode are left out, or have an empty value if their name does.
    Raises `AdapterError` when the body itself does not decode.
    """
    content = _decode_page(body, _CHANGES_LEVELS)
    return StoreListing(
        tuple(_parse_all(content, "events", _parse_event)), _parse_position(content)
    )


def _get(target: str) -> Request:
    return Request(b"GET", target.encode(), (_HOST,))


def _decode_page(body: bytes, levels: int) -> dict[str, Any]:
    content = decode_json_members(body, levels)
    if not isinstance(content, dict):
        raise AdapterError("store response is not an object")
    return content


def _parse_position(content: dict[str, Any]) -> int:
    """Return the store's revision as of a response."""
    revision = _parse_revision(content.get("at"))
    if revision is None:
        raise AdapterError("store response has no revision")
    return revision


def _parse_list(content: dict[str, Any], field: str) -> list[Any]:
    found = content.get(field)
    if not isinstance(found, list):
        raise AdapterError(f"store response has no list of {field}")
    return found


def _parse_all(
    content: dict[str, Any], field: str, parse: Callable[[Any], StoredDocument | None]
) -> Iterator[StoredDocument]:
    for raw in _parse_list(content, field):
        document = parse(raw)
        if document is not None:
            yield document
        else:
            logger.warning("store object ignored", extra={"object": repr(raw)[:100]})


def _parse_event(raw: Any) -> StoredDocument | None:
    if not isinstance(raw, dict):
        return None
    document = _parse_object(raw.get("object"))
    if document is None or not raw.get("deleted"):
        return document
    return replace(document, value=None)


def _parse_object(raw: Any) -> StoredDocument | None:
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        return None
    name = raw["metadata"].get("name")
    if not isinstance(name, str) or not is_name(name):
        return None
    # An object without content is not a deletion. It gets an empty value, which the
    # decoders of stored documents do not accept.
    value = raw.get("specification")
    revision = _parse_revision(raw["metadata"].get("revision"))
    return StoredDocument(name, {} if value is None else value, revision)


def _parse_revision(value: Any) -> int | None:
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if 0 <= value <= MAX_INT64 else None

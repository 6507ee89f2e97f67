"""Requests that list and watch the platform's object store, and their responses."""

import json
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote, urlencode

from bamboolever.net.messages import Request, ResponseHead
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.names import OBJECTS_PATH, STORE_ERA

HISTORY_GONE_STATUS = 410
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

    Objects that do not decode are left out. Raises `AdapterError` when the body
    itself does not decode.
    """
    try:
        content = json.loads(body)
        documents = (_parse_object(raw) for raw in content["items"])
        return StoreListing(
            tuple(document for document in documents if document is not None),
            int(content["at"]),
            bool(content.get("hasMore", False)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise AdapterError(f"store listing does not decode: {error}") from error


def response_era(head: ResponseHead) -> int | None:
    """Return how often the store was restored from a copy, or None if not stated."""
    value = head.get(STORE_ERA.lower())
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def split_changes(body: bytes, max_bytes: int) -> list[tuple[int, bytes]]:
    """Split the response body of `watch_request` into parts of at most ``max_bytes``.

    Returns each part with the revision that it leads to, oldest first. Returns an
    empty list if a single change is larger. Raises `AdapterError` when the body does
    not decode.
    """
    try:
        content = json.loads(body)
        events, at = content["events"], int(content["at"])
        revisions = [int(event["object"]["metadata"]["revision"]) for event in events]
    except (ValueError, KeyError, TypeError) as error:
        raise AdapterError(f"store changes do not decode: {error}") from error
    parts: list[tuple[int, list[Any]]] = []
    size = 0
    for event, revision in zip(events, revisions, strict=True):
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

    Objects that do not decode are left out. Raises `AdapterError` when the body
    itself does not decode.
    """
    try:
        content = json.loads(body)
        documents = []
        for event in content["events"]:
            document = _parse_object(event["object"])
            if document is None:
                continue
            if event.get("deleted"):
                document = replace(document, value=None)
            documents.append(document)
        return StoreListing(tuple(documents), int(content["at"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise AdapterError(f"store changes do not decode: {error}") from error


def _get(target: str) -> Request:
    return Request(b"GET", target.encode(), (_HOST,))


def _parse_object(raw: Any) -> StoredDocument | None:
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        return None
    name = raw["metadata"].get("name")
    if not isinstance(name, str):
        return None
    # An object without content is not a deletion. It gets an empty value, which the
    # decoders of stored documents do not accept.
    value = raw.get("specification")
    revision = raw["metadata"].get("revision")
    if not isinstance(revision, int) or isinstance(revision, bool):
        revision = None
    return StoredDocument(name, {} if value is None else value, revision)

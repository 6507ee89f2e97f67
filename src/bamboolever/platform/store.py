"""Formats of the store's calls: lists, watches and their answers."""

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

from bamboolever.net.messages import Request
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.names import OBJECTS_PATH

HISTORY_GONE_STATUS = 410
_HOST = (b"Host", b"store")


@dataclass(frozen=True)
class StoredDocument:
    """One object of the store; ``value`` is None where it was deleted."""

    name: str
    value: Any


@dataclass(frozen=True)
class StoreListing:
    """Objects of one kind; ``has_more`` asks for the names after the last."""

    documents: tuple[StoredDocument, ...]
    revision: int
    has_more: bool = False


def list_request(kind: str, *, after: str = "") -> Request:
    """Return the call that lists the objects of a kind."""
    query = "?" + urlencode({"after": after}) if after else ""
    return _get(f"{OBJECTS_PATH}{quote(kind)}{query}")


def watch_request(kind: str, *, revision: int, wait_s: float) -> Request:
    """Return the call that waits for changes after a revision."""
    query = urlencode({"watch": revision, "waitMs": int(wait_s * 1000)})
    return _get(f"{OBJECTS_PATH}{quote(kind)}?{query}")


def decode_listing(body: bytes) -> StoreListing:
    """Return the answer to `list_request`.

    Objects that cannot be read are left out. Raises `AdapterError` when the
    answer as a whole does not decode.
    """
    try:
        answer = json.loads(body)
        documents = (_document(item) for item in answer["items"])
        return StoreListing(
            tuple(item for item in documents if item is not None),
            int(answer["at"]),
            bool(answer.get("hasMore", False)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise AdapterError(f"store listing does not decode: {error}") from error


def decode_changes(body: bytes) -> StoreListing:
    """Return the answer to `watch_request`, oldest change first.

    Raises `AdapterError` when it does not decode.
    """
    try:
        answer = json.loads(body)
        documents = []
        for event in answer["events"]:
            document = _document(event["object"])
            if document is None:
                continue
            if event.get("deleted"):
                document = StoredDocument(document.name, None)
            documents.append(document)
        return StoreListing(tuple(documents), int(answer["at"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise AdapterError(f"store changes do not decode: {error}") from error


def _get(target: str) -> Request:
    return Request(b"GET", target.encode(), (_HOST,))


def _document(item: Any) -> StoredDocument | None:
    if not isinstance(item, dict) or not isinstance(item.get("metadata"), dict):
        return None
    name = item["metadata"].get("name")
    if not isinstance(name, str):
        return None
    # An object without content is not a deletion: it names nothing usable.
    value = item.get("specification")
    return StoredDocument(name, {} if value is None else value)

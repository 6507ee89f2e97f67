"""Passes all objects of a kind from an entry to another process, over HTTP.

Takes requests that name the era and revision that the asking process knows. Responds
with the objects if they are newer, compressed, and with the age of their confirmation.

Load pattern: a large configuration that changes often, and dozens of processes at the
far end of a narrow link to the store. One entry of a cell reads each version there; the
others, and agents that start, get it from that entry. The objects are compressed once
for each change, however many ask.
"""

import json
import logging
import math
import zlib
from collections.abc import Callable
from typing import final
from urllib.parse import parse_qs, quote, unquote, urlsplit

from bamboolever.config.kindstate import Snapshot
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.exchange import ExchangeFailure
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.net.handlers import RequestHandler
from bamboolever.net.messages import Request, ResponseHead
from bamboolever.net.numbers import parse_whole_number
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.jsontext import decode_json
from bamboolever.platform.store import StoredDocument

logger = logging.getLogger(__name__)

PATH_PREFIX = "/snapshots/"
MAX_SNAPSHOT_BYTES = 64 * 2**20
COMPRESSION_LEVEL = 3
# A neighbor that sends nothing for longer is not asked further. Its response takes
# milliseconds; a lost packet is sent again after a second at most.
STALL_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 1.2
MAX_IDLE_S = 5.0
# Bounds a neighbor that sends little by little.
TOTAL_TIMEOUT_S = 10.0
_ERA = b"snapshot-era"
_REVISION = b"snapshot-revision"
_CHANGED_REVISION = b"snapshot-changed-revision"
_AGE_S = b"snapshot-age-s"


class SnapshotError(Exception):
    """A response does not decode to a snapshot."""


def encode_documents(documents: tuple[StoredDocument, ...]) -> bytes:
    """Return the compressed form of a snapshot's objects."""
    content = [[each.name, each.value, each.revision] for each in documents]
    text = json.dumps(content, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_documents(data: bytes) -> tuple[StoredDocument, ...]:
    """Reverse `encode_documents`; raise `SnapshotError` if that is not possible."""
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
        if not decompressor.eof:
            raise SnapshotError("snapshot is cut off or over the limit")
        return tuple(
            StoredDocument(
                str(name), value, None if revision is None else int(revision)
            )
            for name, value, revision in decode_json(text)
        )
    except (zlib.error, AdapterError, ArithmeticError, ValueError, TypeError) as error:
        raise SnapshotError(f"snapshot does not decode: {error}") from error


@final
class SnapshotHandler(RequestHandler):
    """Responds to the requests of `fetch_snapshot`; 404 for what is not known here.

    ``find_snapshot`` returns the objects of a kind and a number that changes with them.
    """

    def __init__(
        self,
        now: Callable[[], float],
        find_snapshot: Callable[[str], tuple[Snapshot, int] | None],
    ):
        self._now = now
        self._find_snapshot = find_snapshot
        # The last compressed objects of each kind.
        self._encoded: dict[str, tuple[int, bytes]] = {}

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Called for each request: responds at once."""
        url = urlsplit(request.target.decode("latin-1"))
        kind = unquote(url.path.removeprefix(PATH_PREFIX))
        found = self._find_snapshot(kind) if url.path.startswith(PATH_PREFIX) else None
        if found is None:
            connection.respond(404, [])
            return
        snapshot, change_count = found
        headers = [
            (_ERA, str(snapshot.era).encode()),
            (_REVISION, str(snapshot.revision).encode()),
            (_CHANGED_REVISION, str(snapshot.changed_revision).encode()),
        ]
        if snapshot.as_of is not None:
            headers.append((_AGE_S, repr(self._now() - snapshot.as_of).encode()))
        body = b""
        if not _knows(url.query, snapshot):
            body = self._encode(kind, snapshot, change_count)
        connection.respond(200, headers, body)

    def _encode(self, kind: str, snapshot: Snapshot, change_count: int) -> bytes:
        known = self._encoded.get(kind)
        if known is not None and known[0] == change_count:
            return known[1]
        body = encode_documents(snapshot.documents or ())
        self._encoded[kind] = (change_count, body)
        return body

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Called when the asking process disconnects: ignored, nothing is pending."""

    def on_rejected(self, status: int, reason: str) -> None:
        """Called for a malformed request: logs the reason."""
        logger.warning("snapshot request rejected", extra={"reason": reason})


def fetch_snapshot(
    pool: ConnectionPool,
    address: Address,
    kind: str,
    on_snapshot: Callable[[Snapshot | None], None],
    *,
    era: int = 0,
    revision: int | None = None,
) -> Fetch:
    """Ask the entry at ``address`` for the objects of a kind.

    ``era`` and ``revision`` are what is known here; None if nothing is. Calls
    ``on_snapshot`` once, with None if the entry does not respond or knows no objects.
    ``as_of`` of the snapshot counts from when the request was sent, on this clock.
    """
    query = f"?era={era}&known={revision}" if revision is not None else ""
    target = f"{PATH_PREFIX}{quote(kind, safe='')}{query}"
    request = Request(b"GET", target.encode(), ((b"Host", str(address).encode()),))

    def on_result(result: FetchResult) -> None:
        if isinstance(result, ExchangeFailure):
            on_snapshot(None)
            return
        try:
            on_snapshot(_decode_response(result))
        except SnapshotError as error:
            logger.warning("snapshot ignored", extra={"reason": str(error)})
            on_snapshot(None)

    return Fetch.start(
        pool,
        address,
        request,
        on_result,
        timeout_s=TOTAL_TIMEOUT_S,
        stall_timeout_s=STALL_TIMEOUT_S,
    )


def _decode_response(response: Response) -> Snapshot | None:
    if not response.head.is_success:
        return None
    return Snapshot(
        _read_number(response.head, _ERA),
        _read_number(response.head, _REVISION),
        _read_number(response.head, _CHANGED_REVISION),
        decode_documents(response.body) if response.body else None,
        _read_as_of(response),
    )


def _read_as_of(response: Response) -> float | None:
    value = response.head.get(_AGE_S)
    if value is None:
        return None
    try:
        age_s = float(value)
    except ValueError as error:
        raise SnapshotError(f"age is not a number: {value!r}") from error
    if not math.isfinite(age_s):
        raise SnapshotError(f"age is not finite: {value!r}")
    return response.sent_at - max(0.0, age_s)


def _read_number(head: ResponseHead, name: bytes) -> int:
    number = parse_whole_number(head.get(name))
    if number is None:
        raise SnapshotError(f"no number in {name.decode()}")
    return number


def _knows(query: str, snapshot: Snapshot) -> bool:
    parameters = parse_qs(query)
    era = parse_whole_number(parameters.get("era", [""])[0].encode())
    known = parse_whole_number(parameters.get("known", [""])[0].encode())
    if era is None or known is None:
        return False
    return era == snapshot.era and known >= snapshot.revision

"""Snapshots passed from one process to another, without sockets."""

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.kindstate import Snapshot
from bamboolever.daemons.snapshots import (
    STALL_TIMEOUT_S,
    SnapshotError,
    SnapshotHandler,
    decode_documents,
    encode_documents,
    fetch_snapshot,
)
from bamboolever.net.addresses import Address
from bamboolever.net.messages import ResponseHead
from bamboolever.platform.store import StoredDocument

ADDRESS = Address("10.0.0.1", 7700)
DOCUMENTS = (
    StoredDocument("main", {"version": 3, "routes": [{"host": "é"}] * 500}, 7),
    StoredDocument("other", {}, None),
)


class Connection:
    def __init__(self):
        self.responses = []

    def respond(self, status, headers, body=b""):
        self.responses.append((status, headers, body))


class Neighbor:
    """A process that has a snapshot, and the pool of one that asks it."""

    def __init__(self):
        self.task = ManualTask()
        self.pool = ManualPool(self.task)
        self.now = 5000.0
        self.snapshot = Snapshot(1, 9, 8, DOCUMENTS, 4999.5)
        self.received = []
        self.handler = SnapshotHandler(
            lambda: self.now,
            lambda kind: (self.snapshot, 1) if kind == "a/b" else None,
        )

    def ask(self, kind="a/b", **known):
        fetch_snapshot(self.pool, ADDRESS, kind, self.received.append, **known)

    def respond(self):
        connection = Connection()
        self.handler.on_request(connection, self.pool.requests[-1])
        ((status, headers, body),) = connection.responses
        handler = self.pool.sent[-1][1]
        handler.on_head(ResponseHead(status, tuple(headers)))
        if body:
            handler.on_data(body)
        handler.on_end()


@pytest.fixture
def neighbor():
    return Neighbor()


def test_snapshot_holds_all_objects(neighbor):
    neighbor.ask()
    neighbor.respond()
    (snapshot,) = neighbor.received
    assert snapshot.documents == DOCUMENTS
    assert (snapshot.era, snapshot.revision, snapshot.changed_revision) == (1, 9, 8)


def test_confirmation_of_a_snapshot_is_never_too_young(neighbor):
    """Its age counts from when the request was sent, however late the response is."""
    neighbor.ask()
    sent_at = neighbor.task.now()
    neighbor.task.advance(STALL_TIMEOUT_S / 2)
    neighbor.now += 0.3
    neighbor.respond()
    neighbor.now = neighbor.snapshot.as_of - 3.0
    neighbor.ask()
    neighbor.respond()
    first, second = neighbor.received
    assert first.as_of == pytest.approx(sent_at - 0.8)
    assert second.as_of == neighbor.task.now()


def test_snapshot_that_is_known_has_no_objects(neighbor):
    for known in ({"era": 1, "revision": 9}, {"era": 1, "revision": 12}):
        neighbor.ask(**known)
        neighbor.respond()
    for older in ({"era": 1, "revision": 8}, {"era": 0, "revision": 12}):
        neighbor.ask(**older)
        neighbor.respond()
    documents = [snapshot.documents for snapshot in neighbor.received]
    assert documents == [None, None, DOCUMENTS, DOCUMENTS]


def test_neighbor_without_the_objects_has_no_snapshot(neighbor):
    neighbor.ask("c")
    neighbor.respond()
    assert neighbor.received == [None]


def test_neighbor_that_dies_in_the_middle_of_a_snapshot_is_given_up(neighbor):
    neighbor.ask()
    handler = neighbor.pool.sent[-1][1]
    handler.on_head(ResponseHead(200, ((b"snapshot-era", b"1"),)))
    handler.on_data(encode_documents(DOCUMENTS)[:20])
    neighbor.task.advance(STALL_TIMEOUT_S + 0.1)
    assert neighbor.received == [None]


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ({}, b""),
        ({"snapshot-era": "x"}, b""),
        ({"snapshot-age-s": "soon"}, b""),
        ({"snapshot-age-s": "nan"}, b""),
        ({}, b"no zlib"),
    ],
)
def test_malformed_snapshot_is_ignored(neighbor, headers, body):
    neighbor.ask()
    known = {"snapshot-era": "1", "snapshot-revision": "2"}
    if headers or body:
        known["snapshot-changed-revision"] = "2"
    pairs = tuple((k.encode(), v.encode()) for k, v in {**known, **headers}.items())
    handler = neighbor.pool.sent[-1][1]
    handler.on_head(ResponseHead(200, pairs))
    handler.on_data(body)
    handler.on_end()
    assert neighbor.received == [None]


@pytest.mark.parametrize("data", [b"", b"x", encode_documents(DOCUMENTS)[:-1]])
def test_part_of_a_snapshot_does_not_decode(data):
    with pytest.raises(SnapshotError):
        decode_documents(data)


def test_objects_are_compressed_once_for_each_change(neighbor, monkeypatch):
    calls = []
    monkeypatch.setattr(
        "bamboolever.daemons.snapshots.encode_documents",
        lambda documents: calls.append(1) or encode_documents(documents),
    )
    for _ in range(3):
        neighbor.ask()
        neighbor.respond()
    assert len(calls) == 1

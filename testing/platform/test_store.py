import json

import pytest

from bamboolever.net.messages import ResponseHead
from bamboolever.platform.errors import AdapterError
from bamboolever.platform.names import STORE_ERA
from bamboolever.platform.store import (
    decode_changes,
    decode_listing,
    response_era,
    split_changes,
)


def _event(name, revision, *, deleted=False):
    metadata = {"name": name, "revision": revision}
    return {
        "object": {"metadata": metadata, "specification": {"text": "x" * 50}},
        "deleted": deleted,
    }


def test_parts_lead_on_although_a_deletion_states_an_earlier_revision():
    events = [_event("a", 5), _event("b", 2, deleted=True), _event("c", 8)]
    body = json.dumps({"events": events, "at": 9}).encode()
    for max_bytes in (150, 300):
        parts = split_changes(body, max_bytes)
        revisions = [revision for revision, _ in parts]
        assert revisions == sorted(revisions)
        assert min(revisions) >= 5
        assert revisions[-1] == 9
        documents = [
            each for _, part in parts for each in decode_changes(part).documents
        ]
        assert [document.name for document in documents] == ["a", "b", "c"]


MALFORMED_VALUES = [
    b"[" * 3000 + b"]" * 3000,
    b"[" * 900 + b"]" * 900,
    b'{"slots": ' + b"9" * 5000 + b"}",
    b'{"service": "\xff\xfe"}',
    b'"text"',
    b"NaN",
]
SOUND = b'{"metadata": {"name": "%s", "revision": 3}, "specification": {"a": [{}]}}'
MALFORMED = b'{"metadata": {"name": "malformed", "revision": 4}, "specification": %s}'


@pytest.mark.parametrize("value", MALFORMED_VALUES)
def test_malformed_object_in_a_listing_costs_no_other(value):
    """Guards against a list that nobody can read because of one object in it."""
    items = b", ".join([SOUND % b"a", MALFORMED % value, SOUND % b"b"])
    listing = decode_listing(b'{"items": [%s], "hasMore": true, "at": 9}' % items)
    documents = {each.name: each.value for each in listing.documents}
    assert documents["a"] == documents["b"] == {"a": [{}]}
    assert list(documents) == ["a", "malformed", "b"]
    assert (listing.revision, listing.has_more) == (9, True)
    json.dumps(documents)


@pytest.mark.parametrize("value", MALFORMED_VALUES)
def test_malformed_object_in_changes_costs_no_other(value):
    """Guards against changes that nobody can follow because of one object in them."""
    objects = [SOUND % b"a", MALFORMED % value, SOUND % b"b"]
    events = b", ".join(b'{"object": %s, "deleted": false}' % each for each in objects)
    body = b'{"events": [%s], "at": 9}' % events
    parts = [part for _, part in split_changes(body, 3000)]
    for text in (body, *parts):
        documents = {each.name: each.value for each in decode_changes(text).documents}
        assert documents["a"] == documents["b"] == {"a": [{}]}
        assert list(documents) == ["a", "malformed", "b"]


@pytest.mark.parametrize(
    "name",
    [b'"\\ud800"', b'"a\\u0000"', b'"a\\r\\nHost: b"', b"5", b"[" * 3000 + b"]" * 3000],
)
def test_object_whose_name_cannot_be_sent_is_left_out(name):
    malformed = b'{"metadata": {"name": %s, "revision": 4}, "specification": {}}' % name
    items = b", ".join([malformed, SOUND % b"a", b"null", b"7"])
    listing = decode_listing(b'{"items": [%s], "at": 9}' % items)
    assert [each.name for each in listing.documents] == ["a"]


@pytest.mark.parametrize("revision", [b"Infinity", b"-1", b"1" + b"0" * 30, b"true"])
def test_listing_without_a_usable_revision_is_rejected(revision):
    with pytest.raises(AdapterError):
        decode_listing(b'{"items": [], "at": %s}' % revision)


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b'{"items": 3, "at": 1}'])
def test_body_that_is_no_listing_is_rejected(text):
    with pytest.raises(AdapterError):
        decode_listing(text)


@pytest.mark.parametrize("value", [b"9" * 5000, b"x", "²".encode(), b"-1"])
def test_era_that_is_no_number_is_not_stated(value):
    assert response_era(ResponseHead(200, ((STORE_ERA, value),))) is None

import json

from bamboolever.platform.store import decode_changes, split_changes


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

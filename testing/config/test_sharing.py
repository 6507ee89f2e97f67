"""How changes are passed on in parts."""

import json

from bamboolever.config.sharing import MAX_PART_BYTES, WatchResult, split_result


def _result(events, revision):
    body = json.dumps({"events": events, "at": revision}).encode()
    return WatchResult("a", 0, 10, revision, body, 5.0)


def _event(name, revision, *, deleted=False):
    metadata = {"name": name, "revision": revision}
    value = {"metadata": metadata, "specification": "x" * (MAX_PART_BYTES // 3)}
    return {"object": value, "deleted": deleted}


def test_changes_are_split_at_rising_revisions():
    events = [_event(f"object-{number}", 11 + number) for number in range(4)]
    parts = list(split_result(_result(events, 20)))
    assert [part.from_revision for part in parts] == [10, 12]
    assert [part.as_of for part in parts] == [None, 5.0]


def test_deletions_that_state_old_revisions_are_not_split():
    """Guards against peers that keep deleted objects, as they missed no revision."""
    events = [_event(f"object-{number}", 4, deleted=True) for number in range(4)]
    (part,) = split_result(_result(events, 20))
    assert part.changes is None
    assert (part.from_revision, part.revision) == (10, 20)

import pytest

from bamboolever.config.kindstate import KindState
from bamboolever.platform.store import StoredDocument


def _put(name, revision, value="v"):
    return StoredDocument(name, value, revision)


def _delete(name, revision):
    return StoredDocument(name, None, revision)


@pytest.fixture
def state():
    state = KindState()
    state.follow_era(0)
    state.take_listing((_put("x", 3), _put("y", 4)), 5)
    return state


def _names(state):
    return [document.name for document in state.snapshot().documents]


@pytest.mark.parametrize("revision", [3, 6])
def test_deletion_counts_whichever_revision_it_states(state, revision):
    assert state.take_changes((_delete("x", revision),), 6)
    assert _names(state) == ["y"]


def test_deletion_of_an_object_that_was_created_again_changes_nothing(state):
    changes = (_delete("x", 3), _put("x", 7))
    state.take_changes(changes, 7)
    assert state.take_changes((_put("x", 3), *changes), 8) == ()
    assert _names(state) == ["y", "x"]
    assert (state.revision, state.changed_revision) == (8, 7)


def test_what_is_older_changes_nothing(state):
    assert state.take_changes((_put("z", 4),), 4) == ()
    assert not state.take_listing((), 4)
    assert _names(state) == ["x", "y"]
    assert state.revision == 5


def test_nothing_is_known_of_a_restored_store(state):
    state.confirm(1.0)
    state.follow_era(1)
    assert state.snapshot() is None
    assert state.take_changes((_put("z", 9),), 9) == ()
    state.take_listing((), 2)
    assert state.snapshot().as_of is None

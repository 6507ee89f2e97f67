"""What agents load while no version is named, on a manual clock."""

import pytest
from loaderreplay import MODEL, REPORT_INTERVAL_S, LoaderReplay

from bamboolever.fleet.records import ModelVersion

SETTLE_S = 8.0
FIRST, SECOND = ModelVersion(MODEL, 1), ModelVersion(MODEL, 2)
# One field of a manifest that arrives with another value.
WRONG_FIELDS = {
    "higher-version": {"version": 7},
    "next-version": {"version": 2},
    "first-version": {"version": 1},
    "no-version": {"version": 0},
    "model": {"model": "model-2"},
    "digest": {"digests": lambda digests: ["00" * 32, *digests[1:]]},
    "digest-missing": {"digests": lambda digests: digests[:-1]},
    "digest-twice": {"digests": lambda digests: [*digests, digests[0]]},
    "digests-missing": {"digests": lambda digests: []},
}


def _spoil(fields):
    """Return a function that changes one field of a manifest, by its number."""

    def spoil(number, content):
        changes = {
            name: change(content[name]) if callable(change) else change
            for name, change in WRONG_FIELDS.get(fields.get(number), {}).items()
        }
        return {**content, **changes}

    return spoil


def _assert_serves(replay, wanted):
    assert replay.mixed_engines() == []
    assert replay.loaded_versions() == [wanted] * len(replay.agents)


@pytest.mark.parametrize("number", range(4))
@pytest.mark.parametrize("field", sorted(WRONG_FIELDS.keys() - {"first-version"}))
def test_wrong_manifest_names_no_version(field, number):
    """Guards against engines that load, and tell, a version that nobody named.

    The agent of an empty engine took the version in the origin's manifest for the
    newest, and its peers took it for one that the operator had named.
    """
    replay = LoaderReplay()
    replay.origin.spoil = _spoil({number: field})
    replay.start()
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, FIRST)
    assert [agent.engine.orders for agent in replay.agents] == [[], [], [FIRST]]
    replay.name(2)
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)


@pytest.mark.parametrize("named_ms", range(0, 1200, 50))
@pytest.mark.parametrize("field", ["higher-version", "next-version", "digest"])
def test_version_named_at_any_moment_replaces_the_one_looked_up(named_ms, field):
    replay = LoaderReplay()
    replay.origin.spoil = _spoil({0: field})
    replay.start()
    replay.task.advance(named_ms / 1000)
    replay.name(2)
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)


def test_engine_that_starts_again_keeps_its_version_if_a_manifest_is_wrong():
    """Guards against staged pieces that are loaded as those of another version."""
    replay = LoaderReplay()
    replay.start()
    replay.task.advance(SETTLE_S)
    replay.origin.spoil = _spoil({replay.origin.manifest_count: "higher-version"})
    replay.agents[0].engine.crash()
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, FIRST)


def test_origin_that_always_states_a_wrong_version_is_not_believed():
    replay = LoaderReplay()
    replay.origin.spoil = _spoil(dict.fromkeys(range(1000), "higher-version"))
    replay.start()
    replay.task.advance(SETTLE_S)
    assert replay.loaded_versions() == [FIRST, FIRST, None]
    assert all(agent.engine.orders == [] for agent in replay.agents)


def test_wrong_version_that_the_origin_has_is_not_believed():
    """Guards against engines that load an older version than the origin's newest."""
    replay = LoaderReplay(((MODEL, None),))
    replay.origin.newest[MODEL] = 2
    replay.origin.spoil = _spoil({0: "first-version"})
    replay.start()
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)


def test_manifest_that_is_read_again_must_state_the_version_asked_for():
    replay = LoaderReplay(((MODEL, 1), (MODEL, 1)))
    replay.origin.spoil = _spoil({0: "digest", 1: "higher-version"})
    replay.start()
    replay.name(2)
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)


@pytest.mark.parametrize("response_s", [0.002, 1.5])
def test_origin_that_answers_late_is_asked_twice(response_s):
    """Guards against a search that begins anew before its answer is there."""
    replay = LoaderReplay(((MODEL, None),))
    replay.origin.response_s = response_s
    replay.start()
    replay.task.advance(2 * response_s + 1.0)
    assert replay.agents[0].loader.transfer.is_started
    assert replay.origin.manifest_count == 2


@pytest.mark.parametrize("is_restarted", [False, True])
def test_named_version_replaces_a_higher_one_that_was_never_named(is_restarted):
    """Guards against a fleet that keeps a wrong version as it is the higher one."""
    replay = LoaderReplay()
    wrong = ModelVersion(MODEL, 7)
    for agent in replay.agents:
        agent.engine.loaded = wrong
    replay.start()
    replay.task.advance(1.0)
    replay.name(2)
    if is_restarted:
        replay.agents[0].kill()
        replay.start(replay.agents[:1])
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)
    assert [agent.engine.orders for agent in replay.agents] == [[SECOND]] * 3


def test_agent_learns_of_a_named_version_from_the_one_beside_it():
    replay = LoaderReplay(((MODEL, 1), (MODEL, 1)))
    replay.start()
    replay.task.advance(1.0)
    replay.name(2, heard_by=replay.agents[1:])
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, SECOND)


def test_engine_that_changes_to_a_lower_version_takes_no_requests_meanwhile():
    replay = LoaderReplay(((MODEL, 1),))
    (agent,) = replay.agents
    agent.engine.loaded = ModelVersion(MODEL, 7)
    replay.start()
    replay.name(2)
    while not agent.engine.is_busy:
        replay.task.advance(0.01)
    replay.task.advance(REPORT_INTERVAL_S)
    assert agent.engine.is_busy
    assert agent.loader.is_switching

"""Agents of engines of several models, on a manual clock."""

import pytest
from loaderreplay import LoaderReplay

from bamboolever.fleet.records import ModelVersion

SETTLE_S = 8.0
# Moments of an agent's start, in seconds, at which it may hear of something.
MOMENTS_S = [0.0, 0.001, 0.1, 0.3, 0.7, 1.3, 2.5]


def _make_services(first="model-a", second="model-b"):
    """Return agents of two services, whose engines serve versions 2 and 3."""
    replay = LoaderReplay(((first, 1), (first, 1), (second, 1)))
    replay.origin.newest = {first: 1, second: 1}
    replay.start()
    for version, model in ((2, first), (2, second), (3, second)):
        replay.name(version, model)
        replay.task.advance(SETTLE_S)
    _assert_serves(replay, (first, 2), (first, 2), (second, 3))
    return replay


def _kill_all(replay):
    for agent in replay.agents:
        agent.kill()
        agent.engine.orders.clear()


def _assert_serves(replay, *wanted):
    assert replay.loaded_versions() == [ModelVersion(*each) for each in wanted]
    assert replay.mixed_engines() == []
    assert not any(agent.loader.is_switching for agent in replay.agents)


@pytest.mark.parametrize("listed_s", MOMENTS_S)
@pytest.mark.parametrize("configured_s", MOMENTS_S)
@pytest.mark.parametrize("models", ["ab", "ba"])
def test_started_agent_takes_up_versions_of_its_own_model_only(
    models, configured_s, listed_s
):
    """Guards against engines that get no request any more after a restart of all.

    An agent that heard of the versions before the configuration took the highest one of
    any model for its target, and its engine counted as switching for good.
    """
    first, second = (f"model-{letter}" for letter in models)
    replay = _make_services(first, second)
    _kill_all(replay)
    replay.start(configured_s=configured_s, listed_s=listed_s)
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, (first, 2), (first, 2), (second, 3))
    assert [agent.engine.orders for agent in replay.agents] == [[], [], []]


@pytest.mark.parametrize("named_s", MOMENTS_S)
@pytest.mark.parametrize("configured_s", MOMENTS_S)
def test_both_models_may_be_named_again_while_agents_start(configured_s, named_s):
    replay = _make_services()
    _kill_all(replay)
    replay.start(configured_s=configured_s)
    replay.task.advance(named_s)
    replay.name(4, "model-b")
    replay.name(3, "model-a")
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-a", 3), ("model-a", 3), ("model-b", 4))


@pytest.mark.parametrize("configured_s", MOMENTS_S)
def test_version_of_another_model_is_no_news_for_an_empty_engine(configured_s):
    replay = LoaderReplay((("model-a", None), ("model-b", 1)))
    replay.origin.newest = {"model-a": 1, "model-b": 1}
    replay.start(configured_s=configured_s)
    replay.name(5, "model-b")
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-a", 1), ("model-b", 5))


def test_engines_of_one_service_keep_their_models():
    """Guards against a version of one model that takes all engines of a service."""
    models = ("model-a", "model-b")
    replay = LoaderReplay((("model-a", 1), ("model-a", 1), ("model-b", 1)), models)
    replay.origin.newest = dict.fromkeys(models, 1)
    replay.start()
    replay.name(4, "model-b")
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-a", 1), ("model-a", 1), ("model-b", 4))
    replay.name(2, "model-a")
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-a", 2), ("model-a", 2), ("model-b", 4))


def test_engine_that_comes_back_empty_gets_its_model_again():
    models = ("model-a", "model-b")
    replay = LoaderReplay((("model-a", 1), ("model-b", 1)), models)
    replay.origin.newest = dict.fromkeys(models, 1)
    replay.start()
    replay.task.advance(1.0)
    for agent in replay.agents:
        agent.engine.crash()
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-a", 1), ("model-b", 1))


def test_engine_that_comes_back_with_another_model_follows_that():
    models = ("model-a", "model-b")
    replay = LoaderReplay((("model-a", 1), ("model-a", 1)), models)
    replay.origin.newest = dict.fromkeys(models, 1)
    replay.start()
    replay.name(7, "model-a")
    replay.task.advance(SETTLE_S)
    replay.agents[0].engine.crash(ModelVersion("model-b", 1))
    replay.name(2, "model-b")
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-b", 2), ("model-a", 7))


def test_empty_engines_of_a_service_spread_over_its_models():
    """Guards against a model that no engine serves after a loss of power."""
    models = ("model-a", "model-b")
    replay = LoaderReplay([("model-a", None)] * 6, models)
    replay.origin.newest = dict.fromkeys(models, 1)
    replay.start()
    replay.task.advance(SETTLE_S)
    loaded = [each.model for each in replay.loaded_versions()]
    assert {loaded.count(model) for model in models} == {3}


def test_engine_that_is_given_another_model_while_it_switches_takes_requests():
    """Somebody else orders it; the agent's own order never comes into effect."""
    models = ("model-a", "model-b")
    replay = LoaderReplay((("model-a", 1),), models)
    replay.origin.newest = dict.fromkeys(models, 1)
    (agent,) = replay.agents
    replay.start()
    replay.name(2, "model-a")
    while not agent.engine.is_busy:
        replay.task.advance(0.01)
    agent.engine.load(ModelVersion("model-b", 1))
    replay.task.advance(SETTLE_S)
    _assert_serves(replay, ("model-b", 1))

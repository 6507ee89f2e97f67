"""Of which model an engine is kept up to date."""

import pytest

from bamboolever.weights.modelchoice import choose_model

MODELS = ("a", "b", "c")


@pytest.mark.parametrize(
    ("served", "current", "chosen"),
    [
        ((), "b", "b"),
        (("b", "a"), "b", "b"),
        (("c",), "b", "c"),
        (("c", "b"), None, "b"),
        (("x",), "b", "b"),
        (("a",), "x", "a"),
    ],
)
def test_engine_keeps_its_model_unless_it_serves_another(served, current, chosen):
    assert choose_model(MODELS, served, current, 0.0) == chosen


@pytest.mark.parametrize(("turn", "chosen"), [(0.0, "a"), (0.5, "b"), (1.0, "c")])
def test_empty_engines_spread_by_their_turn(turn, chosen):
    assert choose_model(MODELS, (), None, turn) == chosen


def test_service_without_models_has_none():
    assert choose_model((), ("a",), "a", 0.0) is None

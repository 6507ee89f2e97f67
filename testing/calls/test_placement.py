"""Placement policies: the registered ones, the baseline and plain services."""

from collections import Counter

import pytest
from sitebuilders import make_pending, make_profile, make_view

from bamboolever.calls import placement
from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.placement import (
    BASELINE_MAX_IN_FLIGHT,
    LeastOutstandingPolicy,
    PlainServicePolicy,
    PredictedLatencyPolicy,
    find_placement_factory,
    register_placement_factory,
)
from bamboolever.calls.upstream import STATED_LOAD_MAX_AGE_S
from bamboolever.fleet.records import StatedLoad


def _no_penalty(_view):
    return 0.0


def test_baseline_limits_own_requests_at_each_upstream():
    views = [make_view("a", slots=16), make_view("b", slots=16)]
    policy = find_placement_factory("least-outstanding")(make_profile(), _no_penalty)
    for number in range(2 * BASELINE_MAX_IN_FLIGHT):
        choice = policy.choose(make_pending(), views, 0.0)
        choice.upstream.add_call(number, 10)
    assert [len(view.calls) for view in views] == [BASELINE_MAX_IN_FLIGHT] * 2
    assert policy.choose(make_pending(), views, 0.0) is None


def test_error_for_an_unknown_policy_lists_the_registered_ones():
    with pytest.raises(LookupError, match="least-outstanding, predicted"):
        find_placement_factory("none")


def test_custom_policy_can_be_registered(monkeypatch):
    monkeypatch.setattr(placement, "_FACTORIES", dict(placement._FACTORIES))
    register_placement_factory(
        "custom", lambda _p, penalty: LeastOutstandingPolicy(1, penalty)
    )
    policy = find_placement_factory("custom")(make_profile(), _no_penalty)
    assert policy.choose(make_pending(), [make_view()], 0.0) is not None


def _plain_policy(seed=0, penalty=_no_penalty):
    return PlainServicePolicy(penalty, seed=seed)


def _choose_often(policy, views, now=0.0, times=60):
    chosen = [policy.choose(make_pending(), views, now) for _ in range(times)]
    return Counter(each.upstream.instance_id for each in chosen)


def test_equal_upstreams_are_chosen_at_random_by_seed():
    """Guards against entries that all send to the first upstream of the list."""
    views = [make_view(name, slots=6) for name in "abc"]
    chosen = _choose_often(_plain_policy(1), views)
    assert min(chosen[name] for name in "abc") >= 10
    assert chosen == _choose_often(_plain_policy(1), views)


def test_nearest_of_equally_loaded_upstreams_is_chosen():
    views = [make_view(name, slots=6) for name in "abc"]
    near = views[1]
    policy = _plain_policy(penalty=lambda view: 0.0 if view is near else 0.004)
    assert _choose_often(policy, views) == {"b": 60}


def test_slow_upstream_is_avoided_until_the_others_are_as_loaded():
    views = [make_view(name, slots=6) for name in "ab"]
    views[0].on_stated_load(StatedLoad(0, 0, 6, 2.5), 0.0)
    assert _choose_often(_plain_policy(), views) == {"b": 60}
    for call_id in (1, 2):
        views[1].add_call(call_id, 0)
    assert _choose_often(_plain_policy(), views) == {"a": 60}


def test_slow_near_upstream_is_passed_over_for_a_far_one():
    views = [make_view(name, slots=6) for name in "ab"]
    policy = _plain_policy(penalty=lambda view: 0.015 if view is views[1] else 0.0)
    assert _choose_often(policy, views) == {"a": 60}
    views[0].on_stated_load(StatedLoad(0, 0, 6, 2.5), 0.0)
    assert _choose_often(policy, views) == {"b": 60}


def test_stated_requests_count_if_they_are_more_than_the_known_ones():
    views = [make_view(name, slots=6) for name in "ab"]
    views[1].add_call(1, 0)
    views[0].on_stated_load(StatedLoad(2, 1, 6), 0.0)
    assert _choose_often(_plain_policy(), views) == {"b": 60}
    later = STATED_LOAD_MAX_AGE_S + 0.01
    assert _choose_often(_plain_policy(), views, now=later) == {"a": 60}


def test_stated_load_does_not_close_an_upstream():
    """Guards against rejections because of a load that has changed since."""
    view = make_view(slots=6)
    view.on_stated_load(StatedLoad(6, 90, 6), 0.0)
    assert _plain_policy().choose(make_pending(), [view], 0.0) is not None


@pytest.mark.parametrize("loads", [(0, 0, 1), (2, 1, 1), (5, 8, 4)])
def test_choice_without_statements_is_by_load_per_slot(loads):
    views = [make_view(str(n), slots=4 + n) for n in range(3)]
    for view, load in zip(views, loads, strict=True):
        view.peer_load = EngineLoad(writing=load)
    least = min(load / (4 + n) for n, load in enumerate(loads))
    expected = {str(n) for n, load in enumerate(loads) if load / (4 + n) == least}
    assert set(_choose_often(_plain_policy(), views)) == expected


def test_prediction_uses_a_slowness_that_is_newer_than_the_agents_report():
    views = [make_view(name) for name in "ab"]
    policy = PredictedLatencyPolicy(make_profile(), _no_penalty)
    views[0].on_stated_load(StatedLoad(0, 0, 4, 2.5), 1.0)
    assert policy.choose(make_pending(), views, 1.1).upstream is views[1]
    views[0].slowdown_at = 1.05
    assert policy.choose(make_pending(), views, 1.1).upstream is views[0]

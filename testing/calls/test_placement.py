"""Registered placement policies, and the baseline policy."""

import pytest
from sitebuilders import make_pending, make_profile, make_view

from bamboolever.calls import placement
from bamboolever.calls.placement import (
    BASELINE_MAX_IN_FLIGHT,
    LeastOutstandingPolicy,
    find_placement_factory,
    register_placement_factory,
)


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

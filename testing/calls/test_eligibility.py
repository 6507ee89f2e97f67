"""Which upstreams may take a request, and why the others may not."""

import pytest
from sitebuilders import MODEL, make_pending, make_view

from bamboolever.calls.eligibility import (
    EjectionRule,
    EligibilityRules,
    IneligibleReason,
)
from bamboolever.calls.limits import LimitStatement
from bamboolever.fleet.versions import VersionRollouts


def _rules():
    return EligibilityRules.from_versions(VersionRollouts(8.0))


def _limit(view):
    view.limit.learn(LimitStatement(1, 1.0, 0.0, 0.0), 0.0)


@pytest.mark.parametrize(
    ("spoil", "reason"),
    [
        (lambda view: view.close_for(5.0, 0.0), IneligibleReason.UNAVAILABLE),
        (lambda view: view.on_served_version(MODEL, 0, 0.0), IneligibleReason.VERSION),
        (lambda view: view.on_unreachable(0.0), IneligibleReason.EJECTED),
        (_limit, IneligibleReason.LIMITED),
    ],
)
def test_reason_is_that_of_the_rule_that_excludes_the_upstream(spoil, reason):
    sound, other, bad = make_view("sound"), make_view("other"), make_view("bad")
    spoil(bad)
    call = make_pending()
    views = [sound, other, bad]
    assert _rules().find_eligible(call, views, 0.1) == [sound, other]
    assert _rules().explain(call, views, 0.1) == {"bad": reason}


@pytest.mark.parametrize(
    ("region", "allowed", "is_admitted"),
    [
        ("region-1", None, True),
        (None, None, True),
        ("region-1", {"region-1", "region-2"}, True),
        ("region-3", {"region-1", "region-2"}, False),
        ("region-1", set(), False),
        (None, {"region-1"}, False),
    ],
)
def test_request_reaches_only_the_regions_that_it_allows(region, allowed, is_admitted):
    """Guards against bound requests at upstreams elsewhere or of unknown region."""
    view = make_view("up")
    view.region = region
    allowed_regions = None if allowed is None else frozenset(allowed)
    call = make_pending(allowed_regions=allowed_regions)
    reasons = {} if is_admitted else {"up": IneligibleReason.REGION}
    assert bool(_rules().find_eligible(call, [view], 0.0)) is is_admitted
    assert _rules().explain(call, [view], 0.0) == reasons


def test_ejection_is_waived_within_the_allowed_regions_only():
    """Guards against a fallback to ejected upstreams that counts or uses others."""
    views = [make_view(name) for name in ("a", "b", "c", "d")]
    for view, region in zip(views, (1, 1, 2, 2), strict=True):
        view.region = f"region-{region}"
    for view in views[:3]:
        view.on_unreachable(0.0)
    call = make_pending(allowed_regions=frozenset({"region-1"}))
    assert _rules().find_eligible(call, views, 0.1) == views[:2]


def test_first_rule_names_the_reason():
    view = make_view("bad")
    view.close_for(5.0, 0.0)
    call = make_pending(tried={"bad"})
    assert _rules().explain(call, [view], 0.0) == {"bad": IneligibleReason.TRIED}


def test_ejection_is_waived_if_most_upstreams_are_ejected():
    views = [make_view(name) for name in ("a", "b", "c")]
    for view in views[:2]:
        view.on_unreachable(0.0)
    assert _rules().find_eligible(make_pending(), views, 0.1) == views


def test_only_the_ejection_may_be_waived():
    rules = _rules()
    waivable = [rule for rule in rules.rules if rule.is_waivable]
    assert [type(rule) for rule in waivable] == [EjectionRule]


def test_limited_upstream_is_held_back_and_not_unusable():
    free, limited = make_view("free"), make_view("limited")
    _limit(limited)
    call = make_pending()
    assert _rules().find_held_back(call, [free, limited], 0.1) == [limited]
    assert _rules().find_usable(call, [free, limited], 0.1) == [free, limited]

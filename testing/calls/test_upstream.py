"""Ejection of upstreams by the outcomes of requests."""

from sitebuilders import make_view

from bamboolever.calls.upstream import (
    AGENT_STATE_MAX_AGE_S,
    FAILURES_TO_EJECT,
    MIN_EJECTION_S,
)


def _fail(view, now):
    return [view.on_failure(now) for _ in range(FAILURES_TO_EJECT)]


def test_upstream_that_fails_in_a_row_is_ejected_and_comes_back():
    view = make_view()
    assert _fail(view, 0.0)[-1]
    assert view.is_ejected(MIN_EJECTION_S / 2)
    assert not view.is_ejected(MIN_EJECTION_S)


def test_success_between_failures_keeps_the_upstream():
    view = make_view()
    for _ in range(10):
        assert not view.on_failure(0.0)
        view.on_success()
    assert not view.is_ejected(0.0)


def test_each_ejection_in_a_row_is_longer():
    view = make_view()
    _fail(view, 0.0)
    _fail(view, 10.0)
    assert view.is_ejected(10.0 + MIN_EJECTION_S)


def test_answered_version_is_newer_than_the_list_entry():
    view = make_view()
    assert view.served_version("model-1", 0.0) == 1
    view.answered_version = 2
    assert view.served_version("model-1", 0.0) == 2
    assert view.served_version("other", 0.0) is None


def test_agents_word_goes_before_the_list_while_it_is_fresh():
    view = make_view(models=())
    assert view.served_version("model-1", 0.0) is None
    view.on_served_version("model-1", 2, 10.0)
    assert view.served_version("model-1", 10.0) == 2
    assert view.served_version("other", 10.0) is None
    assert view.served_version("model-1", 10.1 + AGENT_STATE_MAX_AGE_S) is None


def test_engine_that_its_agent_found_empty_is_not_used():
    view = make_view()
    view.on_served_version("", 0, 10.0)
    assert view.served_version("model-1", 10.0) is None
    assert view.served_version("model-1", 10.1 + AGENT_STATE_MAX_AGE_S) == 1

"""Outlier ejection of upstreams, and the version that an upstream serves."""

from sitebuilders import make_view

from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.upstream import (
    AGENT_STATE_MAX_AGE_S,
    CLAIM_DELAY_SPREAD_S,
    FAILURES_TO_EJECT,
    MAX_SLOWNESS,
    MIN_CLAIM_DELAY_S,
    MIN_EJECTION_S,
    SLOWNESS_FADE_S,
    SLOWNESS_HOLD_S,
    STATED_VERSION_MAX_AGE_S,
)
from bamboolever.fleet.records import StatedLoad


def _fail(view, now):
    return [view.on_failure(now) for _ in range(FAILURES_TO_EJECT)]


def test_upstream_is_ejected_for_a_while_after_failures_in_a_row():
    view = make_view()
    assert _fail(view, 0.0)[-1]
    assert view.is_ejected(MIN_EJECTION_S / 2)
    assert not view.is_ejected(MIN_EJECTION_S)


def test_success_between_failures_prevents_ejection():
    view = make_view()
    for _ in range(10):
        assert not view.on_failure(0.0)
        view.on_success()
    assert not view.is_ejected(0.0)


def test_second_ejection_in_a_row_is_longer():
    view = make_view()
    _fail(view, 0.0)
    _fail(view, 10.0)
    assert view.is_ejected(10.0 + MIN_EJECTION_S)


def test_version_of_a_response_overrides_an_older_list_entry():
    view = make_view()
    assert view.served_version("model-1", 0.0) == 1
    view.on_stated_version("model-1", 2, 0.0)
    assert view.served_version("model-1", 0.0) == 2
    assert view.served_version("other", 0.0) is None


def test_version_of_a_response_says_nothing_of_another_model():
    """Guards against requests on a version that is no longer permitted.

    An engine that had answered for one model counted as serving that version of the
    next one, too.
    """
    view = make_view()
    view.on_stated_version("other", 9, 0.0)
    assert view.served_version("model-1", 0.0) == 1
    assert view.served_model(0.0).version == 1


def test_version_of_a_response_ends_where_the_agent_keeps_reporting_a_lower_one():
    view = make_view()
    view.on_stated_version("model-1", 9, 10.0)
    view.on_served_version("model-1", 2, 10.5)
    assert view.served_version("model-1", 10.5) == 9
    view.on_served_version("model-1", 2, 10.1 + STATED_VERSION_MAX_AGE_S)
    assert view.served_version("model-1", 12.5) == 2
    view.on_stated_version("model-1", 3, 12.6)
    assert view.served_version("model-1", 12.6) == 3


def test_agent_report_overrides_the_list_until_it_is_too_old():
    view = make_view(models=())
    assert view.served_version("model-1", 0.0) is None
    view.on_served_version("model-1", 2, 10.0)
    assert view.served_version("model-1", 10.0) == 2
    assert view.served_version("other", 10.0) is None
    assert view.served_version("model-1", 10.1 + AGENT_STATE_MAX_AGE_S) is None


def test_engine_without_a_version_by_its_agent_serves_none():
    view = make_view()
    view.on_served_version("", 0, 10.0)
    assert view.served_version("model-1", 10.0) is None
    assert view.served_version("model-1", 10.1 + AGENT_STATE_MAX_AGE_S) == 1


def test_upstream_that_hangs_is_tried_by_one_request_after_longer_pauses():
    """Guards against entries that lose several requests at it every half second."""
    view = make_view()
    view.on_unreachable(0.0)
    view.on_unreachable(0.1)
    assert view.is_ejected(0.4)
    assert not view.is_ejected(0.5)
    view.add_call(1, 100)
    assert view.is_ejected(0.6)
    view.remove_call(1)
    view.on_unreachable(2.0)
    assert view.is_ejected(2.9)
    assert not view.is_ejected(3.0)
    for _ in range(3):
        view.on_unreachable(view.ejected_until)
    assert view.ejected_until == 9.0


def test_first_event_ends_the_trial_of_an_upstream_that_was_unreachable():
    view = make_view()
    view.on_unreachable(0.0)
    view.add_call(1, 100)
    view.add_call(2, 100)
    assert view.is_ejected(0.6)
    view.on_first_event(1)
    assert not view.is_ejected(0.6)
    view.on_unreachable(1.0)
    assert view.is_ejected(1.5)
    view.remove_call(2)
    assert not view.is_ejected(1.5)


def test_upstream_that_is_leaving_takes_no_requests():
    view = make_view()
    assert view.can_accept_requests(1.0)
    view.is_leaving = True
    assert not view.can_accept_requests(100.0)


def test_retry_after_of_an_upstream_closes_it_until_its_end():
    view = make_view()
    view.close_for(2.0, 1.0)
    view.close_for(0.5, 1.5)
    assert not view.can_accept_requests(3.0)
    assert view.can_accept_requests(3.1)


def test_upstream_that_answers_as_another_one_is_closed_for_longer_each_time():
    """Guards against requests that used up the retry budget on replaced upstreams."""
    view = make_view()
    view.on_misdirected(1.0)
    assert not view.can_accept_requests(1.24)
    assert view.can_accept_requests(1.25)
    view.on_misdirected(1.25)
    assert not view.can_accept_requests(1.74)
    view.on_success()
    view.on_misdirected(2.0)
    assert view.can_accept_requests(2.25)


def test_counters_follow_the_calls_in_flight():
    view = make_view()
    view.add_call(1, 100)
    view.add_call(2, 50)
    view.add_call(2, 70)
    assert view.own_load == EngineLoad(0, 2, 170)
    view.on_first_event(1)
    view.on_first_event(1)
    assert view.own_load == EngineLoad(1, 1, 70)
    view.remove_call(1)
    view.remove_call(2)
    view.remove_call(2)
    assert view.own_load == EngineLoad()


def test_slot_belongs_first_to_the_entry_whose_request_freed_it():
    view = make_view(slots=4)
    view.add_call(1, 100)
    view.update_peer_load(EngineLoad(writing=3), 0.0, 0.5)
    assert not view.can_claim_slot(4, 0.0)
    view.remove_call(1)
    assert view.can_claim_slot(4, 0.0)
    view.add_call(2, 100)
    view.update_peer_load(EngineLoad(writing=2), 1.0, 0.5)
    assert not view.can_claim_slot(4, 1.0)
    assert view.can_claim_slot(4, 1.0 + MIN_CLAIM_DELAY_S + CLAIM_DELAY_SPREAD_S)


def test_slots_of_an_engine_with_room_are_not_contended():
    view = make_view(slots=8)
    view.update_peer_load(EngineLoad(writing=6), 0.0, 0.5)
    view.update_peer_load(EngineLoad(writing=4), 1.0, 0.5)
    assert view.can_claim_slot(8, 1.0)


def _state(view, slowness, now):
    view.on_stated_load(StatedLoad(1, 0, 6, slowness), now)


def test_stated_slowness_holds_and_then_fades_to_the_mean():
    view = make_view()
    assert view.slowness_at(0.0) == 1.0
    _state(view, 2.5, 0.0)
    assert view.slowness_at(SLOWNESS_HOLD_S) == 2.5
    middle = view.slowness_at(SLOWNESS_HOLD_S + SLOWNESS_FADE_S / 2)
    end = view.slowness_at(SLOWNESS_HOLD_S + SLOWNESS_FADE_S)
    assert 1.0 < end < middle < 2.5
    assert view.slowness_at(100.0) == end < 1.1


def test_mean_slowness_is_taken_over_time_not_over_statements():
    """Guards against a mean that a burst of responses within one slow time sets."""
    view = make_view()
    for number in range(1000):
        _state(view, 2.5, number * 0.0005)
    assert view.slowness_at(100.0) < 1.1
    for number in range(1000):
        _state(view, 2.5 if number % 20 < 3 else 1.0, 1.0 + number * 0.2)
    assert 1.1 < view.slowness_at(1000.0) < 1.4


def test_statement_without_slowness_keeps_the_last_one():
    view = make_view()
    _state(view, 2.5, 0.0)
    view.on_stated_load(StatedLoad(3, 0, 6), 0.1)
    assert view.slowness_at(0.1) == 2.5
    assert view.active_at(0.1) == 3


def test_older_statement_is_ignored_and_a_wild_one_bounded():
    view = make_view()
    _state(view, 1e9, 1.0)
    _state(view, 1.0, 0.9)
    assert view.slowness_at(1.0) == MAX_SLOWNESS


def test_silence_is_put_down_to_slowness_only_while_it_was_stated():
    """Guards against an upstream that hangs after it was slow and is never ejected."""
    view = make_view()
    assert not view.may_be_slow(0.0)
    _state(view, 2.5, 0.0)
    assert view.may_be_slow(0.7)
    assert not view.may_be_slow(SLOWNESS_HOLD_S + SLOWNESS_FADE_S + 0.1)
    _state(view, 1.0, 2.0)
    assert not view.may_be_slow(2.0)

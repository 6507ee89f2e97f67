"""Queueing, placement and rejection of requests under given loads."""

import pytest
from sitebuilders import make_pending, make_profile, make_view

from bamboolever.calls.dispatcher import (
    MAX_QUEUE_WAIT_S,
    MAX_RETRY_QUEUE_WAIT_S,
    NEIGHBOR_SAMPLE,
    Assignment,
    Rejection,
    RejectReason,
    ServiceDispatcher,
)
from bamboolever.calls.eligibility import VersionRule
from bamboolever.calls.placement import (
    LeastOutstandingPolicy,
    PlainServicePolicy,
    PredictedLatencyPolicy,
)
from bamboolever.fleet.versions import VersionRollouts


def _no_penalty(_view):
    return 0.0


def _dispatcher(views, versions=None, **profile):
    policy = PredictedLatencyPolicy(make_profile(**profile), _no_penalty)
    dispatcher = ServiceDispatcher(policy, versions or VersionRollouts(8.0))
    dispatcher.set_upstreams(views)
    return dispatcher


def _fill(view, count):
    for number in range(count):
        view.add_call(-1 - number, 500)
        view.on_first_event(-1 - number)


def test_request_goes_to_the_upstream_with_the_earliest_first_event():
    busy, idle = make_view("busy"), make_view("idle")
    _fill(busy, 3)
    (decision,) = _dispatcher([busy, idle]).submit(make_pending(), 0.0)
    assert isinstance(decision, Assignment)
    assert decision.placement.upstream is idle


def test_load_of_other_entries_counts():
    crowded = make_view("crowded", peer_load={"writing": 4})
    free = make_view("free")
    (decision,) = _dispatcher([crowded, free]).submit(make_pending(), 0.0)
    assert decision.placement.upstream is free


def test_request_waits_while_all_engines_are_full():
    view = make_view()
    _fill(view, 4)
    dispatcher = _dispatcher([view])
    assert dispatcher.submit(make_pending(), 0.0) == []
    assert dispatcher.queue_length == 1
    view.remove_call(-1)
    (decision,) = dispatcher.place_waiting(0.05)
    assert isinstance(decision, Assignment)


def test_queued_request_is_rejected_when_it_can_no_longer_be_on_time():
    view = make_view()
    _fill(view, 4)
    dispatcher = _dispatcher([view])
    call = make_pending(target_at=0.15)
    assert dispatcher.submit(call, 0.0) == []
    assert dispatcher.next_expiry_at() < 0.15
    (decision,) = dispatcher.place_waiting(dispatcher.next_expiry_at())
    assert isinstance(decision, Rejection)
    assert decision.reason is RejectReason.NO_ROOM
    assert 0 < decision.retry_after_s < 6.0 / 3


def test_no_first_attempt_waits_longer_than_the_limit():
    view = make_view()
    _fill(view, 4)
    dispatcher = _dispatcher([view])
    dispatcher.submit(make_pending(arrived_at=1.0, target_at=5.0), 1.0)
    assert dispatcher.next_expiry_at() <= 1.0 + MAX_QUEUE_WAIT_S
    assert len(dispatcher.place_waiting(1.0 + MAX_QUEUE_WAIT_S)) == 1


def test_request_without_any_upstream_is_rejected_at_once():
    (decision,) = _dispatcher([]).submit(make_pending(), 0.0)
    assert decision.reason is RejectReason.NO_UPSTREAM


def test_engine_without_the_complete_model_is_not_used():
    view = make_view()
    view.layers = 5
    (decision,) = _dispatcher([view]).submit(make_pending(), 0.0)
    assert isinstance(decision, Rejection)


def test_older_version_is_used_until_it_expires():
    versions = VersionRollouts(8.0)
    versions.add("model-1", 2, 0.0)
    dispatcher = _dispatcher([make_view()], versions)
    (early,) = dispatcher.submit(make_pending(target_at=7.4), 7.0)
    (late,) = dispatcher.submit(make_pending(target_at=8.4), 8.0)
    assert isinstance(early, Assignment)
    assert isinstance(late, Rejection)


def test_upstream_of_an_earlier_attempt_is_not_used_again():
    call = make_pending(tried={"up-1"})
    (decision,) = _dispatcher([make_view()]).submit(call, 0.0)
    assert isinstance(decision, Rejection)


def test_cancelled_request_is_never_placed():
    view = make_view()
    _fill(view, 4)
    dispatcher = _dispatcher([view])
    call = make_pending()
    dispatcher.submit(call, 0.0)
    dispatcher.cancel(call.call_id)
    view.remove_call(-1)
    assert dispatcher.place_waiting(0.01) == []


def test_burst_fills_all_slots_and_no_more():
    views = [make_view(f"up-{number}") for number in range(3)]
    dispatcher = _dispatcher(views, slots=4)
    decisions = []
    for _ in range(20):
        decisions += dispatcher.submit(make_pending(prompt_tokens=50), 0.0)
    assert len(decisions) == 12
    assert [len(view.calls) for view in views] == [4, 4, 4]


def test_prompts_that_cannot_be_prefilled_in_time_are_not_sent():
    view = make_view(slots=64)
    dispatcher = _dispatcher([view], slots=64)
    sent = 0
    for _ in range(40):
        decisions = dispatcher.submit(make_pending(prompt_tokens=1000), 0.0)
        sent += sum(isinstance(decision, Assignment) for decision in decisions)
    # An otherwise idle engine prefills about 12,000 tokens within 0.4 s.
    assert 4 <= sent <= 12


def test_plain_service_prefers_the_near_upstream_until_its_load_is_higher():
    near, far = make_view("near", models=()), make_view("far", models=())
    policy = PlainServicePolicy(lambda view: 0.0 if view is near else 1.0)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams([near, far])
    for _ in range(3):
        dispatcher.submit(make_pending(model=None), 0.0)
    assert len(near.calls) > len(far.calls) > 0


def test_ejected_upstream_is_avoided_while_most_are_healthy():
    ejected, healthy = make_view("ejected"), make_view("healthy")
    ejected.ejected_until = 10.0
    (decision,) = _dispatcher([ejected, healthy]).submit(make_pending(), 0.0)
    assert decision.placement.upstream is healthy


def test_ejections_are_ignored_where_most_upstreams_are_ejected():
    views = [make_view(f"up-{number}") for number in range(3)]
    for view in views:
        view.ejected_until = 10.0
    (decision,) = _dispatcher(views).submit(make_pending(), 0.0)
    assert isinstance(decision, Assignment)


def test_resumed_stream_waits_for_room_and_is_placed_first():
    view = make_view()
    _fill(view, 4)
    dispatcher = _dispatcher([view])
    fresh = make_pending()
    resumed = make_pending(is_resumed=True, target_at=-1.0)
    assert dispatcher.submit(fresh, 0.0) == []
    assert dispatcher.submit(resumed, 0.0) == []
    view.remove_call(-1)
    (decision,) = dispatcher.place_waiting(0.05)
    assert decision.call is resumed


def test_resumed_stream_waits_while_all_engines_switch():
    view = make_view()
    view.switching_until = 0.5
    dispatcher = _dispatcher([view])
    assert dispatcher.submit(make_pending(is_resumed=True), 0.0) == []
    (decision,) = dispatcher.place_waiting(0.6)
    assert isinstance(decision, Assignment)


def test_caller_retry_waits_for_an_engine_that_loads():
    """Guards against a final rejection just before an engine is ready.

    A caller's retry was rejected at once when no engine served the model, a tenth of
    a second before one did. The caller did not retry again.
    """
    view = make_view(models=())
    dispatcher = _dispatcher([view])
    retry = make_pending(first_attempt_age_s=2.0, target_at=-1.6, timeout_at=4.0)
    assert dispatcher.submit(retry, 0.0) == []
    view.on_served_version("model-1", 1, 0.3)
    (decision,) = dispatcher.place_waiting(0.3)
    assert isinstance(decision, Assignment)


def test_caller_retry_waits_for_an_engine_only_briefly():
    dispatcher = _dispatcher([make_view(models=())])
    retry = make_pending(first_attempt_age_s=2.0, target_at=-1.6, timeout_at=4.0)
    dispatcher.submit(retry, 0.0)
    (decision,) = dispatcher.place_waiting(MAX_RETRY_QUEUE_WAIT_S)
    assert decision.reason is RejectReason.NO_UPSTREAM
    assert _dispatcher([]).submit(retry, 0.0) != []


def test_expiring_version_is_not_used_behind_full_slots():
    """Guards against requests that begin on an expired version.

    A request was sent to a nearly full engine shortly before the version expired,
    waited half a second for a slot and began after the expiry.
    """
    versions = VersionRollouts(8.0)
    versions.add("model-1", 2, 0.0)
    view = make_view()
    view.full_pass_s, view.round_trip_s = 0.1, 0.02
    _fill(view, 3)
    dispatcher = _dispatcher([view], versions)
    (early,) = dispatcher.submit(make_pending(target_at=8.2), 7.7)
    assert isinstance(early, Assignment)
    # It is withdrawn if others fill the engine meanwhile and it has not begun by then.
    assert view.begin_by == pytest.approx(7.88)
    view.remove_call(early.call.call_id)
    (late,) = dispatcher.submit(make_pending(target_at=8.2), 7.8)
    assert isinstance(late, Rejection)


def test_expiring_version_is_not_used_if_the_request_would_begin_too_late():
    """Guards against requests that wait at an engine past its version's end."""
    versions = VersionRollouts(8.0)
    versions.add("model-1", 2, 0.0)
    prompts = {"waiting": 1, "waiting_tokens": 31900}
    busy = make_view("busy", peer_load=prompts)
    dispatcher = _dispatcher([busy], versions)
    # The prompts ahead take a second.
    (late,) = dispatcher.submit(make_pending(target_at=9.0), 7.2)
    assert isinstance(late, Rejection)
    (early,) = dispatcher.submit(make_pending(target_at=9.0), 6.0)
    assert isinstance(early, Assignment)


def test_expiring_version_is_not_used_by_a_policy_without_predictions():
    versions = VersionRollouts(8.0)
    versions.add("model-1", 2, 0.0)
    view = make_view()
    view.round_trip_s = 0.2
    dispatcher = ServiceDispatcher(LeastOutstandingPolicy(4, _no_penalty), versions)
    dispatcher.set_upstreams([view])
    (late,) = dispatcher.submit(make_pending(), 7.9)
    assert isinstance(late, Rejection)
    (early,) = dispatcher.submit(make_pending(), 7.7)
    assert isinstance(early, Assignment)


def test_older_version_is_used_for_requests_that_outlast_it():
    """Guards against seconds without service where streams cannot be resumed."""
    versions = VersionRollouts(8.0)
    versions.add("model-1", 2, 0.0)
    dispatcher = _dispatcher([make_view()], versions)
    (decision,) = dispatcher.submit(make_pending(timeout_at=60.0), 7.0)
    assert isinstance(decision, Assignment)


def test_cost_of_a_dispatch_does_not_grow_with_waiting_calls_times_engines(monkeypatch):
    """Guards against days that were too slow: each waiting call looked at each engine
    of all cells, at each datagram.
    """
    home = [make_view(f"home-{number}") for number in range(20)]
    away = [make_view(f"away-{number}") for number in range(100)]
    for view in (*home, *away):
        _fill(view, 4)
    for view in away:
        view.is_home = False
    dispatcher = _dispatcher([*home, *away])
    for _ in range(10):
        dispatcher.submit(make_pending(target_at=2.0), 0.0)
    looks = []
    admits = VersionRule.admits

    def count_looks(self, call, view, now):
        looks.append(view)
        return admits(self, call, view, now)

    monkeypatch.setattr(VersionRule, "admits", count_looks)
    assert dispatcher.place_waiting(0.01) == []
    assert len(looks) <= 20 + 10 * NEIGHBOR_SAMPLE


def _far_engines(count, region):
    views = [make_view(f"{region}-{number}") for number in range(count)]
    for view in views:
        view.is_home, view.region = False, region
    return views


@pytest.mark.parametrize("seed", range(5))
def test_bound_request_finds_the_few_engines_of_its_region_in_other_cells(seed):
    """Guards against a sample that has no engine of the region.

    Twelve of a hundred engines were looked at, of which two were in the region.
    """
    policy = PredictedLatencyPolicy(make_profile(), _no_penalty)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0), seed=seed)
    allowed = _far_engines(2, "region-2")
    dispatcher.set_upstreams([*_far_engines(98, "region-1"), *allowed])
    call = make_pending(allowed_regions=frozenset({"region-2"}))
    (decision,) = dispatcher.submit(call, 0.0)
    assert decision.placement.upstream in allowed


def test_bound_request_goes_to_no_engine_of_another_cell_outside_its_region():
    """Guards against requests that leave their region when it is full."""
    home = make_view("home")
    home.region = "region-2"
    _fill(home, 4)
    dispatcher = _dispatcher([home, *_far_engines(20, "region-1")])
    call = make_pending(allowed_regions=frozenset({"region-2"}))
    assert dispatcher.submit(call, 0.0) == []
    (decision,) = dispatcher.place_waiting(MAX_QUEUE_WAIT_S)
    assert decision.reason is RejectReason.NO_ROOM


def test_bound_request_without_an_engine_in_its_region_is_rejected_at_once():
    """Guards against requests that are held back for engines they may not use."""
    dispatcher = _dispatcher([make_view("home"), *_far_engines(3, "region-1")])
    call = make_pending(allowed_regions=frozenset({"region-2"}))
    (decision,) = dispatcher.submit(call, 0.0)
    assert decision.reason is RejectReason.NO_UPSTREAM


def test_requests_of_one_dispatch_do_not_share_their_candidates_across_regions():
    """Guards against the candidates of a flexible request for one that is bound."""
    views = [make_view("first"), make_view("second")]
    for number, view in enumerate(views):
        view.region = f"region-{number}"
        _fill(view, 4)
    dispatcher = _dispatcher(views)
    for allowed in (None, frozenset({"region-1"})):
        dispatcher.submit(make_pending(allowed_regions=allowed), 0.0)
    views[0].remove_call(-1)
    views[0].remove_call(-2)
    (decision,) = dispatcher.place_waiting(0.01)
    assert decision.call.allowed_regions is None


def test_cost_of_a_bound_dispatch_does_not_grow_with_the_engines(monkeypatch):
    """Guards against bound requests that look at each engine of all cells."""
    views = _far_engines(100, "region-1") + _far_engines(100, "region-2")
    for view in views:
        _fill(view, 4)
    dispatcher = _dispatcher(views)
    for _ in range(10):
        call = make_pending(target_at=2.0, allowed_regions=frozenset({"region-2"}))
        dispatcher.submit(call, 0.0)
    looks = []
    admits = VersionRule.admits

    def count_looks(self, call, view, now):
        looks.append(view)
        return admits(self, call, view, now)

    monkeypatch.setattr(VersionRule, "admits", count_looks)
    assert dispatcher.place_waiting(0.01) == []
    assert 0 < len(looks) <= 10 * NEIGHBOR_SAMPLE


def test_engine_of_another_cell_is_used_only_without_room_at_home():
    home, away = make_view("home"), make_view("away")
    away.is_home = False
    _fill(home, 2)
    dispatcher = _dispatcher([home, away])
    (decision,) = dispatcher.submit(make_pending(), 0.0)
    assert decision.placement.upstream is home
    _fill(home, 4)
    (decision,) = dispatcher.submit(make_pending(), 0.0)
    assert decision.placement.upstream is away
    assert dispatcher.uses_neighbors(0.1)


def test_engine_of_another_cell_is_filled_only_in_part():
    home, away = make_view("home"), make_view("away")
    away.is_home = False
    _fill(home, 4)
    _fill(away, 3)
    dispatcher = _dispatcher([home, away])
    assert dispatcher.submit(make_pending(), 0.0) == []

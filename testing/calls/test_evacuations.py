"""Requests and upstreams in zones that are evacuated."""

from sitebuilders import MODEL, make_pending, make_profile, make_view

from bamboolever.calls.dispatcher import Assignment, RejectReason, ServiceDispatcher
from bamboolever.calls.eligibility import EligibilityRules, IneligibleReason
from bamboolever.calls.placement import PredictedLatencyPolicy
from bamboolever.fleet.evacuations import Evacuations
from bamboolever.fleet.versions import VersionRollouts

BOUND_S = 5.0
SLOTS = 4


def _evacuate(*zones):
    """Evacuate zones from the time 0."""
    evacuations = Evacuations(BOUND_S)
    evacuations.confirm(1, 10, 0.0)
    for zone in zones:
        evacuations.put(zone, 11, 0.0)
    return evacuations


def _view(name, zone, **changes):
    return make_view(name, availability_zone=zone, slots=SLOTS, **changes)


def _dispatcher(evacuations, *views):
    profile = make_profile(slots=SLOTS)
    dispatcher = ServiceDispatcher(
        PredictedLatencyPolicy(profile, lambda _view: 0.0),
        VersionRollouts(8.0),
        evacuations=evacuations,
    )
    dispatcher.set_upstreams(list(views))
    return dispatcher


def _call(now=0.0, **changes):
    return make_pending(
        arrived_at=now, target_at=now + 0.4, timeout_at=now + 6.0, **changes
    )


def _fill(view, count=SLOTS):
    for number in range(count):
        view.add_call(-1 - number, 100)
        view.on_first_event(-1 - number)


def test_zone_takes_only_what_finds_no_room_elsewhere_in_the_first_half():
    """Guards against full engines beside a zone that may still be used."""
    evacuated, other = _view("a", "zone-a"), _view("b", "zone-b")
    dispatcher = _dispatcher(_evacuate("zone-a"), evacuated, other)
    placed = [dispatcher.submit(_call(), 0.0)[0] for _ in range(SLOTS + 1)]
    upstreams = [each.placement.upstream for each in placed]
    assert all(upstream is other for upstream in upstreams[:SLOTS])
    assert upstreams[SLOTS] is evacuated
    assert [each.is_last_resort for each in placed] == [False] * SLOTS + [True]


def test_zone_takes_nothing_in_the_second_half():
    evacuated, other = _view("a", "zone-a"), _view("b", "zone-b")
    _fill(other)
    dispatcher = _dispatcher(_evacuate("zone-a"), evacuated, other)
    assert dispatcher.submit(_call(BOUND_S / 2), BOUND_S / 2) == []
    (rejection,) = dispatcher.place_waiting(BOUND_S / 2 + 0.2)
    assert rejection.reason is RejectReason.NO_ROOM


def test_engines_of_other_cells_in_an_evacuated_zone_are_a_last_resort_too():
    home, neighbor = _view("a", "zone-a"), _view("b", "zone-a")
    neighbor.is_home = False
    _fill(home)
    (decision,) = _dispatcher(_evacuate("zone-a"), home, neighbor).submit(_call(), 0.0)
    assert decision.placement.upstream is neighbor
    assert decision.is_last_resort


def test_engines_of_other_cells_come_before_the_last_resort():
    home, neighbor = _view("a", "zone-a"), _view("b", "zone-b")
    neighbor.is_home = False
    (decision,) = _dispatcher(_evacuate("zone-a"), home, neighbor).submit(_call(), 0.0)
    assert decision.placement.upstream is neighbor
    assert not decision.is_last_resort


def test_ejected_upstreams_elsewhere_come_before_an_evacuated_zone():
    """Guards against a waived ejection that brings an evacuated zone back."""
    evacuated = _view("a", "zone-a")
    others = [_view("b", "zone-b"), _view("c", "zone-b")]
    for view in others:
        view.on_unreachable(3.0)
    dispatcher = _dispatcher(_evacuate("zone-a"), evacuated, *others)
    (decision,) = dispatcher.submit(_call(3.0), 3.0)
    assert decision.placement.upstream is not evacuated


def test_all_zones_evacuated_rejects_every_kind_of_request_at_once():
    """Guards against retries and resumed streams that wait for nothing."""
    views = [_view("a", "zone-a"), _view("b", "zone-b")]
    dispatcher = _dispatcher(_evacuate("zone-a", "zone-b"), *views)
    for changes in ({}, {"first_attempt_age_s": 1.0}, {"is_resumed": True}):
        call = _call(3.0, **changes)
        (rejection,) = dispatcher.submit(call, 3.0)
        assert rejection.reason is RejectReason.EVACUATED
        assert rejection.retry_after_s > 0
    assert dispatcher.queue_length == 0


def test_all_zones_evacuated_serves_until_half_of_the_bound():
    view = _view("a", "zone-a")
    (decision,) = _dispatcher(_evacuate("zone-a"), view).submit(_call(), 0.0)
    assert isinstance(decision, Assignment)


def test_waiting_request_is_rejected_when_all_zones_are_closed():
    view = _view("a", "zone-a")
    _fill(view)
    evacuations = _evacuate()
    dispatcher = _dispatcher(evacuations, view)
    assert dispatcher.submit(_call(2.9, is_resumed=True), 2.9) == []
    evacuations.put("zone-a", 11, 2.9)
    (rejection,) = dispatcher.place_waiting(2.95)
    assert rejection.reason is RejectReason.EVACUATED


def test_evacuation_of_all_that_serve_is_told_from_a_lack_of_upstreams():
    evacuated = _view("a", "zone-a")
    leaving = _view("b", "zone-b", is_draining=True)
    dispatcher = _dispatcher(_evacuate("zone-a"), evacuated, leaving)
    (rejection,) = dispatcher.submit(_call(3.0), 3.0)
    assert rejection.reason is RejectReason.EVACUATED
    (rejection,) = _dispatcher(_evacuate(), leaving).submit(_call(3.0), 3.0)
    assert rejection.reason is RejectReason.NO_UPSTREAM


def test_zone_that_no_upstream_is_in_changes_nothing():
    view = _view("a", "zone-a")
    (decision,) = _dispatcher(_evacuate("nowhere"), view).submit(_call(3.0), 3.0)
    assert decision.placement.upstream is view
    assert not decision.is_last_resort


def test_rule_comes_after_availability_and_before_the_version():
    rules = EligibilityRules.from_versions(VersionRollouts(8.0), _evacuate("zone-a"))
    closed, old = _view("closed", "zone-a"), _view("old", "zone-a")
    closed.close_for(60.0, 3.0)
    old.on_served_version(MODEL, 0, 3.0)
    assert rules.explain(_call(), [closed, old], 3.0) == {
        "closed": IneligibleReason.UNAVAILABLE,
        "old": IneligibleReason.EVACUATED,
    }

"""When a second attempt may be sent beside a slow one, where, and how many."""

import random

import pytest
from sitebuilders import make_pending, make_route, make_view

from bamboolever.calls.dispatcher import ServiceDispatcher
from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.hedging import (
    BUCKET_GROWTH,
    HALF_LIFE_S,
    MAX_SAVED_HEDGES,
    MIN_OBSERVATIONS,
    HedgeInput,
    HedgeRefusal,
    LatencyHistogram,
    ServiceHedging,
    find_hedge_refusal,
    may_hedge,
)
from bamboolever.calls.limits import LimitStatement
from bamboolever.calls.placement import Placement, PlainServicePolicy
from bamboolever.config.model import RouteKind
from bamboolever.fleet.versions import VersionRollouts


@pytest.mark.parametrize("kind", RouteKind)
def test_only_idempotent_routes_are_hedged(kind):
    """Guards against an order that runs twice, and against streams sent twice."""
    for can_resume in (False, True):
        route = make_route(kind=kind, can_resume=can_resume)
        assert may_hedge(route, None) is (kind is RouteKind.IDEMPOTENT)
    assert not may_hedge(make_route(kind=kind), "model-1")


@pytest.mark.parametrize("percentile", [50, 90, 95, 99])
def test_percentile_has_a_bounded_error(percentile):
    source = random.Random(percentile)
    latencies = [source.lognormvariate(-3.0, 0.7) for _ in range(5000)]
    histogram = LatencyHistogram()
    for latency_s in latencies:
        histogram.add(latency_s, 0.0)
    exact_s = sorted(latencies)[int(len(latencies) * percentile / 100)]
    found_s = histogram.find_percentile_s(percentile)
    assert exact_s / BUCKET_GROWTH < found_s < exact_s * BUCKET_GROWTH


def test_old_latencies_count_less_and_weights_stay_finite():
    histogram = LatencyHistogram()
    for number in range(1000):
        histogram.add(0.02, number * 0.1)
    for number in range(1000):
        histogram.add(0.2, 100.0 + 2 * HALF_LIFE_S + number * 0.1)
    assert 0.18 < histogram.find_percentile_s(50) < 0.22
    for number in range(1000):
        histogram.add(0.05, 1e4 + number * 1e4)
    assert histogram.count_at(1e4 + 999 * 1e4) == pytest.approx(1.0, abs=0.01)
    assert 0.045 < histogram.find_percentile_s(50) < 0.055


@pytest.mark.parametrize("latency_s", [0.0, -1.0, 1e-9, 1e9])
def test_latency_beyond_the_buckets_is_counted_in_the_last_one(latency_s):
    histogram = LatencyHistogram()
    histogram.add(latency_s, 0.0)
    assert histogram.count_at(0.0) == 1.0


def test_delay_is_unknown_until_enough_responses_and_after_a_long_silence():
    hedging = ServiceHedging(0.1)
    for _ in range(int(MIN_OBSERVATIONS)):
        assert hedging.find_delay_s(0.0) is None
        hedging.on_response(0.03, 0.0)
    assert 0.027 < hedging.find_delay_s(0.0) < 0.033
    assert hedging.find_delay_s(10 * HALF_LIFE_S) is None


def test_share_starts_empty_and_saves_little():
    hedging = ServiceHedging(0.25)
    assert not hedging.has_token
    for _ in range(4):
        hedging.on_first_attempt()
    assert hedging.has_token
    hedging.take_token()
    assert not hedging.has_token
    for _ in range(1000):
        hedging.on_first_attempt()
    taken = 0
    while hedging.has_token:
        hedging.take_token()
        taken += 1
    assert taken == MAX_SAVED_HEDGES


@pytest.mark.parametrize("share", [0.01, 0.05, 0.3])
@pytest.mark.parametrize("entries", [1, 11, 36])
def test_extra_requests_of_all_entries_keep_to_the_share(entries, share):
    """Guards against a share that holds for one entry but not for all together."""
    source = random.Random(1)
    all_hedging = [ServiceHedging(share) for _ in range(entries)]
    requests = extra = 0
    for number in range(20000):
        entry = source.randrange(entries)
        if number % 1000 == 0:
            # A restarted entry must not spend again what it has spent.
            all_hedging[entry] = ServiceHedging(share)
        all_hedging[entry].on_first_attempt()
        requests += 1
        while all_hedging[entry].has_token:
            all_hedging[entry].take_token()
            extra += 1
        assert extra <= share * requests + 1e-9
    assert extra > 0.5 * share * requests


@pytest.mark.parametrize(
    ("inputs", "refusal"),
    [
        (HedgeInput(1, 2, 1.0), None),
        (HedgeInput(2, 2, 1.0), HedgeRefusal.ATTEMPTS_USED),
        (HedgeInput(1, 1, 1.0), HedgeRefusal.ATTEMPTS_USED),
        (HedgeInput(1, 2, 0.04), HedgeRefusal.NO_TIME_LEFT),
    ],
)
def test_limits_of_the_route_bind_hedged_requests(inputs, refusal):
    assert find_hedge_refusal(inputs) is refusal


def _make_dispatcher(views, penalty=lambda _view: 0.0):
    policy = PlainServicePolicy(penalty)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams(views)
    return dispatcher


def _choose(dispatcher, tried="up-0", now=0.0):
    call = make_pending(model=None, tried={tried})
    found = dispatcher.choose_hedge(call, now)
    return found.upstream.instance_id if isinstance(found, Placement) else found


def _make_views(*zones):
    return [
        make_view(f"up-{number}", slots=6, availability_zone=zone)
        for number, zone in enumerate(zones)
    ]


def test_hedge_goes_neither_to_the_same_upstream_nor_to_its_zone():
    views = _make_views("a", "a", "b")
    dispatcher = _make_dispatcher(
        views, lambda v: 0.0 if v.record.availability_zone == "a" else 0.015
    )
    assert _choose(dispatcher) == "up-2"


def test_hedge_stays_in_the_zone_if_the_others_are_full():
    views = _make_views("a", "a", "b", "a")
    views[2].peer_load = EngineLoad(writing=5)
    assert _choose(_make_dispatcher(views)) in ("up-1", "up-3")


def test_hedge_is_not_counted_until_it_is_assigned():
    views = _make_views("a", "b")
    dispatcher = _make_dispatcher(views)
    call = make_pending(model=None, tried={"up-0"})
    placement = dispatcher.choose_hedge(call, 0.0)
    assert not views[1].calls
    dispatcher.assign_chosen(call, placement, 0.0)
    assert list(views[1].calls) == [call.call_id]


def test_no_hedge_while_a_request_waits():
    views = _make_views("a", "b")
    dispatcher = _make_dispatcher(views)
    for view in views:
        view.peer_load = EngineLoad(writing=9)
    dispatcher.submit(make_pending(model=None), 0.0)
    assert dispatcher.queue_length == 1
    for view in views:
        view.peer_load = EngineLoad()
    assert _choose(dispatcher) is HedgeRefusal.WAITING


@pytest.mark.parametrize("active", [(5, 4), (4, 5), (6, 3)])
def test_no_hedge_while_the_upstreams_are_nearly_full(active):
    """Guards against hedged requests that take the places of first attempts."""
    views = _make_views("a", "b", "c")
    for view, count in zip(views[1:], active, strict=True):
        view.peer_load = EngineLoad(writing=count)
    assert _choose(_make_dispatcher(views)) is HedgeRefusal.NO_ROOM


@pytest.mark.parametrize(
    "exclude",
    [
        lambda view: view.on_unreachable(0.0),
        lambda view: view.close_for(1.0, 0.0),
        lambda view: setattr(view, "is_leaving", True),
        lambda view: view.limit.learn(LimitStatement(1, 1.0, 0.0, 0.0), 0.0),
    ],
    ids=["ejected", "closed", "leaving", "limited"],
)
def test_rules_of_the_dispatcher_bind_hedged_requests(exclude):
    views = _make_views("a", "b")
    dispatcher = _make_dispatcher(views)
    assert _choose(dispatcher) == "up-1"
    exclude(views[1])
    assert _choose(dispatcher) is HedgeRefusal.NO_UPSTREAM

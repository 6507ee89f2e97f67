"""The room that flexible requests leave to bound ones, as decisions and in replays."""

import random

import pytest
from loadreplay import LoadReplay, make_arrivals
from sitebuilders import make_pending, make_view

from bamboolever.calls import dispatcher
from bamboolever.calls.regionreserve import (
    NOTHING_RESERVED,
    RegionLoad,
    RegionReserve,
    ReservedRegions,
    find_reserve,
    measure_regions,
)

REGIONS = ("region-1", "region-2", "region-3")
BOUND = frozenset({"region-1"})
ENTRIES = 6
ENGINES = 9
PROFILE = {
    "slots": 8,
    "step_s": 0.0111,
    "step_per_sequence_s": 0.000058,
    "step_per_context_token_s": 3.05e-8,
    "prefill_tokens_per_s": 21300.0,
}
# Requests per second that fill the engines, and that leave a third of them free.
FULL_PER_S = 70
PARTIAL_PER_S = 34
# The demand is known and the engines are full from about this time on.
RAMP_UP_S = 3.0


def _reserve(*arrivals, now=0.0):
    reserve = RegionReserve()
    for allowed, priority in arrivals:
        call = make_pending(allowed_regions=allowed, priority=priority)
        reserve.on_arrival(call, now)
    return reserve


def _loads(free, regions=REGIONS):
    return {region: RegionLoad(24.0, free) for region in regions}


def _find(reserve, call, loads, now=0.0):
    if not reserve.concerns(call, now):
        return NOTHING_RESERVED
    return reserve.find_reserved(call, loads, 1.0, now)


@pytest.mark.parametrize(
    ("bound_priority", "free", "preferred", "required"),
    [
        (0, 2, BOUND, BOUND),
        (1, 2, BOUND, frozenset()),
        (1, 0, BOUND, BOUND),
        (2, 0, frozenset(), frozenset()),
    ],
)
def test_priority_decides_whether_a_flexible_request_leaves_room(
    bound_priority, free, preferred, required
):
    """Guards against urgent requests that are rejected in favor of others."""
    reserve = _reserve(*[(BOUND, bound_priority)] * 10)
    found = _find(reserve, make_pending(priority=1), _loads(free))
    assert found == ReservedRegions(preferred, required)


def test_bound_demand_beyond_its_region_does_not_starve_equal_requests():
    reserve = _reserve(*[(BOUND, 1)] * 100)
    assert not _find(reserve, make_pending(priority=1), _loads(free=1)).required
    assert _find(reserve, make_pending(priority=2), _loads(free=1)).required == BOUND


@pytest.mark.parametrize(
    ("allowed", "is_concerned"),
    [
        (None, True),
        (frozenset({"region-1", "region-2"}), True),
        (BOUND, False),
        (frozenset({"region-2", "region-3"}), False),
    ],
)
def test_only_requests_that_reach_more_leave_room(allowed, is_concerned):
    reserve = _reserve(*[(BOUND, 0)] * 10)
    call = make_pending(allowed_regions=allowed)
    loads = _loads(1, sorted(allowed or REGIONS))
    assert _find(reserve, call, loads).preferred == (BOUND if is_concerned else set())


def test_no_room_is_left_while_the_region_has_enough():
    reserve = _reserve(*[(BOUND, 0)] * 10)
    assert not _find(reserve, make_pending(), _loads(free=20)).preferred


def test_no_room_is_left_where_no_other_region_has_engines():
    """Guards against requests that make room though they cannot go elsewhere."""
    reserve = _reserve(*[(BOUND, 0)] * 10)
    assert _find(reserve, make_pending(), _loads(1, ["region-1"])) == NOTHING_RESERVED


def test_demand_is_forgotten_when_it_ends():
    reserve = _reserve(*[(BOUND, 0)] * 10)
    assert reserve.concerns(make_pending(), 1.0)
    assert not reserve.concerns(make_pending(), 20.0)


def test_more_entries_mean_more_demand():
    reserve = _reserve((BOUND, 0))
    assert not _find(reserve, make_pending(), _loads(free=4)).preferred
    reserve.entry_count = 30
    assert _find(reserve, make_pending(), _loads(free=4)).preferred == BOUND


@pytest.mark.parametrize("slots", [24, 240])
def test_reserve_grows_with_the_demand_up_to_all_slots(slots):
    sizes = [find_reserve(share * slots, slots) for share in (0, 0.1, 0.5, 0.9, 1, 2)]
    assert sizes == sorted(sizes)
    assert sizes[0] == 0
    assert 0 < sizes[1] < sizes[2] < 8
    assert sizes[-2:] == [slots, slots]


def test_slow_engine_counts_with_the_slots_that_it_serves():
    views = [make_view("a"), make_view("b")]
    views[1].slowdown = 2.0
    views[1].add_call(1, 100)
    assert measure_regions(views) == {None: RegionLoad(6.0, 7)}


# Replays.


def _make_calls(
    per_s, bound_share, *, skew=0.0, regions=REGIONS, seed=0, duration_s=4.0
):
    """Return calls of which a share is bound to one of ``regions`` at random.

    A share of ``skew`` is moved to the entries of the first region.
    """
    calls = make_arrivals(
        per_s=per_s, duration_s=duration_s, entries=ENTRIES, seed=seed
    )
    source = random.Random(seed)
    for call in calls:
        if source.random() < bound_share:
            call.allowed_regions = frozenset({source.choice(regions)})
        if source.random() < skew:
            call.entry = source.choice((0, 3))
    return calls


def _replay(calls, dead_regions=()):
    return LoadReplay(
        entries=ENTRIES,
        engines=ENGINES,
        arrivals=calls,
        regions=[REGIONS[number % 3] for number in range(ENGINES)],
        entry_regions=[REGIONS[number % 3] for number in range(ENTRIES)],
        dead_regions=dead_regions,
        **PROFILE,
    ).run()


def _without_reserve(monkeypatch):
    monkeypatch.setattr(RegionReserve, "concerns", lambda *_: False)


SITUATIONS = {
    "one full": {"per_s": PARTIAL_PER_S, "skew": 0.6, "regions": ("region-1",)},
    "one dead": {"per_s": PARTIAL_PER_S, "dead_regions": ("region-2",)},
    "all full": {"per_s": FULL_PER_S},
}


def _run(situation, bound_share):
    options = dict(SITUATIONS[situation])
    dead_regions = options.pop("dead_regions", ())
    calls = _make_calls(options.pop("per_s"), bound_share, **options)
    return _replay(calls, dead_regions)


def _shares_on_time(situation, *, urgent=None, seeds=3):
    """Return the shares of bound, flexible and all requests that are on time.

    Of the requests 30% are bound; those to a dead region are left out. ``urgent`` is
    whether the bound or the flexible ones are more urgent.
    """
    calls = []
    for seed in range(seeds):
        options = dict(SITUATIONS[situation])
        dead_regions = options.pop("dead_regions", ())
        per_s = options.pop("per_s")
        made = _make_calls(per_s, 0.3, seed=seed, duration_s=7.0, **options)
        for call in made:
            is_bound = call.allowed_regions is not None
            call.priority = int(urgent is not None and is_bound is not urgent)
        _replay(made, dead_regions)
        hopeless = [call for call in made if _is_bound_to(call, dead_regions)]
        assert all(call.is_rejected and not call.begun_at for call in hopeless)
        calls += [
            call
            for call in made
            if call.arrived_at > RAMP_UP_S and call not in hopeless
        ]
    bound = [call for call in calls if call.allowed_regions is not None]
    flexible = [call for call in calls if call.allowed_regions is None]
    return tuple(
        sum(call.is_on_time for call in group) / len(group)
        for group in (bound, flexible, calls)
    )


def _is_bound_to(call, regions):
    return call.allowed_regions is not None and call.allowed_regions <= set(regions)


def test_flexible_requests_go_elsewhere_while_one_region_is_full(monkeypatch):
    """Guards against bound requests that are rejected while others take their room."""
    bound, flexible, total = _shares_on_time("one full", seeds=8)
    _without_reserve(monkeypatch)
    bound_before, flexible_before, total_before = _shares_on_time("one full", seeds=8)
    assert bound > bound_before + 0.05
    assert flexible > flexible_before - 0.02
    assert total > total_before


def test_reserve_costs_little_while_one_region_is_dead(monkeypatch):
    """Guards against slots that are kept free while the others are needed in full."""
    bound, _, total = _shares_on_time("one dead", seeds=8)
    _without_reserve(monkeypatch)
    bound_before, _, total_before = _shares_on_time("one dead", seeds=8)
    assert bound > bound_before
    assert total > total_before - 0.02


def test_bound_requests_are_not_behind_equal_ones_where_all_regions_are_full(
    monkeypatch,
):
    """Guards against a disadvantage of either kind."""
    bound, flexible, total = _shares_on_time("all full")
    _without_reserve(monkeypatch)
    bound_before, flexible_before, total_before = _shares_on_time("all full")
    assert bound_before < flexible_before - 0.2
    assert flexible - 0.15 < bound < flexible
    assert total > total_before - 0.03


def test_more_urgent_bound_requests_go_first_where_all_regions_are_full():
    bound, flexible, _ = _shares_on_time("all full", urgent=True)
    assert bound > 0.8
    assert flexible > 0.5


def test_more_urgent_flexible_requests_leave_no_room(monkeypatch):
    """Guards against urgent requests that are rejected in favor of others."""
    shares = _shares_on_time("all full", urgent=False, seeds=1)
    _without_reserve(monkeypatch)
    assert shares == _shares_on_time("all full", urgent=False, seeds=1)


@pytest.mark.parametrize("situation", SITUATIONS)
@pytest.mark.parametrize("bound_share", [0, 1])
def test_placements_are_as_without_the_reserve_if_none_or_all_are_bound(
    situation, bound_share, monkeypatch
):
    """Guards against a reserve that changes deployments without restrictions."""
    replay = _run(situation, bound_share)
    _without_reserve(monkeypatch)
    assert replay.placed == _run(situation, bound_share).placed
    assert replay.placed
    regions = [
        (call.allowed_regions, REGIONS[number % 3])
        for call, number in _placements(replay)
    ]
    assert all(allowed is None or region in allowed for allowed, region in regions)


def _placements(replay):
    return [(replay.calls[call_id], number) for _, call_id, number in replay.placed]


def test_reserve_is_not_looked_up_without_bound_requests(monkeypatch):
    """Guards against work that grows with the engines where nothing is bound."""
    measured = []
    monkeypatch.setattr(dispatcher, "measure_regions", measured.append)
    _run("all full", 0)
    assert not measured

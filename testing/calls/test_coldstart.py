"""The cold state of one upstream and this entry's token bucket for it."""

import itertools

import pytest
from limits import COLD_SETTINGS, cold_allowed, most_in_window
from loadreplay import LoadReplay, make_arrivals
from sitebuilders import make_pending, make_record, make_view

from bamboolever.calls import eligibility
from bamboolever.calls.coldstart import (
    ENTRY_MEMORY_S,
    LONE_ENTRIES,
    SILENCE_S,
    SUSPENSION_S,
    ColdCause,
    ColdStart,
    ColdStartBound,
    ColdStartScope,
)
from bamboolever.calls.dispatcher import Assignment, RejectReason, ServiceDispatcher
from bamboolever.calls.eligibility import EligibilityRules, IneligibleReason
from bamboolever.calls.placement import PlainServicePolicy
from bamboolever.fleet.versions import VersionRollouts

COLD_S = 3.0
PER_S = 32.0
BOUND = ColdStartBound(
    COLD_S, PER_S, COLD_SETTINGS["coldOverage"], COLD_SETTINGS["coldSlack"]
)
HALF = 2**63 + 2**31


def _make_cold(*, entries=5, bound=BOUND, seed=HALF, **record):
    scope = ColdStartScope()
    scope.note_entries(entries, 0.0)
    cold = ColdStart()
    cold.configure(bound, scope, name="up-1", seed=seed, is_in_cell=True)
    cold.on_record(make_record(**record), 0.0)
    return cold, scope


def _make_views(count=1, *, bound=BOUND, **record):
    scope = ColdStartScope()
    scope.note_entries(5, 0.0)
    views = []
    for number in range(count):
        view = make_view(f"up-{number}", slots=16, **record)
        view.cold.configure(
            bound, scope, name=view.instance_id, seed=HALF, is_in_cell=True
        )
        view.cold.on_record(view.record, 0.0)
        views.append(view)
    return views


def _make_dispatcher(views):
    dispatcher = ServiceDispatcher(
        PlainServicePolicy(lambda _view: 0.0), VersionRollouts(8.0)
    )
    dispatcher.set_upstreams(views)
    return dispatcher


def _sent_times(cold, duration_s, *, start=0.0, step_s=0.005):
    """Send whenever there is a token."""
    times = []
    for number in range(int(duration_s / step_s)):
        now = start + number * step_s
        if cold.may_send(now):
            cold.take_token(now)
            times.append(now)
    return times


# What is known of starts.


def test_upstream_without_a_bound_is_never_cold():
    cold, scope = _make_cold(bound=None, cold_remaining_s=COLD_S)
    cold.assume(ColdCause.UNREACHABLE, 0.0)
    assert cold.may_send(0.0)
    assert not cold.take_token(0.0)
    assert not cold.is_cold(100.0)
    assert scope.take_begun() == []


def test_upstream_that_has_been_up_long_is_not_cold_at_the_start_of_the_traffic():
    cold, _ = _make_cold(started_ms=1, cold_remaining_s=0.0)
    assert not cold.is_cold(0.0)
    assert not cold.is_cold(100.0)


def test_listed_remaining_time_counts_from_when_it_is_heard():
    cold, scope = _make_cold(cold_remaining_s=2.0)
    assert cold.is_cold(1.99)
    assert not cold.is_cold(2.0)
    assert [each.cause for each in scope.take_begun()] == [ColdCause.LISTED]


def test_record_that_is_known_does_not_begin_the_time_again():
    """Guards against views that are built anew from the same record."""
    cold, _ = _make_cold(cold_remaining_s=2.0, heartbeat=1)
    cold.on_record(make_record(cold_remaining_s=2.0, heartbeat=1), 1.9)
    assert not cold.is_cold(2.0)


def test_new_start_is_cold_although_the_record_states_no_remaining_time():
    cold, _ = _make_cold(started_ms=1)
    cold.on_record(make_record(started_ms=2), 10.0)
    assert cold.is_cold(10.0 + COLD_S - 0.01)
    assert not cold.is_cold(10.0 + COLD_S)


def test_remaining_time_that_rises_without_a_restart_is_a_cold_start():
    cold, _ = _make_cold(started_ms=1, heartbeat=1)
    cold.on_record(make_record(started_ms=1, heartbeat=9, cold_remaining_s=2.5), 10.0)
    assert cold.is_cold(12.4)
    assert not cold.is_cold(12.5)


def test_record_of_an_earlier_process_changes_nothing():
    cold, _ = _make_cold(started_ms=5)
    cold.on_record(make_record(started_ms=4), 10.0)
    assert not cold.is_cold(10.0)


def test_assumed_start_lasts_until_the_cold_time_after_the_first_response():
    cold, _ = _make_cold()
    cold.assume(ColdCause.UNREACHABLE, 1.0)
    assert cold.is_cold(1000.0)
    cold.on_response(sent_at=0.9, now=1.1)
    assert cold.is_cold(1000.0), "it was sent before the connection was refused"
    cold.on_response(sent_at=20.0, now=20.1)
    assert cold.is_cold(20.0 + COLD_S)
    assert not cold.is_cold(20.1 + COLD_S)


def test_listed_start_ends_an_assumption():
    cold, _ = _make_cold(started_ms=1)
    cold.assume(ColdCause.UNREACHABLE, 1.0)
    cold.on_record(make_record(started_ms=2, cold_remaining_s=2.0), 3.0)
    assert cold.is_cold(4.9)
    assert not cold.is_cold(5.0)


def test_response_after_a_silence_is_taken_for_a_restart():
    cold, scope = _make_cold()
    cold.take_token(0.0)
    cold.on_response(0.0, 0.1)
    assert not cold.is_cold(0.1 + SILENCE_S)
    assert cold.is_cold(0.2 + SILENCE_S)
    assert [each.cause for each in scope.take_begun()] == [ColdCause.SILENT]


@pytest.mark.parametrize(
    "hear",
    [
        lambda cold, scope: cold.on_response(0.0, SILENCE_S),
        lambda cold, scope: cold.on_agent_state(
            1, SILENCE_S, is_down=False, is_home=True
        ),
        lambda cold, scope: cold.on_record(make_record(heartbeat=9), SILENCE_S),
        lambda cold, scope: scope.note_list_current(SILENCE_S),
    ],
    ids=["response", "agent", "record", "list"],
)
def test_upstream_that_was_heard_of_is_not_silent(hear):
    """Guards against a fleet that is throttled at low traffic."""
    cold, scope = _make_cold()
    cold.take_token(0.0)
    hear(cold, scope)
    assert not cold.is_cold(1.5 * SILENCE_S)


def test_upstream_that_was_never_used_is_not_silent():
    cold, _ = _make_cold()
    assert not cold.is_cold(100.0)


def test_agent_that_reports_a_new_process_or_none_tells_of_a_cold_start():
    cold, _ = _make_cold(started_ms=1)
    cold.on_agent_state(2, 10.0, is_down=False, is_home=True)
    assert cold.is_cold(12.9)
    cold.on_agent_state(2, 12.0, is_down=False, is_home=True)
    assert not cold.is_cold(13.0)
    cold.on_agent_state(2, 20.0, is_down=True, is_home=True)
    assert cold.is_cold(100.0)


def test_assumption_about_an_engine_of_another_cell_ends_with_news_of_it():
    """Guards against an engine that gets no request, so that none is answered."""
    cold, _ = _make_cold()
    cold.assume(ColdCause.UNREACHABLE, 1.0)
    cold.on_heard(10.0, is_home=False)
    assert cold.is_cold(12.9)
    assert not cold.is_cold(13.0)


def test_suspension_is_noticed_and_a_busy_moment_is_none():
    scope = ColdStartScope()
    assert not scope.note_awake(100.0)
    assert not scope.note_awake(100.0 + SUSPENSION_S)
    assert scope.note_awake(100.1 + 2 * SUSPENSION_S)


def test_entries_that_fell_silent_count_for_a_while():
    """Guards against two halves that are cut off and each use the whole rate."""
    scope = ColdStartScope()
    scope.note_entries(11, 0.0)
    scope.note_entries(6, 16.0)
    assert scope.count_entries(is_in_cell=True) == 11
    scope.note_entries(6, ENTRY_MEMORY_S + 1.0)
    assert scope.count_entries(is_in_cell=True) == 6


def test_entry_that_knows_no_other_uses_a_fifth():
    scope = ColdStartScope(cells=3)
    assert scope.count_entries(is_in_cell=True) == LONE_ENTRIES == 5.0
    assert scope.count_entries(is_in_cell=False) == 15.0


# The bucket.


@pytest.mark.parametrize("per_s", [2.0, 8.0, 32.0, 200.0])
@pytest.mark.parametrize("entries", [2, 5, 11, 22, 30, 36, 46, 150])
def test_bound_holds_if_all_entries_send_their_most_in_the_same_second(per_s, entries):
    """Guards against the first tokens of many entries that are used at once."""
    bound = ColdStartBound(COLD_S, per_s, **_overage())
    total = 0
    for number in range(entries):
        seed = (2**64 // entries) * number % 2**64
        position = int(number / entries * 2**32)
        cold, _ = _make_cold(
            entries=entries,
            bound=bound,
            seed=(seed >> 32 << 32) + position,
            cold_remaining_s=60.0,
        )
        total += most_in_window(_sent_times(cold, 8.0), 1.0)
    assert 0 < total <= cold_allowed(per_s)


def _overage():
    return {"overage": BOUND.overage, "slack": BOUND.slack}


def test_tokens_are_not_saved_while_there_is_no_demand():
    """Guards against a burst of all entries in the middle of a cold period."""
    cold, _ = _make_cold(entries=11, cold_remaining_s=60.0)
    quota = cold_allowed(PER_S) / 11
    assert most_in_window(_sent_times(cold, 3.0, start=20.0), 1.0) <= quota


def test_first_tokens_are_spread_over_the_time_of_one():
    firsts = []
    for number in range(32):
        cold, _ = _make_cold(
            entries=32, seed=number << 59, cold_remaining_s=COLD_S, bound=BOUND
        )
        firsts.append(_sent_times(cold, 2.0)[0])
    assert sum(first < 0.1 for first in firsts) <= BOUND.slack
    assert max(firsts) <= 1.2


def test_reject_is_told_another_time_each():
    cold, _ = _make_cold(cold_remaining_s=COLD_S, seed=0)
    promised = [cold.promise_token(0.0) for _ in range(5)]
    steps = [later - earlier for earlier, later in itertools.pairwise(promised)]
    assert promised[0] > 0.0
    assert all(step == pytest.approx(5 / PER_S, rel=0.01) for step in steps)


# The rule and the dispatcher.


def test_cold_engine_of_another_cell_takes_nothing():
    home, neighbor = _make_views(2, cold_remaining_s=COLD_S)
    neighbor.is_home = False
    rules = EligibilityRules.from_versions(VersionRollouts(8.0))
    rules.set_upstreams([home, neighbor])
    call = make_pending(model=None)
    # Both have a token by then.
    assert rules.find_eligible(call, [home, neighbor], 1.0) == [home]
    reasons = rules.explain(call, [home, neighbor], 1.0)
    assert reasons == {"up-1": IneligibleReason.COLD}


def test_rule_is_idle_without_a_bound(monkeypatch):
    def fail(*_):
        raise AssertionError("looked at a cold state without need")

    monkeypatch.setattr(eligibility.ColdStartRule, "admits", fail)
    dispatcher = _make_dispatcher(_make_views(bound=None))
    (decision,) = dispatcher.submit(make_pending(model=None), 0.0)
    assert isinstance(decision, Assignment)
    assert not decision.has_used_token


def test_each_send_takes_a_token_whatever_it_is_for():
    """Guards against retries and resumed streams that the bucket does not count."""
    (view,) = _make_views(cold_remaining_s=COLD_S)
    dispatcher = _make_dispatcher([view])
    now = 0.2
    for changes in ({}, {"tried": {"other"}}, {"is_resumed": True}):
        now += 1.0 / BOUND.entry_rate(5, 0.5)
        call = make_pending(
            model=None, arrived_at=now, target_at=now + 1, timeout_at=now + 5, **changes
        )
        (decision,) = dispatcher.submit(call, now)
        assert decision.has_used_token
        assert not view.cold.may_send(now)


def test_request_waits_for_a_token_that_is_due_in_time():
    (view,) = _make_views(cold_remaining_s=COLD_S)
    dispatcher = _make_dispatcher([view])
    # Half a token is there at first; the rest takes 78 ms.
    assert dispatcher.submit(make_pending(model=None), 0.0) == []
    due_at = dispatcher.next_expiry_at()
    assert due_at == pytest.approx(0.5 * 5 / PER_S, abs=1e-3)
    (decision,) = dispatcher.place_waiting(due_at)
    assert decision.has_used_token


def test_request_without_a_token_in_time_is_rejected_at_once():
    bound = ColdStartBound(COLD_S, 2.0, **_overage())
    (view,) = _make_views(bound=bound, cold_remaining_s=COLD_S)
    dispatcher = _make_dispatcher([view])
    rejections = [
        dispatcher.submit(make_pending(model=None, timeout_at=60.0), 0.0)[0]
        for _ in range(2)
    ]
    assert [each.reason for each in rejections] == [RejectReason.COLD] * 2
    assert rejections[0].held_back == ("up-0",)
    assert rejections[1].retry_after_s > rejections[0].retry_after_s > 0
    assert view.limit.wanted == 0, "no permit is needed"


def test_requests_go_to_warm_upstreams_beside_cold_ones():
    cold, warm = _make_views(2)
    cold.cold.assume(ColdCause.UNREACHABLE, 0.0)
    dispatcher = _make_dispatcher([cold, warm])
    decisions = [dispatcher.submit(make_pending(model=None), 0.0)[0] for _ in range(9)]
    assert all(each.placement.upstream is warm for each in decisions)


# Engines.


def _replay_engines(*, per_s, duration_s=4.0):
    arrivals = make_arrivals(per_s=per_s, duration_s=duration_s, entries=11)
    bound = ColdStartBound(COLD_S, 3.0, **_overage())
    replay = LoadReplay(
        entries=11, engines=8, arrivals=arrivals, cold=bound, cold_engines=4, slots=8
    )
    return replay.run(), bound


def test_zone_of_engines_that_is_back_at_once_gets_what_it_takes(monkeypatch):
    """Guards against engines that crash again under the demand that waited for them."""
    replay, bound = _replay_engines(per_s=120)
    most = [
        most_in_window([time for time in engine.arrivals if time < COLD_S], 1.0)
        for engine in replay.engines
    ]
    assert all(0 < each <= cold_allowed(bound.per_s) for each in most[:4])
    monkeypatch.setattr(eligibility.ColdStartRule, "admits", lambda *_: True)
    replay, bound = _replay_engines(per_s=120)
    most = [
        most_in_window([time for time in engine.arrivals if time < COLD_S], 1.0)
        for engine in replay.engines
    ]
    assert max(most[:4]) > cold_allowed(bound.per_s)

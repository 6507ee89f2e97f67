"""What an entry knows of an upstream's limit, and requests that need permits."""

import math

import pytest
from sitebuilders import make_pending, make_view

from bamboolever.calls.dispatcher import (
    MAX_QUEUE_WAIT_S,
    Assignment,
    Rejection,
    RejectReason,
    ServiceDispatcher,
)
from bamboolever.calls.limits import (
    MAX_WANTED,
    MIN_PERMITS_PER_S,
    PERMIT_TTL_S,
    REQUEST_TTL_S,
    SLOW_START_S,
    LimitStatement,
    UpstreamLimit,
)
from bamboolever.calls.placement import PlainServicePolicy
from bamboolever.fleet.versions import VersionRollouts

NOW = 100.0


def _state(per_s, sent_at, received_at):
    statement_id = hash((per_s, sent_at, received_at))
    return LimitStatement(statement_id, per_s, sent_at, received_at)


def _make_dispatcher(*views):
    policy = PlainServicePolicy(lambda view: 0.0)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams(list(views))
    return dispatcher


def _limit(view, per_s=1.0, now=NOW):
    view.limit.learn(_state(per_s, now - 0.01, now), now)


def _grant(view, count, now=NOW, *, due_s=1.0, step_s=1.0):
    view.limit.want_permit()
    assert view.limit.begin_request(7, now)
    view.limit.on_granted(7, count, due_s, step_s, now)


def _make_call(now=NOW, **changes):
    times = {"arrived_at": now, "target_at": now + 0.4, "timeout_at": now + 5.0}
    return make_pending(model=None, **{**times, **changes})


def _fill(view):
    for call_id in range(-1, -20, -1):
        view.add_call(call_id, 1)


def test_requests_that_wait_share_the_permits(now=NOW):
    """Guards against one permit for all requests that are placed at once."""
    limited, full = make_view("limited"), make_view("full")
    _limit(limited)
    _fill(full)
    dispatcher = _make_dispatcher(limited, full)
    for _ in range(3):
        assert dispatcher.submit(_make_call(), now) == []
    _grant(limited, 2)
    decisions = dispatcher.place_waiting(now)
    assert [each.has_used_permit for each in decisions] == [True, True]
    assert dispatcher.queue_length == 1


@pytest.mark.parametrize(
    ("known", "new", "expected"),
    [
        ((None, 1, 2), (1.0, 3, 4), 1.0),
        ((1.0, 1, 2), (None, 3, 4), None),
        ((1.0, 1, 2), (4.0, 3, 4), 4.0),
        ((4.0, 1, 2), (1.0, 3, 4), 1.0),
        ((1.0, 3, 4), (None, 1, 2), 1.0),
        ((None, 3, 4), (1.0, 1, 2), None),
        ((1.0, 1, 4), (None, 2, 3), 1.0),
        ((None, 1, 4), (1.0, 2, 3), 1.0),
        ((4.0, 1, 4), (1.0, 2, 5), 1.0),
        ((1.0, 1, 4), (4.0, 2, 5), 1.0),
    ],
    ids=[
        "named",
        "ended",
        "raised",
        "lowered",
        "old end",
        "old limit",
        "end or not",
        "limit or not",
        "lower or not",
        "higher or not",
    ],
)
def test_later_statement_holds_and_the_lower_one_if_neither_is(known, new, expected):
    """Guards against an answer to an older request that arrives later."""
    limit = UpstreamLimit()
    limit.learn(_state(*known), NOW)
    limit.learn(_state(*new), NOW)
    assert limit.per_s == expected


def test_statement_that_comes_back_from_other_entries_is_not_newer():
    """Guards against a limit that grows ever younger as entries tell it on."""
    limit = UpstreamLimit()
    limit.learn(LimitStatement(5, 1.0, 1.0, 2.0), NOW)
    assert not limit.learn(LimitStatement(5, 1.0, 8.0, 9.0), NOW)
    assert limit.learn(LimitStatement(6, None, 4.0, 5.0), NOW)


def test_permits_grow_in_number_after_the_end_of_a_limit():
    """Guards against all entries sending at once to an upstream that has recovered."""
    limit = UpstreamLimit()
    limit.learn(_state(2.0, 1, 2), NOW)
    limit.learn(_state(None, 3, 4), NOW)
    rates = [limit.permits_per_s(NOW + step / 2) for step in range(5)]
    assert rates == [2.0, 4.0, 8.0, 16.0, 32.0]
    assert not limit.may_send(NOW + SLOW_START_S - 0.1)
    assert limit.may_send(NOW + SLOW_START_S)


def test_limit_of_zero_leaves_a_request_to_ask_whether_it_has_ended():
    limit = UpstreamLimit()
    limit.learn(_state(0.0, 1, 2), NOW)
    assert limit.permits_per_s(NOW) == MIN_PERMITS_PER_S


def test_permits_expire_after_they_were_asked_for():
    """Guards against an entry that was frozen and uses its permits later."""
    view = make_view()
    _limit(view)
    _grant(view, 2)
    assert view.limit.may_send(NOW + PERMIT_TTL_S - 0.01)
    assert not view.limit.may_send(NOW + PERMIT_TTL_S)
    assert not view.limit.take_permit(NOW + PERMIT_TTL_S)


def test_grant_for_another_request_is_ignored():
    view = make_view()
    _limit(view)
    view.limit.want_permit()
    view.limit.begin_request(7, NOW)
    assert not view.limit.on_granted(6, 1, 1.0, 1.0, NOW)
    assert not view.limit.may_send(NOW)


def test_one_request_for_permits_is_open_at_a_time():
    limit = UpstreamLimit()
    for _ in range(2 * MAX_WANTED):
        limit.want_permit()
    assert limit.begin_request(1, NOW) == MAX_WANTED
    limit.want_permit()
    assert limit.begin_request(2, NOW + REQUEST_TTL_S / 2) == 0
    assert limit.begin_request(3, NOW + 1.5 * REQUEST_TTL_S) == 1
    assert limit.is_keeper_silent


def test_request_goes_elsewhere_while_an_upstream_lacks_a_permit():
    limited, other = make_view("limited"), make_view("other")
    _limit(limited)
    dispatcher = _make_dispatcher(limited, other)
    for _ in range(3):
        (decision,) = dispatcher.submit(_make_call(), NOW)
        assert isinstance(decision, Assignment)
        assert decision.placement.upstream is other
        assert decision.held_back == ("limited",)
    assert dispatcher.take_lacking_permits() == [limited]
    assert limited.limit.wanted == 3


def test_request_waits_for_a_permit_that_may_be_due_in_time():
    limited = make_view()
    _limit(limited)
    dispatcher = _make_dispatcher(limited)
    assert dispatcher.submit(_make_call(), NOW) == []
    _grant(limited, 0, due_s=MAX_QUEUE_WAIT_S / 2)
    assert dispatcher.place_waiting(NOW) == []


def test_request_is_rejected_at_once_when_no_permit_is_due_in_time():
    limited = make_view()
    _limit(limited)
    dispatcher = _make_dispatcher(limited)
    assert dispatcher.submit(_make_call(), NOW) == []
    _grant(limited, 0, due_s=4.0, step_s=2.0)
    (waiting,) = dispatcher.place_waiting(NOW)
    (new,) = dispatcher.submit(_make_call(), NOW)
    for rejection, delay_s in [(waiting, 4.0), (new, 6.0)]:
        assert isinstance(rejection, Rejection)
        assert rejection.reason is RejectReason.LIMITED
        assert math.isclose(rejection.retry_after_s, delay_s)


def test_half_of_the_fleet_limited_does_not_switch_ejection_off():
    """Guards against limited upstreams that count as failed ones."""
    views = [make_view(name) for name in ("limited-1", "limited-2", "ejected")]
    for view in views[:2]:
        _limit(view)
    views[2].ejected_until = NOW + 5.0
    dispatcher = _make_dispatcher(*views)
    assert dispatcher.submit(_make_call(), NOW) == []
    assert not views[2].calls


def test_resumed_stream_gets_a_permit_before_other_requests():
    limited = make_view()
    _limit(limited)
    dispatcher = _make_dispatcher(limited)
    first = _make_call()
    resumed = _make_call(is_resumed=True)
    for call in (first, resumed):
        assert dispatcher.submit(call, NOW) == []
    _grant(limited, 1)
    decisions = dispatcher.place_waiting(NOW)
    assigned = [each.call for each in decisions if isinstance(each, Assignment)]
    assert assigned == [resumed]

"""What an entry knows of an upstream's limit, and requests that need permits."""

from sitebuilders import make_pending, make_view

from bamboolever.calls.dispatcher import (
    ServiceDispatcher,
)
from bamboolever.calls.limits import (
    LimitStatement,
)
from bamboolever.calls.placement import PlainServicePolicy
from bamboolever.fleet.versions import VersionRollouts

NOW = 100.0


def _state(per_s, sent_at, received_at, statement_id=None):
    statement_id = hash((per_s, sent_at, received_at)) if statement_id is None else 1
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

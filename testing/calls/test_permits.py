"""One keeper that hands out an upstream's permits to several entries."""

import pytest

from bamboolever.calls.limits import PERMIT_TTL_S, REQUEST_TTL_S
from bamboolever.calls.permits import LEARN_PEERS_S, MAX_GAP_S, PermitKeeper
from bamboolever.net.addresses import Address

NOW = 100.0
UPSTREAM = 7
FIRST, SECOND = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


def _keep(keeper, per_s, start, end):
    """Keep the upstream's permits from ``start`` to ``end``."""
    step = start
    while step <= end:
        keeper.keep(UPSTREAM, per_s, step)
        step += MAX_GAP_S / 2


def _ask(keeper, entry, now, wanted=1):
    return keeper.ask(UPSTREAM, entry, 1, wanted, now)


def _granted(answers):
    return [(answer.entry, answer.grant.granted) for answer in answers]


@pytest.fixture
def keeper():
    return PermitKeeper(0.0)


def test_new_keeper_waits_until_the_permits_before_it_have_expired(keeper):
    """Guards against two keepers whose permits are used in the same second."""
    keeper.keep(UPSTREAM, 10.0, NOW)
    (answer,) = _ask(keeper, FIRST, NOW)
    assert answer.grant.granted == 0
    assert answer.grant.due_s >= PERMIT_TTL_S
    _keep(keeper, 10.0, NOW, NOW + 2.0)
    assert _granted(_ask(keeper, FIRST, NOW + 2.0)) == [(FIRST, 1)]


def test_keeper_that_was_frozen_waits_again(keeper):
    _keep(keeper, 10.0, NOW, NOW + 3.0)
    keeper.keep(UPSTREAM, 10.0, NOW + 9.0)
    assert _granted(_ask(keeper, FIRST, NOW + 9.0)) == [(FIRST, 0)]


def test_entry_that_has_just_started_waits_until_it_knows_the_others():
    keeper = PermitKeeper(NOW)
    _keep(keeper, 10.0, NOW, NOW + LEARN_PEERS_S - 0.5)
    answers = _ask(keeper, FIRST, NOW + LEARN_PEERS_S - 0.5)
    assert _granted(answers) == [(FIRST, 0)]


def test_permits_are_not_saved_for_long(keeper):
    _keep(keeper, 1.0, NOW, NOW + 20.0)
    assert _granted(_ask(keeper, FIRST, NOW + 20.0, wanted=8)) == [(FIRST, 1)]


def test_lower_limit_takes_saved_permits_away(keeper):
    _keep(keeper, 40.0, NOW, NOW + 5.0)
    keeper.keep(UPSTREAM, 1.0, NOW + 5.0)
    assert _granted(_ask(keeper, FIRST, NOW + 5.0, wanted=8)) == [(FIRST, 1)]


def test_entries_take_turns(keeper):
    _keep(keeper, 1.0, NOW, NOW + 3.0)
    assert _granted(_ask(keeper, FIRST, NOW + 3.0)) == [(FIRST, 1)]
    assert _granted(_ask(keeper, FIRST, NOW + 3.6)) == [(FIRST, 0)]
    assert _granted(_ask(keeper, SECOND, NOW + 3.7)) == [(SECOND, 0)]
    keeper.keep(UPSTREAM, 1.0, NOW + 3.9)
    assert _granted(keeper.grant_due(NOW + 4.1)) == [(SECOND, 1)]


def test_request_that_was_not_repeated_gets_nothing(keeper):
    _keep(keeper, 1.0, NOW, NOW + 3.0)
    _ask(keeper, FIRST, NOW + 3.0)
    _ask(keeper, FIRST, NOW + 3.1)
    keeper.keep(UPSTREAM, 1.0, NOW + 3.9)
    assert keeper.grant_due(NOW + 3.2 + REQUEST_TTL_S + 0.5) == []


def test_who_gets_none_is_told_when_the_next_one_is_due(keeper):
    _keep(keeper, 0.5, NOW, NOW + 4.0)
    _ask(keeper, FIRST, NOW + 4.0)
    (first,) = _ask(keeper, FIRST, NOW + 4.0)
    (second,) = _ask(keeper, SECOND, NOW + 4.0)
    assert second.grant.due_s == pytest.approx(2.0)
    assert first.grant.due_s == pytest.approx(2.0)
    assert second.grant.step_s == pytest.approx(4.0)


def test_upstream_that_is_not_kept_gets_no_answer(keeper):
    assert _ask(keeper, FIRST, NOW) == []
    _keep(keeper, 1.0, NOW, NOW + 3.0)
    keeper.drop(UPSTREAM)
    assert _ask(keeper, FIRST, NOW + 3.0) == []

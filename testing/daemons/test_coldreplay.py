"""Entries that share upstreams which crash and come back cold."""

import pytest
from limitreplay import LimitReplay
from limits import COLD_SETTINGS, COLD_WINDOW_S, cold_allowed, most_in_window

from bamboolever.calls import coldstart, eligibility
from bamboolever.calls.coldstart import ColdStartBound
from bamboolever.calls.dispatcher import RejectReason
from bamboolever.platform.nodefile import decode_settings

PER_S = 32.0
COLD_S = 3.0
CRASHED_AT = 1.5
DOWN_S = 0.6
TOLD_S = 1.0
BACK_AT = CRASHED_AT + DOWN_S
ENTRIES = [1, 5, 11, 36]


def _bound(per_s=PER_S):
    settings = decode_settings(
        {
            "nodeName": "entry-1",
            "ipAddress": "127.0.0.1",
            "zone": "zone-a",
            "internalPortRange": [9000, 9010],
            "platformSettings": {"address": "127.0.0.1:1"},
            "bounds": COLD_SETTINGS,
        }
    )
    bounds = settings.bounds
    return ColdStartBound(COLD_S, per_s, bounds.cold_overage, bounds.cold_slack)


def _play(*, entries, upstreams=1, per_s=300.0, events=(), seed=0, until=None, **rest):
    """Crash all upstreams at once; ``events`` are times with actions."""
    replay = LimitReplay(
        entries=entries,
        upstreams=upstreams,
        per_s=per_s,
        cold=_bound(),
        load_interval_s=0.5,
        seed=seed,
        **rest,
    )
    for index in range(upstreams):
        replay.at(
            CRASHED_AT,
            lambda index=index: replay.crash_upstream(
                index, down_s=DOWN_S, told_s=TOLD_S
            ),
        )
    for time, action in events:
        replay.at(time, lambda action=action: action(replay))
    return replay.run_until(until or BACK_AT + COLD_S + 0.5)


def _while_cold(upstream):
    return [time for time in upstream.times() if time < upstream.cold_until]


def _most(upstream):
    return most_in_window(_while_cold(upstream), COLD_WINDOW_S)


@pytest.mark.parametrize("entries", ENTRIES)
def test_cold_upstream_gets_what_it_takes_however_many_entries_there_are(entries):
    """Guards against entries that each send a cold upstream what all may send."""
    (upstream,) = _play(entries=entries).upstreams
    assert _most(upstream) <= cold_allowed(PER_S)
    # An entry that knows no other uses a fifth of the rate.
    used = PER_S / 5 if entries == 1 else PER_S
    assert len(_while_cold(upstream)) >= 0.6 * used * COLD_S
    # It is used without a bound once it is warm.
    warm = [time for time in upstream.times() if time >= upstream.cold_until + 0.2]
    assert len(warm) > PER_S / 2


@pytest.mark.parametrize("entries", [5, 11, 36])
def test_bound_is_broken_without_the_rule(entries, monkeypatch):
    """Shows that the demand of the replays is more than a cold upstream takes."""
    monkeypatch.setattr(eligibility.ColdStartRule, "admits", lambda *_: True)
    (upstream,) = _play(entries=entries).upstreams
    assert _most(upstream) > cold_allowed(PER_S)


def test_bound_is_broken_if_each_entry_uses_the_whole_rate(monkeypatch):
    monkeypatch.setattr(coldstart.ColdStartScope, "count_entries", lambda *_, **__: 1.0)
    (upstream,) = _play(entries=11).upstreams
    assert _most(upstream) > cold_allowed(PER_S)


def test_zone_that_is_back_at_once_under_full_demand_gets_what_it_takes():
    replay = _play(entries=11, upstreams=6, per_s=700.0)
    for upstream in replay.upstreams:
        assert 0 < _most(upstream) <= cold_allowed(PER_S)


TROUBLES = {
    "an entry is cut off": [(0.5, lambda replay: replay.cut_off([0]))],
    "half of the entries are cut off": [
        (0.5, lambda replay: replay.cut_off(range(5))),
    ],
    "an entry starts": [(BACK_AT + 0.2, lambda replay: replay.start_entry())],
    "an entry is killed and restarts": [(BACK_AT - 0.5, lambda r: r.restart(0))],
    "an entry is frozen": [(CRASHED_AT - 0.2, lambda replay: replay.freeze(0, 2.0))],
    "all entries are frozen": [
        (
            CRASHED_AT - 0.2,
            lambda replay: [replay.freeze(number, 2.0) for number in range(11)],
        )
    ],
}


@pytest.mark.parametrize("events", TROUBLES.values(), ids=TROUBLES)
def test_bound_holds_in_trouble(events):
    """Guards against entries that do not know of the start or of each other."""
    (upstream,) = _play(entries=11, events=events).upstreams
    assert 0 < _most(upstream) <= cold_allowed(PER_S)


def test_frozen_entries_break_the_bound_unless_they_notice(monkeypatch):
    """Shows that entries which slept through a restart need to assume it."""
    monkeypatch.setattr(coldstart, "SUSPENSION_S", 1e9)
    events = TROUBLES["all entries are frozen"]
    (upstream,) = _play(entries=11, events=events).upstreams
    assert _most(upstream) > cold_allowed(PER_S)


def test_upstream_that_is_up_is_not_throttled():
    replay = LimitReplay(
        entries=11, upstreams=1, per_s=300.0, cold=_bound(), load_interval_s=0.5
    )
    replay.run_until(2.0)
    assert len(replay.upstreams[0].times()) > 500
    assert not any(entry.rejections() for entry in replay.entries)


def test_held_back_requests_are_rejected_with_a_time_or_wait():
    replay = _play(entries=11)
    rejections = [
        each
        for entry in replay.entries
        for each in entry.rejections(after=BACK_AT + TOLD_S)
    ]
    assert rejections
    assert {each.reason for each in rejections} == {RejectReason.COLD}
    assert all(each.retry_after_s > 0 for each in rejections)

"""Loads replayed over several entries that share engines."""

import pytest
from loadreplay import LoadReplay, make_arrivals

from bamboolever.calls import upstream
from bamboolever.calls.slotclaims import SlotClaims

PROFILE = {
    "slots": 8,
    "step_s": 0.0111,
    "step_per_sequence_s": 0.000058,
    "step_per_context_token_s": 3.05e-8,
    "prefill_tokens_per_s": 21300.0,
}


def _replay(per_s):
    arrivals = make_arrivals(per_s=per_s, duration_s=5.0, entries=7)
    return LoadReplay(entries=7, engines=12, arrivals=arrivals, **PROFILE).run()


@pytest.mark.parametrize("per_s", [60, 90])
def test_freed_slot_is_not_claimed_by_all_entries_with_a_waiting_request(
    per_s, monkeypatch
):
    """Guards against engines that got up to 14 requests for 8 slots.

    Every entry with a waiting request saw a freed slot at once and sent one, so that a
    fifth of all requests was late.
    """
    replay = _replay(per_s)
    monkeypatch.setattr(upstream, "CONTENDED_SLOTS", 0)
    monkeypatch.setattr(SlotClaims, "may_claim", lambda _self, free, _now: free > 0)
    without_claims = _replay(per_s)
    assert replay.late < without_claims.late / 2
    assert replay.on_time > without_claims.on_time


def _count_begun_late(seed):
    arrivals = make_arrivals(per_s=300, duration_s=4.0, entries=7, seed=seed)
    options = {"entries": 7, "engines": 12, "arrivals": arrivals, "seed": seed}
    replay = LoadReplay(**options, expires_at=3.0, **PROFILE).run()
    begun = [call.begun_at for call in replay.calls.values() if call.begun_at]
    return sum(begun_at > 3.0 for begun_at in begun)


def test_no_request_begins_after_the_end_of_its_version(monkeypatch):
    """Guards against requests that wait at engines that others fill meanwhile."""
    assert [_count_begun_late(seed) for seed in range(5)] == [0] * 5
    monkeypatch.setattr(LoadReplay, "_withdraw", lambda *_: None)
    assert sum(_count_begun_late(seed) for seed in range(5)) > 0


@pytest.mark.parametrize("entries", [4, 11, 22])
@pytest.mark.parametrize("seed", range(3))
def test_engine_that_opens_is_not_filled_by_all_entries_at_once(entries, seed):
    """Guards against an engine that got over 30 requests for its 8 slots.

    Each entry with waiting requests saw all of its slots free, as the loads of the
    others were not known yet.
    """
    arrivals = make_arrivals(per_s=300, duration_s=3.0, entries=entries, seed=seed)
    options = {"entries": entries, "engines": 12, "arrivals": arrivals, "seed": seed}
    replay = LoadReplay(**options, last_opens_at=2.0, **PROFILE).run()
    assert replay.engines[-1].most_at_once <= PROFILE["slots"] + 3

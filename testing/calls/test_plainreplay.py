"""Choices among uneven upstreams of a plain service, replayed over several entries."""

import pytest
from plainreplay import PlainReplay, make_requests


def _find_mean_s(per_s, **options):
    totals = []
    for seed in (1, 2):
        requests = make_requests(
            per_s=per_s, duration_s=20, entries=22, work_s=0.0686, seed=seed
        )
        replay = PlainReplay(
            entries=22, upstreams=4, arrivals=requests, seed=seed, **options
        ).run()
        assert replay.rejected == 0
        totals.append(replay.mean_s)
    return sum(totals) / len(totals)


@pytest.mark.parametrize("per_s", [40, 130])
def test_sooner_known_slowness_gives_shorter_times(per_s):
    """Guards against a choice that ignores slowness, or trusts an old one."""
    unknown_s = _find_mean_s(per_s)
    by_lag = [_find_mean_s(per_s, lag_s=lag_s) for lag_s in (0.1, 0.3, 1.0)]
    assert by_lag == sorted(by_lag)
    assert by_lag[0] < 0.98 * unknown_s
    assert by_lag[-1] < 1.01 * unknown_s


def test_slowness_known_only_from_own_responses_does_not_harm():
    assert _find_mean_s(90, is_stated=True) < 1.01 * _find_mean_s(90)


def _hedge(share, **options):
    """Return the share of idempotent requests in time, and of extra requests."""
    in_time = idempotent = hedges = requests = 0
    for seed in (1, 2):
        arrivals = make_requests(
            per_s=90,
            duration_s=60,
            entries=22,
            work_s=0.0686,
            idempotent_share=1 / 3,
            seed=seed,
        )
        replay = PlainReplay(
            entries=22,
            upstreams=4,
            arrivals=arrivals,
            is_stated=True,
            hedge_share=share,
            seed=seed,
            **options,
        ).run()
        assert replay.rejected == 0
        assert not any(each.attempts[1:] for each in arrivals if not each.is_idempotent)
        totals = [each.total_s for each in arrivals if each.is_idempotent]
        in_time += sum(total_s <= 0.335 for total_s in totals)
        idempotent += len(totals)
        hedges += replay.hedges
        requests += len(arrivals)
    return in_time / idempotent, hedges / requests


def test_hedged_requests_halve_those_that_a_slow_attempt_makes_late():
    without, _ = _hedge(0.0, is_tail_of_request=False)
    served, extra = _hedge(0.05, is_tail_of_request=False)
    assert 1 - served < (1 - without) / 2
    assert 0 < extra <= 0.05


def test_hedged_requests_do_not_harm_where_they_cannot_help():
    without, _ = _hedge(0.0)
    served, extra = _hedge(0.05)
    assert served > without - 0.002
    assert extra <= 0.05

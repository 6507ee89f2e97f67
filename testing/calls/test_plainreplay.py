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

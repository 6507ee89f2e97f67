"""Entries that share engines, while parts of prompts crash those."""

import pytest
from crashreplay import CrashReplay, make_requests

from bamboolever.calls.parts import PartState

# The contract's bounds: requests with the part that may be sent later than this time
# after that many crashes, and when sound ones must be served again.
STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 5
MAX_SENT = 3
SOUND_AGAIN_S = 2 * STABILITY_WINDOW_S
MIN_SOUND_SHARE = 0.9
DURATION_S = 20.0

BAD, BAD_2, FIRST, TENANT, OTHER = "bad", "bad2", "first", "tenant", "other"
SOUND = (30.0, (FIRST,))

STREAMS = {
    "in the middle": [SOUND, (10.0, (FIRST, BAD)), (30.0, (FIRST, OTHER))],
    "first": [(10.0, (BAD, TENANT)), (30.0, (TENANT,))],
    "one of five": [
        (5.0, (FIRST, TENANT, BAD, OTHER)),
        (15.0, (FIRST, TENANT, OTHER)),
        SOUND,
    ],
    "rare": [SOUND, (1.0, (FIRST, BAD)), (3.0, (FIRST, TENANT))],
    "only sound ones of a rare first part": [
        SOUND,
        (2.0, (TENANT, BAD)),
        (2.0, (TENANT,)),
    ],
}
SEEDS = range(3)


def _play(streams, seed, *, crashing=(BAD,), **options):
    requests = make_requests(duration_s=DURATION_S, streams=streams, seed=seed)
    return CrashReplay(requests, crashing, seed=seed, **options).run()


def _assert_bounded(replay, part=BAD):
    sent = replay.count_sent_after(part, COUNTED_CRASHES, STABILITY_WINDOW_S)
    assert sent <= MAX_SENT
    assert replay.is_blocked_everywhere(part)


def _assert_sound(replay, part):
    assert replay.served_share(part, after=SOUND_AGAIN_S) >= MIN_SOUND_SHARE
    assert PartState.BLOCKED not in replay.states_of(part)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("streams", STREAMS.values(), ids=STREAMS)
def test_crashing_part_is_blocked_and_sound_requests_are_served(streams, seed):
    """Guards against incident BUDGET: no two of these requests are alike."""
    replay = _play(streams, seed)
    _assert_bounded(replay)
    for part in {part for _, parts in streams for part in parts} - {BAD}:
        _assert_sound(replay, part)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_crashing_parts_are_blocked(seed):
    streams = [SOUND, (3.0, (FIRST, BAD)), (3.0, (FIRST, BAD_2))]
    replay = _play(streams, seed, crashing=(BAD, BAD_2))
    _assert_bounded(replay, BAD)
    _assert_bounded(replay, BAD_2)
    _assert_sound(replay, FIRST)


@pytest.mark.parametrize("seed", SEEDS)
def test_part_that_mostly_comes_with_a_crashing_one_is_served_alone(seed):
    streams = [SOUND, (5.0, (FIRST, BAD, OTHER)), (1.0, (FIRST, OTHER))]
    replay = _play(streams, seed)
    _assert_bounded(replay)
    _assert_sound(replay, OTHER)


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_part_is_blocked_although_datagrams_are_lost(seed):
    replay = _play([SOUND, (5.0, (FIRST, BAD))], seed, loss=0.3)
    _assert_bounded(replay)
    _assert_sound(replay, FIRST)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("share", [0.5, 1.0])
def test_outages_block_no_sound_part(seed, share):
    streams = [SOUND, (3.0, (OTHER,))]
    outages = [(time, share) for time in (1.0, 3.0, 7.0)]
    replay = _play(streams, seed, crashing=(), outages=outages)
    for part in (FIRST, OTHER):
        assert replay.served_share(part, after=11.0) >= MIN_SOUND_SHARE
        assert set(replay.states_of(part)) == {PartState.CLEAR}


@pytest.mark.parametrize("seed", SEEDS)
def test_crashing_part_is_blocked_between_outages(seed):
    streams = [SOUND, (3.0, (FIRST, BAD))]
    replay = _play(streams, seed, outages=[(1.0, 1.0), (8.0, 0.5), (12.0, 1.0)])
    _assert_bounded(replay)
    assert PartState.BLOCKED not in replay.states_of(FIRST)


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_restart_learn_which_parts_are_blocked(seed):
    streams = [SOUND, (3.0, (FIRST, BAD))]
    restarts = [(8.0 + number, number) for number in range(4)]
    replay = _play(streams, seed, restarts=restarts)
    _assert_bounded(replay)
    assert PartState.BLOCKED not in replay.states_of(FIRST)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("share", [0.5, 0.9])
def test_crashing_part_is_blocked_although_callers_leave(seed, share):
    """Guards against trials without end: those whose callers leave prove nothing."""
    replay = _play([SOUND, (3.0, (FIRST, BAD))], seed, give_up=share)
    _assert_bounded(replay)
    assert PartState.BLOCKED not in replay.states_of(FIRST)

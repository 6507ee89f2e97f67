"""The transfer of a version by a fleet of agents, on a manual clock."""

import math

import pytest
from swarmreplay import LINK_PIECE_S, ORIGIN, PIECE_COUNT, SwarmReplay

from bamboolever.daemons.swarm import ASK_INTERVAL_S, STALL_LOG_S
from bamboolever.weights.view import PEER_TIMEOUT_S

AT_ONCE = [[0.0] * 15, [0.0] * 13, [0.0] * 13]
# The agents of one region get the configuration later than the others.
ONE_REGION_LATE = [
    [0.06 * index for index in range(15)],
    [0.015 * index for index in range(13)],
    [1.4 + 0.01 * index for index in range(13)],
]
SPREAD = [[2.0 * index / count for index in range(count)] for count in (15, 13, 13)]


def test_agents_hear_each_other_while_pieces_arrive():
    """Guards against agents that ask nobody as long as pieces arrive.

    Agents of other groups answered no longer, counted as silent, and their pieces were
    read from the origin, or waited for.
    """
    replay = SwarmReplay(AT_ONCE)
    for elapsed_s in (2.0, 4.0, 5.0, 6.0):
        replay.advance_to(elapsed_s)
        assert set(replay.count_active_agents()) == {41}


@pytest.mark.parametrize("starts_s", [AT_ONCE, ONE_REGION_LATE, SPREAD])
def test_fleet_without_any_piece_reads_the_origin_once(starts_s):
    """Guards against a loss of power after which the origin sends more than a copy."""
    replay = SwarmReplay(starts_s)
    duration_s = replay.run()
    assert replay.origin_copies <= 1.05
    last_start_s = max(start_s for starts in starts_s for start_s in starts)
    assert duration_s - last_start_s <= 1.5 * PIECE_COUNT * LINK_PIECE_S


@pytest.mark.parametrize("late_s", [6.0, 60.0])
def test_other_regions_do_not_wait_for_a_silent_one(late_s):
    """Guards against a fleet without a version for 12 s after a loss of power.

    The agents of the origin's region were late. Those of the others asked two of them
    after the other, and took the region to be back each time.
    """
    replay = SwarmReplay([[late_s] * 15, [0.0] * 13, [0.0] * 13])
    noticed_s = PEER_TIMEOUT_S + ASK_INTERVAL_S
    replay.advance_to(noticed_s + 1.5 * PIECE_COUNT * LINK_PIECE_S)
    assert len(replay.completed_s) >= 26


def test_region_that_comes_back_takes_what_the_others_have():
    replay = SwarmReplay([[6.0] * 15, [0.0] * 13, [0.0] * 13])
    replay.run()
    assert replay.origin_copies <= 1.5


def test_transfer_that_gains_no_piece_is_logged(caplog):
    caplog.set_level("INFO")
    replay = SwarmReplay([[0.0] * 2, [0.0], [0.0]])
    replay.uplinks[ORIGIN].piece_s = math.inf
    replay.advance_to(STALL_LOG_S + 0.2)
    lines = [each for each in caplog.records if each.message == "transfer stalled"]
    assert len(lines) == 4
    assert {line.missing for line in lines} == {PIECE_COUNT}
    assert {line.active_agents for line in lines} == {4}

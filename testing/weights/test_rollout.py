"""How often the origin sends a version, and how soon agents have it, in replays."""

import functools

import pytest
from swarmreplay import PIECE_BYTES, PIECE_COUNT, Replay

from bamboolever.daemons import swarm
from bamboolever.fleet.messages import PieceMap
from bamboolever.weights.plan import (
    IDLE_READER_WINDOW_FACTOR,
    MAX_ORIGIN_FETCHES,
    ORIGIN_WINDOW,
)

# Seconds since the naming in which the origin is down.
OUTAGE = ((2.5, 8.5),)
FLEET = (7, 7, 6)


@functools.cache
def _run(per_region=FLEET, **options):
    replay = Replay(per_region, **options)
    replay.start_all()
    replay.run()
    return replay


def _assert_read_once(replay):
    assert replay.is_done()
    assert replay.origin_copies() <= 1.1, replay.excess()
    for copies in replay.copies_into.values():
        assert copies <= 1.1


def test_region_is_heard_for_as_long_as_its_pieces_are_needed():
    """Guards against regions that took the one that they import from for dead.

    Agents asked for pieces only once none had arrived for a second, and were told of
    new ones for three seconds after a question: the origin sent 1.7 copies.
    """
    replay = _run()
    _assert_read_once(replay)
    first, _, _ = replay.completions()
    assert first <= 1.25 * replay.link_floor_s()


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("origin_region", ["region-0", "region-without-agents"])
def test_outage_of_the_origin_costs_no_second_copy(is_silent, origin_region):
    """Guards against a fallback in which every agent reads the origin by itself.

    It began 12 s after a transfer's start, when pieces were missing because the origin
    had been down: 2.6 copies, and the first engine was whole 5 s after one copy.
    """
    replay = _run(down=OUTAGE, is_silent=is_silent, origin_region=origin_region)
    _assert_read_once(replay)
    first, half, last = replay.completions()
    assert first <= 1.25 * replay.floor_s()
    assert last <= 1.25 * replay.floor_s()


def test_long_outage_starts_no_fallback():
    replay = _run(down=((2.5, 16.0),))
    _assert_read_once(replay)
    assert replay.completions()[0] <= 1.25 * replay.floor_s()


def test_origin_is_read_at_once_when_it_is_back():
    replay = _run(down=OUTAGE)
    begun = [
        read.begun_at
        for read in replay.origin.reads.values()
        if read.begun_at >= OUTAGE[0][1] and read.sent_bytes
    ]
    assert min(begun) <= OUTAGE[0][1] + 0.2


def test_outage_cuts_few_pieces():
    """Guards against pieces that share the origin's link and all end with it: up to 40
    were cut, and what had been sent of them was lost.
    """
    replay = _run(down=OUTAGE, origin_region="region-without-agents")
    cut = [r for r in replay.origin.reads.values() if r.outcome == "cut by the outage"]
    assert len(cut) <= ORIGIN_WINDOW * IDLE_READER_WINDOW_FACTOR
    lost = sum(read.sent_bytes for read in cut) / PIECE_BYTES / PIECE_COUNT
    assert lost <= 0.08


def test_late_piece_maps_cost_no_second_copy():
    """Guards against agents that count as dead because their maps queue on full links:
    with the question and its answer each 0.5 s late, the 1.6 s passed.
    """
    replay = _run(down=OUTAGE, map_delay_s=0.4)
    _assert_read_once(replay)
    # Guards against a link that idles until readers hear that pieces were read.
    assert replay.completions()[0] <= 1.25 * replay.floor_s()


def test_lost_and_joined_agents_cost_no_second_copy():
    replay = Replay(FLEET, down=OUTAGE)
    replay.start_all()
    for index, at in ((1, 1.5), (6, 1.9), (11, 2.3)):
        replay.at(at, replay.listed[index].stop)
    for number in range(4):
        replay.at(1.0 + number, lambda number=number: _join(replay, number))
    replay.run()
    _assert_read_once(replay)
    assert replay.completions()[0] <= 1.25 * replay.floor_s()


def _join(replay, number):
    agent = replay.add_agent(number % 3, 50 + number)
    replay.task.call_later(0.1, agent.start)


def test_piece_whose_reader_died_comes_from_the_region_that_has_it():
    """Guards against a transfer that never ended: the piece counted as held, but not
    in the region that waited for it.
    """
    replay = Replay(FLEET)
    replay.start_all()
    replay.run(limit_s=1.0)
    readers = replay.listed[: FLEET[0]]
    for agent in readers[:3]:
        agent.stop()
    replay.run()
    _assert_read_once(replay)


def test_agents_that_join_beside_a_served_version_read_almost_nothing():
    """Guards against reads that are planned before the first piece maps arrive."""
    replay = Replay((0, 0, 0))
    replay.sizes = (12, 11, 11)
    for region, count in enumerate(FLEET):
        for index in range(count):
            replay.add_agent(region, index, holds_all=True)
    for number in range(14):
        replay.add_agent(number % 3, 20 + number)
    for agent in replay.listed[-14:]:
        replay.at(replay.random.uniform(0.02, 0.3), agent.start)
    replay.run()
    assert replay.is_done()
    assert replay.origin_copies() == 0


@pytest.mark.parametrize("per_region", [(2, 2, 2), (1, 0, 0)])
def test_fleet_of_another_size_reads_once(per_region):
    replay = _run(per_region, down=OUTAGE)
    _assert_read_once(replay)


def test_piece_that_a_live_peer_reads_is_not_begun():
    """Guards against two readers of a piece while their lists of agents differ."""
    replay = Replay((2, 0, 0))
    first, second = replay.listed
    first.start(named_at=replay.task.now())
    message = PieceMap("m", 2, 0, imports=(1 << 96) - 1)
    first.member.apply_piece_map(second.address, message)
    replay.run(limit_s=0.5)
    begun = [read.number for read in replay.origin.reads.values()]
    # Only what it began before it heard of the other's reads.
    assert len(begun) <= MAX_ORIGIN_FETCHES


def test_failed_read_stays_announced_until_it_is_begun_anew():
    replay = Replay((2, 0, 0), down=((0.0, 9.0),))
    first, _ = replay.listed
    first.start(named_at=replay.task.now())
    replay.run(limit_s=0.1)
    assert first.member.make_piece_map().imports
    replay.run(limit_s=9.0 - swarm.FAILED_READ_TIMEOUT_S / 2)
    assert first.member.make_piece_map().imports

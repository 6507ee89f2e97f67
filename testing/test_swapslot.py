"""Swap slots: enough instances keep serving while others swap."""

import pytest
from builders import FakePlatform

from bamboolever._platform import PlatformUnavailable
from bamboolever._swapslot import SLOT_KIND, SwapSlotClient, SwapSlots, find_shard

LIVE_INSTANCES = frozenset(f"i{n}" for n in range(6))


def make_client(platform, name):
    return SwapSlotClient(platform, "engraver", name)


def count_holders(platform):
    stored = platform.get(SLOT_KIND, "engraver.0")
    return len(SwapSlots.decode(stored.value if stored else None).holders)


def test_at_most_the_share_swaps_at_once():
    platform = FakePlatform()
    taken = [
        make_client(platform, name).acquire(LIVE_INSTANCES, 0.5)
        for name in sorted(LIVE_INSTANCES)
    ]
    assert taken == [True, True, True, False, False, False]


def test_a_slot_given_back_goes_to_the_next():
    platform = FakePlatform()
    first = make_client(platform, "i0")
    assert first.acquire(LIVE_INSTANCES, 0.9)
    assert not make_client(platform, "i1").acquire(LIVE_INSTANCES, 0.9)
    assert not first.release()
    assert make_client(platform, "i1").acquire(LIVE_INSTANCES, 0.9)


def test_a_holder_that_left_the_fleet_loses_its_slot():
    platform = FakePlatform()
    assert make_client(platform, "i0").acquire(LIVE_INSTANCES, 0.9)
    assert make_client(platform, "i1").acquire(LIVE_INSTANCES - {"i0"}, 0.9)


def test_a_lost_answer_does_not_take_two_slots():
    platform = FakePlatform()
    client = make_client(platform, "i0")
    platform.lose_answers = 1
    assert client.acquire(LIVE_INSTANCES, 0.5)
    assert client.acquire(LIVE_INSTANCES, 0.5)
    assert count_holders(platform) == 1


def test_a_release_that_failed_is_made_up_for():
    platform = FakePlatform()
    client = make_client(platform, "i0")
    client.acquire(LIVE_INSTANCES, 0.5)
    platform.is_down = True
    with pytest.raises(PlatformUnavailable):
        client.release()
    platform.is_down = False
    client.release()
    assert count_holders(platform) == 0


def test_one_instance_may_always_swap():
    shard = find_shard("engraver", "i0", instance_count=1, serving_share=0.9)
    assert shard.capacity == 1


def test_large_fleets_are_spread_over_shards():
    shards = {
        find_shard("s", f"i{n}", instance_count=950, serving_share=0.5)
        for n in range(950)
    }
    assert len(shards) == 29
    assert sum(shard.capacity for shard in shards) <= 475

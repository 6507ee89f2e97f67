"""Tests that enough instances keep serving while others swap versions."""

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


def test_the_serving_share_limits_the_slots():
    platform = FakePlatform()
    acquired = [
        make_client(platform, name).acquire(LIVE_INSTANCES, 0.5)
        for name in sorted(LIVE_INSTANCES)
    ]
    assert acquired == [True, True, True, False, False, False]


def test_a_released_slot_can_be_acquired():
    platform = FakePlatform()
    first = make_client(platform, "i0")
    assert first.acquire(LIVE_INSTANCES, 0.9)
    assert not make_client(platform, "i1").acquire(LIVE_INSTANCES, 0.9)
    assert not first.release()
    assert make_client(platform, "i1").acquire(LIVE_INSTANCES, 0.9)


def test_the_slot_of_a_departed_instance_can_be_acquired():
    platform = FakePlatform()
    assert make_client(platform, "i0").acquire(LIVE_INSTANCES, 0.9)
    assert make_client(platform, "i1").acquire(LIVE_INSTANCES - {"i0"}, 0.9)


def test_a_lost_response_does_not_take_two_slots():
    platform = FakePlatform()
    client = make_client(platform, "i0")
    platform.lose_answers = 1
    assert client.acquire(LIVE_INSTANCES, 0.5)
    assert client.acquire(LIVE_INSTANCES, 0.5)
    assert count_holders(platform) == 1


def test_a_failed_release_can_be_repeated():
    platform = FakePlatform()
    client = make_client(platform, "i0")
    client.acquire(LIVE_INSTANCES, 0.5)
    platform.is_down = True
    with pytest.raises(PlatformUnavailable):
        client.release()
    platform.is_down = False
    client.release()
    assert count_holders(platform) == 0


def test_a_shard_has_at_least_one_slot():
    shard = find_shard("engraver", "i0", instance_count=1, serving_share=0.9)
    assert shard.capacity == 1


def test_a_large_fleet_is_divided_into_shards():
    shards = {
        find_shard("s", f"i{n}", instance_count=950, serving_share=0.5)
        for n in range(950)
    }
    assert len(shards) == 29
    assert sum(shard.capacity for shard in shards) <= 475

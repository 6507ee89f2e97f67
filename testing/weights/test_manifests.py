"""From where an agent fetches a version's manifest, and when."""

import pytest

from bamboolever.net.addresses import Address
from bamboolever.weights.groups import group_number
from bamboolever.weights.manifests import (
    MAX_RETRY_DELAY_S,
    MIN_REPEAT_DELAY_S,
    NEXT_SOURCE_DELAY_S,
    ManifestSearch,
    rank_manifest_sources,
)
from bamboolever.weights.view import Peer

FIRST, SECOND, THIRD = (Address(f"127.0.0.{number}", 7000) for number in (1, 2, 3))


def _make_peers(count, region="region-1"):
    addresses = [
        Address(f"127.{len(region)}.0.{number + 1}", 7000) for number in range(count)
    ]
    return [
        Peer(address, region, group_number(str(address), count))
        for address in addresses
    ]


def _sources_of(peers):
    return {
        own: rank_manifest_sources(
            own, [peer for peer in peers if peer is not own], "m", "region-1"
        )
        for own in peers
    }


def test_one_agent_of_a_group_asks_the_origin_first():
    sources = _sources_of(_make_peers(15))
    assert [each[0] for each in sources.values()].count(None) == 1


def test_every_agent_may_ask_the_origin_and_all_others_of_its_group():
    peers = _make_peers(15)
    for own, sources in _sources_of(peers).items():
        others = {peer.address for peer in peers} - {own.address}
        assert set(sources) == {None, *others}
        assert len(sources) == len(set(sources))


def test_origin_is_asked_first_by_one_agent_of_a_region_of_any_size():
    peers = _make_peers(60) + _make_peers(60, "region-22")
    sources = _sources_of(peers)
    firsts = [own.region for own, each in sources.items() if each[0] is None]
    assert sorted(firsts) == ["region-1", "region-22"]


def test_agents_of_a_group_ask_no_other_region():
    peers = _make_peers(15) + _make_peers(15, "region-22")
    regions = {peer.address: peer.region for peer in peers}
    for own, sources in _sources_of(peers).items():
        assert {regions[each] for each in sources if each} == {own.region}


@pytest.fixture
def search():
    search = ManifestSearch([FIRST, SECOND, None], 0.0)
    assert search.due(0.0) == [FIRST]
    return search


def test_next_source_is_asked_beside_a_silent_one(search):
    assert search.due(NEXT_SOURCE_DELAY_S * 0.9) == []
    assert search.due(NEXT_SOURCE_DELAY_S) == [SECOND]
    assert None in search.due(NEXT_SOURCE_DELAY_S * 2)


def test_next_source_is_asked_at_once_when_one_fails(search):
    search.on_failed(FIRST, 0.01)
    assert search.due(0.01) == [SECOND]
    search.on_failed(SECOND, 0.02)
    assert search.due(0.02) == [None]


def test_failed_source_is_asked_again_after_growing_pauses():
    search = ManifestSearch([None], 0.0)
    now, calls = 0.0, []
    while now < 20.0:
        for source in search.due(now):
            calls.append(now)
            search.on_failed(source, now)
        now += 0.1
    pauses = [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]
    assert pauses[0] < 0.5
    assert pauses[-1] >= MAX_RETRY_DELAY_S
    assert len(calls) < 15


def test_silent_source_is_asked_once_more(search):
    assert FIRST not in search.due(MIN_REPEAT_DELAY_S * 0.9)
    assert FIRST in search.due(MIN_REPEAT_DELAY_S)
    for second in range(3, 100):
        assert FIRST not in search.due(float(second))


def test_agent_that_announces_the_version_is_asked_at_once(search):
    assert search.on_announced(THIRD)
    assert search.due(0.1) == [THIRD]
    assert not search.on_announced(THIRD)
    assert SECOND in search.due(NEXT_SOURCE_DELAY_S)

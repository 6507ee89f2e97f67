"""Agents against stand-ins: pieces are fetched, verified, staged and loaded."""

import pytest
from sitebuilders import wait_for

from bamboolever.fleet import configurationsearch
from bamboolever.fleet.exchange import encode
from bamboolever.fleet.messages import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.platform.names import CONFIGURATION_KIND
from bamboolever.platform.standins.site import PIECE_COUNT
from bamboolever.platform.standins.upstream import MODEL


@pytest.fixture(autouse=True)
def _list_configuration_at_once(monkeypatch):
    """Let agents without entries list the store at their start.

    `fleet.configurationsearch` has tests of its own for when they do so.
    """
    monkeypatch.setattr(configurationsearch, "HELLO_TIMEOUT_S", 0.0)
    monkeypatch.setattr(configurationsearch, "LISTING_SPREAD_S", 0.0)


def _engines(site, count, version):
    return [
        site.add_engine(f"engine-{number}", f"127.0.0.{10 + number}", version=version)
        for number in range(count)
    ]


def _serves(upstream, version):
    return upstream.engine.version == version


def test_rollout_reaches_every_engine(site, start_agent):
    engines = _engines(site, 3, 1)
    for engine in engines:
        start_agent(engine, engine.instance_id)
    site.set_model_version(2)
    wait_for(lambda: all(_serves(engine, 2) for engine in engines))
    assert all(
        engine.engine.staged == site.origin.pieces_by_number(2) for engine in engines
    )


def test_origin_is_read_about_once(site, start_agent):
    engines = _engines(site, 3, 1)
    for engine in engines:
        start_agent(engine, engine.instance_id)
    site.set_model_version(2)
    wait_for(lambda: all(_serves(engine, 2) for engine in engines))
    assert len(site.origin.served_pieces) <= PIECE_COUNT * 1.1


def test_empty_engine_is_filled_from_its_peers(site, start_agent):
    full, empty = _engines(site, 1, 1) + [
        site.add_engine("engine-9", "127.0.0.19", version=None)
    ]
    start_agent(full, "full")
    start_agent(empty, "empty")
    wait_for(lambda: _serves(empty, 1))
    assert empty.engine.staged == site.origin.pieces_by_number(1)


def test_corrupt_piece_from_the_origin_is_fetched_again(site, start_agent):
    (engine,) = _engines(site, 1, 1)
    site.origin.pieces_to_corrupt = 3
    start_agent(engine)
    site.set_model_version(2)
    wait_for(lambda: _serves(engine, 2))
    assert engine.engine.staged == site.origin.pieces_by_number(2)


def test_staged_piece_corrupted_before_the_order_is_fetched_again(
    site, start_agent, monkeypatch
):
    (engine,) = _engines(site, 1, 1)
    running = start_agent(engine)
    loader = running.agent._loader
    verify = loader._verify
    corrupted = []

    def corrupt_then_verify():
        if not corrupted:
            corrupted.append(3)
            engine.engine.staged[3] = b"rot"
        verify()

    monkeypatch.setattr(loader, "_verify", corrupt_then_verify)
    site.set_model_version(2)
    wait_for(lambda: _serves(engine, 2))
    assert corrupted
    assert engine.engine.staged == site.origin.pieces_by_number(2)


def test_restarted_engine_is_loaded_again(site, start_agent):
    (engine,) = _engines(site, 1, 1)
    start_agent(engine)
    site.set_model_version(2)
    wait_for(lambda: _serves(engine, 2))
    engine.engine.started_ms = 2
    engine.engine.version = None
    wait_for(lambda: _serves(engine, 2))
    assert engine.engine.order_count == 2


def test_engine_restarted_without_staged_pieces_is_filled_again(site, start_agent):
    (engine,) = _engines(site, 1, 1)
    start_agent(engine)
    site.set_model_version(2)
    wait_for(lambda: _serves(engine, 2))
    engine.engine.started_ms = 2
    engine.engine.version = None
    engine.engine.staged.clear()
    wait_for(lambda: _serves(engine, 2))
    assert engine.engine.staged == site.origin.pieces_by_number(2)


@pytest.mark.parametrize("count", [1, 2])
def test_rollout_during_a_transfer_takes_precedence(site, start_agent, count):
    engines = _engines(site, count, 1)
    for engine in engines:
        start_agent(engine, engine.instance_id)
    site.set_model_version(2)
    site.set_model_version(3)
    wait_for(lambda: all(_serves(engine, 3) for engine in engines))
    assert all(
        engine.engine.staged == site.origin.pieces_by_number(3) for engine in engines
    )


def test_restarted_agent_reuses_the_staged_pieces(site, start_agent):
    engine = site.add_engine("engine-1", "127.0.0.11", version=1)
    engine.engine.staged = {
        number: data
        for number, data in site.origin.pieces_by_number(2).items()
        if number < 6
    }
    site.set_model_version(2)
    start_agent(engine)
    wait_for(lambda: _serves(engine, 2))
    assert {number for _, number in site.origin.served_pieces} == {6, 7}


def test_each_version_is_ordered_once(site, start_agent, caplog):
    caplog.set_level("INFO")
    (engine,) = _engines(site, 1, 1)
    running = start_agent(engine)
    for version in (2, 3):
        site.set_model_version(version)
        wait_for(lambda version=version: _serves(engine, version))
        wait_for(lambda: not running.agent._loader.is_switching)
    assert engine.engine.order_count == 2
    drains = [each for each in caplog.messages if each == "draining the engine"]
    assert len(drains) == 2


def test_agent_learns_a_version_from_a_peer_that_transfers_it(site, start_agent):
    """Guards against pieces that are read from the origin twice.

    An agent that learned of the version a second later counted as silent, and others
    read its share. Only a peer that heard that the version was named may tell of it.
    """
    first, second = _engines(site, 2, 1)
    running = start_agent(first, "first")
    agent = running.agent
    wait_for(lambda: agent._upstreams.is_known and agent.profile() is not None)
    unnamed, named = (PieceMap(MODEL, 7, 0, is_named=each) for each in (False, True))
    stranger = Address("127.0.0.99", agent._own_address.port)
    peer = Address(second.address.host, agent._own_address.port)
    learned = []

    def receive():
        for sender, piece_map in ((stranger, named), (peer, unnamed), (peer, named)):
            agent._on_datagram(encode(piece_map), sender)
            learned.append(agent._rollouts.newest(MODEL))

    agent.task.send(receive)
    wait_for(lambda: len(learned) == 3)
    assert learned == [None, None, 7]


def test_wrong_version_in_a_manifest_reaches_no_engine(site, start_agent):
    """Guards against sound engines that load what nobody named.

    The agent of an empty engine told the others of a version that the origin had
    stated once, and they took it for a named one.
    """
    engines = _engines(site, 2, 1)
    engines.append(site.add_engine("engine-9", "127.0.0.19", version=None))
    site.origin.wrong_versions.append(7)
    for engine in engines:
        start_agent(engine, engine.instance_id)
    wait_for(lambda: _serves(engines[2], 1))
    assert [engine.engine.order_count for engine in engines] == [0, 0, 1]
    site.set_model_version(2)
    wait_for(lambda: all(_serves(engine, 2) for engine in engines))


def test_agent_serves_staged_pieces_while_the_configuration_is_not_listed(
    site, start_agent, start_entry
):
    """Guards against a fleet that served nothing after all machines had lost power.

    Each agent listed the whole configuration over one link, gave up before it was
    complete and began anew. It needs a small part, which the entries have.
    """
    engine = site.add_engine("engine-1", "127.0.0.11", version=None)
    engine.engine.staged = site.origin.pieces_by_number(1)
    start_entry(host="127.0.0.21").wait_ready()
    site.store.silent_kinds = frozenset({CONFIGURATION_KIND})
    start_agent(engine)
    wait_for(lambda: _serves(engine, 1), limit_s=10.0)


def test_agent_gets_the_manifest_from_another_while_the_origin_is_silent(
    site, start_agent
):
    """Guards against agents that wait for what the agent beside them already has."""
    engines = _engines(site, 2, None)
    for engine in engines:
        engine.engine.staged = site.origin.pieces_by_number(1)
    start_agent(engines[0], "first")
    wait_for(lambda: _serves(engines[0], 1))
    site.origin.is_silent = True
    start_agent(engines[1], "second")
    wait_for(lambda: _serves(engines[1], 1), limit_s=10.0)


@pytest.mark.parametrize("count", [1, 3])
def test_manifest_with_a_wrong_digest_is_read_again(site, start_agent, count):
    """Guards against a fleet that waits for a piece that no source can send.

    Agents get the manifest from each other, so a digest that was damaged once would
    reach all of them.
    """
    engines = _engines(site, count, 1)
    site.origin.manifests_to_corrupt = 1
    for engine in engines:
        start_agent(engine, engine.instance_id)
    site.set_model_version(2)
    wait_for(lambda: all(_serves(engine, 2) for engine in engines))

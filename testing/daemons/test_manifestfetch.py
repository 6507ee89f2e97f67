"""Agents that get a manifest from each other."""

import json
from types import SimpleNamespace

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.manifestfetch import (
    make_manifest_request,
    parse_manifest_target,
)
from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.messages import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import decode_manifest
from bamboolever.weights.plan import make_piece_policy
from bamboolever.weights.view import Peer

MODEL, VERSION = "m/1", 2
OWN, OTHER = Address("127.0.0.1", 7000), Address("127.0.0.2", 7000)
MANIFEST = {"model": MODEL, "version": VERSION, "digests": ["00" * 32] * 4}


class Connection:
    """Records the responses of a caller's connection."""

    def __init__(self):
        self.responses = []

    def respond(self, status, headers, body=b""):
        self.responses.append((status, body))


@pytest.fixture
def pool():
    return ManualPool(ManualTask())


@pytest.fixture
def transfer(pool):
    origin = WeightOrigin(Address("127.0.0.99", 9100), "zone-a", 1e6, 8)
    context = SimpleNamespace(
        pool=pool,
        task=pool.task,
        origin=lambda: origin,
        can_plan_transfer=lambda: True,
        own_peer=lambda: Peer(OWN, "region-1"),
        peers=list,
        region_of=lambda availability_zone: "region-1",
        upload_count=lambda: 0,
        announce_pieces=lambda piece_map, addresses: None,
    )
    policy = make_piece_policy("region-chain")
    return Transfer(context, Address("127.0.0.1", 9000), policy, lambda: None)


def _accept(model_version):
    return True


@pytest.mark.parametrize("version", [None, 7])
def test_request_names_what_the_other_agent_reads_from_it(version):
    request = make_manifest_request(OTHER, MODEL, version)
    assert parse_manifest_target(request.target.decode()) == (MODEL, version)


@pytest.mark.parametrize("target", ["/pieces/m/1/2", "/manifests/m", "/manifests/m/x"])
def test_other_target_names_no_manifest(target):
    assert parse_manifest_target(target) is None


@pytest.mark.parametrize("version", [None, VERSION])
def test_request_waits_for_the_manifest_that_this_agent_waits_for(
    transfer, pool, version
):
    connection = Connection()
    transfer.serve_manifest(connection, MODEL, version)
    transfer.start(MODEL, VERSION, _accept)
    later = Connection()
    transfer.serve_manifest(later, MODEL, version)
    assert connection.responses == later.responses == []
    pool.respond(0, **MANIFEST)
    for each in (connection, later):
        ((status, body),) = each.responses
        assert status == 200
        assert decode_manifest(body) == decode_manifest(json.dumps(MANIFEST).encode())


def test_manifest_is_served_while_its_version_is_transferred_or_retained(
    transfer, pool
):
    transfer.start(MODEL, VERSION, _accept)
    pool.respond(0, **MANIFEST)
    during, after, newest = Connection(), Connection(), Connection()
    transfer.serve_manifest(during, MODEL, VERSION)
    transfer.drop()
    transfer.serve_manifest(after, MODEL, VERSION)
    transfer.start(MODEL, VERSION + 1, _accept)
    transfer.serve_manifest(newest, MODEL, None)
    assert [status for status, _ in during.responses + after.responses] == [200, 200]
    assert newest.responses == []


def test_other_version_is_not_waited_for(transfer):
    transfer.start(MODEL, VERSION, _accept)
    connection = Connection()
    transfer.serve_manifest(connection, MODEL, VERSION + 1)
    assert connection.responses == [(404, b"")]


def test_held_request_of_a_caller_that_left_is_forgotten(transfer, pool):
    transfer.start(MODEL, VERSION, _accept)
    connection = Connection()
    transfer.serve_manifest(connection, MODEL, VERSION)
    transfer.on_caller_gone(connection)
    pool.respond(0, **MANIFEST)
    assert connection.responses == []


def test_held_requests_are_rejected_at_a_stop(transfer):
    transfer.start(MODEL, VERSION, _accept)
    connection = Connection()
    transfer.serve_manifest(connection, MODEL, VERSION)
    transfer.stop()
    assert connection.responses == [(404, b"")]


def test_agent_that_announces_the_version_is_asked(transfer, pool):
    transfer.start(MODEL, VERSION, _accept)
    transfer.apply_piece_map(OTHER, PieceMap(MODEL, VERSION + 1, 0))
    assert len(pool.sent) == 1
    transfer.apply_piece_map(OTHER, PieceMap(MODEL, VERSION, 0))
    assert parse_manifest_target(pool.targets[1]) == (MODEL, VERSION)
    pool.respond(1, **MANIFEST)
    assert transfer.is_started


def test_search_for_the_newest_version_goes_on_when_it_is_named(transfer, pool):
    transfer.start(MODEL, None, _accept)
    transfer.start(MODEL, VERSION, _accept)
    assert len(pool.sent) == 1
    pool.respond(0, **MANIFEST)
    assert transfer.is_started


def test_search_starts_over_for_the_version_that_was_named_meanwhile(transfer, pool):
    transfer.start(MODEL, None, lambda model_version: False)
    pool.respond(0, **MANIFEST)
    assert not transfer.is_started
    transfer.start(MODEL, VERSION + 1, _accept)
    assert pool.targets[-1].endswith(f"version={VERSION + 1}")


def test_two_responses_start_one_transfer(transfer, pool):
    starts = []
    transfer.start(MODEL, VERSION, lambda version: starts.append(version) or True)
    transfer.apply_piece_map(OTHER, PieceMap(MODEL, VERSION, 0))
    pool.respond(0, **MANIFEST)
    pool.respond(1, **MANIFEST)
    assert len(starts) == 1

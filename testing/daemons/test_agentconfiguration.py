"""How an agent gets the configuration."""

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.config.kindstate import Snapshot
from bamboolever.config.watch import MAX_RETRY_DELAY_S, KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.agentconfiguration import AgentConfiguration
from bamboolever.daemons.snapshots import PATH_PREFIX, encode_documents
from bamboolever.fleet.configurationsearch import (
    HELLO_TIMEOUT_S,
    LISTING_SPREAD_S,
    MAX_FAILED_CALLS,
    NEXT_ENTRY_DELAY_S,
)
from bamboolever.net.addresses import Address
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.messages import ResponseHead
from bamboolever.platform import names
from bamboolever.platform.standins.site import ENGINE_SERVICE, Site
from bamboolever.platform.store import StoredDocument

FIRST, SECOND = Address("127.0.0.1", 7000), Address("127.0.0.2", 7000)
STORE = Address("127.0.0.9", 8000)


@pytest.fixture(scope="module")
def document():
    site = Site()
    yield dict(site.configuration)
    site.close()


@pytest.fixture
def pool():
    return ManualPool(ManualTask())


@pytest.fixture
def known():
    return []


@pytest.fixture
def configuration(pool, known):
    def make_watch(observer):
        return KindWatch(
            pool.task,
            pool,
            lambda: STORE,
            names.CONFIGURATION_KIND,
            observer,
            WatchTiming(None),
            group=WatchGroup(),
        )

    return AgentConfiguration(
        pool.task, pool, ENGINE_SERVICE, make_watch, lambda: known.append(1)
    )


def _send_snapshot(pool, index, document, revision=5):
    documents = (StoredDocument(names.CONFIGURATION_NAME, document, revision),)
    snapshot = Snapshot(1, revision, revision, documents, None)
    handler = pool.sent[index][1]
    headers = (
        (b"snapshot-era", str(snapshot.era).encode()),
        (b"snapshot-revision", str(snapshot.revision).encode()),
        (b"snapshot-changed-revision", str(snapshot.changed_revision).encode()),
    )
    handler.on_head(ResponseHead(200, headers))
    handler.on_data(encode_documents(documents))
    handler.on_end()


def _fail(pool, index):
    failure = ExchangeFailure(FailureKind.CLOSED, True, "closed")
    pool.sent[index][1].on_failure(failure)


def _listings(pool):
    return [target for target in pool.targets if target.startswith(names.OBJECTS_PATH)]


def test_entry_sends_what_the_agent_needs_and_the_store_is_not_listed(
    pool, configuration, known, document
):
    configuration.on_hello(FIRST, is_same_cell=True)
    assert pool.targets[0].startswith(PATH_PREFIX)
    assert configuration.profile is configuration.origin is None
    _send_snapshot(pool, 0, document)
    assert configuration.profile.layers
    assert configuration.origin.max_connections
    assert configuration.can_interrupt_requests
    assert known == [1]
    pool.task.advance(HELLO_TIMEOUT_S + LISTING_SPREAD_S)
    configuration.list_if_needed()
    configuration.on_hello(SECOND, is_same_cell=True)
    assert len(pool.sent) == 1


def test_store_is_listed_once_while_no_entry_says_hello(pool, configuration):
    configuration.list_if_needed()
    assert not pool.sent
    pool.task.advance(HELLO_TIMEOUT_S + LISTING_SPREAD_S)
    configuration.list_if_needed()
    configuration.list_if_needed()
    assert len(_listings(pool)) == 1
    _fail(pool, 0)
    # The watch lists again after a pause of its own.
    configuration.list_if_needed()
    assert len(_listings(pool)) == 1
    pool.task.advance(MAX_RETRY_DELAY_S)
    assert len(_listings(pool)) == 2


def test_entry_is_asked_beside_a_listing_in_progress(
    pool, configuration, known, document
):
    pool.task.advance(HELLO_TIMEOUT_S + LISTING_SPREAD_S)
    configuration.list_if_needed()
    configuration.on_hello(FIRST, is_same_cell=True)
    _send_snapshot(pool, 1, document)
    assert known == [1]


def test_second_snapshot_changes_nothing(pool, configuration, known, document):
    configuration.on_hello(FIRST, is_same_cell=True)
    pool.task.advance(NEXT_ENTRY_DELAY_S)
    configuration.on_hello(SECOND, is_same_cell=True)
    _send_snapshot(pool, 1, document)
    _send_snapshot(pool, 0, document, revision=9)
    assert known == [1]


def test_store_is_listed_if_no_entry_sends_a_usable_configuration(pool, configuration):
    for index in range(MAX_FAILED_CALLS):
        configuration.on_hello(FIRST, is_same_cell=True)
        if index % 2:
            _fail(pool, index)
        else:
            _send_snapshot(pool, index, {"version": "none"}, revision=index + 1)
        assert not _listings(pool)
    pool.task.advance(HELLO_TIMEOUT_S + LISTING_SPREAD_S)
    configuration.on_hello(FIRST, is_same_cell=True)
    configuration.list_if_needed()
    assert len(_listings(pool)) == 1

"""From whom an agent gets the configuration."""

import pytest

from bamboolever.fleet.configurationsearch import (
    HELLO_TIMEOUT_S,
    LISTING_SPREAD_S,
    MAX_FAILED_CALLS,
    NEXT_ENTRY_DELAY_S,
    OTHER_CELL_DELAY_S,
    ConfigurationSearch,
)
from bamboolever.net.addresses import Address

FIRST, SECOND, THIRD = (Address(f"127.0.0.{number}", 7000) for number in (1, 2, 3))


def _hear(search, entry, now, *, is_same_cell=True):
    return search.on_hello(entry, now, is_same_cell=is_same_cell)


@pytest.fixture
def search():
    return ConfigurationSearch(0.0, 0.5)


def test_first_entry_that_says_hello_is_asked(search):
    assert _hear(search, FIRST, 0.1)
    assert not _hear(search, SECOND, 0.2)
    assert not _hear(search, FIRST, NEXT_ENTRY_DELAY_S * 5)


def test_another_entry_is_asked_beside_one_that_is_silent(search):
    _hear(search, FIRST, 0.0)
    assert _hear(search, SECOND, NEXT_ENTRY_DELAY_S)
    assert not _hear(search, THIRD, NEXT_ENTRY_DELAY_S * 9)


def test_entry_that_failed_is_asked_again_at_its_next_hello(search):
    _hear(search, FIRST, 0.0)
    search.on_failed(FIRST)
    assert _hear(search, FIRST, 0.1)


def test_store_is_not_listed_while_an_entry_says_hello(search):
    now = 0.0
    while now < 60.0:
        assert not search.may_list(now)
        now += HELLO_TIMEOUT_S * 0.9
        _hear(search, FIRST, now)


def test_listings_of_silent_agents_are_spread(search):
    last = HELLO_TIMEOUT_S + LISTING_SPREAD_S
    assert not ConfigurationSearch(0.0, 0.0).may_list(HELLO_TIMEOUT_S * 0.9)
    assert ConfigurationSearch(0.0, 0.0).may_list(HELLO_TIMEOUT_S)
    assert not ConfigurationSearch(0.0, 1.0).may_list(last * 0.9)
    assert ConfigurationSearch(0.0, 1.0).may_list(last)


def test_store_is_listed_if_entries_say_hello_and_send_nothing(search):
    now = 0.0
    for _ in range(MAX_FAILED_CALLS):
        now += 1.0
        assert _hear(search, FIRST, now)
        search.on_failed(FIRST)
    for _ in range(int(HELLO_TIMEOUT_S + LISTING_SPREAD_S)):
        now += 1.0
        _hear(search, FIRST, now)
        search.on_failed(FIRST)
    assert search.may_list(now)


def test_entry_of_another_cell_is_asked_later(search):
    assert not _hear(search, FIRST, 0.1, is_same_cell=False)
    assert _hear(search, SECOND, 0.2)
    search = ConfigurationSearch(0.0, 0.5)
    assert _hear(search, FIRST, OTHER_CELL_DELAY_S, is_same_cell=False)

"""Entries that start beside a store that came back from a copy."""

import pytest
from sitebuilders import wait_for

from bamboolever.config import freshness
from bamboolever.platform.standins.site import API_KEY

REVOKED_KEY = "revoked-key"
NEVER_S = 3600.0


@pytest.fixture
def set_keys(site):
    """Return a function that stores a configuration with these API keys."""
    workspace = site.configuration["tenants"][0]

    def set_keys(*keys):
        site.apply_configuration(tenants=[workspace | {"apiKeys": list(keys)}])

    return set_keys


def _call(entry, key):
    return entry.call("/lookup/1", Authorization=f"Token {key}").status


def test_entry_does_not_trust_the_keys_of_a_copy_as_it_starts(
    site, plain_upstreams, start_entry, set_keys, monkeypatch
):
    """Guards against a revoked key that works while the copy lacks its revocation."""
    monkeypatch.setattr(freshness, "REWRITE_DELAY_S", NEVER_S)
    set_keys(API_KEY, REVOKED_KEY)
    site.store.save_copy()
    set_keys(API_KEY)
    site.store.restore_copy()
    entry = start_entry()
    wait_for(lambda: entry.entry._configuration is not None)
    assert _call(entry, REVOKED_KEY) == 503
    assert _call(entry, API_KEY) == 503
    assert not entry.entry.is_ready()


def test_entry_trusts_the_keys_once_lost_changes_are_written_again(
    site, plain_upstreams, start_entry, set_keys
):
    set_keys(API_KEY, REVOKED_KEY)
    site.store.save_copy()
    site.store.restore_copy()
    set_keys(API_KEY)
    entry = start_entry().wait_ready(2)
    assert _call(entry, API_KEY) == 200
    assert _call(entry, REVOKED_KEY) == 401


def test_entry_trusts_the_keys_of_a_store_that_was_never_restored(
    site, plain_upstreams, start_entry, monkeypatch
):
    """Guards against entries that come back later than they can."""
    monkeypatch.setattr(freshness, "REWRITE_DELAY_S", NEVER_S)
    assert _call(start_entry().wait_ready(2), API_KEY) == 200

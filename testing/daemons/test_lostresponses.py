"""Entries and agents at a store that loses single responses."""

import pytest
from sitebuilders import views_of, wait_for

from bamboolever.daemons.entry import LIST_WAIT_S
from bamboolever.platform.names import UPSTREAM_KIND, VERSION_KIND
from bamboolever.platform.standins.site import PLAIN_SERVICE

# The bound of the site's settings.
VERSION_TIMEOUT_S = 8.0


@pytest.fixture
def entry(site, engines, plain_upstreams, start_entry, start_agent):
    for engine in engines:
        start_agent(engine)
    return start_entry().wait_ready(4)


def _lose_response(site, kind, change):
    """Lose what tells the watch of a kind of a change."""
    lost = site.store.lost_count
    site.store.lost_kinds = frozenset({kind})
    change()
    wait_for(lambda: site.store.lost_count > lost)
    site.store.lost_kinds = frozenset()


def test_engines_begin_to_load_a_version_although_the_response_that_named_it_was_lost(
    site, engines, entry
):
    """Guards against a fleet that serves old weights for the rest of a long poll."""
    _lose_response(site, VERSION_KIND, lambda: site.set_model_version(2))
    wait_for(
        lambda: 2 in {each.engine.version for each in engines},
        limit_s=VERSION_TIMEOUT_S,
    )


def test_draining_upstream_is_left_although_the_response_that_told_of_it_was_lost(
    site, plain_upstreams, entry
):
    """Guards against requests to an upstream that has left."""
    leaving = plain_upstreams[0]
    _lose_response(
        site,
        UPSTREAM_KIND,
        lambda: site.put_upstream(leaving, PLAIN_SERVICE, state="draining", sequence=2),
    )
    wait_for(
        lambda: views_of(entry)[leaving.instance_id].record.is_draining,
        limit_s=LIST_WAIT_S,
    )

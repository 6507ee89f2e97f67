"""HEAD requests that an entry answers by itself."""

import pytest
from sitebuilders import wait_for


@pytest.fixture
def entry(start_entry):
    """An entry without upstreams."""
    entry = start_entry()
    wait_for(entry.entry.is_ready)
    return entry


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/lookup/1", {}, 503),
        ("/orders/1", {}, 503),
        ("/unknown/1", {}, 404),
        ("/lookup/1", {"Authorization": "Token nobody"}, 401),
    ],
    ids=["no upstream", "no upstream for an order", "no route", "no key"],
)
def test_refused_head_request_is_answered(entry, path, headers, status):
    """Guards against callers that wait for an answer that never comes."""
    response = entry.call(path, method="HEAD", **headers)
    assert (response.status, response.body) == (status, b"")
    assert entry.call(path, method="GET", **headers).status == status


def test_connection_of_a_refused_head_request_is_used_again(entry):
    connection = entry.connect()
    for method in ("HEAD", "GET", "HEAD"):
        response = entry.call("/unknown/1", connection=connection, method=method)
        assert response.status == 404


def test_head_request_gets_the_response_of_an_upstream(site, plain_upstreams, entry):
    wait_for(lambda: entry.call("/lookup/1", method="GET").status == 200)
    response = entry.call("/lookup/1", method="HEAD")
    assert (response.status, response.body) == (200, b"")

"""Fetches, with a manual clock and without sockets."""

import pytest
from manualtask import ManualPool, ManualTask

from bamboolever.net.addresses import Address
from bamboolever.net.exchange import FailureKind
from bamboolever.net.fetch import Fetch
from bamboolever.net.messages import Request, ResponseHead

REQUEST = Request(b"GET", b"/", ())
ADDRESS = Address("127.0.0.1", 7000)


def _start(results, **options):
    pool = ManualPool(ManualTask())
    options = {"timeout_s": None, "max_bytes": 100, **options}
    fetch = Fetch.start(pool, ADDRESS, REQUEST, results.append, **options)
    return pool.task, fetch


@pytest.mark.parametrize("headers", [((b"Content-Length", b"101"),), ()])
def test_body_over_the_limit_fails(headers):
    results = []
    _, fetch = _start(results)
    fetch.on_head(ResponseHead(200, headers))
    assert len(results) == len(headers)
    fetch.on_data(b"x" * 101)
    fetch.on_end()
    (failure,) = results
    assert failure.kind is FailureKind.TOO_LARGE


def test_response_tells_when_it_was_asked_for_and_when_it_began():
    results = []
    task, fetch = _start(results)
    task.advance(2.0)
    fetch.on_head(ResponseHead(200, ()))
    task.advance(30.0)
    fetch.on_data(b"x" * 60)
    assert fetch.received_bytes == 60
    fetch.on_end()
    (response,) = results
    assert (response.sent_at, response.head_at) == (100.0, 102.0)

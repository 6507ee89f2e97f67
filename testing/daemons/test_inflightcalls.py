"""Requests that crash engines, at an entry that hears from the engines' agents."""

import pytest
from sitebuilders import make_stream_headers, views_of, wait_for

from bamboolever.platform.standins.upstream import MODEL, Behaviour


@pytest.fixture
def engines(site):
    return [
        site.add_engine(f"engine-{number}", f"127.0.0.{number}")
        for number in range(2, 7)
    ]


def _crash(engine):
    """Stop an engine that has just broken off a response."""
    engine.stop()


def _send_poison(running, engines):
    """Send a request that crashes the engines that it reaches, and return those."""
    counts = [len(engine.received_requests) for engine in engines]
    response = running.call("/stream/bad", **make_stream_headers())
    assert response.status == 502
    reached = [
        engine
        for engine, count in zip(engines, counts, strict=True)
        if len(engine.received_requests) > count
    ]
    for engine in reached:
        _crash(engine)
    return reached


def test_request_is_blocked_after_crashes_that_only_agents_see(
    site, engines, start_entry, start_agent
):
    for engine in engines:
        engine.behaviours.extend([Behaviour.CUT] * 4)
        start_agent(engine, name=f"agent-{engine.instance_id}")
    entry = start_entry().wait_ready(len(engines))
    views = views_of(entry)
    now = entry.entry.task.now
    wait_for(lambda: all(view._reported_version for view in views.values()))
    crashed = []
    while len(crashed) < 3:
        reached = _send_poison(entry, engines)
        crashed += reached
        for engine in reached:
            # Its agent has told the entry that the engine serves nothing.
            view = views[engine.instance_id]
            wait_for(lambda view=view: view.served_version(MODEL, now()) is None)
    response = entry.call("/stream/bad", **make_stream_headers())
    assert response.status == 503
    assert response.body == b"poison"

"""The entry against stand-in upstreams: responses, retries, streams, bad input."""

import socket

import pytest
from sitebuilders import (
    make_headers,
    make_stream_headers,
    read_response,
    views_of,
    wait_for,
)

from bamboolever.calls.poison import request_digest
from bamboolever.net.addresses import Address
from bamboolever.platform.standins.site import (
    API_KEY,
    HOST,
    WORKSPACE,
)
from bamboolever.platform.standins.upstream import EVENT_COUNT, Behaviour

ALL_EVENTS = b"".join(
    f"id: {number}\ndata: token {number}\n\n".encode()
    for number in range(1, EVENT_COUNT + 1)
)


def _sent_headers(upstream):
    return dict(upstream.received_requests[-1].request.headers)


def _count_executions(upstreams):
    return sum(len(upstream.list_executed_attempts()) for upstream in upstreams)


def test_response_is_forwarded_unchanged(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    response = entry.call("/orders/1", Bamboolever_Attempt_Id="one")
    assert response.status == 200
    assert response.body == b"answer to one"
    assert response.headers["Bamboolever-Response-Signature"] == "signed"
    assert response.headers["Bamboolever-Attempt-Id"] == "one"


def test_api_key_is_replaced_by_the_workspace(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    entry.call("/orders/1", Bamboolever_Tenant="forged")
    (upstream,) = [used for used in plain_upstreams if used.received_requests]
    headers = _sent_headers(upstream)
    assert headers[b"Bamboolever-Tenant"] == WORKSPACE.encode()
    assert b"Authorization" not in headers
    assert headers[b"Bamboolever-Expected-Instance"] == upstream.instance_id.encode()
    assert int(headers[b"Bamboolever-Deadline-Remaining"]) <= 5000


def test_unknown_api_key_is_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    assert entry.call("/orders/1", Authorization="Token nobody").status == 401
    assert entry.call("/orders/1", Authorization=None).status == 401
    assert not _count_executions(plain_upstreams)


def test_requests_are_rejected_after_the_last_key_was_taken_away(
    site, plain_upstreams, start_entry
):
    """Guards against serving everybody once no tenant holds a key."""
    entry = start_entry().wait_ready(2)
    site.apply_configuration(tenants=[{"name": WORKSPACE, "apiKeys": []}])
    wait_for(lambda: entry.call("/orders/1").status == 401)
    executed = _count_executions(plain_upstreams)
    for key in (f"Token {API_KEY}", "Token nobody", None):
        assert entry.call("/orders/1", Authorization=key).status == 401
    assert _count_executions(plain_upstreams) == executed


def test_entry_without_the_store_names_the_workspace_of_no_key(
    site, plain_upstreams, start_entry
):
    """Guards against telling upstreams the former holder of a key taken away."""
    for route in site.configuration["routes"]:
        route["allowAnonymous"] = route["pathPrefix"] == "/lookup/"
    site.apply_configuration()
    entry = start_entry(revocationMs=1500).wait_ready(2)
    assert entry.call("/lookup/1").status == 200
    site.store.stop()
    wait_for(lambda: entry.call("/orders/1").status == 503)
    executed = _count_executions(plain_upstreams)
    assert entry.call("/lookup/1").status == 503
    assert _count_executions(plain_upstreams) == executed
    assert entry.call("/lookup/1", Authorization=None).status == 200


def test_unknown_path_and_host_are_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    assert entry.call("/unknown/1").status == 404
    assert entry.call("/orders/1", Host="other.example").status == 404
    assert not _count_executions(plain_upstreams)


def test_keep_alive_connection_serves_many_requests(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    connection = entry.connect()
    responses = [entry.call("/lookup/1", connection=connection) for _ in range(5)]
    assert [response.status for response in responses] == [200] * 5


def test_idempotent_request_is_retried_after_a_cut_response(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.CUT)
    plain_upstreams[1].behaviours.clear()
    responses = [entry.call("/lookup/1") for _ in range(4)]
    assert [response.status for response in responses] == [200] * 4


def test_non_idempotent_request_never_runs_twice(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.CUT)
    response = entry.call("/orders/1")
    assert response.status == 502
    assert _count_executions(plain_upstreams) == 1


def test_request_that_no_upstream_executes_gets_503_with_retry_after(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.NOT_EXECUTED)
    response = entry.call("/orders/1")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert not _count_executions(plain_upstreams)


def test_unsigned_success_is_not_forwarded(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.UNSIGNED)
    assert entry.call("/orders/1").status == 502


def test_response_of_another_attempt_is_not_forwarded(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.OTHER_ATTEMPT)
    response = entry.call("/orders/1", Bamboolever_Deadline_Remaining="300")
    assert response.status == 504


def test_error_of_a_non_idempotent_request_keeps_its_signature(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.ERROR)
    response = entry.call("/orders/1")
    assert response.status == 500
    assert response.headers["Bamboolever-Response-Signature"] == "signed"


def test_silence_until_the_route_timeout_gets_504(site, plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    routes = [dict(route, timeoutMs=200) for route in site.configuration["routes"]]
    site.apply_configuration(routes=routes)
    wait_for(lambda: entry.entry._configuration.version == 2)
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.MUTE)
    assert entry.call("/orders/1").status == 504


def test_stream_is_forwarded_event_by_event(engines, start_entry):
    entry = start_entry().wait_ready(2)
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.status == 200
    assert response.body == ALL_EVENTS
    assert response.is_complete


@pytest.mark.parametrize(
    "behaviour", [Behaviour.CUT_MID_STREAM, Behaviour.MUTE_MID_STREAM]
)
def test_broken_stream_is_resumed_on_another_upstream(engines, start_entry, behaviour):
    entry = start_entry().wait_ready(2)
    for upstream in engines:
        upstream.behaviours.append(behaviour)
    engines[1].behaviours.clear()
    responses = [entry.call("/stream/1", **make_stream_headers()) for _ in range(3)]
    assert [response.body for response in responses] == [ALL_EVENTS] * 3


def test_stream_that_pauses_at_sound_upstreams_is_completed(engines, start_entry):
    """Guards against streams that are cut for the silence of sound upstreams."""
    entry = start_entry().wait_ready(2)
    for upstream in engines:
        upstream.behaviours.append(Behaviour.PAUSE_MID_STREAM)
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.is_complete
    assert response.body == ALL_EVENTS


def test_stream_that_cannot_be_resumed_is_aborted(engines, start_entry):
    entry = start_entry().wait_ready(2)
    for upstream in engines:
        upstream.behaviours.append(Behaviour.CUT_MID_STREAM)
    response = entry.call("/stream/1", **make_stream_headers())
    assert not response.is_complete
    assert response.body.endswith(b"token 2\n\n")


def test_disconnected_caller_cancels_the_upstream_request(engines, start_entry):
    entry = start_entry().wait_ready(2)
    for upstream in engines:
        upstream.behaviours.append(Behaviour.MUTE)
    connection = entry.connect()
    headers = make_headers(**make_stream_headers())
    connection.request("POST", "/stream/1", b"body", headers)
    wait_for(lambda: _count_executions(engines) == 1)
    connection.close()
    wait_for(
        lambda: any(
            received.is_cancelled
            for engine in engines
            for received in engine.received_requests
        )
    )


def test_graceful_stop_completes_requests_in_flight(engines, start_entry):
    entry = start_entry().wait_ready(2)
    connection = entry.connect()
    headers = make_headers(**make_stream_headers())
    connection.request("POST", "/stream/1", b"body", headers)
    wait_for(lambda: _count_executions(engines) == 1)
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: not entry.entry.is_ready())
    assert read_response(connection).body == ALL_EVENTS


def test_stopping_entry_rejects_requests_that_it_would_cut(engines, start_entry):
    """Guards against admitting a stream that is cut when the process ends.

    This happened to a stream that was admitted five seconds after the stop request.
    """
    entry = start_entry(gracePeriodS=4).wait_ready(2)
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: not entry.entry.is_ready())
    response = entry.call("/stream/1", **make_stream_headers())
    assert response.status == 503
    assert float(response.headers["Retry-After"]) < 1.0
    assert _count_executions(engines) == 0


@pytest.mark.parametrize("path", ["/orders/1", "/lookup/1"])
def test_stopping_entry_rejects_calls_that_may_outlast_it(
    plain_upstreams, start_entry, path
):
    """Guards against calls that are passed on and cut as the grace period ends.

    Calls of 4.9 s were admitted 4 s before the end.
    """
    entry = start_entry(gracePeriodS=5.2).wait_ready(2)
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: not entry.entry.is_ready())
    response = entry.call(path, Bamboolever_Deadline_Remaining="5000")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) < 1.0
    assert not _count_executions(plain_upstreams)
    assert entry.call(path, Bamboolever_Deadline_Remaining="1500").status == 200


def test_stopping_entry_answers_each_call_that_it_admits(plain_upstreams, start_entry):
    for upstream in plain_upstreams:
        upstream.behaviours.append(Behaviour.MUTE)
    entry = start_entry(gracePeriodS=5.2).wait_ready(2)
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: not entry.entry.is_ready())
    response = entry.call("/orders/1", Bamboolever_Deadline_Remaining="800")
    assert response.status == 504
    assert response.is_complete


def test_conflicting_lengths_are_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    with socket.create_connection(entry.settings.caller_address, 30) as sock:
        sock.sendall(
            f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /orders/2".encode()
        )
        assert b" 400 " in sock.recv(4096)
    assert not _count_executions(plain_upstreams)


def test_header_over_the_limit_is_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    assert entry.call("/orders/1", X_Long="x" * 20000).status == 431


def test_body_over_the_limit_is_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    connection = entry.connect()
    headers = make_headers(Content_Length="200000")
    connection.putrequest("POST", "/orders/1", skip_host=True)
    for name, value in headers.items():
        connection.putheader(name, value)
    connection.endheaders()
    assert connection.getresponse().status == 413


def test_request_without_an_attempt_id_is_rejected(plain_upstreams, start_entry):
    entry = start_entry().wait_ready(2)
    assert entry.call("/orders/1", Bamboolever_Attempt_Id=None).status == 400


def test_two_entries_discover_each_other_through_an_agent(
    site, engines, start_entry, start_agent
):
    _start_peers(engines, start_entry, start_agent)


def test_request_that_crashes_upstreams_is_blocked_at_every_entry(
    site, engines, start_entry, start_agent
):
    engines.append(site.add_engine("engine-3", "127.0.0.4"))
    first, second = _start_peers(engines, start_entry, start_agent)
    now = first.entry.task.now
    digest = _crash_three_times(first, engines)
    wait_for(lambda: second.entry.exchange.crashes.tracker.is_blocked(digest, now()))
    response = second.call("/stream/bad", **make_stream_headers())
    assert response.status == 503
    assert response.body == b"poison"
    assert second.call("/stream/good", **make_stream_headers()).status == 200


def _start_peers(engines, start_entry, start_agent):
    """Return two entries that know each other's address through an agent."""
    start_agent(engines[0])
    count = len(engines)
    first = start_entry(name="entry-1", host="127.0.0.8").wait_ready(count)
    second = start_entry(name="entry-2", host="127.0.0.9").wait_ready(count)
    wait_for(lambda: first.entry.fleet.peers.recipients())
    wait_for(lambda: second.entry.fleet.peers.recipients())
    return first, second


def _crash_three_times(running, engines):
    entry = running.entry
    digest = request_digest(b"POST", b"/stream/bad", API_KEY, b"body")
    views = views_of(running)
    for engine in engines[:3]:
        view = views[engine.instance_id]

        def crash(view=view):
            now = entry.task.now()
            entry.exchange.crashes.on_broken_response(view.key, digest, now)
            entry.calls.on_connection_refused(view)

        entry.task.send(crash)
    return digest


def test_retries_stop_when_the_budget_is_exhausted(plain_upstreams, start_entry):
    entry = start_entry(retryBudgetSlack=20, retryBudgetRatio=0.0).wait_ready(2)
    for upstream in plain_upstreams:
        upstream.behaviours.extend([Behaviour.ERROR] * 40)
    responses = [entry.call(f"/lookup/{number}") for number in range(10)]
    assert {response.status for response in responses} == {500}
    # One entry may spend a tenth of the slack.
    assert _count_executions(plain_upstreams) == 10 + 2


def test_negative_and_positive_prediction_errors_are_recorded(
    engines, start_entry, caplog
):
    entry = start_entry().wait_ready(2)
    for _ in range(3):
        entry.call("/stream/1", **make_stream_headers())
    assert "non-negative" not in caplog.text
    text = entry.entry.telemetry.render_text()
    assert "call_prediction_error_s_count" in text


def test_upstream_that_says_it_is_leaving_gets_no_more_requests(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    for upstream in plain_upstreams:
        upstream.is_leaving = True
    assert entry.call("/lookup/1").status == 200
    assert entry.call("/lookup/1").status == 200
    assert [len(each.received_requests) for each in plain_upstreams] == [1, 1]
    assert entry.call("/lookup/1").status == 503
    assert [len(each.received_requests) for each in plain_upstreams] == [1, 1]


def test_upstream_that_asks_to_retry_later_gets_no_requests_until_then(
    plain_upstreams, start_entry
):
    entry = start_entry().wait_ready(2)
    first, second = plain_upstreams
    first.behaviours.append(Behaviour.RETRY_LATER)
    second.behaviours.append(Behaviour.RETRY_LATER)
    assert entry.call("/lookup/1").status == 503
    for _ in range(4):
        assert entry.call("/lookup/1").status == 503
    assert [len(each.received_requests) for each in plain_upstreams] == [1, 1]


def test_upstream_that_answers_as_another_instance_is_left_alone_for_a_while(
    plain_upstreams, start_entry
):
    """Guards against requests that use up the retry budget on replaced upstreams."""
    entry = start_entry().wait_ready(2)
    for view in views_of(entry).values():
        view._next_misdirected_s = 30.0
    for upstream in plain_upstreams:
        upstream.instance_id += "-restarted"
    for _ in range(5):
        assert entry.call("/lookup/1").status == 503
    assert [len(each.received_requests) for each in plain_upstreams] == [1, 1]


def test_new_engine_s_agent_gets_a_hello_at_once(site, start_entry, monkeypatch):
    """An agent that has just started waits for it to ask for the configuration."""
    site.add_engine("engine-1", "127.0.0.11")
    running = start_entry().wait_ready()
    greeted = []
    monkeypatch.setattr(running.entry.exchange, "send_hello", greeted.extend)
    engine = site.add_engine("engine-2", "127.0.0.12")
    agent = Address(engine.address.host, site.internal_port)
    wait_for(lambda: agent in greeted)

"""Questions to a running entry where a request would go, over its operator port."""

import http.client
import json
import logging

import pytest
from sitebuilders import MODEL, WAIT_S, make_stream_headers, wait_for

from bamboolever.daemons.wherehandler import MAX_ANSWERS_PER_S, WhereHandler
from bamboolever.net.messages import Request
from bamboolever.platform.standins.site import (
    API_KEY,
    ENGINE_SERVICE,
    HOST,
    WORKSPACE,
)
from bamboolever.platform.where import (
    MAX_QUESTION_BYTES,
    QuestionError,
    decode_question,
    make_answer,
)

QUESTION = {"host": HOST, "path": "/stream/1", "key": API_KEY}
STREAM = {"model": MODEL, "prompt_tokens": 500, "output_tokens": 60}


def _post(entry, body, *, method="POST"):
    address = entry.settings.metrics_address
    connection = http.client.HTTPConnection(*address, timeout=WAIT_S)
    connection.request(method, "/where", body)
    response = connection.getresponse()
    return response.status, response.read()


def _ask(entry, **changes):
    question = {**QUESTION, **STREAM, **changes}
    question = {name: each for name, each in question.items() if each is not None}
    status, body = _post(entry, json.dumps(question))
    return status, json.loads(body)


def test_answer_names_the_upstream_that_gets_the_next_request(engines, start_entry):
    entry = start_entry().wait_ready(len(engines))
    status, answer = _ask(entry)
    assert status == 200
    assert answer["decision"] == "placed"
    assert (answer["route"], answer["workspace"]) == ("stream", WORKSPACE)
    assert answer["service"] == ENGINE_SERVICE
    assert answer["steps"][-1]["rule"] == "room"
    assert answer["best"][0]["predicted_s"] > 0
    entry.call("/stream/1", **make_stream_headers())
    (served,) = [each for each in engines if each.received_requests]
    assert answer["best"][0]["upstream"] == served.instance_id


def test_question_sends_nothing_and_counts_nothing(engines, start_entry):
    entry = start_entry().wait_ready(len(engines))
    assert _ask(entry)[0] == 200
    dispatcher = entry.entry.fleet.dispatcher(ENGINE_SERVICE)
    assert dispatcher.queue_length == 0
    assert not any(view.calls for view in dispatcher.upstreams)
    assert not any(engine.received_requests for engine in engines)
    assert "call_placed" not in entry.entry.telemetry.render_text()


def test_workspace_stands_for_its_key(engines, start_entry):
    entry = start_entry().wait_ready(len(engines))
    by_key, by_name = _ask(entry), _ask(entry, key=None, workspace=WORKSPACE)
    assert by_key == by_name


@pytest.mark.parametrize(
    ("changes", "status", "reason"),
    [
        ({"host": "other.example"}, 404, "no-route"),
        ({"key": "not-a-key"}, 401, "unknown-key"),
        ({"key": None}, 401, "unknown-key"),
    ],
)
def test_refused_request_has_its_status_and_reason(
    site, start_entry, changes, status, reason
):
    entry = start_entry().wait_ready(0)
    answer = _ask(entry, **changes)[1]
    assert answer["decision"] == "refused"
    assert (answer["status"], answer["reason"]) == (status, reason)


def test_rejection_has_its_retry_after(site, start_entry):
    entry = start_entry().wait_ready(0)
    answer = _ask(entry)[1]
    assert (answer["decision"], answer["reason"]) == ("rejected", "no-upstream")
    assert answer["status"] == 503
    assert 1.1 <= answer["retry_after_s"] <= 1.9


def test_stopping_entry_answers_that_it_stops(engines, start_entry):
    """Guards against an answer that ignores what admission checks beside the key."""
    entry = start_entry(gracePeriodS=2).wait_ready(len(engines))
    entry.entry.task.send(entry.entry.request_stop)
    wait_for(lambda: entry.entry.caller_port.graceful_stop.is_requested)
    answer = _ask(entry)[1]
    assert (answer["decision"], answer["reason"]) == ("refused", "stopping")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"not json",
        b"[" * 16_000,
        b"[]",
        b"\xff",
        b"{}",
        json.dumps({**QUESTION, "path": "no-slash"}).encode(),
        json.dumps({**QUESTION, "workspace": WORKSPACE}).encode(),
        json.dumps({**QUESTION, "prompt_tokens": -1}).encode(),
        json.dumps({**QUESTION, "prompt_tokens": "9"}).encode(),
        json.dumps({**QUESTION, "prompt_tokens": 10**30}).encode(),
        json.dumps({**QUESTION, "key": [API_KEY]}).encode(),
        json.dumps({**QUESTION, "kye": API_KEY}).encode(),
        json.dumps({**QUESTION, API_KEY: 1}).encode(),
        json.dumps({**QUESTION, "host": API_KEY * 100}).encode(),
    ],
)
def test_malformed_question_is_refused_without_its_values(body):
    """Guards against a key in the message of a question that is not understood."""
    with pytest.raises(QuestionError) as caught:
        decode_question(body)
    assert str(caught.value)
    assert API_KEY not in str(caught.value)
    assert caught.value.__cause__ is None


def test_entry_says_how_a_question_is_wrong(site, start_entry):
    entry = start_entry().wait_ready(0)
    status, answer = _ask(entry, workspace=WORKSPACE)
    assert (status, answer["error"]) == (400, "give a key or a workspace, not both")
    status, answer = _ask(entry, key=None, workspace="unknown")
    assert (status, answer["error"].partition(":")[0]) == (400, "workspace")
    status, body = _post(entry, b"x" * (MAX_QUESTION_BYTES + 1))
    assert status == 413
    assert _post(entry, b"", method="GET")[0] == 405


def test_key_is_neither_logged_nor_returned(engines, start_entry, caplog):
    caplog.set_level(logging.DEBUG)
    entry = start_entry().wait_ready(len(engines))
    answers = [_ask(entry), _ask(entry, workspace=WORKSPACE), _ask(entry, kye=API_KEY)]
    assert [status for status, _ in answers] == [200, 400, 400]
    assert API_KEY not in json.dumps(answers)
    assert not [each for each in caplog.records if API_KEY in str(vars(each))]
    assert API_KEY not in entry.entry.telemetry.render_text()


class _Connection:
    def __init__(self):
        self.statuses = []

    def respond(self, status, headers, body=b""):
        self.statuses.append(status)


def test_only_a_few_questions_a_second_are_answered():
    """Guards against an operator's loop that takes the processor from callers."""
    now = [100.0]
    answer = make_answer({"entry": "e", "configuration": 1, "decision": "queued"})
    handler = WhereHandler(lambda _question: answer, lambda: now[0], None)
    connection = _Connection()
    request = Request(b"POST", b"/where", (), json.dumps(QUESTION).encode())
    for _ in range(MAX_ANSWERS_PER_S + 2):
        handler.on_request(connection, request)
    assert connection.statuses == [200] * MAX_ANSWERS_PER_S + [429, 429]
    now[0] += 1 / MAX_ANSWERS_PER_S
    handler.on_request(connection, request)
    assert connection.statuses[-1] == 200

"""The HTTP client against answers that are whole, broken, late or extra."""

import queue

import pytest
from rawserver import RawServer, make_response

from bamboolever._task import IoTask
from bamboolever.net.client import (
    ConnectionPool,
    FailureKind,
    ResponseHandler,
    parse_keep_alive_timeout,
)
from bamboolever.net.messages import Request, ResponseHead

REQUEST = Request(b"POST", b"/x", ((b"Host", b"h"), (b"X-Id", b"1")), b"body")
WAIT_S = 30.0


class Recorder(ResponseHandler):
    def __init__(self, accepted_id=None):
        self.accepted_id = accepted_id
        self.head = None
        self.body = b""
        self.outcome = queue.Queue()

    def accepts(self, head):
        return self.accepted_id is None or head.get(b"x-id") == self.accepted_id

    def on_head(self, head):
        self.head = head

    def on_data(self, data):
        self.body += data

    def on_end(self):
        self.outcome.put("end")

    def on_failure(self, failure):
        self.outcome.put(failure)


@pytest.fixture
def task():
    task = IoTask("test")
    task.start()
    yield task
    task.stop()


@pytest.fixture
def pool(task):
    return ConnectionPool(task, connect_timeout_s=1.0, max_idle_s=10.0)


def _send(pool, address, handler=None, request=REQUEST):
    handler = handler or Recorder()
    pool.task.send(lambda: pool.send(address, request, handler))
    return handler, handler.outcome.get(timeout=WAIT_S)


def test_whole_answer_and_reused_connection(pool):
    server = RawServer([make_response(b"one"), make_response(b"two")])
    first, outcome = _send(pool, server.address)
    assert (outcome, first.body) == ("end", b"one")
    second, outcome = _send(pool, server.address)
    assert (outcome, second.body) == ("end", b"two")
    assert server.accepted == 1


def test_answer_without_length_ends_with_the_connection(pool):
    server = RawServer([b"HTTP/1.1 200 OK\r\n\r\nto the end", "close"])
    handler, outcome = _send(pool, server.address)
    assert (outcome, handler.body) == ("end", b"to the end")


def test_answer_without_length_that_is_reset_is_not_complete(pool):
    server = RawServer([b"HTTP/1.1 200 OK\r\n\r\npart", "reset"])
    _, outcome = _send(pool, server.address)
    assert outcome.kind is FailureKind.RESET


def test_cut_answer_is_a_failure_after_sending(pool):
    server = RawServer([make_response(b"whole")[:-2], "close"])
    _, outcome = _send(pool, server.address)
    assert outcome.is_request_sent
    assert outcome.kind is FailureKind.CLOSED


def test_bytes_that_are_no_answer_are_a_failure(pool):
    server = RawServer([b"\x00\x01garbage\r\n\r\n"])
    _, outcome = _send(pool, server.address)
    assert outcome.kind is FailureKind.MALFORMED


def test_extra_bytes_end_the_connection_and_reach_nobody(pool):
    server = RawServer(
        [make_response(b"one") + make_response(b"extra")], [make_response()]
    )
    first, _ = _send(pool, server.address)
    second, outcome = _send(pool, server.address)
    assert first.body == b"one"
    assert (outcome, second.body) == ("end", b"ok")
    assert server.accepted == 2


def test_late_answer_to_another_request_is_skipped(pool):
    other = make_response(b"late", "200 OK", "X-Id: 0")
    own = make_response(b"own", "200 OK", "X-Id: 1")
    server = RawServer([other + own])
    handler, outcome = _send(pool, server.address, Recorder(b"1"))
    assert (outcome, handler.body) == ("end", b"own")


def test_refused_connection_has_not_sent_anything(pool):
    server = RawServer()
    server.close()
    _, outcome = _send(pool, server.address)
    assert outcome.kind is FailureKind.CONNECT
    assert not outcome.is_request_sent


def test_answer_before_the_body_was_sent_ends_the_connection(pool):
    large = Request(b"POST", b"/x", ((b"Host", b"h"),), b"x" * 2**23)
    server = RawServer([make_response(b"early", "413 Too Large")], [make_response()])
    handler, outcome = _send(pool, server.address, request=large)
    assert (outcome, handler.head.status) == ("end", 413)
    _send(pool, server.address)
    assert server.accepted == 2


def test_announced_close_is_obeyed(pool):
    closing = make_response(b"one", "200 OK", "Connection: close")
    server = RawServer([closing, "close"], [make_response()])
    _send(pool, server.address)
    _, outcome = _send(pool, server.address)
    assert outcome == "end"
    assert server.accepted == 2


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"timeout=5, max=9", 5.0), (b"max=9", None), (b"timeout=x", None), (None, None)],
)
def test_idle_limit_is_read_from_keep_alive(value, expected):
    headers = () if value is None else ((b"Keep-Alive", value),)
    assert parse_keep_alive_timeout(ResponseHead(200, headers)) == expected

"""Decoding and forwarding of requests and responses in the platform's format."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.net.messages import Request, ResponseHead
from bamboolever.platform import calls

REQUEST = Request(
    b"POST",
    b"/a/b?c",
    (
        (b"Host", b"h.example"),
        (b"Bamboolever-Attempt-Id", b"9c41"),
        (b"Bamboolever-Model", b"m"),
        (b"Bamboolever-Token-Counts", b"1460,80"),
        (b"Bamboolever-Deadline-Remaining", b"6097"),
        (b"Authorization", b"Token key-1"),
        (b"Bamboolever-Tenant", b"forged"),
        (b"Bamboolever-Expected-Instance", b"forged"),
        (b"Bamboolever-Request-Priority", b"0"),
        (b"Path", b"1.2.3.4:80=0-16"),
        (b"Connection", b"keep-alive, X-Private"),
        (b"X-Private", b"hop"),
        (b"X-Own", b"kept"),
    ),
    b"body",
)


def test_request_is_decoded():
    metadata = calls.decode_call(REQUEST)
    assert metadata.attempt_id == b"9c41"
    assert metadata.api_key == "key-1"
    assert metadata.remaining_s == 6.097
    assert (metadata.prompt_tokens, metadata.max_output_tokens) == (1460, 80)


@pytest.mark.parametrize(
    ("value", "shared"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5C1E07A2:800, 91BD3F06:410 ,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"e4402b7d:250", ()),
        (b"a:1,a:1,b:2", ("a",)),
        (b"", ()),
        (b",:,,", ()),
        (b"\xff,b:1", ("\xff",)),
    ],
)
def test_parts_that_other_requests_may_share_are_all_but_the_last(value, shared):
    headers = ((b"Bamboolever-Prompt-Prefix", value),)
    request = Request(b"POST", b"/", headers, b"")
    assert calls.decode_call(request).shared_parts == shared


def test_forwarded_request_keeps_the_callers_headers():
    upstream_headers = calls.UpstreamHeaders("i-1", 1.5, workspace="w")
    sent = calls.forward_request(REQUEST, upstream_headers)
    headers = dict(sent.headers)
    assert (sent.method, sent.target, sent.body) == (b"POST", b"/a/b?c", b"body")
    assert headers[b"Bamboolever-Attempt-Id"] == b"9c41"
    assert headers[b"Bamboolever-Token-Counts"] == b"1460,80"
    assert headers[b"X-Own"] == b"kept"


def test_forwarded_request_replaces_headers_set_by_the_entry():
    sent = calls.forward_request(
        REQUEST, calls.UpstreamHeaders("i-1", 1.5, workspace="w")
    )
    headers = dict(sent.headers)
    assert headers[b"Bamboolever-Deadline-Remaining"] == b"1500"
    assert headers[b"Bamboolever-Expected-Instance"] == b"i-1"
    assert headers[b"Bamboolever-Tenant"] == b"w"
    sent_names = [name for name, _ in sent.headers]
    assert len(sent_names) == len(set(sent_names))
    assert not set(sent_names) & {
        b"Authorization",
        b"Path",
        b"Connection",
        b"X-Private",
        b"Bamboolever-Request-Priority",
    }


def test_request_without_a_workspace_has_no_workspace_header():
    sent = calls.forward_request(REQUEST, calls.UpstreamHeaders("i-1", 1.5))
    assert b"Bamboolever-Tenant" not in dict(sent.headers)


def test_resumed_stream_continues_after_the_last_event():
    upstream_headers = calls.UpstreamHeaders("i-1", 1.0, last_event_id=b"7")
    sent = calls.forward_request(REQUEST, upstream_headers)
    assert dict(sent.headers)[b"Last-Event-Id"] == b"7"


def test_rejection_is_not_executed_only_if_it_states_so():
    marker = ((b"Bamboolever-Not-Executed", b"1"),)
    assert calls.is_not_executed(ResponseHead(503, marker))
    assert calls.is_not_executed(ResponseHead(421, ()))
    assert not calls.is_not_executed(ResponseHead(503, ()))
    assert not calls.is_not_executed(ResponseHead(200, marker))


@given(st.dictionaries(st.sampled_from([n for n, _ in REQUEST.headers]), st.binary()))
def test_any_header_values_decode(values):
    headers = tuple(values.items())
    calls.decode_call(Request(b"GET", b"/", headers))

"""Decoding and forwarding of requests and responses in the platform's format."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.fleet.records import StatedLoad
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


def _state_load(value, status=200):
    return calls.stated_load(
        ResponseHead(status, ((b"bamboolever-server-load", value),))
    )


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,6", StatedLoad(3, 1, 6)),
        (b" 3, 1 ,6 ,250", StatedLoad(3, 1, 6, 2.5)),
        (b"0,0,6,100", StatedLoad(0, 0, 6, 1.0)),
        (b"0,0,6,112.5", StatedLoad(0, 0, 6, 1.125)),
    ],
)
def test_stated_load_has_three_or_four_figures(value, load):
    assert _state_load(value) == load


@pytest.mark.parametrize(
    "value",
    [b"", b"3", b"3,1", b"3,1,6,", b"3,1,6,0", b"3,1,6,-1", b"3,1,6,nan", b"a,1,6"]
    + [b"3,1,6,100,1", b"1.5,1,6", b"-1,1,6", b"1e3,1,6", b"3,1,6,1e2", b"9" * 20],
)
def test_malformed_load_is_an_error(value):
    with pytest.raises(calls.HeaderError):
        _state_load(value)


def test_load_of_another_process_than_the_expected_one_is_ignored():
    assert _state_load(b"3,1,6,250", status=421) is None
    assert calls.stated_load(ResponseHead(200, ())) is None


@given(st.binary(max_size=30))
def test_any_load_decodes_or_is_a_header_error(value):
    try:
        load = _state_load(value)
    except calls.HeaderError:
        return
    assert load.slowness is None or load.slowness > 0


@pytest.mark.parametrize("counts", [b"9" * 5000 + b",1", b"1," + b"9" * 10, b"-1,1"])
def test_token_counts_that_no_prompt_has_are_left_aside(counts):
    """Guards against a caller whose number ends the handling of its request."""
    request = Request(b"POST", b"/", ((b"Bamboolever-Token-Counts", counts),))
    assert calls.decode_call(request).prompt_tokens is None


@pytest.mark.parametrize("version", [b"9" * 5000, b"-1", b"2.5", b"inf"])
def test_version_of_a_response_that_is_no_version_is_unknown(version):
    head = ResponseHead(200, ((b"Bamboolever-Weight-Versions", version),))
    assert calls.response_version(head) is None

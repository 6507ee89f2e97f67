"""What a response's head says about its body."""

import pytest

from bamboolever.net.messages import BodyFraming, ResponseHead, is_valid_status


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, ((b"Content-Length", b"3"),), BodyFraming.LENGTH),
        (200, ((b"transfer-encoding", b"chunked"),), BodyFraming.CHUNKED),
        (200, (), BodyFraming.CONNECTION_CLOSE),
        (204, (), BodyFraming.LENGTH),
    ],
)
def test_framing_follows_status_and_headers(status, headers, expected):
    assert ResponseHead(status, headers).body_framing is expected


@pytest.mark.parametrize(
    ("status", "expected"),
    [(0, False), (99, False), (100, True), (200, True), (599, True), (600, False)],
)
def test_status_is_valid_within_the_range_of_http(status, expected):
    assert is_valid_status(status) is expected

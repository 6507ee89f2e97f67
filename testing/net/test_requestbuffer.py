import h11
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.net.requestbuffer import (
    HEADER_OVERHEAD_BYTES,
    RequestBuffer,
    max_request_memory_bytes,
)

# The end of a header line, and the colon behind its name.
LINE_BYTES = 3


def _make_buffer(*headers):
    head = h11.Request(method="POST", target="/", headers=[("Host", "h"), *headers])
    return RequestBuffer(head)


def test_memory_grows_with_each_header_and_part_of_the_body():
    buffer = _make_buffer()
    empty_bytes = buffer.memory_bytes
    buffer.add(b"body")
    assert buffer.memory_bytes == empty_bytes + 4
    with_header_bytes = _make_buffer(("a", "")).memory_bytes
    assert with_header_bytes - empty_bytes >= HEADER_OVERHEAD_BYTES


def test_taken_request_is_whole():
    buffer = _make_buffer(("A-Name", "value"))
    buffer.add(b"bo")
    buffer.add(b"dy")
    request = buffer.take()
    assert (request.method, request.target) == (b"POST", b"/")
    assert request.headers == ((b"Host", b"h"), (b"A-Name", b"value"))
    assert request.body == b"body"


@given(
    st.lists(st.text("ab", min_size=1, max_size=20), max_size=60),
    st.binary(max_size=100),
)
def test_no_request_within_the_limits_takes_more_than_the_most(names, body):
    buffer = _make_buffer(*((name, "") for name in names))
    buffer.add(body)
    line_bytes = sum(len(name) + LINE_BYTES for name in ["Host", "h", *names])
    assert buffer.memory_bytes <= max_request_memory_bytes(line_bytes, len(body))

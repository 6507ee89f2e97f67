"""Splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.events import EventSplitter


@given(
    st.lists(st.binary(max_size=20).map(lambda b: b.replace(b"\n", b"")), min_size=1),
    st.lists(st.integers(1, 30), max_size=60),
)
def test_events_do_not_depend_on_how_the_bytes_are_split(lines, sizes):
    stream = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, line) for number, line in enumerate(lines)
    )
    splitter, relayed, position = EventSplitter(), b"", 0
    for size in [*sizes, len(stream)]:
        batch = splitter.feed(stream[position : position + size])
        position += size
        if batch is not None:
            relayed += batch.data
    assert relayed == stream
    assert splitter.partial_event == b""


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    batch = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert batch.data == b"id: 1\ndata: a\n\n"
    assert batch.last_event_id == b"1"
    assert splitter.partial_event == b"id: 2\nda"

"""Whole events of a stream."""

from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.events import EventSplitter


@given(
    st.lists(st.binary(max_size=20).map(lambda b: b.replace(b"\n", b"")), min_size=1),
    st.lists(st.integers(1, 30), max_size=60),
)
def test_any_cut_of_the_bytes_gives_the_same_events(lines, sizes):
    stream = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, line) for number, line in enumerate(lines)
    )
    splitter, relayed, position = EventSplitter(), b"", 0
    for size in [*sizes, len(stream)]:
        part = splitter.feed(stream[position : position + size])
        position += size
        if part is not None:
            relayed += part.data
    assert relayed == stream
    assert splitter.partial_event == b""


def test_half_an_event_is_kept_back():
    splitter = EventSplitter()
    part = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert part.data == b"id: 1\ndata: a\n\n"
    assert part.last_event_id == b"1"
    assert splitter.partial_event == b"id: 2\nda"

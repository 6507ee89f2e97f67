"""Splitting a stream into complete events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.events import EventSplitter


def _without_line_ends(data):
    return data.translate(None, b"\r\n")


@given(
    st.lists(st.binary(max_size=20).map(_without_line_ends), min_size=1),
    st.lists(st.integers(1, 30), max_size=60),
    st.sampled_from([b"\n", b"\r\n", b"\r"]),
)
def test_events_do_not_depend_on_how_the_bytes_are_split(lines, sizes, line_end):
    stream = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, line) for number, line in enumerate(lines)
    ).replace(b"\n", line_end)
    splitter, relayed, position = EventSplitter(), b"", 0
    for size in [*sizes, len(stream)]:
        batch = splitter.feed(stream[position : position + size])
        position += size
        if batch is not None:
            relayed += batch.data
    assert relayed + splitter.rest == stream
    assert splitter.partial_event_bytes == 0
    assert splitter.event_count == len(lines)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_last_event_id_is_found_with_each_line_end(line_end):
    events = b"id: 6\ndata: a\n\nid: 7\ndata: b\n\n".replace(b"\n", line_end)
    assert EventSplitter().feed(events).last_event_id == b"7"


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (b"id: 7\ndata: a\n\ndata: b\n\n", (True, None)),
        (b"id: 7\ndata: a\n\n: comment\n\n", (True, b"7")),
        (b": comment\n\n", (False, None)),
    ],
)
def test_last_event_id_is_that_of_the_last_event_with_fields(events, expected):
    batch = EventSplitter().feed(events)
    assert (batch.has_fields, batch.last_event_id) == expected


def test_line_end_within_an_event_does_not_complete_it():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: a\r\n") is None
    assert splitter.partial_event_bytes > 0


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    batch = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert batch.data == b"id: 1\ndata: a\n\n"
    assert batch.last_event_id == b"1"
    assert splitter.rest == b"id: 2\nda"
    assert splitter.partial_event_bytes > 0


SOUND_EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"id:1\r\ndata:a\r\n\r\n",
    b"data\rid: 1\r\r",
    b": comment\n\nid: 1\ndata: HTTP/1.1 500 Failed\n\n",
    b"bamboolever-weight-versions: 2\nid: 1\ndata: a\n\n",
    b"\xef\xbb\xbfid: 1\ndata: a\n\n",
    b"\n\nid: 1\n\n",
]


@pytest.mark.parametrize("stream", SOUND_EVENTS)
def test_fields_and_comments_are_events(stream):
    """Guards against cutting a sound stream."""
    splitter = EventSplitter()
    batch = splitter.feed(stream)
    assert batch.data == stream
    assert not splitter.is_malformed


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize(
    "stray", [b"HTTP/1.1 500 Failed\r\nA: b\r\n\r\n", b"<html>\n\n", b"a b\n\n"]
)
def test_what_is_no_field_ends_the_events(stray, step):
    splitter = EventSplitter()
    stream = SOUND_EVENTS[0] + stray + SOUND_EVENTS[0]
    batches = [
        splitter.feed(stream[start : start + step])
        for start in range(0, len(stream), step)
    ]
    returned = b"".join(batch.data for batch in batches if batch is not None)
    assert splitter.is_malformed
    assert splitter.event_count == returned.count(b"data: a") >= 1
    assert stray[:5] not in returned

"""Splits a byte stream of server-sent events into complete events.

Only complete events are relayed, so that a caller never gets a part of one when an
upstream is lost in the middle of an event. Lines may end with LF, CR or CRLF.
"""

import re
from dataclasses import dataclass

_LINE_ENDS = b"\r\n"
_EVENT_END_LF = b"\n\n"
_MAX_EVENT_END_BYTES = 4
# A line that is neither empty, nor a comment, nor a field of an event. A stream may
# begin with a byte order mark.
_NO_FIELD = re.compile(
    rb"(?:\A(?:\xef\xbb\xbf)?+|(?<=[\r\n]))(?![a-z0-9_-]*[:\r\n])[^\r\n]+[\r\n]"
)
_FIRST_ID = re.compile(rb"(?:\A|(?<=[\r\n]))id:([^\r\n]*)")
# A CR before an LF never ends a line by itself. If the LF of a last CRLF arrives
# later, it is left in front of the next event, where it means nothing.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?!\n))")


@dataclass(frozen=True)
class EventBatch:
    """Bytes of ``count`` complete events.

    ``has_fields`` is False if they hold comments only. ``last_event_id`` is the id of
    the last event with fields, or None if it has none.
    """

    data: bytes
    count: int
    has_fields: bool
    last_event_id: bytes | None

    @property
    def first_event_id(self) -> bytes | None:
        """The first id among the events, None without any."""
        found = _FIRST_ID.search(self.data)
        return found.group(1).strip() if found is not None else None


class EventSplitter:
    """Buffers the bytes of an event stream until an event is complete.

    ``event_count`` is the number of complete events so far. ``is_malformed`` is set at
    bytes that are no event; neither they nor what follows is returned.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.event_count = 0
        self.is_malformed = False

    @property
    def rest(self) -> bytes:
        """Bytes received after the end of the last complete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """How many bytes are buffered."""
        return len(self._buffer)

    @property
    def partial_event_bytes(self) -> int:
        """Size of the event that has begun and is not complete yet; 0 if none has."""
        return len(self._buffer.strip(_LINE_ENDS))

    def feed(self, data: bytes) -> EventBatch | None:
        """Add received bytes; return the events that they complete, or None."""
        # An event's end may have begun in the bytes that were searched before.
        start = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES)
        self._buffer += data
        end, count = _find_last_event_end(self._buffer, start)
        if not count:
            return None
        events = bytes(self._buffer[:end])
        stray = _NO_FIELD.search(events)
        if stray is not None:
            self.is_malformed = True
            end, count = _find_last_event_end(self._buffer[: stray.start()], 0)
            if not count:
                return None
            events = events[:end]
        del self._buffer[:end]
        self.event_count += count
        has_fields, last_event_id = _parse_last_event(events)
        return EventBatch(events, count, has_fields, last_event_id)


def _parse_last_event(events: bytes) -> tuple[bool, bytes | None]:
    """Return whether there is an event with fields, and the id of the last one."""
    has_fields = False
    for line in reversed(events.splitlines()):
        if line.startswith(b"id:"):
            return True, line[3:].strip()
        if not line and has_fields:
            break
        if line and not line.startswith(b":"):
            has_fields = True
    return has_fields, None


def _find_last_event_end(buffer: bytearray, start: int) -> tuple[int, int]:
    """Return the position after the last complete event, and how many there are.

    The search begins at the position ``start``.
    """
    if buffer.find(b"\r", start) < 0:
        count = buffer.count(_EVENT_END_LF, start)
        return buffer.rfind(_EVENT_END_LF, start) + len(_EVENT_END_LF), count
    ends = [match.end() for match in _EVENT_END.finditer(buffer, start)]
    return (ends[-1], len(ends)) if ends else (0, 0)

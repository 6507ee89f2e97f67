"""Splits a stream into whole events, so that a cut never shows half of one."""

from dataclasses import dataclass

_EVENT_END = b"\n\n"


@dataclass(frozen=True)
class EventBatch:
    """Whole events and the id of the last one that has an id."""

    data: bytes
    last_event_id: bytes | None


class EventSplitter:
    """Collects bytes of an event stream and returns the whole events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial_event(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes; return the events that are whole now, if any."""
        self._buffer += data
        end = self._buffer.rfind(_EVENT_END)
        if end < 0:
            return None
        whole = bytes(self._buffer[: end + len(_EVENT_END)])
        del self._buffer[: end + len(_EVENT_END)]
        return EventBatch(whole, find_last_event_id(whole))


def find_last_event_id(events: bytes) -> bytes | None:
    """Return the value of the last ``id`` field, or None."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None

"""Forwards a stream of server-sent events to its caller, over one or more attempts."""

from typing import final

from bamboolever.calls.events import EventBatch, EventSplitter
from bamboolever.net.buffers import BufferBudget
from bamboolever.net.messages import BodyFraming, ResponseHead
from bamboolever.net.numbers import parse_whole_number
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import calls as wire

MAX_EVENT_BYTES = 2**20


@final
class EventStream:
    """One call's stream, as its caller has received it.

    ``last_event_id`` is the id after which the caller wants the stream, then that of
    the last forwarded event; None if there is none. ``is_position_known`` is False
    once the last forwarded event had no id. ``event_count`` counts the forwarded
    events. The memory of an incomplete event is taken from a shared budget.
    """

    def __init__(
        self,
        caller: ServerConnection,
        last_event_id: bytes | None,
        budget: BufferBudget,
    ):
        self._caller = caller
        self._budget = budget
        self._budgeted_bytes = 0
        self._is_over_budget = False
        self._splitter = EventSplitter()
        self.last_event_id = last_event_id
        self.is_position_known = True
        self.is_begun = False
        self.event_count = 0
        self._is_continuation = False
        self._is_out_of_order = False

    @property
    def resume_id(self) -> bytes | None:
        """The id after which another attempt goes on; None begins the stream."""
        return self.last_event_id if self.is_begun else None

    @property
    def partial_event_bytes(self) -> int:
        """How much of the next event the current attempt has received."""
        return self._splitter.partial_event_bytes

    @property
    def attempt_events(self) -> int:
        """How many events of the current attempt were forwarded."""
        return self._splitter.event_count

    @property
    def is_over_limit(self) -> bool:
        """Whether the next event is larger than `MAX_EVENT_BYTES` or the budget."""
        return self._is_over_budget or self.partial_event_bytes > MAX_EVENT_BYTES

    @property
    def is_malformed(self) -> bool:
        """Whether the current attempt sent what cannot follow in the stream."""
        return self._splitter.is_malformed or self._is_out_of_order

    def begin_attempt(self) -> None:
        """Drop what an earlier attempt left of an event."""
        self.release()
        self._splitter = EventSplitter()
        self._is_continuation = self.is_begun
        self._is_out_of_order = False

    def release(self) -> None:
        """Return the memory of the incomplete event to the budget."""
        self._budget.resize(self._budgeted_bytes, 0)
        self._budgeted_bytes = 0
        self._is_over_budget = False

    def _take_budget(self) -> None:
        size_bytes = self._splitter.buffered_bytes
        if self._budget.resize(self._budgeted_bytes, size_bytes):
            self._budgeted_bytes = size_bytes
        else:
            self._is_over_budget = True

    def begin(self, head: ResponseHead) -> None:
        """Send the head of the first response, unless that was done."""
        if self.is_begun:
            return
        self.is_begun = True
        self._caller.start(head.status, wire.response_headers(head))

    def forward(self, data: bytes, head: ResponseHead) -> bool:
        """Send the events that ``data`` completes; return whether there are any."""
        batch = self._splitter.feed(data)
        self._take_budget()
        if batch is None:
            return False
        is_first = self.attempt_events == batch.count
        if self._is_continuation and is_first and not self._is_next(batch):
            self._is_out_of_order = True
            return False
        self.begin(head)
        if batch.has_fields:
            self.last_event_id = batch.last_event_id
            self.is_position_known = batch.last_event_id is not None
        self.event_count += batch.count
        self._caller.send(batch.data)
        return True

    def _is_next(self, batch: EventBatch) -> bool:
        """Return whether a continuation begins behind the last forwarded event."""
        first, last = batch.first_event_id, self.last_event_id
        first_number, last_number = parse_whole_number(first), parse_whole_number(last)
        if first_number is None or last_number is None:
            return first != last or first is None
        return first_number > last_number

    def find_truncation(self, framing: BodyFraming) -> str | None:
        """Return how an attempt's response was truncated although it has ended.

        The framing proves nothing: an upstream may frame what it holds of an event,
        and where there is no framing, a lost upstream closes like a sound one.
        """
        if self.partial_event_bytes:
            return f"truncated: stream ended inside an event, framing {framing.value}"
        if self._splitter.event_count:
            return None
        if self._is_continuation:
            return "truncated: no event for the rest of the stream"
        if framing is BodyFraming.CONNECTION_CLOSE:
            return f"truncated: stream without an event, framing {framing.value}"
        return None

    def finish(self, head: ResponseHead) -> None:
        """Mark the stream as complete for its caller."""
        self.begin(head)
        self._caller.send(self._splitter.rest)
        self._caller.finish()

"""Fakes of an `IoTask` and a `ConnectionPool`, without a clock and sockets."""

import heapq
import itertools
import json
from urllib.parse import parse_qs, urlsplit

from bamboolever.net.buffers import BufferBudget
from bamboolever.net.messages import ResponseHead

# Size of the parts in which a `SlowStore` sends a body.
PART_BYTES = 16384


class ManualTimer:
    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class ManualTask:
    """A task whose time passes only in `advance`; it starts at 100 seconds."""

    def __init__(self):
        self._now = 100.0
        self._order = itertools.count()
        self._due = []

    def now(self):
        return self._now

    def call_later(self, delay_s, action):
        timer = ManualTimer()
        scheduled = (self._now + delay_s, next(self._order), timer, action)
        heapq.heappush(self._due, scheduled)
        return timer

    def advance(self, duration_s):
        end = self._now + duration_s
        while self._due and self._due[0][0] <= end:
            self._now, _, timer, action = heapq.heappop(self._due)
            if not timer.is_cancelled:
                action()
        self._now = end


class ManualPool:
    """A pool that records requests; `respond` completes one with JSON."""

    def __init__(self, task):
        self.task = task
        self.buffers = BufferBudget()
        self.requests = []
        self.sent = []

    def send(self, address, request, handler):
        self.requests.append(request)
        self.sent.append((request.target.decode(), handler))
        return ManualConnection()

    def respond(self, index, *, era=None, status=200, **content):
        body = json.dumps({"at": 1, **content}).encode()
        handler = self.sent[index][1]
        headers = () if era is None else ((b"store-era", str(era).encode()),)
        handler.on_head(ResponseHead(status, headers))
        handler.on_data(body)
        handler.on_end()

    @property
    def targets(self):
        return [target for target, _ in self.sent]


class ManualConnection:
    def cancel(self):
        pass


class StoreCall:
    """One call to a `SlowStore`, until its response is complete or it is cancelled."""

    def __init__(self, target, handler):
        self.target = target
        self.handler = handler
        self.is_cancelled = False
        self.is_answered = False

    def cancel(self):
        self.is_cancelled = not self.is_answered


class SlowStore:
    """A pool and the store behind it, which answers late and over a narrow link.

    The store answers as it is when a call arrives, or when what a watch waits for
    happens. The head of the response arrives ``response_s`` later, and its body in
    parts at ``bytes_per_s``, shared by the responses in flight. While ``is_cut``, calls
    get no response.
    """

    def __init__(self, task, *, response_s, bytes_per_s=1e9):
        self.task = task
        self.buffers = BufferBudget()
        self.response_s = response_s
        self.bytes_per_s = bytes_per_s
        self.is_cut = False
        self.revision = 1
        self.calls = []
        self.sent_bytes = 0
        self._link_free_at = 0.0
        self._held = None
        self._events = []
        self._waiting = []

    def put(self, name, size=0, specification=None):
        """Write an object, by default one of about ``size`` bytes.

        The history keeps each version.
        """
        self._write(name, specification or {"text": "x" * size}, is_deleted=False)

    def delete(self, name):
        """Remove an object."""
        self._write(name, {}, is_deleted=True)

    def _write(self, name, specification, *, is_deleted):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        value = {"metadata": metadata, "specification": specification}
        self._events.append({"object": value, "deleted": is_deleted})
        waiting, self._waiting = self._waiting, []
        for call, after in waiting:
            self._answer_watch(call, after)

    def send(self, address, request, handler):
        target = request.target.decode()
        call = StoreCall(target, handler)
        self.calls.append(call)
        if self._held is not None:
            self._held.append((self.task.now(), call))
        elif not self.is_cut:
            self._receive(call)
        return call

    def fall_silent(self):
        """Lose the watches that wait, and hold the calls that come."""
        self._waiting = []
        self._held = []

    def come_back(self, lost_s):
        """Answer the calls of the silence, but lose those of its last ``lost_s``."""
        held, self._held = self._held, None
        for sent_at, call in held:
            if not call.is_cancelled and sent_at < self.task.now() - lost_s:
                self._receive(call)

    def _receive(self, call):
        query = parse_qs(urlsplit(call.target).query)
        if "watch" not in query:
            newest = {each["object"]["metadata"]["name"]: each for each in self._events}
            items = [
                event["object"] for event in newest.values() if not event["deleted"]
            ]
            self._answer(call, {"items": items, "at": self.revision})
            return
        after = int(query["watch"][0])
        if after < self.revision:
            self._answer_watch(call, after)
            return
        self._waiting.append((call, after))
        wait_s = int(query["waitMs"][0]) / 1000
        self.task.call_later(wait_s, lambda: self._end_wait(call, after))

    @property
    def in_flight(self):
        """The calls that were neither answered nor given up."""
        return [
            call
            for call in self.calls
            if not call.is_answered and not call.is_cancelled
        ]

    @property
    def cancelled(self):
        """The calls that were given up before their responses were complete."""
        return [call for call in self.calls if call.is_cancelled]

    def _end_wait(self, call, after):
        if (call, after) in self._waiting:
            self._waiting.remove((call, after))
            self._answer_watch(call, after)

    def _answer_watch(self, call, after):
        events = [
            event
            for event in self._events
            if event["object"]["metadata"]["revision"] > after
        ]
        self._answer(call, {"events": events, "at": self.revision})

    def _answer(self, call, content):
        body = json.dumps(content).encode()
        parts = [
            body[start : start + PART_BYTES]
            for start in range(0, len(body), PART_BYTES)
        ]
        length = str(len(body)).encode()

        def pass_on(part):
            if call.is_cancelled or self.is_cut:
                return
            if part == 0:
                head = ResponseHead(200, ((b"content-length", length),))
                call.handler.on_head(head)
            if call.is_cancelled:
                return
            call.handler.on_data(parts[part])
            if part + 1 < len(parts):
                self._send_part(len(parts[part + 1]), lambda: pass_on(part + 1))
            elif not call.is_cancelled:
                call.is_answered = True
                call.handler.on_end()

        def start():
            self._send_part(len(parts[0]), lambda: pass_on(0))

        self.task.call_later(self.response_s, start)

    def _send_part(self, size, action):
        now = self.task.now()
        self.sent_bytes += size
        self._link_free_at = max(now, self._link_free_at) + size / self.bytes_per_s
        self.task.call_later(self._link_free_at - now, action)

"""Fakes of an `IoTask` and a `ConnectionPool`, without a clock and sockets."""

import heapq
import itertools
import json

from bamboolever.net.messages import ResponseHead


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
    """A pool that records requests; `respond` completes one with a 200 and JSON."""

    def __init__(self, task):
        self.task = task
        self.sent = []

    def send(self, address, request, handler):
        self.sent.append((request.target.decode(), handler))
        return ManualConnection()

    def respond(self, index, *, era=None, **content):
        body = json.dumps({"at": 1, **content}).encode()
        handler = self.sent[index][1]
        headers = () if era is None else ((b"store-era", str(era).encode()),)
        handler.on_head(ResponseHead(200, headers))
        handler.on_data(body)
        handler.on_end()

    @property
    def targets(self):
        return [target for target, _ in self.sent]


class ManualConnection:
    def cancel(self):
        pass

"""Replays requests to a plain service over the dispatchers of several entries.

No sockets and no real clock. Each upstream serves up to its slots at once, first come,
first served, and is slow during a part of the time. Entries tell each other their loads
with a delay.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from sitebuilders import make_pending, make_record

from bamboolever.calls.dispatcher import Assignment, ServiceDispatcher
from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.placement import PlainServicePolicy
from bamboolever.calls.upstream import UpstreamView
from bamboolever.fleet.records import StatedLoad
from bamboolever.fleet.versions import VersionRollouts

SLOTS = 6
LOAD_INTERVAL_S = 0.04
HOP_S = 0.001
REDRAW_S = 0.6
SLOW_SHARE = 0.15
SLOWNESS = 2.5
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
STATEMENT_INTERVAL_S = 0.05


@dataclass
class ReplayedRequest:
    """One request, the work that it takes and how long it took from its arrival."""

    call_id: int
    entry: int
    arrived_at: float
    work_s: float
    total_s: float | None = None
    is_rejected: bool = False


@dataclass
class ReplayedUpstream:
    """An upstream with `SLOTS` slots; ``slowness`` applies to work that begins."""

    slowness: float = 1.0
    history: list = field(default_factory=list)
    running: int = 0
    queue: deque = field(default_factory=deque)

    @property
    def stated(self):
        return StatedLoad(self.running, len(self.queue), SLOTS, self.slowness)

    def slowness_of(self, time):
        return next((value for at, value in reversed(self.history) if at <= time), 1.0)


class PlainReplay:
    """Entries that share the upstreams of a plain service.

    ``lag_s`` is how late all entries know the slowness of all upstreams. With
    ``is_stated`` they know what upstreams state with responses; with neither, nothing.
    """

    def __init__(
        self, *, entries, upstreams, arrivals, lag_s=None, is_stated=False, seed=0
    ):
        self.random = random.Random(seed)
        self.arrivals = arrivals
        self.lag_s = lag_s
        self.is_stated = is_stated
        self.duration_s = arrivals[-1].arrived_at
        self.upstreams = [ReplayedUpstream() for _ in range(upstreams)]
        self.requests = {each.call_id: each for each in arrivals}
        self.views = [
            [
                UpstreamView(make_record(f"up-{n}", slots=SLOTS))
                for n in range(upstreams)
            ]
            for _ in range(entries)
        ]
        self.dispatchers = [
            self._make_dispatcher(number, views)
            for number, views in enumerate(self.views)
        ]
        self.sent_loads = [[0] * upstreams for _ in range(entries)]
        self.events = []
        self.order = itertools.count()

    def _make_dispatcher(self, number, views):
        policy = PlainServicePolicy(lambda _view: 0.0, seed=number)
        dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0), seed=number)
        dispatcher.set_upstreams(views)
        return dispatcher

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self):
        for request in self.arrivals:
            self.at(request.arrived_at, self._arrive, request)
        for number in range(len(self.upstreams)):
            self.at(self.random.uniform(0, REDRAW_S), self._redraw, number)
        for entry in range(len(self.views)):
            self.at(self.random.uniform(0, LOAD_INTERVAL_S), self._send_load, entry)
        if self.lag_s is not None:
            self.at(0.0, self._state_all)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self

    def find_percentile_s(self, percent):
        served = sorted(
            each.total_s for each in self.arrivals if each.total_s is not None
        )
        return served[int(percent / 100 * (len(served) - 1))]

    @property
    def mean_s(self):
        served = [each.total_s for each in self.arrivals if each.total_s is not None]
        return sum(served) / len(served)

    @property
    def rejected(self):
        return sum(each.is_rejected for each in self.arrivals)

    # Entries.

    def _arrive(self, now, request):
        pending = make_pending(
            request.call_id, arrived_at=now, target_at=now + 0.335, timeout_at=now + 3
        )
        pending.model = None
        self._apply(
            now, request.entry, self.dispatchers[request.entry].submit(pending, now)
        )

    def _apply(self, now, entry, decisions):
        for decision in decisions:
            request = self.requests[decision.call.call_id]
            if not isinstance(decision, Assignment):
                request.is_rejected = True
                continue
            number = self.views[entry].index(decision.placement.upstream)
            self.at(now + HOP_S, self._reach, number, request)
        expiry_at = self.dispatchers[entry].next_expiry_at()
        if expiry_at is not None:
            self.at(max(now, expiry_at) + 1e-4, self._place, entry)

    def _place(self, now, entry):
        self._apply(now, entry, self.dispatchers[entry].place_waiting(now))

    def _send_load(self, now, entry):
        if now > self.duration_s + 1:
            return
        self.at(now + LOAD_INTERVAL_S, self._send_load, entry)
        for number, view in enumerate(self.views[entry]):
            change = len(view.calls) - self.sent_loads[entry][number]
            self.sent_loads[entry][number] += change
            if change:
                self.at(now + HOP_S, self._hear_load, entry, number, change)

    def _hear_load(self, now, sender, number, change):
        for entry, views in enumerate(self.views):
            if entry != sender:
                load = EngineLoad(views[number].peer_load.writing + change)
                views[number].update_peer_load(load, now, 0.0)

    def _state_all(self, now):
        if now > self.duration_s + 1:
            return
        self.at(now + STATEMENT_INTERVAL_S, self._state_all)
        as_of = now - self.lag_s
        for number, upstream in enumerate(self.upstreams):
            load = StatedLoad(0, 0, SLOTS, upstream.slowness_of(as_of))
            for views in self.views:
                views[number].on_stated_load(load, as_of)

    # Upstreams.

    def _redraw(self, now, number):
        if now > self.duration_s + 1:
            return
        upstream = self.upstreams[number]
        is_slow = self.random.random() < SLOW_SHARE
        upstream.slowness = SLOWNESS if is_slow else 1.0
        upstream.history.append((now, upstream.slowness))
        self.at(now + REDRAW_S, self._redraw, number)

    def _reach(self, now, number, request):
        self.upstreams[number].queue.append(request)
        self._begin(now, number)

    def _begin(self, now, number):
        upstream = self.upstreams[number]
        while upstream.queue and upstream.running < SLOTS:
            request = upstream.queue.popleft()
            upstream.running += 1
            done_at = now + request.work_s * upstream.slowness
            self.at(done_at, self._end, number, request)

    def _end(self, now, number, request):
        upstream = self.upstreams[number]
        upstream.running -= 1
        self.at(now + HOP_S, self._respond, number, request, upstream.stated)
        self._begin(now, number)

    def _respond(self, now, number, request, stated):
        view = self.views[request.entry][number]
        view.remove_call(request.call_id)
        if self.is_stated:
            view.on_stated_load(stated, now)
        request.total_s = now - request.arrived_at
        self._place(now, request.entry)


def make_requests(*, per_s, duration_s, entries, work_s, seed=0):
    """Return requests at random times; some take `TAIL_FACTOR` times as long."""
    source = random.Random(seed)
    requests, now = [], 0.0
    for call_id in itertools.count(1):
        now += source.expovariate(per_s)
        if now >= duration_s:
            return requests
        is_tail = source.random() < TAIL_SHARE
        work = work_s * (TAIL_FACTOR if is_tail else 1.0)
        entry = source.randrange(entries)
        requests.append(ReplayedRequest(call_id, entry, now, work))

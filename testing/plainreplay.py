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
from bamboolever.calls.hedging import ServiceHedging
from bamboolever.calls.placement import Placement, PlainServicePolicy
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
    is_tail: bool = False
    is_idempotent: bool = False
    total_s: float | None = None
    is_rejected: bool = False
    attempts: list = field(default_factory=list)


@dataclass(eq=False)
class ReplayedAttempt:
    """One attempt of a request at the upstream with this number."""

    request: ReplayedRequest
    number: int
    sent_at: float
    is_tail: bool
    is_cancelled: bool = False


@dataclass
class ReplayedUpstream:
    """An upstream with `SLOTS` slots; ``slowness`` applies to work that begins."""

    slowness: float = 1.0
    history: list = field(default_factory=list)
    running: set = field(default_factory=set)
    queue: deque = field(default_factory=deque)

    @property
    def stated(self):
        return StatedLoad(len(self.running), len(self.queue), SLOTS, self.slowness)

    def slowness_of(self, time):
        return next((value for at, value in reversed(self.history) if at <= time), 1.0)


class PlainReplay:
    """Entries that share the upstreams of a plain service.

    ``lag_s`` is how late all entries know the slowness of all upstreams. With
    ``is_stated`` they know what upstreams state with responses; with neither, nothing.
    With a ``hedge_share`` they send hedged requests. What takes long is an attempt, or
    with ``is_tail_of_request`` the request wherever it runs.
    """

    def __init__(
        self,
        *,
        entries,
        upstreams,
        arrivals,
        lag_s=None,
        is_stated=False,
        hedge_share=0.0,
        is_tail_of_request=True,
        seed=0,
    ):
        self.hedging = [ServiceHedging(hedge_share) for _ in range(entries)]
        self.hedge_share = hedge_share
        self.is_tail_of_request = is_tail_of_request
        self.hedges = self.won = 0
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

    def find_percentile_s(self, percent, *, is_idempotent=None):
        served = sorted(
            each.total_s
            for each in self.arrivals
            if each.total_s is not None and is_idempotent in (None, each.is_idempotent)
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

    def _make_pending(self, now, request):
        return make_pending(
            request.call_id,
            arrived_at=now,
            target_at=now + 0.335,
            timeout_at=now + 3,
            model=None,
            tried={f"up-{each.number}" for each in request.attempts},
        )

    def _arrive(self, now, request):
        pending = self._make_pending(now, request)
        decisions = self.dispatchers[request.entry].submit(pending, now)
        self._apply(now, request.entry, decisions)

    def _apply(self, now, entry, decisions):
        for decision in decisions:
            request = self.requests[decision.call.call_id]
            if not isinstance(decision, Assignment):
                request.is_rejected = True
                continue
            self._send(now, request, decision.placement)
            hedging = self.hedging[entry]
            hedging.on_first_attempt()
            delay_s = hedging.find_delay_s(now) if self.hedge_share else None
            if request.is_idempotent and delay_s is not None:
                self.at(now + delay_s, self._find_slow, request)
        expiry_at = self.dispatchers[entry].next_expiry_at()
        if expiry_at is not None:
            self.at(max(now, expiry_at) + 1e-4, self._place, entry)

    def _send(self, now, request, placement):
        number = self.views[request.entry].index(placement.upstream)
        is_tail = request.is_tail
        if not self.is_tail_of_request:
            is_tail = self.random.random() < TAIL_SHARE
        attempt = ReplayedAttempt(request, number, now, is_tail)
        request.attempts.append(attempt)
        self.at(now + HOP_S, self._reach, attempt)

    def _find_slow(self, now, request):
        hedging = self.hedging[request.entry]
        if request.total_s is not None or not hedging.has_token:
            return
        dispatcher = self.dispatchers[request.entry]
        pending = self._make_pending(now, request)
        placement = dispatcher.choose_hedge(pending, now)
        if isinstance(placement, Placement):
            hedging.take_token()
            dispatcher.assign_chosen(pending, placement, now)
            self.hedges += 1
            self._send(now, request, placement)

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

    def _reach(self, now, attempt):
        if not attempt.is_cancelled:
            self.upstreams[attempt.number].queue.append(attempt)
            self._begin(now, attempt.number)

    def _begin(self, now, number):
        upstream = self.upstreams[number]
        while upstream.queue and len(upstream.running) < SLOTS:
            attempt = upstream.queue.popleft()
            upstream.running.add(attempt)
            work_s = attempt.request.work_s * (TAIL_FACTOR if attempt.is_tail else 1.0)
            self.at(now + work_s * upstream.slowness, self._end, attempt)

    def _end(self, now, attempt):
        upstream = self.upstreams[attempt.number]
        if attempt not in upstream.running:
            return
        upstream.running.remove(attempt)
        self.at(now + HOP_S, self._respond, attempt, upstream.stated)
        self._begin(now, attempt.number)

    def _drop(self, now, attempt):
        upstream = self.upstreams[attempt.number]
        upstream.running.discard(attempt)
        if attempt in upstream.queue:
            upstream.queue.remove(attempt)
        self._begin(now, attempt.number)

    def _respond(self, now, attempt, stated):
        request = attempt.request
        if attempt.is_cancelled:
            return
        request.total_s = now - request.arrived_at
        views = self.views[request.entry]
        if self.is_stated:
            views[attempt.number].on_stated_load(stated, now)
        for each in request.attempts:
            views[each.number].remove_call(request.call_id)
            if each is not attempt:
                each.is_cancelled = True
                self.at(now + HOP_S, self._drop, each)
        self.won += attempt is not request.attempts[0]
        elapsed_s = now - request.attempts[0].sent_at
        self.hedging[request.entry].on_response(elapsed_s, now)
        self._place(now, request.entry)


def make_requests(*, per_s, duration_s, entries, work_s, idempotent_share=0.0, seed=0):
    """Return requests at random times; some take `TAIL_FACTOR` times as long."""
    source = random.Random(seed)
    requests, now = [], 0.0
    for call_id in itertools.count(1):
        now += source.expovariate(per_s)
        if now >= duration_s:
            return requests
        is_tail = source.random() < TAIL_SHARE
        is_idempotent = idempotent_share > 0 and source.random() < idempotent_share
        entry = source.randrange(entries)
        requests.append(
            ReplayedRequest(call_id, entry, now, work_s, is_tail, is_idempotent)
        )

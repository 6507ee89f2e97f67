"""Replays arrivals over the dispatchers of several entries and a model of engines.

No sockets and no real clock: the entries tell each other their loads with a delay, and
each engine prefills and decodes in passes, as its profile says.
"""

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field

from sitebuilders import make_pending, make_profile, make_record

from bamboolever._subset import score_member
from bamboolever.calls.coldstart import ColdStartScope
from bamboolever.calls.dispatcher import Assignment, ServiceDispatcher
from bamboolever.calls.engine import (
    EngineLoad,
    add_loads,
    full_pass_s,
    pass_duration_s,
)
from bamboolever.calls.placement import (
    OTHER_REGION_PENALTY_S,
    PredictedLatencyPolicy,
)
from bamboolever.calls.upstream import UpstreamView
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.platform.standins.upstream import MODEL

LOAD_INTERVAL_S = 0.04
HOP_S = 0.003
TARGET_S = 0.5
TIMEOUT_S = 6.0


@dataclass
class ReplayedCall:
    """One request, by whom it was taken and when its first event came."""

    call_id: int
    entry: int
    arrived_at: float
    prompt_tokens: int
    output_tokens: int
    first_event_at: float | None = None
    begun_at: float | None = None
    is_dropped: bool = False
    left_tokens: int = 0
    unread_tokens: int = 0
    is_rejected: bool = False
    priority: int = 0
    allowed_regions: frozenset | None = None

    @property
    def is_on_time(self):
        first_at = self.first_event_at
        return first_at is not None and first_at - self.arrived_at <= TARGET_S


@dataclass
class ReplayedEngine:
    """An engine that serves up to its profile's slots and queues the rest."""

    profile: object
    running: list = field(default_factory=list)
    queue: deque = field(default_factory=deque)
    is_busy: bool = False
    most_at_once: int = 0
    arrivals: list = field(default_factory=list)

    def add(self, call):
        self.queue.append(call)
        self.most_at_once = max(self.most_at_once, len(self.queue) + len(self.running))

    def begin_pass(self):
        """Return the duration of the next pass and the calls that get an event."""
        self.running = [call for call in self.running if not call.is_dropped]
        while self.queue and len(self.running) < self.profile.slots:
            self.running.append(self.queue.popleft())
        chunk = self.profile.chunk_tokens
        read = 0
        for call in self.running:
            part = min(call.unread_tokens, chunk - read)
            call.unread_tokens -= part
            read += part
        writers = [call for call in self.running if not call.unread_tokens]
        duration_s = read / self.profile.prefill_tokens_per_s
        if writers:
            duration_s += pass_duration_s(self.profile, len(writers))
        return duration_s, writers


class LoadReplay:
    """Entries that share engines; ``arrivals`` are calls in the order of their time.

    The version of all engines expires at ``expires_at``, if that is given. The last
    engine begins to serve at ``last_opens_at``. The first ``cold_engines`` engines have
    just started; ``cold`` is the bound of all. ``regions`` are those of the engines,
    ``entry_regions`` those of the entries. Engines in ``dead_regions`` take no calls.
    """

    def __init__(
        self,
        *,
        entries,
        engines,
        arrivals,
        seed=0,
        expires_at=None,
        last_opens_at=0.0,
        cold=None,
        cold_engines=0,
        regions=None,
        entry_regions=None,
        dead_regions=(),
        **profile,
    ):
        self.cold = cold
        self.cold_engines = cold_engines
        self.entry_count = entries
        self.expires_at = expires_at
        self.last_opens_at = last_opens_at
        self.regions = regions or [None] * engines
        self.entry_regions = entry_regions or [None] * entries
        self.dead_regions = dead_regions
        self.placed = []
        self.withdrawn = 0
        self.profile = make_profile(**profile)
        self.engines = [ReplayedEngine(self.profile) for _ in range(engines)]
        self.random = random.Random(seed)
        self.staggers = random.Random(seed)
        self.arrivals = arrivals
        self.calls = {call.call_id: call for call in arrivals}
        self.views = [self._make_views(number) for number in range(entries)]
        self.dispatchers = [
            self._make_dispatcher(number, views)
            for number, views in enumerate(self.views)
        ]
        self.told = [dict() for _ in range(entries)]
        self.events = []
        self.order = itertools.count()
        self.is_load_due = [False] * entries
        self.load_sent_at = [-1.0] * entries
        self.expiry_at = [-1.0] * entries

    def _make_views(self, entry):
        scope = ColdStartScope()
        scope.note_entries(self.entry_count, 0.0)
        views = []
        for number in range(len(self.engines)):
            is_cold = number < self.cold_engines
            record = make_record(
                f"engine-{number}",
                slots=self.profile.slots,
                cold_remaining_s=self.cold.cold_s if is_cold else 0.0,
            )
            views.append(UpstreamView(record))
            views[-1].cold.configure(
                self.cold,
                scope,
                name=record.instance_id,
                seed=score_member(record.instance_id, f"entry-{entry}"),
                is_in_cell=True,
            )
            views[-1].cold.on_record(record, 0.0)
        for view, region in zip(views, self.regions, strict=True):
            view.round_trip_s = 2 * HOP_S
            view.full_pass_s = full_pass_s(self.profile)
            view.region = region
            view.is_leaving = region in self.dead_regions
            view.claims.stagger = self.staggers.random()
            view.claims.sharing = self.entry_count
        if self.last_opens_at:
            views[-1].switching_until = self.last_opens_at
            views[-1].claims.on_opened(self.last_opens_at)
        return views

    def _make_dispatcher(self, number, views):
        own_region = self.entry_regions[number]

        def penalty_s(view):
            return 0.0 if view.region == own_region else OTHER_REGION_PENALTY_S

        policy = PredictedLatencyPolicy(self.profile, penalty_s)
        versions = VersionRollouts(8.0)
        if self.expires_at is not None:
            versions.add(MODEL, 2, self.expires_at - 8.0)
        dispatcher = ServiceDispatcher(policy, versions, seed=number)
        dispatcher.set_upstreams(views)
        dispatcher.region_reserve.entry_count = len(self.views)
        return dispatcher

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self):
        for call in self.arrivals:
            self.at(call.arrived_at, self._arrive, call)
        if self.last_opens_at:
            for entry in range(self.entry_count):
                self.at(self.last_opens_at + HOP_S, self._place, entry)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self

    @property
    def on_time(self):
        return sum(call.is_on_time for call in self.calls.values()) / len(self.calls)

    @property
    def late(self):
        served = [c for c in self.calls.values() if c.first_event_at is not None]
        return sum(not call.is_on_time for call in served) / len(self.calls)

    @property
    def most_at_once(self):
        return max(engine.most_at_once for engine in self.engines)

    # Entries.

    def _arrive(self, now, call):
        pending = make_pending(
            call.call_id,
            arrived_at=now,
            target_at=now + TARGET_S,
            timeout_at=now + TIMEOUT_S,
            prompt_tokens=call.prompt_tokens,
            priority=call.priority,
            allowed_regions=call.allowed_regions,
        )
        self._apply(now, call.entry, self.dispatchers[call.entry].submit(pending, now))

    def _place(self, now, entry):
        self._apply(now, entry, self.dispatchers[entry].place_waiting(now))

    def _apply(self, now, entry, decisions):
        for decision in decisions:
            call = self.calls[decision.call.call_id]
            if not isinstance(decision, Assignment):
                call.is_rejected = True
                continue
            number = self.views[entry].index(decision.placement.upstream)
            self.placed.append((now, call.call_id, number))
            self.at(now + HOP_S, self._reach, number, call)
            begin_by = decision.placement.upstream.begin_by
            if begin_by < math.inf:
                self.at(begin_by, self._withdraw, number, call)
            self._schedule_load(now, entry)
        self._schedule_expiry(now, entry)

    def _schedule_expiry(self, now, entry):
        expiry_at = self.dispatchers[entry].next_expiry_at()
        if expiry_at is None or now < self.expiry_at[entry] <= expiry_at + 1e-4:
            return
        self.expiry_at[entry] = max(now, expiry_at) + 1e-4
        self.at(self.expiry_at[entry], self._place, entry)

    def _schedule_load(self, now, entry):
        if self.is_load_due[entry]:
            return
        self.is_load_due[entry] = True
        due_at = max(now, self.load_sent_at[entry] + LOAD_INTERVAL_S)
        self.at(due_at, self._send_load, entry)

    def _send_load(self, now, entry):
        self.is_load_due[entry] = False
        self.load_sent_at[entry] = now
        loads = [view.own_load for view in self.views[entry]]
        for other in range(len(self.views)):
            if other != entry:
                hop_s = HOP_S * self.random.uniform(0.5, 1.5)
                self.at(now + hop_s, self._hear_load, other, entry, loads)

    def _hear_load(self, now, entry, sender, loads):
        self.told[entry][sender] = loads
        for number, view in enumerate(self.views[entry]):
            total = EngineLoad()
            for each in self.told[entry].values():
                total = add_loads(total, each[number])
            view.update_peer_load(total, now, self.random.random())
        if self.dispatchers[entry].queue_length:
            self._place(now, entry)

    def _withdraw(self, now, number, call):
        if call.first_event_at is not None and call.first_event_at <= now:
            return
        self.withdrawn += 1
        self.views[call.entry][number].remove_call(call.call_id)
        self._schedule_load(now, call.entry)
        self.at(now + HOP_S, self._drop, number, call)

    # Engines.

    def _drop(self, now, number, call):
        # A pass that is under way is completed.
        call.is_dropped = True
        if call in self.engines[number].queue:
            self.engines[number].queue.remove(call)

    def _reach(self, now, number, call):
        call.left_tokens = call.output_tokens
        call.unread_tokens = call.prompt_tokens
        engine = self.engines[number]
        engine.arrivals.append(now)
        engine.add(call)
        if not engine.is_busy:
            engine.is_busy = True
            self._run_pass(now, number)

    def _run_pass(self, now, number):
        engine = self.engines[number]
        duration_s, writers = engine.begin_pass()
        if not engine.running:
            engine.is_busy = False
            return
        self.at(now + duration_s, self._end_pass, number, writers)

    def _end_pass(self, now, number, writers):
        engine = self.engines[number]
        for call in writers:
            view = self.views[call.entry][number]
            if call.first_event_at is None:
                call.begun_at = now
                call.first_event_at = now + HOP_S
                view.on_first_event(call.call_id)
            call.left_tokens -= self.profile.steps_per_pass
            if call.left_tokens <= 0:
                engine.running.remove(call)
                self.at(now + HOP_S, self._finish, number, call)
        self._run_pass(now, number)

    def _finish(self, now, number, call):
        self.views[call.entry][number].remove_call(call.call_id)
        self._schedule_load(now, call.entry)
        self._place(now, call.entry)


def make_arrivals(*, per_s, duration_s, entries, seed=0):
    """Return calls at random times with short and long prompts."""
    source = random.Random(seed)
    calls, now = [], 0.0
    for call_id in itertools.count(1):
        now += source.expovariate(per_s)
        if now >= duration_s:
            return calls
        prompt = source.choice((240, 500, 900, 1300, 2000, 3800))
        calls.append(
            ReplayedCall(
                call_id,
                entry=source.randrange(entries),
                arrived_at=now,
                prompt_tokens=prompt,
                output_tokens=source.choice((40, 72, 90, 130)),
            )
        )

"""Replays requests whose parts crash engines, over several entries' crash reports.

No sockets and no real clock: datagrams take a random time and may be lost. An engine
begins a request some time after it was sent, and ends as it begins one with a crashing
part; it is back, as another process, some seconds later.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import (
    FREE,
    WELL_BEGUN_EVENTS,
    PartState,
    PartVerdict,
    PromptParts,
)
from bamboolever.daemons.crashreports import CrashReports
from bamboolever.fleet import exchange

MAX_HOP_S = 0.004
EVENT_GAP_S = 0.06
EVENTS = 18
MAX_QUEUE_WAIT_S = 0.4
# How long after it has begun a request with a crashing part ends its engine.
MAX_CRASH_DELAY_S = 0.1
# How long it takes until an agent has told the entries.
MAX_EVIDENCE_DELAY_S = 0.25
DOWN_S = 3.0
PATIENCE_S = 0.2
REPEAT_INTERVAL_S = 0.5
MAX_ATTEMPTS = 2


@dataclass(eq=False)
class ReplayedRequest:
    """One request; the engine of its attempt, and the events that it has received."""

    number: int
    entry: int
    arrived_at: float
    parts: tuple
    prompt: PromptParts = PromptParts()
    engine: "ReplayedEngine | None" = None
    sent_at: float = 0.0
    events: int = 0
    attempts: int = 0
    outcome: str = ""


@dataclass(eq=False)
class ReplayedEngine:
    """One process of an engine; its key differs after a restart."""

    key: int
    requests: list = field(default_factory=list)
    is_up: bool = True


class CrashReplay:
    """Entries that share engines; ``arrivals`` are requests in the order of their time.

    ``crashing`` are the parts that crash engines. The share ``loss`` of the datagrams
    is lost. ``outages`` are times at which a share of the engines ends of itself, and
    ``restarts`` times at which an entry does. The callers of the share ``give_up`` of
    the requests leave after `PATIENCE_S`.
    """

    def __init__(
        self,
        arrivals,
        crashing,
        *,
        entries=4,
        engines=8,
        loss=0.0,
        outages=(),
        restarts=(),
        give_up=0.0,
        seed=0,
    ):
        self.random = random.Random(seed)
        self.crashing = frozenset(crashing)
        self.loss = loss
        self.now = 0.0
        self.order = itertools.count()
        self.keys = itertools.count(1)
        self.events = []
        self.engines = [ReplayedEngine(next(self.keys)) for _ in range(engines)]
        self.entries = [self._make_entry(number) for number in range(entries)]
        # Times at which engines ended, and at which requests were sent, by part.
        self.crashed_at = {part: [] for part in self.crashing}
        self.sent_at = {part: [] for part in self.crashing}
        self.requests = arrivals
        for request in arrivals:
            self.at(request.arrived_at, self._arrive, request)
            if self.random.random() < give_up:
                self.at(request.arrived_at + PATIENCE_S, self._leave, request)
        for time, share in outages:
            self.at(time, self._end_share, share)
        for time, number in restarts:
            self.at(time, self._restart_entry, number)
        for number in range(entries):
            offset_s = self.random.uniform(0, REPEAT_INTERVAL_S)
            self.at(offset_s, self._repeat, number)
        self.ends_at = arrivals[-1].arrived_at + 5.0

    def run(self):
        while self.events and self.events[0][0] < self.ends_at:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def count_sent_after(self, part, crashes, delay_s):
        """Return how many requests were sent ``delay_s`` after that many crashes."""
        crashed_at = self.crashed_at[part]
        if len(crashed_at) < crashes:
            return 0
        limit = crashed_at[crashes - 1] + delay_s
        return sum(sent_at > limit for sent_at in self.sent_at[part])

    def served_share(self, part, *, after=0.0):
        """Return the share of the sound requests with ``part`` that were answered."""
        outcomes = [
            request.outcome
            for request in self.requests
            if part in request.parts
            and not self.crashing & set(request.parts)
            and request.arrived_at > after
        ]
        return outcomes.count("served") / len(outcomes)

    # Entries.

    def _make_entry(self, number):
        def send(report):
            data = exchange.encode(report)
            for other in range(len(self.entries)):
                if other != number and self.random.random() >= self.loss:
                    hop_s = self.random.uniform(0, MAX_HOP_S)
                    self.at(self.now + hop_s, self._receive, other, data)

        return CrashReports(lambda: self.now, Telemetry(f"entry-{number}"), send)

    def _receive(self, number, data):
        self.entries[number].apply(exchange.decode(data))

    def _repeat(self, number):
        self.entries[number].repeat()
        self.at(self.now + REPEAT_INTERVAL_S, self._repeat, number)

    def _restart_entry(self, number):
        for request in self.requests:
            if request.entry == number and request.engine is not None:
                request.engine.requests.remove(request)
                request.engine, request.outcome = None, "cut"
        self.entries[number] = self._make_entry(number)

    def _arrive(self, request):
        reports = self.entries[request.entry]
        prompt = PromptParts.from_ids("model", request.parts)
        decision = reports.decide(prompt)
        if reports.tracker.is_blocked(request.number, self.now):
            request.outcome = "poison"
            return
        if decision.verdict in (PartVerdict.BLOCKED, PartVerdict.WAIT):
            request.outcome = decision.verdict.value
            return
        request.prompt = PromptParts(prompt.ids, prompt.digests, decision.parts)
        self._send(request)

    def _send(self, request):
        running = [engine for engine in self.engines if engine.is_up]
        if not running:
            self._end(request, "no-upstream")
            return
        engine = min(running, key=lambda each: len(each.requests))
        self.entries[request.entry].begin_trial(request.prompt)
        request.attempts += 1
        request.engine, request.sent_at, request.events = engine, self.now, 0
        engine.requests.append(request)
        for part in self.crashing & set(request.parts):
            self.sent_at[part].append(self.now)
        wait_s = self.random.uniform(0.01, MAX_QUEUE_WAIT_S)
        self.at(self.now + wait_s, self._begin, request, engine)

    def _leave(self, request):
        if request.engine is not None:
            request.engine.requests.remove(request)
            self._end(request, "caller-gone")

    def _end(self, request, outcome):
        request.outcome = outcome
        request.engine = None
        self.entries[request.entry].end_trial(request.prompt)

    # Engines.

    def _begin(self, request, engine):
        if request.engine is not engine:
            return
        if self.crashing & set(request.parts):
            delay_s = self.random.uniform(0.03, MAX_CRASH_DELAY_S)
            self.at(self.now + delay_s, self._crash, request, engine)
            return
        self.at(self.now + EVENT_GAP_S, self._send_event, request, engine)

    def _send_event(self, request, engine):
        if request.engine is not engine:
            return
        request.events += 1
        reports = self.entries[request.entry]
        if request.events == WELL_BEGUN_EVENTS:
            reports.clear_parts(request.prompt.digests)
        if request.events < EVENTS:
            self.at(self.now + EVENT_GAP_S, self._send_event, request, engine)
            return
        engine.requests.remove(request)
        reports.on_completed(
            request.number, engine.key, request.sent_at, request.prompt
        )
        self._end(request, "served")

    def _crash(self, request, engine):
        if request.engine is not engine:
            return
        for part in self.crashing & set(request.parts):
            self.crashed_at[part].append(self.now)
        self._end_engine(engine)

    def _end_share(self, share):
        running = [engine for engine in self.engines if engine.is_up]
        for engine in self.random.sample(running, round(share * len(running))):
            self._end_engine(engine)

    def _end_engine(self, engine):
        engine.is_up = False
        broken, engine.requests = engine.requests, []
        for request in broken:
            self._break(request, engine)
        for number in range(len(self.entries)):
            delay_s = self.random.uniform(0.05, MAX_EVIDENCE_DELAY_S)
            self.at(self.now + delay_s, self._learn_end, number, engine.key)
        self.at(self.now + DOWN_S, self._restart, engine)

    def _learn_end(self, number, key):
        self.entries[number].on_upstream_ended(key, "agent")

    def _restart(self, engine):
        self.engines[self.engines.index(engine)] = ReplayedEngine(next(self.keys))

    def _break(self, request, engine):
        reports = self.entries[request.entry]
        reports.on_broken_response(
            engine.key, request.number, request.sent_at, request.prompt
        )
        if (
            request.attempts < MAX_ATTEMPTS
            and not request.prompt.tried
            and not reports.tracker.is_blocked(request.number, self.now)
            and reports.decide(request.prompt) == FREE
        ):
            self._send(request)
            return
        self._end(request, "failed")

    # What the entries know.

    def states_of(self, part):
        """Return the state of a part at each entry."""
        (digest,) = PromptParts.from_ids("model", (part,)).digests
        return [reports.parts.state(digest) for reports in self.entries]

    def is_blocked_everywhere(self, part):
        return set(self.states_of(part)) == {PartState.BLOCKED}


def make_requests(*, duration_s, streams, entries=4, seed=0):
    """Return requests at random times; ``streams`` are pairs of rate and parts."""
    source = random.Random(seed)
    arrivals = []
    for per_s, parts in streams:
        now = source.expovariate(per_s)
        while now < duration_s:
            arrivals.append((now, parts))
            now += source.expovariate(per_s)
    return [
        ReplayedRequest(number, source.randrange(entries), time, parts)
        for number, (time, parts) in enumerate(sorted(arrivals), 1)
    ]

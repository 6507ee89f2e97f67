"""Replays requests to upstreams that name limits, over several entries.

No sockets and no real clock: datagrams and requests take a random time, and datagrams
may be lost. Each entry has the dispatcher, the peers and the limits of the real one. A
frozen entry does nothing until it is awake again; one that was cut off loses its
datagrams to and from the others, but reaches the upstreams. Upstreams may crash, refuse
connections for a while and come back cold, of which the entries' lists tell later.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from sitebuilders import make_pending, make_profile, make_record

from bamboolever._subset import score_member
from bamboolever._telemetry import Telemetry
from bamboolever.calls.coldstart import ColdCause, ColdStart, ColdStartScope
from bamboolever.calls.dispatcher import Assignment, ServiceDispatcher
from bamboolever.calls.placement import PlainServicePolicy, PredictedLatencyPolicy
from bamboolever.calls.upstream import UpstreamView
from bamboolever.daemons.limitscope import LimitScope
from bamboolever.daemons.upstreamlimits import UpstreamLimits
from bamboolever.fleet import exchange
from bamboolever.fleet.messages import EntryLoad
from bamboolever.fleet.peers import PeerLoads
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.platform.standins.upstream import MODEL

MAX_HOP_S = 0.004
HEARTBEAT_S = 0.5
LOAD_INTERVAL_S = 0.1
LAYERS = 4
# Added to waits, so that they do not end before their time by a rounding error.
ROUNDING_S = 1e-6
RESTART_S = 1.0
TIMEOUT_S = 5.0


@dataclass(eq=False)
class ReplayedUpstream:
    """One process of an upstream; ``arrivals`` are times with the entry's number."""

    name: str
    limit: float | None = None
    started_ms: int = 1
    arrivals: list = field(default_factory=list)
    is_down: bool = False
    cold_until: float = 0.0

    def times(self, *, after=0.0, entries=None):
        """Return when requests arrived, from these entries or from all."""
        return [
            time
            for time, entry in self.arrivals
            if time >= after and (entries is None or entry in entries)
        ]


class ReplayedScope(LimitScope):
    """The upstreams and the peers of a replayed entry."""

    def __init__(self, entry, share):
        self._entry = entry
        self._share = share

    @property
    def own_address(self):
        return self._entry.address

    def find_view(self, key):
        return next(
            (view for view in self._entry.views.values() if view.key == key), None
        )

    def live_entries(self, now):
        return self._entry.peers.live_addresses(now)

    def known_entries(self):
        return self._entry.peers.recipients()

    def cell_share(self, view):
        return self._share


class ReplayedEntry:
    """One process of an entry."""

    def __init__(self, replay, number):
        self.replay = replay
        self.number = number
        self.address = Address("10.0.0.1", 1 + number)
        self.started_ms = 1000 + round(replay.now * 1000)
        self.views = {}
        self.peers = PeerLoads(self.address)
        self.sequence = itertools.count(1)
        self.telemetry = Telemetry(f"entry-{number}")
        self.dispatcher = ServiceDispatcher(
            replay.make_policy(), VersionRollouts(8.0), seed=number
        )
        self.scope = ReplayedScope(self, replay.share)
        self.cold_scope = ColdStartScope()
        self.limits = UpstreamLimits(
            lambda: replay.now,
            self.telemetry,
            self.scope,
            self.send,
            self.send_to_all,
            self.arm,
            self.dispatch_later,
            name=f"entry-{number}",
            started_ms=self.started_ms,
        )
        self.armed = 0
        # When the next dispatch is due that waits for an expiry or a token.
        self.dispatch_at = 0.0
        self.is_alive = True
        self.outcomes = []

    # What the daemons do around the limits.

    def send(self, message, address):
        self.replay.send_datagram(self, exchange.encode(message), address)

    def send_to_all(self, message):
        for address in self.peers.recipients():
            self.send(message, address)

    def arm(self, delay_s, action):
        self.armed += 1
        number = self.armed
        self.replay.later(
            self, delay_s, lambda: action() if number == self.armed else None
        )

    def dispatch_later(self):
        self.replay.later(self, 0.0, self.dispatch)

    def dispatch(self):
        self.carry_out(self.dispatcher.place_waiting(self.replay.now))

    def refresh_views(self):
        for upstream in self.replay.upstreams:
            view = self.views.get(upstream.name)
            if view is None or view.record.started_ms != upstream.started_ms:
                record = make_record(
                    upstream.name,
                    slots=self.replay.slots,
                    started_ms=upstream.started_ms,
                    cold_remaining_s=max(0.0, upstream.cold_until - self.replay.now),
                )
                cold = ColdStart() if view is None else view.cold
                view = UpstreamView(record, layers=LAYERS, cold=cold)
                self.views[upstream.name] = view
                view.cold.configure(
                    self.replay.cold,
                    self.cold_scope,
                    name=upstream.name,
                    seed=score_member(f"cold\0{view.key}", f"entry-{self.number}"),
                    is_in_cell=True,
                )
                view.cold.on_record(record, self.replay.now)
        self.dispatcher.set_upstreams(list(self.views.values()))

    def heartbeat(self):
        self.peers.expire(self.replay.now)
        self.note_entries()
        self.note_awake()
        self.limits.repeat()
        self.replay.later(self, HEARTBEAT_S, self.heartbeat)

    def note_entries(self):
        count = 1 + len(self.peers.recipients())
        self.cold_scope.note_entries(count, self.replay.now)

    def note_awake(self):
        if self.cold_scope.note_awake(self.replay.now):
            for view in self.views.values():
                view.cold.assume(ColdCause.SUSPENDED, self.replay.now)

    def send_load(self):
        loads = {view.key: view.own_load for view in self.views.values() if view.calls}
        load = EntryLoad(
            f"entry-{self.number}", self.started_ms, next(self.sequence), loads
        )
        self.send_to_all(load)
        self.replay.later(self, self.replay.load_interval_s, self.send_load)

    def apply_load(self, load, sender):
        now = self.replay.now
        for key in self.peers.apply(sender, load, now):
            view = self.scope.find_view(key)
            if view is not None:
                total = self.peers.total_load(key)
                view.update_peer_load(total, now, self.replay.random.random())

    def receive(self, data, sender):
        message = exchange.decode(data)
        if isinstance(message, EntryLoad):
            self.apply_load(message, sender)
        else:
            self.limits.apply(message, sender)
        self.dispatch_later()

    def submit(self, call):
        self.note_awake()
        self.carry_out(self.dispatcher.submit(call, self.replay.now))

    def carry_out(self, decisions):
        now = self.replay.now
        for decision in decisions:
            if isinstance(decision, Assignment):
                self.replay.send_request(self, decision)
            else:
                self.outcomes.append((now, decision))
        self.limits.ask(self.dispatcher.take_lacking_permits())
        expiry_at = self.dispatcher.next_expiry_at()
        if expiry_at is None or now < self.dispatch_at <= expiry_at + ROUNDING_S:
            return
        wait_s = max(0.0, expiry_at - now) + ROUNDING_S
        self.dispatch_at = now + wait_s
        self.replay.later(self, wait_s, self.dispatch)

    def on_head(self, assignment, view, per_s, sent_at):
        view.on_first_event(assignment.call.call_id)
        view.cold.on_response(sent_at, self.replay.now)
        self.limits.on_response(view, per_s, sent_at)

    def on_end(self, assignment, view):
        view.remove_call(assignment.call.call_id)
        self.outcomes.append((self.replay.now, assignment))
        self.dispatch()

    def on_refused(self, assignment, view):
        view.on_unreachable(self.replay.now)
        view.cold.assume(ColdCause.UNREACHABLE, self.replay.now)
        self.on_end(assignment, view)

    def rejections(self, *, after=0.0):
        return [
            outcome
            for time, outcome in self.outcomes
            if time >= after and not isinstance(outcome, Assignment)
        ]


class LimitReplay:
    """Entries that share upstreams, with ``per_s`` requests a second in all.

    Each is answered from ``head_s`` to ``service_s`` after it arrived, by an engine if
    ``is_engine``. An upstream has ``slots``. ``share`` is the share of
    permits that these entries may use. The share ``loss`` of the datagrams is lost.
    ``cold`` is the bound on the requests to upstreams that have just started.
    """

    def __init__(
        self,
        *,
        entries=5,
        upstreams=4,
        per_s=60.0,
        head_s=0.03,
        service_s=0.03,
        is_engine=False,
        slots=16,
        loss=0.0,
        share=1.0,
        seed=0,
        cold=None,
        load_interval_s=LOAD_INTERVAL_S,
    ):
        self.cold = cold
        self.load_interval_s = load_interval_s
        self.random = random.Random(seed)
        self.per_s = per_s
        self.head_s = head_s
        self.service_s = service_s
        self.is_engine = is_engine
        self.slots = slots
        self.loss = loss
        self.share = share
        self.now = 0.0
        self.order = itertools.count()
        self.events = []
        self.frozen_until = {}
        self.cut = set()
        self.upstreams = [ReplayedUpstream(f"up-{n}") for n in range(upstreams)]
        self.addresses = {}
        self.entries = []
        for number in range(entries):
            self.entries.append(self._start_entry(number))
        self._schedule_arrival()

    def make_policy(self):
        if not self.is_engine:
            return PlainServicePolicy(lambda view: 0.0)
        profile = make_profile(slots=self.slots, layers=LAYERS)
        return PredictedLatencyPolicy(profile, lambda view: 0.0)

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, entry, action = heapq.heappop(self.events)
            if entry is not None and not entry.is_alive:
                continue
            awake_at = self.frozen_until.get(entry, 0.0)
            if awake_at > self.now:
                self._push(awake_at, entry, action)
                continue
            action()
        self.now = end
        return self

    def at(self, time, action):
        """Call ``action`` at ``time``, whatever the entries do."""
        self._push(time, None, action)

    def later(self, entry, delay_s, action):
        """Call ``action`` of an entry's process later."""
        self._push(self.now + delay_s, entry, action)

    def _push(self, time, entry, action):
        heapq.heappush(self.events, (time, next(self.order), entry, action))

    # What goes wrong.

    def freeze(self, number, duration_s):
        self.frozen_until[self.entries[number]] = self.now + duration_s

    def restart(self, number):
        """Kill an entry; another process takes its place."""
        self.entries[number].is_alive = False
        self.at(self.now + RESTART_S, lambda: self._replace_entry(number))

    def kill(self, number):
        """Kill an entry for good."""
        self.entries[number].is_alive = False

    def cut_off(self, numbers):
        """Lose all datagrams between these entries and the others from now on."""
        self.cut = {self.entries[number].address for number in numbers}

    def restart_upstream(self, index, *, limit=None):
        old = self.upstreams[index]
        self.upstreams[index] = ReplayedUpstream(
            old.name, limit, old.started_ms + 1, old.arrivals
        )
        for entry in self.entries:
            if entry.is_alive:
                self.later(entry, 0.0, entry.refresh_views)

    def crash_upstream(self, index, *, down_s, told_s):
        """Refuse connections for ``down_s``, and start again cold under the same id.

        The list tells each entry of it within ``told_s`` after the start.
        """
        self.upstreams[index].is_down = True
        self.at(self.now + down_s, lambda: self._start_upstream(index, told_s))

    def _start_upstream(self, index, told_s):
        old = self.upstreams[index]
        self.upstreams[index] = ReplayedUpstream(
            old.name,
            started_ms=old.started_ms + 1,
            cold_until=self.now + self.cold.cold_s,
        )
        for entry in self.entries:
            if entry.is_alive:
                delay_s = self.random.uniform(0.0, told_s)
                self.later(entry, delay_s, entry.refresh_views)

    def start_entry(self):
        """Start an entry beside the others."""
        self.entries.append(self._start_entry(len(self.entries)))

    def _replace_entry(self, number):
        self.entries[number] = self._start_entry(number)

    def _start_entry(self, number):
        entry = ReplayedEntry(self, number)
        self.addresses[entry.address] = number
        entry.refresh_views()
        others = tuple(each.address for each in self.entries if each.is_alive)
        self.later(
            entry, self.random.uniform(0, 0.3), lambda: self._introduce(entry, others)
        )
        self.later(entry, self.random.uniform(0, HEARTBEAT_S), entry.heartbeat)
        delay_s = self.random.uniform(0, self.load_interval_s)
        self.later(entry, delay_s, entry.send_load)
        return entry

    def _introduce(self, entry, others):
        # Agents tell each entry of the others.
        entry.peers.add_addresses(others, self.now)
        entry.note_entries()
        for other in self.entries:
            if other is not entry and other.is_alive:
                other.peers.add_addresses((entry.address,), self.now)

    # Messages and requests.

    def send_datagram(self, sender, data, address):
        if (sender.address in self.cut) != (address in self.cut):
            return
        if self.random.random() < self.loss:
            return
        number = self.addresses[address]
        self.at(
            self.now + self.random.uniform(0, MAX_HOP_S),
            lambda: self._receive(number, data, sender.address),
        )

    def _receive(self, number, data, sender):
        entry = self.entries[number]
        self.later(entry, 0.0, lambda: entry.receive(data, sender))

    def _schedule_arrival(self):
        delay_s = self.random.expovariate(self.per_s)
        self.at(self.now + delay_s, self._arrive)

    def _arrive(self):
        self._schedule_arrival()
        entry = self.random.choice(self.entries)
        now = self.now
        call = make_pending(
            arrived_at=now,
            target_at=now + 0.4,
            timeout_at=now + TIMEOUT_S,
            model=MODEL if self.is_engine else None,
        )
        self.later(entry, 0.0, lambda: entry.submit(call))

    def send_request(self, entry, assignment):
        view = assignment.placement.upstream
        index = next(
            n for n, each in enumerate(self.upstreams) if each.name == view.instance_id
        )
        sent_at = self.now
        hop_s = self.random.uniform(0.001, MAX_HOP_S)

        def arrive():
            upstream = self.upstreams[index]
            if upstream.is_down:
                self.later(entry, hop_s, lambda: entry.on_refused(assignment, view))
                return
            upstream.arrivals.append((self.now, entry.number))
            self.at(self.now + self.head_s, lambda: respond(upstream))
            self.at(self.now + self.service_s, end)

        def respond(upstream):
            if upstream.is_down:
                return
            per_s = self.upstreams[index].limit
            self.later(
                entry, hop_s, lambda: entry.on_head(assignment, view, per_s, sent_at)
            )

        def end():
            self.later(entry, hop_s, lambda: entry.on_end(assignment, view))

        self.at(sent_at + hop_s, arrive)

"""The state of one upstream as an entry sees it: load, served versions, health.

Takes the requests sent and their outcomes, the loads that other entries report, and
the versions that the agent reports. Decides whether the upstream is ejected and which
version it serves.

Load pattern: an upstream that fails a part of its requests while its health check
passes. Outlier ejection is therefore based on the outcomes of requests. It ends after
a backoff.

Another load pattern: upstreams that are slower for some hundred milliseconds at a
time because of other processes on their machines. An upstream may state its load and
slowness with a response; what it stated fades as it ages.
"""

import functools
import math
from dataclasses import dataclass, field, replace

from bamboolever.calls.coldstart import ColdStart
from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.limits import UpstreamLimit
from bamboolever.calls.slotclaims import SlotClaims
from bamboolever.fleet.records import (
    ModelVersion,
    StatedLoad,
    UpstreamRecord,
    upstream_key,
)

# Consecutive failures after which an upstream is ejected.
FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
UNREACHABLE_EJECTION_S = 0.5
# It doubles while nothing succeeds in between. An upstream that restarts is a new one
# in the list, so that this delays only one that comes back without a restart.
MAX_UNREACHABLE_EJECTION_S = 2.0
# A longer Retry-After of an upstream is not followed.
MAX_RETRY_AFTER_S = 30.0
# Added to an upstream's Retry-After, for the delay of the response that stated it.
RETRY_AFTER_MARGIN_S = 0.05
# An upstream that answered for another instance, or without the model, is asked again
# after this time, which doubles with each such answer.
MIN_MISDIRECTED_S = 0.25
MAX_MISDIRECTED_S = 2.0
# The last free slots of an engine are left to the entry whose request freed them, until
# a delay that differs between entries.
CONTENDED_SLOTS = 2
MIN_CLAIM_DELAY_S = 0.1
CLAIM_DELAY_SPREAD_S = 0.2
# A connection that took longer to open says little of the way to the upstream.
MAX_ROUND_TRIP_S = 0.4
# Agents send their state once a second, in response to a hello.
AGENT_STATE_MAX_AGE_S = 2.5
# A response may state a version before the agent has seen it. An agent that reports
# after that time would have.
STATED_VERSION_MAX_AGE_S = 2.0
# A stated load says less than the other entries' reports, which come every 40 ms, once
# requests of that moment have ended. Plain requests take some 20 to 70 ms.
STATED_LOAD_MAX_AGE_S = 0.1
# The slowness of an upstream holds for about this long, and then fades to its mean over
# as long again.
SLOWNESS_HOLD_S = 0.6
SLOWNESS_FADE_S = 0.6
# Time over which the mean slowness of an upstream is taken.
SLOWNESS_MEAN_S = 30.0
# Stated values are clamped to these bounds, so that a wrong one neither keeps all
# requests away nor attracts them all.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 10.0
# At this slowness or above, a missing response is not counted as a failure.
SLOW_FROM = 1.2


@dataclass
class InFlightCall:
    """A request that this entry sent to an upstream."""

    prompt_tokens: int
    has_first_event: bool = False


@dataclass(frozen=True)
class _TimedVersion:
    model: str
    version: int
    at: float


@dataclass
class UpstreamView:
    """One upstream as seen by this entry; times are seconds of the entry's clock.

    ``calls`` are this entry's requests by call id. ``peer_load`` is the summed load of
    the other entries, last updated at ``peer_load_at``. Until ``switching_until`` the
    engine is taken to be switching versions and gets no requests.
    ``is_leaving`` is set once it said that it is shutting down; until ``closed_until``
    it wants no requests of this entry.
    Until ``contended_until`` a slot that another entry freed is left to that entry.
    ``is_home`` is set for an upstream whose load this entry knows in detail; it is
    unset for an engine of another cell.
    ``slowdown`` is the factor by which it is slower than its profile. ``layers`` is the
    number of layers of a complete model, and ``full_pass_s`` the seconds of an engine's
    longest pass. ``round_trip_s`` was seen when a connection was opened. Requests must
    begin before ``begin_by``. ``_reported_version`` is the version in the agent's last
    report, ``_stated_version`` the one that a response stated last, ``slowdown_at``
    when its slowdown was reported. ``stated_load`` is the last load that it stated with
    a response, at ``stated_at``. ``region`` is None if the zone's region is unknown.
    """

    record: UpstreamRecord
    calls: dict[int, InFlightCall] = field(default_factory=dict)
    peer_load: EngineLoad = EngineLoad()
    peer_load_at: float = 0.0
    ejected_until: float = 0.0
    switching_until: float = 0.0
    closed_until: float = 0.0
    is_home: bool = True
    contended_until: float = 0.0
    is_leaving: bool = False
    slowdown: float = 1.0
    slowdown_at: float = -math.inf
    stated_load: StatedLoad | None = None
    stated_at: float = -math.inf
    layers: int = 0
    full_pass_s: float = 0.0
    round_trip_s: float = 0.0
    begin_by: float = math.inf
    limit: UpstreamLimit = field(default_factory=UpstreamLimit)
    claims: SlotClaims = field(default_factory=SlotClaims)
    region: str | None = None
    cold: ColdStart = field(default_factory=ColdStart)
    _reported_version: _TimedVersion | None = None
    _stated_version: _TimedVersion | None = None
    _slowness: float | None = None
    _slowness_at: float = -math.inf
    _mean_slowness: float = 1.0
    _failure_count: int = 0
    _next_ejection_s: float = MIN_EJECTION_S
    _next_misdirected_s: float = MIN_MISDIRECTED_S
    _next_unreachable_s: float = UNREACHABLE_EJECTION_S
    _unstarted_calls: int = 0
    _unstarted_tokens: int = 0
    _freed_slots: int = 0

    @property
    def instance_id(self) -> str:
        """Instance id under which the store lists the upstream."""
        return self.record.instance_id

    @functools.cached_property
    def key(self) -> int:
        """Key that identifies the upstream to other entries until it restarts."""
        return upstream_key(self.record.instance_id, self.record.started_ms)

    @property
    def is_ending(self) -> bool:
        """Whether the upstream announced its end, in the list or in a response."""
        return self.record.is_draining or self.is_leaving

    @property
    def own_load(self) -> EngineLoad:
        """Requests of this entry alone; the slowdown is left out."""
        return EngineLoad(
            writing=len(self.calls) - self._unstarted_calls,
            waiting=self._unstarted_calls,
            waiting_tokens=self._unstarted_tokens,
        )

    @property
    def active(self) -> int:
        """Number of requests of all entries at the upstream."""
        return len(self.calls) + self.peer_load.active

    @property
    def load(self) -> EngineLoad:
        """Requests of this entry and of the others, with the upstream's slowdown."""
        peers = self.peer_load
        return EngineLoad(
            len(self.calls) - self._unstarted_calls + peers.writing,
            self._unstarted_calls + peers.waiting,
            self._unstarted_tokens + peers.waiting_tokens,
            self.slowdown,
        )

    def load_at(self, now: float) -> EngineLoad:
        """Return `load`, with the stated slowness if it is newer than the agent's.

        A stated slowness that no longer holds is ignored.
        """
        load = self.load
        is_newer = self._slowness_at > self.slowdown_at
        if self._slowness is None or not is_newer:
            return load
        if now - self._slowness_at > SLOWNESS_HOLD_S:
            return load
        return replace(load, slowdown=max(1.0, self._slowness))

    def active_at(self, now: float) -> int:
        """Return the number of requests that the entries know of, or the stated one.

        The higher one counts. The stated number counts while it is fresh.
        """
        stated = self.stated_load
        if stated is None or now - self.stated_at > STATED_LOAD_MAX_AGE_S:
            return self.active
        return max(self.active, stated.active)

    def slowness_at(self, now: float) -> float:
        """Return how much longer than usual work is expected to take; 1.0 as long.

        This is the stated value, which fades to the upstream's mean as it ages. It is
        1.0 if none was ever stated.
        """
        if self._slowness is None:
            return 1.0
        age_s = now - self._slowness_at
        fresh_share = 1 - max(0.0, age_s - SLOWNESS_HOLD_S) / SLOWNESS_FADE_S
        difference = self._slowness - self._mean_slowness
        return self._mean_slowness + max(0.0, fresh_share) * difference

    def may_be_slow(self, now: float) -> bool:
        """Return whether its silence may come from a slowness that it stated.

        An upstream that has stated nothing for a while is silent for another reason.
        """
        if self._slowness is None or self._slowness < SLOW_FROM:
            return False
        return now - self._slowness_at <= SLOWNESS_HOLD_S + SLOWNESS_FADE_S

    def on_stated_load(self, load: StatedLoad, now: float) -> None:
        """Keep the load that the upstream stated with a response at ``now``.

        One that is older than the last one is ignored.
        """
        if now < self.stated_at:
            return
        self.stated_load, self.stated_at = load, now
        if load.slowness is None:
            return
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, load.slowness))
        # A stated slowness is averaged over the time since the previous statement, but
        # at most over the time for which a slowness holds.
        known_s = min(SLOWNESS_HOLD_S, now - self._slowness_at)
        weight = -math.expm1(-known_s / SLOWNESS_MEAN_S)
        self._mean_slowness += weight * (slowness - self._mean_slowness)
        self._slowness, self._slowness_at = slowness, now

    @property
    def withdrawal_lead_s(self) -> float:
        """Seconds before its end at which a version's requests are withdrawn.

        This is the way to the upstream, and the pass that an engine completes before it
        drops a cancelled request.
        """
        round_trip_s = min(self.round_trip_s, MAX_ROUND_TRIP_S)
        return round_trip_s + self.slowdown * self.full_pass_s

    def peer_load_age_s(self, now: float) -> float:
        """Return the seconds since the load of other entries was updated."""
        return now - self.peer_load_at

    def can_accept_requests(self, now: float) -> bool:
        """Return whether the upstream takes new requests of this entry.

        It does not while it drains, shuts down or switches versions, nor before the
        end of a Retry-After that it stated.
        """
        if self.is_ending:
            return False
        return now >= max(self.switching_until, self.closed_until)

    def close_for(self, delay_s: float, now: float) -> None:
        """Send the upstream nothing for the Retry-After of its rejection."""
        until = now + min(delay_s, MAX_RETRY_AFTER_S) + RETRY_AFTER_MARGIN_S
        self.closed_until = max(self.closed_until, until)

    def on_misdirected(self, now: float) -> None:
        """Close the upstream for a while; call when it says that it is another one.

        Load pattern: many upstreams restart at once, and the list names the former
        processes until the new ones have registered. Without a pause, each request
        that arrives meanwhile uses up its attempts and the retry budget.
        """
        self.closed_until = max(self.closed_until, now + self._next_misdirected_s)
        self._next_misdirected_s = min(MAX_MISDIRECTED_S, 2 * self._next_misdirected_s)

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected at ``now``.

        After it was unreachable, it counts as ejected while one request tries it: the
        others would be lost with that one.
        """
        if now < self.ejected_until:
            return True
        was_unreachable = self._next_unreachable_s > UNREACHABLE_EJECTION_S
        return was_unreachable and self._unstarted_calls > 0

    def on_served_version(self, model: str, version: int, now: float) -> None:
        """Record the version that the agent reports; call for each agent state.

        The engine has all layers of this version. Version 0 means that it serves none.
        """
        known = self._reported_version
        if known is None or (known.model, known.version) != (model, version):
            self.claims.on_opened(now)
        self._reported_version = _TimedVersion(model, version, now)

    def served_version(self, model: str, now: float) -> int | None:
        """Return the version of ``model`` that is served with all layers, or None.

        The agent's report is newer than the store's list and takes precedence, unless
        it is older than `AGENT_STATE_MAX_AGE_S`. A higher version that a response
        stated replaces either, unless the agent has reported for long since then.
        """
        served = self._find_served(now, model)
        return None if served is None else self._newest(served).version

    def on_stated_version(self, model: str, version: int, now: float) -> None:
        """Record the version that a response to a request for ``model`` stated."""
        self._stated_version = _TimedVersion(model, version, now)

    def served_model(self, now: float) -> ModelVersion | None:
        """Return the model that is served with all layers and its version, or None."""
        served = self._find_served(now, None)
        return None if served is None else self._newest(served)

    def _newest(self, served: ModelVersion) -> ModelVersion:
        stated, report = self._stated_version, self._reported_version
        if stated is None or stated.model != served.model:
            return served
        if report is not None and report.at - stated.at > STATED_VERSION_MAX_AGE_S:
            return served
        return ModelVersion(served.model, max(served.version, stated.version))

    def _find_served(self, now: float, model: str | None) -> ModelVersion | None:
        report = self._reported_version
        if report is not None and now - report.at <= AGENT_STATE_MAX_AGE_S:
            is_served = model in (None, report.model) and report.version > 0
            return ModelVersion(report.model, report.version) if is_served else None
        for loaded in self.record.models:
            if model in (None, loaded.name) and loaded.has_all_layers(self.layers):
                return ModelVersion(loaded.name, loaded.version)
        return None

    def add_call(self, call_id: int, prompt_tokens: int) -> None:
        """Count a request as in flight; call when it is assigned to the upstream."""
        self.remove_call(call_id)
        self._freed_slots = max(0, self._freed_slots - 1)
        self.calls[call_id] = InFlightCall(prompt_tokens)
        self._unstarted_calls += 1
        self._unstarted_tokens += prompt_tokens

    def on_first_event(self, call_id: int) -> None:
        """Count a request as writing; call when its first event arrives.

        Unknown call ids are ignored.
        """
        call = self.calls.get(call_id)
        if call is not None and not call.has_first_event:
            self._next_unreachable_s = UNREACHABLE_EJECTION_S
            call.has_first_event = True
            self._on_started(call)

    def remove_call(self, call_id: int) -> None:
        """Stop counting a request; call when its attempt ends. Idempotent."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return
        self._freed_slots += 1
        if not call.has_first_event:
            self._on_started(call)

    def update_peer_load(self, load: EngineLoad, now: float, jitter: float) -> None:
        """Replace the load of the other entries.

        If it fell, the entry whose request ended there may use the slot first. The
        others may after a delay, which ``jitter``, from 0 to 1, spreads over them.
        """
        if load.active < self.peer_load.active:
            delay_s = MIN_CLAIM_DELAY_S + jitter * CLAIM_DELAY_SPREAD_S
            self.contended_until = now + delay_s
        self.peer_load = load
        self.peer_load_at = now

    def can_claim_slot(self, slots: int, now: float) -> bool:
        """Return whether this entry may take one of the last free slots of ``slots``.

        Load pattern: more requests than slots. When a slot is freed, every entry with
        a waiting request sees it, and all would send one. `SlotClaims` covers engines
        with more free slots.
        """
        free = slots - self.active
        if free <= 0:
            return False
        if free > CONTENDED_SLOTS or not self.peer_load.active:
            return self.claims.may_claim(free, now)
        self._freed_slots = min(self._freed_slots, free)
        if self._freed_slots > 0:
            return True
        return now >= self.contended_until and self.claims.may_claim(free, now)

    def _on_started(self, call: InFlightCall) -> None:
        self._unstarted_calls -= 1
        self._unstarted_tokens -= call.prompt_tokens

    def on_success(self) -> None:
        """Reset the failure count and the backoff; call when a request succeeds."""
        self._failure_count = 0
        self._next_ejection_s = MIN_EJECTION_S
        self._next_misdirected_s = MIN_MISDIRECTED_S
        self._next_unreachable_s = UNREACHABLE_EJECTION_S

    def on_failure(self, now: float) -> bool:
        """Count a failure; call when an attempt fails because of the upstream.

        Returns whether this failure ejects the upstream. Each ejection without a
        success in between lasts twice as long as the one before, up to
        `MAX_EJECTION_S`.
        """
        self._failure_count += 1
        if self._failure_count < FAILURES_TO_EJECT:
            return False
        self._failure_count = 0
        self.ejected_until = max(self.ejected_until, now + self._next_ejection_s)
        self._next_ejection_s = min(MAX_EJECTION_S, 2 * self._next_ejection_s)
        return True

    def on_unreachable(self, now: float) -> None:
        """Eject the upstream briefly, and for longer each time until one succeeds.

        Call when a connection to it fails or one of its streams stalls. Failures while
        it is ejected belong to the same outage.

        Load pattern: upstreams that hang for seconds. Every entry tries them again
        after each ejection, and would lose all requests that it sends meanwhile.
        """
        if now < self.ejected_until:
            return
        self.ejected_until = now + self._next_unreachable_s
        self._next_unreachable_s = min(
            MAX_UNREACHABLE_EJECTION_S, 2 * self._next_unreachable_s
        )

"""What an entry knows of one upstream: requests, versions, health.

Load pattern: an upstream that fails part of its requests while its health check
passes. It is ejected by the outcomes of requests and comes back after a pause.
"""

from dataclasses import dataclass, field

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet.records import UpstreamRecord

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
UNREACHABLE_EJECTION_S = 0.5
# Agents answer a greeting each second.
AGENT_STATE_MAX_AGE_S = 2.5


@dataclass
class InFlightCall:
    """A request that this entry has at an upstream."""

    prompt_tokens: int
    has_first_event: bool = False


@dataclass(frozen=True)
class _Served:
    model: str
    version: int
    at: float


@dataclass
class UpstreamView:
    """One upstream as seen by this entry."""

    record: UpstreamRecord
    calls: dict[int, InFlightCall] = field(default_factory=dict)
    peers: EngineLoad = EngineLoad()
    peers_at: float = 0.0
    ejected_until: float = 0.0
    switching_until: float = 0.0
    answered_version: int | None = None
    pace: float = 1.0
    layers: int = 0
    _told: _Served | None = None
    _failures: int = 0
    _ejection_s: float = MIN_EJECTION_S

    @property
    def instance_id(self) -> str:
        """Id under which the upstream is listed."""
        return self.record.instance_id

    @property
    def own_load(self) -> EngineLoad:
        """Requests of this entry alone."""
        unread = [call for call in self.calls.values() if not call.has_first_event]
        return EngineLoad(
            writing=len(self.calls) - len(unread),
            waiting=len(unread),
            waiting_tokens=sum(call.prompt_tokens for call in unread),
        )

    @property
    def load(self) -> EngineLoad:
        """Requests of this entry and of its peers."""
        own = self.own_load
        return EngineLoad(
            writing=own.writing + self.peers.writing,
            waiting=own.waiting + self.peers.waiting,
            waiting_tokens=own.waiting_tokens + self.peers.waiting_tokens,
            pace=self.pace,
        )

    def peers_age_s(self, now: float) -> float:
        """Return the seconds since a peer told its load."""
        return now - self.peers_at

    def can_accept_requests(self, now: float) -> bool:
        """Tell whether it accepts new requests as far as is known."""
        return not self.record.is_draining and now >= self.switching_until

    def is_ejected(self, now: float) -> bool:
        """Tell whether its failures keep new requests away."""
        return now < self.ejected_until

    def on_served_version(self, model: str, version: int, now: float) -> None:
        """Note what its agent says that it serves whole; version 0 is nothing."""
        self._told = _Served(model, version, now)

    def served_version(self, model: str, now: float) -> int | None:
        """Return the whole version of ``model`` that it serves, or None.

        An agent's word is fresher than the list, while the agent is heard.
        """
        told = self._told
        if told is not None and now - told.at <= AGENT_STATE_MAX_AGE_S:
            is_served = told.model == model and told.version > 0
            return max(told.version, self.answered_version or 0) if is_served else None
        for loaded in self.record.models:
            if loaded.name == model and loaded.has_all_layers(self.layers):
                return max(loaded.version, self.answered_version or 0)
        return None

    def add_call(self, call_id: int, prompt_tokens: int) -> None:
        """Note a request sent."""
        self.calls[call_id] = InFlightCall(prompt_tokens)

    def on_first_event(self, call_id: int) -> None:
        """Note that a request was read and writes now."""
        call = self.calls.get(call_id)
        if call is not None:
            call.has_first_event = True

    def remove_call(self, call_id: int) -> None:
        """Note that a request is no longer there."""
        self.calls.pop(call_id, None)

    def on_success(self) -> None:
        """A request ended well."""
        self._failures = 0
        self._ejection_s = MIN_EJECTION_S

    def on_failure(self, now: float) -> bool:
        """A request failed by the upstream's fault; return whether it is ejected."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        self._failures = 0
        self.ejected_until = max(self.ejected_until, now + self._ejection_s)
        self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)
        return True

    def on_unreachable(self, now: float) -> None:
        """It did not answer a connection or a request."""
        self.ejected_until = max(self.ejected_until, now + UNREACHABLE_EJECTION_S)

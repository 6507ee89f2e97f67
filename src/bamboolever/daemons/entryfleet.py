"""Keeps one entry's view of the upstreams and a dispatcher for each service.

Takes the upstreams listed in the store, the configuration, the agents' states and
the peers' loads. Gives each service's dispatcher its placement policy and the views
of its upstreams, and builds the report of this entry's own load for the peers.

Load pattern: engines load and switch weight versions under traffic. An agent reports
its engine's state sooner than the store's list does, so a fresh report takes
precedence over the listed record.
"""

import logging

from bamboolever.calls.dispatcher import ServiceDispatcher
from bamboolever.calls.placement import (
    OTHER_REGION_PENALTY_S,
    OTHER_ZONE_PENALTY_S,
    PlacementPolicy,
    PlainServicePolicy,
    find_placement_factory,
)
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import Configuration
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.fleet.exchange import AgentState, EntryLoad, upstream_key
from bamboolever.fleet.peers import PeerLoads
from bamboolever.fleet.records import UpstreamRecord
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address

logger = logging.getLogger(__name__)

# An agent's notice that its engine switches versions keeps new calls away for this
# long, so that an agent that falls silent does not block its engine for good.
SWITCH_NOTICE_TTL_S = 4.0


class EntryFleet:
    """Combines the listed upstreams with the state that agents and peers report.

    ``started_ms`` is the Unix time of this entry's start in milliseconds. Times
    named ``now`` are seconds of the entry's clock.
    """

    def __init__(self, settings: InstanceSettings, started_ms: int):
        self._settings = settings
        self._started_ms = started_ms
        self._placement_factory = find_placement_factory(settings.placement)
        self._configuration = Configuration(0)
        self._dispatchers: dict[str, ServiceDispatcher] = {}
        self._views: dict[str, UpstreamView] = {}
        self._sequence = 0
        self.upstreams = UpstreamList()
        self.version_rollouts = VersionRollouts(settings.bounds.version_timeout_s)
        self.peers = PeerLoads(Address(settings.host, settings.internal_port))

    @property
    def has_upstreams(self) -> bool:
        """Whether at least one upstream is listed."""
        return bool(self._views)

    def dispatcher(self, service: str) -> ServiceDispatcher:
        """Return the dispatcher of a service; creates one for an unknown service."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            policy = self._make_policy(service)
            dispatcher = ServiceDispatcher(policy, self.version_rollouts)
            self._dispatchers[service] = dispatcher
        return dispatcher

    def services(self) -> list[str]:
        """Return the services that have a dispatcher."""
        return list(self._dispatchers)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the services and their placement policies."""
        self._configuration = configuration
        for service, dispatcher in self._dispatchers.items():
            dispatcher.policy = self._make_policy(service)
        for service in configuration.services:
            self.dispatcher(service)

    def refresh_views(self, now: float) -> None:
        """Rebuild the views; called when the upstreams or the services changed.

        The view of an upstream that has not restarted keeps its state.
        """
        views: dict[str, UpstreamView] = {}
        by_service: dict[str, list[UpstreamView]] = {}
        for record in self.upstreams.records(now):
            view = self._views.get(record.instance_id)
            if view is None or view.record.started_ms != record.started_ms:
                view = UpstreamView(record)
                self._update_peer_load(view, now)
            view.record = record
            view.layers = self._layer_count(record.service)
            views[record.instance_id] = view
            by_service.setdefault(record.service, []).append(view)
        self._views = views
        for service in {*by_service, *self._dispatchers}:
            self.dispatcher(service).set_upstreams(by_service.get(service, []))

    def agent_addresses(self) -> list[Address]:
        """Return the datagram addresses of the agents; each model engine has one."""
        return [
            Address(view.record.address.host, self._settings.internal_port)
            for view in self._views.values()
            if self._has_engine(view.record)
        ]

    def build_load_report(self, *, is_ready: bool) -> EntryLoad:
        """Return the next datagram with this entry's calls at each upstream."""
        self._sequence += 1
        loads = {
            self.incarnation_key(view): view.own_load
            for view in self._views.values()
            if view.calls
        }
        name = self._settings.name
        return EntryLoad(name, self._started_ms, self._sequence, loads, is_ready)

    def apply_peer_load(self, sender: Address, load: EntryLoad, now: float) -> None:
        """Apply the load that the entry at ``sender`` reports."""
        self.peers.apply(sender, load, now)
        for view in self._views.values():
            self._update_peer_load(view, now)

    def apply_agent_state(self, state: AgentState, now: float) -> bool:
        """Apply an agent's report on its engine, the rollouts and the known entries.

        Returns whether the report has an entry that was unknown here.
        """
        for view in self._views.values():
            if view.record.address != state.upstream:
                continue
            if not self._has_engine(view.record):
                continue
            view.slowdown = max(1.0, state.slowdown)
            view.on_served_version(state.model, state.version, now)
            view.switching_until = (
                now + SWITCH_NOTICE_TTL_S if state.is_switching else 0.0
            )
        for rollout in state.rollouts:
            self.version_rollouts.record_age(
                rollout.model, rollout.version, rollout.age_s, now
            )
        return self.peers.add_addresses(state.entries, now)

    def _update_peer_load(self, view: UpstreamView, now: float) -> None:
        view.peer_load = self.peers.total_load(self.incarnation_key(view), now)
        view.peer_load_at = now

    def incarnation_key(self, view: UpstreamView) -> int:
        """Return the key that identifies an upstream to peers until it restarts."""
        return upstream_key(view.instance_id, view.record.started_ms)

    def _has_engine(self, record: UpstreamRecord) -> bool:
        service = self._configuration.services.get(record.service)
        return service is not None and service.engine is not None

    def _layer_count(self, name: str) -> int:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return 0
        return service.engine.layers

    def _make_policy(self, name: str) -> PlacementPolicy:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return PlainServicePolicy(self._distance_penalty_s)
        return self._placement_factory(service.engine, self._distance_penalty_s)

    def _distance_penalty_s(self, view: UpstreamView) -> float:
        zone = view.record.availability_zone
        settings = self._settings
        if zone == settings.availability_zone:
            return 0.0
        if settings.region_of(zone) == settings.region:
            return OTHER_ZONE_PENALTY_S
        return OTHER_REGION_PENALTY_S

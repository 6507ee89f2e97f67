"""The upstreams as one entry uses them: views, dispatchers, versions, peers."""

import logging

from bamboolever.calls.dispatcher import ServiceDispatcher
from bamboolever.calls.placement import (
    OTHER_REGION_PENALTY_S,
    OTHER_ZONE_PENALTY_S,
    PlacementPolicy,
    PlainServicePolicy,
    find_placement,
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

# An agent that announced a switch and fell silent no longer keeps calls away.
SWITCH_NOTICE_S = 4.0


class EntryFleet:
    """Joins the list of upstreams with what calls, agents and peers tell."""

    def __init__(self, settings: InstanceSettings, started_ms: int):
        self._settings = settings
        self._started_ms = started_ms
        self._make_placement = find_placement(settings.placement)
        self._configuration = Configuration(0)
        self._dispatchers: dict[str, ServiceDispatcher] = {}
        self._views: dict[str, UpstreamView] = {}
        self._sequence = 0
        self.upstreams = UpstreamList()
        self.versions = VersionRollouts(settings.bounds.version_timeout_s)
        self.peers = PeerLoads(Address(settings.host, settings.internal_port))

    @property
    def has_upstreams(self) -> bool:
        """Whether any upstream is known."""
        return bool(self._views)

    def dispatcher(self, service: str) -> ServiceDispatcher:
        """Return the dispatcher of a service; unknown ones have no upstreams."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            policy = self._make_policy(service)
            dispatcher = ServiceDispatcher(policy, self.versions)
            self._dispatchers[service] = dispatcher
        return dispatcher

    def services(self) -> list[str]:
        """Return the services that have a dispatcher."""
        return list(self._dispatchers)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the services of a new configuration."""
        self._configuration = configuration
        for service, dispatcher in self._dispatchers.items():
            dispatcher.policy = self._make_policy(service)
        for service in configuration.services:
            self.dispatcher(service)

    def refresh(self, now: float) -> None:
        """Rebuild the views after the list of upstreams changed."""
        views: dict[str, UpstreamView] = {}
        by_service: dict[str, list[UpstreamView]] = {}
        for record in self.upstreams.records(now):
            view = self._views.get(record.instance_id)
            if view is None or view.record.started_ms != record.started_ms:
                view = UpstreamView(record)
                self._update_peers(view, now)
            view.record = record
            view.layers = self._layers(record.service)
            views[record.instance_id] = view
            by_service.setdefault(record.service, []).append(view)
        self._views = views
        for service in {*by_service, *self._dispatchers}:
            self.dispatcher(service).set_upstreams(by_service.get(service, []))

    def agent_addresses(self) -> list[Address]:
        """Return the agents beside the upstreams of model services."""
        return [
            Address(view.record.address.host, self._settings.internal_port)
            for view in self._views.values()
            if self._has_engine(view.record)
        ]

    def own_load(self, *, is_ready: bool) -> EntryLoad:
        """Return what this entry has at each upstream, to tell the peers."""
        self._sequence += 1
        uses = {
            self.key(view): view.own_load for view in self._views.values() if view.calls
        }
        name = self._settings.name
        return EntryLoad(name, self._started_ms, self._sequence, uses, is_ready)

    def apply_peer_load(self, sender: Address, load: EntryLoad, now: float) -> None:
        """Take over what another entry has at the upstreams."""
        self.peers.apply(sender, load, now)
        for view in self._views.values():
            self._update_peers(view, now)

    def apply_agent_state(self, state: AgentState, now: float) -> bool:
        """Take over an agent's word; return whether new entries became known."""
        for view in self._views.values():
            if view.record.address != state.upstream:
                continue
            if not self._has_engine(view.record):
                continue
            view.pace = max(1.0, state.pace)
            view.tell_served(state.model, state.version, now)
            view.switching_until = now + SWITCH_NOTICE_S if state.is_switching else 0.0
        for rollout in state.rollouts:
            self.versions.record_age(rollout.model, rollout.version, rollout.age_s, now)
        return self.peers.add_addresses(state.entries, now)

    def _update_peers(self, view: UpstreamView, now: float) -> None:
        view.peers = self.peers.load_at(self.key(view), now)
        view.peers_at = now

    def key(self, view: UpstreamView) -> int:
        """Return the key of one incarnation of an upstream."""
        return upstream_key(view.instance_id, view.record.started_ms)

    def _has_engine(self, record: UpstreamRecord) -> bool:
        service = self._configuration.services.get(record.service)
        return service is not None and service.engine is not None

    def _layers(self, name: str) -> int:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return 0
        return service.engine.layers

    def _make_policy(self, name: str) -> PlacementPolicy:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return PlainServicePolicy(self._penalty)
        return self._make_placement(service.engine, self._penalty)

    def _penalty(self, view: UpstreamView) -> float:
        zone = view.record.availability_zone
        own = self._settings
        if zone == own.availability_zone:
            return 0.0
        if own.region_of(zone) == own.region:
            return OTHER_ZONE_PENALTY_S
        return OTHER_REGION_PENALTY_S

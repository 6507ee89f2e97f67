"""Keeps one entry's view of the upstreams and a dispatcher for each service.

Takes the upstreams listed in the store, the configuration, the agents' states and
the loads of other entries. Gives each service's dispatcher its placement policy and
the views of its upstreams, and builds the reports of this entry's own load.

Load pattern: engines load and switch weight versions under traffic. An agent reports
its engine's state sooner than the store's list does, so a fresh report takes
precedence over the listed record.
"""

import logging
import random
from collections.abc import Mapping
from dataclasses import replace

from bamboolever._subset import SCORE_BITS, score_member
from bamboolever._telemetry import Telemetry
from bamboolever.calls.coldstart import (
    ColdCause,
    ColdStart,
    ColdStartBound,
    ColdStartScope,
)
from bamboolever.calls.dispatcher import ServiceDispatcher
from bamboolever.calls.engine import (
    EngineLoad,
    add_loads,
    full_pass_s,
    subtract_load,
)
from bamboolever.calls.limits import UpstreamLimit
from bamboolever.calls.placement import (
    OTHER_REGION_PENALTY_S,
    OTHER_ZONE_PENALTY_S,
    PlacementPolicy,
    PlainServicePolicy,
    find_placement_factory,
)
from bamboolever.calls.slotclaims import CLAIM_WINDOW_S, NEIGHBOR_CLAIM_WINDOW_S
from bamboolever.calls.upstream import UpstreamView
from bamboolever.config.model import Configuration
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.fleet.cells import CellMap, EngineLocation
from bamboolever.fleet.evacuations import Evacuations
from bamboolever.fleet.messages import (
    AgentState,
    CellSummary,
    EntryLoad,
    UpstreamSummary,
)
from bamboolever.fleet.neighbors import NeighborCell
from bamboolever.fleet.peers import LoadTable, PeerLoads
from bamboolever.fleet.records import UpstreamRecord
from bamboolever.fleet.storeoutages import StoreOutages
from bamboolever.fleet.upstreams import UpstreamList
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address

logger = logging.getLogger(__name__)

# An agent's notice that its engine switches versions keeps new calls away for this
# long, so that an agent that falls silent does not block its engine for good.
SWITCH_NOTICE_TTL_S = 4.0
# Maximum numbers of limits and cold states kept of upstreams that are not listed.
MAX_UNLISTED_LIMITS = 256
MAX_UNLISTED_COLD = 256


class EntryFleet:
    """Combines the listed upstreams with the state that agents and entries report.

    ``started_ms`` is the Unix time of this entry's start in milliseconds. Times
    named ``now`` are seconds of the entry's clock.
    """

    def __init__(self, settings: InstanceSettings, started_ms: int):
        self._settings = settings
        self.started_ms = started_ms
        self._own_address = Address(settings.host, settings.internal_port)
        self._placement_factory = find_placement_factory(settings.placement)
        self._configuration = Configuration(0)
        self._dispatchers: dict[str, ServiceDispatcher] = {}
        self._views: dict[str, UpstreamView] = {}
        self._views_by_key: dict[int, UpstreamView] = {}
        self._engines_by_address: dict[Address, UpstreamView] = {}
        self._views_by_cell: dict[str, list[UpstreamView]] = {}
        self._unlisted_limits: dict[int, UpstreamLimit] = {}
        self._unlisted_cold: dict[str, ColdStart] = {}
        self._cold_scope = ColdStartScope()
        self._cells = CellMap()
        self._sequence = 0
        self._random = random.Random(settings.name)
        self.own_cell = self._find_own_cell()
        self.neighbors: dict[str, NeighborCell] = {}
        self.peers = PeerLoads(self._own_address)
        self.upstreams = UpstreamList(
            StoreOutages(
                settings.heartbeat_interval_s,
                lambda now: bool(self.peers.live_addresses(now)),
            )
        )
        self.version_rollouts = VersionRollouts(settings.bounds.version_timeout_s)
        self.evacuations = Evacuations(settings.bounds.evacuation_timeout_s)
        self.guests = LoadTable()

    @property
    def has_upstreams(self) -> bool:
        """Whether at least one upstream is listed."""
        return bool(self._views)

    @property
    def has_waiting_calls(self) -> bool:
        """Whether a request waits for an upstream of any service."""
        return any(each.queue_length for each in self._dispatchers.values())

    @property
    def entry_count(self) -> int:
        """Number of entries, as if each cell had as many as this entry's."""
        return self.cell_count * (1 + len(self.peers.recipients()))

    @property
    def cell_count(self) -> int:
        """Number of cells, with this entry's."""
        cells = self._cells.members
        return len(cells) if self.own_cell in cells else len(cells) + 1

    @property
    def own_address(self) -> Address:
        """The address of this entry's datagrams."""
        return self._own_address

    def view_by_key(self, key: int) -> UpstreamView | None:
        """Return the view of an upstream by its `upstream_key`."""
        return self._views_by_key.get(key)

    def is_in_cell(self, view: UpstreamView) -> bool:
        """Return whether an upstream is an engine, which belongs to one cell."""
        return self._has_engine(view.record)

    def needs_neighbors(self, now: float) -> bool:
        """Return whether engines of other cells are in use or may soon be."""
        return any(
            dispatcher.uses_neighbors(now) for dispatcher in self._dispatchers.values()
        )

    def dispatcher(self, service: str) -> ServiceDispatcher:
        """Return the dispatcher of a service; creates one for an unknown service."""
        dispatcher = self._dispatchers.get(service)
        if dispatcher is None:
            policy = self._make_policy(service)
            dispatcher = ServiceDispatcher(
                policy, self.version_rollouts, evacuations=self.evacuations
            )
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

    def apply_zones(self, regions_by_zone: Mapping[str, str]) -> None:
        """Replace the regions of the zones; the next refresh of the views uses them."""
        self._settings = replace(self._settings, regions_by_zone=regions_by_zone)

    # Views.

    def refresh_views(self, now: float) -> list[UpstreamView]:
        """Rebuild the views; called when the upstreams or the services changed.

        The view of an upstream that has not restarted keeps its state. Engines of
        cells that this entry does not use have no view. Returns the former views of
        upstreams that have ended: they are listed no more, or with a later start.
        """
        records = self.upstreams.records(now)
        self._refresh_cells(records)
        self._note_entries(now)
        known, self._views = self._views, {}
        self._views_by_key = {}
        self._engines_by_address = {}
        self._views_by_cell = {}
        by_service: dict[str, list[UpstreamView]] = {}
        for record in records:
            cell = self._cell_of(record)
            if cell not in (None, self.own_cell, *self.neighbors):
                continue
            view = self._refresh_view(known.get(record.instance_id), record, cell, now)
            self._add_view(view, cell, now)
            by_service.setdefault(record.service, []).append(view)
        self._refresh_sharing()
        for service in {*by_service, *self._dispatchers}:
            self.dispatcher(service).set_upstreams(by_service.get(service, []))
        listed = {record.instance_id: record for record in records}
        self._keep_limits(known, now)
        self._keep_cold(known)
        return [
            view
            for view in known.values()
            if _has_ended(view.record, listed.get(view.instance_id))
        ]

    def _keep_limits(self, known: dict[str, UpstreamView], now: float) -> None:
        """Keep the limits of upstreams that are listed no more: they may come back."""
        for view in known.values():
            if view.limit.is_limited(now) and view.key not in self._views_by_key:
                self._unlisted_limits[view.key] = view.limit
        while len(self._unlisted_limits) > MAX_UNLISTED_LIMITS:
            del self._unlisted_limits[next(iter(self._unlisted_limits))]

    def _keep_cold(self, known: dict[str, UpstreamView]) -> None:
        """Keep the cold states of upstreams that are listed no more."""
        for name, view in known.items():
            if view.cold.bound is not None and name not in self._views:
                self._unlisted_cold[name] = view.cold
        while len(self._unlisted_cold) > MAX_UNLISTED_COLD:
            del self._unlisted_cold[next(iter(self._unlisted_cold))]

    def _refresh_cells(self, records: list[UpstreamRecord]) -> None:
        engines = [
            EngineLocation(record.instance_id, record.availability_zone)
            for record in records
            if self._has_engine(record)
        ]
        self._cells = CellMap.from_engines(engines)
        own_cell = self._find_own_cell()
        if own_cell != self.own_cell:
            logger.info("cell changed", extra={"cell": own_cell})
            self.own_cell = own_cell
            self.peers.on_cell_changed()
            self.guests.clear()
        self.neighbors = {
            name: self.neighbors.get(name) or NeighborCell(name, self._own_address)
            for name in self._cells.neighbors_of(
                own_cell,
                self._settings.regions_by_zone,
                self._configuration.named_regions,
            )
        }

    def _find_own_cell(self) -> str:
        settings = self._settings
        return self._cells.cell_of(settings.name, settings.availability_zone)

    def _cell_of(self, record: UpstreamRecord) -> str | None:
        if not self._has_engine(record):
            return None
        return self._cells.cell_of(record.instance_id, record.availability_zone)

    def _refresh_view(
        self,
        view: UpstreamView | None,
        record: UpstreamRecord,
        cell: str | None,
        now: float,
    ) -> UpstreamView:
        if view is None or view.record.started_ms != record.started_ms:
            cold = self._unlisted_cold.pop(record.instance_id, None) or ColdStart()
            if view is not None:
                cold = view.cold
            view = UpstreamView(record, cold=cold)
            view.claims.stagger = self._stagger_of(view)
            view.claims.on_opened(now)
            view.limit = self._unlisted_limits.pop(view.key, view.limit)
        view.record = record
        zones = self._settings.regions_by_zone
        view.region = zones.get(record.availability_zone) or None
        view.layers = self._layer_count(record.service)
        view.full_pass_s = self._full_pass_s(record.service)
        view.is_home = cell is None or cell == self.own_cell
        view.claims.window_s = (
            CLAIM_WINDOW_S if view.is_home else NEIGHBOR_CLAIM_WINDOW_S
        )
        view.cold.configure(
            self._cold_bound(record.service),
            self._cold_scope,
            name=record.instance_id,
            seed=score_member(f"cold\0{view.key}", self._settings.name),
            is_in_cell=cell is not None,
        )
        view.cold.on_record(record, now)
        return view

    def _stagger_of(self, view: UpstreamView) -> float:
        """Return this entry's place, from 0 to 1, among those that share an engine."""
        return score_member(f"slots\0{view.key}", self._settings.name) / 2**SCORE_BITS

    def _refresh_sharing(self) -> None:
        """Tell the views how many entries share each engine."""
        in_cell, in_fleet = 1 + len(self.peers.recipients()), self.entry_count
        for view in self._views.values():
            view.claims.sharing = in_cell if view.is_home else in_fleet

    def _add_view(self, view: UpstreamView, cell: str | None, now: float) -> None:
        self._views[view.instance_id] = view
        key = view.key
        self._views_by_key[key] = view
        if view.is_home:
            self._update_peer_load(key, now)
        if cell is not None:
            self._engines_by_address[view.record.address] = view
            self._views_by_cell.setdefault(cell, []).append(view)

    def agent_addresses(self) -> list[Address]:
        """Return the datagram addresses of the agents of this entry's cell."""
        return self._agents_of(self.own_cell)

    def neighbor_agent_addresses(self, cell: str, number: int) -> list[Address]:
        """Return the agents of another cell to say hello to.

        One of them knows the cell's entries; ``number`` selects it. While no entry of
        the cell is known, all of them are asked for their engines' states.
        """
        addresses = self._agents_of(cell)
        if not addresses or not self.neighbors[cell].is_known:
            return addresses
        return [addresses[number % len(addresses)]]

    def _agents_of(self, cell: str) -> list[Address]:
        return [
            Address(view.record.address.host, self._settings.internal_port)
            for view in self._views_by_cell.get(cell, ())
        ]

    # Loads of other entries.

    def build_load_report(
        self,
        *,
        is_ready: bool,
        store_era: int = 0,
        store_revisions: tuple[int, ...] = (),
        has_lost_store: bool = False,
    ) -> EntryLoad:
        """Return the next datagram for the peers.

        It holds this entry's calls and those of its guests at each upstream, and the
        revisions that it knows of the store.
        """
        loads = {
            key: view.own_load
            for key, view in self._views_by_key.items()
            if view.calls and view.is_home
        }
        for key, guest_load in self.guests.loads.items():
            loads[key] = add_loads(loads.get(key, EngineLoad()), guest_load)
        leaving = tuple(
            key for key, view in self._views_by_key.items() if view.is_leaving
        )
        report = self._make_load(loads, is_ready=is_ready)
        return replace(
            report,
            leaving=leaving,
            store_era=store_era,
            store_revisions=store_revisions,
            has_lost_store=has_lost_store,
        )

    def build_guest_report(self, cell: str, *, is_ready: bool) -> EntryLoad:
        """Return a datagram with this entry's calls in another cell.

        It asks its receiver, an entry of that cell, for the cell's summary.
        """
        loads = {
            view.key: view.own_load
            for view in self._views_by_cell.get(cell, ())
            if view.calls
        }
        return self._make_load(loads, is_ready=is_ready, summary_cell=cell)

    def _make_load(
        self,
        loads: dict[int, EngineLoad],
        *,
        is_ready: bool,
        summary_cell: str = "",
    ) -> EntryLoad:
        self._sequence += 1
        return EntryLoad(
            self._settings.name,
            self.started_ms,
            self._sequence,
            loads,
            is_ready,
            self.own_cell,
            summary_cell=summary_cell,
        )

    def apply_peer_load(self, sender: Address, load: EntryLoad, now: float) -> None:
        """Apply the load that the entry at ``sender`` reports.

        One from an entry of another cell, or for another cell, is ignored.
        """
        if load.summary_cell:
            if load.summary_cell != self.own_cell:
                return
            changed = self.guests.apply(sender, load, now)
        elif load.cell == self.own_cell:
            changed = self.peers.apply(sender, load, now)
        elif load.cell in self._cells.members:
            changed = self.peers.remove(sender)
        else:
            # It does not know of the present cells yet.
            return
        for key in changed:
            self._update_peer_load(key, now)
        for key in load.leaving:
            if key in self._views_by_key:
                self._views_by_key[key].is_leaving = True

    # Cold upstreams.

    def note_awake(self, now: float) -> None:
        """Call before requests are placed, and twice a second.

        After a suspension of this process, all upstreams with a bound on the requests
        while they are cold are assumed to have started meanwhile.
        """
        if self._cold_scope.note_awake(now):
            for view in self._views.values():
                view.cold.assume(ColdCause.SUSPENDED, now)

    def _note_entries(self, now: float) -> None:
        self._cold_scope.cells = self.cell_count
        self._cold_scope.note_entries(1 + len(self.peers.recipients()), now)

    def note_list_current(self, as_of: float) -> None:
        """Record that the list of upstreams was the newest at ``as_of``."""
        self._cold_scope.note_list_current(as_of)

    def log_cold_periods(self, telemetry: Telemetry) -> None:
        """Log and count the cold periods that began since the last call."""
        for period in self._cold_scope.take_begun():
            telemetry.count("cold.begun", cause=period.cause.value)
            logger.info(
                "upstream cold",
                extra={
                    "upstream": period.upstream,
                    "cause": period.cause.value,
                    "seconds": period.seconds,
                },
            )

    def log_evacuations(self, telemetry: Telemetry) -> None:
        """Log and count the evacuations that began or ended since the last call."""
        for event in self.evacuations.take_events():
            name = "begun" if event.is_begun else "ended"
            telemetry.count("evacuation.changed", event=name, zone=event.zone)
            logger.info(
                "evacuation",
                extra={
                    "zone": event.zone,
                    "event": name,
                    "age_s": event.age_s,
                    "upstreams": [
                        view.instance_id
                        for view in self._views.values()
                        if view.record.availability_zone == event.zone
                    ],
                },
            )

    def expire_peers(self, now: float) -> None:
        """Take silent entries out of the upstreams' loads; call periodically."""
        self._note_entries(now)
        for key in self.peers.expire(now) | self.guests.expire(now):
            self._update_peer_load(key, now)
        self._refresh_sharing()
        # Entries of this cell and its neighbors, as if each had as many as this one.
        entries = (1 + len(self.neighbors)) * (1 + len(self.peers.recipients()))
        for dispatcher in self._dispatchers.values():
            dispatcher.region_reserve.entry_count = entries

    def build_summary(self, recipient: Address, now: float) -> CellSummary:
        """Return the summary of this entry's cell for one guest."""
        upstreams = {}
        for view in self._views_by_cell.get(self.own_cell, ()):
            key = view.key
            served = view.served_model(now)
            guest_load = self.guests.load_of(recipient, key)
            upstreams[key] = UpstreamSummary(
                subtract_load(view.load, guest_load),
                served.model if served is not None else "",
                served.version if served is not None else 0,
                view.can_accept_requests(now)
                and not view.is_ejected(now)
                and not view.limit.is_limited(now)
                and not view.cold.is_cold(now),
            )
        return CellSummary(self.own_cell, upstreams)

    def apply_summary(self, summary: CellSummary, now: float) -> None:
        """Apply the summary of a neighbor cell."""
        neighbor = self.neighbors.get(summary.cell)
        if neighbor is None:
            return
        neighbor.on_summary(now)
        for key, state in summary.upstreams.items():
            view = self._views_by_key.get(key)
            if view is None or view.is_home:
                continue
            view.peer_load = state.load
            view.peer_load_at = now
            view.slowdown = max(1.0, state.load.slowdown)
            view.slowdown_at = now
            view.on_served_version(state.model, state.version, now)
            view.switching_until = (
                0.0 if state.takes_requests else now + SWITCH_NOTICE_TTL_S
            )
            if state.takes_requests:
                view.cold.on_heard(now, is_home=False)

    # States of agents.

    def apply_agent_state(
        self, state: AgentState, now: float, said_after: float | None = None
    ) -> bool:
        """Apply an agent's report on its engine, the rollouts and the known entries.

        The agent made it after ``said_after``; None if no such time is known. Returns
        whether the report has a peer that was unknown here.
        """
        view = self._engines_by_address.get(state.upstream)
        if view is not None:
            self._apply_engine_state(view, state, now)
        for rollout in state.rollouts:
            if rollout.age_s is not None and said_after is not None:
                self.version_rollouts.record_age(
                    rollout.model, rollout.version, rollout.age_s, said_after
                )
        neighbor = self.neighbors.get(state.cell)
        if neighbor is not None:
            neighbor.add_entries(state.entries, now)
        if state.cell != self.own_cell:
            return False
        is_any_new = self.peers.add_addresses(state.entries, now)
        self._note_entries(now)
        return is_any_new

    def find_ended(self, state: AgentState) -> UpstreamView | None:
        """Return the upstream of which an agent reports that it has ended, if any.

        It has if it refuses connections, or if another process runs in its place.
        """
        view = self._engines_by_address.get(state.upstream)
        started_ms = view.record.started_ms if view is not None else None
        if started_ms is None:
            return None
        is_replaced = state.started_ms > started_ms
        is_gone = state.is_down and state.started_ms == started_ms
        return view if is_replaced or is_gone else None

    def _apply_engine_state(
        self, view: UpstreamView, state: AgentState, now: float
    ) -> None:
        view.slowdown = max(1.0, state.slowdown)
        view.cold.on_agent_state(
            state.started_ms, now, is_down=state.is_down, is_home=view.is_home
        )
        view.slowdown_at = now
        if state.version is not None:
            view.on_served_version(state.model, state.version, now)
        view.switching_until = now + SWITCH_NOTICE_TTL_S if state.is_switching else 0.0
        neighbor = self.neighbors.get(state.cell)
        if neighbor is not None and not neighbor.has_summary(now):
            others = max(0, state.active - len(view.calls))
            view.peer_load = EngineLoad(writing=others)
            view.peer_load_at = now

    def _update_peer_load(self, key: int, now: float) -> None:
        view = self._views_by_key.get(key)
        if view is None:
            return
        total = add_loads(self.peers.total_load(key), self.guests.total_load(key))
        view.update_peer_load(total, now, self._random.random())

    def _has_engine(self, record: UpstreamRecord) -> bool:
        service = self._configuration.services.get(record.service)
        return service is not None and service.engine is not None

    def _cold_bound(self, name: str) -> ColdStartBound | None:
        service = self._configuration.services.get(name)
        if service is None or not service.cold_per_s or not service.cold_start_s:
            return None
        bounds = self._settings.bounds
        return ColdStartBound(
            service.cold_start_s,
            service.cold_per_s,
            bounds.cold_overage,
            bounds.cold_slack,
        )

    def _layer_count(self, name: str) -> int:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return 0
        return service.engine.layers

    def _full_pass_s(self, name: str) -> float:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            return 0.0
        return full_pass_s(service.engine)

    def _make_policy(self, name: str) -> PlacementPolicy:
        service = self._configuration.services.get(name)
        if service is None or service.engine is None:
            seed = f"{self._settings.name}/{name}"
            return PlainServicePolicy(self._distance_penalty_s, seed=seed)
        return self._placement_factory(service.engine, self._distance_penalty_s)

    def _distance_penalty_s(self, view: UpstreamView) -> float:
        zone = view.record.availability_zone
        settings = self._settings
        if zone == settings.availability_zone:
            return 0.0
        if settings.region_of(zone) == settings.region:
            return OTHER_ZONE_PENALTY_S
        return OTHER_REGION_PENALTY_S


def _has_ended(record: UpstreamRecord, listed: UpstreamRecord | None) -> bool:
    if listed is None:
        return True
    if record.started_ms is None or listed.started_ms is None:
        return False
    # A store that came back from a copy may list an earlier process.
    return listed.started_ms > record.started_ms

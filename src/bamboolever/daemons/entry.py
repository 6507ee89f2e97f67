"""The entry daemon: accepts callers' requests and routes them to upstreams.

It watches the store for the configuration, the upstreams and the model versions,
and exchanges datagrams with agents and other entries. From these it decides:

- Whether this entry is ready: the load balancer may send it connections.
- Which configuration requests are admitted by.

Load pattern: processes that start while the store is slow or away. An entry is ready
only once it knows what it needs to serve.

`callerport` admits requests. `inflightcalls` and `relay` place, relay and retry the
admitted ones.
"""

import logging
import time
from typing import Any, final

from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry
from bamboolever.calls.admission import AdmissionState
from bamboolever.config import storecalls
from bamboolever.config.freshness import Freshness
from bamboolever.config.model import Configuration
from bamboolever.config.routes import RouteTable
from bamboolever.config.watch import KindWatch, WatchTiming
from bamboolever.config.watchgroup import WatchGroup
from bamboolever.daemons.callerport import CallerPort
from bamboolever.daemons.clock import boottime_clock
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.daemons.observers import (
    ConfigurationObserver,
    EvacuationObserver,
    RevisionObserver,
    UpstreamObserver,
    VersionObserver,
)
from bamboolever.daemons.partshandler import PartsHandler
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.daemons.snapshots import SnapshotHandler
from bamboolever.daemons.statushandler import StatusHandler
from bamboolever.daemons.storerelay import WATCH_WAIT_SHARE
from bamboolever.daemons.whereanswers import WhereAnswers
from bamboolever.daemons.wherehandler import WhereHandler
from bamboolever.fleet.records import ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.handlers import (
    MAX_INTERNAL_BODY_BYTES,
    HttpLimits,
)
from bamboolever.net.server import HttpServer
from bamboolever.platform import names
from bamboolever.platform.where import MAX_QUESTION_BYTES

logger = logging.getLogger(__name__)

MAX_STORE_IDLE_S = 10.0
# How long the store holds a watch request that has no changes to return. The watch of
# the configuration waits less, as its responses confirm the API keys.
LIST_WAIT_S = 20.0
LIST_BATCH_DELAY_S = 0.6
# Share of the evacuation bound for which the store may hold a watch request. A lost
# response is noticed only after that time.
EVACUATION_WAIT_SHARE = 0.3
TIMER_MARGIN_S = 0.05


@final
class Entry:
    """One entry process: its sockets, its watches and the calls in flight.

    All methods run on the thread that calls `run`, which runs ``task``.
    """

    def __init__(self, settings: InstanceSettings):
        self._settings = settings
        self.task = IoTask("entry", clock=boottime_clock)
        self.telemetry = Telemetry("entry")
        # The first request would wait for the import otherwise.
        self.telemetry.prepare()
        self._store_pool = ConnectionPool(
            self.task,
            connect_timeout_s=storecalls.CONNECT_TIMEOUT_S,
            max_idle_s=MAX_STORE_IDLE_S,
        )
        self._freshness = Freshness(settings.bounds.key_max_age_s)
        self._configuration: Configuration | None = None
        self._route_table = RouteTable(Configuration(0))
        self._limits = HttpLimits()
        self._created_at = self.task.now()
        self._known_rollouts = 0
        self.fleet = EntryFleet(settings, int(time.time() * 1000))
        self._watches: list[KindWatch] = []
        self._open_ports()
        self._watches = self._create_watches()

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> "Entry":
        """Return an entry with open ports that serves once `run` is called.

        Raises `ValueError` when the caller or the readiness address is missing.
        """
        return cls(settings)

    def run(self) -> None:
        """Serve on the calling thread until a graceful stop is complete."""
        for server in (
            self.caller_port.server,
            self._readiness_server,
            self._metrics_server,
            self._snapshot_server,
        ):
            server.start()
        self.exchange.start()
        for watch in self._watches:
            watch.start()
        self.task.run()

    def _open_ports(self) -> None:
        settings = self._settings
        if settings.caller_address is None or settings.readiness_address is None:
            raise ValueError("an entry needs a caller and a readiness address")
        status = StatusHandler(
            names.READINESS_PATH, self.is_ready, self.telemetry.render_text
        )
        limits = HttpLimits(max_body_bytes=MAX_INTERNAL_BODY_BYTES)
        self._readiness_server = HttpServer(
            self.task, settings.readiness_address, status, limits, max_connections=32
        )
        own_address = Address(settings.host, settings.internal_port)
        self.exchange = EntryExchange(
            self.task,
            settings.name,
            own_address,
            self.fleet,
            self.telemetry,
            self._on_fleet_changed,
            self.is_ready,
            settings.bounds.configuration_timeout_s,
        )
        self.calls = InFlightCalls(
            self.task, self.telemetry, self.fleet, self.exchange, settings
        )
        self.caller_port = CallerPort(
            settings.caller_address,
            self._limits,
            settings,
            admission_state=self._admission_state,
            freshness=self._freshness,
            calls=self.calls,
            exchange=self.exchange,
            fleet=self.fleet,
            telemetry=self.telemetry,
        )
        parts = PartsHandler(self.exchange.crashes, status)
        answers = WhereAnswers(
            settings.name,
            self.fleet,
            self._admission_state,
            self.caller_port.stops_before,
            self.task.now,
        )
        self._metrics_server = HttpServer(
            self.task,
            settings.metrics_address,
            WhereHandler(answers.answer, self.task.now, parts),
            HttpLimits(max_body_bytes=MAX_QUESTION_BYTES),
            max_connections=32,
        )
        snapshots = SnapshotHandler(
            self.task.now, self.exchange.store_relay.snapshot_of
        )
        self._snapshot_server = HttpServer(
            self.task, own_address, snapshots, limits, max_connections=64
        )

    def _create_watches(self) -> list[KindWatch]:
        group = WatchGroup()

        def watch(
            kind: str, observer: Any, wait_s: float, batch_delay_s: float
        ) -> KindWatch:
            created = KindWatch(
                self.task,
                self._store_pool,
                lambda: self._settings.store_address,
                kind,
                RevisionObserver(
                    observer,
                    lambda as_of: self._on_revision(created, as_of),
                    self._on_reachability,
                ),
                WatchTiming(wait_s),
                group=group,
                batch_delay_s=batch_delay_s,
                sharing=self.exchange.store_relay,
            )
            return created

        watches = [
            watch(
                names.CONFIGURATION_KIND,
                ConfigurationObserver(
                    self._apply_configuration,
                    self._on_confirmed,
                    self._on_store_restored,
                ),
                WATCH_WAIT_SHARE * self._settings.bounds.configuration_timeout_s,
                0.0,
            ),
            watch(
                names.UPSTREAM_KIND,
                UpstreamObserver(
                    self.fleet.upstreams, self.task.now, self._on_upstreams
                ),
                LIST_WAIT_S,
                LIST_BATCH_DELAY_S,
            ),
            watch(
                names.VERSION_KIND, VersionObserver(self._on_version), LIST_WAIT_S, 0.0
            ),
        ]
        timeout_s = self._settings.bounds.evacuation_timeout_s
        if timeout_s is not None:
            # It comes last: entries name the revisions of all kinds in this order.
            watches.append(
                watch(
                    names.EVACUATION_KIND,
                    EvacuationObserver(
                        self.fleet.evacuations,
                        self.task.now,
                        lambda: self.exchange.store_relay.era,
                        self._on_evacuations,
                    ),
                    EVACUATION_WAIT_SHARE * timeout_s,
                    0.0,
                )
            )
        for each in watches:
            self.exchange.store_relay.add_watch(each)
        return watches

    # Updates from the store.

    def _apply_configuration(self, configuration: Configuration) -> None:
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return
        self._configuration = configuration
        self._route_table = RouteTable(configuration)
        limits = configuration.limits
        self._limits.max_header_bytes = limits.max_header_bytes
        self._limits.max_body_bytes = limits.max_body_bytes
        self._limits.header_timeout_s = limits.header_timeout_s
        self._limits.idle_timeout_s = limits.idle_timeout_s
        self.caller_port.allow_request(self._limits)
        self.fleet.apply_configuration(configuration)
        self._refresh_views()
        self.calls.apply_configuration(configuration, self._route_table)
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "routes": len(configuration.routes),
                "services": len(configuration.services),
            },
        )

    def _on_confirmed(self, as_of: float) -> None:
        self._freshness.confirm(as_of)

    def _on_fleet_changed(self) -> None:
        if self.fleet.version_rollouts.rollout_count != self._known_rollouts:
            self._on_rollouts_changed()
        if self.fleet.has_waiting_calls:
            self.calls.on_fleet_changed()

    def _on_rollouts_changed(self) -> None:
        self._known_rollouts = self.fleet.version_rollouts.rollout_count
        self.calls.on_version_added()

    def _on_store_restored(self) -> None:
        now = self.task.now()
        self._freshness.on_store_restored(now)
        self.fleet.version_rollouts.on_store_restored(
            self.exchange.store_relay.era, now
        )

    def _refresh_views(self) -> None:
        known = set(self.fleet.agent_addresses())
        former_cell = self.fleet.own_cell
        ended = self.fleet.refresh_views(self.task.now())
        self.calls.on_upstreams_ended(ended)
        if self.fleet.own_cell != former_cell:
            self.exchange.on_cell_changed()
            return
        new = [each for each in self.fleet.agent_addresses() if each not in known]
        if not known and new:
            # Agents respond with the ages of rollouts and the addresses of the other
            # entries. An entry that has just started cannot know these.
            self.exchange.send_hello_to_agents()
        else:
            # An agent that has just started waits for a hello, too.
            self.exchange.send_hello(new)

    def _on_upstreams(self) -> None:
        self._refresh_views()
        for service in self.fleet.services():
            self.calls.on_capacity_changed(service)
        now = self.task.now()
        removal_at = self.fleet.upstreams.deferred_removal_at(now)
        if removal_at is not None:
            delay_s = removal_at - now + TIMER_MARGIN_S
            self.task.call_later(max(TIMER_MARGIN_S, delay_s), self._on_upstreams)

    def _on_revision(self, watch: KindWatch, as_of: float) -> None:
        if watch.revision is not None:
            rollouts = self.fleet.version_rollouts
            rollouts.confirm(watch.era, watch.revision, as_of)
            self.fleet.upstreams.on_store_answered(as_of)
            self.fleet.evacuations.confirm(watch.era, watch.revision, as_of)
            if self._is_list_at(watch.era, watch.revision):
                self.fleet.note_list_current(as_of)

    def _on_reachability(self, is_reachable: bool) -> None:
        # That of any watch: the list holds one call for long and notices little.
        self.fleet.upstreams.set_store_reachable(is_reachable, self.task.now())
        # The next entry in rank watches the store while this one has lost it.
        self.exchange.schedule_load_update()

    def _is_list_at(self, era: int, revision: int) -> bool:
        """Return whether the list of upstreams holds all changes up to a revision."""
        for watch in self._watches:
            if watch.kind == names.UPSTREAM_KIND:
                known = watch.revision
                return watch.era == era and known is not None and known >= revision
        return False

    def _on_evacuations(self) -> None:
        self.fleet.log_evacuations(self.telemetry)
        if self.fleet.has_waiting_calls:
            self.calls.on_fleet_changed()

    def _on_version(self, model_version: ModelVersion, revision: int | None) -> None:
        rollouts = self.fleet.version_rollouts
        model, version = model_version.model, model_version.version
        if rollouts.add(model, version, revision=revision):
            logger.info(
                "version named",
                extra={
                    "model": model,
                    "version": version,
                    "age_s": rollouts.age_s(model, version, self.task.now()),
                },
            )
            self.exchange.send_hello_to_agents()
            self._on_rollouts_changed()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections.

        Needs a configuration, a list of upstreams, trusted API keys and, where the
        deployment has them, the evacuations.
        """
        return (
            not self.caller_port.graceful_stop.is_requested
            and self._configuration is not None
            and self.fleet.upstreams.is_known
            and self._knows_evacuations()
            and self._freshness.can_trust_keys(self.task.now())
        )

    def _knows_evacuations(self) -> bool:
        """Return whether the evacuations are known, or were waited for long enough.

        A store that serves all other kinds must not keep this entry out for good.
        """
        timeout_s = self._settings.bounds.evacuation_timeout_s
        if timeout_s is None or self.task.now() - self._created_at > timeout_s:
            return True
        return any(
            watch.kind == names.EVACUATION_KIND and watch.revision is not None
            for watch in self._watches
        )

    def _admission_state(self) -> AdmissionState:
        can_trust_keys = self._freshness.can_trust_keys(self.task.now())
        return AdmissionState(self._configuration, self._route_table, can_trust_keys)

    def request_stop(self) -> None:
        """Start a graceful stop; call on the task's thread.

        The entry is unready at once. It stops when no request is arriving and callers
        have their responses, or when the grace period ends.
        """
        self.caller_port.graceful_stop.request()

    def apply_settings(self, settings: InstanceSettings) -> None:
        """Apply changed settings; call on the task's thread.

        Open ports keep their addresses.
        """
        known_zones = self._settings.regions_by_zone
        self._settings = settings
        self.caller_port.graceful_stop.grace_period_s = settings.bounds.grace_period_s
        self._freshness.max_age_s = settings.bounds.key_max_age_s
        if settings.regions_by_zone != known_zones:
            self.fleet.apply_zones(settings.regions_by_zone)
            self._refresh_views()
        logger.info("settings reloaded", extra={"store": str(settings.store_address)})

"""The entry: accepts callers' HTTP requests and runs them at upstreams.

The entry receives callers' requests, agents' frames and the platform's configuration.
The `CallCoordinator` decides on the calls, and the entry executes its actions: it sends
attempts to agents and responses to callers, and writes claims and quarantines to the
platform. It also sends each agent the target version of its service.

The entry decides which agents it connects to and how often it calls the platform:

- It connects to a bounded subset of each service's agents, those in its own zone
  first. Otherwise the number of connections would grow with agents times entries.
- It reads the instance list and writes its status less often in a larger fleet, so
  that the platform's load stays bounded.
- It closes the callers' port only after its readiness has failed for a while, so
  that the balancer has stopped sending callers here.
"""

import json
import logging
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, final

from bamboolever._agent import MANIFEST_KIND, make_target
from bamboolever._callerhttp import (
    CallerConnection,
    CallerHandler,
    CallerRequest,
    CallerServer,
)
from bamboolever._callparse import RequestRefused, index_api_keys, parse_call
from bamboolever._calls import (
    AbortStream,
    CallAction,
    CancelAttempt,
    ClaimCall,
    CountRetry,
    Dispatch,
    FinishStream,
    Refusal,
    RefusalReason,
    Respond,
    RunOutcome,
    SendPiece,
    SettleClaim,
    ShareQuarantine,
    StartStream,
)
from bamboolever._claims import (
    ClaimResult,
)
from bamboolever._claimtracker import ClaimTracker
from bamboolever._claimwriter import ClaimWriter
from bamboolever._configwatch import ConfigurationWatcher
from bamboolever._connection import ConnectionHandler, FrameConnection, Identity
from bamboolever._coordinator import CallCoordinator
from bamboolever._documents import (
    CONFIGURATION_KINDS,
    ROLLOUT_KIND,
    SERVICE_KIND,
    Contract,
    Distribution,
    DocumentKey,
    Rollout,
    ServiceDocument,
)
from bamboolever._feed import ConfigurationFeed
from bamboolever._kernel import Kernel, Service
from bamboolever._membership import Member, Membership
from bamboolever._pendingresponses import PendingResponses
from bamboolever._platform import (
    HttpPlatform,
    InstanceRecord,
    Platform,
    PlatformError,
    Snapshot,
    WriteConflict,
)
from bamboolever._poison import QUARANTINE_S
from bamboolever._protocol.ttypes import (
    CallCancel,
    CallStart,
    Frame,
    ManifestReply,
    ManifestRequest,
    Outcome,
    Report,
    Target,
)
from bamboolever._routing import UpstreamView
from bamboolever._settings import EntrySettings
from bamboolever._subset import rank_members
from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry, read_rss_bytes

logger = logging.getLogger(__name__)

STATUS_KIND = "status"
QUARANTINE_KIND = "quarantine"
DRAIN_KIND = "drains"
WATCHED_KINDS = (*CONFIGURATION_KINDS, QUARANTINE_KIND, DRAIN_KIND)

BACKGROUND_THREADS = 8
TICK_PERIOD_S = 0.02
IDLE_TICK_PERIOD_S = 0.1
MIN_INSTANCE_POLL_PERIOD_S = 1.0
#: Agents that one entry reads from the instance list per second, at most.
MAX_LISTED_INSTANCES_PER_S = 100.0
#: Status objects that all entries together write per second, at most.
MAX_STATUS_WRITES_PER_S = 50.0
RECONNECT_DELAY_S = 0.5
RETRY_AFTER_S = 1.0
MAX_UPSTREAMS_PER_SERVICE = 64
MAX_CACHED_MANIFESTS = 8
MAX_DIGESTS_PER_DEATH = 4096

OUTCOMES = {
    Outcome.NOT_RUN: RunOutcome.NOT_RUN,
    Outcome.RAN: RunOutcome.RAN,
    Outcome.UNKNOWN: RunOutcome.UNKNOWN,
}


@final
class Entry(Service):
    """One entry instance.

    Its state belongs to its task. Blocking calls to the platform run on background
    threads. The methods ``on_...`` are called on the task, the others on any thread.
    """

    def __init__(self, settings: EntrySettings, *, platform: Platform):
        self._settings = settings
        self._platform = platform
        self.telemetry = Telemetry("entry")
        self._task = IoTask(f"entry-{settings.instance_id}")
        self._background = ThreadPoolExecutor(BACKGROUND_THREADS, "entry-background")
        keys = tuple(key.encode() for key in settings.shared_keys)
        self._identity = Identity(
            settings.instance_id,
            "entry",
            settings.region,
            settings.availability_zone,
            keys,
        )
        self._coordinator = CallCoordinator(
            settings.region, settings.availability_zone, seed=hash(uuid.uuid4())
        )
        self._feed = ConfigurationFeed()
        self._contracts: dict[str, Contract] = {}
        self._membership = Membership()
        self._claim_writer = ClaimWriter(
            self._task, self._background, platform, self.telemetry
        )
        self._claim_tracker = ClaimTracker(
            settings.instance_id, self._claim_writer, self._membership
        )
        self._responses = PendingResponses(self.telemetry)
        self._action_handlers = self._make_action_handlers()
        self._agents: dict[str, FrameConnection] = {}
        self._reconnect_at: dict[str, float] = {}
        self._agent_reports: dict[str, Report] = {}
        self._cached_manifests: dict[str, bytes] = {}
        self._next_call_id = 1
        self._is_ready = False
        self._is_stopping = False
        self._status_revision = 0
        self._is_status_pending = False
        self._caller_server = CallerServer(
            self._task,
            (settings.host, settings.caller_port),
            _RequestHandler(self),
            max_connections=settings.max_connections,
        )
        self._watcher = ConfigurationWatcher(
            platform,
            WATCHED_KINDS,
            self.telemetry,
            on_snapshot=self._post_snapshot,
            on_changes=self._post_changes,
        )

    @classmethod
    def from_config(cls, settings: EntrySettings) -> "Entry":
        """Return an entry that uses the platform over HTTP."""
        return cls(settings, platform=HttpPlatform.from_config(settings.platform))

    @property
    def name(self) -> str:
        """See `Service.name`."""
        return "entry"

    @property
    def port(self) -> int:
        """Port on which the entry accepts callers."""
        return self._caller_server.port

    @property
    def record(self) -> InstanceRecord:
        """The record of this instance for the platform's instance list."""
        settings = self._settings
        return InstanceRecord(
            settings.instance_id,
            "entry",
            "",
            settings.region,
            settings.availability_zone,
            settings.host,
            self.port,
            False,
        )

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration up to which this entry has every change."""
        return self._feed.revision

    def find_revision(self, kind: str, name: str) -> int:
        """Return the revision of an object known to this entry, 0 when unknown."""
        return self._feed.get_revision(kind, name)

    def start(self, kernel: Kernel) -> None:
        """See `Service.start`."""
        self._task.start()
        self._task.send(self._on_start)
        self._watcher.start()

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers to this entry."""
        return self._is_ready and not self._is_stopping

    def drain(self) -> bool:
        """Stop accepting callers and wait for the open calls.

        Readiness fails at once. The callers' port closes ``balancer_delay`` later,
        when the balancer has noticed. Returns whether every call and claim ended, and
        callers had their responses, within ``drain_timeout``; blocks for up to the sum
        of the two.
        """
        self._is_stopping = True
        time.sleep(self._settings.balancer_delay)
        self._task.send(self._caller_server.stop_accepting)
        deadline = time.monotonic() + self._settings.drain_timeout
        while time.monotonic() < deadline:
            if self._is_drained_of_calls():
                return True
            time.sleep(0.02)
        return False

    def _is_drained_of_calls(self) -> bool:
        has_calls = self._coordinator.open_calls or self._claim_writer.pending
        return not has_calls and self._caller_server.is_idle

    def stop(self) -> None:
        """See `Service.stop`."""
        self._is_stopping = True
        self._watcher.stop()
        self._task.send(self._close_agents)
        self._task.stop()
        self._background.shutdown(wait=False, cancel_futures=True)

    def describe_status(self) -> dict[str, Any]:
        """Return the content of this entry's status object."""
        field_names = Report().__slots__
        agents = [
            {name: getattr(report, name) for name in field_names}
            for report in list(self._agent_reports.values())
        ]
        refused = [
            {"document": f"{r.key.kind}/{r.key.name}", "problem": r.problem}
            for r in self._feed.refused
        ]
        return {
            "instance_id": self._settings.instance_id,
            "region": self._settings.region,
            "availability_zone": self._settings.availability_zone,
            "written_at": time.time(),
            "revision": self._feed.revision,
            "refused_documents": refused,
            "rss_bytes": read_rss_bytes(),
            "open_calls": self._coordinator.open_calls,
            "quarantined": self._coordinator.poison.list_quarantined(self._task.now()),
            "refusals": self.telemetry.sum_by_attribute("refusals", "reason"),
            "retries": self.telemetry.sum_by_attribute("retries", "reason"),
            "agents": agents,
        }

    # Start and timers.

    def _on_start(self) -> None:
        self._caller_server.start()
        self._on_tick()
        self._poll_instances()
        self._task.call_later(self._settings.status_period, self._write_status)

    def _on_tick(self) -> None:
        self._execute(self._coordinator.tick(self._task.now()))
        is_busy = self._coordinator.open_calls > 0
        period_s = TICK_PERIOD_S if is_busy else IDLE_TICK_PERIOD_S
        self._task.call_later(period_s, self._on_tick)

    # Configuration. The watcher calls the two `_post_...` methods on its own thread.

    def _post_snapshot(self, snapshot: Snapshot) -> None:
        self._task.send(lambda: self._on_snapshot(snapshot))

    def _post_changes(self, from_revision: int, snapshot: Snapshot) -> None:
        self._task.send(lambda: self._on_changes(from_revision, snapshot))

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        changed = self._feed.apply_snapshot(snapshot.revision, list(snapshot.objects))
        self._is_ready = True
        self._apply_configuration(changed)

    def _on_changes(self, from_revision: int, snapshot: Snapshot) -> None:
        changed = self._feed.apply_changes(
            from_revision, snapshot.revision, list(snapshot.objects)
        )
        if changed:
            self._apply_configuration(changed)

    def _apply_configuration(self, changed: list[DocumentKey]) -> None:
        if not changed:
            return
        self._contracts = index_api_keys(self._feed)
        for key in changed:
            if key.kind == QUARANTINE_KIND:
                self._apply_quarantine(key.name)
            elif key.kind == DRAIN_KIND:
                self._apply_drain(key.name)
        for agent_id, connection in self._agents.items():
            self._send_target(agent_id, connection)

    def _apply_quarantine(self, digest: str) -> None:
        if self._feed.is_present(QUARANTINE_KIND, digest):
            self._coordinator.poison.quarantine(digest, self._task.now())
            return
        self._coordinator.poison.lift_quarantine(digest)

    def _send_target(self, agent_id: str, connection: FrameConnection) -> None:
        """Send an agent the target of its service, if the agent does not have it yet.

        The fencing token in the agent's report shows which target it has.
        """
        member = self._membership.get(agent_id)
        if member is None or not connection.is_open:
            return
        target = self._find_target(member.record.service)
        report = self._agent_reports.get(agent_id)
        if target is None:
            return
        if report is not None and (report.fencing or 0) >= target.fencing:
            return
        connection.send(target=target)

    def _find_target(self, service: str) -> Target | None:
        rollout = self._feed.get(ROLLOUT_KIND, service)
        if not isinstance(rollout, Rollout):
            return None
        document = self._feed.get(SERVICE_KIND, service)
        distribution = Distribution()
        if isinstance(document, ServiceDocument):
            distribution = document.distribution
        fencing = self._feed.get_revision(ROLLOUT_KIND, service)
        return make_target(rollout, distribution, fencing)

    def _apply_drain(self, agent_id: str) -> None:
        view = self._coordinator.upstreams.get(agent_id)
        if view is not None and self._is_drained(agent_id):
            view.is_leaving = True

    def _is_drained(self, agent_id: str) -> bool:
        return self._feed.is_present(DRAIN_KIND, agent_id)

    # Instances.

    def _poll_instances(self) -> None:
        region = self._settings.region
        self._task.submit(
            self._background,
            lambda: self._platform.list_instances(region),
            self._on_instances,
        )

    def _on_instances(self, future: "Future[list[InstanceRecord]]") -> None:
        try:
            if not self._membership.apply_list(future.result(), self._task.now()):
                self.telemetry.count("instance_lists_held_back")
        except PlatformError:
            self.telemetry.count("platform_failures", reason="instance-list")
        entries = [
            m for m in self._membership.members(role="entry") if not m.is_leaving
        ]
        self._coordinator.set_share(1.0 / max(1, len(entries)))
        agents = self._membership.members(role="agent")
        self._connect_agents(agents)
        for member in agents:
            view = self._coordinator.upstreams.get(member.record.instance_id)
            if view is not None and member.is_leaving:
                view.is_leaving = True
        period_s = max(
            MIN_INSTANCE_POLL_PERIOD_S, len(agents) / MAX_LISTED_INSTANCES_PER_S
        )
        self._task.call_later(period_s, self._poll_instances)

    def _connect_agents(self, agents: list[Member]) -> None:
        now = self._task.now()
        selected = _select_agents(agents, self._settings)
        for member in selected:
            record = member.record
            agent_id = record.instance_id
            if agent_id in self._agents or member.is_leaving:
                continue
            if now < self._reconnect_at.get(agent_id, 0.0):
                continue
            self._agents[agent_id] = FrameConnection.connect(
                self._task,
                (record.host, record.port),
                self._identity,
                _AgentHandler(self, agent_id),
            )

    def _reconnect(self, agent_id: str) -> None:
        member = self._membership.get(agent_id)
        if member is not None and not self._is_stopping:
            self._connect_agents([member])

    # Agents.

    def on_agent_open(self, agent_id: str, connection: FrameConnection) -> None:
        """Called when the connection to an agent is authenticated.

        Adds the agent's upstream, so that calls can be sent to it.
        """
        if connection.peer_id != agent_id:
            # Another instance now uses this address.
            connection.close("another instance answered")
            return
        self._membership.on_connected(agent_id)
        member = self._membership.get(agent_id)
        if member is None:
            connection.close("no longer in the instance list")
            return
        record = member.record
        view = UpstreamView(
            agent_id,
            record.service,
            record.region,
            record.availability_zone,
            capacity=1,
        )
        self._execute(self._coordinator.set_upstream(view, self._task.now()))
        self._apply_drain(agent_id)
        self._send_target(agent_id, connection)

    def on_agent_frame(
        self, agent_id: str, connection: FrameConnection, frame: Frame
    ) -> None:
        """Called for each frame from an agent."""
        now = self._task.now()
        if frame.call_piece is not None:
            piece = frame.call_piece
            self._execute(self._coordinator.on_piece(piece.call_id, piece.data, now))
        elif frame.call_head is not None:
            head = frame.call_head
            self._execute(
                self._coordinator.on_head(
                    head.call_id,
                    status=head.status,
                    content_type=head.content_type or "",
                    version=head.version or "",
                    now=now,
                )
            )
        elif frame.call_end is not None:
            end = frame.call_end
            outcome = OUTCOMES.get(end.outcome, RunOutcome.UNKNOWN)
            self._execute(
                self._coordinator.on_end(
                    end.call_id,
                    outcome,
                    is_complete=bool(end.complete),
                    reason=end.reason or "unknown",
                    now=now,
                )
            )
        elif frame.report is not None:
            self._on_report(agent_id, connection, frame.report)
        elif frame.upstream_death is not None:
            death = frame.upstream_death
            digests = set((death.body_digests or [])[:MAX_DIGESTS_PER_DEATH])
            is_exclusive = bool(death.exclusive)
            self._execute(
                self._coordinator.on_upstream_death(
                    digests, now, is_exclusive=is_exclusive
                )
            )
        elif frame.manifest_request is not None:
            self._on_manifest_request(connection, frame.manifest_request)

    def on_agent_close(
        self, agent_id: str, connection: FrameConnection, reason: str
    ) -> None:
        """Called when the connection to an agent ended or could not be opened.

        Ends the attempts at the agent and connects again after a delay.
        """
        if self._agents.get(agent_id) is not connection:
            return
        del self._agents[agent_id]
        self._agent_reports.pop(agent_id, None)
        self._membership.on_disconnected(agent_id)
        self._reconnect_at[agent_id] = self._task.now() + RECONNECT_DELAY_S
        self.telemetry.count("agent_connections_closed", reason=reason[:40])
        is_silent = reason.startswith("silent")
        now = self._task.now()
        actions = self._coordinator.on_upstream_lost(agent_id, now, is_silent=is_silent)
        self._execute(actions)
        self._task.call_later(RECONNECT_DELAY_S, lambda: self._reconnect(agent_id))

    def _on_report(
        self, agent_id: str, connection: FrameConnection, report: Report
    ) -> None:
        self._agent_reports[agent_id] = report
        if report.leaving:
            self._membership.on_leaving(agent_id)
        actions = self._coordinator.on_report(
            agent_id,
            in_flight=report.in_flight or 0,
            capacity=report.capacity or 1,
            version=report.version or "",
            is_accepting=bool(report.accepting),
            is_leaving=bool(report.leaving) or self._is_drained(agent_id),
            now=self._task.now(),
        )
        self._execute(actions)
        self._send_target(agent_id, connection)

    def _on_manifest_request(
        self, connection: FrameConnection, request: ManifestRequest
    ) -> None:
        digest = request.manifest_digest or ""
        cached = self._cached_manifests.get(digest)
        if cached is not None:
            connection.send(manifest_reply=ManifestReply(digest, True, cached))
            return
        self._task.submit(
            self._background,
            lambda: self._platform.get(MANIFEST_KIND, digest),
            lambda future: self._on_manifest_read(connection, digest, future),
        )

    def _on_manifest_read(
        self, connection: FrameConnection, digest: str, future: "Future[Any]"
    ) -> None:
        try:
            stored = future.result()
        except PlatformError:
            self.telemetry.count("platform_failures", reason="manifest")
            return
        if stored is None:
            connection.send(manifest_reply=ManifestReply(digest, False, b""))
            return
        while len(self._cached_manifests) >= MAX_CACHED_MANIFESTS:
            del self._cached_manifests[next(iter(self._cached_manifests))]
        self._cached_manifests[digest] = stored.value
        connection.send(manifest_reply=ManifestReply(digest, True, stored.value))

    def _close_agents(self) -> None:
        for connection in list(self._agents.values()):
            connection.close("stopping")

    # Callers.

    def on_caller_request(
        self, connection: CallerConnection, received: CallerRequest
    ) -> None:
        """Called for each complete request; refuses it or starts a call."""
        call_id = self._next_call_id
        self._next_call_id += 1
        now = self._task.now()
        if not self._is_ready:
            message = "this entry has no configuration yet"
            refusal = Refusal(
                call_id,
                RefusalReason.NOT_READY,
                RunOutcome.NOT_RUN,
                message,
                RETRY_AFTER_S,
            )
            self._responses.send_refusal(connection, refusal, "")
            return
        try:
            parsed = parse_call(
                received,
                call_id=call_id,
                contracts=self._contracts,
                feed=self._feed,
                now=now,
            )
        except RequestRefused as refused:
            refusal = Refusal(call_id, refused.reason, RunOutcome.NOT_RUN, str(refused))
            self._responses.send_refusal(connection, refusal, "")
            return
        self._responses.add(connection, parsed.request)
        self.telemetry.count("calls", workspace=parsed.request.workspace)
        self._execute(
            self._coordinator.arrive(
                parsed.request, parsed.contract, parsed.service, now
            )
        )

    def on_caller_gone(self, connection: CallerConnection) -> None:
        """Called when a caller closed its connection while a response was due."""
        call_id = self._responses.remove_caller(connection)
        if call_id is None:
            return
        self.telemetry.count("callers_gone")
        now = self._task.now()
        self._execute(self._coordinator.on_caller_gone(call_id, now))

    # Actions.

    def _execute(self, actions: list[CallAction]) -> None:
        for action in actions:
            self._action_handlers[type(action)](action)

    def _make_action_handlers(self) -> dict[type, Callable[[Any], None]]:
        responses = self._responses
        return {
            Refusal: responses.refuse,
            Respond: responses.respond,
            StartStream: responses.start_stream,
            SendPiece: responses.send_piece,
            FinishStream: responses.finish_stream,
            AbortStream: responses.abort_stream,
            Dispatch: self._send_attempt,
            CancelAttempt: self._send_cancel,
            ClaimCall: self._claim_key,
            SettleClaim: self._claim_tracker.settle,
            ShareQuarantine: self._share_quarantine,
            CountRetry: self._count_retry,
        }

    def _send_attempt(self, dispatch: Dispatch) -> None:
        request = dispatch.request
        connection = self._agents.get(dispatch.upstream_id)
        if connection is None or not connection.is_open:
            now = self._task.now()
            actions = self._coordinator.on_end(
                dispatch.attempt_id,
                RunOutcome.NOT_RUN,
                is_complete=False,
                reason="connection-lost",
                now=now,
            )
            self._execute(actions)
            return
        remaining_s = max(0.001, dispatch.deadline_at - self._task.now())
        connection.send(
            call_start=CallStart(
                call_id=dispatch.attempt_id,
                trace_id=request.trace_id,
                method=request.method,
                path=request.path,
                content_type=request.content_type,
                body=request.body,
                stream=request.is_stream,
                priority=request.priority,
                deadline_ms=int(remaining_s * 1000) + 1,
                required_version=dispatch.required_version,
                resume_from=dispatch.resume_from,
                dispatch_key="" if request.is_idempotent else request.idempotency_key,
                body_digest=request.body_digest,
                suspect=dispatch.is_suspect,
            )
        )

    def _send_cancel(self, cancel: CancelAttempt) -> None:
        connection = self._agents.get(cancel.upstream_id)
        if connection is not None:
            connection.send(call_cancel=CallCancel(cancel.attempt_id))

    def _claim_key(self, claim: ClaimCall) -> None:
        call_id = claim.request.call_id
        self._claim_tracker.claim(
            claim.request, lambda result: self._on_claim(call_id, result)
        )

    def _on_claim(self, call_id: int, result: ClaimResult) -> None:
        now = self._task.now()
        self._execute(self._coordinator.on_claim(call_id, result, now))

    def _share_quarantine(self, share: ShareQuarantine) -> None:
        logger.error("request quarantined: %s", share.body_digest)
        self.telemetry.count("quarantines")
        digest = share.body_digest
        value = json.dumps({"found_by": self._settings.instance_id}).encode()
        self._task.submit(
            self._background,
            lambda: _write_quarantine(self._platform, digest, value),
            lambda future: self._on_quarantine_written(digest, future),
        )

    def _on_quarantine_written(self, digest: str, future: "Future[int]") -> None:
        if future.exception() is None:
            revision = future.result()
            self._task.call_later(
                QUARANTINE_S, lambda: self._delete_quarantine(digest, revision)
            )
            return
        self.telemetry.count("platform_failures", reason="quarantine")
        self._task.call_later(
            1.0, lambda: self._share_quarantine(ShareQuarantine(digest))
        )

    def _delete_quarantine(self, digest: str, revision: int) -> None:
        if not revision:
            return
        self._task.submit(
            self._background,
            lambda: self._platform.delete(
                QUARANTINE_KIND, digest, expected_revision=revision
            ),
            self._on_quarantine_deleted,
        )

    def _on_quarantine_deleted(self, future: "Future[int]") -> None:
        if future.exception() is not None:
            self.telemetry.count("platform_failures", reason="quarantine")

    def _count_retry(self, retry: CountRetry) -> None:
        self.telemetry.count("retries", reason=retry.reason)

    # Status.

    def _write_status(self) -> None:
        entries = len(self._membership.members(role="entry"))
        period_s = max(self._settings.status_period, entries / MAX_STATUS_WRITES_PER_S)
        self._task.call_later(period_s, self._write_status)
        if self._is_status_pending:
            return
        self._is_status_pending = True
        value = json.dumps(self.describe_status()).encode()
        self._task.submit(
            self._background, lambda: self._put_status(value), self._on_status_written
        )

    def _put_status(self, value: bytes) -> int:
        name = self._settings.instance_id
        try:
            return self._platform.write(
                STATUS_KIND, name, value, expected_revision=self._status_revision
            )
        except WriteConflict as conflict:
            return conflict.current.revision if conflict.current else 0

    def _on_status_written(self, future: "Future[int]") -> None:
        self._is_status_pending = False
        try:
            self._status_revision = future.result()
        except PlatformError:
            self.telemetry.count("platform_failures", reason="status")


class _RequestHandler(CallerHandler):
    """Forwards the events of the callers' port to the entry."""

    def __init__(self, entry: Entry):
        self._entry = entry

    def on_request(self, connection: CallerConnection, request: CallerRequest) -> None:
        self._entry.on_caller_request(connection, request)

    def on_caller_gone(self, connection: CallerConnection) -> None:
        self._entry.on_caller_gone(connection)

    def on_bad_request(self, reason: str) -> None:
        self._entry.telemetry.count("refusals", reason=reason)


class _AgentHandler(ConnectionHandler):
    """Forwards the events of the connection to one agent to the entry."""

    def __init__(self, entry: Entry, agent_id: str):
        self._entry = entry
        self._agent_id = agent_id

    def on_open(self, connection: FrameConnection) -> None:
        self._entry.on_agent_open(self._agent_id, connection)

    def on_frame(self, connection: FrameConnection, frame: Frame) -> None:
        self._entry.on_agent_frame(self._agent_id, connection, frame)

    def on_close(self, connection: FrameConnection, reason: str) -> None:
        self._entry.on_agent_close(self._agent_id, connection, reason)


def _select_agents(agents: list[Member], settings: EntrySettings) -> list[Member]:
    """Return the agents to connect to, a stable subset of each service's agents.

    Agents in this entry's availability zone come first.
    """
    by_service: dict[str, dict[str, Member]] = {}
    for member in agents:
        group = by_service.setdefault(member.record.service, {})
        group[member.record.instance_id] = member
    selected: list[Member] = []
    for group in by_service.values():
        ranked = rank_members(settings.instance_id, group)
        ranked.sort(
            key=lambda member_id, group=group: (  # type: ignore[misc]
                group[member_id].record.availability_zone != settings.availability_zone
            )
        )
        selected += [
            group[member_id] for member_id in ranked[:MAX_UPSTREAMS_PER_SERVICE]
        ]
    return selected


def _write_quarantine(platform: Platform, digest: str, value: bytes) -> int:
    """Write a quarantine and return its revision.

    Returns 0 if another entry has written it, which then also deletes it.
    """
    try:
        return platform.write(QUARANTINE_KIND, digest, value, expected_revision=0)
    except WriteConflict:
        return 0

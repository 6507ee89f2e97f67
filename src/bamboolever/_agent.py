"""The agent: runs beside one upstream and connects it to the fleet.

It handles frames of entries and other agents, the platform's objects and the results of
blocking work. `Activation` decides when the upstream loads a version, and a
distribution policy which chunks to fetch; the agent carries their actions out. It runs
the calls of entries at the upstream through the `CallRelay`, and sends entries reports
of its state.

The agent itself decides how often it calls the platform:

- It reads the instance list, and requests swap slots, less often in a larger fleet, so
  that the platform's load stays bounded.
- Entries send it the target version and the manifest. It reads them from the platform
  only while no entry does.
"""

import logging
import random
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, final

from bamboolever._activation import (
    Activation,
    ActivationAction,
    ActivationTarget,
    ServedModel,
)
from bamboolever._callrelay import (
    REFUSED_LEAVING,
    REFUSED_SWAPPING,
    REFUSED_VERSION,
    CallRelay,
)
from bamboolever._chunkstore import ChunkStore, MemoryChunkStore
from bamboolever._connection import (
    ConnectionHandler,
    FrameConnection,
    FrameListener,
    Identity,
)
from bamboolever._documents import (
    ROLLOUT_KIND,
    SERVICE_KIND,
    Distribution,
    DocumentError,
    Rollout,
    ServiceDocument,
    decode_document,
)
from bamboolever._kernel import Kernel, Service
from bamboolever._manifest import Manifest, ManifestError
from bamboolever._membership import Membership
from bamboolever._origin import HttpOrigin, Origin
from bamboolever._platform import (
    HttpPlatform,
    InstanceRecord,
    Platform,
    PlatformError,
)
from bamboolever._protocol.ttypes import (
    CallStart,
    Frame,
    ManifestReply,
    ManifestRequest,
    Report,
    Target,
    UpstreamDeath,
)
from bamboolever._settings import AgentSettings
from bamboolever._swapslot import SwapSlotClient
from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry, read_rss_bytes
from bamboolever._transfer import ChunkTransfer
from bamboolever._upstream import HttpUpstream, Upstream, UpstreamError

logger = logging.getLogger(__name__)

MANIFEST_KIND = "manifests"
BACKGROUND_THREADS = 8
ADVANCE_PERIOD_S = 0.05
REPORT_PERIOD_S = 1.0
MIN_INSTANCE_POLL_PERIOD_S = 2.0
#: Instances that one agent reads from the instance list per second, at most.
MAX_LISTED_INSTANCES_PER_S = 100.0
#: Time without a frame from an entry after which the target is read from the platform.
ENTRY_TIMEOUT_S = 10.0
DEFAULT_SERVING_SHARE = 0.5
MIN_SLOT_RETRY_DELAY_S = 0.3
#: Requests for swap slots of all instances of a service per second, at most.
MAX_SLOT_REQUESTS_PER_S = 200.0
MANIFEST_RETRY_DELAY_S = 1.0
#: Version that is reported for an upstream that serves no model.
PLAIN_VERSION = "plain"


@final
class Agent(Service):
    """The agent of one upstream.

    Blocking work runs on executor threads, all else on the agent's task. ``origin`` is
    None if the agent fetches no weights.
    """

    def __init__(
        self,
        settings: AgentSettings,
        *,
        platform: Platform,
        origin: Origin | None,
        upstream: Upstream,
        store: ChunkStore | None = None,
    ):
        self._settings = settings
        self._platform = platform
        self._upstream = upstream
        self._is_model = settings.kind == "model"
        self.telemetry = Telemetry("agent")
        self._task = IoTask(f"agent-{settings.instance_id}")
        self._background = ThreadPoolExecutor(BACKGROUND_THREADS, "agent-background")
        self._call_threads = ThreadPoolExecutor(settings.capacity, "agent-call")
        keys = tuple(key.encode() for key in settings.shared_keys)
        self._identity = Identity(
            settings.instance_id,
            "agent",
            settings.region,
            settings.availability_zone,
            keys,
        )
        self._store = store or MemoryChunkStore()
        self._membership = Membership()
        self._activation = Activation()
        self._target: Target | None = None
        self._manifest: Manifest | None = None
        self._manifests: dict[str, Manifest] = {}
        self._connections: set[FrameConnection] = set()
        self._entries: set[FrameConnection] = set()
        self._swap_slot = SwapSlotClient(
            platform, settings.service, settings.instance_id
        )
        self._is_leaving = False
        self._was_reported_ready = False
        self._drain_result: Future[bool] | None = None
        self._last_entry_frame_at = self._task.now()
        self._random = random.Random(settings.instance_id)
        self._relay = CallRelay(
            self._task,
            self._call_threads,
            upstream,
            self.telemetry,
            capacity=settings.capacity,
            on_upstream_lost=self._on_upstream_lost,
            on_finished=self._check_drain,
            on_upstream_death=self._send_upstream_death,
        )
        self._transfer = self._make_transfer(origin)
        address = (settings.host, settings.port)
        self._listener = FrameListener(
            self._task, address, self._identity, lambda: _AcceptedHandler(self)
        )

    @classmethod
    def from_config(cls, settings: AgentSettings) -> "Agent":
        """Return an agent that reaches platform, origin and upstream over HTTP."""
        origin = HttpOrigin(settings.origin_url) if settings.origin_url else None
        return cls(
            settings,
            platform=HttpPlatform.from_config(settings.platform),
            origin=origin,
            upstream=HttpUpstream(settings.upstream_url),
        )

    @property
    def name(self) -> str:
        """See `Service.name`."""
        return "agent"

    @property
    def port(self) -> int:
        """Port on which entries and other agents connect."""
        return self._listener.port

    @property
    def record(self) -> InstanceRecord:
        """Record of this instance for the platform's instance list."""
        settings = self._settings
        return InstanceRecord(
            settings.instance_id,
            "agent",
            settings.service,
            settings.region,
            settings.availability_zone,
            settings.host,
            self.port,
            False,
        )

    def start(self, kernel: Kernel) -> None:
        """See `Service.start`."""
        self._task.start()
        self._task.send(self._on_start)

    def drain(self) -> "Future[bool]":
        """Refuse new calls and wait for the running ones; does not block.

        The future's result is True when the last call ended, or False after the drain
        timeout.
        """
        drained: Future[bool] = Future()
        self._task.send(lambda: self._start_drain(drained))
        return drained

    def stop(self) -> None:
        """See `Service.stop`."""
        self._task.send(self._listener.close)
        self._task.send(self._close_connections)
        self._task.stop()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._call_threads.shutdown(wait=False, cancel_futures=True)

    def is_ready(self) -> bool:
        """Whether calls are accepted now."""
        return self._find_refusal("") is None

    def make_report(self) -> Report:
        """Return this agent's state as it is sent to entries."""
        settings = self._settings
        target = self._target
        return Report(
            instance_id=settings.instance_id,
            service_name=settings.service,
            region=settings.region,
            availability_zone=settings.availability_zone,
            state=self._state_name(),
            version=self._served_version(),
            target_version=target.version if target else "",
            fencing=target.fencing if target else 0,
            chunks_held=self._transfer.chunks_held if self._transfer else 0,
            chunks_total=self._transfer.chunks_total if self._transfer else 0,
            origin_bytes=self._transfer.counts.origin_bytes if self._transfer else 0,
            peer_bytes=self._transfer.counts.local_bytes if self._transfer else 0,
            import_bytes=self._transfer.counts.import_bytes if self._transfer else 0,
            rss_bytes=read_rss_bytes(),
            in_flight=self._relay.in_flight,
            capacity=settings.capacity,
            leaving=self._is_leaving,
            accepting=self.is_ready(),
            detail="",
        )

    # Start and timers.

    def _make_transfer(self, origin: Origin | None) -> ChunkTransfer | None:
        if not self._is_model or origin is None:
            return None
        return ChunkTransfer(
            self._task,
            self._background,
            self._identity,
            store=self._store,
            origin=origin,
            platform=self._platform,
            telemetry=self.telemetry,
            transfer_rate=self._settings.transfer_rate,
            on_complete=self._on_weights_complete,
        )

    def _on_start(self) -> None:
        self._listener.start()
        self._task.call_every(ADVANCE_PERIOD_S, self._advance)
        self._task.call_every(REPORT_PERIOD_S, self._send_reports)
        if self._transfer is not None:
            self._transfer.start()
            self._poll_instances()
            self._poll_target()

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
        members = self._membership.members(role="agent", service=self._settings.service)
        if self._transfer is not None:
            self._transfer.set_members(members)
        # A larger fleet polls less often, which bounds the platform's load.
        period_s = max(
            MIN_INSTANCE_POLL_PERIOD_S, len(members) / MAX_LISTED_INSTANCES_PER_S
        )
        delay_s = period_s * (0.5 + self._random.random())
        self._task.call_later(delay_s, self._poll_instances)

    def _poll_target(self) -> None:
        """Read the target from the platform while no entry sends frames."""
        delay_s = ENTRY_TIMEOUT_S * (0.5 + self._random.random())
        self._task.call_later(delay_s, self._poll_target)
        if self._task.now() - self._last_entry_frame_at < ENTRY_TIMEOUT_S:
            return
        self._task.submit(self._background, self._read_target, self._on_target_read)

    def _read_target(self) -> Target | None:
        stored = self._platform.get(ROLLOUT_KIND, self._settings.service)
        service = self._platform.get(SERVICE_KIND, self._settings.service)
        if stored is None:
            return None
        rollout = decode_document(ROLLOUT_KIND, stored.value)
        distribution = Distribution()
        if service is not None:
            document = decode_document(SERVICE_KIND, service.value)
            if isinstance(document, ServiceDocument):
                distribution = document.distribution
        if not isinstance(rollout, Rollout):
            return None
        return make_target(rollout, distribution, stored.revision)

    def _on_target_read(self, future: "Future[Target | None]") -> None:
        try:
            target = future.result()
        except (PlatformError, DocumentError):
            self.telemetry.count("platform_failures", reason="target")
            return
        if target is not None:
            self.on_target(target)

    # Targets and weights.

    def on_target(self, target: Target) -> None:
        """Called for each target from an entry or the platform; ignores old ones."""
        if not self._is_model or target.service_name != self._settings.service:
            return
        wanted = ActivationTarget(
            target.model, target.version, target.fencing, target.manifest_digest
        )
        if not self._activation.on_target(wanted):
            return
        logger.info(
            "new target version %s", target.version, extra={"fencing": target.fencing}
        )
        self._target = target
        manifest = self._manifests.get(target.manifest_digest)
        if manifest is not None:
            self._use_manifest(manifest)
            return
        self._manifest = None
        self._request_manifest(target.manifest_digest)

    def _request_manifest(self, digest: str) -> None:
        """Request a manifest from an entry, and later from the platform.

        The platform is read at once if no entry is connected, or else after a delay
        without a reply. Both are repeated until the manifest arrives.
        """
        if self._target is None or self._target.manifest_digest != digest:
            return
        if digest in self._manifests:
            return
        for connection in self._entries:
            connection.send(manifest_request=ManifestRequest(digest))
            break
        else:
            self._read_manifest(digest)
        delay_s = MANIFEST_RETRY_DELAY_S * (1 + self._random.random())
        self._task.call_later(delay_s, lambda: self._retry_manifest(digest))

    def _retry_manifest(self, digest: str) -> None:
        if digest in self._manifests:
            return
        self._read_manifest(digest)
        self._request_manifest(digest)

    def _read_manifest(self, digest: str) -> None:
        self._task.submit(
            self._background,
            lambda: self._platform.get(MANIFEST_KIND, digest),
            lambda future: self._on_manifest_read(digest, future),
        )

    def _on_manifest_read(self, digest: str, future: "Future") -> None:
        try:
            stored = future.result()
        except PlatformError:
            self.telemetry.count("platform_failures", reason="manifest")
            return
        if stored is not None:
            self._accept_manifest(digest, stored.value)

    def on_manifest_reply(self, reply: ManifestReply) -> None:
        """Called when an entry replies to a request for a manifest."""
        if reply.found:
            self._accept_manifest(reply.manifest_digest, reply.document)

    def _accept_manifest(self, digest: str, data: bytes) -> None:
        try:
            manifest = Manifest.decode(data, expected_digest=digest)
        except ManifestError as error:
            logger.warning("manifest rejected: %s", error)
            self.telemetry.count("fetch_failures", reason="manifest")
            return
        if digest in self._manifests:
            return
        self._manifests[digest] = manifest
        if self._target is not None and self._target.manifest_digest == digest:
            self._use_manifest(manifest)

    def _use_manifest(self, manifest: Manifest) -> None:
        previous = self._manifest
        self._manifest = manifest
        kept = [m for m in (previous, manifest) if m is not None]
        self._store.retain([*kept, *self._served_manifests()])
        self._manifests = {m.digest: m for m in [*kept, *self._served_manifests()]}
        if self._transfer is not None and self._target is not None:
            self._transfer.set_target(self._target, manifest)

    def _served_manifests(self) -> list[Manifest]:
        served = self._activation.served
        if served is None:
            return []
        return [
            manifest
            for manifest in self._manifests.values()
            if manifest.weights_digest == served.weights_digest
        ]

    def _on_weights_complete(self, manifest: Manifest) -> None:
        self._activation.on_weights_verified(manifest.digest, manifest.weights_digest)
        self._advance()

    # Activation.

    def _advance(self) -> None:
        if not self._is_model:
            return
        self._run_next_action()
        if self.is_ready() != self._was_reported_ready:
            # Send the change at once, so that entries start or stop sending calls.
            self._was_reported_ready = self.is_ready()
            self._send_reports()

    def _run_next_action(self) -> None:
        now = self._task.now()
        action = self._activation.advance(now, in_flight=self._relay.in_flight)
        if action is ActivationAction.READ_BACK:
            self._task.submit(
                self._background, self._read_served_model, self._on_served_model
            )
        elif action is ActivationAction.ACQUIRE_SLOT:
            self._change_slot(is_acquire=True)
        elif action is ActivationAction.RELEASE_SLOT:
            self._change_slot(is_acquire=False)
        elif action is ActivationAction.SEND_ORDER:
            self._send_order()

    def _read_served_model(self) -> ServedModel | None:
        try:
            return self._upstream.describe()
        except UpstreamError:
            return None

    def _on_served_model(self, future: "Future[ServedModel | None]") -> None:
        self._activation.on_read_back(future.result(), self._task.now())
        self._advance()

    def _change_slot(self, *, is_acquire: bool) -> None:
        members = self._membership.members(role="agent", service=self._settings.service)
        live = frozenset(m.record.instance_id for m in members if not m.is_leaving)
        share = self._target.serving_share if self._target else DEFAULT_SERVING_SHARE
        is_held_on_error = not is_acquire
        self._task.submit(
            self._background,
            (lambda: self._swap_slot.acquire(live, share))
            if is_acquire
            else self._swap_slot.release,
            lambda future: self._on_slot(future, is_held_on_error),
        )

    def _on_slot(self, future: "Future[bool]", is_held_on_error: bool) -> None:
        try:
            is_held = future.result()
        except PlatformError:
            self.telemetry.count("platform_failures", reason="swap-slot")
            is_held = is_held_on_error
        # All instances of the service together stay below a fixed rate of requests.
        fleet = self._membership.members(role="agent", service=self._settings.service)
        period_s = max(MIN_SLOT_RETRY_DELAY_S, len(fleet) / MAX_SLOT_REQUESTS_PER_S)
        retry_s = period_s * (0.5 + self._random.random())
        self._activation.on_slot(is_held, self._task.now(), retry_s=retry_s)
        self._advance()

    def _send_order(self) -> None:
        target = self._activation.target
        manifest = self._manifest
        if target is None or manifest is None:
            self._activation.on_order_done(False, self._task.now())
            return
        self._task.submit(
            self._background,
            lambda: self._stage_and_load(manifest, target),
            self._on_order_done,
        )

    def _stage_and_load(self, manifest: Manifest, target: ActivationTarget) -> None:
        self._upstream.stage_chunks(manifest.digest, self._read_chunks(manifest))
        self._upstream.load(manifest.digest, target.version, target.fencing)

    def _read_chunks(self, manifest: Manifest) -> Iterator[bytes]:
        for chunk in manifest.chunks:
            data = self._store.get(chunk.digest)
            if data is None:
                raise UpstreamError(f"chunk {chunk.digest} is no longer stored")
            yield data

    def _on_order_done(self, future: "Future[None]") -> None:
        is_loaded = True
        try:
            future.result()
        except UpstreamError as error:
            logger.warning("load order failed: %s", error)
            self.telemetry.count("order_failures", reason=type(error).__name__)
            is_loaded = False
        self._activation.on_order_done(is_loaded, self._task.now())
        self._advance()

    def _on_upstream_lost(self) -> None:
        self._activation.on_upstream_lost()
        self._advance()

    def _send_upstream_death(self, death: UpstreamDeath) -> None:
        for connection in self._entries:
            connection.send(upstream_death=death)

    # Calls.

    def on_call_start(self, connection: FrameConnection, start: CallStart) -> None:
        """Run or refuse a call; called when an entry sends one."""
        refusal = self._find_refusal(start.required_version or "")
        self._relay.start_call(connection, start, refusal)

    def on_call_cancel(self, connection: FrameConnection, call_id: int) -> None:
        """Cancel a call; called when the entry cancels it."""
        self._relay.cancel_call(connection, call_id)

    def _find_refusal(self, required_version: str) -> str | None:
        if self._is_leaving:
            return REFUSED_LEAVING
        if not self._is_model:
            return None
        if not self._activation.is_accepting:
            return REFUSED_SWAPPING
        if required_version and required_version != self._served_version():
            return REFUSED_VERSION
        return None

    def _served_version(self) -> str:
        if not self._is_model:
            return PLAIN_VERSION
        served = self._activation.served
        return served.version if served else ""

    def _state_name(self) -> str:
        if self._is_leaving:
            return "leaving"
        if not self._is_model:
            return "serving"
        return self._activation.state.value

    # Connections.

    def on_open(self, connection: FrameConnection) -> None:
        """Called when a peer that connected to this agent is authenticated."""
        self._connections.add(connection)
        if connection.peer_role == "agent" and self._transfer is not None:
            self._transfer.add_subscriber(connection)
            return
        if connection.peer_role == "entry":
            self._entries.add(connection)
            connection.send(report=self.make_report())

    def on_frame(self, connection: FrameConnection, frame: Frame) -> None:
        """Called for each frame on a connection that a peer opened."""
        if frame.chunk_request is not None and self._transfer is not None:
            self._transfer.on_chunk_request(connection, frame.chunk_request)
            return
        if connection.peer_role != "entry":
            return
        self._last_entry_frame_at = self._task.now()
        if frame.call_start is not None:
            self.on_call_start(connection, frame.call_start)
        elif frame.call_cancel is not None:
            self.on_call_cancel(connection, frame.call_cancel.call_id)
        elif frame.target is not None:
            self.on_target(frame.target)
        elif frame.manifest_reply is not None:
            self.on_manifest_reply(frame.manifest_reply)

    def on_close(self, connection: FrameConnection) -> None:
        """Called when a connection that a peer opened ended; cancels its calls."""
        self._connections.discard(connection)
        self._entries.discard(connection)
        if self._transfer is not None:
            self._transfer.remove_subscriber(connection)
        self._relay.cancel_connection(connection)

    def _send_reports(self) -> None:
        if not self._entries:
            return
        report = self.make_report()
        for connection in self._entries:
            connection.send(report=report)

    def _close_connections(self) -> None:
        for connection in list(self._connections):
            connection.close("stopping")
        if self._transfer is not None:
            self._transfer.close_connections()

    # Drain.

    def _start_drain(self, drained: "Future[bool]") -> None:
        self._is_leaving = True
        self._drain_result = drained
        self._send_reports()
        self._task.call_later(
            self._settings.drain_timeout, lambda: self._finish_drain(False)
        )
        self._check_drain()

    def _check_drain(self) -> None:
        if self._drain_result is not None and self._relay.in_flight == 0:
            self._finish_drain(True)

    def _finish_drain(self, is_clean: bool) -> None:
        if self._drain_result is not None and not self._drain_result.done():
            self._drain_result.set_result(is_clean)

    def describe_status(self) -> dict[str, Any]:
        """Return the fields of the report, for the admin server."""
        report = self.make_report()
        return {name: getattr(report, name) for name in report.__slots__}


class _AcceptedHandler(ConnectionHandler):
    """Passes the events of a connection that a peer opened to the agent."""

    def __init__(self, agent: Agent):
        self._agent = agent

    def on_open(self, connection: FrameConnection) -> None:
        self._agent.on_open(connection)

    def on_frame(self, connection: FrameConnection, frame: Frame) -> None:
        self._agent.on_frame(connection, frame)

    def on_close(self, connection: FrameConnection, reason: str) -> None:
        self._agent.on_close(connection)


def make_target(rollout: Rollout, distribution: Distribution, fencing: int) -> Target:
    """Return the message that announces a rollout's version as the target.

    ``fencing`` is the fencing token, the revision of the rollout object.
    """
    return Target(
        service_name=rollout.service,
        model=rollout.model,
        version=rollout.version,
        fencing=fencing,
        manifest_digest=rollout.manifest_digest,
        policy=distribution.policy,
        aim=distribution.aim,
        origin_copies=distribution.origin_copies,
        serving_share=distribution.serving_share,
    )

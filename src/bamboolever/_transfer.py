"""Runs one agent's part of a weight transfer.

Takes the target version, the fleet, and frames of peers. A distribution policy decides
what to fetch; this module carries it out. It connects to peers, requests chunks from
them or reads chunks from the origin, requests grants from the platform and verifies
every chunk. It also sends chunks to other agents, at a limited rate.

All methods run on the agent's task. Calls to the origin and the platform, and the final
check of the weights, block and run on executor threads.
"""

import logging
import random
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import final

from bamboolever._chunkstore import ChunkStore
from bamboolever._connection import ConnectionHandler, FrameConnection, Identity
from bamboolever._grants import (
    GRANT_KIND,
    GrantError,
    GrantRequest,
    SegmentGrants,
)
from bamboolever._manifest import Manifest
from bamboolever._membership import Member
from bamboolever._origin import Origin, OriginError
from bamboolever._planner import (
    FetchFromOrigin,
    FetchFromPeer,
    PeerLocation,
    PeerView,
    RequestGrant,
    TransferView,
    iterate_bits,
)
from bamboolever._platform import Platform, PlatformError, update_object
from bamboolever._policies import ORIGIN_SOURCE, UnknownPolicy, make_policy
from bamboolever._protocol.ttypes import (
    ChunkReply,
    ChunkRequest,
    Frame,
    HaveMap,
    Target,
)
from bamboolever._ratelimit import TokenBucket
from bamboolever._task import IoTask
from bamboolever._telemetry import Telemetry

logger = logging.getLogger(__name__)

PLAN_PERIOD_S = 0.05
#: Delay before planning, so that events which arrive together lead to one plan.
PLAN_DELAY_S = 0.003
MIN_ANNOUNCE_PERIOD_S = 0.02
#: Bits of chunk bitmaps that are sent to one peer per second, at most.
MAX_ANNOUNCED_CHUNKS_PER_S = 10_000.0
LOCAL_FETCH_TIMEOUT_S = 5.0
REMOTE_FETCH_TIMEOUT_S = 30.0
PEER_RETRY_DELAY_S = 1.0
GRANT_RETRY_DELAY_S = 1.0
#: Used instead of `GRANT_RETRY_DELAY_S` while no instance has a grant to read the
#: segment from the origin.
FIRST_GRANT_RETRY_DELAY_S = 0.2
BUSY_RETRY_DELAY_S = 0.2
#: Bytes queued on a peer's connection above which its requests are refused.
MAX_QUEUED_UPLOAD_BYTES = 8 * 2**20


@dataclass
class _Fetch:
    """A request for a chunk that was sent to a peer; times are the task's seconds."""

    index: int
    peer_id: str
    started_at: float
    deadline: float


@dataclass(frozen=True)
class _GrantResult:
    """A segment's grants and the chunks for which an origin read was just granted."""

    grants: SegmentGrants
    new_indexes: frozenset[int]


@dataclass
class TransferCounts:
    """Bytes of chunks received: from the origin, the region and other regions."""

    origin_bytes: int = 0
    local_bytes: int = 0
    import_bytes: int = 0


@final
class ChunkTransfer:
    """Fetches the chunks of the target version and sends them to peers.

    ``transfer_rate`` limits uploads, in bytes per second. ``on_complete`` is called
    once all chunks of a manifest are stored and verified.
    """

    def __init__(
        self,
        task: IoTask,
        executor: Executor,
        identity: Identity,
        *,
        store: ChunkStore,
        origin: Origin,
        platform: Platform,
        telemetry: Telemetry,
        transfer_rate: float,
        on_complete: Callable[[Manifest], None],
    ):
        self._task = task
        self._executor = executor
        self._identity = identity
        self._store = store
        self._origin = origin
        self._platform = platform
        self._telemetry = telemetry
        self._upload_limiter = TokenBucket(transfer_rate, transfer_rate / 4)
        self._on_complete = on_complete
        self._location = PeerLocation(
            identity.instance_id, identity.region, identity.availability_zone
        )
        self._view: TransferView | None = None
        self._policy = make_policy("budgeted", 0)
        self._is_verifying = False
        self._members: dict[str, Member] = {}
        self._has_members = False
        self._peer_connections: dict[str, FrameConnection] = {}
        self._reconnect_at: dict[str, float] = {}
        self._subscribers: set[FrameConnection] = set()
        self._fetches: dict[int, _Fetch] = {}
        self._next_request_id = 1
        self._upload_count = 0
        self._is_announcement_scheduled = False
        self._is_plan_scheduled = False
        self._random = random.Random(identity.instance_id)
        self.counts = TransferCounts()

    @property
    def chunks_held(self) -> int:
        """Number of the target version's chunks that are held."""
        return self._view.held_chunks.bit_count() if self._view else 0

    @property
    def chunks_total(self) -> int:
        """Number of the target version's chunks, or 0 without a target."""
        return self._view.chunk_count if self._view else 0

    def start(self) -> None:
        """Start to plan periodically; call on the task's thread."""
        self._task.call_every(PLAN_PERIOD_S, self._on_tick)

    def set_target(self, target: Target, manifest: Manifest) -> None:
        """Start to fetch a version and drop the fetches of the earlier one."""
        view = TransferView(
            self._location,
            manifest,
            aim=target.aim,
            origin_copies=target.origin_copies,
            started_at=self._task.now(),
        )
        if self._view is not None:
            view.copy_fetch_times(self._view)
        view.held_chunks = self._store.find_held_chunks(manifest)
        self._view = view
        self._fetches.clear()
        self._is_verifying = False
        self._set_policy(target.policy)
        self._update_view_fleet()
        for peer_id, connection in self._peer_connections.items():
            if connection.is_open:
                self._add_peer_view(peer_id)
        self._schedule_announcement()
        self._plan()

    def close_connections(self) -> None:
        """Close the connections that this agent opened."""
        for connection in list(self._peer_connections.values()):
            connection.close("stopping")

    def set_members(self, members: list[Member]) -> None:
        """Replace the known agents of this service."""
        self._has_members = self._has_members or bool(members)
        self._members = {m.record.instance_id: m for m in members if not m.is_leaving}
        self._update_view_fleet()

    def add_subscriber(self, connection: FrameConnection) -> None:
        """Announce held chunks to a peer from now on; called when it has connected."""
        self._subscribers.add(connection)
        self._send_have_map(connection)

    def remove_subscriber(self, connection: FrameConnection) -> None:
        """Stop announcing to a peer; called when its connection ended."""
        self._subscribers.discard(connection)

    def on_chunk_request(
        self, connection: FrameConnection, request: ChunkRequest
    ) -> None:
        """Called when a peer requests a chunk; sends it at the transfer rate.

        The request is refused if the chunk is not stored or the queue is full.
        """
        data = self._store.get(request.digest or "")
        is_full = connection.queued_bytes > MAX_QUEUED_UPLOAD_BYTES
        if data is None or is_full:
            reply = ChunkReply(request.request_id, request.digest, False, b"")
            connection.send(chunk_reply=reply)
            return
        self._upload_count += 1
        reply = ChunkReply(request.request_id, request.digest, True, data)
        wait_s = self._upload_limiter.reserve(self._task.now(), len(data))
        if wait_s <= 0:
            connection.send(chunk_reply=reply)
            return
        self._task.call_later(wait_s, lambda: connection.send(chunk_reply=reply))

    def on_peer_open(self, connection: FrameConnection) -> None:
        """Called when a connection that this agent opened is authenticated."""
        self._add_peer_view(connection.peer_id)

    def on_peer_frame(self, connection: FrameConnection, frame: Frame) -> None:
        """Called for each frame on a connection that this agent opened."""
        if frame.have_map is not None:
            self._on_have_map(connection.peer_id, frame.have_map)
        elif frame.chunk_reply is not None:
            self._on_chunk_reply(connection.peer_id, frame.chunk_reply)

    def on_peer_close(self, connection: FrameConnection, reason: str) -> None:
        """Called when a connection that this agent opened ended.

        Drops the fetches from the peer and delays the next connection to it.
        """
        for peer_id, known in list(self._peer_connections.items()):
            if known is not connection:
                continue
            del self._peer_connections[peer_id]
            self._reconnect_at[peer_id] = self._task.now() + PEER_RETRY_DELAY_S
            self._drop_fetches(lambda fetch, p=peer_id: fetch.peer_id == p)  # type: ignore[misc]
            if self._view is not None:
                self._view.peers.pop(peer_id, None)
            self._telemetry.count("peer_connections_closed", reason=reason[:40])

    def _set_policy(self, name: str) -> None:
        seed = self._random.getrandbits(32)
        try:
            self._policy = make_policy(name, seed)
        except UnknownPolicy:
            logger.error("unknown distribution policy, using 'budgeted'", exc_info=True)
            self._policy = make_policy("budgeted", seed)

    def _update_view_fleet(self) -> None:
        if self._view is None:
            return
        fleet = {
            member.record.instance_id: PeerLocation(
                member.record.instance_id,
                member.record.region,
                member.record.availability_zone,
            )
            for member in self._members.values()
        }
        fleet[self._location.instance_id] = self._location
        self._view.set_fleet(fleet)

    def _add_peer_view(self, peer_id: str) -> None:
        if self._view is None or peer_id in self._view.peers:
            return
        member = self._members.get(peer_id)
        if member is None:
            return
        record = member.record
        location = PeerLocation(peer_id, record.region, record.availability_zone)
        self._view.peers[peer_id] = PeerView(location)

    def _on_tick(self) -> None:
        if self._view is None:
            return
        now = self._task.now()
        self._drop_fetches(lambda fetch: fetch.deadline <= now)
        self._plan()

    def _schedule_plan(self) -> None:
        """Plan after a short delay, once for all events until then."""
        if not self._is_plan_scheduled:
            self._is_plan_scheduled = True
            self._task.call_later(PLAN_DELAY_S, self._run_scheduled_plan)

    def _run_scheduled_plan(self) -> None:
        self._is_plan_scheduled = False
        self._plan()

    def _plan(self) -> None:
        view = self._view
        if view is None:
            return
        if view.is_complete:
            self._verify(view)
            return
        if not self._has_members:
            # An agent that knows no others ranks first and would request every grant.
            return
        self._connect_peers(view)
        now = self._task.now()
        for action in self._policy.plan(view, now):
            if isinstance(action, FetchFromPeer):
                self._fetch_from_peer(view, action, now)
            elif isinstance(action, FetchFromOrigin):
                self._fetch_from_origin(view, action.index)
            else:
                self._start_grant_request(view, action)

    def _connect_peers(self, view: TransferView) -> None:
        now = self._task.now()
        for peer_id in self._policy.wanted_peers(view):
            member = self._members.get(peer_id)
            if member is None or peer_id in self._peer_connections:
                continue
            if now < self._reconnect_at.get(peer_id, 0.0):
                continue
            address = (member.record.host, member.record.port)
            self._peer_connections[peer_id] = FrameConnection.connect(
                self._task, address, self._identity, _PeerHandler(self)
            )

    def _fetch_from_peer(
        self, view: TransferView, action: FetchFromPeer, now: float
    ) -> None:
        connection = self._peer_connections.get(action.peer_id)
        peer = view.peers.get(action.peer_id)
        if connection is None or peer is None or action.index in view.in_flight:
            return
        is_local = peer.location.region == self._location.region
        timeout_s = LOCAL_FETCH_TIMEOUT_S if is_local else REMOTE_FETCH_TIMEOUT_S
        request_id = self._next_request_id
        self._next_request_id += 1
        self._fetches[request_id] = _Fetch(
            action.index, action.peer_id, now, now + timeout_s
        )
        view.in_flight[action.index] = action.peer_id
        peer.in_flight += 1
        digest = view.manifest.chunks[action.index].digest
        connection.send(chunk_request=ChunkRequest(request_id, digest))

    def _fetch_from_origin(self, view: TransferView, index: int) -> None:
        if index in view.in_flight:
            return
        view.in_flight[index] = ORIGIN_SOURCE
        for state in view.grants:
            # Spent before the read: bytes that the origin sends count even if lost.
            state.origin_budget.discard(index)
        chunk = view.manifest.chunks[index]
        started_at = self._task.now()
        self._task.submit(
            self._executor,
            lambda: self._origin.read_chunk(chunk.digest, chunk.size),
            lambda future: self._on_origin_chunk(view, index, started_at, future),
        )

    def _on_origin_chunk(
        self,
        view: TransferView,
        index: int,
        started_at: float,
        future: "Future[bytes]",
    ) -> None:
        view.in_flight.pop(index, None)
        view.add_origin_fetch_time(self._task.now() - started_at)
        try:
            data = future.result()
        except OriginError as error:
            logger.warning("cannot read a chunk from the origin: %s", error)
            self._telemetry.count("fetch_failures", reason="origin-error")
            return
        self.counts.origin_bytes += len(data)
        self._accept_chunk(view, index, data, ORIGIN_SOURCE)

    def _accept_chunk(
        self, view: TransferView, index: int, data: bytes, source: str
    ) -> None:
        digest = view.manifest.chunks[index].digest
        if not self._store.add(digest, data):
            self._telemetry.count("fetch_failures", reason="corrupt-chunk")
            logger.warning("received a corrupt chunk from %s", source)
            peer = view.peers.get(source)
            if peer is not None:
                peer.is_banned = True
            return
        if view is not self._view:
            return
        view.add_chunk(index, self._task.now())
        self._schedule_announcement()
        self._schedule_plan()

    def _on_have_map(self, peer_id: str, message: HaveMap) -> None:
        view = self._view
        if view is None or message.manifest_digest != view.manifest.digest:
            return
        peer = view.peers.get(peer_id)
        if peer is None:
            self._add_peer_view(peer_id)
            peer = view.peers.get(peer_id)
        if peer is None:
            return
        bitmap = int.from_bytes(message.bitmap or b"", "little")
        peer.held_chunks = bitmap & view.all_chunks
        peer.uploads = message.uploads or 0
        self._schedule_plan()

    def _on_chunk_reply(self, peer_id: str, reply: ChunkReply) -> None:
        fetch = self._fetches.pop(reply.request_id or 0, None)
        view = self._view
        if fetch is None or view is None or fetch.peer_id != peer_id:
            return
        self._finish_fetch(view, fetch)
        peer = view.peers.get(peer_id)
        if not reply.found:
            if peer is not None:
                peer.retry_at = self._task.now() + BUSY_RETRY_DELAY_S
            self._telemetry.count("fetch_failures", reason="peer-refused")
            return
        self._count_received_bytes(peer, len(reply.data))
        if peer is not None and peer.location.region != self._location.region:
            view.add_import_fetch_time(self._task.now() - fetch.started_at)
        self._accept_chunk(view, fetch.index, reply.data, peer_id)

    def _count_received_bytes(self, peer: PeerView | None, size: int) -> None:
        if peer is None or peer.location.region == self._location.region:
            self.counts.local_bytes += size
            return
        self.counts.import_bytes += size

    def _drop_fetches(self, should_drop: Callable[[_Fetch], bool]) -> None:
        view = self._view
        for request_id, fetch in list(self._fetches.items()):
            if not should_drop(fetch):
                continue
            del self._fetches[request_id]
            self._telemetry.count("fetch_failures", reason="no-answer")
            if view is None:
                continue
            self._finish_fetch(view, fetch)
            peer = view.peers.get(fetch.peer_id)
            if peer is not None:
                peer.retry_at = self._task.now() + PEER_RETRY_DELAY_S

    def _finish_fetch(self, view: TransferView, fetch: _Fetch) -> None:
        view.in_flight.pop(fetch.index, None)
        peer = view.peers.get(fetch.peer_id)
        if peer is not None:
            peer.in_flight = max(0, peer.in_flight - 1)

    def _start_grant_request(self, view: TransferView, action: RequestGrant) -> None:
        state = view.grants[action.segment]
        state.is_pending = True
        request = self._make_grant_request(view, action)
        name = f"{view.manifest.digest[:24]}.{action.segment}"
        self._task.submit(
            self._executor,
            lambda: _obtain_grant(self._platform, name, request),
            lambda future: self._on_grant(view, action, future),
        )

    def _make_grant_request(
        self, view: TransferView, action: RequestGrant
    ) -> GrantRequest:
        chunks = view.manifest.chunks
        mask = view.segment_masks[action.segment]
        return GrantRequest(
            holder=self._location.instance_id,
            region=self._location.region,
            missing=action.missing,
            missing_bytes=sum(chunks[index].size for index in action.missing),
            segment_bytes=sum(chunks[index].size for index in iterate_bits(mask)),
            aim=view.aim,
            origin_copies=view.origin_copies,
            dead_holders=action.dead_holders,
            is_origin_copy_wanted=action.is_origin_copy_wanted,
        )

    def _on_grant(
        self, view: TransferView, action: RequestGrant, future: "Future[_GrantResult]"
    ) -> None:
        state = view.grants[action.segment]
        state.is_pending = False
        jitter = 0.5 + self._random.random()
        state.retry_at = self._task.now() + GRANT_RETRY_DELAY_S * jitter
        if not future.exception() and not future.result().grants.origin:
            # The region that reads the segment from the origin first has no grant yet.
            # Retry soon, as the holder of that grant becomes the source of imports.
            state.retry_at = self._task.now() + FIRST_GRANT_RETRY_DELAY_S * jitter
        try:
            result = future.result()
        except (PlatformError, GrantError) as error:
            reason = type(error).__name__
            self._telemetry.count("grant_failures", reason=reason)
            return
        state.grants = result.grants
        state.origin_budget |= result.new_indexes
        if result.new_indexes:
            state.retry_at = self._task.now()
        state.is_origin_copy_denied = (
            action.is_origin_copy_wanted and not result.new_indexes
        )
        if result.new_indexes:
            view.progress_at[action.segment] = self._task.now()
        if view is self._view:
            self._plan()

    def _verify(self, view: TransferView) -> None:
        if self._is_verifying:
            return
        self._is_verifying = True
        self._task.submit(
            self._executor,
            lambda: self._store.verify_weights(view.manifest),
            lambda future: self._on_verified(view, future),
        )

    def _on_verified(self, view: TransferView, future: "Future[bool]") -> None:
        if view is not self._view:
            return
        if future.result():
            self._on_complete(view.manifest)
            return
        logger.error(
            "the weights of %s do not match their digest", view.manifest.version
        )
        self._telemetry.count("fetch_failures", reason="whole-digest")

    def _schedule_announcement(self) -> None:
        if self._is_announcement_scheduled:
            return
        self._is_announcement_scheduled = True
        # Large bitmaps are sent less often, which bounds the bytes per second.
        period_s = max(
            MIN_ANNOUNCE_PERIOD_S, self.chunks_total / MAX_ANNOUNCED_CHUNKS_PER_S
        )
        self._task.call_later(period_s, self._announce_chunks)

    def _announce_chunks(self) -> None:
        self._is_announcement_scheduled = False
        for connection in self._subscribers:
            self._send_have_map(connection)

    def _send_have_map(self, connection: FrameConnection) -> None:
        view = self._view
        if view is None:
            return
        size = (view.chunk_count + 7) // 8
        bitmap = view.held_chunks.to_bytes(size, "little")
        message = HaveMap(view.manifest.digest, bitmap, self._upload_count)
        connection.send(have_map=message)


def _obtain_grant(platform: Platform, name: str, request: GrantRequest) -> _GrantResult:
    """Add the requested grant to the segment's object ``name``; blocks.

    Returns the grants afterwards. Raises `PlatformError` or `GrantError`.
    """
    granted = SegmentGrants()
    new_indexes: frozenset[int] = frozenset()

    def change(value: bytes | None) -> bytes | None:
        nonlocal granted, new_indexes
        current = SegmentGrants.decode(value)
        granted = current.grant(request)
        is_new = len(granted.origin) > len(current.origin)
        new_indexes = frozenset(request.missing) if is_new else frozenset()
        return None if granted is current else granted.encode()

    update_object(platform, GRANT_KIND, name, change)
    return _GrantResult(granted, new_indexes)


class _PeerHandler(ConnectionHandler):
    """Passes the events of a connection that this agent opened to the transfer."""

    def __init__(self, transfer: ChunkTransfer):
        self._transfer = transfer

    def on_open(self, connection: FrameConnection) -> None:
        self._transfer.on_peer_open(connection)

    def on_frame(self, connection: FrameConnection, frame: Frame) -> None:
        self._transfer.on_peer_frame(connection, frame)

    def on_close(self, connection: FrameConnection, reason: str) -> None:
        self._transfer.on_peer_close(connection, reason)

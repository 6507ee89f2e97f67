"""Fetches, verifies and stages the pieces of one version.

The piece policy plans the next fetches, after each change and periodically. The
agent's verified pieces are announced to its peers.
"""

import logging
from collections.abc import Callable

from bamboolever._task import IoTask, Timer
from bamboolever.config.model import WeightOrigin
from bamboolever.daemons.piecehandler import make_piece_request
from bamboolever.daemons.staging import StagingClient
from bamboolever.fleet.messages import PieceMap
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.exchange import ExchangeFailure
from bamboolever.net.fetch import Fetch, FetchResult
from bamboolever.net.messages import Request
from bamboolever.platform import weights as wire
from bamboolever.weights.groups import find_watched
from bamboolever.weights.pieces import DigestMismatches
from bamboolever.weights.plan import (
    ORIGIN_BACKOFF_S,
    PEER_BACKOFF_S,
    PieceFetch,
    PiecePolicy,
)
from bamboolever.weights.view import Peer, SwarmView

logger = logging.getLogger(__name__)

# Bounds a source that sends a piece little by little, so that another one is used.
FETCH_TIMEOUT_S = 6.0
# A source that sends nothing for longer is taken to be lost, or too busy to send soon.
FETCH_STALL_TIMEOUT_S = 1.5
PLAN_INTERVAL_S = 0.1
# Piece maps that arrive within this time cause one plan.
PLAN_DELAY_S = 0.02
ANNOUNCE_DELAY_S = 0.1
# How often the peers are asked for their pieces; they answer also without news.
ASK_INTERVAL_S = 1.0
# A transfer that gained no piece for longer is logged, as often.
STALL_LOG_S = 2.0
# A peer that asked for this agent's pieces longer ago is not told of new ones.
ASKED_TIMEOUT_S = 3.0
WRONG_DIGEST = "wrong digest"


class SwarmMember:
    """One agent's part in distributing one version to all agents.

    ``on_complete`` is called when all pieces are staged, ``on_manifest_suspect`` when
    the digest of a piece in the manifest seems to be wrong. Planning continues until
    `stop`, so that a staged piece that is found invalid later is fetched again. Runs on
    ``task``; times are seconds of its clock.
    """

    def __init__(
        self,
        task: IoTask,
        pool: ConnectionPool,
        staging: StagingClient,
        get_origin: Callable[[], WeightOrigin | None],
        policy: PiecePolicy,
        view: SwarmView,
        announce_pieces: Callable[[PieceMap, list[Address]], None],
        on_complete: Callable[[], None],
        get_upload_count: Callable[[], int],
        on_manifest_suspect: Callable[[], None],
    ):
        self._task = task
        self._pool = pool
        self._staging = staging
        self._get_origin = get_origin
        self._policy = policy
        self.view = view
        self._announce_pieces = announce_pieces
        self._on_complete = on_complete
        self._get_upload_count = get_upload_count
        self._on_manifest_suspect = on_manifest_suspect
        self._mismatches = DigestMismatches()
        self._fetches: dict[int, Fetch] = {}
        self._is_stopped = False
        self._asked_peers_at = 0.0
        # When a piece was staged or a stall logged.
        self._progressed_at = task.now()
        self._is_announcement_scheduled = False
        self._is_plan_scheduled = False
        # Peers that asked for this agent's pieces, and when.
        self._asked_at: dict[Address, float] = {}
        self._timer: Timer | None = None
        self.origin_bytes = 0
        self.peer_bytes = 0

    def set_peers(self, own: Peer, peers: list[Peer]) -> None:
        """Replace the list of agents, in which this agent's group may have changed."""
        self.view.own = own
        self.view.peers = peers
        now = self._task.now()
        watched = find_watched(self.view, now)
        is_any_new = bool(watched - (self.view.watched or frozenset()))
        if self.view.pieces.is_complete or not is_any_new:
            self.view.watch(watched, now)
            return
        # Those that are watched from now on have to be asked, or they seem silent.
        self._send_piece_map(is_reply_wanted=True)

    def start(self) -> None:
        """Ask the peers for their piece maps and start fetching."""
        self._send_piece_map(is_reply_wanted=True)
        self._tick()

    def stop(self) -> None:
        """Cancel all fetches and stop planning."""
        self._is_stopped = True
        for fetch in self._fetches.values():
            fetch.cancel()
        self._fetches.clear()
        if self._timer is not None:
            self._timer.cancel()

    def apply_piece_map(self, sender: Address, piece_map: PieceMap) -> None:
        """Record which pieces a peer has, and plan fetches if that changed."""
        now = self._task.now()
        if piece_map.is_reply_wanted:
            self._asked_at[sender] = now
        is_changed = piece_map.bitmap != self.view.peer_bitmaps.get(sender)
        uploads = piece_map.uploads
        self.view.update_peer(sender, piece_map.bitmap, now, uploads=uploads)
        if piece_map.is_retained:
            self.view.mark_inactive(sender)
        if is_changed:
            self._schedule_plan()

    def make_piece_map(self, *, is_reply_wanted: bool = False) -> PieceMap:
        """Return this agent's verified pieces as a message to its peers."""
        manifest = self.view.pieces.manifest
        return PieceMap(
            manifest.model,
            manifest.version,
            self.view.pieces.verified,
            is_reply_wanted,
            self._get_upload_count(),
        )

    def _tick(self) -> None:
        if self._is_stopped:
            return
        elapsed_s = self._task.now() - self._asked_peers_at
        if elapsed_s >= ASK_INTERVAL_S and not self.view.pieces.is_complete:
            self._send_piece_map(is_reply_wanted=True)
        self._plan()
        self._log_stall()
        self._timer = self._task.call_later(PLAN_INTERVAL_S, self._tick)

    def _log_stall(self) -> None:
        now = self._task.now()
        if self.view.pieces.is_complete or now - self._progressed_at < STALL_LOG_S:
            return
        self._progressed_at = now
        missing = self.view.pieces.missing()
        logger.info(
            "transfer stalled",
            extra={
                "missing": len(missing),
                "first_missing": missing[0],
                "fetching": sorted(self.view.in_flight),
                "agents": 1 + len(self.view.peers),
                "active_agents": len(self.view.active_members(now)),
            },
        )

    def _schedule_plan(self) -> None:
        if self._is_plan_scheduled:
            return
        self._is_plan_scheduled = True
        self._task.call_later(PLAN_DELAY_S, self._on_plan_due)

    def _on_plan_due(self) -> None:
        self._is_plan_scheduled = False
        self._plan()

    def _plan(self) -> None:
        if self._is_stopped or self.view.pieces.is_complete:
            return
        for planned in self._policy.plan(self.view, self._task.now()):
            self._start_fetch(planned)

    def _start_fetch(self, planned: PieceFetch) -> None:
        origin = self._get_origin()
        if planned.source is None and origin is None:
            return
        address = planned.source or origin.address  # type: ignore[union-attr]
        request = self._make_request(planned, address)
        self.view.in_flight[planned.number] = planned.source

        def on_result(result: FetchResult) -> None:
            self._on_fetched(planned, result)

        self._fetches[planned.number] = Fetch.start(
            self._pool,
            address,
            request,
            on_result,
            timeout_s=FETCH_TIMEOUT_S,
            stall_timeout_s=FETCH_STALL_TIMEOUT_S,
        )

    def _make_request(self, planned: PieceFetch, address: Address) -> Request:
        manifest = self.view.pieces.manifest
        if planned.source is None:
            return wire.piece_request(
                address, manifest.model, manifest.version, planned.number
            )
        return make_piece_request(
            address,
            manifest.model,
            manifest.version,
            planned.number,
            is_urgent=planned.is_import,
        )

    def _on_fetched(self, planned: PieceFetch, result: FetchResult) -> None:
        number = planned.number
        self._fetches.pop(number, None)
        if self._is_stopped:
            return
        reason = self._failure_reason(number, result)
        if reason is not None:
            self._on_fetch_failed(planned, reason)
            self._check_mismatch(planned, result, reason)
            return
        assert not isinstance(result, ExchangeFailure)
        if planned.source is None:
            self.origin_bytes += len(result.body)
        else:
            self.peer_bytes += len(result.body)
        model = self.view.pieces.manifest.model
        self._staging.put(
            model,
            number,
            result.body,
            lambda is_accepted: self._on_staged(number, is_accepted),
        )

    def _failure_reason(self, number: int, result: FetchResult) -> str | None:
        if isinstance(result, ExchangeFailure):
            return f"{result.kind.value}: {result.detail}"
        if not result.head.is_success:
            return f"status {result.head.status}"
        if not self.view.pieces.matches(number, result.body):
            return WRONG_DIGEST
        return None

    def _check_mismatch(
        self, planned: PieceFetch, result: FetchResult, reason: str
    ) -> None:
        if reason != WRONG_DIGEST or isinstance(result, ExchangeFailure):
            return
        if self._mismatches.add(planned.number, planned.source, result.body):
            self._on_manifest_suspect()

    def _on_fetch_failed(self, planned: PieceFetch, reason: str) -> None:
        logger.warning(
            "piece not fetched",
            extra={
                "number": planned.number,
                "source": str(planned.source or "origin"),
                "reason": reason,
            },
        )
        self.view.in_flight.pop(planned.number, None)
        source = planned.source
        if source is not None and reason in (WRONG_DIGEST, "status 404"):
            # Only this piece is invalid or missing; the peer's others may be fetched.
            bitmap = self.view.peer_bitmaps.get(source, 0)
            self.view.peer_bitmaps[source] = bitmap & ~(1 << planned.number)
        else:
            backoff_s = ORIGIN_BACKOFF_S if source is None else PEER_BACKOFF_S
            self.view.backoff_until[source] = self._task.now() + backoff_s
        self._plan()

    def _on_staged(self, number: int, is_accepted: bool) -> None:
        self.view.in_flight.pop(number, None)
        if self._is_stopped:
            return
        if is_accepted:
            self._progressed_at = self._task.now()
            self.view.pieces.add(number)
            self._schedule_announcement()
        if self.view.pieces.is_complete:
            self._on_complete()
            return
        self._plan()

    def _schedule_announcement(self) -> None:
        if self._is_announcement_scheduled:
            return
        self._is_announcement_scheduled = True
        self._task.call_later(ANNOUNCE_DELAY_S, self._on_announcement_due)

    def _on_announcement_due(self) -> None:
        self._is_announcement_scheduled = False
        if not self._is_stopped:
            self._send_piece_map()

    def _send_piece_map(self, *, is_reply_wanted: bool = False) -> None:
        now = self._task.now()
        if is_reply_wanted:
            self._asked_peers_at = now
            self.view.watch(find_watched(self.view, now), now)
        piece_map = self.make_piece_map(is_reply_wanted=is_reply_wanted)
        self._announce_pieces(piece_map, self._recipients(now))

    def _recipients(self, now: float) -> list[Address]:
        for address, asked_at in list(self._asked_at.items()):
            if now - asked_at > ASKED_TIMEOUT_S:
                del self._asked_at[address]
        return list({*(self.view.watched or ()), *self._asked_at})

"""Transfers the pieces of one version into an engine's staging area.

Fetches the manifest, reuses staged pieces that are still valid and leaves the rest to
`SwarmMember`. Also serves staged pieces to other agents: those of the version being
transferred, and those retained from the version before.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.staging import StagingClient
from bamboolever.daemons.swarm import SwarmMember
from bamboolever.fleet.messages import PieceMap
from bamboolever.fleet.records import EngineReport, ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import PiecePolicy
from bamboolever.weights.view import SwarmView

logger = logging.getLogger(__name__)

MANIFEST_TIMEOUT_S = 1.0
MANIFEST_RETRY_S = 0.3


@final
class Transfer:
    """Pieces of the version being transferred, and of the one staged before it.

    ``on_changed`` is called when all pieces are staged, when a verification ends, and
    when a failed fetch of the manifest may be retried. ``staged_at`` is when all
    pieces were first staged, in seconds of the task's clock; None before that.
    """

    def __init__(
        self,
        context: LoaderContext,
        engine_address: Address,
        policy: PiecePolicy,
        on_changed: Callable[[], None],
    ):
        self._policy = policy
        self._context = context
        self._task = context.task
        self._staging = StagingClient(context.pool, engine_address, self._on_overwrite)
        self._on_changed = on_changed
        self._swarm: SwarmMember | None = None
        # Pieces of the version staged before that are not overwritten yet; other
        # agents may still fetch them.
        self._retained_version: ModelVersion | None = None
        self._retained_pieces = 0
        self._is_fetching_manifest = False
        self._is_verifying = False
        self.staged_at: float | None = None

    @property
    def is_started(self) -> bool:
        """Whether a version's pieces are being fetched or are staged."""
        return self._swarm is not None

    @property
    def is_complete(self) -> bool:
        """Whether every piece is staged and verified."""
        return self._swarm is not None and self._swarm.view.pieces.is_complete

    @property
    def needs_pieces(self) -> bool:
        """Whether a transfer has started and pieces are missing."""
        return self._swarm is not None and not self._swarm.view.pieces.is_complete

    def start(
        self,
        model: str,
        version: int | None,
        on_version: Callable[[ModelVersion], bool],
    ) -> None:
        """Start the transfer of a version; None means the origin's newest.

        Ignored if a transfer has started, or while the origin or the other agents are
        unknown. ``on_version`` is called with the manifest's version; the transfer
        continues if it returns True.
        """
        if not self._context.can_plan_transfer():
            return
        origin = self._context.origin()
        if origin is None or self._is_fetching_manifest or self._swarm is not None:
            return
        self._is_fetching_manifest = True

        def on_result(result: FetchResult) -> None:
            self._on_manifest(result, on_version)

        Fetch.start(
            self._context.pool,
            origin.address,
            wire.manifest_request(origin.address, model, version),
            on_result,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def drop(self) -> None:
        """Stop the transfer; its staged pieces are retained until overwritten."""
        if self._swarm is not None:
            pieces = self._swarm.view.pieces
            self._retained_version = _version_of(pieces)
            self._retained_pieces = pieces.verified
            self._swarm.stop()
            self._swarm = None
        self.staged_at = None

    def verify(self, on_verified: Callable[[], None]) -> None:
        """Read every staged piece back and compare it with its digest.

        Invalid pieces count as missing. ``on_verified`` is called if all are valid.
        """
        swarm = self._swarm
        if swarm is None or self._is_verifying:
            return
        self._is_verifying = True
        pieces = swarm.view.pieces

        def on_piece(number: int, is_valid: bool) -> None:
            if not is_valid:
                logger.warning("staged piece is bad", extra={"number": number})
                pieces.discard(number)

        def on_done() -> None:
            self._is_verifying = False
            if self._swarm is swarm and pieces.is_complete:
                on_verified()
            self._on_changed()

        self._staging.verify(pieces, list(range(pieces.count)), on_piece, on_done)

    def update_peers(self) -> None:
        """Apply a changed list of agents; a transfer that waits for it may start."""
        if self._swarm is not None:
            self._swarm.set_peers(self._context.own_peer(), self._context.peers())
        else:
            self._on_changed()

    def apply_piece_map(self, sender: Address, piece_map: PieceMap) -> None:
        """Record which pieces a peer has; send it a piece map if it asks for one."""
        model_version = ModelVersion(piece_map.model, piece_map.version)
        swarm = self._swarm
        if swarm is not None:
            if _version_of(swarm.view.pieces) == model_version:
                swarm.apply_piece_map(sender, piece_map)
                if piece_map.is_reply_wanted:
                    self._context.announce_pieces(swarm.make_piece_map(), [sender])
                return
            swarm.view.mark_inactive(sender)
        if piece_map.is_reply_wanted and self._retained_version == model_version:
            self._announce_retained(model_version, sender)

    def _announce_retained(self, model_version: ModelVersion, to: Address) -> None:
        reply = PieceMap(
            model_version.model,
            model_version.version,
            self._retained_pieces,
            uploads=self._context.upload_count(),
            is_retained=True,
        )
        self._context.announce_pieces(reply, [to])

    def read_piece(
        self,
        model: str,
        version: int,
        number: int,
        on_done: Callable[[bytes | None], None],
    ) -> None:
        """Read a staged piece for another agent.

        ``on_done`` is called with its bytes, or None if the piece is not staged.
        """
        if not self._has_piece(ModelVersion(model, version), number):
            on_done(None)
            return
        self._staging.get(model, number, on_done)

    def adopt_staged(self, report: EngineReport) -> None:
        """Retain the pieces staged before this agent started.

        They are taken to be those of the version that the engine serves. Ignored once
        a transfer has started or pieces are retained.
        """
        if self._retained_version is not None or self._swarm is not None:
            return
        for model in report.models:
            self._retained_version = ModelVersion(model.name, model.version)
            self._staging.list_staged(model.name, self._on_staged_list)
            return

    def _on_staged_list(self, staged: frozenset[int] | None) -> None:
        if staged is None:
            self._retained_version = None
            return
        self._retained_pieces = sum(1 << number for number in staged)
        logger.info("staged pieces found", extra={"pieces": len(staged)})

    def _has_piece(self, model_version: ModelVersion, number: int) -> bool:
        if (
            self._swarm is not None
            and _version_of(self._swarm.view.pieces) == model_version
        ):
            return bool(self._swarm.view.pieces.verified >> number & 1)
        return self._retained_version == model_version and bool(
            self._retained_pieces >> number & 1
        )

    def _on_overwrite(self, number: int) -> None:
        self._retained_pieces &= ~(1 << number)

    def _on_manifest(
        self, result: FetchResult, on_version: Callable[[ModelVersion], bool]
    ) -> None:
        try:
            if not isinstance(result, Response) or not result.head.is_success:
                raise AdapterError("the origin returned no manifest")
            manifest = wire.decode_manifest(result.body)
            if not on_version(ModelVersion(manifest.model, manifest.version)):
                raise AdapterError("the manifest is for another version")
        except AdapterError as error:
            logger.warning("manifest not fetched", extra={"reason": str(error)})
            self._task.call_later(MANIFEST_RETRY_S, self._on_manifest_retry)
            return
        self._is_fetching_manifest = False
        self._start_swarm(PieceSet(manifest))

    def _on_manifest_retry(self) -> None:
        self._is_fetching_manifest = False
        self._on_changed()

    def _start_swarm(self, pieces: PieceSet) -> None:
        origin = self._context.origin()
        zone = origin.availability_zone if origin is not None else ""
        view = SwarmView(
            own=self._context.own_peer(),
            peers=self._context.peers(),
            origin_region=self._context.region_of(zone),
            pieces=pieces,
            started_at=self._task.now(),
        )
        self._swarm = SwarmMember(
            self._task,
            self._context.pool,
            self._staging,
            self._context.origin,
            self._policy,
            view,
            self._context.announce_pieces,
            self._on_staged,
            self._context.upload_count,
        )
        logger.info("fetching", extra=_log_fields(pieces))
        self._reuse_staged(self._swarm)

    def _reuse_staged(self, swarm: SwarmMember) -> None:
        pieces = swarm.view.pieces

        def on_staged_list(staged: frozenset[int] | None) -> None:
            numbers = sorted(n for n in staged or () if n < pieces.count)
            self._staging.verify(pieces, numbers, on_piece, on_done)

        def on_piece(number: int, is_valid: bool) -> None:
            if is_valid:
                pieces.add(number)

        def on_done() -> None:
            if self._swarm is not swarm:
                return
            kept = pieces.count - len(pieces.missing())
            logger.info("staged pieces kept", extra={"pieces": kept})
            swarm.start()
            if pieces.is_complete:
                self._on_staged()

        self._staging.list_staged(pieces.manifest.model, on_staged_list)

    def _on_staged(self) -> None:
        swarm = self._swarm
        if swarm is None:
            return
        now = self._task.now()
        if self.staged_at is None:
            self.staged_at = now
        logger.info(
            "staged",
            extra={
                **_log_fields(swarm.view.pieces),
                "origin_bytes": swarm.origin_bytes,
                "peer_bytes": swarm.peer_bytes,
                "seconds": round(now - swarm.view.started_at, 3),
            },
        )
        self._on_changed()


def _version_of(pieces: PieceSet) -> ModelVersion:
    return ModelVersion(pieces.manifest.model, pieces.manifest.version)


def _log_fields(pieces: PieceSet) -> dict[str, object]:
    manifest = pieces.manifest
    return {
        "model": manifest.model,
        "version": manifest.version,
        "pieces": pieces.count,
    }

"""Transfers the pieces of one version into an engine's staging area.

Fetches the manifest, reuses staged pieces that are still valid and leaves the rest to
`SwarmMember`. Also serves staged pieces to other agents: those of the version being
transferred, and those retained from the version before.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.manifestfetch import (
    HeldRequests,
    ManifestFetch,
    ManifestQuery,
    respond_with_manifest,
)
from bamboolever.daemons.manifestlookup import ManifestLookup
from bamboolever.daemons.piecehandler import PieceSource
from bamboolever.daemons.staging import StagingClient
from bamboolever.daemons.swarm import SwarmMember
from bamboolever.fleet.messages import PieceMap
from bamboolever.fleet.records import EngineReport, ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import PiecePolicy
from bamboolever.weights.retained import RetainedPieces
from bamboolever.weights.view import SwarmView

logger = logging.getLogger(__name__)

# Pause after a manifest of another version.
VERSION_RETRY_S = 0.3


@final
class Transfer(PieceSource):
    """Pieces of the version being transferred, and of the one staged before it.

    ``on_changed`` is called when all pieces are staged, when a verification ends, and
    when a manifest turned out to be of another version. ``staged_at`` is when all
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
        self._retained = RetainedPieces()
        self._search: ManifestQuery | None = None
        # Reads the manifest again that the pieces of the transfer do not match.
        self._recheck: ManifestFetch | None = None
        self._held_requests = HeldRequests()
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
        accepts: Callable[[PieceDigests], bool],
    ) -> None:
        """Start the transfer of a version; None means the origin's newest.

        Ignored if a transfer has started, or while the origin or the other agents are
        unknown. ``accepts`` is called with the manifest; the transfer continues if it
        returns True.
        """
        if not self._context.can_plan_transfer():
            return
        if self._context.origin() is None or self._swarm is not None:
            return
        search = self._search
        if search is not None:
            if search.may_find(model, version):
                if version is not None:
                    search.on_named()
                return
            search.stop()
        self._search = self._make_search(model, version, accepts)
        self._search.start()

    def _make_search(
        self,
        model: str,
        version: int | None,
        accepts: Callable[[PieceDigests], bool],
    ) -> ManifestQuery:
        def on_manifest(manifest: PieceDigests) -> bool:
            return self._on_manifest(manifest, accepts)

        if version is None:
            return ManifestLookup(self._context, model, on_manifest)
        return ManifestFetch(
            self._context,
            model,
            version,
            lambda manifest, _source: on_manifest(manifest),
        )

    def drop(self) -> None:
        """Stop the transfer; its staged pieces are retained until overwritten."""
        if self._recheck is not None:
            self._recheck.stop()
            self._recheck = None
        if self._swarm is not None:
            self._retained.take(self._swarm.view.pieces)
            self._swarm.stop()
            self._swarm = None
        self.staged_at = None

    def stop(self) -> None:
        """Stop the transfer and the search for a manifest."""
        self.drop()
        if self._search is not None:
            self._search.stop()
            self._search = None
        self._held_requests.release(None)

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
        search = self._search
        if search is not None and search.may_find(piece_map.model, piece_map.version):
            search.on_announced(sender)
        if piece_map.is_reply_wanted and self._retained.version == model_version:
            self._announce_retained(model_version, sender)

    def _announce_retained(self, model_version: ModelVersion, to: Address) -> None:
        reply = PieceMap(
            model_version.model,
            model_version.version,
            self._retained.bitmap,
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

    def serve_manifest(
        self, connection: ServerConnection, model: str, version: int | None
    ) -> None:
        """Send another agent the manifest of a version transferred now or before.

        While this agent lacks it too, the request waits for it.
        """
        newest = self._swarm_manifest
        if newest is not None and version is None:
            version = newest.version
        for manifest in (newest, self._retained.manifest):
            if manifest is not None and manifest.version == version:
                respond_with_manifest(connection, model, version, manifest)
                return
        if self._may_get_manifest(model, version):
            self._held_requests.hold(connection, model, version)
        else:
            connection.respond(404, [])

    @property
    def _swarm_manifest(self) -> PieceDigests | None:
        return self._swarm.view.pieces.manifest if self._swarm is not None else None

    def _may_get_manifest(self, model: str, version: int | None) -> bool:
        if self._search is not None:
            return self._search.may_find(model, version)
        # An agent that has nothing yet has only just started, and needs one too.
        return self._swarm is None and self._retained.version is None

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Forget the request for a manifest of an agent that disconnected."""
        self._held_requests.drop(connection)

    def adopt_staged(self, report: EngineReport) -> None:
        """Retain the pieces staged before this agent started.

        They are taken to be those of the version that the engine serves. Ignored once
        a transfer has started or pieces are retained.
        """
        if self._retained.version is not None or self._swarm is not None:
            return
        if not report.models:
            return
        served = report.models[0]
        version = ModelVersion(served.name, served.version)
        self._retained.adopt(version, frozenset())
        self._staging.list_staged(
            served.name, lambda staged: self._on_staged_list(version, staged)
        )

    def _on_staged_list(
        self, version: ModelVersion, staged: frozenset[int] | None
    ) -> None:
        if self._retained.version != version:
            # A transfer has ended meanwhile, and left its own.
            return
        self._retained.adopt(version, staged)
        if staged is not None:
            logger.info("staged pieces found", extra={"pieces": len(staged)})

    def _has_piece(self, model_version: ModelVersion, number: int) -> bool:
        if (
            self._swarm is not None
            and _version_of(self._swarm.view.pieces) == model_version
        ):
            return bool(self._swarm.view.pieces.verified >> number & 1)
        return self._retained.has(model_version, number)

    def _on_overwrite(self, number: int) -> None:
        self._retained.on_overwrite(number)

    def _on_manifest(
        self, manifest: PieceDigests, accepts: Callable[[PieceDigests], bool]
    ) -> bool:
        search = self._search
        if not accepts(manifest):
            if search is not None and search.version is None:
                # The origin's newest version is not the one named meanwhile.
                search.stop()
                self._search = None
                self._task.call_later(VERSION_RETRY_S, self._on_changed)
            return False
        self._search = None
        self._start_swarm(PieceSet(manifest))
        self._held_requests.release(manifest)
        return True

    def _check_manifest(self) -> None:
        """Read the manifest from the origin again, once for each transfer."""
        if self._recheck is not None or self._swarm is None:
            return
        known = self._swarm.view.pieces.manifest
        logger.warning("manifest suspect", extra=_log_fields(self._swarm.view.pieces))

        def on_manifest(manifest: PieceDigests, _source: Address | None) -> bool:
            if len(manifest.digests) != len(known.digests):
                return False
            if manifest.digests != known.digests:
                self.drop()
                self._start_swarm(PieceSet(manifest))
            return True

        self._recheck = ManifestFetch(
            self._context,
            known.model,
            known.version,
            on_manifest,
            is_origin_only=True,
        )
        self._recheck.start()

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
            self._check_manifest,
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
    return _name_of(pieces.manifest)


def _name_of(manifest: PieceDigests) -> ModelVersion:
    return ModelVersion(manifest.model, manifest.version)


def _log_fields(pieces: PieceSet) -> dict[str, object]:
    manifest = pieces.manifest
    return {
        "model": manifest.model,
        "version": manifest.version,
        "pieces": pieces.count,
    }

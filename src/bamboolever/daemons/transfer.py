"""The staged pieces of one engine: fetched, verified, handed to other agents."""

import logging
from collections.abc import Callable
from typing import final

from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.staging import StagingClient
from bamboolever.daemons.swarm import Swarm
from bamboolever.fleet.exchange import PieceMap
from bamboolever.fleet.records import EngineReport, ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import PiecePolicy, SwarmView

logger = logging.getLogger(__name__)

MANIFEST_TIMEOUT_S = 1.0
MANIFEST_RETRY_S = 0.3


@final
class Transfer:
    """Pieces of the version that is being brought in, and of the one held."""

    def __init__(
        self,
        owner: LoaderContext,
        engine: Address,
        policy: PiecePolicy,
        on_changed: Callable[[], None],
    ):
        self._policy = policy
        self._owner = owner
        self._task = owner.task
        self._stage = StagingClient(owner.pool, engine, self._on_overwrite)
        self._on_changed = on_changed
        self._swarm: Swarm | None = None
        # What is left of the version that was staged before, for other agents.
        self._held_version: ModelVersion | None = None
        self._held = 0
        self._is_fetching_manifest = False
        self._is_verifying = False
        self.staged_at: float | None = None

    @property
    def is_begun(self) -> bool:
        """Whether the pieces of a version are being fetched or are staged."""
        return self._swarm is not None

    @property
    def is_complete(self) -> bool:
        """Whether every piece is staged and was verified."""
        return self._swarm is not None and self._swarm.view.pieces.is_complete

    @property
    def needs_pieces(self) -> bool:
        """Whether pieces are missing."""
        return self._swarm is not None and not self._swarm.view.pieces.is_complete

    def begin(
        self,
        model: str,
        version: int | None,
        on_version: Callable[[ModelVersion], bool],
    ) -> None:
        """Fetch the manifest of a version, None for the origin's newest.

        ``on_version`` is told the manifest's version and says whether to go on.
        """
        origin = self._owner.origin()
        if origin is None or self._is_fetching_manifest or self._swarm is not None:
            return
        self._is_fetching_manifest = True

        def on_result(result: FetchResult) -> None:
            self._on_manifest(result, on_version)

        Fetch.start(
            self._owner.pool,
            origin.address,
            wire.manifest_request(origin.address, model, version),
            on_result,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def drop(self) -> None:
        """End the transfer; staged pieces stay."""
        if self._swarm is not None:
            pieces = self._swarm.view.pieces
            self._held_version = _version(pieces)
            self._held = pieces.verified
            self._swarm.stop()
            self._swarm = None
        self.staged_at = None

    def verify(self, on_verified: Callable[[], None]) -> None:
        """Read every piece back; bad ones count as missing again."""
        swarm = self._swarm
        if swarm is None or self._is_verifying:
            return
        self._is_verifying = True
        pieces = swarm.view.pieces

        def on_piece(number: int, is_good: bool) -> None:
            if not is_good:
                logger.warning("staged piece is bad", extra={"number": number})
                pieces.discard(number)

        def on_done() -> None:
            self._is_verifying = False
            if self._swarm is swarm and pieces.is_complete:
                on_verified()
            self._on_changed()

        self._stage.verify(pieces, list(range(pieces.count)), on_piece, on_done)

    def update_peers(self) -> None:
        """Use the newest list of agents."""
        if self._swarm is not None:
            self._swarm.view.peers = self._owner.peers()

    def apply_map(self, sender: Address, piece_map: PieceMap) -> None:
        """Take over which pieces a peer has, and answer if it asks."""
        named = ModelVersion(piece_map.model, piece_map.version)
        swarm = self._swarm
        if swarm is not None:
            if _version(swarm.view.pieces) == named:
                swarm.apply_map(sender, piece_map)
                if piece_map.is_reply_wanted:
                    self._owner.announce(swarm.make_map(), [sender])
            else:
                swarm.view.mark_inactive(sender)
            return
        if piece_map.is_reply_wanted and self._held_version == named and self._held:
            uploads = self._owner.uploads()
            reply = PieceMap(named.model, named.version, self._held, uploads=uploads)
            self._owner.announce(reply, [sender])

    def read_piece(
        self,
        model: str,
        version: int,
        number: int,
        on_done: Callable[[bytes | None], None],
    ) -> None:
        """Read a staged piece for another agent; None if it is not held."""
        if not self._holds(ModelVersion(model, version), number):
            on_done(None)
            return
        self._stage.get(model, number, on_done)

    def note_held(self, report: EngineReport) -> None:
        """Take the pieces beside an engine for those of what it serves."""
        if self._held_version is not None or self._swarm is not None:
            return
        for model in report.models:
            self._held_version = ModelVersion(model.name, model.version)
            self._stage.list_held(model.name, self._on_held)
            return

    def _on_held(self, held: frozenset[int] | None) -> None:
        if held is None:
            self._held_version = None
            return
        self._held = sum(1 << number for number in held)
        logger.info("staged pieces found", extra={"pieces": len(held)})

    def _holds(self, named: ModelVersion, number: int) -> bool:
        if self._swarm is not None and _version(self._swarm.view.pieces) == named:
            return bool(self._swarm.view.pieces.verified >> number & 1)
        return self._held_version == named and bool(self._held >> number & 1)

    def _on_overwrite(self, number: int) -> None:
        self._held &= ~(1 << number)

    def _on_manifest(
        self, result: FetchResult, on_version: Callable[[ModelVersion], bool]
    ) -> None:
        try:
            if not isinstance(result, Response) or not result.head.is_success:
                raise AdapterError("the origin did not answer")
            manifest = wire.decode_manifest(result.body)
            if not on_version(ModelVersion(manifest.model, manifest.version)):
                raise AdapterError("the manifest is of another version")
        except AdapterError as error:
            logger.warning("manifest not fetched", extra={"reason": str(error)})
            self._task.call_later(MANIFEST_RETRY_S, self._end_manifest_pause)
            return
        self._is_fetching_manifest = False
        self._start_swarm(PieceSet(manifest))

    def _end_manifest_pause(self) -> None:
        self._is_fetching_manifest = False
        self._on_changed()

    def _start_swarm(self, pieces: PieceSet) -> None:
        origin = self._owner.origin()
        zone = origin.availability_zone if origin is not None else ""
        view = SwarmView(
            own=self._owner.own(),
            peers=self._owner.peers(),
            origin_region=self._owner.region_of(zone),
            pieces=pieces,
            started_at=self._task.now(),
        )
        self._swarm = Swarm(
            self._task,
            self._owner.pool,
            self._stage,
            self._owner.origin,
            self._policy,
            view,
            self._owner.announce,
            self._on_staged,
            self._owner.uploads,
        )
        logger.info("fetching", extra=_fields(pieces))
        self._reuse_staged(self._swarm)

    def _reuse_staged(self, swarm: Swarm) -> None:
        pieces = swarm.view.pieces

        def on_held(held: frozenset[int] | None) -> None:
            numbers = sorted(n for n in held or () if n < pieces.count)
            self._stage.verify(pieces, numbers, on_piece, on_done)

        def on_piece(number: int, is_good: bool) -> None:
            if is_good:
                pieces.add(number)

        def on_done() -> None:
            if self._swarm is not swarm:
                return
            kept = pieces.count - len(pieces.missing())
            logger.info("staged pieces kept", extra={"pieces": kept})
            swarm.start()
            if pieces.is_complete:
                self._on_staged()

        self._stage.list_held(pieces.manifest.model, on_held)

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
                **_fields(swarm.view.pieces),
                "origin_bytes": swarm.origin_bytes,
                "peer_bytes": swarm.peer_bytes,
                "seconds": round(now - swarm.view.started_at, 3),
            },
        )
        self._on_changed()


def _version(pieces: PieceSet) -> ModelVersion:
    return ModelVersion(pieces.manifest.model, pieces.manifest.version)


def _fields(pieces: PieceSet) -> dict[str, object]:
    manifest = pieces.manifest
    return {
        "model": manifest.model,
        "version": manifest.version,
        "pieces": pieces.count,
    }

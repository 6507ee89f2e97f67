"""Brings one engine to the intended version: fetch, verify, drain, order."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, final

from bamboolever._task import IoTask, Timer
from bamboolever.config.model import EngineProfile, WeightOrigin
from bamboolever.daemons.pieceport import LINK_SHARE
from bamboolever.daemons.stage import Stage
from bamboolever.daemons.swarm import Swarm
from bamboolever.fleet.exchange import PieceMap
from bamboolever.fleet.records import EngineReport, NamedVersion
from bamboolever.fleet.versions import NamedVersions
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.platform import weights as wire
from bamboolever.platform.errors import AdapterError
from bamboolever.weights.loading import (
    LoadState,
    LoadStep,
    finishes_first,
    next_step,
    serves_target,
)
from bamboolever.weights.pieces import PieceSet
from bamboolever.weights.plan import Peer, SwarmView, make_piece_policy
from bamboolever.weights.switching import (
    SwitchInput,
    drain_at,
    is_drained,
    is_second_half,
)

logger = logging.getLogger(__name__)

MANIFEST_TIMEOUT_S = 1.0
MANIFEST_RETRY_S = 0.3
ORDER_TIMEOUT_S = 1.0
ORDER_RETRY_S = 0.2
ORDER_PAUSE_S = 5.0
# A verification older than this is repeated before the order is given.
VERIFICATION_AGE_S = 1.5
POLICY = "region-chain"


class LoaderOwner(ABC):
    """What a loader needs of its agent."""

    task: IoTask
    pool: ConnectionPool

    @abstractmethod
    def profile(self) -> EngineProfile | None:
        """Return what the engine's service declares, if it is known."""

    @abstractmethod
    def origin(self) -> WeightOrigin | None:
        """Return where weights come from, if it is known."""

    @abstractmethod
    def own(self) -> Peer:
        """Return this agent's place."""

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return the other agents of the service."""

    @abstractmethod
    def region_of(self, availability_zone: str) -> str:
        """Return the region of an availability zone."""

    @abstractmethod
    def may_cut(self) -> bool:
        """Tell whether every request of the service may be resumed elsewhere."""

    @abstractmethod
    def refresh_lists(self) -> None:
        """Read configuration and upstreams anew."""

    @abstractmethod
    def announce(self, piece_map: PieceMap, addresses: list[Address]) -> None:
        """Tell other agents which pieces are held here."""

    @abstractmethod
    def on_switching(self) -> None:
        """The engine begins or ends to switch."""

    @abstractmethod
    def uploads(self) -> int:
        """Return how many pieces are being sent or wait for it."""


@final
class EngineLoader:
    """State of one engine's way to the intended version."""

    def __init__(
        self,
        owner: LoaderOwner,
        engine: Address,
        versions: NamedVersions,
        link_bytes_per_s: float,
    ):
        self._owner = owner
        self._task = owner.task
        self._engine = engine
        self._versions = versions
        self._link_bytes_per_s = link_bytes_per_s
        self._stage = Stage(owner.pool, engine)
        # The version being brought in, and the newest named: they differ while a
        # transfer that is almost done goes on.
        self._target: NamedVersion | None = None
        self._target_at = 0.0
        self._newest: NamedVersion | None = None
        self._newest_at = 0.0
        self._ordered: NamedVersion | None = None
        self._report: EngineReport | None = None
        self.swarm: Swarm | None = None
        self.held_version: NamedVersion | None = None
        self.held = 0
        self._staged_at: float | None = None
        self._drain_started_at: float | None = None
        self._verified_at: float | None = None
        self._is_verifying = False
        self._is_ordering = False
        self._is_fetching_manifest = False
        self._order_timer: Timer | None = None
        self._drain_timer: Timer | None = None

    @property
    def is_switching(self) -> bool:
        """Whether the engine takes no requests, to change its version."""
        return self._drain_started_at is not None

    @property
    def report(self) -> EngineReport | None:
        """The engine's last report, None while it does not answer."""
        return self._report

    @property
    def needs_pieces(self) -> bool:
        """Whether pieces are being fetched."""
        return self.swarm is not None and not self.swarm.view.pieces.is_complete

    # What becomes known.

    def name_version(self, named: NamedVersion, now: float) -> None:
        """Take a newly named version as the intended one."""
        profile = self._owner.profile()
        if profile is not None and named.model not in profile.models:
            return
        known = self._newest
        if known is not None and named.version <= known.version:
            return
        is_kept = self._is_kept(now)
        logger.info(
            "version named",
            extra={
                "model": named.model,
                "version": named.version,
                "finishes_first": is_kept,
            },
        )
        self._newest = named
        self._newest_at = now
        if not is_kept:
            self._take_newest()

    def set_report(self, report: EngineReport | None) -> None:
        """Take over the engine's report; None where it did not answer."""
        before = self._report
        self._report = report
        if (before is None) != (report is None):
            logger.info("engine reached" if report else "engine lost")
        is_known = before is not None and report is not None
        if is_known and before.born_ms != report.born_ms:  # type: ignore[union-attr]
            self._on_engine_restarted()
        if report is not None:
            self._note_held(report)
        self.advance()

    def apply_map(self, sender: Address, piece_map: PieceMap) -> None:
        """Take over which pieces a peer has, and answer if it asks."""
        named = NamedVersion(piece_map.model, piece_map.version)
        swarm = self.swarm
        if swarm is not None:
            manifest = swarm.view.pieces.manifest
            if NamedVersion(manifest.model, manifest.version) == named:
                swarm.apply_map(sender, piece_map)
                if piece_map.is_reply_wanted:
                    self._owner.announce(swarm.make_map(), [sender])
            return
        if piece_map.is_reply_wanted and self.held_version == named and self.held:
            uploads = self._owner.uploads()
            reply = PieceMap(named.model, named.version, self.held, uploads=uploads)
            self._owner.announce(reply, [sender])

    def update_peers(self) -> None:
        """Use the newest list of agents."""
        if self.swarm is not None:
            self.swarm.view.peers = self._owner.peers()

    def read_piece(
        self,
        model: str,
        version: int,
        number: int,
        on_done: Callable[[bytes | None], None],
    ) -> None:
        """Read a staged piece for another agent; None if it is not held."""
        if not self._holds(NamedVersion(model, version), number):
            on_done(None)
            return
        self._stage.get(model, number, on_done)

    def stop(self) -> None:
        """End every transfer."""
        if self.swarm is not None:
            self.swarm.stop()

    # What to do next.

    def advance(self) -> None:
        """Do the next step towards the intended version."""
        if self.is_switching and self._serves_ordered():
            self._end_switch()
            logger.info("engine serves the version", extra=self._target_fields())
            self._owner.on_switching()
        state = self._state()
        if serves_target(state):
            self._forget_order()
            self._take_newest()
        step = next_step(state)
        if step is LoadStep.LOOK_UP:
            self._fetch_manifest()
        elif step is LoadStep.FETCH:
            self._fetch()
        elif step is LoadStep.DRAIN:
            self._drain()
        elif step is LoadStep.VERIFY:
            self._verify()
        elif step is LoadStep.ORDER:
            self._order()

    def _state(self) -> LoadState:
        profile = self._owner.profile()
        now = self._task.now()
        return LoadState(
            target=self._target,
            report=self._report,
            layers=profile.layers if profile is not None else 0,
            is_staged=(self.swarm is not None and self.swarm.view.pieces.is_complete),
            is_drained=self._is_drained(now),
            is_verified=(
                self._verified_at is not None
                and now - self._verified_at < VERIFICATION_AGE_S
            ),
        )

    def _is_drained(self, now: float) -> bool:
        started_at, report = self._drain_started_at, self._report
        if started_at is None or report is None:
            return False
        if not self._owner.may_cut() or self._newest != self._target:
            return True
        return is_drained(report.running + report.queued, now - started_at)

    def _on_engine_restarted(self) -> None:
        logger.info("engine restarted")
        self._verified_at = None
        self._ordered = None
        self._end_switch()
        self._forget_order()

    def _end_switch(self) -> None:
        self._drain_started_at = None
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _note_held(self, report: EngineReport) -> None:
        if self.held_version is not None or self.swarm is not None:
            return
        for model in report.models:
            self.held_version = NamedVersion(model.name, model.version)
            self._stage.list_held(model.name, self._on_held)
            return

    def _on_held(self, held: frozenset[int] | None) -> None:
        if held is None:
            self.held_version = None
            return
        self.held = sum(1 << number for number in held)
        logger.info("staged pieces found", extra={"pieces": len(held)})

    def _holds(self, named: NamedVersion, number: int) -> bool:
        if self.swarm is None:
            return self.held_version == named
        pieces = self.swarm.view.pieces
        is_same = NamedVersion(pieces.manifest.model, pieces.manifest.version) == named
        return is_same and bool(pieces.verified >> number & 1)

    def _serves_ordered(self) -> bool:
        ordered, report = self._ordered, self._report
        if ordered is None or report is None:
            return False
        return any(
            model.name == ordered.model and model.version >= ordered.version
            for model in report.models
        )

    def _target_fields(self) -> dict[str, Any]:
        target = self._target
        if target is None:
            return {}
        return {"model": target.model, "version": target.version}

    def _is_kept(self, now: float) -> bool:
        profile = self._owner.profile()
        if self.swarm is None or self._target is None or profile is None:
            return False
        if serves_target(self._state()) or self._ordered == self._target:
            return False
        link = self._link_bytes_per_s * LINK_SHARE
        transfer_s = profile.weight_bytes / link if link > 0 else 0.0
        return finishes_first(now - self._target_at, transfer_s)

    def _take_newest(self) -> None:
        if self._newest is None or self._newest == self._target:
            return
        self._target = self._newest
        self._target_at = self._newest_at
        self._drop_swarm()
        self._forget_order()
        self._owner.refresh_lists()
        self.advance()

    # Pieces.

    def _fetch(self) -> None:
        if self.swarm is None:
            self._fetch_manifest()

    def _model(self) -> str | None:
        if self._target is not None:
            return self._target.model
        profile = self._owner.profile()
        return profile.models[0] if profile is not None and profile.models else None

    def _fetch_manifest(self) -> None:
        origin, model = self._owner.origin(), self._model()
        if origin is None or model is None or self._is_fetching_manifest:
            return
        self._is_fetching_manifest = True
        version = self._target.version if self._target is not None else None
        Fetch.start(
            self._owner.pool,
            origin.address,
            wire.manifest_request(origin.address, model, version),
            self._on_manifest,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def _on_manifest(self, result: FetchResult) -> None:
        try:
            if not isinstance(result, Response) or not result.head.is_success:
                raise AdapterError("the origin did not answer")
            manifest = wire.decode_manifest(result.body)
            if self._target is not None and manifest.version != self._target.version:
                raise AdapterError("the manifest is of another version")
        except AdapterError as error:
            logger.warning("manifest not fetched", extra={"reason": str(error)})
            self._task.call_later(MANIFEST_RETRY_S, self._end_manifest_pause)
            return
        self._is_fetching_manifest = False
        if self._target is None:
            # No version was named yet: the origin's newest is the intended one.
            self._target = NamedVersion(manifest.model, manifest.version)
            self._target_at = self._task.now()
            self._newest = self._target
        self._start_swarm(PieceSet(manifest))

    def _end_manifest_pause(self) -> None:
        self._is_fetching_manifest = False
        self.advance()

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
        self.swarm = Swarm(
            self._task,
            self._owner.pool,
            self._stage,
            self._owner.origin,
            make_piece_policy(POLICY),
            view,
            self._owner.announce,
            self._on_staged,
            self._owner.uploads,
        )
        self.held_version = None
        self._verified_at = None
        logger.info("fetching", extra={**self._target_fields(), "pieces": pieces.count})
        self._reuse_staged(self.swarm)

    def _reuse_staged(self, swarm: Swarm) -> None:
        pieces = swarm.view.pieces

        def on_held(held: frozenset[int] | None) -> None:
            numbers = sorted(n for n in held or () if n < pieces.count)
            self._stage.verify(pieces, numbers, on_piece, on_done)

        def on_piece(number: int, is_good: bool) -> None:
            if is_good:
                pieces.add(number)

        def on_done() -> None:
            if self.swarm is not swarm:
                return
            kept = pieces.count - len(pieces.missing())
            logger.info("staged pieces kept", extra={"pieces": kept})
            swarm.start()
            if pieces.is_complete:
                self._on_staged()

        self._stage.list_held(pieces.manifest.model, on_held)

    def _drop_swarm(self) -> None:
        if self.swarm is not None:
            self.swarm.stop()
            self.swarm = None
        self._verified_at = None
        self._staged_at = None

    def _on_staged(self) -> None:
        swarm = self.swarm
        if swarm is None:
            return
        now = self._task.now()
        if self._staged_at is None:
            self._staged_at = now
        logger.info(
            "staged",
            extra={
                **self._target_fields(),
                "origin_bytes": swarm.origin_bytes,
                "peer_bytes": swarm.peer_bytes,
                "seconds": round(now - swarm.view.started_at, 3),
            },
        )
        self.advance()

    # The switch.

    def _drain(self) -> None:
        now = self._task.now()
        if self.is_switching:
            return
        wait_s = self._drain_at(now) - now
        if wait_s > 0:
            if self._drain_timer is None:
                logger.info("switch put off", extra={"seconds": round(wait_s, 3)})
                self._drain_timer = self._task.call_later(wait_s, self._end_wait)
            return
        self._drain_started_at = now
        self._ordered = None
        logger.info("draining the engine", extra=self._target_fields())
        self._owner.on_switching()
        self.advance()

    def _end_wait(self) -> None:
        self._drain_timer = None
        self.advance()

    def _drain_at(self, now: float) -> float:
        target, report = self._target, self._report
        assert target is not None
        own = str(self._owner.own().address)
        members = [own, *(str(peer.address) for peer in self._owner.peers())]
        due_at = self._versions.due_at(target.model, target.version)
        return drain_at(
            SwitchInput(
                staged_at=now if self._staged_at is None else self._staged_at,
                due_at=now if due_at is None else due_at,
                is_second_half=is_second_half(own, members, target.version),
                is_superseded=self._newest != target,
                serves_older=report is not None and bool(report.models),
            )
        )

    def _verify(self) -> None:
        swarm = self.swarm
        if swarm is None or self._is_verifying:
            return
        self._is_verifying = True
        pieces = swarm.view.pieces
        started_at = self._task.now()

        def on_piece(number: int, is_good: bool) -> None:
            if not is_good:
                logger.warning("staged piece is bad", extra={"number": number})
                pieces.discard(number)

        def on_done() -> None:
            self._is_verifying = False
            if self.swarm is swarm and pieces.is_complete:
                self._verified_at = started_at
            self.advance()

        self._stage.verify(pieces, list(range(pieces.count)), on_piece, on_done)

    def _order(self) -> None:
        target, report = self._target, self._report
        if self._is_ordering or target is None or report is None:
            return
        self._is_ordering = True
        self._ordered = target
        # Where all engines switch at once, a stream that is cut has nowhere to go.
        is_alone = self._newest == target
        cuts = is_alone and self._owner.may_cut() and report.running > 0
        logger.info(
            "ordering the engine",
            extra={**self._target_fields(), "running": report.running, "cuts": cuts},
        )
        request = wire.start_order_request(
            self._engine, target.model, target.version, cuts=cuts
        )
        Fetch.start(
            self._owner.pool,
            self._engine,
            request,
            self._on_ordered,
            timeout_s=ORDER_TIMEOUT_S,
        )

    def _on_ordered(self, result: FetchResult) -> None:
        status = result.head.status if isinstance(result, Response) else None
        logger.info("order answered", extra={"status": status})
        self._verified_at = None
        is_accepted = status in (wire.ORDER_BEGUN_STATUS, wire.ORDER_IN_EFFECT_STATUS)
        # An accepted order may wait for running work; reports tell when it is done.
        pause_s = ORDER_PAUSE_S if is_accepted else ORDER_RETRY_S
        self._order_timer = self._task.call_later(pause_s, self._end_order)
        if is_accepted:
            # What the engine loads is fixed: the staging area is free again.
            self._take_newest()

    def _end_order(self) -> None:
        self._forget_order()
        self.advance()

    def _forget_order(self) -> None:
        self._is_ordering = False
        if self._order_timer is not None:
            self._order_timer.cancel()
            self._order_timer = None

"""Brings one engine to the intended version: fetch, verify, drain, order."""

import logging
from typing import Any, final

from bamboolever._task import Timer
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.piecehandler import PIECE_LINK_SHARE
from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.records import EngineReport, ModelVersion
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.platform import weights as wire
from bamboolever.weights.loading import (
    LoadState,
    LoadStep,
    RolloutOverlap,
    expires_before_serving,
    next_step,
    serves_target,
    should_finish_transfer,
)
from bamboolever.weights.plan import PiecePolicy
from bamboolever.weights.switching import (
    SwitchInput,
    drain_starts_at,
    is_drain_finished,
    is_second_half,
)

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 1.0
ORDER_RETRY_S = 0.2
ORDER_PAUSE_S = 5.0
# A verification older than this is repeated before the order is given.
VERIFICATION_AGE_S = 1.5


@final
class EngineLoader:
    """State of one engine's way to the intended version."""

    def __init__(
        self,
        owner: LoaderContext,
        engine: Address,
        versions: VersionRollouts,
        link_bytes_per_s: float,
        policy: PiecePolicy,
    ):
        self._owner = owner
        self._task = owner.task
        self._engine = engine
        self._versions = versions
        self._link_bytes_per_s = link_bytes_per_s
        self.transfer = Transfer(owner, engine, policy, self.advance)
        # The version being brought in, and the newest named: they differ while a
        # transfer that is almost done goes on.
        self._target: ModelVersion | None = None
        self._target_at = 0.0
        self._newest: ModelVersion | None = None
        self._newest_at = 0.0
        self._ordered: ModelVersion | None = None
        self._report: EngineReport | None = None
        self._drain_started_at: float | None = None
        self._verified_at: float | None = None
        self._is_ordering = False
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

    # What becomes known.

    def name_version(self, named: ModelVersion, now: float) -> None:
        """Take a newly named version as the intended one."""
        profile = self._owner.profile()
        if profile is not None and named.model not in profile.models:
            return
        known = self._newest
        if known is not None and named.version <= known.version:
            return
        is_kept = self._is_kept(named, now)
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

    def served(self) -> ModelVersion | None:
        """Return the model and version that the engine serves whole, or None."""
        profile, report = self._owner.profile(), self._report
        if profile is None or report is None:
            return None
        for model in report.models:
            if model.has_all_layers(profile.layers):
                return ModelVersion(model.name, model.version)
        return None

    def set_report(self, report: EngineReport | None) -> None:
        """Take over the engine's report; None where it did not answer."""
        before, served = self._report, self.served()
        self._report = report
        if (before is None) != (report is None):
            logger.info("engine reached" if report else "engine lost")
        is_known = before is not None and report is not None
        if is_known and before.started_ms != report.started_ms:  # type: ignore[union-attr]
            self._on_engine_restarted()
        if report is not None:
            self.transfer.note_held(report)
        if self.served() != served:
            self._owner.on_served_changed()
        self.advance()

    def stop(self) -> None:
        """End every transfer."""
        self.transfer.drop()

    # What to do next.

    def advance(self) -> None:
        """Do the next step towards the intended version."""
        if self.is_switching and self._serves_ordered():
            self._end_switch()
            logger.info("engine serves the version", extra=_fields(self._ordered))
            self._owner.on_served_changed()
        state = self._state()
        if serves_target(state) or self._is_overtaken(state):
            self._forget_order()
            self._take_newest()
        step = next_step(state)
        if step in (LoadStep.LOOK_UP, LoadStep.FETCH):
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
            is_staged=self.transfer.is_complete,
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
        return is_drain_finished(report.running + report.queued, now - started_at)

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

    def _serves_ordered(self) -> bool:
        ordered, report = self._ordered, self._report
        if ordered is None or report is None:
            return False
        return any(
            model.name == ordered.model and model.version >= ordered.version
            for model in report.models
        )

    def _is_kept(self, named: ModelVersion, now: float) -> bool:
        profile = self._owner.profile()
        if not self.transfer.is_begun or self._target is None or profile is None:
            return False
        if serves_target(self._state()) or self._ordered == self._target:
            return False
        link = self._link_bytes_per_s * PIECE_LINK_SHARE
        transfer_s = profile.weight_bytes / link if link > 0 else 0.0
        elapsed_s = now - self._target_at
        return should_finish_transfer(
            RolloutOverlap(elapsed_s, transfer_s, self._versions.effective_timeout_s),
            is_second_half=self._is_second_half(named),
        )

    def _is_overtaken(self, state: LoadState) -> bool:
        target = self._target
        if target is None or self._newest == target or state.is_staged:
            return False
        expires_at = self._versions.expires_at(target.model, target.version)
        return expires_at is not None and expires_before_serving(
            self._task.now(), expires_at
        )

    def _is_second_half(self, named: ModelVersion) -> bool:
        own = str(self._owner.own().address)
        members = [own, *(str(peer.address) for peer in self._owner.peers())]
        return is_second_half(own, members, named.version)

    def _take_newest(self) -> None:
        if self._newest is None or self._newest == self._target:
            return
        self._target = self._newest
        self._target_at = self._newest_at
        self.transfer.drop()
        self._verified_at = None
        self._forget_order()
        self._owner.refresh_lists()
        self.advance()

    # Pieces.

    def _fetch(self) -> None:
        target, profile = self._target, self._owner.profile()
        if target is not None:
            self.transfer.begin(target.model, target.version, self._take_manifest)
        elif profile is not None and profile.models:
            self.transfer.begin(profile.models[0], None, self._take_manifest)

    def _take_manifest(self, named: ModelVersion) -> bool:
        if self._target is None:
            # No version was named yet: the origin's newest is the intended one.
            self._target = self._newest = named
            self._target_at = self._task.now()
        self._verified_at = None
        return named.version == self._target.version

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
        logger.info("draining the engine", extra=_fields(self._target))
        self._owner.on_served_changed()
        self.advance()

    def _end_wait(self) -> None:
        self._drain_timer = None
        self.advance()

    def _drain_at(self, now: float) -> float:
        target, report = self._target, self._report
        assert target is not None
        expires_at = self._served_ends_at()
        staged_at = self.transfer.staged_at
        return drain_starts_at(
            SwitchInput(
                staged_at=now if staged_at is None else staged_at,
                older_expires_at=now if expires_at is None else expires_at,
                is_second_half=self._is_second_half(target),
                is_superseded=self._newest != target,
                serves_older=report is not None and bool(report.models),
            )
        )

    def _served_ends_at(self) -> float | None:
        served = self.served()
        if served is None:
            return None
        return self._versions.expires_at(served.model, served.version)

    def _verify(self) -> None:
        started_at = self._task.now()

        def on_verified() -> None:
            self._verified_at = started_at

        self.transfer.verify(on_verified)

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
            extra={**_fields(target), "running": report.running, "cuts": cuts},
        )
        request = wire.start_order_request(
            self._engine, target.model, target.version, is_immediate=cuts
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
        is_accepted = status in (
            wire.ORDER_ACCEPTED_STATUS,
            wire.ORDER_IN_EFFECT_STATUS,
        )
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


def _fields(version: ModelVersion | None) -> dict[str, Any]:
    if version is None:
        return {}
    return {"model": version.model, "version": version.version}

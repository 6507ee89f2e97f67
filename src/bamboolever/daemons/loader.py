"""Carries out the steps that bring one engine to its target version.

Takes new rollouts, the engine's reports and the state of the staged pieces. The
modules `weights.loading` and `weights.switching` decide the next step; this one
transfers and verifies the pieces, drains the engine and orders it to load them.
"""

import logging
from typing import Any, final

from bamboolever._task import Timer
from bamboolever.daemons.loadercontext import LoaderContext
from bamboolever.daemons.loadorder import LoadOrder
from bamboolever.daemons.piecehandler import PIECE_LINK_SHARE
from bamboolever.daemons.transfer import Transfer
from bamboolever.fleet.records import EngineReport, ModelVersion
from bamboolever.fleet.versions import VersionRollouts
from bamboolever.net.addresses import Address
from bamboolever.platform.weights import PieceDigests
from bamboolever.weights.loading import (
    LoadState,
    LoadStep,
    RolloutOverlap,
    expires_before_serving,
    next_step,
    serves_target,
    should_finish_transfer,
)
from bamboolever.weights.modelchoice import choose_model
from bamboolever.weights.plan import PiecePolicy
from bamboolever.weights.switching import (
    SwitchInput,
    drain_starts_at,
    is_drain_finished,
    is_second_half,
    switch_turn,
)

logger = logging.getLogger(__name__)

# An older verification is repeated before the engine is ordered to load.
MAX_VERIFICATION_AGE_S = 1.5


@final
class EngineLoader:
    """Keeps the state of one engine and does the next step towards its target.

    ``link_bytes_per_s`` is the rate of the agent's link; 0 means unlimited. Runs on
    the context's task, and times are seconds of its clock.
    """

    def __init__(
        self,
        context: LoaderContext,
        engine_address: Address,
        rollouts: VersionRollouts,
        link_bytes_per_s: float,
        policy: PiecePolicy,
    ):
        self._context = context
        self._task = context.task
        self._rollouts = rollouts
        self._link_bytes_per_s = link_bytes_per_s
        self.transfer = Transfer(context, engine_address, policy, self.advance)
        # The model of the engine; None until the configuration is known.
        self._model: str | None = None
        # The version being transferred or loaded, and that of the newest rollout. They
        # differ while a superseded version is still transferred or loaded. The target
        # may also be a version that was looked up because none was named.
        self._target: ModelVersion | None = None
        self._target_started_at = 0.0
        self._newest: ModelVersion | None = None
        self._newest_started_at = 0.0
        self._report: EngineReport | None = None
        self._drain_started_at: float | None = None
        self._verified_at: float | None = None
        self._order = LoadOrder(
            context.task,
            context.pool,
            engine_address,
            self._on_order_answered,
            self.advance,
        )
        self._drain_timer: Timer | None = None

    @property
    def is_switching(self) -> bool:
        """Whether the engine takes no requests because it changes its version."""
        return self._drain_started_at is not None

    @property
    def report(self) -> EngineReport | None:
        """The engine's last report; None while the engine does not respond."""
        return self._report

    # Rollouts and reports.

    def start_rollout(self, newest: ModelVersion, now: float) -> None:
        """Make a rollout's version the target, now or after the transfer in progress.

        Ignored for other models than the engine's and for older versions. While the
        engine's model is unknown, `advance` starts its newest rollout later.
        """
        self._follow_model()
        if newest.model != self._model:
            return
        known = self._newest
        if known is not None and newest.version <= known.version:
            return
        should_finish = self._should_finish_transfer(newest, now)
        logger.info(
            "version named",
            extra={
                "model": newest.model,
                "version": newest.version,
                "finishes_first": should_finish,
            },
        )
        self._newest = newest
        self._newest_started_at = now
        if not should_finish:
            self._adopt_newest()

    def served_version(self) -> ModelVersion | None:
        """Return the version that the engine serves with all layers, or None."""
        profile, report = self._context.profile(), self._report
        if profile is None or report is None:
            return None
        for model in report.models:
            if model.has_all_layers(profile.layers):
                return ModelVersion(model.name, model.version)
        return None

    def set_report(self, report: EngineReport | None) -> None:
        """Apply the engine's report; None means that it did not respond."""
        previous, served = self._report, self.served_version()
        self._report = report
        if (previous is None) != (report is None):
            logger.info("engine reached" if report else "engine lost")
        is_known = previous is not None and report is not None
        if is_known and previous.started_ms != report.started_ms:  # type: ignore[union-attr]
            self._on_engine_restarted()
        if report is not None:
            self.transfer.adopt_staged(report)
        if self.served_version() != served:
            self._context.on_serving_changed()
        self.advance()

    def stop(self) -> None:
        """Stop the transfer in progress."""
        self.transfer.stop()

    @property
    def _is_superseded(self) -> bool:
        """Whether a rollout wants another version than the target."""
        return self._newest is not None and self._newest != self._target

    def _follow_model(self) -> None:
        """Take up the newest rollout of the engine's model once that is known.

        What is known of the versions of other models says nothing about it.
        """
        model = self._find_model()
        if model is None or model == self._model:
            return
        logger.info("model of the engine", extra={"model": model})
        self._model = model
        if self._target is not None:
            self._drop_target()
        version = self._rollouts.newest(model)
        if version is None:
            return
        now = self._task.now()
        age_s = self._rollouts.age_s(model, version, now)
        self.start_rollout(ModelVersion(model, version), now - (age_s or 0.0))

    def _find_model(self) -> str | None:
        profile, report = self._context.profile(), self._report
        if profile is None:
            return None
        if len(profile.models) == 1:
            return profile.models[0]
        if report is None or not self._context.can_plan_transfer():
            return self._model
        served = {model.name for model in report.models}
        return choose_model(profile.models, served, self._model, self._switch_turn(0))

    def _drop_target(self) -> None:
        self._target = self._newest = None
        self.transfer.drop()
        self._verified_at = None
        self._end_switch()
        self._order.end_pause()

    # Steps.

    def advance(self) -> None:
        """Do the next step towards the target version.

        Called after each change of the engine's report, of the pieces or of the
        configuration.
        """
        self._follow_model()
        if self.is_switching and self._is_switch_done():
            self._end_switch()
            logger.info(
                "engine serves the version", extra=_log_fields(self._order.version)
            )
            self._context.on_serving_changed()
        state = self._state()
        if serves_target(state) or self._is_target_expiring(state):
            self._order.end_pause()
            self._adopt_newest()
        step = next_step(state)
        if step in (LoadStep.LOOK_UP, LoadStep.FETCH):
            self._start_transfer()
        elif step is LoadStep.DRAIN:
            self._start_drain()
        elif step is LoadStep.VERIFY:
            self._verify()
        elif step is LoadStep.ORDER:
            self._send_order()

    def _state(self) -> LoadState:
        profile = self._context.profile()
        now = self._task.now()
        return LoadState(
            target=self._target,
            report=self._report,
            layer_count=profile.layers if profile is not None else 0,
            is_staged=self.transfer.is_complete,
            is_drained=self._is_drained(now),
            is_verified=(
                self._verified_at is not None
                and now - self._verified_at < MAX_VERIFICATION_AGE_S
            ),
        )

    def _is_drained(self, now: float) -> bool:
        started_at, report = self._drain_started_at, self._report
        if started_at is None or report is None:
            return False
        if not self._context.can_interrupt_requests() or self._is_superseded:
            return True
        return is_drain_finished(report.running + report.queued, now - started_at)

    def _on_engine_restarted(self) -> None:
        logger.info("engine restarted")
        self._verified_at = None
        self._order.version = None
        self._end_switch()
        self._order.end_pause()

    def _end_switch(self) -> None:
        self._drain_started_at = None
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _is_switch_done(self) -> bool:
        ordered, report = self._order.version, self._report
        if ordered is None or report is None:
            return False
        # Another agent process may have ordered the target before this one started.
        return serves_target(self._state()) or any(
            ModelVersion(model.name, model.version) == ordered
            for model in report.models
        )

    def _should_finish_transfer(self, newest: ModelVersion, now: float) -> bool:
        profile = self._context.profile()
        if not self.transfer.is_started or self._target is None or profile is None:
            return False
        if newest.version <= self._target.version:
            return False
        if serves_target(self._state()) or self._order.version == self._target:
            return False
        bytes_per_s = self._link_bytes_per_s * PIECE_LINK_SHARE
        transfer_s = profile.weight_bytes / bytes_per_s if bytes_per_s > 0 else 0.0
        elapsed_s = now - self._target_started_at
        return should_finish_transfer(
            RolloutOverlap(elapsed_s, transfer_s, self._rollouts.timeout_s),
            is_second_half=is_second_half(self._switch_turn(newest.version)),
        )

    def _is_target_expiring(self, state: LoadState) -> bool:
        target = self._target
        if target is None or not self._is_superseded or state.is_staged:
            return False
        expires_at = self._rollouts.expires_at(target.model, target.version)
        return expires_at is not None and expires_before_serving(
            self._task.now(), expires_at
        )

    def _switch_turn(self, version: int) -> float:
        own_address = str(self._context.own_peer().address)
        members = [own_address, *(str(peer.address) for peer in self._context.peers())]
        return switch_turn(own_address, members, version)

    def _adopt_newest(self) -> None:
        if self._newest is None or self._newest == self._target:
            return
        self._target = self._newest
        self._target_started_at = self._newest_started_at
        self.transfer.drop()
        self._verified_at = None
        self._order.end_pause()
        self._context.refresh_lists()
        self.advance()

    # Transfer.

    def _start_transfer(self) -> None:
        target = self._target
        if target is not None:
            self.transfer.start(target.model, target.version, self._accept_manifest)
        elif self._model is not None:
            self.transfer.start(self._model, None, self._accept_manifest)

    def _accept_manifest(self, manifest: PieceDigests) -> bool:
        profile = self._context.profile()
        if profile is not None and not profile.has_pieces(len(manifest.digests)):
            return False
        if self._target is None:
            # No rollout is known yet: the origin's newest version is the target. It
            # does not count as named, so that any version that is replaces it.
            self._target = ModelVersion(manifest.model, manifest.version)
            self._target_started_at = self._task.now()
        self._verified_at = None
        return manifest.version == self._target.version

    # Switch.

    def _start_drain(self) -> None:
        now = self._task.now()
        if self.is_switching:
            return
        wait_s = self._drain_starts_at(now) - now
        if wait_s > 0:
            if self._drain_timer is None:
                logger.info("switch put off", extra={"seconds": round(wait_s, 3)})
                self._drain_timer = self._task.call_later(wait_s, self._on_drain_due)
            return
        self._drain_started_at = now
        self._order.version = None
        logger.info("draining the engine", extra=_log_fields(self._target))
        self._context.on_serving_changed()
        self.advance()

    def _on_drain_due(self) -> None:
        self._drain_timer = None
        self.advance()

    def _drain_starts_at(self, now: float) -> float:
        target, report = self._target, self._report
        assert target is not None
        expires_at = self._served_expires_at()
        staged_at = self.transfer.staged_at
        return drain_starts_at(
            SwitchInput(
                staged_at=now if staged_at is None else staged_at,
                older_expires_at=now if expires_at is None else expires_at,
                turn=self._switch_turn(target.version),
                is_superseded=self._is_superseded,
                serves_older=report is not None and bool(report.models),
            )
        )

    def _served_expires_at(self) -> float | None:
        served = self.served_version()
        if served is None:
            return None
        return self._rollouts.expires_at(served.model, served.version)

    def _verify(self) -> None:
        started_at = self._task.now()

        def on_verified() -> None:
            self._verified_at = started_at

        self.transfer.verify(on_verified)

    def _send_order(self) -> None:
        target, report = self._target, self._report
        if target is None or report is None:
            return
        # An immediate order cuts the running requests. Engines load a superseded
        # version without waiting for each other. If all switch at once, a stream that
        # is cut cannot resume on another engine.
        is_immediate = (
            not self._is_superseded
            and self._context.can_interrupt_requests()
            and report.running > 0
        )
        self._order.send(target, running=report.running, is_immediate=is_immediate)

    def _on_order_answered(self, is_accepted: bool) -> None:
        self._verified_at = None
        if is_accepted:
            # The engine now loads what was ordered, so its staging area may be reused.
            self._adopt_newest()


def _log_fields(version: ModelVersion | None) -> dict[str, Any]:
    if version is None:
        return {}
    return {"model": version.model, "version": version.version}

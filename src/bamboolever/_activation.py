"""Which version an upstream serves: orders, read-back and admission of calls.

Pure decisions. At most one action is outstanding; its result is reported
before the next one is returned. Calls are admitted only while the weights
that were read back are ones that an accepted target named.
"""

from dataclasses import dataclass
from enum import Enum
from typing import final

READ_BACK_PERIOD_S = 1.0
SLOT_RETRY_S = 0.5
FIRST_ORDER_RETRY_S = 1.0
MAX_ORDER_RETRY_S = 30.0
PAUSE_S = 2.0


@dataclass(frozen=True)
class ActivationTarget:
    """The version to serve; ``fencing`` is the rollout object's revision."""

    model: str
    version: str
    fencing: int
    manifest_digest: str


@dataclass(frozen=True)
class ServedModel:
    """What the upstream says it serves; an empty digest means nothing."""

    version: str
    weights_digest: str


class ActivationState(Enum):
    """What the instance is doing, as shown in the status."""

    NO_TARGET = "no-target"
    FETCHING = "fetching"
    WAITING_FOR_SLOT = "waiting-for-slot"
    DRAINING = "draining"
    LOADING = "loading"
    LOAD_FAILED = "load-failed"
    CHECKING = "checking"
    SERVING = "serving"


class ActivationAction(Enum):
    """What the owner must do next."""

    READ_BACK = "read-back"
    ACQUIRE_SLOT = "acquire-slot"
    RELEASE_SLOT = "release-slot"
    SEND_ORDER = "send-order"


SLOT_ACTIONS = (ActivationAction.ACQUIRE_SLOT, ActivationAction.RELEASE_SLOT)


@final
class Activation:
    """Decides on orders to one upstream that serves a model."""

    def __init__(self) -> None:
        self._target: ActivationTarget | None = None
        self._target_weights: str | None = None
        self._accepted_weights: set[str] = set()
        self._served: ServedModel | None = None
        self._read_at = float("-inf")
        self._outstanding: ActivationAction | None = None
        self._outstanding_slot: ActivationAction | None = None
        self._holds_slot = False
        # An acquire whose answer was lost may hold a slot all the same.
        self._may_hold_slot = False
        self._is_draining = False
        self._slot_retry_at = float("-inf")
        self._order_retry_at = float("-inf")
        self._failures = 0
        self._last_tick: float | None = None

    @property
    def target(self) -> ActivationTarget | None:
        """The newest accepted target."""
        return self._target

    @property
    def served(self) -> ServedModel | None:
        """What was last read back, or None while that is unknown."""
        return self._served

    @property
    def is_accepting(self) -> bool:
        """Whether calls may go to the upstream now."""
        if self._served is None or self._is_draining:
            return False
        if self._outstanding is ActivationAction.SEND_ORDER:
            return False
        return self._served.weights_digest in self._accepted_weights

    @property
    def is_serving_target(self) -> bool:
        """Whether the upstream was seen to serve exactly the target."""
        if self._served is None or self._target_weights is None:
            return False
        return self._served.weights_digest == self._target_weights

    @property
    def state(self) -> ActivationState:
        """The state shown to operators."""
        if self._target is None:
            return ActivationState.NO_TARGET
        if self._outstanding is ActivationAction.SEND_ORDER:
            return ActivationState.LOADING
        if self.is_serving_target:
            return ActivationState.SERVING
        if self._failures:
            return ActivationState.LOAD_FAILED
        if self._is_draining:
            return ActivationState.DRAINING
        if self._served is None:
            return ActivationState.CHECKING
        if self._target_weights is None:
            return ActivationState.FETCHING
        return ActivationState.WAITING_FOR_SLOT

    def on_target(self, target: ActivationTarget) -> bool:
        """Take a target; return False when it is not newer than the last."""
        if self._target is not None and target.fencing <= self._target.fencing:
            return False
        is_same = (
            self._target is not None
            and self._target.manifest_digest == target.manifest_digest
        )
        self._target = target
        if is_same:
            return True
        self._target_weights = None
        self._failures = 0
        self._order_retry_at = float("-inf")
        if self._outstanding is not ActivationAction.SEND_ORDER:
            self._is_draining = False
        return True

    def on_weights_verified(self, manifest_digest: str, weights_digest: str) -> None:
        """Note that all chunks and the whole of a version are verified."""
        if self._target is None or self._target.manifest_digest != manifest_digest:
            return
        self._target_weights = weights_digest
        self._accepted_weights.add(weights_digest)

    def on_upstream_lost(self) -> None:
        """Note that the upstream died or stopped answering."""
        self._served = None
        self._read_at = float("-inf")

    def on_read_back(self, served: ServedModel | None, now: float) -> None:
        """Report the result of `ActivationAction.READ_BACK`."""
        self._clear(ActivationAction.READ_BACK)
        self._served = served
        self._read_at = now

    def on_slot(
        self, is_held: bool, now: float, *, retry_s: float = SLOT_RETRY_S
    ) -> None:
        """Report the result of an acquire or release of the swap slot."""
        if self._outstanding in SLOT_ACTIONS:
            self._outstanding = None
        if self._outstanding_slot is ActivationAction.RELEASE_SLOT:
            self._may_hold_slot = is_held
        self._outstanding_slot = None
        self._holds_slot = is_held
        self._slot_retry_at = now + retry_s

    def on_order_done(self, is_loaded: bool, now: float) -> None:
        """Report the result of `ActivationAction.SEND_ORDER`."""
        self._clear(ActivationAction.SEND_ORDER)
        self._is_draining = False
        self._served = None
        self._read_at = float("-inf")
        if is_loaded:
            self._failures = 0
            return
        delay_s = FIRST_ORDER_RETRY_S * 2**self._failures
        self._order_retry_at = now + min(MAX_ORDER_RETRY_S, delay_s)
        self._failures = min(self._failures + 1, 10)

    def advance(self, now: float, *, in_flight: int) -> ActivationAction | None:
        """Return the next action; ``in_flight`` counts calls at the upstream."""
        self._forget_after_pause(now)
        if self._outstanding is not None:
            return None
        action = self._choose(now, in_flight)
        self._outstanding = action
        if action in SLOT_ACTIONS:
            self._outstanding_slot = action
        if action is ActivationAction.ACQUIRE_SLOT:
            self._may_hold_slot = True
        return action

    def _choose(self, now: float, in_flight: int) -> ActivationAction | None:
        if now - self._read_at >= READ_BACK_PERIOD_S:
            return ActivationAction.READ_BACK
        if self._target is None or self._served is None:
            return None
        if self.is_serving_target:
            self._is_draining = False
            self._failures = 0
            return self._release_if_due(now)
        if self._target_weights is None or now < self._order_retry_at:
            return None
        if self._needs_slot():
            if now < self._slot_retry_at:
                return None
            return ActivationAction.ACQUIRE_SLOT
        self._is_draining = True
        if in_flight:
            return None
        return ActivationAction.SEND_ORDER

    def _release_if_due(self, now: float) -> ActivationAction | None:
        if not self._may_hold_slot or now < self._slot_retry_at:
            return None
        return ActivationAction.RELEASE_SLOT

    def _needs_slot(self) -> bool:
        if self._holds_slot or self._served is None:
            return False
        return self._served.weights_digest in self._accepted_weights

    def _forget_after_pause(self, now: float) -> None:
        # Anything may have happened to the upstream while this process stood.
        if self._last_tick is not None and now - self._last_tick > PAUSE_S:
            self.on_upstream_lost()
        self._last_tick = now

    def _clear(self, action: ActivationAction) -> None:
        if self._outstanding is action:
            self._outstanding = None

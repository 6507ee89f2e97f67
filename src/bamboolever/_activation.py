"""Decides when an upstream loads its target version and when it accepts calls.

`Activation` takes targets, verified weights, results of actions and losses of the
upstream. It decides the agent's next action and whether calls are accepted. At most one
action is outstanding. Its result is reported before the next one is returned.

- The served version is read back periodically, as the upstream may have restarted or
  loaded another version. Calls are accepted only while it serves weights that were
  verified for an accepted target.
- An upstream that serves such weights needs a swap slot before it loads others, so that
  enough instances keep serving. It is then drained before the order is sent.
- Targets carry a fencing token. A target that is not newer than the last is ignored.
- A failed order is repeated with exponential backoff and keeps the slot. A version that
  does not load thereby stops its own rollout.

Load pattern: all instances of a service get a new target at the same time, while they
run calls. Times are seconds of the caller's clock.
"""

from dataclasses import dataclass
from enum import Enum
from typing import final

READ_BACK_PERIOD_S = 1.0
SLOT_RETRY_S = 0.5
FIRST_ORDER_RETRY_S = 1.0
MAX_ORDER_RETRY_S = 30.0
#: A longer gap between two calls of `Activation.advance` means that the process was
#: paused.
PAUSE_THRESHOLD_S = 2.0


@dataclass(frozen=True)
class ActivationTarget:
    """The version to serve.

    ``fencing`` is the fencing token, the revision of the rollout object.
    """

    model: str
    version: str
    fencing: int
    manifest_digest: str


@dataclass(frozen=True)
class ServedModel:
    """The version that an upstream reports; an empty digest means no weights."""

    version: str
    weights_digest: str


class ActivationState(Enum):
    """State of an instance, as shown in its status."""

    NO_TARGET = "no-target"
    FETCHING = "fetching"
    WAITING_FOR_SLOT = "waiting-for-slot"
    DRAINING = "draining"
    LOADING = "loading"
    LOAD_FAILED = "load-failed"
    CHECKING = "checking"
    SERVING = "serving"


class ActivationAction(Enum):
    """The action that the agent carries out next.

    READ_BACK reads the served version from the upstream. SEND_ORDER has the upstream
    load the target version.
    """

    READ_BACK = "read-back"
    ACQUIRE_SLOT = "acquire-slot"
    RELEASE_SLOT = "release-slot"
    SEND_ORDER = "send-order"


SLOT_ACTIONS = (ActivationAction.ACQUIRE_SLOT, ActivationAction.RELEASE_SLOT)


@final
class Activation:
    """Selects the actions for one upstream that serves a model; has no side effects."""

    def __init__(self) -> None:
        self._target: ActivationTarget | None = None
        self._target_weights: str | None = None
        self._accepted_weights: set[str] = set()
        self._served: ServedModel | None = None
        self._read_back_at = float("-inf")
        self._outstanding: ActivationAction | None = None
        self._outstanding_slot: ActivationAction | None = None
        self._has_slot = False
        # Set by every acquire, since one whose response is lost may have taken a slot.
        self._is_release_needed = False
        self._is_draining = False
        self._slot_retry_at = float("-inf")
        self._order_retry_at = float("-inf")
        self._failed_orders = 0
        self._last_advance_at: float | None = None

    @property
    def target(self) -> ActivationTarget | None:
        """The newest accepted target, or None before the first."""
        return self._target

    @property
    def served(self) -> ServedModel | None:
        """The version that was read back last, or None while it is unknown."""
        return self._served

    @property
    def is_accepting(self) -> bool:
        """Whether calls may be sent to the upstream."""
        if self._served is None or self._is_draining:
            return False
        if self._outstanding is ActivationAction.SEND_ORDER:
            return False
        return self._served.weights_digest in self._accepted_weights

    @property
    def is_serving_target(self) -> bool:
        """Whether the upstream last reported the target version's weights."""
        if self._served is None or self._target_weights is None:
            return False
        return self._served.weights_digest == self._target_weights

    @property
    def state(self) -> ActivationState:
        """The state shown in the status."""
        if self._target is None:
            return ActivationState.NO_TARGET
        if self._outstanding is ActivationAction.SEND_ORDER:
            return ActivationState.LOADING
        if self.is_serving_target:
            return ActivationState.SERVING
        if self._failed_orders:
            return ActivationState.LOAD_FAILED
        if self._is_draining:
            return ActivationState.DRAINING
        if self._served is None:
            return ActivationState.CHECKING
        if self._target_weights is None:
            return ActivationState.FETCHING
        return ActivationState.WAITING_FOR_SLOT

    def on_target(self, target: ActivationTarget) -> bool:
        """Accept a newer target; called for each target that the agent receives.

        Returns False if its fencing token is not higher than the last one's.
        """
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
        self._failed_orders = 0
        self._order_retry_at = float("-inf")
        if self._outstanding is not ActivationAction.SEND_ORDER:
            self._is_draining = False
        return True

    def on_weights_verified(self, manifest_digest: str, weights_digest: str) -> None:
        """Called when the digests of a version's chunks and weights are verified."""
        if self._target is None or self._target.manifest_digest != manifest_digest:
            return
        self._target_weights = weights_digest
        self._accepted_weights.add(weights_digest)

    def on_upstream_lost(self) -> None:
        """Called when the upstream died or no longer responds."""
        self._served = None
        self._read_back_at = float("-inf")

    def on_read_back(self, served: ServedModel | None, now: float) -> None:
        """Called with the result of `ActivationAction.READ_BACK`.

        ``served`` is None if it could not be read.
        """
        self._finish_action(ActivationAction.READ_BACK)
        self._served = served
        self._read_back_at = now

    def on_slot(
        self, is_held: bool, now: float, *, retry_s: float = SLOT_RETRY_S
    ) -> None:
        """Called with the result of an acquire or a release of the swap slot.

        ``is_held`` tells whether the slot may be held. The slot is not requested again
        for ``retry_s`` seconds.
        """
        if self._outstanding in SLOT_ACTIONS:
            self._outstanding = None
        if self._outstanding_slot is ActivationAction.RELEASE_SLOT:
            self._is_release_needed = is_held
        self._outstanding_slot = None
        self._has_slot = is_held
        self._slot_retry_at = now + retry_s

    def on_order_done(self, is_loaded: bool, now: float) -> None:
        """Called with the result of `ActivationAction.SEND_ORDER`."""
        self._finish_action(ActivationAction.SEND_ORDER)
        self._is_draining = False
        self._served = None
        self._read_back_at = float("-inf")
        if is_loaded:
            self._failed_orders = 0
            return
        delay_s = FIRST_ORDER_RETRY_S * 2**self._failed_orders
        self._order_retry_at = now + min(MAX_ORDER_RETRY_S, delay_s)
        self._failed_orders = min(self._failed_orders + 1, 10)

    def advance(self, now: float, *, in_flight: int) -> ActivationAction | None:
        """Return the next action, or None; called periodically.

        ``in_flight`` is the number of calls that run at the upstream.
        """
        self._detect_pause(now)
        if self._outstanding is not None:
            return None
        action = self._select_action(now, in_flight)
        self._outstanding = action
        if action in SLOT_ACTIONS:
            self._outstanding_slot = action
        if action is ActivationAction.ACQUIRE_SLOT:
            self._is_release_needed = True
        return action

    def _select_action(self, now: float, in_flight: int) -> ActivationAction | None:
        if now - self._read_back_at >= READ_BACK_PERIOD_S:
            return ActivationAction.READ_BACK
        if self._target is None or self._served is None:
            return None
        if self.is_serving_target:
            self._is_draining = False
            self._failed_orders = 0
            return self._select_release(now)
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

    def _select_release(self, now: float) -> ActivationAction | None:
        if not self._is_release_needed or now < self._slot_retry_at:
            return None
        return ActivationAction.RELEASE_SLOT

    def _needs_slot(self) -> bool:
        if self._has_slot or self._served is None:
            return False
        return self._served.weights_digest in self._accepted_weights

    def _detect_pause(self, now: float) -> None:
        # The upstream may have changed while this process was paused.
        if (
            self._last_advance_at is not None
            and now - self._last_advance_at > PAUSE_THRESHOLD_S
        ):
            self.on_upstream_lost()
        self._last_advance_at = now

    def _finish_action(self, action: ActivationAction) -> None:
        if self._outstanding is action:
            self._outstanding = None

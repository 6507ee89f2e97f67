"""Orders one engine to load its staged pieces, and again until it does.

Load pattern: an engine that refuses an order while it is busy, or whose response is
lost. An accepted order may wait for running requests, and one without a response may
have been accepted, so that only the engine's reports show when it is done.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever._task import IoTask, Timer
from bamboolever.fleet.records import ModelVersion
from bamboolever.net.addresses import Address
from bamboolever.net.client import ConnectionPool
from bamboolever.net.fetch import Fetch, FetchResult, Response
from bamboolever.platform import weights as wire

logger = logging.getLogger(__name__)

# The engine is on the same machine.
ORDER_TIMEOUT_S = 1.0
MAX_ORDER_RESPONSE_BYTES = 64 * 2**10
# Pause after an order that the engine refused or did not respond to.
ORDER_RETRY_S = 0.2
# Pause after an accepted order until it may be repeated.
ORDER_REPEAT_S = 5.0


@final
class LoadOrder:
    """The order that an engine got last; at most one is under way.

    ``on_answered`` is called with whether the engine accepted an order, ``on_due``
    when the next one may be sent.
    """

    def __init__(
        self,
        task: IoTask,
        pool: ConnectionPool,
        engine_address: Address,
        on_answered: Callable[[bool], None],
        on_due: Callable[[], None],
    ):
        self._task = task
        self._pool = pool
        self._engine_address = engine_address
        self._on_answered = on_answered
        self._on_due = on_due
        self._is_pending = False
        self._timer: Timer | None = None
        # The version that was ordered last; None once a switch starts anew.
        self.version: ModelVersion | None = None

    def send(self, version: ModelVersion, *, running: int, is_immediate: bool) -> None:
        """Order a version unless the pause after the last order lasts.

        ``running`` is the number of running requests, which an immediate order cuts.
        """
        if self._is_pending:
            return
        self._is_pending = True
        self.version = version
        logger.info(
            "ordering the engine",
            extra={
                "model": version.model,
                "version": version.version,
                "running": running,
                "cuts": is_immediate,
            },
        )
        request = wire.start_order_request(
            self._engine_address,
            version.model,
            version.version,
            is_immediate=is_immediate,
        )
        Fetch.start(
            self._pool,
            self._engine_address,
            request,
            self._on_result,
            timeout_s=ORDER_TIMEOUT_S,
            max_bytes=MAX_ORDER_RESPONSE_BYTES,
        )

    def end_pause(self) -> None:
        """Let the next order be sent at once."""
        self._is_pending = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_result(self, result: FetchResult) -> None:
        status = result.head.status if isinstance(result, Response) else None
        logger.info("order answered", extra={"status": status})
        is_accepted = status in (
            wire.ORDER_ACCEPTED_STATUS,
            wire.ORDER_IN_EFFECT_STATUS,
        )
        pause_s = ORDER_REPEAT_S if is_accepted else ORDER_RETRY_S
        self._timer = self._task.call_later(pause_s, self._on_timer)
        self._on_answered(is_accepted)

    def _on_timer(self) -> None:
        self.end_pause()
        self._on_due()

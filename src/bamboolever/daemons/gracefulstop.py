"""The graceful stop of an entry: until when it serves, and what it waits for.

Load pattern: a planned stop under load. The load balancer still sends connections for
some seconds, and callers go on with those that they have.
"""

import logging
from dataclasses import asdict
from typing import final

from bamboolever._task import IoTask
from bamboolever.calls.admission import UNAVAILABLE_STATUS
from bamboolever.calls.dispatcher import RejectReason
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.net.server import HttpServer

logger = logging.getLogger(__name__)

# The load balancer still sends new connections for this long after a stop request.
LOAD_BALANCER_DELAY_S = 3.0
CHECK_INTERVAL_S = 0.1
# Taken off the grace period, after which the platform ends the process.
MARGIN_S = 0.7
# Requests that are still arriving are rejected, and new connections refused, so long
# before the stop.
REJECTION_S = 0.3


@final
class GracefulStop:
    """Stops an entry's task once its callers have their responses.

    A request that is still arriving is awaited, too. New connections are accepted while
    others are in use. The task stops at the latest when ``grace_period_s`` ends; what
    that cuts is logged.
    Methods are called on the task's thread.
    """

    def __init__(
        self,
        task: IoTask,
        server: HttpServer,
        calls: InFlightCalls,
        grace_period_s: float,
    ):
        self._task = task
        self._server = server
        self._calls = calls
        self.grace_period_s = grace_period_s
        self._requested_at: float | None = None

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested."""
        return self._requested_at is not None

    @property
    def remaining_s(self) -> float:
        """Seconds until the entry stops at the latest, if a stop was requested."""
        limit_s = self.grace_period_s - MARGIN_S
        if self._requested_at is None:
            return limit_s
        return limit_s - (self._task.now() - self._requested_at)

    def request(self) -> None:
        """Start the stop; the first request counts."""
        if self.is_requested:
            return
        self._requested_at = self._task.now()
        self._server.announce_stop()
        logger.info("stopping", extra={"calls": self._calls.in_flight})
        self._task.call_later(LOAD_BALANCER_DELAY_S, self._finish)

    def _finish(self) -> None:
        self._server.close_idle()
        is_ending = self.remaining_s <= REJECTION_S
        if is_ending:
            self._server.reject_incomplete(
                UNAVAILABLE_STATUS, RejectReason.STOPPING.value
            )
        if is_ending or not self._server.is_in_use:
            # A connection that is made as the process ends would be reset.
            self._server.stop_listening()
        if not self._server.is_idle and self.remaining_s > 0:
            self._task.call_later(CHECK_INTERVAL_S, self._finish)
            return
        self._log_end()
        self._task.stop()

    def _log_end(self) -> None:
        """Log what the end of the process cuts, if anything."""
        self._calls.log_cut_by_stop()
        cut = self._server.list_unfinished()
        for connection in cut:
            logger.warning("connection cut by stop", extra=asdict(connection))
        logger.info(
            "stopped", extra={"cut": self._calls.in_flight, "connections": len(cut)}
        )

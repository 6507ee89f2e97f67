"""The port for callers: admits their requests, and rejects the others.

- A request that crashes upstreams, or that may not end before this process exits, is
  rejected before it reaches an upstream.
- What requests and responses hold together is bounded; beyond that the largest gives
  way.
- The caller of a rejected request gets a Retry-After.

Load pattern: callers that still arrive while this entry starts, stops or is cut off
from the store. If another entry is ready, they may retry almost at once, else they
wait longer. An entry that is cut off from the store and from the other entries
assumes that those are ready.
"""

import logging
from collections.abc import Callable
from typing import final

from bamboolever._telemetry import Telemetry
from bamboolever.calls.admission import (
    UNAVAILABLE_STATUS,
    AdmissionRequest,
    AdmissionState,
    Admitted,
    Refused,
    admit,
    can_admit_while_stopping,
)
from bamboolever.calls.buffers import HeldBytes
from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.parts import PromptParts
from bamboolever.calls.poison import request_digest
from bamboolever.calls.retryafter import find_retry_after_s
from bamboolever.config.freshness import Freshness
from bamboolever.config.model import Route
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.gracefulstop import GracefulStop
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.daemons.relay import CallRelay
from bamboolever.daemons.settings import InstanceSettings
from bamboolever.net.addresses import Address
from bamboolever.net.handlers import HttpLimits, RequestHandler, make_plain_rejection
from bamboolever.net.messages import Header, Request
from bamboolever.net.requestbuffer import max_request_memory_bytes
from bamboolever.net.server import HttpServer
from bamboolever.net.serverconnection import ServerConnection
from bamboolever.platform import calls as wire

logger = logging.getLogger(__name__)

# File descriptors kept for other uses than calls. A call takes two: one for its
# caller and one for its upstream.
RESERVED_FDS = 328
MIN_FDS = 64


@final
class CallerPort(RequestHandler):
    """Listens at ``address`` for callers, and starts their calls.

    ``limits`` may change, as the configuration does. ``admission_state`` returns the
    configuration in force. Methods are called on the task's thread.
    """

    def __init__(
        self,
        address: Address,
        limits: HttpLimits,
        settings: InstanceSettings,
        *,
        admission_state: Callable[[], AdmissionState],
        freshness: Freshness,
        calls: InFlightCalls,
        exchange: EntryExchange,
        fleet: EntryFleet,
        telemetry: Telemetry,
    ):
        self._task = calls.task
        self._admission_state = admission_state
        self._freshness = freshness
        self._calls = calls
        self._exchange = exchange
        self._fleet = fleet
        self._telemetry = telemetry
        self._held_bytes: HeldBytes[ServerConnection] = HeldBytes.from_memory(
            settings.memory_bytes
        )
        self._request_bytes: HeldBytes[ServerConnection] = HeldBytes.for_requests(
            settings.memory_bytes
        )
        self.server = HttpServer(
            self._task,
            address,
            self,
            limits,
            max_connections=max(MIN_FDS, settings.file_descriptors - RESERVED_FDS) // 2,
            make_rejection=self._make_incomplete_rejection,
        )
        self.graceful_stop = GracefulStop(
            self._task, self.server, calls, settings.bounds.grace_period_s
        )

    def allow_request(self, limits: HttpLimits) -> None:
        """Make room for at least one request within these limits."""
        self._request_bytes.allow(
            max_request_memory_bytes(limits.max_header_bytes, limits.max_body_bytes)
        )

    def on_request(self, connection: ServerConnection, request: Request) -> None:
        """Admit a complete request and start its call, or reject it at once."""
        self._request_bytes.keep(connection)
        metadata = wire.decode_call(request)
        admission_request = AdmissionRequest(
            metadata.attempt_id, metadata.host, metadata.target, metadata.api_key
        )
        admitted = admit(admission_request, self._admission_state())
        if isinstance(admitted, Refused):
            self._reject(connection, metadata, admitted.status, admitted.reason)
            return
        digest = request_digest(
            request.method, request.target, metadata.api_key or "", request.body
        )
        prompt = PromptParts.from_ids(metadata.model, metadata.shared_parts)
        reason = self._find_reject_reason(
            admitted, metadata.remaining_s, digest, prompt
        )
        if reason is not None:
            self._reject(connection, metadata, UNAVAILABLE_STATUS, reason.value)
            return
        self._start_call(connection, request, metadata, admitted, digest, prompt)

    def stops_before(self, route: Route, remaining_s: float | None) -> bool:
        """Return whether a stop may interrupt a request of the route.

        ``remaining_s`` is the time for which its caller waits; None if unknown.
        """
        return self.graceful_stop.is_requested and not can_admit_while_stopping(
            self.graceful_stop.remaining_s, route, remaining_s
        )

    def _configuration_version(self) -> int:
        configuration = self._admission_state().configuration
        return configuration.version if configuration else 0

    def _find_reject_reason(
        self,
        admitted: Admitted,
        remaining_s: float | None,
        digest: int,
        prompt: PromptParts,
    ) -> RejectReason | None:
        """Return why an admitted request must not be sent now, or None."""
        if self.stops_before(admitted.route, remaining_s):
            return RejectReason.STOPPING
        if self._exchange.crashes.tracker.is_blocked(digest, self._task.now()):
            return RejectReason.POISON
        return self._exchange.crashes.decide(prompt).reject_reason

    def _start_call(
        self,
        connection: ServerConnection,
        request: Request,
        metadata: wire.CallMetadata,
        admitted: Admitted,
        digest: int,
        prompt: PromptParts,
    ) -> None:
        relay = CallRelay(
            self._calls,
            connection,
            request,
            metadata,
            admitted.route,
            admitted.service,
            admitted.workspace,
            call_id=self._calls.new_call_id(),
            first_attempt_age_s=self._exchange.rejection_history.first_attempt_age_s(
                digest, self._task.now()
            ),
            digest=digest,
            prompt=prompt,
        )
        self._calls.log.record_admission(
            relay,
            configuration=self._configuration_version(),
            confirmed_age_s=self._freshness.age_s(self._task.now()),
        )
        self._calls.start(relay)

    def _reject(
        self,
        connection: ServerConnection,
        metadata: wire.CallMetadata,
        status: int,
        reason: str,
    ) -> None:
        self._telemetry.count("call.refused", 1, reason=reason)
        logger.info(
            "call refused",
            extra={
                "attempt": _decode_latin1(metadata.attempt_id),
                "status": status,
                "reason": reason,
                "host": metadata.host,
                "target": metadata.target,
                "version": self._configuration_version(),
                "confirmed_age_s": self._freshness.age_s(self._task.now()),
            },
        )
        headers: list[Header] = []
        if metadata.attempt_id is not None:
            headers.append(wire.attempt_header(metadata.attempt_id))
        if status == UNAVAILABLE_STATUS:
            headers += self._make_retry_after(RejectReason(reason))
        connection.respond(status, headers, reason.encode())

    def _make_incomplete_rejection(
        self, status: int, reason: str
    ) -> tuple[list[Header], bytes]:
        """Return headers and body for a request that is rejected while it arrives."""
        if status != UNAVAILABLE_STATUS:
            return make_plain_rejection(status, reason)
        return self._make_retry_after(RejectReason(reason)), reason.encode()

    def _make_retry_after(self, reason: RejectReason) -> list[Header]:
        is_peer_ready = self._fleet.peers.has_ready_peer(self._task.now())
        delay_s = find_retry_after_s(reason, is_peer_ready=is_peer_ready)
        return [] if delay_s is None else [wire.retry_after_header(delay_s)]

    def on_caller_gone(self, connection: ServerConnection) -> None:
        """Cancel the call of a caller that closed before its response was complete."""
        self._calls.on_caller_gone(connection)

    def on_request_bytes(self, connection: ServerConnection, size_bytes: int) -> None:
        """Reject the largest incomplete requests if all together hold too much."""
        for largest in self._request_bytes.resize(connection, size_bytes):
            largest.reject_incomplete(UNAVAILABLE_STATUS, RejectReason.NO_MEMORY.value)

    def on_queued_bytes(self, connection: ServerConnection, size_bytes: int) -> None:
        """Cut the responses of the slowest callers if all together hold too much."""
        for slowest in self._held_bytes.resize(connection, size_bytes):
            slowest.cut_later()

    def on_cut(self, connection: ServerConnection, size_bytes: int) -> None:
        """Count and log a response that is cut as its caller does not read it."""
        self._telemetry.count("caller.cut")
        logger.warning(
            "slow caller cut",
            extra={
                "unread_bytes": size_bytes,
                "held_bytes": self._held_bytes.used_bytes,
            },
        )

    def on_rejected(self, status: int, reason: str) -> None:
        """Count and log a request that was rejected before it was complete."""
        self._telemetry.count("request.malformed", 1, status=str(status))
        logger.info("request rejected", extra={"status": status, "reason": reason})


def _decode_latin1(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")

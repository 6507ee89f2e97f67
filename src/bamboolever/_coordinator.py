"""Decides what an entry does with each call, from admission to its final response.

The entry passes on each event: a caller's request, the result of a claim, an agent's
report, a part of a response, the loss of an upstream, and a periodic tick. Each event
method takes the time and returns the actions for the entry to execute. Nothing here
does I/O or reads a clock, so a recorded run can be replayed (see `_trace`).

The rules:

- Admission: a call over its workspace's rate limit or queue limit, or over the
  service's queue limit, is refused at once.
- Order: queued calls are served fairly by workspace, weighted by the contract's
  priority, so that a flood from one workspace does not delay the others.
- Retries: an idempotent call is retried after a failed attempt, within the retry
  budgets. While a whole service fails, retries must not multiply its load.
- At most once: a call that is not idempotent is dispatched again only if the agent
  reports that it did not run. If it has an idempotency key, the key is claimed first.
- Streams: a broken stream resumes after its last piece, at an upstream of the same
  version. Pieces of two versions are never mixed.
- Poison requests: a request whose upstream died while it ran is a suspect and runs
  alone. If upstreams go on dying with it, it is quarantined (see `_poison`).

Each call whose caller is still connected gets exactly one final response. An attempt
that is cancelled or lost is removed at once, so its late frames are ignored.
"""

import random
from dataclasses import dataclass, field
from typing import final

from bamboolever._admission import RETRY_AFTER_S, Admission, make_refusal
from bamboolever._calls import (
    AbortStream,
    CallAction,
    CallRequest,
    CancelAttempt,
    ClaimCall,
    CountRetry,
    Dispatch,
    FinishStream,
    Refusal,
    RefusalReason,
    Respond,
    RunOutcome,
    SendPiece,
    SettleClaim,
    ShareQuarantine,
    StartStream,
)
from bamboolever._claims import ClaimRecord, ClaimResult, ClaimVerdict
from bamboolever._documents import Contract, ServiceDocument
from bamboolever._fairqueue import FairQueue
from bamboolever._poison import PoisonGuard
from bamboolever._repeats import make_repeat_response
from bamboolever._retry import backoff_s
from bamboolever._routing import (
    ROUTING_POLICIES,
    RoutingPolicy,
    RoutingRequest,
    UpstreamView,
    select_usable,
)
from bamboolever._subset import rank_members, score_member

MAX_ATTEMPTS = 6
#: Suspects go to one in this many of a service's usable upstreams, at least one.
SUSPECT_UPSTREAM_DIVISOR = 4
SUSPECT_RETRY_S = 0.05
#: A broken stream fails once it has waited this long and no upstream has its version.
VERSION_GONE_AFTER_S = 2.0
#: Statuses with which an upstream reports that it cannot serve the call now.
RETRIED_STATUSES = frozenset({500, 502, 503})
#: Reasons for which an attempt did not run that are not failures of its upstream. They
#: don't count towards its ejection, and another upstream may take the call.
NEUTRAL_REFUSALS = frozenset(
    {
        "leaving",
        "swapping",
        "upstream-busy",
        "version-not-served",
        "connection-lost",
        "suspect-waits",
        "suspect-running",
    }
)
#: Reasons of a failed attempt whose upstream may have died. The upstream gets no new
#: calls until its agent reports it as accepting.
UPSTREAM_DEATH_REASONS = frozenset({"upstream-broken", "connection-lost"})


@dataclass
class _Attempt:
    attempt_id: int
    upstream_id: str
    started_at: float
    last_progress_at: float
    status: int = 0
    content_type: str = ""
    version: str = ""
    has_head: bool = False
    # Whether its version differs from the one that the stream began with.
    has_other_version: bool = False
    # Whether the agent must run it while nothing else runs at the upstream.
    is_suspect: bool = False
    body: bytearray = field(default_factory=bytearray)


@dataclass
class _Call:
    request: CallRequest
    contract: Contract
    service: ServiceDocument
    claim: ClaimRecord | None = None
    is_claim_pending: bool = False
    is_caller_gone: bool = False
    attempt: _Attempt | None = None
    attempts: int = 0
    retry_at: float = 0.0
    attempt_ended_at: float = 0.0
    pieces_sent: int = 0
    stream_version: str = ""
    is_head_sent: bool = False
    may_have_run: bool = False
    tried_upstreams: set[str] = field(default_factory=set)


@final
class CallCoordinator:
    """Decides on every call of one entry.

    ``region`` and ``availability_zone`` are the entry's own. ``seed`` makes the jitter
    of retries repeatable. ``now`` is always in seconds of the entry's clock. Methods
    that return actions expect the entry to execute them in order.
    """

    def __init__(self, region: str, availability_zone: str, *, seed: int = 0):
        self._region = region
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._calls: dict[int, _Call] = {}
        self._calls_by_attempt: dict[int, _Call] = {}
        self._queues: dict[str, FairQueue[int]] = {}
        # Ids of calls that wait for their next attempt.
        self._backing_off: set[int] = set()
        self._upstreams: dict[str, UpstreamView] = {}
        # Number of attempts in flight by workspace.
        self._in_flight: dict[str, int] = {}
        self._policies: dict[str, tuple[str, RoutingPolicy]] = {}
        self._poison = PoisonGuard()
        self._next_attempt = 1
        self._admission = Admission()

    @property
    def open_calls(self) -> int:
        """Number of calls without a final response."""
        return len(self._calls)

    @property
    def poison(self) -> PoisonGuard:
        """The suspected and quarantined requests."""
        return self._poison

    @property
    def upstreams(self) -> dict[str, UpstreamView]:
        """The connected upstreams by id."""
        return self._upstreams

    def set_share(self, share: float) -> None:
        """Set which share of each contract's limits this entry grants, from 0 to 1."""
        self._admission.share = share

    # Arrival.

    def arrive(
        self,
        request: CallRequest,
        contract: Contract,
        service: ServiceDocument,
        now: float,
    ) -> list[CallAction]:
        """Refuse a new call, or claim its idempotency key, or queue it."""
        if now >= request.deadline_at:
            return [
                make_refusal(
                    request, RefusalReason.DEADLINE_QUEUED, "the deadline passed"
                )
            ]
        if self._poison.is_quarantined(request.body_digest, now):
            message = "this request crashed several upstreams and is held back"
            return [make_refusal(request, RefusalReason.QUARANTINED, message)]
        queue = self._queues.setdefault(request.service, FairQueue())
        refusal = self._admission.check_limits(request, contract, queue, now)
        if refusal is not None:
            return [refusal]
        call = _Call(request, contract, service)
        self._calls[request.call_id] = call
        self._admission.count_first_attempt(request, contract)
        if request.is_idempotent or not request.idempotency_key:
            return self._enqueue(call, now)
        call.is_claim_pending = True
        return [ClaimCall(request)]

    def on_claim(
        self, call_id: int, result: ClaimResult, now: float
    ) -> list[CallAction]:
        """Handle the result of a call's `ClaimCall` action.

        A granted call is queued. Any other verdict gives the call its final response.
        """
        call = self._calls.get(call_id)
        if call is None:
            return []
        call.is_claim_pending = False
        if result.verdict is ClaimVerdict.GRANTED and result.record is not None:
            call.claim = result.record
            if call.is_caller_gone:
                return self._finish(
                    call, [_make_settle_claim(call, RunOutcome.NOT_RUN)], now
                )
            return self._enqueue(call, now)
        response = make_repeat_response(call.request, result)
        return self._finish(call, [response], now)

    def on_caller_gone(self, call_id: int, now: float) -> list[CallAction]:
        """Stop work on a call whose caller closed its connection.

        A pending claim and an attempt of a non-idempotent call are not interrupted.
        """
        call = self._calls.get(call_id)
        if call is None:
            return []
        call.is_caller_gone = True
        if call.is_claim_pending:
            return []
        if call.attempt is not None and not call.request.is_idempotent:
            # It must not run again, so its outcome is awaited and recorded.
            return []
        actions = self._cancel_attempt(call, now)
        if call.claim is not None:
            actions.append(_make_settle_claim(call, RunOutcome.NOT_RUN))
        return self._finish(call, actions, now)

    # Upstreams.

    def set_upstream(self, view: UpstreamView, now: float) -> list[CallAction]:
        """Add an upstream whose agent connected, or replace its view."""
        self._upstreams[view.upstream_id] = view
        return self._dispatch_waiting(view.service, now)

    def on_report(
        self,
        upstream_id: str,
        *,
        in_flight: int,
        capacity: int,
        version: str,
        is_accepting: bool,
        is_leaving: bool,
        now: float,
    ) -> list[CallAction]:
        """Apply an agent's periodic report on its upstream.

        ``in_flight`` counts the calls of all entries at the upstream, ``capacity`` is
        the number it can run at once. An upstream that is leaving stays so.
        """
        view = self._upstreams.get(upstream_id)
        if view is None:
            return []
        view.apply_report(in_flight, capacity)
        view.version = version
        view.is_accepting = is_accepting
        view.is_leaving = view.is_leaving or is_leaving
        return self._dispatch_waiting(view.service, now)

    def on_upstream_lost(
        self, upstream_id: str, now: float, *, is_silent: bool
    ) -> list[CallAction]:
        """Remove an upstream whose agent's connection ended, and end its attempts.

        ``is_silent`` means that the connection timed out rather than closed. The
        upstream may be alive then, so its requests don't become suspects.
        """
        view = self._upstreams.pop(upstream_id, None)
        if view is None:
            return []
        lost = [
            call
            for call in self._calls.values()
            if call.attempt is not None and call.attempt.upstream_id == upstream_id
        ]
        actions: list[CallAction] = []
        if lost and not is_silent:
            is_exclusive = all(c.attempt and c.attempt.is_suspect for c in lost)
            digests = {call.request.body_digest for call in lost}
            actions += self._record_death(digests, now, is_exclusive=is_exclusive)
        for call in lost:
            attempt = call.attempt
            self._remove_attempt(call, now)
            if attempt is not None:
                actions += self._after_unknown(call, "connection-lost", now)
        return actions

    def on_upstream_death(
        self, digests: set[str], now: float, *, is_exclusive: bool
    ) -> list[CallAction]:
        """Handle an agent's report that its upstream died.

        ``digests`` are the body digests of the requests that ran, of all entries.
        ``is_exclusive`` means that a single suspect ran alone.
        """
        return self._record_death(digests, now, is_exclusive=is_exclusive)

    # Attempts.

    def on_head(
        self,
        attempt_id: int,
        *,
        status: int,
        content_type: str,
        version: str,
        now: float,
    ) -> list[CallAction]:
        """Handle the head of an attempt's response."""
        call = self._calls_by_attempt.get(attempt_id)
        if call is None or call.attempt is None:
            return []
        attempt = call.attempt
        attempt.last_progress_at = now
        attempt.has_head = True
        attempt.status = status
        attempt.content_type = content_type
        attempt.version = version
        if call.stream_version and version != call.stream_version:
            attempt.has_other_version = True
        return []

    def on_piece(self, attempt_id: int, data: bytes, now: float) -> list[CallAction]:
        """Handle a piece of an attempt's response body.

        A piece of a stream is sent to the caller at once, or dropped if it is of
        another version. Other bodies are collected until the attempt ends.
        """
        call = self._calls_by_attempt.get(attempt_id)
        if call is None or call.attempt is None:
            return []
        attempt = call.attempt
        attempt.last_progress_at = now
        if not self._is_streamed(call, attempt):
            attempt.body += data
            return []
        if attempt.has_other_version:
            return []
        actions: list[CallAction] = []
        if not call.is_head_sent:
            call.is_head_sent = True
            call.stream_version = attempt.version
            actions.append(
                StartStream(
                    call.request.call_id,
                    attempt.status,
                    attempt.content_type,
                    attempt.version,
                )
            )
        call.pieces_sent += 1
        actions.append(SendPiece(call.request.call_id, data))
        return actions

    def on_end(
        self,
        attempt_id: int,
        outcome: RunOutcome,
        *,
        is_complete: bool,
        reason: str,
        now: float,
    ) -> list[CallAction]:
        """Handle the end of an attempt.

        ``outcome`` is what the agent knows of the run. ``is_complete`` means that the
        response is complete. ``reason`` is the agent's reason code.
        """
        call = self._calls_by_attempt.get(attempt_id)
        if call is None or call.attempt is None:
            return []
        attempt = call.attempt
        view = self._upstreams.get(attempt.upstream_id)
        self._remove_attempt(call, now)
        if outcome is RunOutcome.NOT_RUN:
            return self._after_not_run(call, attempt, reason, now)
        if outcome is RunOutcome.RAN and is_complete and not attempt.has_other_version:
            return self._after_complete(call, attempt, view, now)
        if view is not None:
            view.on_failure(now)
        if view is not None and reason in UPSTREAM_DEATH_REASONS:
            view.is_accepting = False
        return self._after_unknown(call, reason, now)

    # Time.

    def tick(self, now: float) -> list[CallAction]:
        """Apply deadlines, progress timeouts and due retries, then dispatch.

        The entry calls this periodically.
        """
        actions: list[CallAction] = []
        for call in list(self._calls.values()):
            actions += self._check_call(call, now)
        for call_id in list(self._backing_off):
            waiting = self._calls[call_id]
            if waiting.retry_at <= now:
                self._backing_off.discard(call_id)
                self._push_to_queue(waiting, is_first=True)
        for service in list(self._queues):
            actions += self._dispatch_waiting(service, now)
        return actions

    # Queue and dispatch.

    def _enqueue(self, call: _Call, now: float) -> list[CallAction]:
        self._push_to_queue(call, is_first=False)
        return self._dispatch_waiting(call.request.service, now)

    def _push_to_queue(self, call: _Call, *, is_first: bool) -> None:
        request = call.request
        queue = self._queues.setdefault(request.service, FairQueue())
        weight = 1.0 + call.contract.priority
        queue.push(request.workspace, request.call_id, weight=weight, is_first=is_first)

    def _dispatch_waiting(self, service: str, now: float) -> list[CallAction]:
        queue = self._queues.get(service)
        if not queue:
            return []
        actions: list[CallAction] = []
        is_progressing = True
        while is_progressing and len(queue):
            is_progressing = False
            for workspace in queue.list_flows():
                action = self._try_dispatch(queue, workspace, now)
                if action is not None:
                    actions.append(action)
                    is_progressing = True
                    break
        return actions

    def _try_dispatch(
        self, queue: FairQueue[int], workspace: str, now: float
    ) -> Dispatch | None:
        call = self._calls.get(queue.peek(workspace))
        if call is None:
            queue.pop(workspace)
            return None
        if now >= call.request.deadline_at:
            # The next tick refuses the call, as it was never dispatched.
            return None
        limit = max(1.0, call.contract.concurrency * self._admission.share)
        if self._in_flight.get(workspace, 0) >= limit:
            return None
        view = self._choose_upstream(call, now)
        if view is None:
            return None
        queue.pop(workspace)
        return self._start_attempt(call, view, now)

    def _choose_upstream(self, call: _Call, now: float) -> UpstreamView | None:
        request = call.request
        views = [v for v in self._upstreams.values() if v.service == request.service]
        usable = select_usable(views, now, required_version=call.stream_version)
        with_capacity = [view for view in usable if view.has_free_capacity(now)]
        if self._poison.is_suspect(request.body_digest, now):
            # A suspect runs only at an upstream that is otherwise idle. Every entry
            # picks from the same few, so the rest go on serving normal calls. Free
            # capacity does not matter: the agent refuses other calls until its
            # upstream is idle.
            return self._choose_for_suspect(call, usable)
        untried = [
            v for v in with_capacity if v.upstream_id not in call.tried_upstreams
        ]
        candidates = untried or with_capacity
        if not candidates:
            return None
        routing = RoutingRequest(
            self._region, self._availability_zone, request.prefix_key
        )
        return self._policy(call.service).choose(candidates, routing)

    def _policy(self, service: ServiceDocument) -> RoutingPolicy:
        cached = self._policies.get(service.name)
        if cached is None or cached[0] != service.routing:
            cached = (service.routing, ROUTING_POLICIES[service.routing]())
            self._policies[service.name] = cached
        return cached[1]

    def _choose_for_suspect(
        self, call: _Call, usable: list[UpstreamView]
    ) -> UpstreamView | None:
        if not usable:
            return None
        by_id = {view.upstream_id: view for view in usable}
        ranked = rank_members(f"suspects/{call.request.service}", by_id)
        subset_size = max(1, len(ranked) // SUSPECT_UPSTREAM_DIVISOR)
        index = score_member("suspect", call.request.body_digest) % subset_size
        return by_id[ranked[index]]

    def _start_attempt(self, call: _Call, view: UpstreamView, now: float) -> Dispatch:
        attempt = _Attempt(self._next_attempt, view.upstream_id, now, now)
        attempt.is_suspect = self._poison.is_suspect(call.request.body_digest, now)
        self._next_attempt += 1
        call.attempt = attempt
        call.attempts += 1
        call.tried_upstreams.add(view.upstream_id)
        self._calls_by_attempt[attempt.attempt_id] = call
        view.local_in_flight += 1
        workspace = call.request.workspace
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1
        if call.request.prefix_key:
            view.record_prefix(call.request.prefix_key)
        return Dispatch(
            attempt.attempt_id,
            view.upstream_id,
            call.request,
            call.request.deadline_at,
            call.stream_version,
            call.pieces_sent,
            attempt.is_suspect,
        )

    def _remove_attempt(self, call: _Call, now: float) -> None:
        attempt = call.attempt
        if attempt is None:
            return
        call.attempt = None
        call.attempt_ended_at = now
        self._calls_by_attempt.pop(attempt.attempt_id, None)
        view = self._upstreams.get(attempt.upstream_id)
        if view is not None:
            view.local_in_flight = max(0, view.local_in_flight - 1)
        workspace = call.request.workspace
        remaining = self._in_flight.get(workspace, 1) - 1
        if remaining > 0:
            self._in_flight[workspace] = remaining
        else:
            self._in_flight.pop(workspace, None)

    def _cancel_attempt(self, call: _Call, now: float) -> list[CallAction]:
        attempt = call.attempt
        if attempt is None:
            return []
        self._remove_attempt(call, now)
        return [CancelAttempt(attempt.attempt_id, attempt.upstream_id)]

    # Ends of attempts.

    def _is_streamed(self, call: _Call, attempt: _Attempt) -> bool:
        is_event_stream = attempt.content_type.startswith("text/event-stream")
        return call.request.is_stream and is_event_stream and attempt.status == 200

    def _after_complete(
        self, call: _Call, attempt: _Attempt, view: UpstreamView | None, now: float
    ) -> list[CallAction]:
        request = call.request
        is_retryable = attempt.status in RETRIED_STATUSES and request.is_idempotent
        if is_retryable and not call.is_head_sent:
            if view is not None:
                view.on_failure(now)
            return self._retry_or_fail(call, f"status-{attempt.status}", now)
        if view is not None:
            view.on_success()
        self._poison.on_completed(request.body_digest)
        if self._is_streamed(call, attempt):
            return self._finish(call, self._end_stream(call, attempt), now)
        body = bytes(attempt.body)
        respond = Respond(
            request.call_id,
            attempt.status,
            attempt.content_type,
            body,
            attempt.version,
        )
        actions: list[CallAction] = []
        if call.claim is not None:
            actions.append(
                SettleClaim(
                    request,
                    RunOutcome.RAN,
                    attempt.status,
                    attempt.content_type,
                    body,
                )
            )
        return self._finish(call, [*actions, respond], now)

    def _end_stream(self, call: _Call, attempt: _Attempt) -> list[CallAction]:
        call_id = call.request.call_id
        actions: list[CallAction] = []
        if not call.is_head_sent:
            call.is_head_sent = True
            actions.append(
                StartStream(
                    call_id, attempt.status, attempt.content_type, attempt.version
                )
            )
        return [*actions, FinishStream(call_id)]

    def _after_not_run(
        self, call: _Call, attempt: _Attempt, reason: str, now: float
    ) -> list[CallAction]:
        view = self._upstreams.get(attempt.upstream_id)
        if view is not None and reason in ("leaving", "swapping"):
            view.is_accepting = False
        if view is not None and reason not in NEUTRAL_REFUSALS:
            view.on_failure(now)
            view.is_accepting = False
        return self._requeue(call, reason, now)

    def _after_unknown(self, call: _Call, reason: str, now: float) -> list[CallAction]:
        call.may_have_run = True
        if call.request.is_idempotent:
            return self._retry_or_fail(call, reason, now)
        message = "the upstream was lost while it ran this call; it is not run again"
        return self._fail(call, RefusalReason.UPSTREAM_LOST, message, now)

    def _retry_or_fail(self, call: _Call, reason: str, now: float) -> list[CallAction]:
        if self._poison.is_quarantined(call.request.body_digest, now):
            message = "this request crashed several upstreams and is held back"
            return self._fail(call, RefusalReason.QUARANTINED, message, now)
        if call.attempts >= MAX_ATTEMPTS:
            message = f"no answer after {call.attempts} attempts; the last: {reason}"
            return self._fail(call, RefusalReason.RETRIES_EXHAUSTED, message, now)
        if not self._admission.try_take_retry(call.request):
            message = f"the retry budget is used up; the last attempt: {reason}"
            return self._fail(call, RefusalReason.RETRIES_EXHAUSTED, message, now)
        return self._requeue(call, reason, now)

    def _requeue(self, call: _Call, reason: str, now: float) -> list[CallAction]:
        if call.is_caller_gone:
            actions: list[CallAction] = []
            if call.claim is not None:
                actions.append(_make_settle_claim(call, RunOutcome.NOT_RUN))
            return self._finish(call, actions, now)
        delay_s = backoff_s(min(call.attempts, 6), self._random)
        if reason == "suspect-waits":
            # The agent refuses other calls for a short time, until the suspect is
            # sent again.
            delay_s = SUSPECT_RETRY_S
        call.retry_at = now + delay_s
        self._backing_off.add(call.request.call_id)
        return [CountRetry(reason)]

    def _fail(
        self, call: _Call, reason: RefusalReason, message: str, now: float
    ) -> list[CallAction]:
        """Give a call its final error response.

        The outcome is UNKNOWN if an attempt may have run, else NOT_RUN.
        """
        outcome = RunOutcome.UNKNOWN if call.may_have_run else RunOutcome.NOT_RUN
        actions: list[CallAction] = []
        if call.claim is not None:
            actions.append(_make_settle_claim(call, outcome))
        if call.is_head_sent:
            actions.append(AbortStream(call.request.call_id, reason, outcome))
        else:
            is_retry_safe = call.request.is_idempotent or outcome is RunOutcome.NOT_RUN
            retry_after_s = RETRY_AFTER_S if is_retry_safe else None
            actions.append(
                Refusal(call.request.call_id, reason, outcome, message, retry_after_s)
            )
        return self._finish(call, actions, now)

    def _finish(
        self, call: _Call, actions: list[CallAction], now: float
    ) -> list[CallAction]:
        request = call.request
        self._remove_attempt(call, now)
        self._calls.pop(request.call_id, None)
        self._backing_off.discard(request.call_id)
        queue = self._queues.get(request.service)
        if queue is not None:
            queue.remove(request.workspace, request.call_id)
        return actions + self._dispatch_waiting(request.service, now)

    # Failures.

    def _record_death(
        self, digests: set[str], now: float, *, is_exclusive: bool
    ) -> list[CallAction]:
        quarantined = self._poison.on_upstream_died(
            digests, now, is_exclusive=is_exclusive
        )
        return [ShareQuarantine(digest) for digest in quarantined]

    def _check_call(self, call: _Call, now: float) -> list[CallAction]:
        if call.is_claim_pending:
            return []
        if now >= call.request.deadline_at:
            return self._on_deadline(call, now)
        attempt = call.attempt
        if attempt is None and self._is_version_gone(call, now):
            message = "no upstream serves the version that began this answer"
            return self._fail(call, RefusalReason.VERSION_GONE, message, now)
        if attempt is None or not call.request.is_idempotent:
            return []
        limit_s = call.service.first_byte_timeout
        if attempt.has_head and self._is_streamed(call, attempt):
            limit_s = call.service.piece_timeout
        if now - attempt.last_progress_at < limit_s:
            return []
        view = self._upstreams.get(attempt.upstream_id)
        if view is not None:
            view.on_failure(now)
        actions = self._cancel_attempt(call, now)
        return actions + self._after_unknown(call, "stalled", now)

    def _is_version_gone(self, call: _Call, now: float) -> bool:
        """Return whether no upstream can resume a broken stream.

        Within `VERSION_GONE_AFTER_S`, an upstream of its version may still reconnect.
        """
        if (
            not call.stream_version
            or now - call.attempt_ended_at < VERSION_GONE_AFTER_S
        ):
            return False
        return not any(
            view.service == call.request.service and view.version == call.stream_version
            for view in self._upstreams.values()
        )

    def _on_deadline(self, call: _Call, now: float) -> list[CallAction]:
        if call.attempt is None and not call.may_have_run:
            has_upstream = any(
                view.service == call.request.service and view.is_accepting
                for view in self._upstreams.values()
            )
            reason = (
                RefusalReason.DEADLINE_QUEUED
                if has_upstream
                else RefusalReason.NO_UPSTREAM
            )
            return self._fail(call, reason, "the deadline passed in the queue", now)
        call.may_have_run = True
        actions = self._cancel_attempt(call, now)
        message = "no whole answer before the deadline"
        return actions + self._fail(call, RefusalReason.TIMED_OUT, message, now)


def _make_settle_claim(call: _Call, outcome: RunOutcome) -> SettleClaim:
    return SettleClaim(call.request, outcome)

"""Tests that each call gets exactly one correct final response.

A state machine makes callers, claims, agents and upstreams succeed and fail in random
order. It checks every action of the coordinator against its own record.
"""

from builders import (
    make_claim,
    make_contract,
    make_request,
    make_service,
    make_upstream,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._calls import (
    AbortStream,
    CancelAttempt,
    ClaimCall,
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
from bamboolever._claims import ClaimResult, ClaimVerdict
from bamboolever._coordinator import MAX_ATTEMPTS, CallCoordinator

UPSTREAMS = ["u1", "u2", "u3"]
PIECES = 4
STREAM = "text/event-stream"


def make_piece(request, version, index):
    return f"{request.call_id}/{version}/{index};".encode()


class Attempt:
    """The test's own record of one attempt at an agent."""

    def __init__(self, dispatch, version):
        self.dispatch = dispatch
        self.version = version
        self.next_piece = dispatch.resume_from
        self.has_head = False
        self.is_ended = False
        self.may_have_run = True


class CallMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.coordinator = CallCoordinator("cape", "cape-1", seed=1)
        self.versions = {}
        self.leaving = set()
        self.attempts = {}
        self.requests = {}
        self.final_action = {}
        self.streamed = {}
        self.stream_version = {}
        self.claimed = {}
        self.contract = make_contract()
        self.service = make_service()
        for name in UPSTREAMS:
            self.connect_upstream(name, "v1")

    # Events.

    def connect_upstream(self, name, version):
        self.versions[name] = version
        self.leaving.discard(name)
        view = make_upstream(name, version=version, capacity=3)
        self.check_actions(self.coordinator.set_upstream(view, self.now))

    @rule(
        kind=st.sampled_from(["plain", "stream", "job", "keyless"]),
        deadline=st.sampled_from([0.5, 30.0]),
    )
    def arrive(self, kind, deadline):
        number = len(self.requests) + 1
        request = make_request(
            number,
            is_stream=kind == "stream",
            is_idempotent=kind in ("plain", "stream"),
            idempotency_key=f"key-{number}" if kind == "job" else "",
            arrived_at=self.now,
            deadline_at=self.now + deadline,
        )
        self.requests[number] = request
        self.check_actions(
            self.coordinator.arrive(request, self.contract, self.service, self.now)
        )

    @rule(data=st.data(), verdict=st.sampled_from(list(ClaimVerdict)))
    def finish_claim(self, data, verdict):
        waiting = [n for n, state in self.claimed.items() if state == "pending"]
        if not waiting:
            return
        number = data.draw(st.sampled_from(waiting))
        self.claimed[number] = verdict
        record = make_claim(f"key-{number}").record
        result = ClaimResult(verdict, record)
        self.check_actions(self.coordinator.on_claim(number, result, self.now))

    @rule(data=st.data(), steps=st.integers(1, PIECES + 2))
    def advance_response(self, data, steps):
        attempt = self.draw_running_attempt(data)
        for _ in range(steps):
            if attempt is not None and not attempt.is_ended:
                self.advance_attempt(attempt)

    def advance_attempt(self, attempt):
        attempt_id = attempt.dispatch.attempt_id
        if not attempt.has_head:
            attempt.has_head = True
            kind = STREAM if attempt.dispatch.request.is_stream else "text/plain"
            self.check_actions(
                self.coordinator.on_head(
                    attempt_id,
                    status=200,
                    content_type=kind,
                    version=attempt.version,
                    now=self.now,
                )
            )
            return
        if attempt.next_piece < PIECES:
            request = attempt.dispatch.request
            piece = make_piece(request, attempt.version, attempt.next_piece)
            attempt.next_piece += 1
            self.check_actions(self.coordinator.on_piece(attempt_id, piece, self.now))
            return
        self.end_attempt(attempt, RunOutcome.RAN, True, "complete")

    @rule(
        data=st.data(),
        reason=st.sampled_from(["upstream-broken", "agent-error"]),
        wait=st.sampled_from([0.0, 0.1, 1.0]),
    )
    def break_response(self, data, reason, wait):
        attempt = self.draw_running_attempt(data)
        if attempt is not None:
            self.end_attempt(attempt, RunOutcome.UNKNOWN, False, reason)
            self.recover(wait)

    @rule(
        data=st.data(),
        reason=st.sampled_from(["leaving", "swapping", "other"]),
        wait=st.sampled_from([0.0, 0.1, 1.0]),
    )
    def refuse_attempt(self, data, reason, wait):
        attempt = self.draw_running_attempt(data)
        if attempt is None or attempt.has_head:
            return
        attempt.may_have_run = False
        self.end_attempt(attempt, RunOutcome.NOT_RUN, False, reason)
        self.recover(wait)

    @rule(data=st.data())
    def deliver_late_frames(self, data):
        ended = [a for a in self.attempts.values() if a.is_ended]
        if not ended:
            return
        attempt = data.draw(st.sampled_from(ended))
        attempt_id = attempt.dispatch.attempt_id
        assert self.coordinator.on_piece(attempt_id, b"late", self.now) == []
        late_end = self.coordinator.on_end(
            attempt_id, RunOutcome.RAN, is_complete=True, reason="late", now=self.now
        )
        assert late_end == []

    @rule(
        name=st.sampled_from(UPSTREAMS),
        is_silent=st.booleans(),
        wait=st.sampled_from([0.0, 0.1, 1.0]),
    )
    def lose_upstream(self, name, is_silent, wait):
        if name not in self.versions:
            return
        del self.versions[name]
        for attempt in self.attempts.values():
            if attempt.dispatch.upstream_id == name:
                attempt.is_ended = True
        self.check_actions(
            self.coordinator.on_upstream_lost(name, self.now, is_silent=is_silent)
        )

    @rule(name=st.sampled_from(UPSTREAMS), version=st.sampled_from(["v1", "v2"]))
    def reconnect_upstream(self, name, version):
        if name not in self.versions:
            self.connect_upstream(name, version)

    @rule(name=st.sampled_from(UPSTREAMS), is_leaving=st.booleans())
    def report_from_agent(self, name, is_leaving):
        if name not in self.versions:
            return
        if is_leaving:
            self.leaving.add(name)
        self.send_report(name, is_leaving)

    def send_report(self, name, is_leaving):
        self.check_actions(
            self.coordinator.on_report(
                name,
                in_flight=0,
                capacity=3,
                version=self.versions[name],
                is_accepting=True,
                is_leaving=is_leaving,
                now=self.now,
            )
        )

    @rule(data=st.data())
    def close_caller(self, data):
        open_calls = [n for n in self.requests if n not in self.final_action]
        if open_calls:
            number = data.draw(st.sampled_from(open_calls))
            self.final_action[number] = "gone"
            self.check_actions(self.coordinator.on_caller_gone(number, self.now))

    @rule(step=st.sampled_from([0.02, 0.5, 3.0]))
    def advance_time(self, step):
        self.now += step
        self.check_actions(self.coordinator.tick(self.now))

    def recover(self, wait):
        """Reconnect and report all upstreams and advance the time by ``wait``.

        Does nothing if ``wait`` is 0.
        """
        if not wait:
            return
        for name in UPSTREAMS:
            if name not in self.versions:
                self.connect_upstream(name, "v1")
            self.send_report(name, name in self.leaving)
        self.now += wait
        self.check_actions(self.coordinator.tick(self.now))

    # Checks.

    def check_actions(self, actions):
        for action in actions:
            self.check_action(action)

    def check_action(self, action):
        if isinstance(action, Dispatch):
            self.check_dispatch(action)
        elif isinstance(action, CancelAttempt):
            self.attempts[action.attempt_id].is_ended = True
        elif isinstance(action, ClaimCall):
            self.claimed[action.request.call_id] = "pending"
        elif isinstance(action, SettleClaim):
            self.check_settle(action)
        elif isinstance(action, StartStream):
            assert action.call_id not in self.stream_version
            self.stream_version[action.call_id] = action.version
            self.streamed[action.call_id] = []
        elif isinstance(action, SendPiece):
            self.streamed[action.call_id].append(action.data)
        elif isinstance(action, (Refusal, Respond, FinishStream, AbortStream)):
            self.check_final(action)

    def check_dispatch(self, dispatch):
        number = dispatch.request.call_id
        assert number not in self.final_action
        assert dispatch.upstream_id in self.versions
        assert dispatch.upstream_id not in self.leaving
        assert self.now < dispatch.deadline_at
        version = self.versions[dispatch.upstream_id]
        if number in self.stream_version:
            assert version == self.stream_version[number]
            assert dispatch.resume_from == len(self.streamed[number])
        if dispatch.request.idempotency_key:
            assert self.claimed[number] is ClaimVerdict.GRANTED
        earlier = [a for a in self.attempts_of(number) if a.may_have_run]
        if not dispatch.request.is_idempotent:
            assert earlier == []
        assert len(earlier) < MAX_ATTEMPTS
        self.attempts[dispatch.attempt_id] = Attempt(dispatch, version)

    def check_settle(self, settle):
        ran = any(a.may_have_run for a in self.attempts_of(settle.request.call_id))
        if settle.outcome is RunOutcome.NOT_RUN:
            assert not ran

    def check_final(self, action):
        number = action.call_id
        if self.final_action.get(number) == "gone":
            return
        assert number not in self.final_action
        self.final_action[number] = action
        request = self.requests[number]
        if isinstance(action, Respond) and self.claimed.get(number) in (
            None,
            ClaimVerdict.GRANTED,
        ):
            complete_bodies = [
                b"".join(make_piece(request, version, i) for i in range(PIECES))
                for version in ("v1", "v2")
            ]
            assert action.body in complete_bodies
        if isinstance(action, FinishStream):
            version = self.stream_version[number]
            expected = [make_piece(request, version, i) for i in range(PIECES)]
            assert self.streamed[number] == expected
        outcome = getattr(action, "outcome", None)
        if outcome is RunOutcome.NOT_RUN:
            assert not any(a.may_have_run for a in self.attempts_of(number))

    @invariant()
    def pieces_are_in_order_and_from_one_version(self):
        for number, pieces in self.streamed.items():
            version = self.stream_version[number]
            request = self.requests[number]
            expected = [make_piece(request, version, i) for i in range(len(pieces))]
            assert pieces == expected

    def teardown(self):
        for number, state in list(self.claimed.items()):
            if state == "pending":
                self.claimed[number] = ClaimVerdict.STORE_UNAVAILABLE
                result = ClaimResult(ClaimVerdict.STORE_UNAVAILABLE)
                self.check_actions(self.coordinator.on_claim(number, result, self.now))
        self.now += 100.0
        self.check_actions(self.coordinator.tick(self.now))
        assert self.coordinator.open_calls == 0
        assert set(self.final_action) == set(self.requests)

    # Helpers.

    def attempts_of(self, number):
        return [
            a for a in self.attempts.values() if a.dispatch.request.call_id == number
        ]

    def draw_running_attempt(self, data):
        running = [a for a in self.attempts.values() if not a.is_ended]
        return data.draw(st.sampled_from(running)) if running else None

    def end_attempt(self, attempt, outcome, is_complete, reason):
        attempt.is_ended = True
        self.check_actions(
            self.coordinator.on_end(
                attempt.dispatch.attempt_id,
                outcome,
                is_complete=is_complete,
                reason=reason,
                now=self.now,
            )
        )


TestCalls = CallMachine.TestCase
TestCalls.settings = settings(max_examples=200, stateful_step_count=40)


def make_coordinator(*upstreams):
    coordinator = CallCoordinator("cape", "cape-1", seed=1)
    for view in upstreams:
        coordinator.set_upstream(view, 0.0)
    return coordinator


def arrive(coordinator, request, now=0.0, **contract):
    return coordinator.arrive(request, make_contract(**contract), make_service(), now)


def get_only(actions, kind):
    found = [action for action in actions if isinstance(action, kind)]
    assert len(found) == 1, actions
    return found[0]


def test_a_quarantined_request_is_refused_as_not_run():
    coordinator = make_coordinator(make_upstream())
    coordinator.poison.quarantine("bad", 0.0)
    refusal = get_only(arrive(coordinator, make_request(body_digest="bad")), Refusal)
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.outcome is RunOutcome.NOT_RUN


def test_a_request_that_crashes_alone_twice_is_quarantined_and_shared():
    coordinator = make_coordinator(*(make_upstream(f"u{i}") for i in range(6)))
    actions = arrive(coordinator, make_request(body_digest="bad"))
    now = 0.0
    for death in range(3):
        dispatch = get_only(actions, Dispatch)
        assert dispatch.is_suspect == (death > 0)
        shared = coordinator.on_upstream_death({"bad"}, now, is_exclusive=death > 0)
        actions = coordinator.on_end(
            dispatch.attempt_id,
            RunOutcome.UNKNOWN,
            is_complete=False,
            reason="upstream-broken",
            now=now,
        )
        now += 5.0
        actions += coordinator.tick(now)
    assert get_only(shared, ShareQuarantine).body_digest == "bad"
    refusal = get_only(actions, Refusal)
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.outcome is RunOutcome.UNKNOWN


def test_a_suspect_that_completes_is_cleared():
    coordinator = make_coordinator(make_upstream())
    coordinator.on_upstream_death({"bad", "good"}, 0.0, is_exclusive=False)
    dispatch = get_only(arrive(coordinator, make_request(body_digest="good")), Dispatch)
    assert dispatch.is_suspect
    coordinator.on_head(
        dispatch.attempt_id, status=200, content_type="t", version="v1", now=0.1
    )
    coordinator.on_end(
        dispatch.attempt_id, RunOutcome.RAN, is_complete=True, reason="", now=0.1
    )
    assert not coordinator.poison.is_suspect("good", 0.1)
    assert coordinator.poison.is_suspect("bad", 0.1)


def test_a_rate_limit_refusal_has_a_retry_time():
    coordinator = make_coordinator(make_upstream())
    arrive(coordinator, make_request(), requests_per_second=1, burst=1)
    actions = arrive(coordinator, make_request(), requests_per_second=1, burst=1)
    refusal = get_only(actions, Refusal)
    assert refusal.reason is RefusalReason.RATE
    assert 0 < refusal.retry_after_s <= 1


def test_an_entry_grants_only_its_share_of_the_limits():
    coordinator = make_coordinator(make_upstream(capacity=100))
    coordinator.set_share(0.5)
    dispatched = [
        arrive(coordinator, make_request(), concurrency=10) for _ in range(10)
    ]
    assert sum(bool(actions) for actions in dispatched) == 5


def test_a_stream_whose_version_is_gone_is_aborted_before_its_deadline():
    coordinator = make_coordinator(make_upstream())
    dispatch = get_only(arrive(coordinator, make_request(is_stream=True)), Dispatch)
    attempt_id = dispatch.attempt_id
    coordinator.on_head(
        attempt_id, status=200, content_type=STREAM, version="v1", now=0.0
    )
    coordinator.on_piece(attempt_id, b"piece", 0.0)
    coordinator.on_upstream_lost("u1", 0.1, is_silent=False)
    coordinator.set_upstream(make_upstream("u2", version="v2"), 0.1)
    abort = get_only(coordinator.tick(3.0), AbortStream)
    assert abort.reason is RefusalReason.VERSION_GONE


def test_a_stalled_stream_resumes_at_another_upstream_after_its_last_piece():
    coordinator = make_coordinator(make_upstream("u1"), make_upstream("u2"))
    first = get_only(arrive(coordinator, make_request(is_stream=True)), Dispatch)
    coordinator.on_head(
        first.attempt_id, status=200, content_type=STREAM, version="v1", now=0.0
    )
    coordinator.on_piece(first.attempt_id, b"0", 0.0)
    get_only(coordinator.tick(2.5), CancelAttempt)
    second = get_only(coordinator.tick(5.0), Dispatch)
    assert second.upstream_id != first.upstream_id
    assert (second.resume_from, second.required_version) == (1, "v1")


def test_retries_stay_within_the_budget_while_a_service_fails():
    upstreams = [make_upstream(f"u{i}", capacity=1000) for i in range(4)]
    coordinator = make_coordinator(*upstreams)
    first_attempts = 500
    dispatches = 0
    now = 0.0
    actions = []
    for _ in range(first_attempts):
        now += 0.01
        actions += arrive(coordinator, make_request(deadline_at=now + 30), now)
        actions += coordinator.tick(now)
        pending, actions = actions, []
        for action in pending:
            if isinstance(action, Dispatch):
                dispatches += 1
                actions += coordinator.on_end(
                    action.attempt_id,
                    RunOutcome.UNKNOWN,
                    is_complete=False,
                    reason="upstream-failed",
                    now=now,
                )
    assert dispatches <= first_attempts * 1.1 + 10


def test_a_flooding_workspace_does_not_delay_another():
    coordinator = make_coordinator(make_upstream(capacity=2))
    for _ in range(50):
        arrive(coordinator, make_request(workspace="flood"))
    arrive(coordinator, make_request(900_001, workspace="small"))
    order = []
    running = [1, 2]
    while running:
        actions = coordinator.on_end(
            running.pop(0),
            RunOutcome.RAN,
            is_complete=True,
            reason="",
            now=1.0,
        )
        for action in actions:
            if isinstance(action, Dispatch):
                order.append(action.request.workspace)
                running.append(action.attempt_id)
    assert "small" in order[:2]


def test_a_refused_job_is_not_retried_once_its_caller_is_gone():
    coordinator = make_coordinator(make_upstream("u1"), make_upstream("u2"))
    request = make_request(is_idempotent=False, idempotency_key="k")
    get_only(arrive(coordinator, request), ClaimCall)
    granted = ClaimResult(ClaimVerdict.GRANTED, make_claim("k").record)
    dispatch = get_only(coordinator.on_claim(request.call_id, granted, 0.0), Dispatch)
    assert coordinator.on_caller_gone(request.call_id, 0.1) == []
    actions = coordinator.on_end(
        dispatch.attempt_id,
        RunOutcome.NOT_RUN,
        is_complete=False,
        reason="swapping",
        now=0.2,
    )
    assert get_only(actions, SettleClaim).outcome is RunOutcome.NOT_RUN
    assert coordinator.tick(5.0) == []


def test_a_call_whose_deadline_passed_during_its_claim_is_not_dispatched():
    coordinator = make_coordinator(make_upstream())
    request = make_request(is_idempotent=False, idempotency_key="k", deadline_at=0.5)
    arrive(coordinator, request)
    granted = ClaimResult(ClaimVerdict.GRANTED, make_claim("k").record)
    assert coordinator.on_claim(request.call_id, granted, 1.0) == []
    actions = coordinator.tick(1.0)
    assert get_only(actions, Refusal).outcome is RunOutcome.NOT_RUN
    assert get_only(actions, SettleClaim).outcome is RunOutcome.NOT_RUN

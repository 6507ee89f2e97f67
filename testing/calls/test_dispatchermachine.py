"""A state machine test of the dispatcher against an oracle of visible behaviour.

The oracle knows only the requests, the decisions and the limits. It checks that each
request gets one decision, none waits beyond its limit, no engine gets more requests
than it has slots, and nothing is sent to an upstream that drains, switches versions
or serves an expired version.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from sitebuilders import make_pending, make_profile, make_view

from bamboolever.calls.dispatcher import (
    MAX_QUEUE_WAIT_S,
    MAX_RESUME_QUEUE_WAIT_S,
    MAX_RETRY_QUEUE_WAIT_S,
    Assignment,
    ServiceDispatcher,
)
from bamboolever.calls.placement import PredictedLatencyPolicy
from bamboolever.fleet.versions import VersionRollouts

SLOTS = 3
UPSTREAMS = 3
LONGEST_QUEUE_WAIT_S = max(
    MAX_QUEUE_WAIT_S, MAX_RETRY_QUEUE_WAIT_S, MAX_RESUME_QUEUE_WAIT_S
)


class DispatcherMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.versions = VersionRollouts(8.0)
        self.views = [make_view(f"up-{n}", slots=SLOTS) for n in range(UPSTREAMS)]
        policy = PredictedLatencyPolicy(make_profile(slots=SLOTS), lambda _view: 0.0)
        self.dispatcher = ServiceDispatcher(policy, self.versions)
        self.dispatcher.set_upstreams(self.views)
        self.queued = {}
        self.decided = set()
        self.running = {}

    def _check(self, decisions):
        for decision in decisions:
            call = decision.call
            assert call.call_id in self.queued
            assert call.call_id not in self.decided
            self.decided.add(call.call_id)
            del self.queued[call.call_id]
            if isinstance(decision, Assignment):
                self._check_assignment(call, decision.placement.upstream)
                continue
            assert 0 <= decision.retry_after_s <= (call.timeout_at - self.now) / 3

    def _check_assignment(self, call, view):
        assert not view.record.is_draining
        assert self.now >= view.switching_until
        assert view.instance_id not in call.tried
        required = self.versions.min_version("model-1", self.now)
        assert view.served_version("model-1", self.now) >= required
        self.running[call.call_id] = view

    @rule(
        tokens=st.integers(1, 4000),
        first_attempt_age_s=st.sampled_from([0.0, 0.0, 1.5]),
        is_resumed=st.booleans(),
        tried=st.sets(st.integers(0, UPSTREAMS - 1), max_size=1),
    )
    def submit(self, tokens, first_attempt_age_s, is_resumed, tried):
        call = make_pending(
            arrived_at=self.now,
            target_at=self.now + 0.4 - first_attempt_age_s,
            timeout_at=self.now + 6.0 - first_attempt_age_s,
            prompt_tokens=tokens,
            first_attempt_age_s=first_attempt_age_s,
            is_resumed=is_resumed,
            tried={f"up-{n}" for n in tried},
        )
        self.queued[call.call_id] = call
        self._check(self.dispatcher.submit(call, self.now))

    @rule(passed_s=st.floats(0.001, 0.3))
    def wait(self, passed_s):
        self.now += passed_s
        self._check(self.dispatcher.place_waiting(self.now))

    @rule(data=st.data())
    def complete_one(self, data):
        if not self.running:
            return
        call_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.pop(call_id).remove_call(call_id)
        self._check(self.dispatcher.place_waiting(self.now))

    @rule(data=st.data())
    def cancel_one(self, data):
        if not self.queued:
            return
        call_id = data.draw(st.sampled_from(sorted(self.queued)))
        self.dispatcher.cancel(call_id)
        self.decided.add(call_id)
        del self.queued[call_id]

    @rule(number=st.integers(0, UPSTREAMS - 1))
    def fail(self, number):
        self.views[number].on_failure(self.now)

    @rule(number=st.integers(0, UPSTREAMS - 1), seconds=st.floats(0.0, 2.0))
    def switch(self, number, seconds):
        self.views[number].switching_until = self.now + seconds

    @rule(version=st.integers(1, 4))
    def start_rollout(self, version):
        self.versions.add("model-1", version, self.now)

    @rule(number=st.integers(0, UPSTREAMS - 1), version=st.integers(1, 4))
    def serve_version(self, number, version):
        self.views[number].on_served_version("model-1", version, self.now)

    @invariant()
    def no_engine_has_more_requests_than_slots(self):
        assert all(len(view.calls) <= SLOTS for view in self.views)

    @invariant()
    def no_request_waits_beyond_its_limit(self):
        self._check(self.dispatcher.place_waiting(self.now))
        assert all(
            self.now - call.arrived_at <= LONGEST_QUEUE_WAIT_S
            for call in self.queued.values()
        )
        assert self.dispatcher.queue_length == len(self.queued)


TestDispatcherMachine = DispatcherMachine.TestCase

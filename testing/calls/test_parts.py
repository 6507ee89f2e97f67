"""Parts of prompts that crash upstreams: who is charged, tried and blocked."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bamboolever.calls.parts import (
    CRASHES_TO_SUSPECT,
    EVIDENCE_TIMEOUT_S,
    FREE,
    LAST_TRIAL_DELAY_S,
    MAX_TRIALS,
    PEER_TRIAL_TIMEOUT_S,
    TRIALS_TO_BLOCK,
    PartDecision,
    PartState,
    PartTracker,
    PartVerdict,
    PromptParts,
    part_digest,
)
from bamboolever.calls.poison import MAX_TRACKED_REQUESTS, Crash

CULPRIT, SHARED, COMPANION = 1, 2, 3


@pytest.fixture
def tracker():
    return PartTracker()


def _crash(tracker, upstream, now, *parts, tried=()):
    for part in parts:
        tried_parts = len(tried) if part in tried else 0
        crash = Crash(part, upstream, now, tried_parts)
        if tracker.facts.add_crash(crash, now):
            tracker.on_crash(crash)


def _suspect(tracker, *parts):
    for upstream in range(CRASHES_TO_SUSPECT):
        _crash(tracker, upstream, float(upstream), *parts)


def _block(tracker, *parts):
    _suspect(tracker, *parts)
    for upstream in range(10, 10 + TRIALS_TO_BLOCK):
        _crash(tracker, upstream, float(upstream), *parts, tried=parts)


def test_part_without_crashes_is_free(tracker):
    assert tracker.decide((SHARED, CULPRIT), 0.0) == FREE
    _crash(tracker, 0, 0.0, CULPRIT)
    assert tracker.decide((SHARED, CULPRIT), 1.0) == FREE


def test_suspected_part_is_tried_by_one_request_at_a_time(tracker):
    _suspect(tracker, CULPRIT)
    decision = PartDecision(PartVerdict.TRIAL, (CULPRIT,))
    assert tracker.decide((SHARED, CULPRIT), 3.0) == decision
    tracker.begin_trial(decision.parts)
    assert tracker.decide((CULPRIT,), 3.0).verdict is PartVerdict.WAIT
    tracker.end_trial(decision.parts)
    assert tracker.decide((CULPRIT,), 3.0) == decision


def test_next_trial_waits_for_the_evidence_of_the_last_one(tracker):
    _suspect(tracker, CULPRIT)
    tracker.begin_trial((CULPRIT,))
    tracker.on_trial_broken((CULPRIT,), 3.0)
    tracker.end_trial((CULPRIT,))
    assert tracker.decide((CULPRIT,), 3.1).verdict is PartVerdict.WAIT
    _crash(tracker, 7, 2.5, CULPRIT)
    assert tracker.decide((CULPRIT,), 3.1).verdict is PartVerdict.WAIT
    _crash(tracker, 8, 2.9, CULPRIT, tried=(CULPRIT,))
    assert tracker.decide((CULPRIT,), 3.2).verdict is PartVerdict.TRIAL


def test_trial_without_evidence_is_over_after_a_time(tracker):
    _suspect(tracker, CULPRIT)
    tracker.begin_trial((CULPRIT,))
    tracker.on_trial_broken((CULPRIT,), 3.0)
    now = 3.0 + EVIDENCE_TIMEOUT_S
    assert tracker.decide((CULPRIT,), now).verdict is PartVerdict.TRIAL


def test_trial_of_an_entry_that_falls_silent_is_over_after_a_time(tracker):
    _suspect(tracker, CULPRIT)
    tracker.on_peer_trials((CULPRIT,), 3.0)
    assert tracker.decide((CULPRIT,), 4.0).verdict is PartVerdict.WAIT
    now = 3.0 + PEER_TRIAL_TIMEOUT_S
    assert tracker.decide((CULPRIT,), now).verdict is PartVerdict.TRIAL


def test_answer_clears_a_suspected_part(tracker):
    _suspect(tracker, SHARED)
    tracker.begin_trial((SHARED,))
    tracker.facts.add_completion(SHARED, 4.0)
    assert tracker.decide((SHARED,), 4.0) == FREE


def test_part_is_blocked_after_trials_that_crashed(tracker):
    _block(tracker, CULPRIT)
    blocked = PartDecision(PartVerdict.BLOCKED, (CULPRIT,))
    assert tracker.decide((SHARED, CULPRIT), 12.0) == blocked


def test_crashes_without_a_trial_block_no_part(tracker):
    for upstream in range(20):
        _crash(tracker, upstream, 0.0, SHARED)
    assert tracker.state(SHARED) is PartState.SUSPECTED


def test_answered_part_is_not_charged_for_what_another_explains(tracker):
    tracker.facts.add_completion(SHARED, 0.0)
    for upstream in range(1, 6):
        _crash(tracker, upstream, float(upstream), SHARED, CULPRIT)
    assert tracker.state(SHARED) is PartState.CLEAR
    assert tracker.decide((SHARED, CULPRIT), 6.0).parts == (CULPRIT,)


def test_answered_part_is_not_blocked_by_trials_beside_a_culprit(tracker):
    """Guards against a block of what sound requests share with the culprit."""
    tracker.facts.add_completion(SHARED, 0.0)
    for upstream in range(1, 6):
        _crash(tracker, upstream, float(upstream), SHARED, CULPRIT, tried=(SHARED,))
    assert tracker.state(SHARED) is PartState.CLEAR
    assert tracker.state(CULPRIT) is PartState.SUSPECTED


def test_part_with_a_single_crash_explains_nothing(tracker):
    tracker.facts.add_completion(SHARED, 0.0)
    for upstream in range(1, 6):
        _crash(tracker, upstream, float(upstream), SHARED, 100 + upstream)
    assert tracker.state(SHARED) is PartState.SUSPECTED


def test_answered_part_is_charged_for_crashes_that_nobody_explains(tracker):
    tracker.facts.add_completion(SHARED, 0.0)
    for upstream in range(1, 4):
        _crash(tracker, upstream, float(upstream), SHARED, CULPRIT)
    for upstream in range(4, 6):
        _crash(tracker, upstream, float(upstream), SHARED)
    assert [crash.upstream for crash in tracker.charged(SHARED)] == [4, 5]


def test_crashes_by_a_blocked_part_are_charged_to_no_other(tracker):
    _suspect(tracker, CULPRIT, COMPANION)
    assert tracker.state(COMPANION) is PartState.SUSPECTED
    for upstream in range(10, 10 + TRIALS_TO_BLOCK):
        _crash(tracker, upstream, float(upstream), CULPRIT, tried=(CULPRIT,))
    assert tracker.state(CULPRIT) is PartState.BLOCKED
    assert tracker.state(COMPANION) is PartState.CLEAR


def test_trial_of_another_entry_that_ended_without_evidence_is_over(tracker):
    _suspect(tracker, CULPRIT)
    tracker.on_peer_trials((CULPRIT,), 3.0)
    tracker.on_peer_trials_ended((CULPRIT,))
    assert tracker.decide((CULPRIT,), 3.0).verdict is PartVerdict.TRIAL


def test_two_culprits_are_blocked_and_what_they_share_is_not(tracker):
    tracker.facts.add_completion(SHARED, 0.0)
    for start, culprit in ((1, CULPRIT), (20, COMPANION)):
        for upstream in range(start, start + 2):
            _crash(tracker, upstream, float(upstream), SHARED, culprit)
        for upstream in range(start + 2, start + 4):
            now = float(upstream)
            _crash(tracker, upstream, now, SHARED, culprit, tried=(culprit,))
    assert tracker.state(CULPRIT) is tracker.state(COMPANION) is PartState.BLOCKED
    assert tracker.state(SHARED) is PartState.CLEAR


def test_parts_that_always_come_together_are_blocked_together(tracker):
    _block(tracker, CULPRIT, COMPANION)
    decision = tracker.decide((CULPRIT, COMPANION), 12.0)
    assert decision == PartDecision(PartVerdict.BLOCKED, (CULPRIT, COMPANION))


def test_part_that_was_blocked_with_another_is_tried_once_alone(tracker):
    _block(tracker, CULPRIT, COMPANION)
    for part in (CULPRIT, COMPANION):
        decision = PartDecision(PartVerdict.TRIAL, (part,))
        assert tracker.decide((part,), 12.0) == decision
    tracker.facts.add_completion(COMPANION, 13.0)
    assert tracker.state(COMPANION) is PartState.CLEAR
    _crash(tracker, 14, 14.0, CULPRIT, tried=(CULPRIT,))
    assert tracker.decide((CULPRIT,), 15.0).verdict is PartVerdict.BLOCKED


def test_sound_part_that_outages_blocked_gets_a_last_trial(tracker):
    """Guards against a block that nothing ends: two outages hit both trials."""
    _block(tracker, SHARED)
    last_at = 10.0 + TRIALS_TO_BLOCK - 1
    assert tracker.decide((SHARED,), last_at + 1.0).verdict is PartVerdict.BLOCKED
    due_at = last_at + LAST_TRIAL_DELAY_S
    assert tracker.decide((SHARED,), due_at).verdict is PartVerdict.TRIAL
    tracker.facts.add_completion(SHARED, due_at + 1.0)
    assert tracker.decide((SHARED,), due_at + 1.0) == FREE


def test_block_after_the_last_trial_does_not_end(tracker):
    _block(tracker, CULPRIT)
    _crash(tracker, 50, 50.0, CULPRIT, tried=(CULPRIT,))
    assert len(tracker.charged(CULPRIT)) == CRASHES_TO_SUSPECT + MAX_TRIALS
    assert tracker.decide((CULPRIT,), 86_400.0).verdict is PartVerdict.BLOCKED


def test_crash_keeps_its_trial_whatever_order_reports_come_in(tracker):
    for tried in ((CULPRIT,), ()), ((), (CULPRIT,)):
        other = PartTracker()
        for each in tried:
            _crash(other, 7, 1.0, CULPRIT, tried=each)
        assert other.facts.crashes_by(CULPRIT) == [Crash(CULPRIT, 7, 1.0, 1)]


def test_parts_of_a_crash_that_callers_invent_displace_no_blocked_part(tracker):
    _block(tracker, CULPRIT)
    for number in range(MAX_TRACKED_REQUESTS + 50):
        _crash(tracker, 99, 12.0, 1000 + number)
    assert tracker.state(CULPRIT) is PartState.BLOCKED
    assert len(tracker.facts._crashes) <= MAX_TRACKED_REQUESTS


def test_digest_of_a_part_differs_by_model():
    assert part_digest("m", "a1") == part_digest("m", "a1")
    assert part_digest("m", "a1") != part_digest("n", "a1")
    assert part_digest(None, "ma1") != part_digest("m", "a1")
    assert PromptParts.from_ids("m", ("a1",)).digests == (part_digest("m", "a1"),)


class CulpritMachine(RuleBasedStateMachine):
    """One entry, one culprit, and upstreams that also end of themselves.

    The oracle knows the culprit. A request that is sent ends its upstream if it has
    the culprit, and is answered otherwise, unless an outage ends its upstream.
    """

    @initialize()
    def start(self):
        self.tracker = PartTracker()
        self.now = 1.0
        self.upstream = 0
        self.sent_with_culprit = 0
        self.answered_since_outage = set()

    def _end_upstream(self, parts, tried=()):
        self.upstream += 1
        _crash(self.tracker, self.upstream, self.now, *parts, tried=tried)

    @rule(parts=st.sets(st.integers(1, 5), min_size=1), is_outage=st.booleans())
    def request(self, parts, is_outage):
        self.now += 0.5
        parts = tuple(sorted(parts))
        decision = self.tracker.decide(parts, self.now)
        if decision.verdict in (PartVerdict.WAIT, PartVerdict.BLOCKED):
            return
        tried = decision.parts
        self.tracker.begin_trial(tried)
        self.sent_with_culprit += CULPRIT in parts
        if CULPRIT in parts or is_outage:
            self._end_upstream(parts, tried)
        else:
            for part in parts:
                self.tracker.facts.add_completion(part, self.now)
            assert all(self.tracker.state(part) is PartState.CLEAR for part in parts)
        self.tracker.end_trial(tried)

    @rule(parts=st.sets(st.integers(1, 5), min_size=1), count=st.integers(1, 6))
    def outage(self, parts, count):
        self.now += 0.5
        for _ in range(count):
            self._end_upstream(tuple(parts))

    @rule(seconds=st.sampled_from([1.0, LAST_TRIAL_DELAY_S, 10_000.0]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def culprit_ends_a_bounded_number_of_upstreams(self):
        assert self.sent_with_culprit <= CRASHES_TO_SUSPECT + MAX_TRIALS


TestCulpritMachine = CulpritMachine.TestCase

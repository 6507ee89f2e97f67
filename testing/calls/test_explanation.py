"""Questions where a request would go: they agree with `submit` and change nothing."""

import random
import types
from collections import Counter, deque
from enum import Enum

import pytest
from sitebuilders import MODEL, make_pending, make_profile, make_view

from bamboolever.calls.coldstart import ColdCause, ColdStartBound, ColdStartScope
from bamboolever.calls.dispatcher import Assignment, RejectReason, ServiceDispatcher
from bamboolever.calls.engine import EngineLoad
from bamboolever.calls.explanation import BEST_COUNT
from bamboolever.calls.limits import LimitStatement
from bamboolever.calls.placement import (
    LeastOutstandingPolicy,
    PlainServicePolicy,
    PredictedLatencyPolicy,
)
from bamboolever.fleet.evacuations import Evacuations
from bamboolever.fleet.records import StatedLoad
from bamboolever.fleet.versions import VersionRollouts

NOW = 100.0
SLOTS = 4
STATES = 1000
ZONES = {"zone-a": "region-1", "zone-b": "region-2", "zone-c": "region-3"}


def _penalty(view):
    return {"zone-a": 0.0, "zone-b": 0.004}.get(view.record.availability_zone, 0.015)


def _make_policy(rng):
    kind = rng.random()
    if kind < 0.6:
        return PredictedLatencyPolicy(make_profile(slots=SLOTS), _penalty)
    if kind < 0.8:
        return PlainServicePolicy(_penalty, seed=rng.random())
    return LeastOutstandingPolicy(SLOTS, _penalty)


def _make_view(rng, number, scope):
    zone = rng.choice(list(ZONES))
    view = make_view(f"up-{number}", availability_zone=zone, slots=SLOTS)
    view.region = ZONES[zone] if rng.random() < 0.95 else None
    view.is_home = rng.random() < 0.7
    view.claims.stagger = rng.random()
    view.claims.sharing = rng.choice([1, 3])
    view.slowdown = rng.choice([1.0, 1.0, 2.5])
    if rng.random() < 0.3:
        # Recently, so that entries share its slots.
        view.on_served_version(MODEL, rng.choice([1, 2]), NOW - rng.random())
    if rng.random() < 0.2:
        view.claims.on_placed(NOW - 0.2)
        view.claims.on_placed(NOW - 0.02)
    if rng.random() < 0.15:
        view.switching_until = NOW + 1
    if rng.random() < 0.2:
        view.on_unreachable(NOW - rng.choice([0.1, 0.7]))
    if rng.random() < 0.2:
        stated = StatedLoad(rng.randrange(4), 0, SLOTS, rng.choice([None, 1.0, 2.5]))
        view.on_stated_load(stated, NOW - 0.05)
    return view


def _limit(rng, view):
    statement = LimitStatement(rng.getrandbits(30), 2.0, NOW - 2, NOW - 1.9)
    view.limit.learn(statement, NOW - 1.9)
    view.limit.want_permit()
    view.limit.begin_request(1, NOW - 0.5)
    view.limit.on_granted(
        1, rng.choice([0, 1]), rng.choice([0.05, 3.0]), 0.5, NOW - 0.4
    )


def _cool(rng, view, scope):
    view.cold.configure(
        ColdStartBound(3.0, rng.choice([2.0, 40.0])),
        scope,
        name=view.instance_id,
        seed=rng.getrandbits(64),
        is_in_cell=True,
    )
    if rng.random() < 0.3:
        # Silent since a request long ago: looking at it makes it cold.
        view.cold.take_token(NOW - 10)
    else:
        view.cold.assume(ColdCause.UNREACHABLE, NOW - rng.random())


def _fill(rng, view, first_id):
    count = rng.choice([0, 0, 1, 2, SLOTS - 1, SLOTS, SLOTS])
    for call_id in range(first_id, first_id + count):
        view.add_call(call_id, 500)
        if rng.random() < 0.7:
            view.on_first_event(call_id)
    if rng.random() < 0.3:
        load = EngineLoad(writing=rng.randrange(SLOTS + 1))
        view.update_peer_load(load, NOW - 0.05, rng.random())


def _make_call(rng, arrived_at, **changes):
    age_s = rng.choice([0.0, 0.0, 0.0, 1.5])
    regions = [None, None, frozenset({"region-1"}), frozenset({"region-2", "region-3"})]
    if rng.random() < 0.03:
        regions = [frozenset()]
    return make_pending(
        arrived_at=arrived_at,
        target_at=arrived_at + 0.4 - age_s,
        timeout_at=arrived_at + 6.0 - age_s,
        prompt_tokens=rng.choice([50, 1000, 4000]),
        priority=rng.randrange(3),
        first_attempt_age_s=age_s,
        is_resumed=rng.random() < 0.1,
        tried={f"up-{n}" for n in range(8) if rng.random() < 0.05},
        allowed_regions=rng.choice(regions),
        **changes,
    )


def _make_state(seed):
    """Return a dispatcher in any state, and a request that has just arrived."""
    rng = random.Random(seed)
    scope = ColdStartScope()
    evacuations = Evacuations(5.0)
    evacuations.confirm(1, 10, NOW - rng.choice([1.0, 4.0]))
    versions = VersionRollouts(8.0)
    if rng.random() < 0.2:
        versions.add(MODEL, 2, NOW - rng.choice([5.0, 7.99, 9.0]))
    dispatcher = ServiceDispatcher(
        _make_policy(rng), versions, evacuations=evacuations, seed=seed
    )
    count = rng.choice([0, 1, 2, 4, 8, 30])
    views = [_make_view(rng, number, scope) for number in range(count)]
    dispatcher.set_upstreams(views)
    dispatcher.region_reserve.entry_count = 4
    # These wait from before, as nothing takes requests yet.
    for view in views:
        view.closed_until = NOW - 0.01
    for _ in range(rng.choice([0, 0, 1, 3, 8])):
        arrived_at = NOW - 0.1 * rng.random()
        dispatcher.submit(_make_call(rng, arrived_at), arrived_at)
    has_limits, has_cold = rng.random() < 0.4, rng.random() < 0.4
    share = rng.choice([0.3, 1.0])
    for number, view in enumerate(views):
        _fill(rng, view, 10_000 + 100 * number)
        if has_limits and rng.random() < share:
            _limit(rng, view)
        if has_cold and rng.random() < share:
            _cool(rng, view, scope)
    dispatcher.set_upstreams(views)
    if rng.random() < 0.3:
        for zone in rng.sample(list(ZONES), rng.choice([1, 3])):
            evacuations.put(zone, 11, NOW)
    if rng.random() < 0.2:
        evacuations.on_store_restored(2, NOW - 3)
        # Their removal was put off, and is due since.
        for zone in evacuations.zones(NOW - 3):
            evacuations.remove(zone, NOW - 1)
    return dispatcher, _make_call(rng, NOW - rng.choice([0.0, 0.0, 0.0, 0.5]))


def _freeze(value, seen=None):
    """Return the whole state of an object as a comparable value."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, bool | int | float | str | Enum):
        return value
    if id(value) in seen:
        return ("seen", seen[id(value)])
    seen[id(value)] = len(seen)
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, types.FunctionType | types.MethodType):
        return value.__qualname__
    if isinstance(value, dict):
        return [
            (_freeze(key, seen), _freeze(each, seen)) for key, each in value.items()
        ]
    if isinstance(value, set | frozenset):
        return sorted(map(str, value))
    if isinstance(value, list | tuple | deque):
        return [_freeze(each, seen) for each in value]
    return (type(value).__name__, _freeze(vars(value), seen))


def _describe(decision):
    """Return a decision without the views, which are copies in an explanation."""
    if not isinstance(decision, Assignment):
        return decision
    content = dict(vars(decision))
    placement = content.pop("placement")
    return content, placement.upstream.instance_id, placement.predicted_s


def _kind(decision):
    if decision is None:
        return "queued"
    if not isinstance(decision, Assignment):
        return decision.reason
    if decision.is_last_resort:
        return "last-resort"
    if decision.has_used_permit or decision.has_used_token:
        return "permit" if decision.has_used_permit else "token"
    if decision.left_regions:
        return "left-regions"
    return "home" if decision.placement.upstream.is_home else "neighbor"


def _check_steps(explanation):
    left = None
    for step in explanation.steps:
        if left is not None:
            assert set(step.left) | set(step.excluded) == left
        assert not set(step.left) & set(step.excluded)
        left = set(step.left)
    if isinstance(explanation.decision, Assignment):
        chosen = explanation.decision.placement
        assert chosen.upstream.instance_id in left
        assert explanation.best[0] == chosen
        assert len(explanation.best) <= BEST_COUNT


def test_answer_agrees_with_submit_and_changes_nothing():
    """Guards against an answer that differs from the decision, or that influences it.

    Any permit, token, slot or random number that a question used up would show in the
    comparison of the whole state.
    """
    kinds = Counter()
    for seed in range(STATES):
        dispatcher, call = _make_state(seed)
        before = _freeze(dispatcher)
        explanation = dispatcher.explain(call, NOW)
        assert _freeze(dispatcher) == before, f"seed {seed}"
        decisions = {each.call.call_id: each for each in dispatcher.submit(call, NOW)}
        decision = decisions.get(call.call_id)
        assert _describe(explanation.decision) == _describe(decision), f"seed {seed}"
        is_queued = call in dispatcher.queued_calls
        assert is_queued == (explanation.decision is None), f"seed {seed}"
        if is_queued:
            position = dispatcher.queued_calls.index(call)
            assert explanation.queued_before == position, f"seed {seed}"
        _check_steps(explanation)
        kinds[_kind(decision)] += 1
    expected = {
        "home",
        "neighbor",
        "queued",
        "permit",
        "token",
        "last-resort",
        "left-regions",
        RejectReason.NO_UPSTREAM,
        RejectReason.NO_ROOM,
        RejectReason.LIMITED,
        RejectReason.COLD,
        RejectReason.EVACUATED,
        RejectReason.NO_ALLOWED_REGION,
    }
    assert set(kinds) == expected, kinds


def test_steps_name_the_rule_that_excludes_each_upstream():
    tried, switching, full, free = (
        make_view(name) for name in ("tried", "switching", "full", "free")
    )
    switching.switching_until = 1.0
    for call_id in range(1, 5):
        full.add_call(-call_id, 100)
    policy = PredictedLatencyPolicy(make_profile(), _penalty)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams([tried, switching, full, free])
    explanation = dispatcher.explain(make_pending(tried={"tried"}), 0.0)
    excluded = {step.reason: step.excluded for step in explanation.steps}
    assert excluded["tried"] == ("tried",)
    assert excluded["unavailable"] == ("switching",)
    assert excluded["room"] == ("full",)
    assert explanation.steps[-1].left == ("free",)


def test_waived_rule_is_marked():
    """Guards against an answer that sends requests to ejected upstreams unexplained."""
    view = make_view()
    view.on_unreachable(0.0)
    policy = PredictedLatencyPolicy(make_profile(), _penalty)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams([view])
    explanation = dispatcher.explain(make_pending(), 0.1)
    (step,) = [step for step in explanation.steps if step.reason == "ejected"]
    assert step.is_waived
    assert not step.excluded


@pytest.mark.parametrize("queued", [0, 2])
def test_queued_request_learns_its_place_and_the_end_of_its_wait(queued):
    view = make_view()
    for call_id in range(1, 5):
        view.add_call(-call_id, 100)
    policy = PredictedLatencyPolicy(make_profile(), _penalty)
    dispatcher = ServiceDispatcher(policy, VersionRollouts(8.0))
    dispatcher.set_upstreams([view])
    for _ in range(queued):
        dispatcher.submit(make_pending(), 0.0)
    explanation = dispatcher.explain(make_pending(), 0.0)
    assert explanation.decision is None
    assert explanation.queued_before == queued
    assert explanation.waits_s == pytest.approx(0.12)

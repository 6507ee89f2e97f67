"""Tests that calls are accepted only while the engine serves a verified target.

An engine may restart, fail to load, or load an older version that a replaced agent
still orders.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._activation import (
    PAUSE_THRESHOLD_S,
    READ_BACK_PERIOD_S,
    Activation,
    ActivationAction,
    ActivationState,
    ActivationTarget,
    ServedModel,
)

VERSIONS = ["v1", "v2", "v3"]


def make_target(version, fencing):
    return ActivationTarget("engraver", version, fencing, f"manifest-{version}")


class Engine:
    """An engine that serves the version of the last order.

    Unless ``is_fenced``, it also accepts orders with an older fencing token.
    """

    def __init__(self, is_fenced):
        self.is_fenced = is_fenced
        self.fencing = 0
        self.version = ""

    def load(self, version, fencing):
        if self.is_fenced and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        self.version = version
        return True


class ActivationMachine(RuleBasedStateMachine):
    """One agent's activation and its engine; a replaced agent sends stale orders."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.activation = Activation()
        self.engine = Engine(is_fenced=False)
        self.targets = []
        self.verified = set()
        self.in_flight = 0
        self.action = None
        self.is_engine_changed_by_other = False

    @rule(version=st.sampled_from(VERSIONS))
    def receive_new_target(self, version):
        target = make_target(version, len(self.targets) + 1)
        self.targets.append(target)
        assert self.activation.on_target(target)

    @rule(data=st.data())
    def repeat_target(self, data):
        if self.targets:
            target = data.draw(st.sampled_from(self.targets))
            assert not self.activation.on_target(target)

    @rule(version=st.sampled_from(VERSIONS))
    def verify_weights(self, version):
        if self.targets and self.targets[-1].version == version:
            self.verified.add(version)
        self.activation.on_weights_verified(f"manifest-{version}", f"digest-{version}")

    @rule()
    def start_call(self):
        if self.activation.is_accepting:
            self.in_flight += 1

    @rule()
    def run_without_faults(self):
        """Advance without faults until no more actions are due."""
        for _ in range(12):
            self.end_action(True)
            self.advance_time(0.5)

    @rule()
    def end_call(self):
        self.in_flight = max(0, self.in_flight - 1)

    @rule(step=st.sampled_from([0.05, READ_BACK_PERIOD_S, PAUSE_THRESHOLD_S * 3]))
    def advance_time(self, step):
        self.now += step
        action = self.activation.advance(self.now, in_flight=self.in_flight)
        if action is None:
            return
        assert self.action is None
        self.action = action
        if action is ActivationAction.SEND_ORDER:
            assert self.in_flight == 0
            assert self.activation.target.version in self.verified
            assert not self.activation.is_accepting

    @rule(has_succeeded=st.booleans())
    def end_action(self, has_succeeded):
        action, self.action = self.action, None
        if action is ActivationAction.READ_BACK:
            self.is_engine_changed_by_other = False
            version = self.engine.version
            digest = f"digest-{version}" if version else ""
            served = ServedModel(version, digest) if has_succeeded else None
            self.activation.on_read_back(served, self.now)
        elif action in (ActivationAction.ACQUIRE_SLOT, ActivationAction.RELEASE_SLOT):
            is_held = has_succeeded == (action is ActivationAction.ACQUIRE_SLOT)
            self.activation.on_slot(is_held, self.now)
        elif action is ActivationAction.SEND_ORDER:
            target = self.activation.target
            is_loaded = has_succeeded and self.engine.load(
                target.version, target.fencing
            )
            assert not self.activation.is_accepting
            self.activation.on_order_done(is_loaded, self.now)

    @rule()
    def restart_engine(self):
        self.engine.version = ""
        self.engine.fencing = 0
        self.in_flight = 0
        self.activation.on_upstream_lost()

    @rule(data=st.data())
    def send_stale_order(self, data):
        if self.targets:
            target = data.draw(st.sampled_from(self.targets))
            self.engine.load(target.version, target.fencing)
            self.is_engine_changed_by_other = True

    @invariant()
    def accepted_calls_reach_only_verified_targets(self):
        if not self.activation.is_accepting:
            return
        served = self.activation.served
        assert served.version in self.verified
        if not self.is_engine_changed_by_other:
            assert served.version == self.engine.version

    def teardown(self):
        """Check that without further faults the engine serves the newest target."""
        if not self.targets:
            return
        target = self.targets[-1]
        self.activation.on_weights_verified(
            target.manifest_digest, f"digest-{target.version}"
        )
        self.verified.add(target.version)
        self.in_flight = 0
        for _ in range(400):
            self.end_action(True)
            self.advance_time(0.5)
        assert self.engine.version == target.version
        assert self.activation.state is ActivationState.SERVING
        assert self.activation.is_accepting


TestActivation = ActivationMachine.TestCase


def make_serving_v1_with_v2_verified():
    activation = Activation()
    for fencing, version in enumerate(["v1", "v2"], 1):
        activation.on_target(make_target(version, fencing))
        activation.on_weights_verified(f"manifest-{version}", f"digest-{version}")
    activation.advance(0.0, in_flight=1)
    activation.on_read_back(ServedModel("v1", "digest-v1"), 0.0)
    return activation


def test_a_swap_drains_running_calls_before_the_order():
    activation = make_serving_v1_with_v2_verified()
    assert activation.is_accepting
    assert activation.advance(0.1, in_flight=1) is ActivationAction.ACQUIRE_SLOT
    assert activation.is_accepting
    activation.on_slot(True, 0.1)
    assert activation.advance(0.2, in_flight=1) is None
    assert not activation.is_accepting
    assert activation.advance(0.3, in_flight=0) is ActivationAction.SEND_ORDER


def test_an_order_of_another_agent_is_found_by_reading_back():
    activation = make_serving_v1_with_v2_verified()
    activation.on_target(make_target("v1", 3))
    activation.on_weights_verified("manifest-v1", "digest-v1")
    now = READ_BACK_PERIOD_S + 0.1
    assert activation.advance(now, in_flight=0) is ActivationAction.READ_BACK
    activation.on_read_back(ServedModel("v0", "digest-of-a-stale-order"), now)
    assert not activation.is_accepting


def advance_to_order(activation, now=0.0):
    for _ in range(20):
        action = activation.advance(now, in_flight=0)
        if action is ActivationAction.SEND_ORDER:
            return
        if action is ActivationAction.READ_BACK:
            activation.on_read_back(ServedModel("", ""), now)
        now += 0.1
    raise AssertionError("no order was sent")


def test_after_a_pause_no_calls_are_accepted_before_a_read_back():
    activation = Activation()
    activation.on_target(make_target("v1", 1))
    activation.on_weights_verified("manifest-v1", "digest-v1")
    activation.advance(0.0, in_flight=0)
    activation.on_read_back(ServedModel("v1", "digest-v1"), 0.0)
    assert activation.is_accepting
    action = activation.advance(PAUSE_THRESHOLD_S * 2, in_flight=0)
    assert not activation.is_accepting
    assert action is ActivationAction.READ_BACK


def test_a_failed_load_is_shown_and_retried():
    activation = Activation()
    activation.on_target(make_target("v1", 1))
    activation.on_weights_verified("manifest-v1", "digest-v1")
    advance_to_order(activation)
    activation.on_order_done(False, 1.0)
    assert activation.state is ActivationState.LOAD_FAILED
    advance_to_order(activation, 3.0)


def test_a_version_that_does_not_load_keeps_its_swap_slot():
    activation = Activation()
    for fencing, version in enumerate(["v1", "v2"], 1):
        activation.on_target(make_target(version, fencing))
        activation.on_weights_verified(f"manifest-{version}", f"digest-{version}")
    activation.advance(0.0, in_flight=0)
    activation.on_read_back(ServedModel("v1", "digest-v1"), 0.0)
    assert activation.advance(0.1, in_flight=0) is ActivationAction.ACQUIRE_SLOT
    activation.on_slot(True, 0.1)
    assert activation.advance(0.2, in_flight=0) is ActivationAction.SEND_ORDER
    activation.on_order_done(False, 0.3)
    actions = set()
    now = 0.4
    for _ in range(30):
        action = activation.advance(now, in_flight=0)
        actions.add(action)
        if action is ActivationAction.READ_BACK:
            activation.on_read_back(ServedModel("", ""), now)
        elif action is ActivationAction.SEND_ORDER:
            activation.on_order_done(False, now)
        now += 0.5
    assert ActivationAction.RELEASE_SLOT not in actions

"""Tests that an idempotency key is granted at most once.

Guards against a call that runs twice because two entries claim its key at once, or
because the response to a write is lost and the claim is repeated.
"""

from builders import FakePlatform, make_claim
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboolever._claims import (
    MAX_SHARD_BYTES,
    RETENTION_S,
    ClaimError,
    ClaimShard,
    ClaimState,
    ClaimVerdict,
    settle_record,
)
from bamboolever._claimwriter import _write_batch
from bamboolever._platform import PlatformError

KEYS = ["k1", "k2"]


class ClaimMachine(RuleBasedStateMachine):
    """Claims, settles and releases keys while writes race, fail or are lost.

    A granted claim counts as one run of its call. A holder that was paused may run the
    call at any later time, so a key must not be granted again unless its holder has
    released it.
    """

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.last_nonce = 0
        self.granted = {key: set() for key in KEYS}
        self.released = {key: set() for key in KEYS}
        self.unsettled = []

    @rule(
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(["none", "answer-lost", "request-lost", "down"]),
        is_racing=st.booleans(),
    )
    def claim(self, key, fault, is_racing):
        own = self._operation(key)
        if is_racing:
            other = self._operation(key)
            self.platform.before_write = lambda: self._try_claim(other)
        self.platform.lose_answers = int(fault == "answer-lost")
        self.platform.lose_requests = int(fault == "request-lost")
        self.platform.is_down = fault == "down"
        self._try_claim(own)
        self.platform.is_down = False
        self.platform.before_write = None

    @rule(data=st.data(), state=st.sampled_from([ClaimState.DONE, ClaimState.UNKNOWN]))
    def settle(self, data, state):
        if not self.unsettled:
            return
        operation = data.draw(st.sampled_from(self.unsettled))
        self.unsettled.remove(operation)
        record = settle_record(operation.record, state, 200, "t", b"answer")
        _write_batch(self.platform, "shard", [type(operation)(operation.key, record)])

    @rule(data=st.data())
    def release_key(self, data):
        if not self.unsettled:
            return
        operation = data.draw(st.sampled_from(self.unsettled))
        self.unsettled.remove(operation)
        release = type(operation)(operation.key, operation.record, is_release=True)
        _write_batch(self.platform, "shard", [release])
        self.released[operation.key].add(operation.record.nonce)

    @invariant()
    def at_most_one_run_for_each_key(self):
        for key in KEYS:
            assert len(self.granted[key] - self.released[key]) <= 1

    def _operation(self, key):
        self.last_nonce += 1
        return make_claim(key, nonce=f"n{self.last_nonce}", claimed_at=1e12)

    def _try_claim(self, operation):
        try:
            (result,) = _write_batch(self.platform, "shard", [operation])
        except PlatformError:
            return
        if result.verdict is ClaimVerdict.GRANTED:
            self.granted[operation.key].add(operation.record.nonce)
            self.unsettled.append(operation)


TestClaims = ClaimMachine.TestCase


def apply_one(shard, operation, now=0.0):
    changed, (result,) = shard.apply([operation], now)
    return changed, result


def test_a_repeat_gets_the_recorded_response():
    first = make_claim()
    shard, _ = apply_one(ClaimShard(), first)
    done = settle_record(first.record, ClaimState.DONE, 201, "text/plain", b"ok")
    shard, _ = apply_one(shard, type(first)(first.key, done))
    _, result = apply_one(ClaimShard.decode(shard.encode()), make_claim(nonce="n2"))
    assert result.verdict is ClaimVerdict.RECORDED
    assert (result.record.status, result.record.body) == (201, b"ok")


def test_a_key_with_another_body_is_refused():
    shard, _ = apply_one(ClaimShard(), make_claim())
    _, result = apply_one(shard, make_claim(nonce="n2", body="other"))
    assert result.verdict is ClaimVerdict.KEY_REUSED


def test_only_the_holder_can_release_a_key():
    first = make_claim()
    shard, _ = apply_one(ClaimShard(), first)
    other_claim = make_claim(nonce="n2")
    release = type(first)(first.key, other_claim.record, is_release=True)
    shard, _ = apply_one(shard, release)
    assert shard.get(first.key).nonce == "n1"


def test_an_invalid_shard_does_not_count_as_empty():
    for value in (b"[1]", b"{", b'{"k": [1]}'):
        try:
            ClaimShard.decode(value)
        except ClaimError:
            continue
        raise AssertionError(value)


def test_a_full_shard_refuses_new_keys_until_old_ones_expire():
    body = "x" * 1000
    count = MAX_SHARD_BYTES // 1000 + 1
    operations = [make_claim(f"k{i}", body=body) for i in range(count)]
    shard, _ = ClaimShard().apply(operations, 0.0)
    _, result = apply_one(shard, make_claim("fresh"))
    assert result.verdict is ClaimVerdict.SHARD_FULL
    _, result = apply_one(shard, make_claim("fresh"), now=RETENTION_S + 1)
    assert result.verdict is ClaimVerdict.GRANTED

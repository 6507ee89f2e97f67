"""At most once: two entries, lost answers, and holders that come and go."""

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
    """Callers repeat keys through two entries while the store misbehaves.

    The oracle counts runs: a granted claim is one run. A holder that was paused
    may run at any later time, so a grant must never be followed by another
    unless its holder itself gave it back.
    """

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.serial = 0
        self.granted = {key: set() for key in KEYS}
        self.given_back = {key: set() for key in KEYS}
        self.open = []

    @rule(
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(["none", "answer-lost", "request-lost", "down"]),
        racing=st.booleans(),
    )
    def claim(self, key, fault, racing):
        mine = self._operation(key)
        if racing:
            other = self._operation(key)
            self.platform.before_write = lambda: self._attempt(other)
        self.platform.lose_answers = int(fault == "answer-lost")
        self.platform.lose_requests = int(fault == "request-lost")
        self.platform.is_down = fault == "down"
        self._attempt(mine)
        self.platform.is_down = False
        self.platform.before_write = None

    @rule(data=st.data(), state=st.sampled_from([ClaimState.DONE, ClaimState.UNKNOWN]))
    def settle(self, data, state):
        if not self.open:
            return
        operation = data.draw(st.sampled_from(self.open))
        self.open.remove(operation)
        record = settle_record(operation.record, state, 200, "t", b"answer")
        _write_batch(self.platform, "shard", [type(operation)(operation.key, record)])

    @rule(data=st.data())
    def give_back(self, data):
        if not self.open:
            return
        operation = data.draw(st.sampled_from(self.open))
        self.open.remove(operation)
        release = type(operation)(operation.key, operation.record, is_release=True)
        _write_batch(self.platform, "shard", [release])
        self.given_back[operation.key].add(operation.record.nonce)

    @invariant()
    def at_most_one_run_for_each_key(self):
        for key in KEYS:
            assert len(self.granted[key] - self.given_back[key]) <= 1

    def _operation(self, key):
        self.serial += 1
        return make_claim(key, nonce=f"n{self.serial}", claimed_at=1e12)

    def _attempt(self, operation):
        try:
            (result,) = _write_batch(self.platform, "shard", [operation])
        except PlatformError:
            return
        if result.verdict is ClaimVerdict.GRANTED:
            self.granted[operation.key].add(operation.record.nonce)
            self.open.append(operation)


TestClaims = ClaimMachine.TestCase


def judge(shard, operation, now=0.0):
    changed, (result,) = shard.apply([operation], now)
    return changed, result


def test_a_repeat_gets_the_recorded_answer():
    first = make_claim()
    shard, _ = judge(ClaimShard(), first)
    done = settle_record(first.record, ClaimState.DONE, 201, "text/plain", b"ok")
    shard, _ = judge(shard, type(first)(first.key, done))
    _, result = judge(ClaimShard.decode(shard.encode()), make_claim(nonce="n2"))
    assert result.verdict is ClaimVerdict.RECORDED
    assert (result.record.status, result.record.body) == (201, b"ok")


def test_a_key_with_another_body_is_refused():
    shard, _ = judge(ClaimShard(), make_claim())
    _, result = judge(shard, make_claim(nonce="n2", body="other"))
    assert result.verdict is ClaimVerdict.KEY_REUSED


def test_only_the_holder_settles_or_gives_back():
    first = make_claim()
    shard, _ = judge(ClaimShard(), first)
    stranger = make_claim(nonce="n2")
    release = type(first)(first.key, stranger.record, is_release=True)
    shard, _ = judge(shard, release)
    assert shard.get(first.key).nonce == "n1"


def test_an_unreadable_shard_does_not_count_as_empty():
    for value in (b"[1]", b"{", b'{"k": [1]}'):
        try:
            ClaimShard.decode(value)
        except ClaimError:
            continue
        raise AssertionError(value)


def test_a_full_shard_refuses_new_keys_and_forgets_old_ones():
    body = "x" * 1000
    count = MAX_SHARD_BYTES // 1000 + 1
    operations = [make_claim(f"k{i}", body=body) for i in range(count)]
    shard, _ = ClaimShard().apply(operations, 0.0)
    _, result = judge(shard, make_claim("fresh"))
    assert result.verdict is ClaimVerdict.SHARD_FULL
    _, result = judge(shard, make_claim("fresh"), now=RETENTION_S + 1)
    assert result.verdict is ClaimVerdict.GRANTED

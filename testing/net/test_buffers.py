"""How much memory buffered responses may take, each and together."""

from hypothesis import given
from hypothesis import strategies as st

from bamboolever.net.buffers import (
    BLOCK_BYTES,
    MAX_RESPONSE_BYTES,
    UNBUDGETED_BYTES,
    BufferBudget,
    ResponseBuffer,
)

MIB = 2**20


def test_small_response_fits_when_the_budget_is_used_up():
    budget = BufferBudget(MIB)
    assert budget.resize(0, MIB + UNBUDGETED_BYTES)
    assert not budget.resize(0, UNBUDGETED_BYTES + 1)
    assert budget.resize(0, UNBUDGETED_BYTES)


def test_refused_growth_leaves_the_budget_as_it_was():
    budget = BufferBudget(MIB)
    budget.resize(0, MIB)
    used_bytes = budget.used_bytes
    assert not budget.resize(MIB, 3 * MIB)
    assert budget.used_bytes == used_bytes


def test_budget_is_a_share_of_the_memory():
    assert BufferBudget.from_memory(300 * MIB).total_bytes == 75 * MIB
    assert BufferBudget.from_memory(0).total_bytes == 8 * MIB


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 4 * MIB)), max_size=60))
def test_use_is_the_sum_of_the_responses_and_within_the_budget(steps):
    budget, sizes = BufferBudget(8 * MIB), [0] * 5
    for number, size in steps:
        if budget.resize(sizes[number], size):
            sizes[number] = size
        assert budget.used_bytes == sum(max(0, s - UNBUDGETED_BYTES) for s in sizes)
        assert budget.used_bytes <= budget.total_bytes
    for size in sizes:
        assert budget.resize(size, 0)
    assert budget.used_bytes == 0


def test_response_over_its_own_limit_does_not_fit():
    buffer = ResponseBuffer(BufferBudget(2 * MAX_RESPONSE_BYTES))
    assert buffer.add(bytes(MAX_RESPONSE_BYTES)) is None
    assert buffer.add(b"x") == "response over the limit"


def test_taken_body_frees_the_budget_for_others():
    budget = BufferBudget(MIB)
    first, second = ResponseBuffer(budget), ResponseBuffer(budget)
    assert first.add(bytes(MIB)) is None
    assert second.add(bytes(MIB)) is not None
    assert first.take() == bytes(MIB)
    assert budget.used_bytes == 0
    assert second.add(bytes(MIB)) is None
    assert budget.used_bytes == MIB - UNBUDGETED_BYTES


@given(st.lists(st.binary(max_size=3 * BLOCK_BYTES), max_size=8))
def test_body_is_taken_as_it_was_added(parts):
    buffer = ResponseBuffer(BufferBudget())
    for part in parts:
        assert buffer.add(part) is None
    assert len(buffer) == sum(map(len, parts))
    assert buffer.take() == b"".join(parts)
    assert buffer.take() == b""


def test_many_small_parts_take_few_blocks():
    """Guards against a body of one-byte chunks that takes many times its size."""
    buffer = ResponseBuffer(BufferBudget())
    for _ in range(3 * BLOCK_BYTES):
        buffer.add(b"x")
    assert len(buffer._body._blocks) == 3

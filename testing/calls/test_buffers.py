"""How much memory buffered responses may take together."""

from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.buffers import UNBUDGETED_BYTES, BufferBudget, HeldBytes

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


def test_largest_holder_gives_way_beyond_the_bound():
    held = HeldBytes(100)
    assert held.resize("small", 10) == []
    assert held.resize("large", 80) == []
    assert held.resize("other", 30) == ["large"]
    assert held.used_bytes == 40


def test_holder_that_is_read_frees_its_bytes():
    held = HeldBytes(100)
    held.resize("first", 90)
    held.resize("first", 0)
    assert held.resize("second", 90) == []
    assert held.used_bytes == 90


def test_as_many_holders_give_way_as_needed():
    """Guards against a bound that one response after the other exceeds."""
    held = HeldBytes(100)
    held.resize("first", 60)
    held.resize("second", 40)
    assert held.resize("third", 170) == ["third"]
    assert held.resize("third", 50) == ["first"]


def test_bound_follows_from_the_memory_of_the_instance():
    assert HeldBytes.from_memory(400 * 2**20).total_bytes == 100 * 2**20
    assert HeldBytes.from_memory(0).total_bytes == 8 * 2**20

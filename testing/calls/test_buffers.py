"""How much memory responses may take that callers do not read."""

from bamboolever.calls.buffers import HeldBytes


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


def test_complete_request_does_not_give_way():
    """Guards against requests that are accepted and then lost."""
    held = HeldBytes(100)
    held.resize("complete", 90)
    held.keep("complete")
    assert held.resize("incomplete", 20) == ["incomplete"]
    assert held.used_bytes == 90
    held.resize("complete", 0)
    assert held.resize("incomplete", 20) == []


def test_small_requests_do_not_count():
    held = HeldBytes(100, free_bytes=10)
    held.resize("large", 110)
    for number in range(20):
        assert held.resize(number, 10) == []
    assert held.resize("other", 11) == ["large"]


def test_one_request_of_the_largest_size_fits():
    held = HeldBytes.for_requests(0)
    held.allow(2**30)
    assert held.resize("only", 2**30) == []

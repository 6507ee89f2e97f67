import doctest

import pytest

from bamboolever import _fairqueue, _feed, _ratelimit, _retry, _subset


@pytest.mark.parametrize("module", [_fairqueue, _feed, _ratelimit, _retry, _subset])
def test_examples_in_docstrings_run(module):
    assert doctest.testmod(module).failed == 0

import pytest
from manualtask import ManualPool, ManualTask


@pytest.fixture
def task():
    return ManualTask()


@pytest.fixture
def pool(task):
    return ManualPool(task)

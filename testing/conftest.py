import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def _clear_platform_environment(monkeypatch):
    monkeypatch.delenv("BAMBOOLEVER_PLATFORM", raising=False)

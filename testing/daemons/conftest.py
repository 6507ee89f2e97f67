import pytest
from rawcaller import RawCaller
from sitebuilders import RunningAgent, RunningEntry

from bamboolever.platform.standins.site import Site


@pytest.fixture
def site():
    site = Site()
    yield site
    site.close()


@pytest.fixture
def start_entry(site):
    running = []

    def start(**options):
        running.append(RunningEntry(site, **options))
        return running[-1]

    yield start
    for entry in running:
        entry.stop()


@pytest.fixture
def start_agent(site):
    running = []

    def start(upstream, name="agent"):
        running.append(RunningAgent(site, upstream, name))
        return running[-1]

    yield start
    for agent in running:
        agent.stop()


@pytest.fixture
def plain_upstreams(site):
    return [site.add_plain_upstream("plain-1"), site.add_plain_upstream("plain-2")]


@pytest.fixture
def engines(site):
    return [
        site.add_engine("engine-1", "127.0.0.2"),
        site.add_engine("engine-2", "127.0.0.3"),
    ]


@pytest.fixture
def make_caller():
    callers = []

    def make(entry, **options):
        callers.append(RawCaller(entry.settings.caller_address, **options))
        return callers[-1]

    yield make
    for caller in callers:
        caller.close()

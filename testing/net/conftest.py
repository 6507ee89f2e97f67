import pytest
from echoserver import start_server, stop_server


@pytest.fixture(scope="module")
def server():
    server = start_server(max_connections=500)
    yield server
    stop_server(server)


@pytest.fixture
def make_server():
    servers = []

    def make(**options):
        servers.append(start_server(**options))
        return servers[-1]

    yield make
    for server in servers:
        stop_server(server)

"""What an agent tells entries of its engine's process."""

import socket

import pytest
from sitebuilders import WAIT_S

from bamboolever.daemons.agent import Agent
from bamboolever.fleet import exchange
from bamboolever.fleet.messages import AgentState, Hello
from bamboolever.net.addresses import Address
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.platform.nodefile import decode_settings


class _Subscriber:
    """An entry that has said hello once."""

    def __init__(self, agent_address):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.settimeout(WAIT_S)
        self._sock.sendto(
            exchange.encode(Hello("entry-1", "all", "all")), agent_address
        )

    def receive_until(self, condition):
        """Return the first state for which ``condition`` holds."""
        while True:
            state = exchange.decode(self._sock.recv(4096))
            assert isinstance(state, AgentState)
            if condition(state):
                return state

    def close(self):
        self._sock.close()


@pytest.fixture
def empty_engine(site):
    return site.add_engine("engine-1", "127.0.0.2", version=None)


@pytest.fixture
def subscriber(site, empty_engine, start_agent):
    start_agent(empty_engine)
    subscriber = _Subscriber(Address("127.0.0.2", site.internal_port))
    yield subscriber
    subscriber.close()


def test_entries_are_told_when_the_engine_refuses_connections(empty_engine, subscriber):
    subscriber.receive_until(lambda state: state.started_ms == 1)
    empty_engine.stop()
    state = subscriber.receive_until(lambda state: state.is_down)
    assert state.started_ms == 1


def test_entries_are_told_when_the_engine_has_restarted(empty_engine, subscriber):
    subscriber.receive_until(lambda state: state.started_ms == 1)
    empty_engine.engine.started_ms = 2
    state = subscriber.receive_until(lambda state: state.started_ms != 1)
    assert (state.started_ms, state.is_down) == (2, False)


@pytest.mark.parametrize(
    ("failure", "is_down"),
    [
        (ExchangeFailure(FailureKind.CONNECT, False, "refused", is_refused=True), True),
        (ExchangeFailure(FailureKind.CONNECT, False, "no answer"), False),
        (ExchangeFailure(FailureKind.SILENT, True, "no response"), False),
        (ExchangeFailure(FailureKind.RESET, True, "reset"), False),
    ],
)
def test_only_a_refused_connection_shows_that_the_engine_is_down(
    site, empty_engine, failure, is_down
):
    document = site.make_settings(name="agent", host="127.0.0.2", upstream=empty_engine)
    agent = Agent.from_config(decode_settings(document))
    agent._on_report(failure)
    assert agent._is_engine_down is is_down

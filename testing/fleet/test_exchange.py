"""Encoding of the datagrams between entries and agents."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.calls.engine import EngineLoad
from bamboolever.fleet import exchange
from bamboolever.fleet.echoes import Echo
from bamboolever.fleet.messages import (
    NamedLimit,
    PermitGrant,
    PermitRequest,
    ReportedCrash,
)
from bamboolever.fleet.records import upstream_key
from bamboolever.net.addresses import Address

MESSAGES = [
    exchange.Hello("entry-1"),
    exchange.Hello("entry-1", sequence=2**47, echo=Echo(2**48, 0.25)),
    exchange.Hello(
        "entry-1",
        "zone-a/0",
        "zone-b/0",
        (exchange.RolloutAge("m", 2, 1.5), exchange.RolloutAge("m", 3, None)),
    ),
    exchange.EntryLoad(
        "entry-1", 1, 3, {}, True, "zone-a/0", (4, -4), "zone-b/0", 2, (5, 6), True
    ),
    exchange.CellSummary(
        "zone-b/0",
        {
            5: exchange.UpstreamSummary(EngineLoad(1, 2, 300, 1.5), "m", 2, True),
            -6: exchange.UpstreamSummary(EngineLoad(), "", 0, False),
        },
    ),
    exchange.StoreUpdate("config", 2, 7, 9, b"body", 0.501, 1, 2, 0.25),
    exchange.StoreUpdate("config", 2, 7, 9, None, 0.001),
    exchange.StoreUpdate("config", 2, 9, 9, b"", 0.001),
    exchange.StoreUpdate("config", 2, 9, 9, b"", None),
    exchange.EntryLoad("entry-1", 1, 2, {-5: EngineLoad(1, 2, 300)}),
    exchange.AgentState(
        Address("10.0.0.1", 80), True, 3, 1.5, (Address("10.0.0.2", 81),)
    ),
    exchange.AgentState(
        Address("10.0.0.1", 80),
        False,
        0,
        1.0,
        (),
        (exchange.RolloutAge("model", 2, 1.5),),
        "model",
    ),
    exchange.AgentState(Address("10.0.0.1", 80), False, None, 1.0, ()),
    exchange.AgentState(
        Address("10.0.0.1", 80), False, 0, 1.0, (), sequence=5, echo=Echo(6, 1.5)
    ),
    exchange.PieceMap("model", 2, (1 << 95) | 5, True),
    exchange.PieceMap("model", 2, 0),
    exchange.PieceMap("model", 2, 5, False, 3, True),
    exchange.PieceMap("model", 2, 5, is_named=True),
    exchange.AgentState(
        Address("10.0.0.1", 80), False, 0, 1.0, (), started_ms=2**41, is_down=True
    ),
    exchange.CrashReport(),
    exchange.CrashReport(
        (ReportedCrash(-(2**63), -5, 1.25), ReportedCrash(5, 6, 0.0)),
        {-9: 1.25, 3: 0.0},
        (-7, 8),
        (ReportedCrash(-(2**63), -5, 1.25, 2),),
        {-4: 0.5},
        (2**62, -1),
        (-(2**62),),
    ),
    exchange.Rejections({-9: 1.25, 3: 0.0}),
    exchange.NamedLimits(
        (NamedLimit(-5, 2**62, 0.5, 1.25, 1.0), NamedLimit(6, 1, None, 1.0, 1.0))
    ),
    exchange.PermitRequests((PermitRequest(-5, 2**61, 8),)),
    exchange.PermitGrants((PermitGrant(-5, 2**61, 3, 0.25, 1.5),)),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_decoding_an_encoded_message_returns_it(message):
    assert exchange.decode(exchange.encode(message)) == message


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_exchange_error(data):
    try:
        exchange.decode(data)
    except exchange.ExchangeError:
        pass


def test_truncated_datagram_never_decodes_to_the_original_message():
    data = exchange.encode(MESSAGES[1])
    for size in range(len(data) - 1):
        try:
            assert exchange.decode(data[:size]) != MESSAGES[1]
        except exchange.ExchangeError:
            pass


def test_restarted_upstream_has_another_key():
    assert upstream_key("up", 1) != upstream_key("up", 2)


@pytest.mark.parametrize(
    "limit",
    [
        NamedLimit(5, 1, float("nan"), 1.0, 1.0),
        NamedLimit(5, 1, float("inf"), 1.0, 1.0),
        NamedLimit(5, 1, -2.0, 1.0, 1.0),
        NamedLimit(5, 1, 1.0, 1.0, 2.0),
        NamedLimit(5, 1, 1.0, -1.0, -2.0),
    ],
)
def test_limit_that_no_upstream_names_is_dropped(limit):
    message = exchange.NamedLimits((limit, NamedLimit(6, 1, 1.0, 1.0, 1.0)))
    decoded = exchange.decode(exchange.encode(message))
    assert [each.upstream for each in decoded.limits] == [6]


MONTH_S = 30 * 86400.0


@pytest.mark.parametrize(
    "message",
    [
        exchange.Hello("e", "", "", (exchange.RolloutAge("m", 1, MONTH_S),)),
        exchange.Hello("e", echo=Echo(1, MONTH_S)),
        exchange.AgentState(Address("10.0.0.1", 80), False, 0, 1.0, (), active=2**32),
        exchange.EntryLoad("e", 1, 2, {5: EngineLoad(1, 1, 2**32)}),
        exchange.StoreUpdate("config", 1, 2, 3, b"", MONTH_S, 1, 1, MONTH_S),
        exchange.Rejections({5: MONTH_S}),
        exchange.CellSummary(
            "c", {5: exchange.UpstreamSummary(EngineLoad(1, 2, 2**32), "m", 2, True)}
        ),
    ],
)
def test_message_of_a_process_that_has_run_for_months_is_encoded(message):
    """Guards against an exchange that ends 24 days after a version was named."""
    assert type(exchange.decode(exchange.encode(message))) is type(message)


def test_age_over_the_range_of_a_datagram_is_the_highest_in_it():
    hello = exchange.Hello("e", "", "", (exchange.RolloutAge("m", 1, MONTH_S),))
    decoded = exchange.decode(exchange.encode(hello))
    assert decoded.rollouts[0].age_s == (2**31 - 1) / 1000


@pytest.mark.parametrize("slowdown", [math.nan, math.inf, -1.0])
def test_slowdown_that_is_no_factor_is_rejected(slowdown):
    state = exchange.AgentState(Address("10.0.0.1", 80), False, 0, slowdown, ())
    with pytest.raises(exchange.ExchangeError):
        exchange.decode(exchange.encode(state))


def test_ages_and_counts_below_zero_are_zero():
    load = exchange.EntryLoad("e", 1, 2, {5: EngineLoad(-1, -2, -3)})
    assert exchange.decode(exchange.encode(load)).loads == {5: EngineLoad()}
    rejections = exchange.Rejections({5: -1.0})
    assert exchange.decode(exchange.encode(rejections)).ages_s == {5: 0.0}

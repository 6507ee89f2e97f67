"""An entry's messages about limits: who is told what, and which upstreams of cells."""

import pytest
from sitebuilders import make_view

from bamboolever._telemetry import Telemetry
from bamboolever.calls.limits import UNCONFIRMED_S, LimitStatement
from bamboolever.daemons.limitscope import FleetLimitScope, LimitScope
from bamboolever.daemons.upstreamlimits import UpstreamLimits
from bamboolever.fleet.messages import NamedLimit, NamedLimits, PermitRequests
from bamboolever.net.addresses import Address
from bamboolever.net.messages import ResponseHead
from bamboolever.platform import calls

OWN, OTHER = Address("10.0.0.1", 1), Address("10.0.0.2", 1)


class _Scope(LimitScope):
    """One upstream; ``keeper`` hands out its permits."""

    def __init__(self, view, keeper):
        self.view = view
        self.keeper = keeper

    @property
    def own_address(self):
        return OWN

    def find_view(self, key):
        return self.view if key == self.view.key else None

    def live_entries(self, now):
        return [OTHER]

    def known_entries(self):
        return [OTHER]

    def cell_share(self, view):
        return 1.0

    def keeper_of(self, key, now):
        return self.keeper


class _Entry:
    """An `UpstreamLimits` with a clock and what it sent."""

    def __init__(self, keeper=OWN):
        self.now = 100.0
        self.view = make_view()
        self.sent = []
        self.told_all = []
        self.limits = UpstreamLimits(
            lambda: self.now,
            Telemetry("entry"),
            _Scope(self.view, keeper),
            lambda message, address: self.sent.append((message, address)),
            self.told_all.append,
            lambda delay_s, action: None,
            lambda: None,
            name="entry",
            started_ms=1,
        )

    def hear(self, per_s):
        self.now += 1.0
        self.limits.on_response(self.view, per_s, self.now - 0.1)


def test_all_entries_are_told_when_a_limit_is_named_changes_and_ends():
    entry = _Entry()
    for per_s in (None, 1.0, 1.0, 2.0, None, None):
        entry.hear(per_s)
    told = [limit.per_s for message in entry.told_all for limit in message.limits]
    assert told == [1.0, 2.0, None]


@pytest.mark.parametrize(("keeper", "expected"), [(OWN, 1), (OTHER, 0)])
def test_keeper_alone_repeats_a_limit(keeper, expected):
    """Guards against as many repetitions as there are entries."""
    entry = _Entry(keeper)
    entry.hear(1.0)
    entry.told_all.clear()
    entry.limits.repeat()
    assert len(entry.told_all) == expected


def test_silent_keeper_is_told_the_limit_with_the_next_request():
    """Guards against a keeper that has missed the limit and never answers."""
    entry = _Entry(OTHER)
    entry.hear(1.0)
    for _ in range(2):
        entry.now += 1.0
        entry.view.limit.want_permit()
        entry.limits.ask([entry.view])
    kinds = [type(message) for message, _ in entry.sent]
    assert kinds == [PermitRequests, NamedLimits, PermitRequests]


def test_entry_that_missed_the_end_of_a_limit_is_told_when_it_asks():
    entry = _Entry()
    entry.hear(1.0)
    entry.hear(None)
    entry.now += 30.0
    asking = _Entry(OWN)
    asking.view.limit.want_permit()
    asking.hear(1.0)
    asking.limits._scope.keeper = OTHER
    asking.limits.ask([asking.view])
    ((request, _),) = asking.sent
    entry.limits.apply(request, OTHER)
    ((answer, address),) = entry.sent
    assert address == OTHER
    assert [limit.per_s for limit in answer.limits] == [None]


def test_limit_of_another_cells_engine_is_forgotten_when_nobody_repeats_it():
    """Guards against an engine that is lost for good after its cell's entries ended."""
    entry = _Entry()
    entry.view.is_home = False
    named = NamedLimits((NamedLimit(entry.view.key, 5, 1.0, 0.2, 0.1),))
    entry.limits.apply(named, OTHER)
    entry.now += UNCONFIRMED_S - 1.0
    entry.limits.apply(named, OTHER)
    entry.now += UNCONFIRMED_S - 1.0
    entry.limits.repeat()
    assert entry.view.limit.per_s == 1.0
    entry.now += 1.0
    entry.limits.repeat()
    assert entry.view.limit.per_s is None


def test_engine_with_a_limit_takes_no_requests_of_other_cells(
    engines, plain_upstreams, start_entry
):
    fleet = start_entry().wait_ready(4).entry.fleet
    (first, second) = (fleet._views[engine.instance_id] for engine in engines)
    first.limit.learn(LimitStatement(1, 1.0, 1.0, 2.0), 3.0)
    upstreams = fleet.build_summary(OTHER, 3.0).upstreams
    assert not upstreams[first.key].takes_requests
    assert upstreams[second.key].takes_requests


def test_cells_share_the_permits_of_plain_upstreams_only(
    engines, plain_upstreams, start_entry, monkeypatch
):
    fleet = start_entry().wait_ready(4).entry.fleet
    monkeypatch.setattr(type(fleet), "cell_count", 4)
    scope = FleetLimitScope(fleet)
    assert scope.cell_share(fleet._views[engines[0].instance_id]) == 1.0
    assert scope.cell_share(fleet._views["plain-1"]) == 0.25


SIGNED = (b"Bamboolever-Response-Signature", b"s")
LIMIT = (b"Server-Limit", b"0.5")


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (SIGNED, LIMIT), True),
        (200, (SIGNED,), True),
        (500, (SIGNED,), True),
        (503, (LIMIT,), True),
        (503, (), False),
        (421, (LIMIT,), False),
        (421, (SIGNED,), False),
    ],
)
def test_rejections_and_other_instances_do_not_end_a_limit(status, headers, expected):
    assert calls.states_limit(ResponseHead(status, headers)) is expected

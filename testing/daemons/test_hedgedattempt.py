"""Hedged requests of entries, over fakes of connections and upstreams."""

import dataclasses
import itertools
import random

import pytest
from manualtask import ManualTask
from sitebuilders import make_route, make_view, views_of, wait_for

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import PromptParts
from bamboolever.config.model import RouteKind
from bamboolever.daemons.entryexchange import EntryExchange
from bamboolever.daemons.entryfleet import EntryFleet
from bamboolever.daemons.inflightcalls import InFlightCalls
from bamboolever.daemons.process import main, make_parser
from bamboolever.daemons.relay import CallRelay
from bamboolever.net.addresses import Address
from bamboolever.net.exchange import ExchangeFailure, FailureKind
from bamboolever.net.messages import Request, ResponseHead
from bamboolever.platform.calls import CallMetadata
from bamboolever.platform.nodefile import decode_settings
from bamboolever.platform.standins.site import find_free_port
from bamboolever.platform.standins.upstream import Behaviour

SERVICE = "order-service"
USUAL_S = 0.03
SLOW_S = 0.3
# Longer than the delay after which the attempts of `_learn` count as slow.
AFTER_DELAY_S = 0.04


class TaskOfFakes(ManualTask):
    def send(self, action):
        self.call_later(0.0, action)


class FakeExchange:
    """One request at an upstream, and the connection that carries it."""

    request_count = 1
    round_trip_s = 0.001

    def __init__(self, address, request, handler):
        self.address = address
        self.handler = handler
        self.attempt_id = dict(request.headers)[b"Bamboolever-Attempt-Id"]
        self.is_cancelled = False
        self.is_answered = False

    def cancel(self):
        self.is_cancelled = not self.is_answered

    def answer(self, kind):
        if self.is_cancelled or self.is_answered:
            return
        if kind == "cut":
            self.is_answered = True
            failure = ExchangeFailure(FailureKind.RESET, True, "reset")
            self.handler.on_failure(failure)
            return
        attempt_id = b"another" if kind == "foreign" else self.attempt_id
        headers = [(b"bamboolever-attempt-id", attempt_id), (b"content-length", b"2")]
        if kind != "unsigned":
            headers.append((b"bamboolever-response-signature", b"s"))
        if kind == "not-run":
            headers.append((b"bamboolever-not-executed", b"1"))
        status = {"error": 500, "not-run": 503, "bad": 400}.get(kind, 200)
        head = ResponseHead(status, tuple(headers))
        if not self.handler.accepts(head):
            return
        self.handler.on_head(head)
        if self.is_cancelled:
            return
        self.handler.on_data(str(self.address.port).encode())
        if not self.is_cancelled and kind != "half":
            self.is_answered = True
            self.handler.on_end()


class FakeUpstreams:
    """A pool whose upstreams answer as ``plan`` says, by the number in the port.

    ``plan`` returns the seconds and the kind of an answer, None for none.
    """

    def __init__(self, task, plan):
        self.task = task
        self.plan = plan
        self.exchanges = []

    def send(self, address, request, handler):
        exchange = FakeExchange(address, request, handler)
        self.exchanges.append(exchange)
        answer = self.plan(address.port)
        if answer is not None:
            delay_s, kind = answer
            self.task.call_later(delay_s, lambda: exchange.answer(kind))
        return exchange

    @property
    def open(self):
        return [
            each
            for each in self.exchanges
            if not each.is_cancelled and not each.is_answered
        ]


class FakeCaller:
    def __init__(self):
        self.responses = []

    def respond(self, status, headers, body=b""):
        self.responses.append((status, body))

    def abort(self):
        self.responses.append(("cut", b""))


class FakeEntry:
    """The calls of one entry, over fakes of its connections."""

    def __init__(self, site, task, pool, *, share, upstreams, number=1, slack=1000):
        document = site.make_settings(name=f"entry-{number}", host="127.0.0.8")
        document["bounds"].update(retryBudgetSlack=slack)
        settings = dataclasses.replace(decode_settings(document), hedge_share=share)
        self.task, self.pool = task, pool
        self.telemetry = Telemetry(settings.name)
        fleet = EntryFleet(settings, 1)
        address = Address("127.0.0.8", find_free_port())
        exchange = EntryExchange(
            task, settings.name, address, fleet, self.telemetry, bool, bool
        )
        self.calls = InFlightCalls(task, self.telemetry, fleet, exchange, settings)
        self.calls.pool = pool
        self.views = [
            make_view(
                f"up-{n}",
                service=SERVICE,
                slots=6,
                address=Address("127.0.0.1", n),
                availability_zone=f"zone-{n % 3}",
            )
            for n in range(upstreams)
        ]
        self.dispatcher = fleet.dispatcher(SERVICE)
        self.dispatcher.set_upstreams(self.views)
        self.relays = []

    def learn(self, *, tokens=3):
        """Observe responses of the usual time, and earn extra requests."""
        for _ in range(200):
            self.calls.hedges.on_response(SERVICE, USUAL_S)
        for _ in range(10 * tokens):
            self.calls.hedges.on_first_attempt(SERVICE)

    def call(self, **route):
        caller = FakeCaller()
        attempt_id = b"attempt-%d" % len(self.relays)
        headers = ((b"Bamboolever-Attempt-Id", attempt_id),)
        relay = CallRelay(
            self.calls,
            caller,
            Request(b"POST", b"/lookup/1", headers, b""),
            CallMetadata(attempt_id, "h", "/lookup/1", None, None),
            make_route(**{"max_attempts": 2, **route}),
            SERVICE,
            None,
            call_id=self.calls.new_call_id(),
            first_attempt_age_s=0.0,
            digest=len(self.relays),
            prompt=PromptParts(),
        )
        self.relays.append(relay)
        self.calls.start(relay)
        return relay

    def count(self, name, attribute="service"):
        return self.telemetry.sum_by_attribute(name, attribute)

    @property
    def sent_hedges(self):
        return sum(self.count("hedge.sent").values())

    def assert_nothing_is_left(self):
        """Check that each call had one answer and holds nothing any more."""
        self.task.advance(10.0)
        assert self.calls.in_flight == 0
        assert not self.pool.open
        assert all(len(r.caller_connection.responses) == 1 for r in self.relays)
        assert not any(view.calls for view in self.views)


@pytest.fixture
def make_entry(site):
    task = TaskOfFakes()
    numbers = itertools.count()

    def make(plan, *, share=0.1, upstreams=10, slack=1000):
        pool = FakeUpstreams(task, plan)
        return FakeEntry(
            site,
            task,
            pool,
            share=share,
            upstreams=upstreams,
            number=next(numbers),
            slack=slack,
        )

    return make


class Script:
    """Answers of the first, second and further attempts, whichever upstream it is."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def __call__(self, _number):
        return self.answers.pop(0) if self.answers else (USUAL_S, "ok")


def _answers(relay):
    return relay.caller_connection.responses


def _run(entry, requests, gap_s=0.02):
    for _ in range(requests):
        entry.call()
        entry.task.advance(gap_s)
    entry.assert_nothing_is_left()
    return sorted(
        relay.record.first_byte_s
        for relay in entry.relays
        if relay.record.first_byte_s is not None
    )


def test_one_slow_upstream_in_ten_does_not_delay_its_requests(make_entry):
    def plan(number):
        return (SLOW_S if number == 3 else USUAL_S, "ok")

    without = _run(make_entry(plan, share=0.0), 500)
    entry = make_entry(plan, share=0.2)
    entry.learn()
    times = _run(entry, 500)
    assert without[480] == pytest.approx(SLOW_S)
    assert times[480] < SLOW_S / 2
    assert 0 < entry.sent_hedges <= 0.2 * (500 + 30)
    assert entry.count("hedge.ended", "outcome").get("won")


def test_all_upstreams_slow_gives_no_more_than_the_share(make_entry):
    """Guards against a wave of hedged requests when everything becomes slow."""
    entry = make_entry(lambda _number: (SLOW_S, "ok"), share=0.1)
    entry.learn()
    times = _run(entry, 300)
    assert len(times) == 300
    assert entry.sent_hedges <= 0.1 * (300 + 30)
    assert entry.count("hedge.withheld", "reason")["share-used"] > 0
    # By then, slow is what most responses are.
    assert entry.calls.hedges._of(SERVICE).find_delay_s(entry.task.now()) > USUAL_S * 5


def test_faster_hedge_answers_and_the_slow_attempt_is_cancelled(make_entry):
    """Guards against a stray response on a connection that is used again."""
    entry = make_entry(Script((SLOW_S, "ok"), (USUAL_S, "ok")))
    entry.learn()
    relay = entry.call()
    entry.task.advance(AFTER_DELAY_S + USUAL_S)
    first, hedge = entry.pool.exchanges
    assert _answers(relay) == [(200, str(hedge.address.port).encode())]
    assert first.address != hedge.address
    assert first.is_cancelled and not hedge.is_cancelled
    assert not any(view.calls for view in entry.views)
    assert relay.record.hedge_outcome == "won"
    entry.assert_nothing_is_left()


def test_faster_first_attempt_answers_and_the_hedge_is_cancelled(make_entry):
    entry = make_entry(Script((0.05, "ok"), (SLOW_S, "ok")))
    entry.learn()
    relay = entry.call()
    entry.task.advance(0.06)
    first, hedge = entry.pool.exchanges
    assert _answers(relay) == [(200, str(first.address.port).encode())]
    assert hedge.is_cancelled and relay.record.hedge_outcome == "lost"
    entry.assert_nothing_is_left()


@pytest.mark.parametrize("kind", ["error", "cut", "not-run", "unsigned", "bad"])
def test_failed_hedge_leaves_the_first_attempt(make_entry, kind):
    entry = make_entry(Script((SLOW_S, "ok"), (USUAL_S, kind)))
    entry.learn()
    relay = entry.call()
    entry.task.advance(SLOW_S + 0.01)
    first, _hedge = entry.pool.exchanges
    assert _answers(relay) == [(200, str(first.address.port).encode())]
    assert relay.record.hedge_outcome == "failed"
    assert entry.count("hedge.ended", "outcome") == {"failed": 1}
    entry.assert_nothing_is_left()


@pytest.mark.parametrize("kind", ["half", "foreign"])
def test_incomplete_or_foreign_response_never_reaches_the_caller(make_entry, kind):
    entry = make_entry(Script((SLOW_S, "ok"), (USUAL_S, kind)))
    entry.learn()
    relay = entry.call()
    entry.task.advance(SLOW_S + 0.01)
    first, hedge = entry.pool.exchanges
    assert _answers(relay) == [(200, str(first.address.port).encode())]
    assert hedge.is_cancelled
    entry.assert_nothing_is_left()


@pytest.mark.parametrize("kind", ["error", "cut"])
def test_hedge_is_awaited_instead_of_a_retry(make_entry, kind):
    entry = make_entry(Script((0.05, kind), (0.1, "ok")))
    entry.learn()
    relay = entry.call()
    entry.task.advance(0.06)
    assert not _answers(relay) and len(entry.pool.exchanges) == 2
    entry.task.advance(0.1)
    assert _answers(relay)[0][0] == 200
    assert len(entry.pool.exchanges) == 2
    entry.assert_nothing_is_left()


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        ("error", "cut", 500),
        ("cut", "error", 502),
        ("not-run", "error", 502),
        ("not-run", "not-run", 503),
    ],
)
def test_failure_of_both_ends_the_call_truthfully(make_entry, first, second, status):
    """Guards against "has not run" for a request whose hedge has run."""
    entry = make_entry(Script((0.05, first), (0.05, second)))
    entry.learn()
    relay = entry.call()
    entry.task.advance(0.2)
    assert [answer[0] for answer in _answers(relay)] == [status]
    assert len(entry.pool.exchanges) == 2
    entry.assert_nothing_is_left()


def test_third_attempt_follows_if_the_route_allows_it(make_entry):
    entry = make_entry(Script((0.05, "error"), (0.05, "error")))
    entry.learn()
    relay = entry.call(max_attempts=3)
    entry.task.advance(0.2)
    assert _answers(relay)[0][0] == 200
    upstreams = {each.address for each in entry.pool.exchanges}
    assert len(upstreams) == len(entry.pool.exchanges) == 3
    entry.assert_nothing_is_left()


def test_caller_that_leaves_ends_both_attempts(make_entry):
    entry = make_entry(Script(None, None))
    entry.learn()
    relay = entry.call(target_latency_s=5.0)
    entry.task.advance(AFTER_DELAY_S)
    assert len(entry.pool.open) == 2
    entry.calls.on_caller_gone(relay.caller_connection)
    assert not entry.pool.open
    assert not any(view.calls for view in entry.views)
    assert entry.count("hedge.ended", "outcome") == {"cancelled": 1}
    entry.task.advance(10.0)
    assert not _answers(relay)


def test_timeout_ends_both_attempts(make_entry):
    entry = make_entry(Script(None, None))
    entry.learn()
    relay = entry.call(timeout_s=0.3)
    entry.task.advance(0.31)
    assert [answer[0] for answer in _answers(relay)] == [504]
    assert not entry.pool.open
    entry.assert_nothing_is_left()


def test_silent_hedge_ends_with_its_own_limit(make_entry):
    entry = make_entry(Script((0.05, "cut"), None))
    entry.learn()
    relay = entry.call()
    entry.task.advance(1.0)
    assert [answer[0] for answer in _answers(relay)] == [502]
    entry.assert_nothing_is_left()


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_other_kinds_of_routes_are_never_hedged(make_entry, kind):
    """Guards against an order that runs twice."""
    entry = make_entry(Script((SLOW_S, "ok")))
    entry.learn()
    relay = entry.call(kind=kind)
    entry.task.advance(SLOW_S + 0.01)
    assert len(entry.pool.exchanges) == 1
    assert relay.record.hedge_upstream is None
    assert not entry.count("hedge.withheld", "reason")


def test_off_by_default(make_entry):
    entry = make_entry(Script((SLOW_S, "ok")), share=0.0)
    entry.learn()
    entry.call()
    entry.task.advance(SLOW_S + 0.01)
    assert len(entry.pool.exchanges) == 1
    assert not entry.calls.hedges._services
    assert not entry.count("hedge.withheld", "reason")
    assert make_parser().parse_args(["entry"]).hedge_share == 0.0


@pytest.mark.parametrize(
    ("reason", "options", "route"),
    [
        ("share-used", {"share": 0.0001}, {}),
        ("no-retry", {"slack": 0}, {}),
        ("no-upstream", {"upstreams": 1}, {}),
        ("attempts-used", {}, {"max_attempts": 1}),
        ("no-time-left", {}, {"timeout_s": 0.06}),
    ],
)
def test_withheld_hedges_are_counted_by_reason(make_entry, reason, options, route):
    entry = make_entry(Script((SLOW_S, "ok")), **options)
    entry.learn()
    entry.call(**route)
    entry.task.advance(SLOW_S + 0.01)
    assert len(entry.pool.exchanges) == 1
    assert entry.count("hedge.withheld", "reason") == {reason: 1}


def test_delay_is_unknown_before_enough_responses(make_entry):
    entry = make_entry(Script((SLOW_S, "ok")))
    entry.call()
    entry.task.advance(SLOW_S + 0.01)
    assert len(entry.pool.exchanges) == 1
    assert entry.count("hedge.withheld", "reason") == {"unknown-delay": 1}


def test_share_holds_over_36_entries(make_entry):
    source = random.Random(3)
    share, requests = 0.05, 1500

    def plan(_number):
        return (SLOW_S if source.random() < 0.3 else USUAL_S, "ok")

    entries = [make_entry(plan, share=share) for _ in range(36)]
    for entry in entries:
        for _ in range(400):
            entry.calls.hedges.on_response(SERVICE, USUAL_S)
    for _ in range(requests):
        source.choice(entries).call()
        entries[0].task.advance(0.01)
    for entry in entries:
        entry.assert_nothing_is_left()
    assert 0 < sum(entry.sent_hedges for entry in entries) <= share * requests


def test_caller_of_a_hedged_request_gets_its_own_answer_over_sockets(
    plain_upstreams, start_entry
):
    """Guards against a stray response on a connection that is used again."""
    entry = start_entry().wait_ready(2)
    hedges = entry.entry.calls.hedges

    def enable():
        hedges._share = 1.0
        for _ in range(200):
            hedges.on_response(SERVICE, USUAL_S)

    entry.entry.task.send(enable)
    wait_for(lambda: hedges._services)
    connection = entry.connect()
    # The retry budget of one entry allows ten hedged requests at once.
    for number in range(8):
        for upstream in plain_upstreams:
            upstream.behaviours.clear()
        attempt_id = f"own-{number}"
        plain_upstreams[number % 2].behaviours.append(Behaviour.MUTE)
        response = entry.call(
            f"/lookup/{number}",
            connection=connection,
            Bamboolever_Attempt_Id=attempt_id,
        )
        assert (response.status, response.body) == (
            200,
            b"answer to " + attempt_id.encode(),
        )
    wait_for(lambda: not any(view.calls for view in views_of(entry).values()))
    assert entry.entry.telemetry.sum_by_attribute("hedge.ended", "outcome").get("won")
    assert not entry.entry.telemetry.sum_by_attribute("call.retry", "outcome")


@pytest.mark.parametrize("value", ["-0.1", "1.1", "nan", "inf", "many", ""])
def test_bad_share_is_an_error(value, capsys):
    with pytest.raises(SystemExit) as error:
        main(["entry", f"--hedge-share={value}"])
    assert error.value.code == 2
    assert "is not a number from 0 to 1" in capsys.readouterr().err


def test_hedge_goes_to_no_upstream_outside_the_allowed_regions(make_entry):
    """Guards against a second attempt that leaves the regions of its route."""
    entry = make_entry(lambda _number: (SLOW_S, "ok"), share=1.0, upstreams=3)
    entry.learn(tokens=50)
    entry.views[0].region = "cape"
    relays = [entry.call(allowed_regions=frozenset({"cape"})) for _ in range(3)]
    entry.task.advance(2 * SLOW_S)
    entry.assert_nothing_is_left()
    assert {relay.record.upstreams[0] for relay in relays} == {"up-0"}
    assert entry.sent_hedges == 0
    assert [_answers(relay)[0][0] for relay in relays] == [200, 200, 200]

"""What entries tell each other of requests that crash upstreams."""

import logging

import pytest

from bamboolever._telemetry import Telemetry
from bamboolever.calls.parts import PartVerdict, PromptParts
from bamboolever.calls.poison import CRASH_MAX_AGE_S, CRASHES_TO_BLOCK
from bamboolever.daemons.crashreports import CrashReports
from bamboolever.fleet import exchange
from bamboolever.fleet.crashfacts import MAX_CRASHES_PER_DATAGRAM, MAX_REPEATED
from bamboolever.fleet.messages import CrashReport, ReportedCrash
from bamboolever.net.datagrams import MAX_DATAGRAM_BYTES

POISON = 7
MAX_UNFRAGMENTED_BYTES = 1400


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def crashes(clock, sent):
    return CrashReports(clock, Telemetry("entry"), sent.append)


def _crash(crashes, clock, *upstreams, digest=POISON):
    for upstream in upstreams:
        crashes.on_broken_response(upstream, digest, clock())
        crashes.on_upstream_ended(upstream, "agent")


def test_crash_is_reported_at_once_with_its_age(crashes, clock, sent):
    crashes.on_broken_response(5, POISON, clock() - 0.5)
    assert sent == []
    crashes.on_upstream_ended(5, "agent")
    assert sent == [CrashReport((ReportedCrash(POISON, 5, 0.5),))]


def test_end_without_suspects_is_not_reported(crashes, sent):
    crashes.on_upstream_ended(5, "list")
    assert sent == []


def test_response_that_breaks_after_the_known_end_is_reported(crashes, clock, sent):
    crashes.on_upstream_ended(5, "agent")
    crashes.on_broken_response(5, POISON, clock())
    assert sent == [CrashReport((ReportedCrash(POISON, 5, 0.0),))]


def test_refused_connection_is_reported_once(crashes, clock, sent):
    crashes.on_connection_refused(5)
    crashes.on_connection_refused(5)
    assert sent == [CrashReport(ended=(5,))]


def test_end_that_another_entry_saw_counts_the_crash(crashes, clock):
    crashes.on_broken_response(5, POISON, clock())
    crashes.apply(CrashReport(ended=(5,)))
    assert [crash.upstream for crash in crashes.tracker.crashes_by(POISON)] == [5]


def test_crashes_that_different_entries_saw_add_up(crashes, clock):
    _crash(crashes, clock, 1)
    reported = tuple(ReportedCrash(POISON, key, 0.1) for key in (1, 2))
    crashes.apply(CrashReport(reported))
    assert not crashes.tracker.is_blocked(POISON, clock())
    crashes.apply(CrashReport((ReportedCrash(POISON, 3, 0.1),)))
    assert crashes.tracker.is_blocked(POISON, clock())


def test_reported_crash_ages_on_this_entrys_clock(crashes, clock):
    for key in range(CRASHES_TO_BLOCK):
        crashes.apply(CrashReport((ReportedCrash(POISON, key, 100.0),)))
    assert crashes.tracker.is_blocked(POISON, clock())
    clock.now_s += CRASH_MAX_AGE_S - 99.0
    assert not crashes.tracker.is_blocked(POISON, clock())


def test_completion_is_reported_only_if_it_voids_a_crash(crashes, clock, sent):
    crashes.on_completed(POISON, 9, clock())
    assert sent == []
    clock.now_s += 1.0
    _crash(crashes, clock, 1)
    sent.clear()
    crashes.on_completed(POISON, 9, clock())
    assert sent == [CrashReport(completed_ages_s={POISON: 0.0})]


def test_entry_that_missed_a_completion_is_told_of_it(crashes, clock, sent):
    crashes.on_completed(POISON, 9, clock())
    clock.now_s += 1.0
    crashes.apply(CrashReport((ReportedCrash(POISON, 1, 2.0),)))
    assert sent == [CrashReport(completed_ages_s={POISON: 1.0})]
    assert not crashes.tracker.crashes_by(POISON)


def test_reported_completion_voids_crashes(crashes, clock):
    _crash(crashes, clock, 1, 2, 3)
    clock.now_s += 1.0
    crashes.apply(CrashReport(completed_ages_s={POISON: 0.5}))
    assert not crashes.tracker.is_blocked(POISON, clock())


def test_only_requests_near_their_block_are_repeated(crashes, clock, sent):
    _crash(crashes, clock, 1, 2)
    _crash(crashes, clock, 3, digest=8)
    sent.clear()
    crashes.repeat()
    assert [crash.digest for crash in sent[0].crashes] == [POISON, POISON]
    clock.now_s += CRASH_MAX_AGE_S + 1.0
    sent.clear()
    crashes.repeat()
    assert sent == []


def test_report_of_many_crashes_fits_into_datagrams(crashes, clock, sent):
    digests = [2**63 - 1 - number for number in range(MAX_CRASHES_PER_DATAGRAM)]
    for digest in digests:
        crashes.on_broken_response(2**31 - 1, digest, clock() - CRASH_MAX_AGE_S + 1.0)
        crashes.on_broken_response(-(2**31), digest, clock() - CRASH_MAX_AGE_S + 1.0)
    crashes.on_upstream_ended(2**31 - 1, "agent")
    crashes.on_upstream_ended(-(2**31), "agent")
    sizes = [len(exchange.encode(report)) for report in sent]
    assert max(sizes) <= MAX_UNFRAGMENTED_BYTES < MAX_DATAGRAM_BYTES
    names = {(crash.digest, crash.upstream) for each in sent for crash in each.crashes}
    assert len(names) == 2 * MAX_CRASHES_PER_DATAGRAM


PART = PromptParts(("a1",), (70,))
TRIAL = PromptParts(("a1",), (70,), (70,))


def _crash_part(crashes, clock, *upstreams, prompt=PART):
    for upstream in upstreams:
        crashes.on_broken_response(upstream, upstream, clock(), prompt)
        crashes.on_upstream_ended(upstream, "agent")


def test_crash_is_reported_for_the_parts_too(crashes, clock, sent):
    _crash_part(crashes, clock, 5, prompt=TRIAL)
    assert sent == [
        CrashReport((ReportedCrash(5, 5, 0.0),)),
        CrashReport(part_crashes=(ReportedCrash(70, 5, 0.0, 1),)),
    ]


def test_trial_is_announced_repeated_and_its_end_without_evidence_told(
    crashes, clock, sent
):
    _crash_part(crashes, clock, 1, 2)
    sent.clear()
    crashes.begin_trial(TRIAL)
    crashes.repeat()
    assert [report.trials for report in sent if report.trials] == [(70,), (70,)]
    sent.clear()
    crashes.end_trial(TRIAL)
    assert sent == [CrashReport(ended_trials=(70,))]


def test_request_without_a_trial_announces_none(crashes, sent):
    crashes.begin_trial(PART)
    crashes.end_trial(PART)
    assert sent == []


def test_trial_of_one_entry_holds_back_another(clock):
    second = CrashReports(clock, Telemetry("second"), lambda report: None)
    first = CrashReports(clock, Telemetry("first"), second.apply)
    _crash_part(first, clock, 1, 2)
    assert second.decide(PART).verdict is PartVerdict.TRIAL
    first.begin_trial(TRIAL)
    assert second.decide(PART).verdict is PartVerdict.WAIT
    first.on_completed(9, 3, clock(), TRIAL)
    assert second.decide(PART).verdict is PartVerdict.FREE


def test_changes_of_a_part_are_logged_with_its_id_and_crashes(crashes, clock, caplog):
    caplog.set_level(logging.INFO)
    _crash_part(crashes, clock, 1, 2)
    _crash_part(crashes, clock, 3, 4, prompt=TRIAL)
    crashes.clear_parts([70])
    lines = [record for record in caplog.records if record.message.startswith("part")]
    assert [line.message for line in lines] == [
        "part suspected",
        "part blocked",
        "part clear",
    ]
    assert [line.part for line in lines] == ["a1"] * 3
    assert [len(line.crashes) for line in lines] == [2, 4, 0]


def test_operator_finds_a_part_by_its_id_or_its_digest(crashes, clock):
    _crash_part(crashes, clock, 1, 2)
    (listed,) = crashes.part_log.render(clock())
    assert (listed["part"], listed["state"]) == ("a1", "suspected")
    for name in ("a1", listed["digest"]):
        assert crashes.part_log.find_digest(name) == 70
    assert crashes.part_log.find_digest("a2") is None
    crashes.clear_parts([70])
    assert crashes.part_log.render(clock()) == []


def test_next_trial_waits_until_it_is_known_whether_the_upstream_ended(crashes, clock):
    _crash_part(crashes, clock, 1, 2)
    crashes.begin_trial(TRIAL)
    crashes.on_broken_response(3, 3, clock(), TRIAL)
    crashes.end_trial(TRIAL)
    assert crashes.decide(PART).verdict is PartVerdict.WAIT
    crashes.on_upstream_ended(3, "agent")
    assert crashes.decide(PART).verdict is PartVerdict.TRIAL


def test_trial_of_one_part_is_no_trial_of_the_others(crashes, clock, sent):
    """Guards against a block of a sound part for crashes by trials of another."""
    prompt = PromptParts(("a1", "b2"), (70, 71), (70,))
    _crash_part(crashes, clock, 5, prompt=prompt)
    facts = crashes.parts.facts
    assert [crash.tried_parts for crash in facts.crashes_by(70)] == [1]
    assert [crash.tried_parts for crash in facts.crashes_by(71)] == [0]


def test_crash_of_another_entrys_trial_lets_the_next_one_go(clock):
    second = CrashReports(clock, Telemetry("second"), lambda report: None)
    first = CrashReports(clock, Telemetry("first"), second.apply)
    _crash_part(first, clock, 1, 2)
    first.begin_trial(TRIAL)
    assert second.decide(PART).verdict is PartVerdict.WAIT
    _crash_part(first, clock, 3, prompt=TRIAL)
    assert second.decide(PART).verdict is PartVerdict.TRIAL


def test_repetitions_are_bounded_and_name_what_has_most_crashes(crashes, clock, sent):
    for digest in range(1000, 1000 + 2 * MAX_REPEATED):
        _crash_part(crashes, clock, 1, 2, prompt=PromptParts(("b2",), (digest,)))
    _crash_part(crashes, clock, 1, 2, 3)
    sent.clear()
    crashes.repeat()
    repeated = {crash.digest for report in sent for crash in report.part_crashes}
    assert len(repeated) == MAX_REPEATED
    assert 70 in repeated


def test_parts_that_give_way_are_counted_as_ruled_out(crashes, clock):
    crashes.clear_parts([71])
    clock.now_s += 1.0
    _crash_part(crashes, clock, 1, 2, prompt=PromptParts(("a1", "b2"), (70, 71)))
    (listed,) = crashes.charged_parts()
    assert (listed["part"], listed["ruled_out"]) == ("a1", 1)

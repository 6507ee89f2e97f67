"""Replays recorded runs of an entry and checks how the current code decides.

The traces were recorded from the demo by `python bench/record.py FAULT FILE`.
"""

import gzip
from collections import Counter
from pathlib import Path

import pytest

from bamboolever._calls import (
    AbortStream,
    CancelAttempt,
    Dispatch,
    FinishStream,
    Refusal,
    Respond,
    RunOutcome,
    SendPiece,
    ShareQuarantine,
)
from bamboolever._trace import TraceError, replay_trace

TRACES = Path(__file__).parent / "traces"
MAX_TOKENS = 16

# For each injected fault: the refusals that may occur, and the number of requests
# that must be quarantined. Anything else is a bug.
EXPECTED = {
    "agent-dies": ({"already-in-progress"}, 0),
    "poison-request": ({"already-in-progress", "request-quarantined"}, 1),
    "silent-connection": (
        {"already-in-progress", "earlier-outcome-unknown", "upstream-lost"},
        0,
    ),
}


@pytest.fixture(params=sorted(EXPECTED))
def replayed(request):
    with gzip.open(TRACES / f"{request.param}.jsonl.gz", "rt") as lines:
        return request.param, replay_trace(lines)


def test_each_call_gets_one_final_response(replayed):
    _, actions = replayed
    kinds = (Respond, Refusal, FinishStream, AbortStream)
    final_responses = Counter(a.call_id for a in actions if isinstance(a, kinds))
    dispatched = {a.request.call_id for a in actions if isinstance(a, Dispatch)}
    assert set(final_responses.values()) == {1}
    assert dispatched <= set(final_responses)
    assert len(final_responses) > 50


def test_only_the_expected_refusals_occur(replayed):
    fault, actions = replayed
    allowed, _ = EXPECTED[fault]
    reasons = {a.reason.value for a in actions if isinstance(a, Refusal)}
    assert reasons <= allowed


def test_only_the_expected_requests_are_quarantined(replayed):
    fault, actions = replayed
    shared = {a.body_digest for a in actions if isinstance(a, ShareQuarantine)}
    assert len(shared) == EXPECTED[fault][1]


def test_finished_streams_have_all_their_pieces(replayed):
    _, actions = replayed
    pieces = Counter(a.call_id for a in actions if isinstance(a, SendPiece))
    finished = [a.call_id for a in actions if isinstance(a, FinishStream)]
    assert finished
    assert {pieces[call_id] for call_id in finished} == {MAX_TOKENS}


def test_a_job_is_dispatched_once_unless_it_was_refused(replayed):
    _, actions = replayed
    jobs = Counter(
        action.request.idempotency_key
        for action in actions
        if isinstance(action, Dispatch) and not action.request.is_idempotent
    )
    assert jobs
    assert max(jobs.values()) == 1


def test_calls_refused_as_not_run_were_never_dispatched(replayed):
    _, actions = replayed
    dispatched = {a.request.call_id for a in actions if isinstance(a, Dispatch)}
    cancelled = [a for a in actions if isinstance(a, CancelAttempt)]
    for action in actions:
        if isinstance(action, Refusal) and action.outcome is RunOutcome.NOT_RUN:
            assert action.call_id not in dispatched, cancelled


@pytest.mark.parametrize("line", ["nonsense", "[]", '{"event": "explode"}'])
def test_a_line_that_is_not_an_event_is_an_error(line):
    head = '{"region": "cape", "zone": "cape-1", "seed": 1}'
    with pytest.raises(TraceError):
        replay_trace([head, line])

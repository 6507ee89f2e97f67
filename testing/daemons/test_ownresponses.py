"""Responses that an entry makes without an upstream."""

import pytest

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.daemons.ownresponses import DEFAULT_RETRY_AFTER_S, respond_rejected


class _Caller:
    def respond(self, status, headers, body):
        self.response = (status, dict(headers), body)


@pytest.mark.parametrize(
    ("reason", "retry_after_s", "expected"),
    [
        (RejectReason.NO_ROOM, 1.25, b"1.250"),
        (RejectReason.NO_ROOM, None, f"{DEFAULT_RETRY_AFTER_S:.3f}".encode()),
        (RejectReason.BLOCKED_PART, 1.0, None),
        (RejectReason.POISON, None, None),
    ],
)
def test_rejection_invites_a_retry_only_if_that_may_help(
    reason, retry_after_s, expected
):
    caller = _Caller()
    respond_rejected(caller, b"attempt-1", reason, retry_after_s)
    status, headers, body = caller.response
    assert (status, body) == (503, reason.value.encode())
    assert headers.get(b"Retry-After") == expected

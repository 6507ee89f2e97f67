"""The Retry-After of requests that an entry rejects."""

import pytest

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.parts import SUSPECTED_PART_RETRY_S
from bamboolever.calls.retryafter import (
    OTHER_ENTRY_RETRY_S,
    SAME_ENTRY_RETRY_S,
    find_retry_after_s,
)


@pytest.mark.parametrize(
    ("reason", "is_peer_ready", "expected"),
    [
        (RejectReason.STOPPING, True, OTHER_ENTRY_RETRY_S),
        (RejectReason.STOPPING, False, SAME_ENTRY_RETRY_S),
        (RejectReason.STOPPING, None, SAME_ENTRY_RETRY_S),
        (RejectReason.STALE_KEYS, None, OTHER_ENTRY_RETRY_S),
        (RejectReason.STALE_KEYS, False, SAME_ENTRY_RETRY_S),
        (RejectReason.NO_UPSTREAM, True, SAME_ENTRY_RETRY_S),
        (RejectReason.SUSPECTED_PART, True, SUSPECTED_PART_RETRY_S),
        (RejectReason.BLOCKED_PART, True, None),
        (RejectReason.POISON, True, None),
        (RejectReason.NO_ALLOWED_REGION, True, None),
    ],
)
def test_retry_after_follows_from_the_reason(reason, is_peer_ready, expected):
    assert find_retry_after_s(reason, is_peer_ready=is_peer_ready) == expected

"""Decides which Retry-After the caller of a request gets that an entry rejects.

Takes the reason and whether another entry is ready. Returns a time, or None if another
attempt would be rejected too.

Load pattern: callers that still arrive while an entry starts, stops or is cut off from
the store, and callers whose requests crash upstreams. The former may retry almost at
once if another entry can serve them; nothing invites the latter to retry.
"""

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.parts import SUSPECTED_PART_RETRY_S

# Retry-After if another entry can serve the request, and if not.
OTHER_ENTRY_RETRY_S = 0.02
SAME_ENTRY_RETRY_S = 0.5
# Reasons that come from the entry's own state, so another entry may be able to serve
# the request.
LOCAL_REJECT_REASONS = frozenset(
    {
        RejectReason.STALE_KEYS,
        RejectReason.NO_CONFIGURATION,
        RejectReason.STOPPING,
    }
)
# Reasons for which another attempt would be rejected too.
FINAL_REJECT_REASONS = frozenset(
    {
        RejectReason.POISON,
        RejectReason.BLOCKED_PART,
        RejectReason.NO_ALLOWED_REGION,
    }
)


def find_retry_after_s(
    reason: RejectReason, *, is_peer_ready: bool | None
) -> float | None:
    """Return the seconds after which the caller may retry, or None.

    ``is_peer_ready`` is whether another entry is ready, None if that is unknown.
    """
    if reason in FINAL_REJECT_REASONS:
        return None
    if reason is RejectReason.SUSPECTED_PART:
        return SUSPECTED_PART_RETRY_S
    if reason is RejectReason.STALE_KEYS and is_peer_ready is None:
        # The entry is cut off from the store and from its peers, so the peers probably
        # still serve requests.
        return OTHER_ENTRY_RETRY_S
    is_local = reason in LOCAL_REJECT_REASONS
    return OTHER_ENTRY_RETRY_S if is_local and is_peer_ready else SAME_ENTRY_RETRY_S

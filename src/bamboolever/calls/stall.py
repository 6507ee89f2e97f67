"""Decides how long an attempt may make no progress before it is given up.

Takes the route. Progress is data, or on a stream a complete event.

Load pattern: upstreams that are cut off or stop working without closing their
connections, and stalled ones that send a byte now and then. Only an attempt that may be
retried is given up early; any other waits for its route's timeout.
"""

from bamboolever.config.model import Route, RouteKind

STALL_TIMEOUT_S = 1.5
# A sound stream under load pauses for longer than its target gap, but not so long.
STALL_GAP_FACTOR = 4.0


def find_stall_timeout_s(route: Route) -> float | None:
    """Return the longest time without progress in seconds, or None for no limit.

    For a stream it is at least `STALL_GAP_FACTOR` times the target gap between events.
    For another request it is the target latency if that is shorter.
    """
    if not route.is_retry_safe:
        return None
    if route.kind is RouteKind.STREAMING:
        return max(STALL_TIMEOUT_S, (route.target_gap_s or 0.0) * STALL_GAP_FACTOR)
    if route.target_latency_s > 0:
        return min(STALL_TIMEOUT_S, route.target_latency_s)
    return STALL_TIMEOUT_S

"""Converts the messages about limits and permits to and from their wire format."""

import math
from typing import Any

from bamboolever._exchange_protocol import ttypes
from bamboolever.fleet.messages import (
    NamedLimit,
    NamedLimits,
    PermitGrant,
    PermitGrants,
    PermitRequest,
    PermitRequests,
)

MAX_MS = 2**31 - 1
_NO_LIMIT = -1.0


def limits_to_wire(message: NamedLimits) -> Any:
    """Return the wire format of known limits."""
    return ttypes.NamedLimits(
        [
            ttypes.NamedLimit(
                limit.upstream,
                limit.statement_id,
                _NO_LIMIT if limit.per_s is None else limit.per_s,
                # Rounded so that the statement was surely made between the two.
                min(MAX_MS, math.ceil(limit.sent_age_s * 1000)),
                min(MAX_MS, int(limit.received_age_s * 1000)),
            )
            for limit in message.limits
        ]
    )


def limits_from_wire(wire: Any) -> NamedLimits:
    """Return the known limits in a datagram; those that no upstream names are dropped.

    Ages out of order are dropped too.
    """
    limits = [
        NamedLimit(
            each.upstream_key,
            each.statement_id,
            None if each.per_s == _NO_LIMIT else each.per_s,
            each.sent_age_ms / 1000,
            each.received_age_ms / 1000,
        )
        for each in wire.limits
    ]
    return NamedLimits(tuple(limit for limit in limits if _is_valid(limit)))


def _is_valid(limit: NamedLimit) -> bool:
    if limit.per_s is not None and not 0 <= limit.per_s < math.inf:
        return False
    return 0 <= limit.received_age_s <= limit.sent_age_s


def requests_to_wire(message: PermitRequests) -> Any:
    """Return the wire format of requests for permits."""
    return ttypes.PermitRequests(
        [
            ttypes.PermitRequest(each.upstream, each.number, each.wanted)
            for each in message.requests
        ]
    )


def requests_from_wire(wire: Any) -> PermitRequests:
    """Return the requests for permits in a datagram."""
    return PermitRequests(
        tuple(
            PermitRequest(each.upstream_key, each.number, max(1, each.wanted))
            for each in wire.requests
        )
    )


def grants_to_wire(message: PermitGrants) -> Any:
    """Return the wire format of a keeper's answers."""
    return ttypes.PermitGrants(
        [
            ttypes.PermitGrant(
                each.upstream,
                each.number,
                each.granted,
                min(MAX_MS, math.ceil(each.due_s * 1000)),
                min(MAX_MS, math.ceil(each.step_s * 1000)),
            )
            for each in message.grants
        ]
    )


def grants_from_wire(wire: Any) -> PermitGrants:
    """Return the answers of a keeper in a datagram."""
    return PermitGrants(
        tuple(
            PermitGrant(
                each.upstream_key,
                each.number,
                max(0, each.granted),
                max(0, each.due_ms) / 1000,
                max(0, each.step_ms) / 1000,
            )
            for each in wire.grants
        )
    )

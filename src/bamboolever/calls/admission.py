"""Admission: decides which requests may be placed and how the others are refused.

Takes the host, path, API key and attempt id of a request, and the configuration in
force. Decides the route, workspace and service of the request, or the status and
reason with which it is refused.

Load pattern: requests that match no route or carry no valid key, callers that still
connect to an entry that stops, and requests that no region may serve. They are refused
before any upstream spends work on them. Poison requests are refused after admission,
see `calls.poison`.
"""

from dataclasses import dataclass

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.regions import find_allowed_regions
from bamboolever.calls.split import choose_service
from bamboolever.config.model import Configuration, Route, Workspace
from bamboolever.config.routes import RouteTable, path_of

BAD_REQUEST_STATUS = 400
UNKNOWN_KEY_STATUS = 401
NO_ROUTE_STATUS = 404
UNAVAILABLE_STATUS = 503


@dataclass(frozen=True)
class AdmissionRequest:
    """The values of a request's head that admission needs; None where absent.

    ``attempt_id`` is the caller's id of the attempt. ``target`` is the request target
    with its query. ``host`` may have a port.
    """

    attempt_id: bytes | None
    host: str
    target: str
    api_key: str | None


@dataclass(frozen=True)
class Admitted:
    """The request may be placed at an upstream of this service.

    ``workspace`` is None if the request has no key or the key belongs to none.
    """

    route: Route
    workspace: Workspace | None
    service: str


@dataclass(frozen=True)
class Refused:
    """The request is refused with this HTTP status: it is not queued and has not run.

    ``reason`` is the body of the response and a label of metrics.
    """

    status: int
    reason: str


@dataclass(frozen=True)
class AdmissionState:
    """The configuration in force and the lookup of its routes.

    ``configuration`` is None until the first one is read. ``can_trust_keys`` is False
    while the configuration may be too old to know of revoked keys.
    """

    configuration: Configuration | None
    route_table: RouteTable
    can_trust_keys: bool


def admit(request: AdmissionRequest, state: AdmissionState) -> Admitted | Refused:
    """Return the route, workspace and service of a request, or its refusal."""
    configuration = state.configuration
    if configuration is None:
        return Refused(UNAVAILABLE_STATUS, RejectReason.NO_CONFIGURATION.value)
    if request.attempt_id is None:
        return Refused(BAD_REQUEST_STATUS, "no-attempt-id")
    route = state.route_table.find(request.host, path_of(request.target))
    if route is None:
        return Refused(NO_ROUTE_STATUS, "no-route")
    workspace = configuration.workspaces_by_key.get(request.api_key or "")
    if configuration.requires_keys:
        names_workspace = request.api_key is not None or not route.is_anonymous
        if names_workspace and not state.can_trust_keys:
            return Refused(UNAVAILABLE_STATUS, RejectReason.STALE_KEYS.value)
        if workspace is None and not route.is_anonymous:
            return Refused(UNKNOWN_KEY_STATUS, "unknown-key")
    if find_allowed_regions(route, workspace) == frozenset():
        return Refused(UNAVAILABLE_STATUS, RejectReason.NO_ALLOWED_REGION.value)
    service = choose_service(route, request.attempt_id)
    if service is None:
        return Refused(UNAVAILABLE_STATUS, RejectReason.NO_UPSTREAM.value)
    return Admitted(route, workspace, service)


def find_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request: the workspace's, or the route's without one."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def find_max_duration_s(route: Route, remaining_s: float | None) -> float:
    """Return for how many seconds a request of the route lasts at most.

    ``remaining_s`` is the time for which its caller waits; None if it states none.
    """
    return min(route.timeout_s, remaining_s or route.timeout_s)


def can_admit_while_stopping(
    grace_s: float, route: Route, remaining_s: float | None
) -> bool:
    """Return whether an entry that stops in ``grace_s`` still admits a request.

    ``remaining_s`` is the time for which the caller waits; None if it states none.
    Load pattern: callers still connect for seconds after a stop was requested. A
    request that the stop could interrupt is refused before it runs: another entry
    serves it at once.
    """
    return grace_s >= find_max_duration_s(route, remaining_s)

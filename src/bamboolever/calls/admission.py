"""Decides whether a request may be placed, and answers at once what may not.

Load pattern: requests that no route or key allows, and requests that crash
upstreams. Nothing of them reaches an upstream.
"""

from dataclasses import dataclass

from bamboolever.calls.dispatcher import RejectReason
from bamboolever.calls.split import choose_service
from bamboolever.config.model import Configuration, Route, Workspace
from bamboolever.config.routes import RouteTable, path_of

BAD_REQUEST_STATUS = 400
UNKNOWN_KEY_STATUS = 401
NO_ROUTE_STATUS = 404
UNAVAILABLE_STATUS = 503
# Nearly every call has ended after this time.
USUAL_MAX_CALL_S = 4.0


@dataclass(frozen=True)
class AdmissionRequest:
    """What a request says of itself, as far as admission needs it."""

    attempt_id: bytes | None
    host: str
    target: str
    api_key: str | None


@dataclass(frozen=True)
class Admitted:
    """The request goes to an upstream of this service."""

    route: Route
    workspace: Workspace | None
    service: str


@dataclass(frozen=True)
class Refused:
    """The request is answered with this status and has not run."""

    status: int
    reason: str


@dataclass(frozen=True)
class AdmissionState:
    """What decides: the configuration in force and whether keys are trusted."""

    configuration: Configuration | None
    routes: RouteTable
    can_trust_keys: bool


def admit(arrival: AdmissionRequest, state: AdmissionState) -> Admitted | Refused:
    """Return the route, workspace and service of a request, or why not."""
    configuration = state.configuration
    if configuration is None:
        return Refused(UNAVAILABLE_STATUS, RejectReason.NO_CONFIGURATION.value)
    if arrival.attempt_id is None:
        return Refused(BAD_REQUEST_STATUS, "no-attempt-id")
    route = state.routes.find(arrival.host, path_of(arrival.target))
    if route is None:
        return Refused(NO_ROUTE_STATUS, "no-route")
    workspace = configuration.workspaces_by_key.get(arrival.api_key or "")
    if configuration.has_workspaces and not route.is_anonymous:
        if not state.can_trust_keys:
            return Refused(UNAVAILABLE_STATUS, RejectReason.STALE_KEYS.value)
        if workspace is None:
            return Refused(UNKNOWN_KEY_STATUS, "unknown-key")
    service = choose_service(route, arrival.attempt_id)
    if service is None:
        return Refused(UNAVAILABLE_STATUS, RejectReason.NO_UPSTREAM.value)
    return Admitted(route, workspace, service)


def can_admit_while_stopping(left_s: float, timeout_s: float) -> bool:
    """Tell whether an entry that stops in ``left_s`` still takes a request.

    Load pattern: callers that still come to an entry seconds after its stop was
    asked for. What would be cut at the end is rejected before it has run.
    """
    return left_s >= min(timeout_s, USUAL_MAX_CALL_S)

"""Admission of requests and the reasons for refusing them."""

import dataclasses

import pytest
from sitebuilders import make_route

from bamboolever.calls.admission import (
    AdmissionRequest,
    AdmissionState,
    Admitted,
    admit,
    can_admit_while_stopping,
)
from bamboolever.calls.regions import find_allowed_regions
from bamboolever.config.model import Configuration, RouteKind, Workspace
from bamboolever.config.routes import RouteTable

CONFIGURATION = Configuration(
    1,
    routes=(
        make_route("keyed", host="a.example", path_prefix="/a/"),
        make_route("open", host="a.example", path_prefix="/b/", is_anonymous=True),
        make_route("nowhere", host="a.example", path_prefix="/c/", targets=()),
        make_route(
            "bound",
            host="a.example",
            path_prefix="/d/",
            allowed_regions=frozenset({"region-1", "region-2"}),
        ),
    ),
    workspaces_by_key={
        "key": Workspace("studio"),
        "key-2": Workspace("studio-2", None, frozenset({"region-2", "region-3"})),
        "key-3": Workspace("studio-3", None, frozenset({"region-3"})),
    },
)
STATE = AdmissionState(CONFIGURATION, RouteTable(CONFIGURATION), can_trust_keys=True)
REQUEST = AdmissionRequest(b"1", "a.example", "/a/x", "key")


def _admit(state=STATE, **changes):
    return admit(dataclasses.replace(REQUEST, **changes), state)


def test_request_with_a_known_key_is_admitted():
    admitted = _admit()
    assert isinstance(admitted, Admitted)
    assert (admitted.route.name, admitted.workspace.name) == ("keyed", "studio")


@pytest.mark.parametrize(
    ("changes", "status", "reason"),
    [
        ({"attempt_id": None}, 400, "no-attempt-id"),
        ({"host": "b.example"}, 404, "no-route"),
        ({"target": "/x"}, 404, "no-route"),
        ({"api_key": None}, 401, "unknown-key"),
        ({"api_key": "other"}, 401, "unknown-key"),
        ({"target": "/c/x"}, 503, "no-upstream"),
        ({"target": "/d/x", "api_key": "key-3"}, 503, "no-allowed-region"),
    ],
)
def test_request_that_is_not_allowed_is_refused(changes, status, reason):
    refused = _admit(**changes)
    assert (refused.status, refused.reason) == (status, reason)


@pytest.mark.parametrize("api_key", ["key", "other", None])
def test_no_request_is_admitted_once_the_last_key_is_taken_away(api_key):
    """Guards against taking a configuration without keys for one that needs none."""
    configuration = dataclasses.replace(CONFIGURATION, workspaces_by_key={})
    state = dataclasses.replace(STATE, configuration=configuration)
    refused = _admit(state, api_key=api_key)
    assert (refused.status, refused.reason) == (401, "unknown-key")


def test_requests_need_no_key_where_the_configuration_requires_none():
    configuration = dataclasses.replace(
        CONFIGURATION, workspaces_by_key={}, requires_keys=False
    )
    state = dataclasses.replace(STATE, configuration=configuration)
    assert isinstance(_admit(state, api_key=None), Admitted)


def test_nothing_is_admitted_before_a_configuration_is_known():
    state = dataclasses.replace(STATE, configuration=None)
    assert _admit(state).status == 503


def test_only_anonymous_routes_are_served_while_keys_are_not_trusted():
    state = dataclasses.replace(STATE, can_trust_keys=False)
    assert _admit(state).reason == "stale-keys"
    assert isinstance(_admit(state, target="/b/x", api_key=None), Admitted)


@pytest.mark.parametrize("api_key", ["key", "other"])
def test_key_that_is_not_trusted_names_no_workspace_on_an_anonymous_route(api_key):
    """Guards against telling upstreams the former holder of a key taken away."""
    state = dataclasses.replace(STATE, can_trust_keys=False)
    refused = _admit(state, target="/b/x", api_key=api_key)
    assert (refused.status, refused.reason) == (503, "stale-keys")


def test_key_on_an_anonymous_route_determines_the_workspace():
    assert _admit(target="/b/x").workspace.name == "studio"
    assert _admit(target="/b/x", api_key="other").workspace is None


@pytest.mark.parametrize(
    ("target", "key", "expected"),
    [
        ("/a/x", "key", None),
        ("/a/x", "key-3", {"region-3"}),
        ("/d/x", "key", {"region-1", "region-2"}),
        ("/d/x", "key-2", {"region-2"}),
    ],
)
def test_request_may_go_where_both_route_and_workspace_allow(target, key, expected):
    admitted = _admit(target=target, api_key=key)
    assert find_allowed_regions(admitted.route, admitted.workspace) == expected


@pytest.mark.parametrize("can_resume", [False, True])
@pytest.mark.parametrize("kind", list(RouteKind))
def test_stopping_entry_admits_requests_only_if_all_of_their_time_is_left(
    kind, can_resume
):
    """Guards against calls that are passed on and cut as the grace period ends."""
    route = make_route(kind=kind, can_resume=can_resume, timeout_s=5.0)
    assert can_admit_while_stopping(5.0, route, None)
    assert can_admit_while_stopping(5.0, route, 60.0)
    assert not can_admit_while_stopping(4.9, route, 60.0)
    assert can_admit_while_stopping(1.5, route, 1.5)
    assert not can_admit_while_stopping(1.4, route, 1.5)

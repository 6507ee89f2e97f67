"""The regions of a request, looked up in the configuration in force."""

import pytest
from sitebuilders import HOST, make_route

from bamboolever.calls.regions import RegionInquiry, RegionLookup
from bamboolever.config.model import Configuration, Workspace
from bamboolever.config.routes import RouteTable

ROUTE = make_route(allowed_regions=frozenset({"old-route"}))
WORKSPACE = Workspace("studio", None, frozenset({"old-route", "old-workspace"}))
INQUIRY = RegionInquiry(HOST, "/a/x?y", "key", ROUTE, WORKSPACE)


def _find(routes=(), workspaces_by_key=None):
    configuration = Configuration(2, routes, {}, workspaces_by_key or {})
    lookup = RegionLookup()
    lookup.apply_configuration(configuration, RouteTable(configuration))
    return lookup.find(INQUIRY)


def _workspace(name, *regions):
    return Workspace(name, None, frozenset(regions))


@pytest.mark.parametrize(
    ("regions", "workspaces_by_key", "expected"),
    [
        ({"new", "both"}, {"key": _workspace("studio", "both")}, {"both"}),
        ({"new"}, {"key": _workspace("studio", "both")}, set()),
        (set(), {"key": _workspace("studio")}, None),
        # The key was replaced, or now belongs to another workspace.
        (set(), {"other": _workspace("studio", "new")}, {"new"}),
        (set(), {"key": _workspace("other", "new")}, {"new"}),
        # The workspace was removed.
        (set(), {}, {"old-route", "old-workspace"}),
    ],
)
def test_regions_follow_the_configuration_in_force(
    regions, workspaces_by_key, expected
):
    """Guards against requests that are placed by the regions of their admission."""
    route = make_route(allowed_regions=frozenset(regions))
    assert _find((route,), workspaces_by_key) == expected


def test_request_of_a_removed_route_stays_bound():
    """Guards against a removed route that frees its last requests from its regions."""
    assert _find() == {"old-route"}

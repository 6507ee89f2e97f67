"""Decides which regions a request may be sent to.

Takes the route and workspace of a request, or the request's host, target and key with
the configuration in force. Returns the regions that both allow.

Load pattern: a configuration that changes while requests wait for room or are sent
again after a failure. Their next placement follows the configuration in force, not the
one that admitted them.
"""

from dataclasses import dataclass

from bamboolever.config.model import Configuration, Route, Workspace
from bamboolever.config.routes import RouteTable, path_of


def find_allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions that the route and the workspace both allow.

    None means that neither restricts them. An empty set means that no region is left.
    """
    restrictions = [route.allowed_regions]
    if workspace is not None:
        restrictions.append(workspace.allowed_regions)
    named = [regions for regions in restrictions if regions]
    return frozenset.intersection(*named) if named else None


@dataclass(frozen=True)
class RegionInquiry:
    """What determines the regions of an admitted request.

    ``target`` is the request target with its query. ``route`` and ``workspace`` are
    those that admitted the request.
    """

    host: str
    target: str
    api_key: str | None
    route: Route
    workspace: Workspace | None


class RegionLookup:
    """Looks up the regions of requests in the configuration in force."""

    def __init__(self) -> None:
        self._configuration = Configuration(0)
        self._route_table = RouteTable(self._configuration)

    def apply_configuration(
        self, configuration: Configuration, route_table: RouteTable
    ) -> None:
        """Replace the configuration in force."""
        self._configuration = configuration
        self._route_table = route_table

    def find(self, inquiry: RegionInquiry) -> frozenset[str] | None:
        """Return the regions that a request may be sent to now.

        The result is that of `find_allowed_regions`. Where the configuration no longer
        has the route, key or workspace, those that admitted the request count.
        """
        route = self._route_table.find(inquiry.host, path_of(inquiry.target))
        return find_allowed_regions(
            route or inquiry.route, self._find_workspace(inquiry)
        )

    def _find_workspace(self, inquiry: RegionInquiry) -> Workspace | None:
        workspaces = self._configuration.workspaces_by_key
        workspace = workspaces.get(inquiry.api_key or "")
        known = inquiry.workspace
        if workspace is not None or known is None:
            return workspace
        # The key was replaced: uses the present settings of the workspace by its name.
        named = (each for each in workspaces.values() if each.name == known.name)
        return next(named, known)

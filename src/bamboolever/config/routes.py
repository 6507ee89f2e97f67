"""Route lookup: finds the route of a request by host and longest path prefix."""

from bamboolever.config.model import Configuration, Route


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix."""

    def __init__(self, configuration: Configuration):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        ``host`` may be in any case and have a port.
        """
        prefixes = self._by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_host(host: str) -> str:
    """Return a Host header's value in lower case and without the port."""
    name, separator, port = host.strip().lower().rpartition(":")
    return name if separator and port.isdigit() else host.strip().lower()


def path_of(target: str) -> str:
    """Return the path of a request target, without query or fragment."""
    return target.partition("?")[0].partition("#")[0]

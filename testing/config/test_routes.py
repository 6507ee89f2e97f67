"""Lookup of routes by host and longest path prefix."""

from sitebuilders import make_route

from bamboolever.config.model import Configuration
from bamboolever.config.routes import RouteTable, path_of

TABLE = RouteTable(
    Configuration(
        1,
        routes=(
            make_route("short", host="a.example", path_prefix="/x/"),
            make_route("long", host="a.example", path_prefix="/x/y/"),
            make_route("other", host="b.example", path_prefix="/"),
        ),
    )
)


def _name(host, path):
    route = TABLE.find(host, path)
    return route.name if route else None


def test_longest_prefix_wins():
    assert _name("a.example", "/x/y/z") == "long"
    assert _name("a.example", "/x/z") == "short"


def test_prefix_ends_at_a_slash():
    assert _name("a.example", "/x/yy") == "short"
    assert _name("a.example", "/xx") is None


def test_case_and_port_of_the_host_are_ignored():
    assert _name("A.Example:8080", "/x/") == "short"
    assert _name("c.example", "/x/") is None


def test_root_prefix_matches_everything():
    assert _name("b.example", "/anything/at") == "other"


def test_query_is_not_part_of_the_path():
    assert path_of("/x/?a=/y/") == "/x/"

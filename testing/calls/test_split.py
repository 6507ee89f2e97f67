"""Traffic split of a route by weights."""

from collections import Counter

from sitebuilders import make_route

from bamboolever.calls.split import choose_service
from bamboolever.config.model import ServiceShare


def test_split_follows_the_weights_and_is_stable():
    route = make_route(targets=(ServiceShare("a", 90), ServiceShare("b", 10)))
    ids = [f"attempt-{number}".encode() for number in range(2000)]
    counts = Counter(choose_service(route, attempt_id) for attempt_id in ids)
    assert 130 < counts["b"] < 280
    assert choose_service(route, ids[0]) == choose_service(route, ids[0])


def test_service_with_weight_zero_gets_no_requests():
    route = make_route(targets=(ServiceShare("a", 0), ServiceShare("b", 1)))
    ids = [str(number).encode() for number in range(200)]
    assert {choose_service(route, attempt_id) for attempt_id in ids} == {"b"}


def test_route_without_targets_has_no_service():
    assert choose_service(make_route(targets=()), b"1") is None

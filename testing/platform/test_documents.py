"""Decoding of valid and invalid documents of the store."""

import copy
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.config.model import RouteKind
from bamboolever.fleet.records import LayerRange
from bamboolever.platform import documents, store
from bamboolever.platform.errors import AdapterError

UPSTREAM = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "cape-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "coldRemainingMs": 250,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": {"from": 0, "to": 16, "version": 1},
    "sequence": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "Hulo84.example",
            "pathPrefix": "/x/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 405,
            "priority": 1,
            "trafficSplit": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "maxAttempts": 2,
            "allowAnonymous": False,
            "resumeStreams": True,
            "targetGapMs": 300,
        }
    ],
    "services": [
        {"name": "o", "origin": "172.20.0.3:80", "zone": "z", "linkMbps": 8.0}
    ],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def test_upstream_is_decoded():
    record = documents.decode_upstream("i-1", UPSTREAM)
    assert record.instance_id == "i-1"
    assert record.cold_remaining_s == 0.25
    assert record.models[0].layers == LayerRange(0, 16, 1)
    assert record.models[0].has_all_layers(16)
    assert not record.models[0].has_all_layers(17)


@pytest.mark.parametrize("field", ["service", "address", "state"])
def test_upstream_without_a_required_field_is_rejected(field):
    invalid = {key: value for key, value in UPSTREAM.items() if key != field}
    with pytest.raises(AdapterError):
        documents.decode_upstream("i-1", invalid)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 10**400),
        ("slots", 0),
        ("slots", -1),
        ("sequence", 10**30),
        ("sequence", -1),
        ("born", 10**30),
        ("coldRemainingMs", math.inf),
        ("coldRemainingMs", math.nan),
        ("coldRemainingMs", 10**30),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:" + "9" * 5000),
        ("address", "10.0\0.1:80"),
        ("address", "10.0.0.1:²"),
        ("service", "\ud800"),
        ("service", "a\r\nb"),
        ("zone", "\ud800"),
        ("zone", "z" * 5000),
        ("models", [{"name": "m", "version": 10**30}]),
        ("models", [{"name": "\ud800", "version": 1}]),
        ("layers", {"from": -1, "to": 16, "version": 1}),
        ("layers", {"from": 0, "to": 10**30, "version": 1}),
    ],
)
def test_upstream_with_a_value_out_of_range_is_rejected(field, value):
    with pytest.raises(AdapterError):
        documents.decode_upstream("i-1", {**UPSTREAM, field: value})


@pytest.mark.parametrize("version", [10**30, -1, 1.5])
def test_version_out_of_range_is_rejected(version):
    with pytest.raises(AdapterError):
        documents.decode_version({"model": "m", "version": version})


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("sequence", 10**30),
        ("running", -1),
        ("queued", 2**31),
        ("pace", math.nan),
        ("pace", -1.0),
        ("born", 10**30),
    ],
)
def test_report_with_a_value_out_of_range_is_rejected(field, value):
    with pytest.raises(AdapterError):
        documents.decode_report({field: value})


@pytest.mark.parametrize(
    ("field", "value"),
    [("slots", "16"), ("state", "dancing"), ("address", "nowhere"), ("service", 3)],
)
def test_upstream_with_an_invalid_field_is_rejected(field, value):
    with pytest.raises(AdapterError):
        documents.decode_upstream("i-1", {**UPSTREAM, field: value})


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=5))
def test_any_document_decodes_or_raises_adapter_error(document):
    for decode in (
        documents.decode_configuration,
        documents.decode_version,
        documents.decode_report,
        lambda content: documents.decode_upstream("i", content),
    ):
        try:
            decode(document)
        except AdapterError:
            pass


def test_configuration_is_decoded():
    configuration = documents.decode_configuration(CONFIGURATION)
    (route,) = configuration.routes
    assert route.kind is RouteKind.STREAMING
    assert route.is_retry_safe
    assert (route.timeout_s, route.target_latency_s) == (6.0, 0.405)
    assert [share.weight for share in route.targets] == [90, 10]
    assert configuration.workspaces_by_key["k2"].name == "t"
    assert configuration.requires_keys
    assert configuration.services["o"].origin.bytes_per_s == 1e6
    assert configuration.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize("tenants", [[], [{"name": "t", "apiKeys": []}]])
def test_keys_are_required_also_when_no_tenant_holds_one(tenants):
    """Guards against serving everybody once the last key is taken away."""
    configuration = documents.decode_configuration(
        {**CONFIGURATION, "tenants": tenants}
    )
    assert not configuration.workspaces_by_key
    assert configuration.requires_keys


def test_no_key_is_required_in_a_deployment_without_tenants():
    document = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
    assert not documents.decode_configuration(document).requires_keys


@pytest.mark.parametrize(
    ("stated", "expected"),
    [
        ({}, set()),
        ({"allowedRegions": None}, set()),
        ({"allowedRegions": []}, set()),
        ({"allowedRegions": ["cape", "delta"]}, {"cape", "delta"}),
    ],
)
def test_allowed_regions_are_decoded(stated, expected):
    document = copy.deepcopy(CONFIGURATION)
    document["routes"][0].update(stated)
    document["tenants"][0].update(stated)
    configuration = documents.decode_configuration(document)
    assert configuration.routes[0].allowed_regions == expected
    assert configuration.workspaces_by_key["k2"].allowed_regions == expected
    assert configuration.named_regions == expected


def test_configuration_with_malformed_regions_is_rejected():
    """Guards against a restriction that is ignored because it is not a list."""
    document = copy.deepcopy(CONFIGURATION)
    document["routes"][0]["allowedRegions"] = "cape"
    with pytest.raises(AdapterError):
        documents.decode_configuration(document)


def test_bound_on_requests_to_cold_upstreams_is_decoded():
    services = [
        {"name": "a", "coldStartS": 3, "coldPerS": 32},
        {"name": "b"},
    ]
    document = {"version": 1, "services": services}
    decoded = documents.decode_configuration(document).services
    assert (decoded["a"].cold_start_s, decoded["a"].cold_per_s) == (3.0, 32.0)
    assert (decoded["b"].cold_start_s, decoded["b"].cold_per_s) == (0.0, 0.0)


def test_configuration_with_an_unknown_route_kind_is_rejected():
    invalid = copy.deepcopy(CONFIGURATION)
    invalid["routes"][0]["kind"] = "sometimes"
    with pytest.raises(AdapterError):
        documents.decode_configuration(invalid)


def test_listing_omits_objects_that_do_not_decode():
    body = (
        b'{"items": ["text", {"metadata": {"name": "a"}, "specification": 1}],'
        b' "hasMore": false, "at": 9}'
    )
    listing = store.decode_listing(body)
    assert [stored.name for stored in listing.documents] == ["a"]
    assert listing.revision == 9


def test_object_without_content_is_not_a_deletion():
    body = b'{"items": [{"metadata": {"name": "a"}}], "at": 9}'
    assert store.decode_listing(body).documents[0].value is not None


@given(st.binary(max_size=80))
def test_any_store_response_decodes_or_raises_adapter_error(body):
    for decode in (store.decode_listing, store.decode_changes):
        try:
            decode(body)
        except AdapterError:
            pass

"""Tests that grants keep the cap on origin bytes, also if holders fail.

Requests race, responses of the platform get lost, and holders are replaced.
"""

from builders import FakePlatform
from hypothesis import given
from hypothesis import strategies as st

from bamboolever._grants import GRANT_KIND, GrantRequest, SegmentGrants
from bamboolever._transfer import _obtain_grant

SEGMENT_BYTES = 100
CHUNK_BYTES = 25


def make_request(holder, region, **changes):
    missing = changes.pop("missing", (0, 1, 2, 3))
    content = {
        "missing_bytes": len(missing) * CHUNK_BYTES,
        "segment_bytes": SEGMENT_BYTES,
        "aim": "time-to-n",
        "origin_copies": 4,
        **changes,
    }
    return GrantRequest(holder=holder, region=region, missing=missing, **content)


requests = st.builds(
    lambda holder, region, missing, aim, dead: make_request(
        holder,
        region,
        missing=tuple(sorted(missing)),
        aim=aim,
        dead_holders=frozenset(dead) - {holder},
    ),
    st.sampled_from("abcdef"),
    st.sampled_from(["cape", "gauteng", "kzn", "karoo", "limpopo"]),
    st.sets(st.integers(0, 3), min_size=1),
    st.sampled_from(["time-to-n", "origin-bytes"]),
    st.sets(st.sampled_from("abcdef")),
)
faults = st.sampled_from(["none", "answer-lost", "request-lost"])


@given(st.lists(st.tuples(requests, faults), max_size=60))
def test_granted_origin_bytes_stay_below_the_cap(steps):
    platform = FakePlatform()
    granted_bytes = 0
    for request, fault in steps:
        platform.lose_answers = int(fault == "answer-lost")
        platform.lose_requests = int(fault == "request-lost")
        result = _obtain_grant(platform, "segment", request)
        # The oracle: the bytes that the received results allow holders to read.
        granted_bytes += len(result.new_indexes) * CHUNK_BYTES
        assert granted_bytes <= 4 * SEGMENT_BYTES


def test_of_two_racing_instances_only_one_imports():
    platform = FakePlatform()
    platform.before_write = lambda: _obtain_grant(
        platform, "segment", make_request("b", "cape")
    )
    result = _obtain_grant(platform, "segment", make_request("a", "cape"))
    assert result.grants.find_importer("cape") == "b"
    assert result.new_indexes == frozenset()


def test_the_aim_origin_bytes_grants_one_copy_for_all_regions():
    grants = SegmentGrants()
    for holder, region in [("a", "cape"), ("b", "gauteng"), ("c", "kzn")]:
        grants = grants.grant(make_request(holder, region, aim="origin-bytes"))
    assert grants.origin_bytes == SEGMENT_BYTES
    assert grants.find_importer("kzn") == "c"


def test_the_aim_time_to_n_reserves_one_copy():
    grants = SegmentGrants()
    for region in ["r1", "r2", "r3", "r4", "r5"]:
        grants = grants.grant(make_request(f"holder-{region}", region))
    assert grants.origin_bytes == 3 * SEGMENT_BYTES


def test_only_a_dead_holder_is_replaced():
    grants = SegmentGrants().grant(make_request("a", "cape"))
    assert grants.grant(make_request("b", "cape")) is grants
    replaced = grants.grant(make_request("b", "cape", dead_holders=frozenset("a")))
    assert replaced.find_importer("cape") == "b"


def test_no_grant_is_made_while_the_platform_is_down():
    platform = FakePlatform()
    platform.is_down = True
    try:
        _obtain_grant(platform, "segment", make_request("a", "cape"))
    except Exception as error:
        assert type(error).__name__ == "PlatformUnavailable"
    else:
        raise AssertionError("a grant was made without the platform")
    platform.is_down = False
    assert platform.get(GRANT_KIND, "segment") is None

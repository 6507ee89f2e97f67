"""Tests of conditional writes when requests or responses of the platform are lost."""

import threading

import pytest
from builders import FakePlatform

from bamboolever._platform import (
    HttpPlatform,
    PlatformBudgetExceeded,
    PlatformUnavailable,
    WatchGap,
    WriteAmbiguous,
    WriteConflict,
    update_object,
    write_resolved,
)
from bamboolever._standins.platform import StandInPlatform


@pytest.fixture
def stand_in():
    server = StandInPlatform()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client(stand_in):
    return HttpPlatform(stand_in.url, timeout_s=5.0, calls_per_second=1000.0)


def test_a_lost_response_is_resolved_by_reading_back():
    platform = FakePlatform()
    platform.lose_answers = 1
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_a_lost_request_is_repeated_conditionally():
    platform = FakePlatform()
    platform.lose_requests = 1
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_a_late_write_counts_as_the_first_attempt():
    platform = FakePlatform()
    platform.lose_requests = 1

    def write_late():
        platform.write("k", "n", b"mine", expected_revision=0)

    read_object = platform.get

    def get_before_late_write(kind, name):
        found = read_object(kind, name)
        if found is None:
            write_late()
        return found

    platform.get = get_before_late_write
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_a_write_stays_ambiguous_if_the_object_cannot_be_read():
    platform = FakePlatform()
    platform.lose_answers = 1

    def fail_read(kind, name):
        raise PlatformUnavailable("down")

    platform.get = fail_read
    with pytest.raises(WriteAmbiguous):
        write_resolved(platform, "k", "n", b"mine", expected_revision=0)


def test_an_update_that_lost_a_race_is_applied_to_the_new_value():
    platform = FakePlatform()
    platform.before_write = lambda: platform.write("k", "n", b"a", expected_revision=0)
    stored = update_object(platform, "k", "n", lambda value: (value or b"") + b"b")
    assert stored.value == b"ab"


def test_http_write_conflict_contains_the_current_object(client):
    client.write("k", "n", b"first", expected_revision=0)
    with pytest.raises(WriteConflict) as caught:
        client.write("k", "n", b"second", expected_revision=0)
    assert caught.value.current.value == b"first"


def test_http_response_lost_after_the_write_is_resolved(client, stand_in):
    stand_in.faults.lose_answers = 1
    revision = write_resolved(client, "k", "n", b"mine", expected_revision=0)
    assert client.get("k", "n").revision == revision


def test_http_calls_are_unavailable_while_the_platform_is_down(client, stand_in):
    stand_in.faults.is_down = True
    with pytest.raises(PlatformUnavailable):
        client.get("k", "n")
    with pytest.raises(PlatformUnavailable):
        client.write("k", "n", b"x", expected_revision=0)


def test_http_watch_returns_changes_in_order(client):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            client.watch(("k",), after_revision=0, timeout_s=5.0)
        )
    )
    thread.start()
    client.write("k", "n", b"x", expected_revision=0)
    thread.join(10)
    assert results[0].objects[0].value == b"x"


def test_http_watch_from_an_unknown_revision_is_a_gap(client):
    with pytest.raises(WatchGap):
        client.watch(("k",), after_revision=99, timeout_s=0.1)


def test_the_rate_limit_bounds_the_calls_of_a_process(stand_in):
    client = HttpPlatform(stand_in.url, timeout_s=5.0, calls_per_second=0.5)
    client.get("k", "n")
    with pytest.raises(PlatformBudgetExceeded):
        client.get("k", "n")

"""The platform client: conditional writes and answers that were lost."""

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


def test_a_lost_answer_is_resolved_by_reading_back():
    platform = FakePlatform()
    platform.lose_answers = 1
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_a_lost_request_is_written_again_only_conditionally():
    platform = FakePlatform()
    platform.lose_requests = 1
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_a_write_that_arrives_late_counts_as_the_first():
    platform = FakePlatform()
    platform.lose_requests = 1

    def land_late():
        platform.write("k", "n", b"mine", expected_revision=0)

    original = platform.get

    def get_then_land(kind, name):
        found = original(kind, name)
        if found is None:
            land_late()
        return found

    platform.get = get_then_land
    assert write_resolved(platform, "k", "n", b"mine", expected_revision=0) == 1


def test_an_answer_that_cannot_be_resolved_stays_ambiguous():
    platform = FakePlatform()
    platform.lose_answers = 1

    def go_down(kind, name):
        raise PlatformUnavailable("down")

    platform.get = go_down
    with pytest.raises(WriteAmbiguous):
        write_resolved(platform, "k", "n", b"mine", expected_revision=0)


def test_update_applies_the_change_to_the_winner_of_a_race():
    platform = FakePlatform()
    platform.before_write = lambda: platform.write("k", "n", b"a", expected_revision=0)
    stored = update_object(platform, "k", "n", lambda value: (value or b"") + b"b")
    assert stored.value == b"ab"


def test_http_write_conflict_tells_what_is_there(client):
    client.write("k", "n", b"first", expected_revision=0)
    with pytest.raises(WriteConflict) as caught:
        client.write("k", "n", b"second", expected_revision=0)
    assert caught.value.current.value == b"first"


def test_http_answer_lost_after_effect_is_resolved(client, stand_in):
    stand_in.faults.lose_answers = 1
    revision = write_resolved(client, "k", "n", b"mine", expected_revision=0)
    assert client.get("k", "n").revision == revision


def test_http_down_is_unavailable(client, stand_in):
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


def test_the_budget_bounds_the_calls_of_a_process(stand_in):
    client = HttpPlatform(stand_in.url, timeout_s=5.0, calls_per_second=0.5)
    client.get("k", "n")
    with pytest.raises(PlatformBudgetExceeded):
        client.get("k", "n")

"""The command line: exit codes, concurrent operators, lost responses."""

import json
from pathlib import Path

import pytest
from builders import FakePlatform, make_contract, make_manifest
from typer.testing import CliRunner

from bamboolever import _cli
from bamboolever._documents import DocumentKey
from bamboolever._operator import (
    ChangeConflict,
    apply_changes,
    plan_changes,
    read_status,
    set_drain,
    start_rollout,
)
from bamboolever._origin import Origin

EXAMPLE = Path(__file__).parent.parent / "examples" / "heredia" / "documents.toml"
KEY = DocumentKey("contracts", "studio-a")


@pytest.fixture
def platform(monkeypatch):
    fake = FakePlatform()
    monkeypatch.setattr(_cli, "_make_platform_client", lambda url: fake)
    return fake


def run(*arguments):
    return CliRunner().invoke(_cli.app, list(arguments))


def test_apply_is_safe_to_repeat(platform):
    first = run("apply", str(EXAMPLE), "--json")
    assert first.exit_code == 0, first.output
    assert json.loads(first.output)["written"] == 6
    again = run("apply", str(EXAMPLE), "--json")
    assert json.loads(again.output)["written"] == 0
    assert run("diff", str(EXAMPLE)).exit_code == 0


def test_diff_shows_what_would_change(platform):
    result = run("diff", str(EXAMPLE))
    assert result.exit_code == 1
    assert "~ services/assayer" in result.output


def test_faulty_files_exit_with_2_and_write_nothing(platform, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text("[[contract]]\n")
    assert run("apply", str(path)).exit_code == 2
    assert run("check", str(path)).exit_code == 2
    assert platform.objects == {}


def test_an_unreachable_platform_exits_with_4(platform):
    platform.is_down = True
    assert run("apply", str(EXAMPLE)).exit_code == 4
    assert run("status").exit_code == 4


def test_apply_succeeds_if_the_response_to_an_executed_write_is_lost(platform):
    platform.lose_answers = 1
    assert run("apply", str(EXAMPLE)).exit_code == 0


def test_get_prints_the_document_with_its_revision(platform):
    run("apply", str(EXAMPLE))
    shown = json.loads(run("get", "services", "assayer").output)
    assert shown["document"]["distribution"]["aim"] == "origin-bytes"
    assert run("get", "services", "absent").exit_code == 1
    assert run("get", "nonsense", "x").exit_code == 2


def test_a_conflict_names_the_other_operator_and_the_differences():
    platform = FakePlatform()
    first = plan_changes(platform, {KEY: make_contract(queue=10)})
    second = plan_changes(platform, {KEY: make_contract(queue=20)})
    apply_changes(platform, first, "ana")
    with pytest.raises(ChangeConflict, match="changed by ana.*queue: 20 -> 10"):
        apply_changes(platform, second, "ben")


class FakeOrigin(Origin):
    def read_manifest(self, model, version):
        return make_manifest(version).encode()

    def read_chunk(self, digest, size):
        raise NotImplementedError


def roll_out(platform, version, operator="ana"):
    return start_rollout(
        platform,
        FakeOrigin(),
        service="engraver",
        model="engraver",
        version=version,
        operator=operator,
    )


def test_of_two_concurrent_rollouts_only_the_first_write_succeeds():
    platform = FakePlatform()
    original_get = platform.get
    started = []

    def get_then_start_other_rollout(kind, name):
        stored = original_get(kind, name)
        if kind == "rollouts" and not started:
            started.append(True)
            roll_out(platform, "v2", "ben")
        return stored

    platform.get = get_then_start_other_rollout
    with pytest.raises(ChangeConflict, match="changed by ben"):
        roll_out(platform, "v1")
    assert json.loads(original_get("rollouts", "engraver").value)["version"] == "v2"


def test_rolling_back_to_an_older_version_writes_a_new_revision():
    platform = FakePlatform()
    revisions = [roll_out(platform, version) for version in ("v1", "v2", "v1")]
    assert revisions == sorted(set(revisions))


def test_a_drain_is_safe_to_repeat():
    platform = FakePlatform()
    assert set_drain(platform, "i1", "ana") == set_drain(platform, "i1", "ben")


def make_status(entry, written_at, state):
    agent = {
        "instance_id": "i1",
        "service_name": "engraver",
        "state": state,
        "version": "v1",
        "origin_bytes": 1,
        "import_bytes": 2,
    }
    return {"instance_id": entry, "written_at": written_at, "agents": [agent]}


def test_status_keeps_the_latest_report_and_shows_stale_entries():
    platform = FakePlatform()
    roll_out(platform, "v1")
    platform.put("status", "e1", make_status("e1", 100.0, "loading"))
    platform.put("status", "e2", make_status("e2", 50.0, "fetching"))
    status = read_status(platform, now=101.0)
    assert status.services["engraver"]["states"] == {"loading": 1}
    assert [e["is_stale"] for e in status.entries] == [False, True]

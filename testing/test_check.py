"""Validation of every kind of file that the system reads."""

import json
from pathlib import Path

import pytest

from bamboolever._check import FileKind, check_files, detect_kind
from bamboolever.platform.standins.site import Site

ROOT = Path(__file__).parent.parent
SHIPPED = {
    "examples/engrave-host/documents.toml": FileKind.DOCUMENTS,
    "examples/engrave-host/entry.toml": FileKind.ENTRY,
    "examples/engrave-host/agent.toml": FileKind.AGENT,
    "examples/heredia/documents.toml": FileKind.DOCUMENTS,
    "examples/heredia/entry.toml": FileKind.ENTRY,
    "examples/heredia/agent.toml": FileKind.AGENT,
    "deploy/system.toml": FileKind.DEPLOY,
}


@pytest.mark.parametrize(("name", "kind"), SHIPPED.items())
def test_shipped_files_have_the_expected_kind_and_no_faults(name, kind):
    """Guards against checking settings of daemons as documents, which rejects them."""
    assert detect_kind(ROOT / name) is kind
    assert check_files([ROOT / name]) == []


def test_files_of_all_kinds_are_checked_together():
    assert check_files([ROOT / name for name in SHIPPED if "heredia" not in name]) == []


def test_the_faults_of_all_files_are_reported_together(tmp_path):
    agent = tmp_path / "agent.toml"
    agent.write_text('instance_id = "a"\nupstream_url = "ftp://x"\ncapacity = 0\n')
    deploy = tmp_path / "system.toml"
    deploy.write_text('build = ""\n[roles.x]\nrun = "x"\non = "frontend"\nshare = 2\n')
    faults = check_files([agent, deploy])
    paths = {(Path(fault.file).name, fault.key_path) for fault in faults}
    assert {("agent.toml", "upstream_url"), ("agent.toml", "capacity")} <= paths
    assert {("system.toml", "build"), ("system.toml", "roles.x.share")} <= paths


def _deploy_faults(tmp_path, text):
    path = tmp_path / "system.toml"
    path.write_text('build = "true"\n' + text)
    return [fault.problem for fault in check_files([path])]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('[roles.a]\nrun = "a"\non = "elsewhere"\n', "on: use one of frontend, side"),
        ('[roles.a]\nrun = "a"\non = "side"\nserves = ["all"]\n', "serves: use some"),
        ('[roles.a]\nrun = "a"\non = "side"\nshare = 1\ncount = 1\n', "exclude"),
        ('[roles.a]\nrun = "a"\non = "side"\nenv = { PATH = "x" }\n', "PATH cannot"),
        (
            '[roles.a]\nrun = "a"\non = "side"\nserves = ["side"]\n'
            '[roles.b]\nrun = "b"\non = "side"\nserves = ["side"]\n',
            "roles a and b both serve side",
        ),
    ],
)
def test_deploy_file_that_the_platform_rejects_is_a_fault(tmp_path, text, expected):
    (problem,) = _deploy_faults(tmp_path, text)
    assert expected in problem


def test_settings_file_of_the_platform_is_checked(tmp_path):
    site = Site()
    try:
        document = site.make_settings(name="entry-1", host="127.0.0.1")
    finally:
        site.close()
    path = tmp_path / "local.json"
    path.write_text(json.dumps(document))
    assert check_files([path]) == []
    document["platformSettings"]["address"] = "nowhere"
    del document["zone"]
    path.write_text(json.dumps(document))
    assert [fault.key_path for fault in check_files([path])] == ["zone"]
    document["zone"] = "zone-a"
    path.write_text(json.dumps(document))
    (fault,) = check_files([path])
    assert fault.key_path == "platformSettings.address"
    assert "IP:PORT" in fault.problem


@pytest.mark.parametrize(("name", "text"), [("a.json", "{"), ("a.toml", "=")])
def test_invalid_or_missing_file_is_a_fault(tmp_path, name, text):
    path = tmp_path / name
    path.write_text(text)
    (fault,) = check_files([path])
    assert fault.key_path == "-"
    (missing,) = check_files([tmp_path / f"missing-{name}"])
    assert "cannot be read" in missing.problem

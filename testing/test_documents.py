"""Tests that every error in documents and settings gets its key path and a remedy."""

from pathlib import Path

import pytest
from builders import make_contract, make_service
from returns.result import Failure

from bamboolever._documents import (
    CONTRACT_KIND,
    DocumentError,
    DocumentFile,
    decode_document,
    encode_document,
    load_toml,
)
from bamboolever._operator import load_document_files
from bamboolever._settings import AgentSettings, EntrySettings

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ["engrave-host", "heredia"]

CONTRACT = """
[[contract]]
workspace = "studio-a"
api_key_sha256 = ["{digest}"]
services = ["engraver"]
requests_per_second = 10
burst = 10
concurrency = 10
""".format(digest="a" * 64)


def find_faults(tmp_path, text, model=DocumentFile):
    path = tmp_path / "file.toml"
    path.write_text(text)
    loaded = load_toml(path, model)
    assert isinstance(loaded, Failure)
    return {fault.key_path: fault.problem for fault in loaded.failure()}


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_examples_pass_their_checks(deployment):
    documents = load_document_files([EXAMPLES / deployment / "documents.toml"]).unwrap()
    assert len(documents) == 6
    load_toml(EXAMPLES / deployment / "entry.toml", EntrySettings).unwrap()
    load_toml(EXAMPLES / deployment / "agent.toml", AgentSettings).unwrap()


@pytest.mark.parametrize(
    ("line", "key_path", "problem"),
    [
        ('colour = "red"', "contract[0].colour", "unknown key"),
        ("deadline = 30", "contract[0].deadline", "has no unit"),
        ('deadline = "30 MB"', "contract[0].deadline", "use one of ms, s"),
        ('max_body = "1 s"', "contract[0].max_body", "use one of B, KB"),
        ("queue = -1", "contract[0].queue", "greater than or equal to 0"),
        ("priority = 99", "contract[0].priority", "less than or equal to 9"),
    ],
)
def test_a_fault_is_reported_with_its_key_path(tmp_path, line, key_path, problem):
    faults = find_faults(tmp_path, CONTRACT + line + "\n")
    assert problem in faults[key_path]


def test_all_faults_are_reported_at_once(tmp_path):
    faults = find_faults(tmp_path, '[[contract]]\nworkspace = "UPPER"\nqueue = "x"\n')
    assert {"contract[0].workspace", "contract[0].queue"} <= set(faults)
    assert "missing" in faults["contract[0].services"]


def test_contradictory_limits_are_refused(tmp_path):
    text = CONTRACT.replace("requests_per_second = 10", "requests_per_second = 5000")
    assert "burst is under a tenth" in find_faults(tmp_path, text)["contract[0]"]


def test_two_contracts_for_one_workspace_are_refused(tmp_path):
    faults = find_faults(tmp_path, CONTRACT + CONTRACT)
    assert "defined twice" in faults["(whole file)"]


def test_broken_toml_and_missing_files_are_faults(tmp_path):
    assert "is not valid TOML" in find_faults(tmp_path, "= =")["-"]
    loaded = load_document_files([tmp_path / "absent.toml"])
    assert "cannot be read" in loaded.failure()[0].problem


def test_a_model_agent_needs_an_origin(tmp_path):
    text = (EXAMPLES / "heredia" / "agent.toml").read_text()
    lines = [line for line in text.splitlines() if "origin_url" not in line]
    faults = find_faults(tmp_path, "\n".join(lines), AgentSettings)
    assert "needs origin_url" in faults["(whole file)"]


@pytest.mark.parametrize("document", [make_contract(), make_service()])
def test_a_stored_document_decodes_to_the_same_document(document):
    kind = CONTRACT_KIND if hasattr(document, "workspace") else "services"
    assert decode_document(kind, encode_document(document)) == document


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b"\xff", b'{"workspace": 1}'])
def test_an_invalid_document_raises_a_document_error(value):
    with pytest.raises(DocumentError):
        decode_document(CONTRACT_KIND, value)

"""The command ``where`` against running entries: its text, JSON and exit codes."""

import json
import socket

import pytest
from sitebuilders import MODEL
from typer.testing import CliRunner

from bamboolever._cli import app
from bamboolever.daemons.wherehandler import MAX_ANSWERS_PER_S
from bamboolever.platform.standins.site import API_KEY, HOST, WORKSPACE
from bamboolever.platform.where import make_answer
from bamboolever.reports.wherecli import format_answer


def _run(entry, *arguments, path="/stream/1", **environment):
    address = entry if isinstance(entry, str) else str(entry.settings.metrics_address)
    command = ["where", HOST, path, "--entry", address, *arguments]
    return CliRunner().invoke(app, command, env=environment)


def test_text_shows_admission_rules_choices_and_decision(engines, start_entry):
    entry = start_entry().wait_ready(len(engines))
    result = _run(entry, "--workspace", WORKSPACE, "--model", MODEL)
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert lines[1].split() == ["route", "stream"]
    assert lines[2].split() == ["workspace", WORKSPACE]
    assert lines[3].split() == ["priority", "1"]
    assert lines[4].split() == ["regions", "all"]
    rules = [line.split()[0] for line in lines if line.endswith("left")]
    assert rules == ["unavailable", "version", "ejected", "limited", "room"]
    assert lines[-1].split()[0] == "placed"
    assert lines[-1].split()[1] in {engine.instance_id for engine in engines}


def test_json_is_one_object_and_the_key_comes_from_the_environment(
    engines, start_entry
):
    entry = start_entry().wait_ready(len(engines))
    result = _run(entry, "--model", MODEL, "--json", BAMBOOLEVER_KEY=API_KEY)
    assert result.exit_code == 0, result.output
    answer = json.loads(result.output)
    assert answer["workspace"] == WORKSPACE
    assert answer["decision"] == "placed"
    assert API_KEY not in result.output


def test_request_that_would_not_be_served_exits_with_1(site, start_entry):
    entry = start_entry().wait_ready(0)
    refused = _run(entry, "--key", "not-a-key")
    assert refused.exit_code == 1
    assert "401 unknown-key, no Retry-After" in refused.output
    assert "not-a-key" not in refused.output
    rejected = _run(entry, "--workspace", WORKSPACE)
    assert rejected.exit_code == 1
    assert "503 no-upstream, Retry-After 1." in rejected.output


@pytest.mark.parametrize(
    ("arguments", "path", "hint"),
    [
        (["--workspace", "unknown"], "/stream/1", "workspace:"),
        (["--workspace", WORKSPACE], "no-slash", "path:"),
        (["--workspace", WORKSPACE, "--key", "k"], "/stream/1", "not both"),
    ],
)
def test_invalid_question_exits_with_2(site, start_entry, arguments, path, hint):
    entry = start_entry().wait_ready(0)
    result = _run(entry, *arguments, path=path)
    assert result.exit_code == 2
    assert hint in result.output


def test_address_that_is_none_exits_with_2():
    result = _run("entry-1")
    assert result.exit_code == 2
    assert "HOST:PORT" in result.output


def test_unreachable_or_wrong_port_exits_with_4(site, start_entry):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        result = _run(f"127.0.0.1:{unused.getsockname()[1]}")
    assert result.exit_code == 4
    assert "does the entry run there?" in result.output
    entry = start_entry().wait_ready(0)
    result = _run(str(entry.settings.readiness_address))
    assert result.exit_code == 4
    assert "/metrics" in result.output


def test_busy_entry_exits_with_4(site, start_entry):
    entry = start_entry().wait_ready(0)
    entry.entry._metrics_server.handler._left = 0.0
    entry.entry._metrics_server.handler._refilled_at += 60.0
    result = _run(entry, "--workspace", WORKSPACE)
    assert result.exit_code == 4
    assert f"over {MAX_ANSWERS_PER_S} questions a second" in result.output


@pytest.mark.parametrize(
    ("content", "last_line"),
    [
        (
            {"decision": "queued", "waits_s": 0.12, "queued_before": 2},
            "queued     behind 2, for 120 ms at most",
        ),
        (
            {"decision": "refused", "status": 404, "reason": "no-route"},
            "refused    404 no-route, no Retry-After",
        ),
        (
            {
                "decision": "rejected",
                "status": 503,
                "reason": "cold-upstreams",
                "retry_after_s": 2.5,
            },
            "rejected   503 cold-upstreams, Retry-After 2.50 s",
        ),
    ],
)
def test_decisions_in_text(content, last_line):
    answer = make_answer({"entry": "entry-1", "configuration": 1, **content})
    assert format_answer(answer)[-1] == last_line


def test_long_list_of_excluded_upstreams_is_cut():
    """Guards against a line of hundreds of names on a large fleet."""
    step = {
        "rule": "region",
        "left": 0,
        "excluded": [f"up-{number}" for number in range(20)],
        "waived": False,
    }
    content = {"decision": "queued", "steps": [step]}
    answer = make_answer({"entry": "entry-1", "configuration": 1, **content})
    (line,) = [line for line in format_answer(answer) if "region " in line]
    assert "20 out: up-0" in line
    assert line.endswith("and 14 more")

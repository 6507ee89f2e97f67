"""Finding the log lines of a request and of its upstreams."""

import json

from typer.testing import CliRunner

from bamboolever._cli import app
from bamboolever.reports.explain import find_request_lines, parse_line

TIMES = ["10:00:00,000", "10:00:01,000", "10:00:02,500", "10:00:03,000"]


def _line(time, message, **fields):
    return json.dumps({"asctime": f"2026-01-01 {time}", "message": message, **fields})


LINES = [
    _line("09:00:00,000", "configuration in force", version=3),
    _line(TIMES[0], "upstream down", upstream="i-1", blamed=2),
    _line(TIMES[0], "upstream down", upstream="i-9", blamed=1),
    _line(TIMES[1], "call placed", attempt="a", upstream="i-1", predicted_s=0.1),
    _line(TIMES[1], "call placed", attempt="b", upstream="i-1"),
    _line(TIMES[2], "call attempt failed", attempt="a", upstream="i-1", detail="reset"),
    _line(TIMES[3], "call ended", attempt="a", outcome="cut", upstreams=["i-1"]),
]


def _find(texts, attempt="a"):
    return find_request_lines(
        [parse_line(text, "entry.log") for text in texts], attempt
    )


def test_lines_of_the_request_and_of_its_upstreams_are_found():
    messages = [line.message for line in _find(LINES)]
    assert messages == [
        "upstream down",
        "call placed",
        "call attempt failed",
        "call ended",
    ]


def test_limit_that_held_a_request_back_is_found_however_old_it_is():
    older = [
        _line("08:00:00,000", "upstream limit", upstream="i-2", per_s=4.0),
        _line("09:00:00,000", "upstream limit", upstream="i-2", per_s=1.0),
        _line("09:00:00,000", "upstream limit", upstream="i-3", per_s=2.0),
    ]
    placed = _line(
        TIMES[1], "call placed", attempt="a", upstream="i-1", held_back=["i-2"]
    )
    found = [
        (line.message, line.fields.get("per_s")) for line in _find([*older, placed])
    ]
    assert found == [("upstream limit", 1.0), ("call placed", None)]


def test_evacuations_in_force_are_found_however_old_they_are():
    lines = [
        _line("08:00:00,000", "evacuation", zone="a", event="begun"),
        _line("08:00:00,000", "evacuation", zone="b", event="begun"),
        _line("09:00:00,000", "evacuation", zone="b", event="ended"),
        _line(TIMES[1], "call ended", attempt="a", detail="evacuated"),
    ]
    found = [(line.message, line.fields.get("zone")) for line in _find(lines)]
    assert found == [("evacuation", "a"), ("call ended", None)]


def test_line_with_a_prefix_of_time_and_instance_is_parsed():
    line = parse_line(f"  12.5 entry-1 {LINES[3]}", "all.log")
    assert (line.source, line.time) == ("entry-1", "12.5")


def test_unstructured_lines_are_skipped():
    assert parse_line("Traceback (most recent call last):", "x") is None
    assert parse_line("{not json", "x") is None
    assert parse_line("[1]{}", "x") is None


def test_command_prints_the_lines(tmp_path):
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    result = CliRunner().invoke(app, ["explain", "a", str(log)])
    assert result.exit_code == 0
    assert "detail=reset" in result.output
    result = CliRunner().invoke(app, ["explain", "a", str(log), "--json"])
    assert len(json.loads(result.output)["lines"]) == 4


def test_command_fails_when_nothing_is_found(tmp_path):
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    result = CliRunner().invoke(app, ["explain", "zzz", str(log)])
    assert result.exit_code == 1

"""Worth of days by run, computed from journal entries."""

import json

import pytest
from returns.result import Failure
from typer.testing import CliRunner

from bamboolever._cli import app
from bamboolever.reports.journal import group_by_day, read_entry
from bamboolever.reports.plots import PlotError, plot_worth


def _write(tmp_path, name, **changes):
    content = {
        "at": ["2026-01-01T00:00:00Z", "2026-01-01T00:01:00Z"],
        "cmd": "run",
        "head": "0123456789",
        "why": "a trial",
        "site": "site-a",
        "days": [
            {
                "name": "day-1",
                "parts": [["whole day", 0.75, 0.8], ["worst windows", 0.25, 0.4]],
                "prices": [["bytes", 3.0, 0.02], ["calls", 900.0, 0.05]],
                "rules": {},
            }
        ],
        **changes,
    }
    path = tmp_path / name
    path.write_text(json.dumps(content))
    return path


def test_worth_is_the_weighted_sum_of_parts_minus_the_prices(tmp_path):
    (day,) = read_entry(_write(tmp_path, "a.json")).unwrap()
    assert day.worth == pytest.approx(0.75 * 0.8 + 0.25 * 0.4 - 0.07)
    assert day.dearest_price == "calls"
    assert (day.site, day.day, day.commit) == ("site-a", "day-1", "0123456")


def test_entry_of_an_aborted_run_has_no_days(tmp_path):
    path = _write(tmp_path, "a.json", site=None, why=None, days=[])
    assert read_entry(path).unwrap() == []


@pytest.mark.parametrize("text", ["{", "{}", "[]", '{"at": 1}'])
def test_error_for_another_kind_of_file_names_the_file(tmp_path, text):
    path = tmp_path / "other.json"
    path.write_text(text)
    result = read_entry(path)
    assert isinstance(result, Failure)
    assert "other.json" in result.failure()


def test_runs_of_a_day_are_sorted_by_time(tmp_path):
    later = ["2026-01-02T00:00:00Z", ""]
    paths = [_write(tmp_path, "b.json", at=later), _write(tmp_path, "a.json")]
    days = [day for path in paths for day in read_entry(path).unwrap()]
    (runs,) = group_by_day(days).values()
    assert [run.began_at[:10] for run in runs] == ["2026-01-01", "2026-01-02"]


def test_command_prints_a_table_and_json(tmp_path):
    path = str(_write(tmp_path, "a.json"))
    table = CliRunner().invoke(app, ["report", path])
    assert table.exit_code == 0
    assert "site-a day-1" in table.output
    assert "0.630" in table.output
    as_json = CliRunner().invoke(app, ["report", path, "--json"])
    assert json.loads(as_json.output)["days"][0]["worth"] == 0.63


def test_broken_rules_are_shown(tmp_path):
    path = _write(tmp_path, "a.json")
    content = json.loads(path.read_text())
    content["days"][0]["rules"] = {"LOST": 2}
    path.write_text(json.dumps(content))
    assert "BROKEN: LOST" in CliRunner().invoke(app, ["report", str(path)]).output


def test_missing_entry_is_bad_input(tmp_path):
    result = CliRunner().invoke(app, ["report", str(tmp_path / "missing.json")])
    assert result.exit_code == 2


def test_error_without_matplotlib_names_the_extra_to_install(tmp_path, monkeypatch):
    def fail_import(name):
        raise ImportError(name)

    monkeypatch.setattr("bamboolever.reports.plots.import_module", fail_import)
    days = read_entry(_write(tmp_path, "a.json")).unwrap()
    with pytest.raises(PlotError, match=r"bamboolever\[plot\]"):
        plot_worth(days, tmp_path / "worth.svg")


def test_plot_has_a_panel_for_each_site(tmp_path, monkeypatch):
    plots = RecordedPlots()
    monkeypatch.setattr("bamboolever.reports.plots.import_module", lambda _: plots)
    paths = [_write(tmp_path, f"{site}.json", site=site) for site in ("a", "b")]
    days = [day for path in paths for day in read_entry(path).unwrap()]
    plot_worth(days, tmp_path / "worth.svg")
    assert [panel.title for panel in plots.panels] == [
        "worth by run, a",
        "worth by run, b",
    ]
    assert [panel.lines for panel in plots.panels] == [[("day-1", [0.63])]] * 2
    assert plots.saved == tmp_path / "worth.svg"


def test_plot_without_days_is_an_error(tmp_path, monkeypatch):
    monkeypatch.setattr(
        "bamboolever.reports.plots.import_module", lambda _: RecordedPlots()
    )
    with pytest.raises(PlotError, match="no days"):
        plot_worth([], tmp_path / "worth.svg")


class RecordedPanel:
    def __init__(self):
        self.title = None
        self.lines = []

    def plot(self, positions, values, *, marker, label):
        self.lines.append((label, values))

    def set_title(self, title):
        self.title = title

    def __getattr__(self, name):
        return lambda *args, **kwargs: None


class RecordedPlots:
    """A fake of both ``matplotlib`` and ``matplotlib.pyplot``."""

    def __init__(self):
        self.panels = []
        self.saved = None

    def use(self, backend):
        pass

    def subplots(self, rows, columns, **options):
        self.panels = [RecordedPanel() for _ in range(rows)]
        return self, PanelGrid(self.panels)

    def tight_layout(self):
        pass

    def savefig(self, path):
        self.saved = path

    def close(self, figure):
        pass


class PanelGrid:
    def __init__(self, panels):
        self._panels = panels

    def __getitem__(self, key):
        return self._panels

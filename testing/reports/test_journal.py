"""Worth by day and run, from journal entries."""

import json

import pytest
from returns.result import Failure
from typer.testing import CliRunner

from bamboolever._cli import app
from bamboolever.reports.journal import list_rounds, read_entry
from bamboolever.reports.plots import PlotError, draw_worth


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


def test_worth_is_the_weighted_parts_less_the_prices(tmp_path):
    (day,) = read_entry(_write(tmp_path, "a.json")).unwrap()
    assert day.worth == pytest.approx(0.75 * 0.8 + 0.25 * 0.4 - 0.07)
    assert day.dearest_price == "calls"
    assert (day.site, day.day, day.commit) == ("site-a", "day-1", "0123456")


def test_entry_of_a_run_that_was_ended_has_no_days(tmp_path):
    path = _write(tmp_path, "a.json", site=None, why=None, days=[])
    assert read_entry(path).unwrap() == []


@pytest.mark.parametrize("text", ["{", "{}", "[]", '{"at": 1}'])
def test_other_files_are_told_by_name(tmp_path, text):
    path = tmp_path / "other.json"
    path.write_text(text)
    read = read_entry(path)
    assert isinstance(read, Failure)
    assert "other.json" in read.failure()


def test_runs_of_a_day_stand_in_the_order_of_time(tmp_path):
    later = ["2026-01-02T00:00:00Z", ""]
    paths = [_write(tmp_path, "b.json", at=later), _write(tmp_path, "a.json")]
    days = [day for path in paths for day in read_entry(path).unwrap()]
    (runs,) = list_rounds(days).values()
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


def test_unreadable_entry_is_bad_input(tmp_path):
    done = CliRunner().invoke(app, ["report", str(tmp_path / "missing.json")])
    assert done.exit_code == 2


def test_plot_without_matplotlib_says_how_to_mend_it(tmp_path, monkeypatch):
    def refuse(name):
        raise ImportError(name)

    monkeypatch.setattr("bamboolever.reports.plots.import_module", refuse)
    days = read_entry(_write(tmp_path, "a.json")).unwrap()
    with pytest.raises(PlotError, match=r"bamboolever\[plot\]"):
        draw_worth(days, tmp_path / "worth.svg")


def test_plot_has_a_panel_for_each_site(tmp_path, monkeypatch):
    drawn = RecordedPlots()
    monkeypatch.setattr("bamboolever.reports.plots.import_module", lambda _: drawn)
    paths = [_write(tmp_path, f"{site}.json", site=site) for site in ("a", "b")]
    days = [day for path in paths for day in read_entry(path).unwrap()]
    draw_worth(days, tmp_path / "worth.svg")
    assert [panel.title for panel in drawn.panels] == [
        "worth by run, a",
        "worth by run, b",
    ]
    assert [panel.lines for panel in drawn.panels] == [[("day-1", [0.63])]] * 2
    assert drawn.saved == tmp_path / "worth.svg"


def test_plot_of_nothing_is_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(
        "bamboolever.reports.plots.import_module", lambda _: RecordedPlots()
    )
    with pytest.raises(PlotError, match="no days"):
        draw_worth([], tmp_path / "worth.svg")


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
    """Takes the place of matplotlib and of its plotting module."""

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

"""Plots of journal entries; needs matplotlib, which the extra ``plot`` installs."""

from importlib import import_module
from pathlib import Path
from typing import Any

from bamboolever.reports.journal import DayScore, group_by_day

WIDTH_INCHES = 10
HEIGHT_PER_SITE_INCHES = 4


class PlotError(Exception):
    """The plot cannot be written; the message states how to fix that."""


def plot_worth(days: list[DayScore], path: Path) -> None:
    """Plot worth by run into a file.

    The plot has a panel for each site and a line for each day. The suffix of ``path``
    selects the file format. Raises `PlotError` if matplotlib is missing, there are no
    days, or the file cannot be written.
    """
    pyplot = _load_pyplot()
    sites = sorted({day.site for day in days})
    if not sites:
        raise PlotError("the entries contain no days; pass entries of completed runs")
    size = (WIDTH_INCHES, HEIGHT_PER_SITE_INCHES * len(sites))
    figure, panels = pyplot.subplots(len(sites), 1, figsize=size, squeeze=False)
    for panel, site in zip(panels[:, 0], sites, strict=True):
        _plot_site(panel, site, [day for day in days if day.site == site])
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(f"{path}: cannot be written: {error}") from error
    finally:
        pyplot.close(figure)


def _load_pyplot() -> Any:
    try:
        matplotlib = import_module("matplotlib")
        matplotlib.use("Agg")
        return import_module("matplotlib.pyplot")
    except ImportError as error:
        raise PlotError(
            "matplotlib is missing; install it with: pip install 'bamboolever[plot]'"
        ) from error


def _plot_site(panel: Any, site: str, days: list[DayScore]) -> None:
    starts = sorted({day.began_at for day in days})
    for (_, name), runs in group_by_day(days).items():
        positions = [starts.index(run.began_at) for run in runs]
        panel.plot(positions, [run.worth for run in runs], marker="o", label=name)
    panel.set_title(f"worth by run, {site}")
    panel.set_xticks(range(len(starts)), starts, rotation=30, ha="right", fontsize=7)
    panel.set_ylabel("worth")
    panel.grid(visible=True, alpha=0.3)
    panel.legend(fontsize=7, ncols=3)

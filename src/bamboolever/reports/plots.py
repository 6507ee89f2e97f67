"""Draws reports; needs the extra ``plot``."""

from importlib import import_module
from pathlib import Path
from typing import Any

from bamboolever.reports.journal import DayScore, list_rounds

INCHES_WIDE = 10
INCHES_HIGH_A_SITE = 4


class PlotError(Exception):
    """The plot cannot be drawn; the text says how to mend that."""


def draw_worth(days: list[DayScore], path: Path) -> None:
    """Draw worth by round, one panel a site and one line a day.

    Raises `PlotError` where matplotlib is missing or there is nothing to draw.
    """
    pyplot = _load_pyplot()
    sites = sorted({day.site for day in days})
    if not sites:
        raise PlotError("the entries hold no days; give entries of whole runs")
    size = (INCHES_WIDE, INCHES_HIGH_A_SITE * len(sites))
    figure, panels = pyplot.subplots(len(sites), 1, figsize=size, squeeze=False)
    for panel, site in zip(panels[:, 0], sites, strict=True):
        _draw_site(panel, site, [day for day in days if day.site == site])
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


def _draw_site(panel: Any, site: str, days: list[DayScore]) -> None:
    starts = sorted({day.began_at for day in days})
    for (_, name), runs in list_rounds(days).items():
        positions = [starts.index(run.began_at) for run in runs]
        panel.plot(positions, [run.worth for run in runs], marker="o", label=name)
    panel.set_title(f"worth by run, {site}")
    panel.set_xticks(range(len(starts)), starts, rotation=30, ha="right", fontsize=7)
    panel.set_ylabel("worth")
    panel.grid(visible=True, alpha=0.3)
    panel.legend(fontsize=7, ncols=3)

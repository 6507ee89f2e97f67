"""Reads journal entries of measured runs and computes the worth of each day.

An entry is a JSON file. It lists the days of a run, and for each day the parts of
its benefit and the prices of what it used. The worth of a day is the weighted
sum of the parts minus the prices.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

COMMIT_LENGTH = 7


class _JournalModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Day(_JournalModel):
    name: str
    # Name, weight and value of each part; name, amount and cost of each price.
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    rules: dict[str, object] = {}


class _Entry(_JournalModel):
    at: tuple[str, str]
    cmd: str
    head: str | None = None
    why: str | None = None
    site: str | None = None
    days: list[_Day] = []


@dataclass(frozen=True)
class DayScore:
    """The score of one day in one run.

    ``worth`` is benefit minus prices, as a share of the benefit due. ``began_at`` is
    the start of the run in UTC, as written in the journal. ``dearest_price`` is the
    name of the highest price, empty without prices. ``why`` is the reason given for
    the run.
    """

    began_at: str
    command: str
    commit: str
    site: str
    day: str
    worth: float
    dearest_price: str
    broken_rules: tuple[str, ...]
    why: str


def read_entry(path: Path) -> Result[list[DayScore], str]:
    """Return the scores of the days in one entry, or an error message.

    The entry of a run that was aborted has no days.
    """
    try:
        entry = _Entry.model_validate(json.loads(path.read_bytes()))
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    except ValidationError as error:
        return Failure(f"{path}: is not a journal entry: {error.errors()[0]['msg']}")
    except ValueError as error:
        return Failure(f"{path}: is not valid JSON: {error}")
    return Success([_score_day(entry, day) for day in entry.days])


def _score_day(entry: _Entry, day: _Day) -> DayScore:
    benefit = sum(weight * value for _, weight, value in day.parts)
    cost = sum(price for _, _, price in day.prices)
    dearest = max(day.prices, key=lambda price: price[2], default=("", 0.0, 0.0))
    return DayScore(
        began_at=entry.at[0],
        command=entry.cmd,
        commit=(entry.head or "")[:COMMIT_LENGTH],
        site=entry.site or "",
        day=day.name,
        worth=round(benefit - cost, 3),
        dearest_price=dearest[0],
        broken_rules=tuple(sorted(day.rules)),
        why=entry.why or "",
    )


def group_by_day(days: list[DayScore]) -> dict[tuple[str, str], list[DayScore]]:
    """Return the scores by site and day name, the oldest run first."""
    groups: dict[tuple[str, str], list[DayScore]] = {}
    for day in sorted(days, key=lambda score: score.began_at):
        groups.setdefault((day.site, day.day), []).append(day)
    return groups

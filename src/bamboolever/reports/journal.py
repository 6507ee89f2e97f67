"""Reads journal entries of measured runs and sums them up by day.

An entry is a JSON file with the days played, their benefit by part and the prices
taken off; the worth of a day is the weighted parts less the prices.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

COMMIT_LENGTH = 7


class _Lenient(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Day(_Lenient):
    name: str
    # Name, weight and value of each part; name, amount and cost of each price.
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    rules: dict[str, object] = {}


class _Entry(_Lenient):
    at: tuple[str, str]
    cmd: str
    head: str | None = None
    why: str | None = None
    site: str | None = None
    days: list[_Day] = []


@dataclass(frozen=True)
class DayScore:
    """One played day; ``worth`` is benefit less prices, as a share of what is owed.

    ``began_at`` is the run's start as the journal writes it, in UTC.
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
    """Return the days of one entry, or why it cannot be read.

    An entry of a run that was ended early has no days.
    """
    try:
        entry = _Entry.model_validate(json.loads(path.read_bytes()))
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    except ValidationError as error:
        return Failure(f"{path}: is no journal entry: {error.errors()[0]['msg']}")
    except ValueError as error:
        return Failure(f"{path}: is no JSON: {error}")
    return Success([_sum_up(entry, day) for day in entry.days])


def _sum_up(entry: _Entry, day: _Day) -> DayScore:
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


def list_rounds(days: list[DayScore]) -> dict[tuple[str, str], list[DayScore]]:
    """Return the runs of each site and day, oldest first."""
    rounds: dict[tuple[str, str], list[DayScore]] = {}
    for day in sorted(days, key=lambda item: item.began_at):
        rounds.setdefault((day.site, day.day), []).append(day)
    return rounds

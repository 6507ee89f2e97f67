"""Parses quantities with a unit, as operators write them in settings and documents.

Parsed sizes are in bytes, times in seconds and rates in bytes per second.
"""

import re

_NUMBER = r"(\d+(?:\.\d+)?)"
_QUANTITY = re.compile(rf"^\s*{_NUMBER}\s*([A-Za-z/]+)\s*$")

SIZE_UNITS: dict[str, int] = {
    "B": 1,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 2**10,
    "MiB": 2**20,
    "GiB": 2**30,
}
TIME_UNITS: dict[str, float] = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
RATE_UNITS: dict[str, float] = {
    **{f"{unit}/s": float(factor) for unit, factor in SIZE_UNITS.items()},
    "Mbit/s": 125_000.0,
    "Gbit/s": 125_000_000.0,
}


class UnitError(ValueError):
    """A text is not a quantity, or its unit is missing or of another kind."""


def parse_size(text: object) -> int:
    """Return the size in a text such as ``"16 MB"`` in bytes.

    Raises `UnitError`.
    """
    return int(_parse_quantity(text, SIZE_UNITS, example="16 MB"))


def parse_time(text: object) -> float:
    """Return the time in a text such as ``"250 ms"`` in seconds.

    Raises `UnitError`.
    """
    return _parse_quantity(text, TIME_UNITS, example="250 ms")


def parse_rate(text: object) -> float:
    """Return the rate in a text such as ``"10 Mbit/s"`` in bytes per second.

    Raises `UnitError`.
    """
    return _parse_quantity(text, RATE_UNITS, example="10 Mbit/s")


def _parse_quantity(
    text: object, units: dict[str, int] | dict[str, float], *, example: str
) -> float:
    known = ", ".join(units)
    if not isinstance(text, str):
        raise UnitError(f'{text!r} has no unit; write it as a text like "{example}"')
    match = _QUANTITY.match(text)
    if match is None:
        raise UnitError(f'{text!r} is not a quantity; write it like "{example}"')
    number, unit = match.groups()
    if unit not in units:
        raise UnitError(
            f'{text!r} has the unit {unit!r}; use one of {known}, like "{example}"'
        )
    return float(number) * units[unit]

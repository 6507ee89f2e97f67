"""Types of the values in the platform's documents, and the ranges that are accepted.

The ranges are those that the messages between our processes can carry.
"""

from typing import Annotated

from pydantic import AfterValidator, Field

MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
MAX_NAME_CHARS = 1024
MAX_PIECES = 2**16
# The longest time for which a document may say that something lasts.
MAX_DURATION_MS = 24 * 3600 * 1000.0
# The largest factor by which an engine may say that it is slower than its profile.
MAX_SLOWDOWN = 1e6


def is_name(text: str) -> bool:
    """Return whether a text can be sent and logged as a name.

    It has no control characters and no lone surrogates, which have no encoding.
    """
    return len(text) <= MAX_NAME_CHARS and text.isprintable()


def _check_name(text: str) -> str:
    if not is_name(text):
        raise ValueError("not a name of printable characters")
    return text


Name = Annotated[str, AfterValidator(_check_name)]
Count = Annotated[int, Field(ge=0, le=MAX_INT32)]
Slots = Annotated[int, Field(ge=1, le=MAX_INT32)]
# A version, a sequence number or a Unix time in milliseconds.
Ordinal = Annotated[int, Field(ge=0, le=MAX_INT64)]
DurationMs = Annotated[float, Field(le=MAX_DURATION_MS, allow_inf_nan=False)]
Slowdown = Annotated[float, Field(ge=0, le=MAX_SLOWDOWN, allow_inf_nan=False)]
# Sets of pieces are kept as bitmaps.
PieceNumber = Annotated[int, Field(ge=0, lt=MAX_PIECES)]

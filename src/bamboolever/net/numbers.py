"""Whole numbers in headers, targets and event ids that other processes wrote."""

import re

_WHOLE_NUMBER = re.compile(rb"[0-9]{1,18}")


def parse_whole_number(text: bytes | None) -> int | None:
    """Return a number of at most 18 decimal digits, or None for any other text.

    It fits into 64 bits. Spaces around it are ignored.
    """
    if text is None or _WHOLE_NUMBER.fullmatch(text.strip()) is None:
        return None
    return int(text)

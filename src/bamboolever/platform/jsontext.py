"""Decodes JSON text that other processes wrote.

Takes the bytes of a body. Returns its value, with bounded depth, or with the members
that do not decode replaced by None.

Load pattern: a listing of hundreds of objects, one of which was written by somebody
else: nested by the thousand, with a number of thousands of digits, or not even text.
Such an object must not cost the others.
"""

import json
import re
from typing import Any

from bamboolever.platform.errors import AdapterError

# The documents of the platform are nested by less than ten levels.
MAX_DEPTH = 32
_CONTAINERS = frozenset((dict, list))
# Strings are matched whole, and runs of brackets at once: nesting is cheap to skip.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,:"]', re.DOTALL)


def decode_json(body: bytes) -> Any:
    """Return the value of a body.

    Raises `AdapterError` when it is not JSON or nested deeper than `MAX_DEPTH`.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise AdapterError(f"not JSON: {error}") from error
    if _is_deep(value):
        raise AdapterError(f"nested deeper than {MAX_DEPTH} levels")
    return value


def decode_json_members(body: bytes, levels: int) -> Any:
    """Return the value of a body, in which members that do not decode are None.

    The members of arrays and objects down to ``levels`` are decoded one by one if the
    whole does not decode; those whose name does not are left out. Bytes that are no
    UTF-8 become lone surrogates. Raises `AdapterError` when there are no such members.
    """
    value = _decode_members(body.decode(errors="surrogateescape"), levels)
    if value is None:
        raise AdapterError("not JSON, or nested too deep")
    return value


def _decode_members(text: str, levels: int) -> Any:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        value = None
    if value is not None and not _is_deep(value):
        return value
    if not levels:
        return None
    members = _split_members(text.strip())
    if members is None:
        return None
    if text.lstrip().startswith("["):
        return [_decode_members(member, levels - 1) for _, member in members]
    named = [(_decode_members(key, 0), member) for key, member in members]
    return {
        name: _decode_members(member, levels - 1)
        for name, member in named
        if isinstance(name, str)
    }


def _is_deep(value: Any) -> bool:
    level = [value] if type(value) in _CONTAINERS else []
    for _ in range(MAX_DEPTH):
        members: list[Any] = []
        for each in level:
            children = each.values() if type(each) is dict else each
            members += [child for child in children if type(child) in _CONTAINERS]
        if not members:
            return False
        level = members
    return True


def _split_members(text: str) -> list[tuple[str, str]] | None:
    """Return the texts of the keys and values of an object, or of an array's values.

    Keys are empty in an array. Returns None if the text is neither, or incomplete.
    """
    if text[:1] not in ("[", "{"):
        return None
    members: list[tuple[str, str]] = []
    key, start, depth = "", 1, 0
    for token in _TOKEN.finditer(text):
        mark = token[0][0]
        if mark in "[{":
            depth += len(token[0])
        elif mark in "]}":
            depth -= len(token[0])
        elif token[0] == '"':
            # A string without an end.
            return None
        elif depth == 1 and mark == ",":
            members.append((key, text[start : token.start()]))
            key, start = "", token.end()
        elif depth == 1 and mark == ":" and not key:
            key, start = text[start : token.start()], token.end()
    if depth or text[-1] not in "]}":
        return None
    last = text[start:-1]
    return [*members, (key, last)] if key or last.strip() else members

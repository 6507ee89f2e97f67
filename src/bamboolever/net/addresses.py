"""IPv4 socket addresses and their text form ``HOST:PORT``."""

import re
from typing import NamedTuple

MAX_PORT = 65535
_ADDRESS = re.compile(r"(?P<host>[A-Za-z0-9._-]{1,253}):(?P<port>[0-9]{1,5})")


class Address(NamedTuple):
    """An IPv4 address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse a socket address in the form ``HOST:PORT``.

    Raises `ValueError` when the text has another form, the host has characters that no
    host name has, or the port is not from 1 to 65535.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise ValueError(f"{text[:80]!r} is not HOST:PORT")
    return Address(match["host"], int(match["port"]))

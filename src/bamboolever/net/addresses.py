"""IPv4 socket addresses and their text form ``HOST:PORT``."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse a socket address in the form ``HOST:PORT``.

    Raises `ValueError` when the text has another form or the port exceeds 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return Address(host, int(port))

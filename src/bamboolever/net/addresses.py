"""Addresses of sockets in text form."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address in ``HOST:PORT``.

    Raises `ValueError` when the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return Address(host, int(port))

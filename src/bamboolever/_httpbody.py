"""Reads a response body of `http.client` up to a size limit."""

import http.client


def read_body(response: http.client.HTTPResponse, max_bytes: int) -> bytes:
    """Return the first ``max_bytes`` bytes of a body, or all of a shorter one.

    Raises `http.client.IncompleteRead` if the connection ended before the announced
    length. `http.client` itself does so only for reads without a limit.
    """
    data = response.read(max_bytes)
    if len(data) < max_bytes and response.length:
        raise http.client.IncompleteRead(data, response.length)
    return data

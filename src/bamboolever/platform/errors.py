"""Errors of the platform adapter."""


class AdapterError(Exception):
    """Something from the platform cannot be decoded."""
